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

/// Two requests of 10 ms on one core; the second arrives after 5 ms, and from then on each runs at half speed.
#[test]
fn cores_are_shared_by_the_requests_in_service() {
    let (mut server, keys) = server(1, 4.0, 4.0);
    assert!(matches!(
        server.accept(0, keys[0], 10.0, 1.0),
        AcceptResult::Accepted(Position::Working(_))
    ));
    assert_eq!(server.next_completion_us(0), Some(10_000));
    server.accept(5_000, keys[1], 10.0, 1.0);
    // The first has 5 ms of work left, the second 10 ms, both at half speed.
    assert_eq!(server.next_completion_us(5_000), Some(15_000));
    assert_eq!(server.finish(15_000).0, [keys[0]]);
    assert_eq!(server.next_completion_us(15_000), Some(20_000));
    assert_eq!(server.finish(20_000).0, [keys[1]]);
    assert_eq!(server.next_completion_us(20_000), None);
}

#[test]
fn requests_without_a_slot_are_queued_or_rejected() {
    let (mut server, keys) = server(1, 1.0, 1.0);
    server.accept(0, keys[0], 10.0, 1.0);
    assert_eq!(
        server.accept(0, keys[1], 10.0, 1.0),
        AcceptResult::Accepted(Position::Waiting)
    );
    assert_eq!(
        server.accept(0, keys[2], 10.0, 1.0),
        AcceptResult::QueueFull
    );
    let (completed, started) = server.finish(10_000);
    assert_eq!((completed, started[0].0), (vec![keys[0]], keys[1]));
    assert_eq!(server.next_completion_us(10_000), Some(20_000));
}

#[test]
fn a_cancel_stops_what_the_cancel_policy_allows() {
    let (mut server, keys) = server(1, 1.0, 2.0);
    let AcceptResult::Accepted(position) = server.accept(0, keys[0], 10.0, 1.0) else {
        panic!("not accepted")
    };
    server.accept(0, keys[1], 10.0, 1.0);
    assert!(
        !server
            .cancel(1_000, keys[1], Position::Waiting, Cancel::Nothing)
            .0
    );
    assert!(!server.cancel(1_000, keys[0], position, Cancel::Waiting).0);
    let (stopped, next) = server.cancel(2_000, keys[0], position, Cancel::All);
    assert!(stopped && next.is_some_and(|(key, _)| key == keys[1]));
    assert_eq!(server.next_completion_us(2_000), Some(12_000));
}

#[test]
fn open_connections_reduce_capacity() {
    let (mut server, _) = server(2, 4.0, 4.0);
    let free = server.capacity(0);
    server.connections = 110;
    assert!(
        (server.capacity(0) - 0.9 * free).abs() < 1e-9,
        "half of the 220 connections take half of a fifth of the capacity"
    );
}

#[test]
fn warming_up_slow_and_hanging_servers_have_less_capacity() {
    let (mut server, keys) = server(2, 4.0, 4.0);
    server.start(0);
    assert!(
        (server.capacity(0) - 1.0).abs() < 1e-9 && (server.capacity(5_000_000) - 1.5).abs() < 1e-9
    );
    assert!(server.is_warming_up(9_999_999) && !server.is_warming_up(10_000_000));
    server.effects.slowdown = 4.0;
    assert!((server.capacity(20_000_000) - 0.5).abs() < 1e-9);
    server.accept(20_000_000, keys[0], 10.0, 1.0);
    server.effects.is_hanging = true;
    assert_eq!(
        (
            server.next_completion_us(20_000_000),
            server.health_check_ms(20_000_000, 1.0)
        ),
        (None, None)
    );
    assert_eq!(server.stop(20_000_100, ServerState::Down), [keys[0]]);
}
