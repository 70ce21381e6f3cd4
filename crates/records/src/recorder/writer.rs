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

/// Time between two polls of the queue: what a killed process may lose.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between commits: what a power failure may lose, besides the time of the commit itself.
const COMMIT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between attempts while the disk accepts nothing.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes that are written at once, roughly.
const BATCH_BYTES: usize = 256 << 10;
/// Bytes of a record in a file, roughly.
const RECORD_BYTES: usize = 128;
/// Bytes of a server in a record of the fleet, roughly.
const FLEET_SERVER_BYTES: usize = 64;

pub(super) struct Writer {
    options: Options,
    active_segment: ActiveSegment,
    /// The number of records that have reached the file, shared with the recording's owner.
    written: Arc<AtomicU64>,
    store: Option<Store>,
    /// The number of the last record that was written.
    last_seq: u64,
    attempted_at: Option<Instant>,
    committed_at: Instant,
    /// The log says that nothing can be written; not repeated until something was.
    is_failing: bool,
    /// The program ends: this is the last round.
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

    /// Writes what is queued until it is stopped.
    pub fn run(
        mut self,
        queue: &ArrayQueue<QueuedRecord>,
        stop: &AtomicBool,
        now_us: impl Fn() -> i64,
    ) {
        loop {
            // Read before the queue is emptied: what was queued before the stop is written.
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

    /// A commit of nothing does not show that the disk works again, so that only failures are reported.
    fn commit(&mut self) {
        self.committed_at = Instant::now();
        let Some(store) = &mut self.store else {
            return;
        };
        if let Err(fault) = store.commit() {
            self.report_failure(&fault);
        }
    }

    /// Whether the next attempt at a failing disk is not due yet. The last round makes one in any case.
    fn is_backing_off(&self) -> bool {
        let was_attempted = self
            .attempted_at
            .is_some_and(|attempted_at| attempted_at.elapsed() < RETRY_INTERVAL);
        !self.is_closing && was_attempted
    }

    /// Opens the directory if that hasn't succeeded yet, and records what the previous incarnation has left.
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

    /// Writes as much of the queue as one write should hold. Returns whether there may be more.
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

    /// Encodes a record on what is missing, if anything is, and the given ones as frames. Returns the number of the last.
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

    /// Appends a record to the frames. Returns whether it fits into one.
    fn encode_record(&mut self, record: &QueuedRecord, seq: u64) -> bool {
        self.content.clear();
        // The kind is encoded after the other fields, which saves a clone of it.
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

    /// Logs once that recording continues.
    fn report_success(&mut self) {
        if std::mem::take(&mut self.is_failing) {
            tracing::info!("recording again");
        }
    }

    /// Logs once that recording has stopped.
    fn report_failure(&mut self, fault: &StoreError) {
        if !std::mem::replace(&mut self.is_failing, true) {
            tracing::error!(%fault, "recording stops, serving goes on");
        }
    }
}

/// The bytes of a record in a file, precise enough to bound a batch.
fn estimated_bytes(kind: &Kind) -> usize {
    match kind {
        Kind::Fleet(fleet) => FLEET_SERVER_BYTES * (1 + fleet.servers.len()),
        _ => RECORD_BYTES,
    }
}
