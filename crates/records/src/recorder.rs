//! From the ticking thread to the disk. [`Recorder::note`] puts a value into a bounded lock-free queue and returns; a
//! writer thread takes what waits, numbers and frames it, and commits in groups. What does not fit, and what the disk
//! does not take, is counted, and a `lost` record with its interval follows as soon as one can be written.

use std::cell::RefCell;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use chutegrade_scheduler as background;
use crossbeam_queue::ArrayQueue;
use prost::Message;

use crate::frame;
use crate::jobs::{self, Retention, Shared};
use crate::pb::{record::Kind, Lost, Record, Recovered};
use crate::store::{Fault, Store};

/// Values that may wait for the writer: a burst of two for each of 8,000 proxies; some 3 MiB once it was full.
const QUEUE_MOST: usize = 16_384;
/// The writer looks for work this often: what a killed process may lose.
pub const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Time between commits: what a machine that loses power may lose, beside the time of the commit itself.
pub const COMMIT_EVERY: Duration = Duration::from_secs(1);
/// Time between tries at a disk that takes nothing.
const AGAIN_EVERY: Duration = Duration::from_secs(1);
/// Frames that are handed to the disk at once, in bytes.
const BATCH_BYTES: usize = 256 << 10;
/// How long the end of the program waits for the last records.
const CLOSE_MOST: Duration = Duration::from_millis(500);

struct Item {
    at_us: i64,
    learned_us: i64,
    kind: Kind,
}

/// Records that are missing, by what they would have told of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Missing {
    count: u64,
    from_us: i64,
    to_us: i64,
}

impl Missing {
    fn add(&mut self, at_us: i64) {
        let (from, to) = if self.count == 0 {
            (at_us, at_us)
        } else {
            (self.from_us, self.to_us)
        };
        *self = Missing {
            count: self.count + 1,
            from_us: from.min(at_us),
            to_us: to.max(at_us),
        };
    }

    fn record(self, reason: &str) -> Kind {
        let Missing {
            count,
            from_us,
            to_us,
        } = self;
        Kind::Lost(Lost {
            count,
            from_us,
            to_us,
            reason: reason.to_string(),
        })
    }
}

/// Takes values on the ticking thread.
pub struct Recorder {
    queue: Arc<ArrayQueue<Item>>,
    missing: RefCell<Missing>,
}

impl Recorder {
    /// Hands over what happened at one time and was learned at another, in Unix microseconds. Never waits.
    pub fn note(&self, at_us: i64, learned_us: i64, kind: Kind) {
        let mut missing = self.missing.borrow_mut();
        if missing.count > 0 {
            let lost = Item {
                at_us: missing.from_us,
                learned_us,
                kind: missing.record("queue"),
            };
            if self.queue.push(lost).is_err() {
                missing.add(at_us);
                return;
            }
            *missing = Missing::default();
        }
        let item = Item {
            at_us: at_us.min(learned_us),
            learned_us,
            kind,
        };
        if self.queue.push(item).is_err() {
            missing.add(at_us);
        }
    }
}

/// Where records go, and how long they are kept.
#[derive(Clone, Debug)]
pub struct Options {
    /// The supervisor's own directory.
    pub directory: PathBuf,
    /// Its name.
    pub supervisor: String,
    /// How long records are kept.
    pub retention: Retention,
    /// What background work may take in any ten seconds.
    pub budget: background::Cost,
}

/// The writer thread, and the thread of background jobs.
pub struct Recording {
    stop: Arc<AtomicBool>,
    written: Arc<AtomicU64>,
    writer: Option<JoinHandle<()>>,
    keeper: Option<JoinHandle<()>>,
}

/// Begins to record. The directory is opened by the writer: whatever is wrong with it, the caller goes on at once.
pub fn begin(
    options: Options,
    now_us: impl Fn() -> i64 + Send + 'static,
) -> std::io::Result<(Recorder, Recording)> {
    let queue = Arc::new(ArrayQueue::new(QUEUE_MOST));
    let (stop, written) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let shared = Shared::default();
    let keeper = {
        let (stop, options, shared) = (stop.clone(), options.clone(), shared.clone());
        let jobs = jobs::all(&options.directory, options.retention, &shared);
        let work = move || background::run(jobs, options.budget, || stop.load(Ordering::Acquire));
        std::thread::Builder::new()
            .name("records-keeper".into())
            .spawn(work)?
    };
    let writer = {
        let (stop, queue, written) = (stop.clone(), queue.clone(), written.clone());
        let work = move || Writer::new(options, shared, written).run(&queue, &stop, now_us);
        std::thread::Builder::new()
            .name("records-writer".into())
            .spawn(work)?
    };
    let recorder = Recorder {
        queue,
        missing: RefCell::default(),
    };
    Ok((
        recorder,
        Recording {
            stop,
            written,
            writer: Some(writer),
            keeper: Some(keeper),
        },
    ))
}

impl Recording {
    /// Records that have reached the file.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Writes and commits what waits, and ends both threads; a disk that hangs is not awaited for long.
    pub fn close(self) -> bool {
        self.close_within(CLOSE_MOST)
    }

    /// The same, awaited for no longer than this.
    pub fn close_within(mut self, within: Duration) -> bool {
        self.stop.store(true, Ordering::Release);
        let begun = Instant::now();
        let handles = [self.writer.take(), self.keeper.take()];
        let ended =
            |handle: &Option<JoinHandle<()>>| handle.as_ref().is_none_or(JoinHandle::is_finished);
        while !handles.iter().all(ended) && begun.elapsed() < within {
            std::thread::sleep(Duration::from_millis(2));
        }
        handles.iter().all(ended)
    }
}

struct Writer {
    options: Options,
    shared: Shared,
    written: Arc<AtomicU64>,
    store: Option<Store>,
    seq: u64,
    tried: Option<Instant>,
    committed: Instant,
    /// It was said that nothing can be written; not said again until something was.
    failing: bool,
    /// The program ends: this is the last round.
    closing: bool,
    missing: Missing,
    frames: Vec<u8>,
    content: Vec<u8>,
}

impl Writer {
    fn new(options: Options, shared: Shared, written: Arc<AtomicU64>) -> Self {
        Writer {
            options,
            shared,
            written,
            store: None,
            seq: 0,
            tried: None,
            committed: Instant::now(),
            failing: false,
            closing: false,
            missing: Missing::default(),
            frames: Vec::new(),
            content: Vec::new(),
        }
    }

    fn run(mut self, queue: &ArrayQueue<Item>, stop: &AtomicBool, now_us: impl Fn() -> i64) {
        loop {
            // Asked before the queue is looked at: what was noted before the stop is written.
            let last = stop.load(Ordering::Acquire);
            self.closing = last;
            self.open(now_us());
            while self.batch(queue, now_us()) {}
            if last || self.committed.elapsed() >= COMMIT_EVERY {
                self.committed = Instant::now();
                // A commit of nothing is no sign that the disk takes something again.
                if let Some(fault) = self.store.as_mut().and_then(|store| store.commit().err()) {
                    self.outcome(Err(fault));
                }
            }
            if last {
                return;
            }
            std::thread::sleep(LOOK_EVERY);
        }
    }

    /// Whether a disk that took nothing is left alone for now; the last try of all is made in any case.
    fn waits(&self) -> bool {
        !self.closing
            && self
                .tried
                .is_some_and(|tried| tried.elapsed() < AGAIN_EVERY)
    }

    /// Opens the directory, at once and then now and then; tells what the start before has left.
    fn open(&mut self, now_us: i64) {
        if self.store.is_some() || self.waits() {
            return;
        }
        self.tried = Some(Instant::now());
        let opened = Store::open(&self.options.directory, &self.options.supervisor);
        let opened = opened.and_then(|store| store.recovered().map(|found| (store, found)));
        match opened {
            Ok((store, found)) => {
                let start = store.incarnation();
                (self.store, self.failing) = (Some(store), false);
                if let Some(found) = found {
                    tell(&found);
                    self.write(
                        vec![Item {
                            at_us: now_us,
                            learned_us: now_us,
                            kind: Kind::Recovered(found),
                        }],
                        now_us,
                    );
                }
                tracing::info!(directory = %self.options.directory.display(), start, "recording");
            }
            Err(fault) => self.outcome(Err(fault)),
        }
    }

    /// Takes as much as one write should hold; whether more may wait.
    fn batch(&mut self, queue: &ArrayQueue<Item>, now_us: i64) -> bool {
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, true);
        while bytes < BATCH_BYTES && more {
            match queue.pop() {
                Some(item) => {
                    bytes += size(&item.kind);
                    items.push(item);
                }
                None => more = false,
            }
        }
        if !items.is_empty() || self.missing.count > 0 {
            self.write(items, now_us);
        }
        more
    }

    fn write(&mut self, items: Vec<Item>, now_us: i64) {
        let failed = |missing: &mut Missing, items: &[Item]| {
            items.iter().for_each(|item| missing.add(item.at_us))
        };
        if self.store.is_none() || (self.failing && self.waits()) {
            failed(&mut self.missing, &items);
            return;
        }
        self.tried = Some(Instant::now());
        let (first, mut seq) = (self.seq + 1, self.seq);
        self.frames.clear();
        let lost = (self.missing.count > 0).then(|| Item {
            at_us: self.missing.from_us.min(now_us),
            learned_us: now_us,
            kind: self.missing.record("disk"),
        });
        for item in lost.iter().chain(&items) {
            self.content.clear();
            let (at_us, learned_us) = (item.at_us, item.learned_us);
            // Without a clone of the kind: the fields of every record, then the kind.
            let head = Record {
                seq: seq + 1,
                at_us,
                learned_us,
                kind: None,
            };
            if head.encode(&mut self.content).is_ok() {
                item.kind.encode(&mut self.content);
                seq += u64::from(frame::put(&mut self.frames, &self.content));
            }
        }
        let Some(store) = &mut self.store else { return };
        let appended = store.append(&self.frames, first, now_us);
        self.shared.set_writing(store.writing());
        match &appended {
            Ok(()) => {
                self.written.fetch_add(seq - self.seq, Ordering::Release);
                (self.seq, self.missing) = (seq, Missing::default());
            }
            Err(_) => failed(&mut self.missing, &items),
        }
        self.outcome(appended);
    }

    /// Says once that recording has stopped, and once that it goes on.
    fn outcome(&mut self, outcome: Result<(), Fault>) {
        match outcome {
            Ok(()) => {
                if std::mem::take(&mut self.failing) {
                    tracing::info!("recording again");
                }
            }
            Err(fault) => {
                if !std::mem::replace(&mut self.failing, true) {
                    tracing::error!(%fault, "recording stops, serving goes on");
                }
            }
        }
    }
}

/// A rough size of what a kind takes in a file, enough to bound a batch.
fn size(kind: &Kind) -> usize {
    match kind {
        Kind::Fleet(fleet) => 64 * (1 + fleet.servers.len()),
        _ => 128,
    }
}

fn tell(found: &Recovered) {
    let text = crate::text::line(&Kind::Recovered(*found));
    tracing::info!("{text}");
}
