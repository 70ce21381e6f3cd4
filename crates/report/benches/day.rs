//! Benchmark of the report for a day with a million records, most of them events.
#![allow(missing_docs)] // `criterion_group` generates a public function.

use std::path::Path;

use chutegrade_records::pb::{self, Record};
use chutegrade_records::store::Store;
use chutegrade_records::{frame, Kind, Timeline};
use chutegrade_report::{report, PageLimits};
use criterion::{criterion_group, Criterion};
use prost::Message;

/// Number of records in the day.
const RECORDS: i64 = 1_000_000;
/// Number of records that are appended at once.
const BATCH: i64 = 2000;
/// Length of a day, in microseconds.
const DAY_US: i64 = 86_400_000_000;

/// Returns the kind of a record: a gauge, a change of state, a new stream or a change of a level, by its number.
fn kind(number: i64) -> Kind {
    let server = format!("s-{:03}", number % 325);
    match number % 12 {
        0 => Kind::Gauge(pb::Gauge {
            waiting: (number % 700) as f64,
            refused: (number % 50) as f64 / 100.0,
            levels: vec![1.0; 3],
            ..pb::Gauge::default()
        }),
        1 => Kind::StateChanged(pb::StateChanged {
            server,
            state: (number % 3) as i32,
            ..pb::StateChanged::default()
        }),
        2..=6 => Kind::StreamJoined(pb::StreamJoined {
            proxy: (number % 1057) as u32,
            zone: "a".into(),
            ..pb::StreamJoined::default()
        }),
        _ => Kind::Level(pb::Level {
            class: "lookup".into(),
            level: 0.5,
            ..pb::Level::default()
        }),
    }
}

fn write(directory: &Path) {
    let mut store = Store::open(directory, "n0").expect("a store");
    for batch in 0..RECORDS / BATCH {
        let mut frames = Vec::new();
        for number in batch * BATCH..(batch + 1) * BATCH {
            let at_us = number * (DAY_US / RECORDS);
            let record = Record {
                seq: number as u64 + 1,
                at_us,
                learned_us: at_us,
                kind: Some(kind(number)),
            };
            frame::put(&mut frames, &record.encode_to_vec());
        }
        store.append(&frames, 1, 0).expect("an append");
    }
}

fn day(c: &mut Criterion) {
    let directory = tempfile::tempdir().expect("a directory");
    write(directory.path());
    let timeline = Timeline::open(&[directory.path().to_path_buf()]).expect("records");
    let span = timeline.span().expect("records");
    let page = report(&timeline, span, PageLimits::default());
    println!(
        "page of a day with {RECORDS} records: {} KiB",
        page.len() / 1024
    );
    let mut group = c.benchmark_group("report");
    group.sample_size(10);
    group.bench_function("page of a day of 1,000,000 records", |b| {
        b.iter(|| report(&timeline, span, PageLimits::default()).len());
    });
    group.finish();
}

criterion_group!(benches, day);

/// Runs the benchmark under `cargo bench` only: writing a day of records takes too long for `cargo test`.
fn main() {
    if std::env::args().any(|argument| argument == "--bench") {
        benches();
        Criterion::default().configure_from_args().final_summary();
    }
}
