//! The writer thread.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_queue::ArrayQueue;
use prost::Message;

use super::missing::MissingRecords;
use super::{Options, QueuedRecord};
use crate::frame;
use crate::maintenance::ActiveSegment;
use crate::pb::{record::Kind, Record, Recovered};
use crate::store::{Store, StoreError};
use crate::text;

/// Time between two polls of the queue. A killed process may lose the records of this time.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between commits. A power failure may lose the records of this time and of the commit itself.
const COMMIT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between attempts while the disk fails.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Approximate number of bytes in one write.
const BATCH_BYTES: usize = 256 << 10;
/// Approximate size of a record in a file, in bytes.
const RECORD_BYTES: usize = 128;
/// Approximate size of a server in a record of the fleet, in bytes.
const FLEET_SERVER_BYTES: usize = 64;

pub(super) struct Writer {
    options: Options,
    active_segment: ActiveSegment,
    /// The number of records that were written to files, shared with [`super::Recording`].
    written: Arc<AtomicU64>,
    store: Option<Store>,
    /// The sequence number of the last record that was written.
    last_seq: u64,
    attempted_at: Option<Instant>,
    committed_at: Instant,
    /// Whether the current failure was logged. Cleared by a successful write.
    is_failing: bool,
    /// Whether the program is shutting down and this is the last iteration.
    is_closing: bool,
    missing: MissingRecords,
    frames: Vec<u8>,
    content: Vec<u8>,
}

impl Writer {
    pub fn new(options: Options, active_segment: ActiveSegment, written: Arc<AtomicU64>) -> Self {
        Writer {
            options,
            active_segment,
            written,
            store: None,
            last_seq: 0,
            attempted_at: None,
            committed_at: Instant::now(),
            is_failing: false,
            is_closing: false,
            missing: MissingRecords::default(),
            frames: Vec::new(),
            content: Vec::new(),
        }
    }

    /// Writes queued records until `stop` is set.
    pub fn run(
        mut self,
        queue: &ArrayQueue<QueuedRecord>,
        stop: &AtomicBool,
        now_us: impl Fn() -> i64,
    ) {
        loop {
            // Read before the queue is drained, so that records queued before the stop are written.
            self.is_closing = stop.load(Ordering::Acquire);
            self.open(now_us());
            while self.write_batch(queue, now_us()) {}
            if self.is_closing || self.committed_at.elapsed() >= COMMIT_INTERVAL {
                self.commit();
            }
            if self.is_closing {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Commits written records. Reports failures only: a commit without new records doesn't show that the disk works
    /// again.
    fn commit(&mut self) {
        self.committed_at = Instant::now();
        let Some(store) = &mut self.store else {
            return;
        };
        if let Err(fault) = store.commit() {
            self.report_failure(&fault);
        }
    }

    /// Returns whether the next attempt to use a failing disk is not due yet. The last iteration always makes an attempt.
    fn is_backing_off(&self) -> bool {
        let was_attempted = self
            .attempted_at
            .is_some_and(|attempted_at| attempted_at.elapsed() < RETRY_INTERVAL);
        !self.is_closing && was_attempted
    }

    /// Opens the directory if that hasn't succeeded yet, and records what was recovered of the previous incarnation.
    fn open(&mut self, now_us: i64) {
        if self.store.is_some() || self.is_backing_off() {
            return;
        }
        self.attempted_at = Some(Instant::now());
        let opened = Store::open(&self.options.directory, &self.options.supervisor)
            .and_then(|store| store.recovered().map(|recovered| (store, recovered)));
        let (store, recovered) = match opened {
            Ok(opened) => opened,
            Err(fault) => return self.report_failure(&fault),
        };
        let start = store.incarnation();
        self.store = Some(store);
        self.is_failing = false;
        if let Some(recovered) = recovered {
            self.write_recovered(recovered, now_us);
        }
        tracing::info!(directory = %self.options.directory.display(), start, "recording");
    }

    fn write_recovered(&mut self, recovered: Recovered, now_us: i64) {
        let kind = Kind::Recovered(recovered);
        tracing::info!("{}", text::line(&kind));
        let record = QueuedRecord {
            at_us: now_us,
            learned_us: now_us,
            kind,
        };
        self.write(&[record], now_us);
    }

    /// Writes one batch of queued records. Returns whether there may be more.
    fn write_batch(&mut self, queue: &ArrayQueue<QueuedRecord>, now_us: i64) -> bool {
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut is_empty = false;
        while bytes < BATCH_BYTES && !is_empty {
            match queue.pop() {
                Some(record) => {
                    bytes += estimated_bytes(&record.kind);
                    records.push(record);
                }
                None => is_empty = true,
            }
        }
        if !records.is_empty() || self.missing.count > 0 {
            self.write(&records, now_us);
        }
        !is_empty
    }

    fn write(&mut self, records: &[QueuedRecord], now_us: i64) {
        if self.store.is_none() || (self.is_failing && self.is_backing_off()) {
            self.add_missing(records);
            return;
        }
        self.attempted_at = Some(Instant::now());
        let first_seq = self.last_seq + 1;
        let last_seq = self.encode(records, now_us);
        let Some(store) = &mut self.store else {
            return;
        };
        let result = store.append(&self.frames, first_seq, now_us);
        self.active_segment.set(store.active_segment());
        match result {
            Ok(()) => {
                let count = last_seq - self.last_seq;
                self.written.fetch_add(count, Ordering::Release);
                self.last_seq = last_seq;
                self.missing = MissingRecords::default();
                self.report_success();
            }
            Err(fault) => {
                self.add_missing(records);
                self.report_failure(&fault);
            }
        }
    }

    /// Encodes the records as frames, after a `lost` record if any are missing. Returns the last sequence number.
    fn encode(&mut self, records: &[QueuedRecord], now_us: i64) -> u64 {
        self.frames.clear();
        let mut last_seq = self.last_seq;
        let lost = self.missing.to_kind("disk").map(|kind| QueuedRecord {
            at_us: self.missing.from_us.min(now_us),
            learned_us: now_us,
            kind,
        });
        for record in lost.iter().chain(records) {
            last_seq += u64::from(self.encode_record(record, last_seq + 1));
        }
        last_seq
    }

    /// Appends a record to the frames. Returns false, and appends nothing, if it doesn't fit into a frame.
    fn encode_record(&mut self, record: &QueuedRecord, seq: u64) -> bool {
        self.content.clear();
        // The kind is encoded separately after the other fields to avoid cloning it.
        let head = Record {
            seq,
            at_us: record.at_us,
            learned_us: record.learned_us,
            kind: None,
        };
        if head.encode(&mut self.content).is_err() {
            return false;
        }
        record.kind.encode(&mut self.content);
        frame::put(&mut self.frames, &self.content)
    }

    fn add_missing(&mut self, records: &[QueuedRecord]) {
        for record in records {
            self.missing.add(record.at_us);
        }
    }

    /// Logs once that recording works again after a failure.
    fn report_success(&mut self) {
        if std::mem::take(&mut self.is_failing) {
            tracing::info!("recording again");
        }
    }

    /// Logs once that recording fails.
    fn report_failure(&mut self, fault: &StoreError) {
        if !std::mem::replace(&mut self.is_failing, true) {
            tracing::error!(%fault, "recording failed, serving continues without records");
        }
    }
}

/// Returns the approximate size of a record in a file, to limit the size of a batch.
fn estimated_bytes(kind: &Kind) -> usize {
    match kind {
        Kind::Fleet(fleet) => FLEET_SERVER_BYTES * (1 + fleet.servers.len()),
        _ => RECORD_BYTES,
    }
}
