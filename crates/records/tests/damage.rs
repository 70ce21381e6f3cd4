//! Records in a real directory after crashes, damage, disk failures and removal of segments: the remaining records are
//! read in order, none is invented, and missing ones are marked by gaps.

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use chutegrade_records::index::Query;
use chutegrade_records::maintenance::{self, ActiveSegment, Retention};
use chutegrade_records::pb::{self, Record};
use chutegrade_records::recorder::{begin, Options};
use chutegrade_records::segment::{self, SegmentId};
use chutegrade_records::store::Store;
use chutegrade_records::timeline::{verify, Event, Gap, GapReason, Timeline};
use chutegrade_records::{frame, kind, Kind};
use chutegrade_scheduler::{Cost, JobState};
use proptest::prelude::*;
use prost::Message;

const SECOND: i64 = 1_000_000;
const KEEP_ALL: Retention = Retention {
    bytes: 1 << 40,
    age: Duration::from_secs(1 << 30),
};
const UNLIMITED: Cost = Cost {
    time: Duration::from_secs(10),
    bytes: 1 << 40,
};

fn gauge(waiting: f64) -> Kind {
    Kind::Gauge(pb::Gauge {
        waiting,
        streams: 4,
        levels: vec![1.0],
        ..pb::Gauge::default()
    })
}

fn state(server: &str, state: pb::State) -> Kind {
    let (server, zone) = (server.to_string(), "a".to_string());
    Kind::StateChanged(pb::StateChanged {
        server,
        zone,
        state: state.into(),
        ..pb::StateChanged::default()
    })
}

/// Returns the records of one incarnation: a sample each second from a time on, with other records in between.
fn incarnation(from_s: i64, seconds: i64, others: &[(i64, Kind)]) -> Vec<Record> {
    let started = pb::Started {
        classes: vec!["lookup".into()],
        ..pb::Started::default()
    };
    let mut kinds = vec![(from_s * SECOND, Kind::Started(started))];
    for second in 0..seconds {
        kinds.push(((from_s + second) * SECOND, gauge(second as f64)));
        let in_second = others
            .iter()
            .filter(|(at, _)| (from_s + second..from_s + second + 1).contains(&(at / SECOND)));
        kinds.extend(in_second.map(|(at, kind)| (*at, kind.clone())));
    }
    let numbered = kinds.into_iter().zip(1..);
    numbered
        .map(|((at_us, kind), seq)| Record {
            seq,
            at_us,
            learned_us: at_us,
            kind: Some(kind),
        })
        .collect()
}

fn framed(records: &[Record]) -> Vec<u8> {
    let mut out = Vec::new();
    records
        .iter()
        .for_each(|record| assert!(frame::put(&mut out, &record.encode_to_vec())));
    out
}

fn write(directory: &Path, name: &str, records: &[Record]) -> SegmentId {
    let mut store = Store::open(directory, name).expect("a store");
    store.append(&framed(records), 1, 0).expect("an append");
    store.commit().expect("a commit");
    store.active_segment().expect("a segment")
}

fn read(directory: &Path) -> (Vec<Event>, Vec<Gap>) {
    Timeline::open(&[directory.to_path_buf()])
        .expect("a timeline")
        .read(&Query::default())
}

fn reasons(gaps: &[Gap]) -> Vec<GapReason> {
    gaps.iter().map(|gap| gap.reason).collect()
}

fn seal(directory: &Path, writing: SegmentId) {
    let active_segment = ActiveSegment::default();
    active_segment.set(Some(writing));
    for mut job in maintenance::jobs(directory, KEEP_ALL, &active_segment) {
        while job.step().state == JobState::Ready {}
    }
}

#[test]
fn a_crash_and_a_shutdown_are_distinguished() {
    let directory = tempfile::tempdir().expect("a directory");
    write(directory.path(), "n0", &incarnation(100, 10, &[]));
    let mut second = incarnation(120, 10, &[]);
    let stopped = Kind::Stopped(pb::Stopped {
        reason: "SIGTERM".into(),
    });
    second.push(Record {
        seq: 12,
        at_us: 130 * SECOND,
        learned_us: 130 * SECOND,
        kind: Some(stopped),
    });
    write(directory.path(), "n0", &second);
    write(directory.path(), "n0", &incarnation(135, 5, &[]));
    let (events, gaps) = read(directory.path());
    assert_eq!(events.len(), 11 + 12 + 6);
    assert_eq!(
        reasons(&gaps),
        [GapReason::Crashed, GapReason::Stopped, GapReason::Open]
    );
    assert_eq!(
        (gaps[0].from_us, gaps[0].to_us),
        (109 * SECOND, 120 * SECOND)
    );
    assert_eq!(
        (gaps[1].from_us, gaps[1].to_us),
        (130 * SECOND, 135 * SECOND)
    );
}

#[test]
fn a_stall_lost_records_and_a_clock_step_are_marked_as_gaps() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut records = incarnation(0, 5, &[]);
    let lost = pb::Lost {
        count: 7,
        from_us: 20 * SECOND,
        to_us: 21 * SECOND,
        reason: "queue".into(),
    };
    for (at, kind) in [
        (20, gauge(0.0)),
        (21, Kind::Lost(lost)),
        (
            22,
            Kind::ClockStepped(pb::ClockStepped { by_us: -3 * SECOND }),
        ),
    ] {
        let seq = records.len() as u64 + 1;
        records.push(Record {
            seq,
            at_us: at * SECOND,
            learned_us: at * SECOND,
            kind: Some(kind),
        });
    }
    write(directory.path(), "n0", &records);
    let gaps = read(directory.path()).1;
    assert_eq!(
        reasons(&gaps),
        [
            GapReason::Stalled,
            GapReason::Lost,
            GapReason::ClockStep,
            GapReason::Open
        ]
    );
    assert_eq!(
        (gaps[0].from_us, gaps[0].to_us, gaps[1].missing),
        (4 * SECOND, 20 * SECOND, 7)
    );
    assert!(gaps[2].line().contains("-3.0 s"), "{}", gaps[2].line());
}

#[test]
fn trimmed_records_are_marked_and_the_active_segment_stays() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut last = SegmentId::default();
    for at in 0..4 {
        last = write(directory.path(), "n0", &incarnation(at * 100, 50, &[]));
    }
    let active_segment = ActiveSegment::default();
    let minimal = Retention {
        bytes: 1,
        ..KEEP_ALL
    };
    active_segment.set(Some(last));
    maintenance::jobs(directory.path(), minimal, &active_segment)
        .iter_mut()
        .for_each(|job| assert!(job.step().bytes < 1 << 20));
    assert_eq!(segment::list(directory.path()).expect("a list"), [last]);
    let gaps = read(directory.path()).1;
    assert_eq!(reasons(&gaps), [GapReason::Trimmed, GapReason::Open]);
    assert_eq!(gaps[0].to_us, 300 * SECOND);
}

#[test]
fn a_missing_segment_is_a_gap_of_known_size() {
    let directory = tempfile::tempdir().expect("a directory");
    let all = incarnation(0, 40, &[]);
    let mut store = Store::open(directory.path(), "n0").expect("a store");
    let padding = vec![0; chutegrade_records::store::SEAL_BYTES as usize];
    for chunk in all.chunks(15) {
        store
            .append(&framed(chunk), chunk[0].seq, 0)
            .expect("an append");
        store
            .append(&padding, 0, 0)
            .expect("padding that seals the segment");
    }
    let ids = segment::list(directory.path()).expect("a list");
    assert_eq!(ids.len(), 3);
    fs::remove_file(ids[1].path(directory.path())).expect("a removed file");
    let (events, gaps) = read(directory.path());
    let missing: Vec<u64> = gaps
        .iter()
        .filter(|g| g.reason == GapReason::Damaged)
        .map(|g| g.missing)
        .collect();
    assert_eq!((events.len(), missing), (all.len() - 15, vec![15]));
}

/// Returns the records of a directory that match a query.
fn find(directory: &Path, query: &Query) -> Vec<Record> {
    let timeline = Timeline::open(&[directory.to_path_buf()]).expect("a timeline");
    let (events, _) = timeline.read(query);
    events.into_iter().map(|event| event.record).collect()
}

/// Returns the records that match a query by checking each of them.
fn scan(records: &[Record], query: &Query) -> Vec<Record> {
    let is_match = |record: &&Record| {
        let number = record.kind.as_ref().map_or(0, kind::number);
        query.matches(record, number)
    };
    let mut matches: Vec<Record> = records.iter().filter(is_match).cloned().collect();
    matches.sort_by_key(|record| (record.at_us, record.learned_us, record.seq));
    matches
}

/// A query by the index finds what a full scan finds, also records whose event lies before that of earlier records.
#[test]
fn the_index_finds_what_a_scan_finds() {
    let directory = tempfile::tempdir().expect("a directory");
    let state_changes: Vec<(i64, Kind)> = (0..3000)
        .map(|n| {
            let server = format!("s-{}", n % 40);
            (n * SECOND, state(&server, pb::State::Reduced))
        })
        .collect();
    let mut records = incarnation(0, 3000, &state_changes);
    for record in records.iter_mut().skip(100).step_by(7) {
        record.at_us -= 5 * SECOND;
    }
    let first = write(directory.path(), "n0", &records);
    let about = |server: &str| Query {
        server: Some(server.into()),
        ..Query::default()
    };
    let queries = [
        Query::between(1000 * SECOND, 1480 * SECOND),
        Query {
            kinds: vec![20],
            ..Query::between(5 * SECOND, 900 * SECOND)
        },
        about("s-7"),
        about("no-such-server"),
    ];
    let before = queries
        .each_ref()
        .map(|query| find(directory.path(), query));
    let writing = write(directory.path(), "n0", &incarnation(9000, 1, &[]));
    seal(directory.path(), writing);
    assert!(
        segment::stored_index(directory.path(), first).is_some(),
        "it was indexed"
    );
    for (query, before) in queries.iter().zip(&before) {
        let mut found = find(directory.path(), query);
        found.retain(|record| record.at_us < 9000 * SECOND);
        assert_eq!(found, scan(&records, query), "{query:?}");
        assert_eq!(&found, before, "{query:?}");
    }
}

/// An index that was built before the damage lists records that are gone; reading them must report a gap.
#[test]
fn damage_after_indexing_is_found_when_the_segment_is_read() {
    let directory = tempfile::tempdir().expect("a directory");
    let id = write(directory.path(), "n0", &incarnation(0, 600, &[]));
    let writing = write(directory.path(), "n0", &incarnation(700, 1, &[]));
    seal(directory.path(), writing);
    let path = id.path(directory.path());
    let mut bytes = fs::read(&path).expect("its bytes");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    fs::write(&path, &bytes).expect("the damage");
    let (events, gaps) = read(directory.path());
    assert_eq!(events.len(), 600 + 1 + 2 - 1);
    assert!(
        gaps.iter()
            .any(|gap| gap.reason == GapReason::Damaged && gap.missing == 1),
        "{gaps:?}"
    );
    let report = verify(directory.path()).expect("a report");
    assert!(
        !report.is_valid() && report.missing == 1 && report.mismatched_indexes == 1,
        "{report:?}"
    );
    // A damaged index is ignored.
    let index = id.index_path(directory.path());
    let mut bytes = fs::read(&index).expect("its bytes");
    bytes[20] ^= 1;
    fs::write(&index, &bytes).expect("the damage");
    assert_eq!(read(directory.path()).0.len(), events.len());
}

fn draining(server: &str) -> Kind {
    Kind::LifeChanged(pb::LifeChanged {
        server: server.to_string(),
        zone: "a".to_string(),
        life: pb::Life::Draining.into(),
    })
}

#[test]
fn two_supervisors_are_merged_and_a_clock_difference_is_corrected() {
    let directory = tempfile::tempdir().expect("a directory");
    let ahead_us = 3 * SECOND + 20_000;
    let changes: Vec<(i64, Kind)> = (0..5)
        .map(|n| ((10 + 7 * n) * SECOND, draining(&format!("s-{n}"))))
        .collect();
    let shifted: Vec<(i64, Kind)> = changes
        .iter()
        .map(|(at_us, kind)| (at_us + ahead_us, kind.clone()))
        .collect();
    write(
        &directory.path().join("n0"),
        "n0",
        &incarnation(0, 60, &changes),
    );
    write(
        &directory.path().join("n1"),
        "n1",
        &incarnation(3, 60, &shifted),
    );
    let timeline = Timeline::open(&[directory.path().to_path_buf()]).expect("a timeline");
    let second = &timeline.supervisors[1];
    assert_eq!((second.ahead_us, second.clock_samples), (ahead_us, 5));
    let (events, _) = timeline.read(&Query {
        kinds: vec![21],
        ..Query::default()
    });
    let order: Vec<&str> = events
        .iter()
        .filter_map(|event| event.record.kind.as_ref().and_then(kind::server))
        .collect();
    assert_eq!(
        order,
        ["s-0", "s-0", "s-1", "s-1", "s-2", "s-2", "s-3", "s-3", "s-4", "s-4"]
    );
    assert!(events.windows(2).all(|pair| pair[0].at_us <= pair[1].at_us));
    let delays: Vec<i64> = events
        .iter()
        .map(|event| event.learned_us() - event.at_us)
        .collect();
    assert!(
        delays.iter().all(|delay| *delay == 0),
        "events that were learned immediately have no delay: {delays:?}"
    );
}

fn options(directory: &Path) -> Options {
    Options {
        directory: directory.to_path_buf(),
        supervisor: "n0".into(),
        retention: KEEP_ALL,
        budget: UNLIMITED,
    }
}

fn wait_until(what: &str, mut is_reached: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !is_reached() {
        assert!(
            started_at.elapsed() < Duration::from_secs(60),
            "not reached: {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn records_are_written_in_order_and_closing_waits_for_them() {
    let directory = tempfile::tempdir().expect("a directory");
    let (recorder, recording) = begin(options(directory.path()), || 0).expect("threads");
    (0..5000).for_each(|n| recorder.note(n, n, gauge(n as f64)));
    assert!(recording.close());
    let (events, gaps) = read(directory.path());
    let times: Vec<i64> = events.iter().map(|event| event.record.at_us).collect();
    assert_eq!(times, (0..5000).collect::<Vec<_>>());
    assert!(events
        .iter()
        .zip(1..)
        .all(|(event, seq)| event.record.seq == seq));
    assert_eq!(reasons(&gaps), [GapReason::Open]);
}

/// Records beyond the capacity of the queue must not block the caller, and must be counted as lost.
#[test]
fn records_beyond_the_queue_are_counted_and_marked() {
    let directory = tempfile::tempdir().expect("a directory");
    let (recorder, recording) = begin(options(directory.path()), || 0).expect("threads");
    let sent = 60_000;
    (0..sent).for_each(|n| recorder.note(n, n, gauge(0.0)));
    wait_until("the end of the queue", || recording.written() > 10_000);
    std::thread::sleep(Duration::from_millis(200));
    recorder.note(sent, sent, gauge(1.0));
    assert!(recording.close());
    let (events, gaps) = read(directory.path());
    let written = events
        .iter()
        .filter(|event| matches!(event.record.kind, Some(Kind::Gauge(_))))
        .count() as u64;
    let lost: u64 = gaps
        .iter()
        .filter(|gap| gap.reason == GapReason::Lost)
        .map(|gap| gap.missing)
        .sum();
    assert!(
        lost > 0 && written + lost == sent as u64 + 1,
        "written {written} lost {lost}"
    );
}

/// A disk failure, here a file in place of the directory, must stop recording only. Records that were lost meanwhile
/// are marked as soon as writing succeeds.
#[test]
fn a_failing_disk_is_retried_and_leaves_a_marked_gap() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("n0");
    fs::write(&path, "not a directory").expect("a file");
    let (recorder, recording) = begin(options(&path), || 0).expect("threads");
    (1..=40).for_each(|n| recorder.note(n * SECOND, n * SECOND, gauge(0.0)));
    std::thread::sleep(Duration::from_millis(300));
    fs::remove_file(&path).expect("a removed file");
    wait_until("written records", || {
        recorder.note(50 * SECOND, 50 * SECOND, gauge(0.0));
        recording.written() > 0
    });
    assert!(recording.close());
    let (_, gaps) = read(&path);
    let lost = gaps
        .iter()
        .find(|gap| gap.reason == GapReason::Lost)
        .expect("a mark");
    assert!(
        lost.missing >= 40 && lost.from_us == SECOND && lost.detail == "disk",
        "{lost:?}"
    );
}

#[test]
fn a_second_supervisor_of_the_same_name_waits_for_the_lock() {
    let directory = tempfile::tempdir().expect("a directory");
    let first = Store::open(directory.path(), "n0").expect("a store");
    let (recorder, recording) = begin(options(directory.path()), || 0).expect("threads");
    recorder.note(0, 0, gauge(0.0));
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(recording.written(), 0);
    drop(first);
    wait_until("the lock", || {
        recorder.note(0, 0, gauge(0.0));
        recording.written() > 0
    });
    assert!(recording.close());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// After arbitrary damage, no record is invented or changed, every missing one lies within a gap, and reading does
    /// not fail.
    #[test]
    fn damage_is_marked_and_no_record_is_invented(
        ranges in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 1..60usize), 1..6),
        cut in proptest::option::of(any::<prop::sample::Index>()),
    ) {
        let directory = tempfile::tempdir().expect("a directory");
        let others: Vec<(i64, Kind)> = (0..60).step_by(4).map(|n| (n * SECOND + 5, state("s-1", pb::State::Reduced))).collect();
        let all = incarnation(0, 60, &others);
        let id = write(directory.path(), "n0", &all);
        let path = id.path(directory.path());
        let mut bytes = fs::read(&path).expect("its bytes");
        for (position, value, length) in &ranges {
            let from = position.index(bytes.len());
            bytes.iter_mut().skip(from).take(*length).for_each(|byte| *byte ^= value);
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        fs::write(&path, &bytes).expect("the damage");
        write(directory.path(), "n0", &incarnation(100, 3, &[]));
        let (events, gaps) = read(directory.path());
        let first: Vec<&Record> = events.iter().filter(|e| e.incarnation == 1).map(|e| &e.record).collect();
        let was_read = |record: &Record| first.iter().any(|read| **read == *record);
        prop_assert!(first.iter().all(|read| all.contains(read)), "a record was invented");
        for missing in all.iter().filter(|record| !was_read(record)) {
            let marked = gaps.iter().any(|gap| gap.from_us <= missing.at_us && missing.at_us <= gap.to_us);
            prop_assert!(marked, "no gap over {}: {gaps:?}", missing.at_us);
        }
        prop_assert_eq!(events.iter().filter(|e| e.incarnation == 2).count(), 4);
        prop_assert!(verify(directory.path()).is_ok());
    }
}

/// All subdirectories of a large fleet are read, independent of the order in which the file system lists them.
#[test]
fn the_records_of_a_thousand_supervisors_are_read_together() {
    let directory = tempfile::tempdir().expect("a directory");
    for supervisor in 0..1024 {
        let name = format!("n{supervisor}");
        write(
            &directory.path().join(&name),
            &name,
            &incarnation(100, 1, &[]),
        );
    }
    let timeline = Timeline::open(&[directory.path().to_path_buf()]).expect("records");
    let names: std::collections::BTreeSet<&str> = timeline
        .supervisors
        .iter()
        .map(|supervisor| &*supervisor.name)
        .collect();
    assert_eq!((timeline.supervisors.len(), names.len()), (1024, 1024));
}
