#![allow(missing_docs)]
//! The page of a day with a million records, most of them events.

use std::path::Path;

use chutegrade_records::pb::{self, Record};
use chutegrade_records::store::Store;
use chutegrade_records::{frame, Kind, Timeline};
use chutegrade_report::{report, Limits};
use criterion::{criterion_group, Criterion};
use prost::Message;

const DAY: i64 = 1_000_000;
const DAY_US: i64 = 86_400_000_000;

fn kind(n: i64) -> Kind {
    let server = format!("s-{:03}", n % 325);
    match n % 12 {
        0 => Kind::Gauge(pb::Gauge {
            waiting: (n % 700) as f64,
            refused: (n % 50) as f64 / 100.0,
            levels: vec![1.0; 3],
            ..pb::Gauge::default()
        }),
        1 => Kind::StateChanged(pb::StateChanged {
            server,
            state: (n % 3) as i32,
            ..pb::StateChanged::default()
        }),
        2..=6 => Kind::StreamJoined(pb::StreamJoined {
            proxy: (n % 1057) as u32,
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
    for batch in 0..DAY / 2000 {
        let mut frames = Vec::new();
        for n in batch * 2000..(batch + 1) * 2000 {
            let at_us = n * (DAY_US / DAY);
            let record = Record {
                seq: n as u64 + 1,
                at_us,
                learned_us: at_us,
                kind: Some(kind(n)),
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
    let page = report(&timeline, span, Limits::default());
    println!(
        "page of a day with {DAY} records: {} KiB",
        page.len() / 1024
    );
    let mut group = c.benchmark_group("report");
    group.sample_size(10);
    group.bench_function("page of a day of 1,000,000 records", |b| {
        b.iter(|| report(&timeline, span, Limits::default()).len())
    });
    group.finish();
}

criterion_group!(benches, day);

/// Measures under `cargo bench` alone: as one of the targets of `cargo test` it is compiled, and a day of records is not
/// written.
fn main() {
    if std::env::args().any(|argument| argument == "--bench") {
        benches();
        Criterion::default().configure_from_args().final_summary();
    }
}
