use super::*;
use crate::pb::{record::Kind, Gauge, Record, Stopped};
use crate::segment::Item;

pub(crate) fn framed(records: &[Record]) -> Vec<u8> {
    let mut out = Vec::new();
    records
        .iter()
        .for_each(|record| assert!(frame::put(&mut out, &record.encode_to_vec())));
    out
}

fn records(count: u64) -> Vec<Record> {
    let kind = |seq| {
        Kind::Gauge(Gauge {
            waiting: seq as f64,
            ..Gauge::default()
        })
    };
    (1..=count)
        .map(|seq| Record {
            seq,
            at_us: seq as i64,
            learned_us: seq as i64,
            kind: Some(kind(seq)),
        })
        .collect()
}

fn read(directory: &Path, id: SegmentId) -> Vec<Record> {
    let bytes = segment::bytes(&id.path(directory), 0, u64::MAX).expect("a segment");
    let record = |(_, item)| {
        if let Item::Record { decoded, .. } = item {
            Some(decoded.record)
        } else {
            None
        }
    };
    segment::items(&bytes, 0).filter_map(record).collect()
}

#[test]
fn a_directory_is_locked_until_its_store_is_closed() {
    let directory = tempfile::tempdir().expect("a directory");
    let first = Store::open(directory.path(), "n0").expect("a store");
    let error = Store::open(directory.path(), "n0")
        .expect_err("it is in use")
        .to_string();
    assert!(
        error.contains("in use by another supervisor") && !error.contains('\n'),
        "{error}"
    );
    drop(first);
    assert_eq!(
        Store::open(directory.path(), "n0")
            .expect("a lock file without a process does not lock")
            .incarnation(),
        1
    );
}

/// A crash during a write truncates the segment at an arbitrary byte. Complete records before it must be kept, and the
/// next incarnation must start.
#[test]
fn a_crash_at_any_byte_keeps_all_records_before_it() {
    let directory = tempfile::tempdir().expect("a directory");
    let all = records(12);
    let mut store = Store::open(directory.path(), "n0").expect("a store");
    store.append(&framed(&all), 1, 0).expect("an append");
    store.commit().expect("a commit");
    let id = store.active_segment().expect("a segment");
    drop(store);
    let path = id.path(directory.path());
    let whole = std::fs::read(&path).expect("its bytes");
    let ends: Vec<usize> = (0..=all.len())
        .map(|n| whole.len() - framed(&all[n..]).len())
        .collect();
    for cut in 0..=whole.len() {
        std::fs::write(&path, &whole[..cut]).expect("a cut file");
        let complete = ends
            .iter()
            .filter(|end| **end <= cut)
            .count()
            .saturating_sub(1);
        assert_eq!(read(directory.path(), id), all[..complete], "cut at {cut}");
        let mut next = Store::open(directory.path(), "n0").expect("the next incarnation");
        let recovered = next
            .recovered()
            .expect("a readable segment")
            .expect("an incarnation");
        assert_eq!(
            (recovered.incarnation, recovered.records, recovered.stopped),
            (1, complete as u64, false)
        );
        let torn = cut - ends.iter().rfind(|end| **end <= cut).copied().unwrap_or(0);
        assert_eq!(recovered.torn_bytes, torn as u64, "cut at {cut}");
        next.append(&framed(&records(1)), 1, 0).expect("an append");
        let segment = next.active_segment().expect("a segment");
        assert_eq!(
            (segment.incarnation, read(directory.path(), segment).len()),
            (2, 1)
        );
        std::fs::remove_file(segment.path(directory.path())).expect("a removed file");
    }
}

#[test]
fn a_graceful_shutdown_is_recognized() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = Store::open(directory.path(), "n0").expect("a store");
    let mut all = records(3);
    all.push(Record {
        seq: 4,
        kind: Some(Kind::Stopped(Stopped::default())),
        ..Record::default()
    });
    store.append(&framed(&all), 1, 0).expect("an append");
    drop(store);
    let next = Store::open(directory.path(), "n0").expect("a store");
    assert!(
        next.recovered()
            .expect("a readable segment")
            .expect("an incarnation")
            .stopped
    );
}

#[test]
fn a_full_segment_is_sealed_and_a_new_one_started() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = Store::open(directory.path(), "n0").expect("a store");
    let large = vec![0; SEAL_BYTES as usize];
    store.append(&large, 1, 0).expect("an append");
    assert_eq!(store.active_segment().map(|id| id.number), Some(0));
    store.append(&framed(&records(1)), 1, 0).expect("an append");
    assert_eq!(store.active_segment().map(|id| id.number), Some(1));
    assert!(store.has_uncommitted());
    store.commit().expect("a commit");
    assert!(!store.has_uncommitted());
}
