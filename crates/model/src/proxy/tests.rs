use chutegrade_engine::{Retry, ServerWeight, TableUpdate};

use super::*;
use crate::random::Purpose;

fn new_proxy(rows: &[(u32, f64)]) -> Proxy {
    Proxy::new(
        0,
        2,
        Table::new(rows.to_vec()),
        RandomSource::new(1, Purpose::Picks, 0),
    )
}

fn order(update: TableUpdate) -> Order {
    Order {
        updates: vec![update],
        ..Order::default()
    }
}

fn apply(proxy: &mut Proxy, order: &Order) {
    let class_of = |name: &str| {
        name.strip_prefix('c')
            .and_then(|number| number.parse().ok())
    };
    let server_of = |name: &str| {
        name.strip_prefix('s')
            .and_then(|number| number.parse().ok())
    };
    proxy.apply(order, class_of, server_of);
}

#[test]
fn every_pick_policy_follows_the_weights() {
    for pick in [Pick::Random, Pick::Rotate] {
        let mut proxy = new_proxy(&[(1, 1.0), (2, 3.0)]);
        let second_count = (0..4000)
            .filter(|_| proxy.pick(0, 0, pick, None) == Some(2))
            .count();
        assert!(
            (2900..3100).contains(&second_count),
            "{pick:?}: {second_count}"
        );
    }
    let mut proxy = new_proxy(&[(1, 1.0), (2, 1.0)]);
    proxy.connections.insert(
        2,
        Connection {
            inflight: 5,
            used_us: 0,
        },
    );
    let first_count = (0..1000)
        .filter(|_| proxy.pick(0, 0, Pick::LeastOfTwo, None) == Some(1))
        .count();
    assert!(
        (700..800).contains(&first_count),
        "three of four pairs contain the first server: {first_count}"
    );
}

#[test]
fn orders_change_the_tables_of_their_classes() {
    let mut proxy = new_proxy(&[(1, 1.0), (2, 1.0)]);
    let rows = vec![ServerWeight::new("s3", 2.0), ServerWeight::new("s1", 0.0)];
    apply(
        &mut proxy,
        &order(TableUpdate {
            classes: vec!["c1".into()],
            weights: rows,
            ..TableUpdate::default()
        }),
    );
    assert_eq!(
        (proxy.table(0).rows().len(), proxy.table(1).rows()),
        (2, [(2, 1.0), (3, 2.0)].as_slice())
    );
    apply(
        &mut proxy,
        &Order {
            suspended: vec!["s2".into()],
            ..Order::default()
        },
    );
    assert!((0..50).all(|_| proxy.pick(0, 1, Pick::Random, None) == Some(3)));
    apply(
        &mut proxy,
        &Order {
            suspended: vec!["s3".into()],
            ..Order::default()
        },
    );
    assert!(
        !proxy.has_servers(1)
            && proxy.has_servers(0)
            && proxy.pick(0, 1, Pick::Random, None).is_none()
    );
    apply(
        &mut proxy,
        &Order {
            resumed: vec!["s3".into()],
            ..Order::default()
        },
    );
    assert!(proxy.has_servers(1));
    let admission = Some(AdmissionLevel {
        level: 0.5,
        retry: Retry::Once,
    });
    apply(
        &mut proxy,
        &order(TableUpdate {
            admission,
            ..TableUpdate::default()
        }),
    );
    assert_eq!(
        (proxy.admission(0), proxy.admission(1)),
        (admission, admission)
    );
    apply(
        &mut proxy,
        &order(TableUpdate {
            replace: true,
            weights: vec![ServerWeight::new("s9", 1.0)],
            ..TableUpdate::default()
        }),
    );
    assert_eq!(
        (proxy.pick(0, 0, Pick::Random, None), proxy.admission(0)),
        (Some(9), None)
    );
}

#[test]
fn a_server_is_ejected_after_consecutive_failures_and_a_second_attempt_uses_another_server() {
    let mut proxy = new_proxy(&[(1, 100.0), (2, 1.0)]);
    (0..3).for_each(|_| proxy.record_attempt(0, 1, false, (3, 1000)));
    assert!((0..50).all(|_| proxy.pick(10, 0, Pick::Random, None) == Some(2)));
    assert_eq!(
        proxy.pick(10, 0, Pick::Random, Some(2)),
        Some(1),
        "an ejected server is selected if there is no other"
    );
    assert_eq!(proxy.pick(2000, 0, Pick::Random, Some(2)), Some(1));
    let mut single_server = super::tests::new_proxy(&[(7, 1.0)]);
    assert_eq!(single_server.pick(0, 0, Pick::Random, Some(7)), None);
}
