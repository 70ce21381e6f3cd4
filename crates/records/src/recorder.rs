//! Recording: from the thread that makes decisions to the disk.
//!
//! [`Recorder::note`] pushes a value to a bounded lock-free queue and returns; a writer thread takes values from it, numbers and
//! frames them, and commits in groups. What doesn't fit into the queue and what the disk doesn't accept is counted, and a `lost`
//! record with its interval follows as soon as one can be written.

mod missing;
mod writer;

use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use chutegrade_scheduler::{run, Cost};
use crossbeam_queue::ArrayQueue;

use crate::maintenance::{self, ActiveSegment, Retention};
use crate::pb::record::Kind;
use missing::MissingRecords;
use writer::Writer;

/// Capacity of the queue, in records: a burst of two for each of 8,000 proxies; some 3 MiB once it was full.
const QUEUE_CAPACITY: usize = 16_384;
/// Longest time that a shutdown waits for the last records.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two checks whether the threads have ended.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// A record before it has its number.
struct QueuedRecord {
    /// When it happened, in Unix microseconds.
    at_us: i64,
    /// When it was learned, in Unix microseconds.
    learned_us: i64,
    kind: Kind,
}

/// Accepts records on the thread that makes decisions.
pub struct Recorder {
    queue: Arc<ArrayQueue<QueuedRecord>>,
    missing: RefCell<MissingRecords>,
}

impl Recorder {
    /// Records what happened at one time and was learned at another, in Unix microseconds. Never blocks.
    pub fn note(&self, at_us: i64, learned_us: i64, kind: Kind) {
        let mut missing = self.missing.borrow_mut();
        if let Some(lost) = missing.to_kind("queue") {
            let lost = QueuedRecord {
                at_us: missing.from_us,
                learned_us,
                kind: lost,
            };
            if self.queue.push(lost).is_err() {
                missing.add(at_us);
                return;
            }
            *missing = MissingRecords::default();
        }
        let record = QueuedRecord {
            at_us: at_us.min(learned_us),
            learned_us,
            kind,
        };
        if self.queue.push(record).is_err() {
            missing.add(at_us);
        }
    }
}

/// Where records go, and how long they are kept.
#[derive(Clone, Debug)]
pub struct Options {
    /// The supervisor's own directory.
    pub directory: PathBuf,
    /// The supervisor's name.
    pub supervisor: String,
    /// How long records are kept.
    pub retention: Retention,
    /// What maintenance may cost in any ten seconds.
    pub budget: Cost,
}

/// The writer thread and the maintenance thread.
pub struct Recording {
    stop: Arc<AtomicBool>,
    written: Arc<AtomicU64>,
    writer: Option<JoinHandle<()>>,
    maintenance: Option<JoinHandle<()>>,
}

/// Starts recording. The writer opens the directory: the caller doesn't wait for it, whatever its state.
///
/// # Errors
///
/// If a thread can't be started.
pub fn begin(
    options: Options,
    now_us: impl Fn() -> i64 + Send + 'static,
) -> io::Result<(Recorder, Recording)> {
    let queue = Arc::new(ArrayQueue::new(QUEUE_CAPACITY));
    let stop = Arc::new(AtomicBool::new(false));
    let written = Arc::new(AtomicU64::new(0));
    let active_segment = ActiveSegment::default();
    let maintenance = spawn_maintenance(&options, &active_segment, Arc::clone(&stop))?;
    let writer = Writer::new(options, active_segment, Arc::clone(&written));
    let writer = {
        let queue = Arc::clone(&queue);
        let stop = Arc::clone(&stop);
        thread::Builder::new()
            .name("records-writer".into())
            .spawn(move || writer.run(&queue, &stop, now_us))?
    };
    let recorder = Recorder {
        queue,
        missing: RefCell::default(),
    };
    let recording = Recording {
        stop,
        written,
        writer: Some(writer),
        maintenance: Some(maintenance),
    };
    Ok((recorder, recording))
}

fn spawn_maintenance(
    options: &Options,
    active_segment: &ActiveSegment,
    stop: Arc<AtomicBool>,
) -> io::Result<JoinHandle<()>> {
    let jobs = maintenance::jobs(&options.directory, options.retention, active_segment);
    let budget = options.budget;
    thread::Builder::new()
        .name("records-keeper".into())
        .spawn(move || run(jobs, budget, || stop.load(Ordering::Acquire)))
}

impl Recording {
    /// The number of records that have reached the file.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Writes and commits what is queued, and ends both threads. Returns whether they ended in time.
    pub fn close(self) -> bool {
        self.close_within(CLOSE_TIMEOUT)
    }

    /// The same, with a timeout.
    pub fn close_within(mut self, timeout: Duration) -> bool {
        self.stop.store(true, Ordering::Release);
        let started_at = Instant::now();
        let handles = [self.writer.take(), self.maintenance.take()];
        let have_ended = || handles.iter().flatten().all(JoinHandle::is_finished);
        while !have_ended() && started_at.elapsed() < timeout {
            thread::sleep(CLOSE_CHECK_INTERVAL);
        }
        have_ended()
    }
}
