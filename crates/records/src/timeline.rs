//! Reading: the directories of one or more supervisors as one course of events in true order, with every interval of
//! which not all is known. Reads only; a directory that grows, is trimmed or goes away while it is read is no fault.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::clock;
use crate::index::{self, Query};
use crate::kind::{self, Read};
use crate::pb::{record::Kind, Index, Record, Rollup};
use crate::segment::{self, Item, SegmentId};

/// Directories below a given one that are looked at for segments, one a supervisor: four times the largest fleet.
const DIRECTORIES_MOST: usize = 4096;

/// One record with its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The supervisor.
    pub supervisor: Arc<str>,
    /// Its start.
    pub incarnation: u64,
    /// The record, its times by the supervisor's own time base.
    pub record: Record,
    /// The number of its kind.
    pub number: u32,
    /// Its bytes, where they hold more than this version understands.
    pub newer: Option<Vec<u8>>,
    /// When it happened by the common clock, in Unix microseconds.
    pub at_us: i64,
    /// How far its supervisor's clock was ahead of the common one, in microseconds.
    pub ahead_us: i64,
}

impl Event {
    /// The event in one line, without its time.
    pub fn line(&self) -> String {
        match &self.record.kind {
            Some(kind) => crate::text::line(kind),
            None => {
                let bytes = self.newer.as_ref().map_or(0, Vec::len);
                format!(
                    "unknown kind {} of a newer version, {bytes} bytes",
                    self.number
                )
            }
        }
    }

    /// When it was learned by the common clock.
    pub fn learned_us(&self) -> i64 {
        self.record.learned_us.saturating_sub(self.ahead_us)
    }
}

/// Why not all is known of an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GapReason {
    /// It stopped as asked, until its next start.
    Stopped,
    /// It ended without a last word, until its next start.
    Crashed,
    /// Records did not reach the disk.
    Lost,
    /// The files are damaged, or a segment is missing.
    Damaged,
    /// What was before is not kept any more.
    Trimmed,
    /// It recorded nothing although it ran: it stood still.
    Stalled,
    /// The system's clock stepped; nothing is missing, but other clocks' times do not fit.
    ClockStep,
    /// Nothing comes after: it runs on or ended, nobody can tell.
    Open,
}

impl GapReason {
    /// The word for it.
    pub fn word(self) -> &'static str {
        match self {
            GapReason::Stopped => "stopped",
            GapReason::Crashed => "crash",
            GapReason::Lost => "lost",
            GapReason::Damaged => "damaged",
            GapReason::Trimmed => "trimmed",
            GapReason::Stalled => "stood still",
            GapReason::ClockStep => "clock step",
            GapReason::Open => "no record since",
        }
    }

    fn of(hole: &str) -> Self {
        match hole {
            "lost" => GapReason::Lost,
            "stalled" => GapReason::Stalled,
            "clock" => GapReason::ClockStep,
            _ => GapReason::Damaged,
        }
    }
}

/// An interval of one supervisor of which not all is known, by the common clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Gap {
    /// The supervisor.
    pub supervisor: Arc<str>,
    /// Where it begins, in Unix microseconds.
    pub from_us: i64,
    /// Where it ends.
    pub to_us: i64,
    /// Why.
    pub reason: GapReason,
    /// Records that are missing, where that is known.
    pub missing: u64,
    /// What more is known.
    pub detail: String,
}

impl Gap {
    /// The gap in one line, without its times.
    pub fn line(&self) -> String {
        let length = crate::text::length(self.to_us.saturating_sub(self.from_us));
        let mut text = format!("{} for {length}", self.reason.word());
        if self.missing > 0 {
            text += &format!(", {} records missing", self.missing);
        }
        if !self.detail.is_empty() {
            text += &format!(" ({})", self.detail);
        }
        text
    }
}

/// A span of time, both ends included, in Unix microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Its begin.
    pub from_us: i64,
    /// Its end.
    pub to_us: i64,
}

/// A fault while reading.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// There are no records.
    #[error("no records in {0}")]
    Nothing(PathBuf),
    /// It can't be read.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
}

/// The records of one supervisor.
pub struct Supervisor {
    /// Its name.
    pub name: Arc<str>,
    /// Where its segments are.
    pub directory: PathBuf,
    /// Its segments, in order, as their indexes tell.
    pub segments: Vec<(SegmentId, Index)>,
    /// What its clock is ahead of the first supervisor's, in microseconds, where that can be told.
    pub ahead_us: i64,
    /// Shared events from which that was told.
    pub ahead_by: usize,
}

/// The records of several supervisors.
pub struct Timeline {
    /// They, by name.
    pub supervisors: Vec<Supervisor>,
}

/// Directories that hold segments: the given one or those below it.
fn directories(given: &Path) -> Result<Vec<PathBuf>, Fault> {
    let io = |fault| Fault::Io(given.to_path_buf(), fault);
    if !segment::list(given).map_err(io)?.is_empty() {
        return Ok(vec![given.to_path_buf()]);
    }
    let below = std::fs::read_dir(given)
        .map_err(io)?
        .filter_map(|entry| Some(entry.ok()?.path()));
    let mut below: Vec<PathBuf> = below
        .filter(|path| path.is_dir())
        .take(DIRECTORIES_MOST)
        .collect();
    below.retain(|path| segment::list(path).is_ok_and(|segments| !segments.is_empty()));
    below.sort();
    if below.is_empty() {
        return Err(Fault::Nothing(given.to_path_buf()));
    }
    Ok(below)
}

/// The index of a segment: as stored, or made now. One that has just gone away has none.
fn indexed(directory: &Path, id: SegmentId) -> Option<Index> {
    segment::stored_index(directory, id).or_else(|| {
        let bytes = segment::bytes(&id.path(directory), 0, segment::LENGTH_MOST).ok()?;
        Some(index::build(id, &bytes))
    })
}

impl Supervisor {
    fn open(directory: &Path) -> Result<Self, Fault> {
        let listed =
            segment::list(directory).map_err(|fault| Fault::Io(directory.to_path_buf(), fault))?;
        let segments: Vec<_> = listed
            .into_iter()
            .filter_map(|id| Some((id, indexed(directory, id)?)))
            .collect();
        let named = segments
            .iter()
            .rev()
            .map(|(_, index)| index.supervisor.as_str())
            .find(|name| !name.is_empty());
        let folder = directory
            .file_name()
            .map(|name| name.to_string_lossy().into_owned());
        let name = named.map(str::to_string).or(folder).unwrap_or_default();
        let directory = directory.to_path_buf();
        Ok(Supervisor {
            name: name.into(),
            directory,
            segments,
            ahead_us: 0,
            ahead_by: 0,
        })
    }

    /// Looks again for what was written since; only segments that grew are read.
    pub fn refresh(&mut self) -> Result<(), Fault> {
        let fault = |fault| Fault::Io(self.directory.clone(), fault);
        let listed = segment::list(&self.directory).map_err(fault)?;
        let mut known: BTreeMap<SegmentId, Index> =
            std::mem::take(&mut self.segments).into_iter().collect();
        for id in listed {
            let length = std::fs::metadata(id.path(&self.directory)).map_or(0, |of| of.len());
            let kept = known.remove(&id).filter(|index| index.length == length);
            if let Some(index) = kept.or_else(|| indexed(&self.directory, id)) {
                self.segments.push((id, index));
            }
        }
        Ok(())
    }

    /// Hands over wanted records in the order in which they were written, their times by this supervisor's clock. What
    /// can't be read any more although the index names it comes back as gaps.
    fn each(&self, query: &Query, mut event: impl FnMut(Event)) -> Vec<Gap> {
        let mut gaps = Vec::new();
        for (id, index) in &self.segments {
            let path = id.path(&self.directory);
            let mut wanted = index
                .blocks
                .iter()
                .filter(|block| query.may_hold(block))
                .peekable();
            while let Some(first) = wanted.next() {
                let (from, mut end, mut records) =
                    (first.offset, first.offset + first.bytes, first.records);
                let (mut min_us, mut max_us) = (first.min_at_us, first.max_at_us);
                // Neighbours are read at once.
                while let Some(next) =
                    wanted.next_if(|next| next.offset == end && end - from < READ_AT_ONCE)
                {
                    end = next.offset + next.bytes;
                    records += next.records;
                    (min_us, max_us) = (min_us.min(next.min_at_us), max_us.max(next.max_at_us));
                }
                let bytes = segment::bytes(&path, from, end - from).unwrap_or_default();
                let mut seen = 0;
                for (_, item) in segment::items(&bytes, from) {
                    let Item::Record { read, .. } = item else {
                        continue;
                    };
                    seen += 1;
                    let Read {
                        record,
                        number,
                        newer,
                    } = read;
                    if query.holds(&record, number) {
                        let at_us = record.at_us;
                        let supervisor = Arc::clone(&self.name);
                        event(Event {
                            supervisor,
                            incarnation: id.incarnation,
                            record,
                            number,
                            newer,
                            at_us,
                            ahead_us: 0,
                        });
                    }
                }
                if seen < records {
                    let (reason, missing) = (GapReason::Damaged, u64::from(records - seen));
                    let detail =
                        "damaged since it was indexed, or trimmed while it was read".to_string();
                    let supervisor = Arc::clone(&self.name);
                    gaps.push(Gap {
                        supervisor,
                        from_us: min_us,
                        to_us: max_us,
                        reason,
                        missing,
                        detail,
                    });
                }
            }
        }
        gaps
    }

    /// All that the segments tell of what is missing, by this supervisor's clock.
    fn gaps(&self) -> Vec<Gap> {
        let gap = |from_us: i64, to_us: i64, reason, missing, detail: String| Gap {
            supervisor: Arc::clone(&self.name),
            from_us,
            to_us: to_us.max(from_us),
            reason,
            missing,
            detail,
        };
        let mut gaps = Vec::new();
        let mut before: Option<(SegmentId, &Index)> = None;
        // A segment that holds no record tells only that its start was.
        for (id, index) in self.segments.iter().map(|(id, index)| (*id, index)) {
            for hole in &index.holes {
                let reason = GapReason::of(&hole.reason);
                gaps.push(gap(
                    hole.from_us,
                    hole.to_us,
                    reason,
                    hole.missing,
                    hole.detail.clone(),
                ));
            }
            if index.records == 0 {
                continue;
            }
            match before {
                None if id.incarnation > 1 || id.number > 0 || index.first_seq > 1 => {
                    gaps.push(gap(
                        i64::MIN,
                        index.first_us,
                        GapReason::Trimmed,
                        0,
                        String::new(),
                    ));
                }
                None => {}
                Some((last, known)) if last.incarnation == id.incarnation => {
                    let missing = index
                        .first_seq
                        .saturating_sub(known.last_seq)
                        .saturating_sub(1);
                    if missing > 0 {
                        let found = gap(
                            known.last_us,
                            index.first_us,
                            GapReason::Damaged,
                            missing,
                            torn(known),
                        );
                        gaps.push(found);
                    } else if index.first_us - known.last_us > index::STALLED_US {
                        gaps.push(gap(
                            known.last_us,
                            index.first_us,
                            GapReason::Stalled,
                            0,
                            String::new(),
                        ));
                    }
                }
                Some((last, known)) => {
                    let between = id.incarnation - last.incarnation - 1;
                    let reason = if known.stopped {
                        GapReason::Stopped
                    } else {
                        GapReason::Crashed
                    };
                    let mut detail = torn(known);
                    if between > 0 {
                        let starts = format!("{between} starts in between left nothing");
                        detail = if detail.is_empty() {
                            starts
                        } else {
                            format!("{detail}, {starts}")
                        };
                    }
                    gaps.push(gap(known.last_us, index.first_us, reason, 0, detail));
                }
            }
            before = Some((id, index));
        }
        if let Some((_, last)) = before.filter(|(_, last)| !last.stopped) {
            gaps.push(gap(last.last_us, i64::MAX, GapReason::Open, 0, torn(last)));
        } else if let Some((_, last)) = before {
            gaps.push(gap(
                last.last_us,
                i64::MAX,
                GapReason::Stopped,
                0,
                String::new(),
            ));
        }
        gaps
    }

    /// The first and the last time at which something was learned.
    pub fn span(&self) -> Option<Window> {
        let held = || {
            self.segments
                .iter()
                .map(|(_, index)| index)
                .filter(|index| index.records > 0)
        };
        Some(Window {
            from_us: held().map(|i| i.first_us).min()?,
            to_us: held().map(|i| i.last_us).max()?,
        })
    }
}

/// Bytes read at once where many blocks are wanted.
const READ_AT_ONCE: u64 = 4 << 20;

fn torn(index: &Index) -> String {
    match index.torn_bytes {
        0 => String::new(),
        bytes => format!("{bytes} bytes of a torn tail"),
    }
}

impl Timeline {
    /// Opens directories: of one supervisor each, or of several below.
    pub fn open(given: &[PathBuf]) -> Result<Self, Fault> {
        let mut supervisors = Vec::new();
        for path in given {
            for directory in directories(path)? {
                supervisors.push(Supervisor::open(&directory)?);
            }
        }
        supervisors.sort_by(|a, b| a.name.cmp(&b.name));
        let mut timeline = Timeline { supervisors };
        timeline.set_clocks();
        Ok(timeline)
    }

    /// Looks again for what was written since. A directory that can't be read now keeps what is known of it.
    pub fn refresh(&mut self) -> Result<(), Fault> {
        let mut outcome = Ok(());
        for supervisor in &mut self.supervisors {
            outcome = outcome.and(supervisor.refresh());
        }
        outcome
    }

    /// Tells from events that all supervisors learn of alike how their clocks differ.
    fn set_clocks(&mut self) {
        if self.supervisors.len() < 2 {
            return;
        }
        let shared = Query {
            kinds: clock::SHARED.to_vec(),
            ..Query::default()
        };
        let marks: Vec<clock::Marks> = self
            .supervisors
            .iter()
            .map(|supervisor| {
                let mut marks = clock::Marks::default();
                supervisor.each(&shared, |event| marks.add(&event.record));
                marks
            })
            .collect();
        let Some(first) = marks.first() else { return };
        for (supervisor, its) in self.supervisors.iter_mut().zip(&marks).skip(1) {
            (supervisor.ahead_us, supervisor.ahead_by) = clock::ahead(first, its);
        }
    }

    /// From the first to the last record of all, by the common clock.
    pub fn span(&self) -> Option<Window> {
        let spans = || {
            self.supervisors.iter().filter_map(|s| {
                let span = s.span()?;
                Some(Window {
                    from_us: span.from_us - s.ahead_us,
                    to_us: span.to_us - s.ahead_us,
                })
            })
        };
        Some(Window {
            from_us: spans().map(|s| s.from_us).min()?,
            to_us: spans().map(|s| s.to_us).max()?,
        })
    }

    /// Wanted records of all supervisors in true order: by when they happened on the common clock, then as written. With
    /// the gaps within the window of the query, also those that only reading showed.
    pub fn read(&self, query: &Query) -> (Vec<Event>, Vec<Gap>) {
        let (mut events, mut found) = (Vec::new(), Vec::new());
        for supervisor in &self.supervisors {
            let ahead = supervisor.ahead_us;
            let shifted = |us: Option<i64>| us.map(|us| us.saturating_add(ahead));
            let (from_us, to_us) = (shifted(query.from_us), shifted(query.to_us));
            let its = Query {
                from_us,
                to_us,
                ..query.clone()
            };
            found.extend(supervisor.each(&its, |mut event| {
                event.ahead_us = ahead;
                if event.number != clock::SERVER_STARTED {
                    event.at_us = event.at_us.saturating_sub(ahead);
                }
                events.push(event);
            }));
        }
        in_order(&mut events);
        let window = Window {
            from_us: query.from_us.unwrap_or(i64::MIN),
            to_us: query.to_us.unwrap_or(i64::MAX),
        };
        let mut gaps = self.gaps(window);
        gaps.extend(found);
        gaps.sort_by_key(|gap| (gap.from_us, gap.to_us));
        (events, gaps)
    }

    /// All gaps that reach into a window, cut to it, by the common clock.
    pub fn gaps(&self, window: Window) -> Vec<Gap> {
        let mut gaps = Vec::new();
        for supervisor in &self.supervisors {
            let ahead = supervisor.ahead_us;
            let common = |us: i64| {
                if us == i64::MIN || us == i64::MAX {
                    us
                } else {
                    us.saturating_sub(ahead)
                }
            };
            for gap in supervisor.gaps() {
                let (from_us, to_us) = (common(gap.from_us), common(gap.to_us));
                if to_us < window.from_us || from_us > window.to_us {
                    continue;
                }
                // What comes after the last record says nothing of a window that ends with it.
                let (from_us, to_us) = (from_us.max(window.from_us), to_us.min(window.to_us));
                let trailing = matches!(gap.reason, GapReason::Open | GapReason::Stopped);
                if trailing && to_us - from_us <= index::STALLED_US && gap.to_us == i64::MAX {
                    continue;
                }
                gaps.push(Gap {
                    from_us,
                    to_us,
                    ..gap
                });
            }
        }
        gaps.sort_by_key(|gap| (gap.from_us, gap.to_us));
        gaps
    }

    /// The sums of every ten seconds in a window, by supervisor, in order.
    pub fn rollups(&self, window: Window) -> Vec<(Arc<str>, Vec<Rollup>)> {
        let of = |supervisor: &Supervisor| {
            let ahead = supervisor.ahead_us;
            let shift = |rollup: &Rollup| Rollup {
                from_us: rollup.from_us.saturating_sub(ahead),
                ..rollup.clone()
            };
            let all = supervisor
                .segments
                .iter()
                .flat_map(|(_, index)| index.rollups.iter().map(shift));
            let within = |r: &Rollup| {
                r.from_us + index::ROLLUP_US >= window.from_us && r.from_us <= window.to_us
            };
            (Arc::clone(&supervisor.name), all.filter(within).collect())
        };
        self.supervisors.iter().map(of).collect()
    }

    /// How many records of each kind lie in the blocks that reach into a window, at most.
    pub fn records_within(&self, window: Window) -> u64 {
        let query = Query::between(window.from_us, window.to_us);
        let blocks = self
            .supervisors
            .iter()
            .flat_map(|s| s.segments.iter().flat_map(|(_, index)| &index.blocks));
        blocks
            .filter(|block| query.may_hold(block))
            .map(|block| u64::from(block.records))
            .sum()
    }
}

/// What a whole scan of a directory finds, whatever its indexes say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Segments read.
    pub segments: u64,
    /// Records read.
    pub records: u64,
    /// Records of kinds, or with fields, that are newer than this version.
    pub newer: u64,
    /// Bytes that belong to no record, within segments.
    pub damaged_bytes: u64,
    /// Bytes that belong to no record, at the end of segments.
    pub torn_bytes: u64,
    /// Sequence numbers that are missing.
    pub missing: u64,
    /// Segments whose header can't be read.
    pub headless: u64,
    /// Indexes that do not tell what their segments hold.
    pub wrong_indexes: u64,
}

impl Verdict {
    /// Whether nothing is wrong; a torn tail is what a crash leaves.
    pub fn sound(&self) -> bool {
        self.damaged_bytes == 0
            && self.missing == 0
            && self.headless == 0
            && self.wrong_indexes == 0
    }
}

/// Reads every byte of a directory's segments.
pub fn verify(directory: &Path) -> Result<Verdict, Fault> {
    let io = |fault| Fault::Io(directory.to_path_buf(), fault);
    let mut verdict = Verdict::default();
    let mut last: Option<(u64, u64)> = None;
    for id in segment::list(directory).map_err(io)? {
        let bytes = segment::bytes(&id.path(directory), 0, segment::LENGTH_MOST).map_err(io)?;
        let mut headed = false;
        for (_, item) in segment::items(&bytes, 0) {
            match item {
                Item::Header(_) => headed = true,
                Item::Damaged(bytes) => verdict.damaged_bytes += bytes,
                Item::Torn(bytes) => verdict.torn_bytes += bytes,
                Item::Record { read, .. } => {
                    verdict.records += 1;
                    verdict.newer += u64::from(read.newer.is_some());
                    let seq = read.record.seq;
                    let before = last
                        .filter(|(start, _)| *start == id.incarnation)
                        .map(|(_, seq)| seq);
                    verdict.missing +=
                        before.map_or(0, |before| seq.saturating_sub(before).saturating_sub(1));
                    last = Some((id.incarnation, seq));
                }
            }
        }
        verdict.segments += 1;
        verdict.headless += u64::from(!headed && !bytes.is_empty());
        if id.index_path(directory).exists() {
            let right = segment::stored_index(directory, id) == Some(index::build(id, &bytes));
            verdict.wrong_indexes += u64::from(!right);
        }
    }
    Ok(verdict)
}

/// Sorts events into true order: by when they happened on the common clock, then as learned, then as written.
pub fn in_order(events: &mut [Event]) {
    events.sort_by(|a, b| {
        let key = |e: &Event| (e.at_us, e.learned_us(), e.incarnation, e.record.seq);
        key(a)
            .cmp(&key(b))
            .then_with(|| a.supervisor.cmp(&b.supervisor))
    });
}

/// Whether an event is one that a person asks for, not one of a series.
pub fn is_event(event: &Event) -> bool {
    !event.record.kind.as_ref().is_some_and(kind::is_series)
}

/// Whether a kind of record is a figure of the fleet.
pub fn gauge(event: &Event) -> Option<&crate::pb::Gauge> {
    match &event.record.kind {
        Some(Kind::Gauge(gauge)) => Some(gauge),
        _ => None,
    }
}
