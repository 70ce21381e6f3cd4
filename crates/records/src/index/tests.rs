use super::*;
use crate::pb;

fn block(servers: &[&str], kinds: &[u32]) -> Block {
    let servers = servers
        .iter()
        .fold(0, |all, server| all | server_bits(server));
    let kinds = kinds
        .iter()
        .fold(0, |all, number| all | 1u64 << (number - kind::FIRST_NUMBER));
    Block {
        kinds,
        servers_low: servers as u64,
        servers_high: (servers >> 64) as u64,
        min_at_us: 10,
        max_at_us: 20,
        ..Block::default()
    }
}

#[test]
fn a_block_is_skipped_only_if_no_record_can_match() {
    let block = block(&["s-1", "s-2"], &[20, 43]);
    let query = |from, to, kinds: &[u32], server: Option<&str>| Query {
        from_us: Some(from),
        to_us: Some(to),
        kinds: kinds.to_vec(),
        server: server.map(str::to_string),
    };
    assert!(
        query(20, 30, &[], None).may_match(&block) && query(0, 10, &[], None).may_match(&block)
    );
    assert!(
        !query(21, 30, &[], None).may_match(&block) && !query(0, 9, &[], None).may_match(&block)
    );
    assert!(query(0, 30, &[20], Some("s-2")).may_match(&block));
    assert!(!query(0, 30, &[21], Some("s-2")).may_match(&block));
    assert!(!query(0, 30, &[20], Some("s-77")).may_match(&block));
    assert!(
        !query(0, 30, &[9_999], None).may_match(&block),
        "a kind beyond the set is in no block"
    );
}

#[test]
fn rollups_aggregate_the_samples_of_ten_seconds() {
    let mut builder = Builder::new(SegmentId::default(), 0);
    for (seq, second) in (0..25u64).enumerate() {
        let gauge = pb::Gauge {
            waiting: second as f64 * 10.0,
            refused: if second == 12 { 0.5 } else { 0.0 },
            streams: 8 - (second / 20) as u32,
            levels: vec![1.0, if second == 12 { 0.4 } else { 1.0 }],
            ..pb::Gauge::default()
        };
        let at_us = second as i64 * 1_000_000;
        let record = Record {
            seq: seq as u64,
            at_us,
            learned_us: at_us,
            kind: Some(Kind::Gauge(gauge)),
        };
        let decoded = kind::DecodedRecord {
            number: 43,
            record,
            newer: None,
        };
        builder.add(&Item::Record {
            at: 0,
            bytes: 1,
            decoded,
        });
    }
    let index = builder.finish();
    let middle = &index.rollups[1];
    assert_eq!(
        (index.rollups.len(), middle.from_us, middle.counts[&43]),
        (3, 10_000_000, 10)
    );
    assert_eq!(
        (middle.refused_most, middle.refused_mean, middle.levels[1]),
        (0.5, 0.05, 0.4)
    );
    assert!((middle.waiting_p50 - 140.0).abs() < 10.0 && (middle.waiting_most - 190.0).abs() < 2.0);
    assert_eq!(
        (
            index.rollups[2].streams_least,
            index.rollups[2].streams_most
        ),
        (7, 7)
    );
    assert!(index.holes.is_empty());
}
