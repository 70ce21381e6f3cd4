use super::*;
use crate::pb::LifeChanged;

fn list_changes(changes: &[(&str, i64)]) -> ListChanges {
    let mut list_changes = ListChanges::default();
    for (server, at_us) in changes {
        let change = LifeChanged {
            server: (*server).to_string(),
            life: 1,
            ..Default::default()
        };
        list_changes.add(&Record {
            learned_us: *at_us,
            kind: Some(Kind::LifeChanged(change)),
            ..Record::default()
        });
    }
    list_changes
}

fn expected(ahead_us: i64, pairs: usize) -> ClockDifference {
    ClockDifference { ahead_us, pairs }
}

#[test]
fn a_clock_that_is_ahead_is_detected_from_shared_changes() {
    let first = list_changes(&[
        ("a", 1_000_000),
        ("b", 5_000_000),
        ("c", 9_000_000),
        ("d", 20_000_000),
    ]);
    let second = list_changes(&[
        ("a", 4_010_000),
        ("b", 7_990_000),
        ("c", 12_000_000),
        ("d", 30_000_000),
    ]);
    assert_eq!(difference(&first, &second), expected(3_010_000, 4));
    assert_eq!(difference(&second, &first).ahead_us, -3_000_000);
}

#[test]
fn few_or_contradictory_changes_give_no_difference() {
    let first = list_changes(&[("a", 0), ("b", 0), ("c", 0)]);
    assert_eq!(
        difference(&first, &list_changes(&[("a", 3_000_000), ("b", 3_000_000)])),
        expected(0, 0)
    );
    assert_eq!(
        difference(
            &first,
            &list_changes(&[("a", 0), ("b", 3_000_000), ("c", 9_000_000)])
        )
        .ahead_us,
        0
    );
    assert_eq!(
        difference(
            &first,
            &list_changes(&[("a", 400_000), ("b", 300_000), ("c", 500_000)])
        ),
        expected(0, 3)
    );
}
