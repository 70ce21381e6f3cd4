#![allow(missing_docs)]
//! Benchmarks of the store: the cost of a record on the decision thread, the speed of appends and recovery, and a query
//! for 8 minutes of a day by the index and by a full scan. Compares with two database libraries.

use std::hint::black_box;
use std::path::Path;
use std::time::Duration;

use chutegrade_records::index::{self, Query};
use chutegrade_records::maintenance::{self, ActiveSegment, Retention};
use chutegrade_records::pb::{self, Record};
use chutegrade_records::recorder::{begin, Options};
use chutegrade_records::segment::{self, Item, SegmentId};
use chutegrade_records::store::Store;
use chutegrade_records::timeline::Timeline;
use chutegrade_records::{frame, Kind};
use chutegrade_scheduler::{Cost, JobState};
use criterion::{criterion_group, BatchSize, Criterion, Throughput};
use prost::Message;

const RECORDS_PER_DAY: u64 = 1_000_000;
const DAY_US: i64 = 86_400_000_000;
const MINUTE_US: i64 = 60_000_000;
const KEEP_ALL: Retention = Retention {
    bytes: 1 << 40,
    age: Duration::from_secs(1 << 30),
};
const UNLIMITED: Cost = Cost {
    time: Duration::from_secs(10),
    bytes: 1 << 40,
};

fn state(n: u64) -> Kind {
    Kind::StateChanged(pb::StateChanged {
        server: format!("s-{:08x}", n % 325),
        zone: "a".to_string(),
        score: 0.4,
        errors: 1.0,
        latency: 0.2,
        ..pb::StateChanged::default()
    })
}

fn record(n: u64) -> Record {
    let at_us = (n as i64) * (DAY_US / RECORDS_PER_DAY as i64);
    Record {
        seq: n + 1,
        at_us,
        learned_us: at_us,
        kind: Some(state(n)),
    }
}

fn framed(records: impl Iterator<Item = u64>) -> Vec<u8> {
    let mut out = Vec::new();
    records.for_each(|n| {
        frame::put(&mut out, &record(n).encode_to_vec());
    });
    out
}

fn write_day(directory: &Path) {
    let mut store = Store::open(directory, "n0").expect("a store");
    for batch in 0..RECORDS_PER_DAY / 2000 {
        let frames = framed(batch * 2000..(batch + 1) * 2000);
        store
            .append(&frames, batch * 2000 + 1, 0)
            .expect("an append");
    }
    store.commit().expect("a commit");
    let active_segment = ActiveSegment::default();
    active_segment.set(store.active_segment());
    for mut job in maintenance::jobs(directory, KEEP_ALL, &active_segment) {
        while job.step().state == JobState::Ready {}
    }
}

fn note(c: &mut Criterion) {
    let directory = tempfile::tempdir().expect("a directory");
    let options = Options {
        directory: directory.path().to_path_buf(),
        supervisor: "n0".into(),
        retention: KEEP_ALL,
        budget: UNLIMITED,
    };
    let (recorder, recording) = begin(options, || 0).expect("threads");
    // Batches fit into the queue; the writer drains it during the pauses.
    c.bench_function("note 2,000 records", |b| {
        b.iter_batched(
            || {
                std::thread::sleep(Duration::from_millis(60));
                (0..2000).map(state).collect::<Vec<_>>()
            },
            |kinds| {
                for kind in kinds {
                    recorder.note(1, 1, black_box(kind));
                }
            },
            BatchSize::PerIteration,
        );
    });
    recording.close();
}

const TABLE: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("records");

fn append_to_segments(directory: &Path) {
    let mut store = Store::open(directory, "n0").expect("a store");
    for batch in 0..50 {
        let frames = framed(batch * 2000..(batch + 1) * 2000);
        store.append(&frames, 1, 0).expect("an append");
    }
    store.commit().expect("a commit");
}

/// Inserts records by a key and returns the database.
fn insert_into_redb(directory: &Path, count: u64, key: impl Fn(u64) -> u64) -> redb::Database {
    let database = redb::Database::create(directory.join("r")).expect("a database");
    let write = database.begin_write().expect("a transaction");
    {
        let mut table = write.open_table(TABLE).expect("a table");
        for n in 0..count {
            let value = record(n).encode_to_vec();
            table.insert(key(n), value.as_slice()).expect("an insert");
        }
    }
    write.commit().expect("a commit");
    database
}

fn insert_into_fjall(directory: &Path) {
    let keyspace = fjall::Config::new(directory).open().expect("a keyspace");
    let records = keyspace
        .open_partition("r", fjall::PartitionCreateOptions::default())
        .expect("a partition");
    for n in 0..100_000u64 {
        records
            .insert(n.to_be_bytes(), record(n).encode_to_vec())
            .expect("an insert");
    }
    keyspace
        .persist(fjall::PersistMode::SyncData)
        .expect("a commit");
}

fn append(c: &mut Criterion) {
    let mut group = c.benchmark_group("append and commit 100,000 records");
    group
        .sample_size(10)
        .throughput(Throughput::Elements(100_000));
    let mut bench = |name: &str, run: &dyn Fn(&Path)| {
        group.bench_function(name, |b| {
            b.iter_batched(
                || tempfile::tempdir().expect("a directory"),
                |directory| {
                    run(directory.path());
                    directory
                },
                BatchSize::PerIteration,
            );
        });
    };
    bench("segments", &append_to_segments);
    bench("redb", &|directory| {
        insert_into_redb(directory, 100_000, |n| n);
    });
    bench("fjall", &insert_into_fjall);
    group.finish();
}

/// Opening after a crash reads only the last segment; a reader without indexes scans all segments.
fn recover(c: &mut Criterion) {
    let directory = tempfile::tempdir().expect("a directory");
    write_day(directory.path());
    let mut group = c.benchmark_group("recover a day of 1,000,000 records");
    group.sample_size(10);
    group.bench_function("next start of the writer", |b| {
        b.iter(|| {
            let store = Store::open(directory.path(), "n0").expect("a store");
            store.recovered().expect("a readable segment")
        });
    });
    group.bench_function("every segment scanned", |b| {
        b.iter(|| {
            let ids = segment::list(directory.path()).expect("a list");
            let records = ids.into_iter().map(|id| {
                let bytes = read_segment(directory.path(), id);
                index::build(id, &bytes).records
            });
            records.sum::<u64>()
        });
    });
    group.finish();
}

fn read_segment(directory: &Path, id: SegmentId) -> Vec<u8> {
    segment::bytes(&id.path(directory), 0, u64::MAX).expect("a readable segment")
}

/// Counts the matching records by a scan of all segments.
fn scan(directory: &Path, query: &Query) -> usize {
    let is_match = |item: &Item| match item {
        Item::Record { decoded, .. } => query.matches(&decoded.record, decoded.number),
        _ => false,
    };
    let ids = segment::list(directory).expect("a list");
    let counts = ids.into_iter().map(|id| {
        let bytes = read_segment(directory, id);
        let items = segment::items(&bytes, 0);
        items.filter(|(_, item)| is_match(item)).count()
    });
    counts.sum()
}

/// Counts the records between two times in a database that is keyed by time.
fn query_redb(database: &redb::Database, from_us: i64, to_us: i64) -> usize {
    let read = database.begin_read().expect("a transaction");
    let table = read.open_table(TABLE).expect("a table");
    let range = table.range(from_us as u64..=to_us as u64).expect("a range");
    let records = range.map(|row| Record::decode(row.expect("a row").1.value()).expect("a record"));
    records.count()
}

fn window(c: &mut Criterion) {
    let directory = tempfile::tempdir().expect("a directory");
    write_day(directory.path());
    let from_us = 9 * 60 * MINUTE_US + 12 * MINUTE_US;
    let to_us = from_us + 8 * MINUTE_US;
    let query = Query::between(from_us, to_us);
    let open = || Timeline::open(&[directory.path().to_path_buf()]).expect("a timeline");
    let timeline = open();
    let expected = timeline.read(&query).0.len();
    let mut group = c.benchmark_group("8 minutes of a day");
    group.sample_size(10);
    group.bench_function("index", |b| {
        b.iter(|| assert_eq!(timeline.read(&query).0.len(), expected));
    });
    group.bench_function("index, opened each time", |b| {
        b.iter(|| assert_eq!(open().read(&query).0.len(), expected));
    });
    group.bench_function("scan", |b| {
        b.iter(|| assert_eq!(scan(directory.path(), &query), expected));
    });
    // The key is the time of the event, so that a window is a range of keys.
    let database = insert_into_redb(directory.path(), RECORDS_PER_DAY, |n| {
        record(n).at_us as u64
    });
    group.bench_function("redb, keyed by time", |b| {
        b.iter(|| assert_eq!(query_redb(&database, from_us, to_us), expected));
    });
    group.finish();
}

criterion_group!(benches, note, append, recover, window);

/// Runs the benchmarks only under `cargo bench`. `cargo test` also runs this target and must not write a day of
/// records.
fn main() {
    if std::env::args().any(|argument| argument == "--bench") {
        benches();
        Criterion::default().configure_from_args().final_summary();
    }
}
