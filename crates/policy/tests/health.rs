//! Health states: scores, dwell, servers without outcomes, returns.

mod common;
use chutegrade_policy::*;
use common::*;

/// A healthy fleet of eight whose server 3 was withdrawn for failed attempts.
fn without_server_3() -> World {
    let mut world = World::new(settings(), 8, 4);
    world.run(5, &healthy(8, &[]));
    let mut events = healthy(8, &[3]);
    events.push(server_outcomes(3, 8.0, 8.0, 0.0));
    world.run(4, &events);
    assert_eq!(world.weight(3), 0.0);
    world
}

#[test]
fn a_quiet_fleet_keeps_listed_weights_and_sends_nothing_more() {
    let mut world = World::new(settings(), 8, 4);
    world.actions.clear();
    world.run(20, &healthy(8, &[]));
    assert!((0..8).all(|id| world.weight(id) == 4.0));
    assert!(!world
        .actions
        .iter()
        .any(|action| matches!(action, Action::SetWeight { .. })));
}

#[test]
fn a_failing_server_is_withdrawn_within_seconds_and_others_keep_their_weight() {
    let mut world = World::new(settings(), 8, 4);
    world.run(5, &healthy(8, &[]));
    let mut events = healthy(8, &[3]);
    events.push(server_outcomes(3, 8.0, 7.0, 200.0));
    world.run(4, &events);
    assert_eq!(world.weight(3), 0.0);
    assert!((0..8)
        .filter(|id| *id != 3)
        .all(|id| world.weight(id) == 4.0));
}

#[test]
fn one_failed_attempt_among_few_does_not_withdraw() {
    let mut world = World::new(settings(), 8, 4);
    world.run(5, &healthy(8, &[]));
    let mut events = healthy(8, &[3]);
    events.push(server_outcomes(3, 4.0, 1.0, 200.0));
    world.run(1, &events);
    world.run(5, &healthy(8, &[]));
    assert!(world.weight(3) >= 2.0, "weight {}", world.weight(3));
}

#[test]
fn a_server_without_outcomes_counts_as_healthy() {
    let mut world = World::new(settings(), 8, 4);
    world.run(20, &healthy(8, &[5]));
    assert_eq!(world.weight(5), 4.0);
}

#[test]
fn a_slow_server_is_reduced_but_never_withdrawn() {
    let mut world = World::new(settings(), 8, 4);
    world.run(5, &healthy(8, &[]));
    let mut events = healthy(8, &[3]);
    events.push(server_outcomes(3, 8.0, 0.0, 3000.0));
    world.run(10, &events);
    let weight = world.weight(3);
    assert!(weight > 0.0 && weight < 2.0, "weight {weight}");
}

#[test]
fn a_withdrawn_server_returns_with_little_weight_and_recovers_with_successes() {
    let mut world = without_server_3();
    world.actions.clear();
    world.run(8, &healthy(8, &[3]));
    let back = world.actions.iter().find_map(|action| match action {
        Action::SetWeight {
            server: ServerId(3),
            weight,
            ..
        } => Some(*weight),
        _ => None,
    });
    assert!(
        back.is_some_and(|weight| weight <= 0.4001),
        "first weight after the return: {back:?}"
    );
    world.run(12, &healthy(8, &[]));
    assert!(
        (3.3..=4.8).contains(&world.weight(3)),
        "within a fifth: {}",
        world.weight(3)
    );
}

#[test]
fn a_server_that_fails_health_checks_is_withdrawn_before_its_attempts_time_out() {
    let mut world = World::new(settings(), 8, 4);
    world.run(5, &healthy(8, &[]));
    world.unresponsive.insert(3);
    world.run(4, &healthy(8, &[3]));
    assert_eq!(world.weight(3), 0.0);
    world.run(20, &healthy(8, &[3]));
    assert_eq!(
        world.weight(3),
        0.0,
        "it does not return while health checks fail"
    );
}

#[test]
fn a_common_fault_blames_no_server() {
    let mut world = World::new(settings(), 8, 4);
    world.run(5, &healthy(8, &[]));
    let stalled: Vec<Event> = (0..8)
        .map(|id| server_outcomes(id, 8.0, 4.0, 1400.0))
        .collect();
    world.run(15, &stalled);
    assert!((0..8).all(|id| world.weight(id) >= 3.0));
}

#[test]
fn health_checks_that_all_fail_blame_no_server() {
    let mut world = World::new(settings(), 8, 4);
    world.unresponsive.extend(0..8);
    world.run(10, &healthy(8, &[]));
    assert!((0..8).all(|id| world.weight(id) == 4.0));
}

fn with_service_time(id: u32, ms: f64) -> Event {
    with_load(
        server_outcomes(id, 8.0, 0.0, 200.0),
        LoadReport {
            latency_ms: Some(ms),
            ..LoadReport::default()
        },
    )
}

#[test]
fn a_server_twice_as_slow_for_its_size_gets_about_half_by_load_reports_alone() {
    let mut unprobed = settings();
    unprobed.health_checks_allowed = false;
    let mut world = World::new(unprobed, 8, 4);
    // The reports differ a little, since a repeated one shows nothing new.
    for second in 0..20 {
        let events: Vec<Event> = (0..8)
            .map(|id| {
                with_service_time(
                    id,
                    f64::from(second) * 0.01 + if id == 2 { 200.0 } else { 100.0 },
                )
            })
            .collect();
        world.run(1, &events);
    }
    let weight = world.weight(2);
    assert!((1.6..=2.8).contains(&weight), "weight {weight}");
}

#[test]
fn a_server_whose_health_checks_take_twice_as_long_gets_about_half_at_once() {
    let mut world = World::new(settings(), 8, 4);
    world.slow_health_checks.insert(2);
    world.run(3, &healthy(8, &[]));
    let weight = world.weight(2);
    assert!((1.6..=2.8).contains(&weight), "weight {weight}");
}

#[test]
fn a_server_that_slows_down_is_reduced_before_its_responses_show_it() {
    let mut world = World::new(settings(), 8, 4);
    world.run(10, &healthy(8, &[]));
    world.slow_health_checks.insert(2);
    world.slowness = 8;
    world.run(6, &healthy(8, &[]));
    let weight = world.weight(2);
    assert!(weight < 2.0, "weight {weight}");
}

#[test]
fn a_saturated_server_with_failed_attempts_is_not_withdrawn() {
    let mut world = World::new(settings(), 8, 4);
    world.run(5, &healthy(8, &[]));
    for second in 0..8 {
        let mut events = healthy(8, &[3]);
        let load = LoadReport {
            queued: Some(20.0 + f64::from(second)),
            ..LoadReport::default()
        };
        events.push(with_load(server_outcomes(3, 8.0, 5.0, 900.0), load));
        world.run(1, &events);
        assert!(
            world.weight(3) > 0.4,
            "weight {} after {second} s",
            world.weight(3)
        );
    }
}

/// A returned server's weight may be so small that it gets less than one attempt in a tick. Its ceiling must grow all
/// the same.
#[test]
fn a_returned_server_recovers_with_few_successes() {
    let mut world = without_server_3();
    let mut few = healthy(8, &[3]);
    few.push(server_outcomes(3, 0.4, 0.0, 200.0));
    world.run(30, &few);
    assert!(world.weight(3) >= 3.6, "weight {}", world.weight(3));
}

/// Under a common overload, slow health checks must not take the weight from servers with headroom left.
#[test]
fn no_server_is_reduced_for_slowness_while_the_complete_fleet_is_saturated() {
    let mut world = World::new(settings(), 8, 4);
    world.run(10, &healthy(8, &[]));
    let before = world.weight(2);
    world.slow_health_checks.insert(2);
    world.slowness = 20;
    for second in 0..6 {
        let load = LoadReport {
            queued: Some(30.0 + f64::from(second)),
            ..LoadReport::default()
        };
        let saturated: Vec<Event> = healthy(8, &[])
            .into_iter()
            .map(|outcome| with_load(outcome, load))
            .collect();
        world.run(1, &saturated);
    }
    assert!(
        world.weight(2) > 0.5 * before,
        "weight {} after {before}",
        world.weight(2)
    );
}

/// The score alone would leave a server at a quarter of its speed half of its weight, and its responses would be late.
#[test]
fn a_slowed_server_keeps_no_more_weight_than_its_remaining_speed() {
    let mut world = World::new(settings(), 8, 4);
    world.run(10, &healthy(8, &[]));
    let before = world.weight(2);
    world.slow_health_checks.insert(2);
    world.slowness = 5;
    world.run(6, &healthy(8, &[]));
    assert!(
        world.weight(2) < 0.4 * before,
        "weight {} of {before}",
        world.weight(2)
    );
}
