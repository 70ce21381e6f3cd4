//! Reads the records of one or more supervisors as one sequence of events with all gaps. Directories may grow, be
//! trimmed or be removed while they are read.

mod event;
mod gap;
mod gap_detection;
mod supervisor;
mod verification;

use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::clock::{self, ListChanges};
use crate::index::{Query, ROLLUP_US, STALLED_US};
use crate::pb::Rollup;
use crate::segment;

pub use event::{gauge, is_discrete_event, sort_events, Event};
pub use gap::{Gap, GapReason, Window};
pub use supervisor::{IndexedSegment, Supervisor};
pub use verification::{verify, VerificationReport};

/// Maximum number of subdirectories of a given directory that are searched for segments. Each supervisor has one.
const MAX_DIRECTORIES: usize = 4096;

/// Error when records can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The directory and its subdirectories contain no segments.
    #[error("no records in {0}")]
    NoRecords(PathBuf),
    /// A directory or file can't be read.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
}

/// The records of several supervisors.
pub struct Timeline {
    /// The supervisors, sorted by name.
    pub supervisors: Vec<Supervisor>,
}

/// The rollups of one supervisor.
#[derive(Clone, Debug, PartialEq)]
pub struct SupervisorRollups {
    /// The name of the supervisor.
    pub supervisor: Arc<str>,
    /// The rollups, in order, with times by the common clock.
    pub rollups: Vec<Rollup>,
}

impl Timeline {
    /// Opens directories. Each contains the segments of one supervisor, or a subdirectory for each of several.
    ///
    /// # Errors
    ///
    /// If a directory can't be read or contains no records.
    pub fn open(paths: &[PathBuf]) -> Result<Self, ReadError> {
        let mut supervisors = Vec::new();
        for path in paths {
            for directory in segment_directories(path)? {
                supervisors.push(Supervisor::open(&directory)?);
            }
        }
        supervisors.sort_by(|a, b| a.name.cmp(&b.name));
        let mut timeline = Timeline { supervisors };
        timeline.estimate_clocks();
        Ok(timeline)
    }

    /// Reads records that were written since the last read. A supervisor whose directory can't be read keeps its known
    /// records.
    ///
    /// # Errors
    ///
    /// If a directory can't be read; returns the first such error after refreshing all other directories.
    pub fn refresh(&mut self) -> Result<(), ReadError> {
        let mut result = Ok(());
        for supervisor in &mut self.supervisors {
            result = result.and(supervisor.refresh());
        }
        result
    }

    /// Estimates how far the clocks of the other supervisors are ahead of that of the first.
    fn estimate_clocks(&mut self) {
        if self.supervisors.len() < 2 {
            return;
        }
        let list_changes: Vec<ListChanges> = self.supervisors.iter().map(list_changes).collect();
        let Some((first, others)) = list_changes.split_first() else {
            return;
        };
        for (supervisor, changes) in self.supervisors.iter_mut().skip(1).zip(others) {
            let difference = clock::difference(first, changes);
            supervisor.ahead_us = difference.ahead_us;
            supervisor.clock_samples = difference.pairs;
        }
    }

    /// Returns the interval from the first to the last record of all supervisors, by the common clock; `None` without
    /// records.
    pub fn span(&self) -> Option<Window> {
        let spans = || self.supervisors.iter().filter_map(common_span);
        Some(Window {
            from_us: spans().map(|span| span.from_us).min()?,
            to_us: spans().map(|span| span.to_us).max()?,
        })
    }

    /// Returns the matching records of all supervisors in order, and the gaps within the window of the query. The gaps
    /// include ranges whose records are indexed but can't be read, with times by the clock of their supervisor.
    pub fn read(&self, query: &Query) -> (Vec<Event>, Vec<Gap>) {
        let mut events = Vec::new();
        let mut unreadable = Vec::new();
        for supervisor in &self.supervisors {
            let ahead_us = supervisor.ahead_us;
            let shifted = shifted_query(query, ahead_us);
            unreadable.extend(supervisor.for_each_event(&shifted, |mut event| {
                event.ahead_us = ahead_us;
                if event.number != clock::SERVER_STARTED {
                    event.at_us = event.at_us.saturating_sub(ahead_us);
                }
                events.push(event);
            }));
        }
        sort_events(&mut events);
        let window = Window {
            from_us: query.from_us.unwrap_or(i64::MIN),
            to_us: query.to_us.unwrap_or(i64::MAX),
        };
        let mut gaps = self.gaps(window);
        gaps.extend(unreadable);
        gaps.sort_by_key(|gap| (gap.from_us, gap.to_us));
        (events, gaps)
    }

    /// Returns all gaps that overlap a window, clipped to it, by the common clock.
    pub fn gaps(&self, window: Window) -> Vec<Gap> {
        let mut gaps = Vec::new();
        for supervisor in &self.supervisors {
            let supervisor_gaps = gap_detection::gaps(supervisor);
            let clipped = supervisor_gaps
                .into_iter()
                .filter_map(|gap| clipped_gap(gap, supervisor.ahead_us, window));
            gaps.extend(clipped);
        }
        gaps.sort_by_key(|gap| (gap.from_us, gap.to_us));
        gaps
    }

    /// Returns the rollups that overlap a window, for each supervisor.
    pub fn rollups(&self, window: Window) -> Vec<SupervisorRollups> {
        self.supervisors
            .iter()
            .map(|supervisor| supervisor_rollups(supervisor, window))
            .collect()
    }

    /// Returns the number of records in the blocks that overlap a window: an upper bound of the records within it.
    pub fn max_records_within(&self, window: Window) -> u64 {
        let query = Query::between(window.from_us, window.to_us);
        let segments = self.supervisors.iter().flat_map(|s| &s.segments);
        let blocks = segments.flat_map(|segment| &segment.index.blocks);
        blocks
            .filter(|block| query.may_match(block))
            .map(|block| u64::from(block.records))
            .sum()
    }
}

/// Returns the given directory if it contains segments, or else its subdirectories that do.
fn segment_directories(path: &Path) -> Result<Vec<PathBuf>, ReadError> {
    let io_error = |error| ReadError::Io(path.to_path_buf(), error);
    if !segment::list(path).map_err(io_error)?.is_empty() {
        return Ok(vec![path.to_path_buf()]);
    }
    let entries = std::fs::read_dir(path).map_err(io_error)?;
    let mut directories: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.is_dir())
        .take(MAX_DIRECTORIES)
        .collect();
    directories.retain(|path| segment::list(path).is_ok_and(|segments| !segments.is_empty()));
    directories.sort();
    if directories.is_empty() {
        return Err(ReadError::NoRecords(path.to_path_buf()));
    }
    Ok(directories)
}

/// Reads a supervisor's records of changes in the endpoint list.
fn list_changes(supervisor: &Supervisor) -> ListChanges {
    let query = Query {
        kinds: clock::SHARED_KINDS.to_vec(),
        ..Query::default()
    };
    let mut changes = ListChanges::default();
    supervisor.for_each_event(&query, |event| changes.add(&event.record));
    changes
}

/// Returns the interval of a supervisor's records by the common clock.
fn common_span(supervisor: &Supervisor) -> Option<Window> {
    let span = supervisor.span()?;
    Some(Window {
        from_us: span.from_us - supervisor.ahead_us,
        to_us: span.to_us - supervisor.ahead_us,
    })
}

/// Converts the times of a query from the common clock to a clock that is ahead of it.
fn shifted_query(query: &Query, ahead_us: i64) -> Query {
    let shifted = |us: Option<i64>| us.map(|us| us.saturating_add(ahead_us));
    Query {
        from_us: shifted(query.from_us),
        to_us: shifted(query.to_us),
        ..query.clone()
    }
}

/// Converts a gap to the common clock and clips it to a window. Returns `None` if it does not overlap the window, or is
/// a short open end after the last record.
fn clipped_gap(gap: Gap, ahead_us: i64, window: Window) -> Option<Gap> {
    let from_us = common_time(gap.from_us, ahead_us);
    let to_us = common_time(gap.to_us, ahead_us);
    if to_us < window.from_us || from_us > window.to_us {
        return None;
    }
    let from_us = from_us.max(window.from_us);
    let to_us = to_us.min(window.to_us);
    // A short gap after the last record is not a gap of a window that ends with that record.
    let is_trailing = matches!(gap.reason, GapReason::Open | GapReason::Stopped);
    if is_trailing && to_us - from_us <= STALLED_US && gap.to_us == i64::MAX {
        return None;
    }
    Some(Gap {
        from_us,
        to_us,
        ..gap
    })
}

/// Converts a time from a clock that is ahead to the common clock. Keeps `i64::MIN` and `i64::MAX`, which mark open
/// ends.
fn common_time(us: i64, ahead_us: i64) -> i64 {
    match us {
        i64::MIN | i64::MAX => us,
        _ => us.saturating_sub(ahead_us),
    }
}

fn supervisor_rollups(supervisor: &Supervisor, window: Window) -> SupervisorRollups {
    let segments = supervisor.segments.iter();
    let rollups = segments.flat_map(|segment| &segment.index.rollups);
    let shifted = rollups.map(|rollup| Rollup {
        from_us: rollup.from_us.saturating_sub(supervisor.ahead_us),
        ..rollup.clone()
    });
    let overlaps = |rollup: &Rollup| {
        rollup.from_us + ROLLUP_US >= window.from_us && rollup.from_us <= window.to_us
    };
    SupervisorRollups {
        supervisor: Arc::clone(&supervisor.name),
        rollups: shifted.filter(overlaps).collect(),
    }
}
