use super::*;

#[test]
fn names_and_numbers_agree_and_fit_the_index() {
    for (known, its) in KINDS {
        assert_eq!((name(known), by_name(its)), (its, Some(known)));
        assert!((FIRST..FIRST + 64).contains(&known));
    }
    assert_eq!(number(&Kind::Fleet(pb::Fleet::default())), 47);
    assert_eq!((name(63), by_name("nothing")), ("unknown", None));
}

/// Danger: a day's records of a newer version, read by an older one, are silently fewer.
#[test]
fn what_is_newer_is_kept_and_shown_as_unknown() {
    let mut bytes = Record {
        seq: 7,
        at_us: 5,
        learned_us: 6,
        kind: None,
    }
    .encode_to_vec();
    prost::encoding::encode_key(60, prost::encoding::WireType::LengthDelimited, &mut bytes);
    bytes.extend_from_slice(&[3, 1, 2, 3]);
    let newer = read(&bytes).expect("a record");
    assert_eq!(
        (newer.record.seq, newer.number, newer.newer.as_deref()),
        (7, 60, Some(&bytes[..]))
    );

    let gauge = Kind::Gauge(pb::Gauge {
        waiting: 3.0,
        ..Default::default()
    });
    let known = Record {
        seq: 8,
        kind: Some(gauge),
        ..Default::default()
    }
    .encode_to_vec();
    assert_eq!(read(&known).expect("a record").newer, None);
    assert!(read(&[0xff; 9]).is_none());
}
