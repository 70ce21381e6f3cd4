use slotmap::SlotMap;

use super::*;
use crate::scenario;

fn server(cores: u32, slots: f64, queue: f64) -> (Server, Vec<AttemptKey>) {
    let text = format!(
            "kind {{ servers: 1 cores: {cores} slots_per_core: {slots} queue_per_core: {queue} cold_from: 0.5 thrash: 0 }}\nclass {{}}"
        );
    let scenario = scenario::read(&text).expect("a scenario");
    let mut keys: SlotMap<AttemptKey, ()> = SlotMap::with_key();
    let keys = (0..8).map(|_| keys.insert(())).collect();
    (Server::new("s".into(), 0, 0, &scenario.kinds[0], 1.0), keys)
}

/// Work by hand: two requests of 10 ms share one core and end together after 20 ms; one that comes later shares too.
#[test]
fn cores_are_shared_among_what_is_in_work() {
    let (mut server, keys) = server(1, 4.0, 4.0);
    assert!(matches!(
        server.take(0, keys[0], 10.0, 1.0),
        Taken::In(Place::Working(_))
    ));
    assert_eq!(server.next_us(0), Some(10_000));
    server.take(5_000, keys[1], 10.0, 1.0);
    // The first has 5 ms left at half pace, the second 10 ms.
    assert_eq!(server.next_us(5_000), Some(15_000));
    assert_eq!(server.finish(15_000).0, [keys[0]]);
    assert_eq!(server.next_us(15_000), Some(20_000));
    assert_eq!(server.finish(20_000).0, [keys[1]]);
    assert_eq!(server.next_us(20_000), None);
}

#[test]
fn what_does_not_fit_waits_or_is_turned_away() {
    let (mut server, keys) = server(1, 1.0, 1.0);
    server.take(0, keys[0], 10.0, 1.0);
    assert_eq!(
        server.take(0, keys[1], 10.0, 1.0),
        Taken::In(Place::Waiting)
    );
    assert_eq!(server.take(0, keys[2], 10.0, 1.0), Taken::Full);
    let (done, begun) = server.finish(10_000);
    assert_eq!((done, begun[0].0), (vec![keys[0]], keys[1]));
    assert_eq!(server.next_us(10_000), Some(20_000));
}

#[test]
fn a_cancel_stops_what_the_kind_allows() {
    let (mut server, keys) = server(1, 1.0, 2.0);
    let Taken::In(place) = server.take(0, keys[0], 10.0, 1.0) else {
        panic!("taken")
    };
    server.take(0, keys[1], 10.0, 1.0);
    assert!(
        !server
            .cancel(1_000, keys[1], Place::Waiting, Cancel::Nothing)
            .0
    );
    assert!(!server.cancel(1_000, keys[0], place, Cancel::Waiting).0);
    let (stopped, next) = server.cancel(2_000, keys[0], place, Cancel::All);
    assert!(stopped && next.is_some_and(|(key, _)| key == keys[1]));
    assert_eq!(server.next_us(2_000), Some(12_000));
}

#[test]
fn open_connections_cost_capacity() {
    let (mut server, _) = server(2, 4.0, 4.0);
    let free = server.capacity(0);
    server.connections = 110;
    assert!(
        (server.capacity(0) - 0.9 * free).abs() < 1e-9,
        "half of 220 connections cost half of a fifth"
    );
}

#[test]
fn cold_slow_and_hanging_servers_do_less() {
    let (mut server, keys) = server(2, 4.0, 4.0);
    server.start(0);
    assert!(
        (server.capacity(0) - 1.0).abs() < 1e-9 && (server.capacity(5_000_000) - 1.5).abs() < 1e-9
    );
    assert!(server.is_cold(9_999_999) && !server.is_cold(10_000_000));
    server.effects.slow = 4.0;
    assert!((server.capacity(20_000_000) - 0.5).abs() < 1e-9);
    server.take(20_000_000, keys[0], 10.0, 1.0);
    server.effects.hangs = true;
    assert_eq!(
        (server.next_us(20_000_000), server.probe_ms(20_000_000, 1.0)),
        (None, None)
    );
    assert_eq!(server.die(20_000_100, Life::Down), [keys[0]]);
}
