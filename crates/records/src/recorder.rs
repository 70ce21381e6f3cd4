//! Recording, from the decision thread to the disk.
//!
//! [`Recorder::note`] pushes a record to a bounded lock-free queue and returns. A writer thread pops records, numbers
//! and frames them, and commits in groups. Records that don't fit into the queue or can't be written are counted; a
//! `lost` record with their number and interval follows as soon as one can be written.

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

/// Capacity of the queue, in records: a burst of two for each of 8,000 proxies. A full queue takes about 3 MiB.
const QUEUE_CAPACITY: usize = 16_384;
/// Maximum time that [`Recording::close`] waits for the threads to write the last records and end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two checks whether the threads have ended.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// A record that has no sequence number yet.
struct QueuedRecord {
    /// The time of the event, in Unix microseconds.
    at_us: i64,
    /// The time at which the supervisor learned of it, in Unix microseconds.
    learned_us: i64,
    kind: Kind,
}

/// Accepts records on the decision thread.
pub struct Recorder {
    queue: Arc<ArrayQueue<QueuedRecord>>,
    missing: RefCell<MissingRecords>,
}

impl Recorder {
    /// Queues a record without blocking. `at_us` is the time of the event and `learned_us` the time at which the
    /// supervisor learned of it, in Unix microseconds.
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

/// The destination of records, their retention, and the budget of maintenance.
#[derive(Clone, Debug)]
pub struct Options {
    /// The directory of this supervisor's segments, not shared with another supervisor.
    pub directory: PathBuf,
    /// The name of the supervisor, stored in each segment.
    pub supervisor: String,
    /// The limits beyond which old segments are removed.
    pub retention: Retention,
    /// The cost that maintenance must not exceed in any ten seconds.
    pub budget: Cost,
}

/// Handles of the writer thread and the maintenance thread.
pub struct Recording {
    stop: Arc<AtomicBool>,
    written: Arc<AtomicU64>,
    writer: Option<JoinHandle<()>>,
    maintenance: Option<JoinHandle<()>>,
}

/// Starts recording. The writer thread opens the directory, so that the caller never waits for the disk.
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
    /// Returns the number of records that were written to files.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Writes and commits all queued records and stops both threads. Returns whether they ended in time.
    pub fn close(self) -> bool {
        self.close_within(CLOSE_TIMEOUT)
    }

    /// Does the same as [`Recording::close`] with another timeout.
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
