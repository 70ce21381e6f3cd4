use super::*;

#[test]
fn names_and_numbers_agree_and_fit_the_index() {
    for (kind_number, kind_name) in KINDS {
        assert_eq!(
            (name(kind_number), by_name(kind_name)),
            (kind_name, Some(kind_number))
        );
        assert!((FIRST_NUMBER..FIRST_NUMBER + 64).contains(&kind_number));
    }
    assert_eq!(number(&Kind::Fleet(pb::Fleet::default())), 47);
    assert_eq!((name(63), by_name("nothing")), ("unknown", None));
}

/// A reader of an older version must not drop records of newer kinds silently.
#[test]
fn newer_kinds_are_kept_and_named_unknown() {
    let mut bytes = Record {
        seq: 7,
        at_us: 5,
        learned_us: 6,
        kind: None,
    }
    .encode_to_vec();
    prost::encoding::encode_key(60, prost::encoding::WireType::LengthDelimited, &mut bytes);
    bytes.extend_from_slice(&[3, 1, 2, 3]);
    let newer = decode(&bytes).expect("a record");
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
    assert_eq!(decode(&known).expect("a record").newer, None);
    assert!(decode(&[0xff; 9]).is_none());
}
