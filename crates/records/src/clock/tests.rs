use super::*;
use crate::pb::LifeChanged;

fn marks(news: &[(&str, i64)]) -> Marks {
    let mut marks = Marks::default();
    for (server, at_us) in news {
        let of = LifeChanged {
            server: server.to_string(),
            life: 1,
            ..Default::default()
        };
        marks.add(&Record {
            learned_us: *at_us,
            kind: Some(Kind::LifeChanged(of)),
            ..Record::default()
        });
    }
    marks
}

#[test]
fn a_clock_ahead_is_told_from_shared_news() {
    let first = marks(&[
        ("a", 1_000_000),
        ("b", 5_000_000),
        ("c", 9_000_000),
        ("d", 20_000_000),
    ]);
    let second = marks(&[
        ("a", 4_010_000),
        ("b", 7_990_000),
        ("c", 12_000_000),
        ("d", 30_000_000),
    ]);
    assert_eq!(ahead(&first, &second), (3_010_000, 4));
    assert_eq!(ahead(&second, &first).0, -3_000_000);
}

#[test]
fn little_or_contrary_news_shifts_nothing() {
    let first = marks(&[("a", 0), ("b", 0), ("c", 0)]);
    assert_eq!(
        ahead(&first, &marks(&[("a", 3_000_000), ("b", 3_000_000)])),
        (0, 0)
    );
    assert_eq!(
        ahead(
            &first,
            &marks(&[("a", 0), ("b", 3_000_000), ("c", 9_000_000)])
        )
        .0,
        0
    );
    assert_eq!(
        ahead(
            &first,
            &marks(&[("a", 400_000), ("b", 300_000), ("c", 500_000)])
        ),
        (0, 3)
    );
}
