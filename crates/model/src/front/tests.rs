use chutegrade_engine::{Retry, ServerWeight, TableUpdate};

use super::*;
use crate::chance::Source;

fn front(rows: &[(u32, f64)]) -> Front {
    Front::new(
        0,
        2,
        Table::new(rows.to_vec()),
        Chance::new(1, Source::Picks, 0),
    )
}

fn order(part: TableUpdate) -> Order {
    Order {
        updates: vec![part],
        ..Order::default()
    }
}

fn carry(front: &mut Front, order: &Order) {
    let class = |name: &str| name.strip_prefix('c').and_then(|n| n.parse().ok());
    let server = |name: &str| name.strip_prefix('s').and_then(|n| n.parse().ok());
    front.apply(order, class, server);
}

#[test]
fn every_way_of_picking_follows_the_weights() {
    for pick in [Pick::Random, Pick::Rotate] {
        let mut front = front(&[(1, 1.0), (2, 3.0)]);
        let twos = (0..4000)
            .filter(|_| front.pick(0, 0, pick, None) == Some(2))
            .count();
        assert!((2900..3100).contains(&twos), "{pick:?}: {twos}");
    }
    let mut front = front(&[(1, 1.0), (2, 1.0)]);
    front.connections.insert(
        2,
        Connection {
            inflight: 5,
            used_us: 0,
        },
    );
    let ones = (0..1000)
        .filter(|_| front.pick(0, 0, Pick::LeastOfTwo, None) == Some(1))
        .count();
    assert!(
        (700..800).contains(&ones),
        "three quarters of pairs hold the first: {ones}"
    );
}

#[test]
fn orders_change_the_tables_of_their_classes() {
    let mut front = front(&[(1, 1.0), (2, 1.0)]);
    let rows = vec![ServerWeight::new("s3", 2.0), ServerWeight::new("s1", 0.0)];
    carry(
        &mut front,
        &order(TableUpdate {
            classes: vec!["c1".into()],
            weights: rows,
            ..TableUpdate::default()
        }),
    );
    assert_eq!(
        (front.table(0).rows().len(), front.table(1).rows()),
        (2, [(2, 1.0), (3, 2.0)].as_slice())
    );
    carry(
        &mut front,
        &Order {
            suspended: vec!["s2".into()],
            ..Order::default()
        },
    );
    assert!((0..50).all(|_| front.pick(0, 1, Pick::Random, None) == Some(3)));
    carry(
        &mut front,
        &Order {
            suspended: vec!["s3".into()],
            ..Order::default()
        },
    );
    assert!(
        !front.has_lines(1) && front.has_lines(0) && front.pick(0, 1, Pick::Random, None).is_none()
    );
    carry(
        &mut front,
        &Order {
            resumed: vec!["s3".into()],
            ..Order::default()
        },
    );
    assert!(front.has_lines(1));
    let gate = Some(AdmissionLevel {
        level: 0.5,
        retry: Retry::Once,
    });
    carry(
        &mut front,
        &order(TableUpdate {
            admission: gate,
            ..TableUpdate::default()
        }),
    );
    assert_eq!((front.gate(0), front.gate(1)), (gate, gate));
    carry(
        &mut front,
        &order(TableUpdate {
            replace: true,
            weights: vec![ServerWeight::new("s9", 1.0)],
            ..TableUpdate::default()
        }),
    );
    assert_eq!(
        (front.pick(0, 0, Pick::Random, None), front.gate(0)),
        (Some(9), None)
    );
}

#[test]
fn a_server_is_avoided_after_a_run_of_failures_and_a_second_try_goes_elsewhere() {
    let mut front = front(&[(1, 100.0), (2, 1.0)]);
    (0..3).for_each(|_| front.learn(0, 1, false, (3, 1000)));
    assert!((0..50).all(|_| front.pick(10, 0, Pick::Random, None) == Some(2)));
    assert_eq!(
        front.pick(10, 0, Pick::Random, Some(2)),
        Some(1),
        "who avoids all takes any"
    );
    assert_eq!(front.pick(2000, 0, Pick::Random, Some(2)), Some(1));
    let mut lone = super::tests::front(&[(7, 1.0)]);
    assert_eq!(lone.pick(0, 0, Pick::Random, Some(7)), None);
}
