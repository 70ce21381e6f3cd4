//! Health states: scores, dwell times, servers without outcomes, re-admission.

mod common;
use chutegrade_policy::*;
use common::*;

/// A fleet of eight servers of which server 3 was withdrawn for failed attempts.
fn without_server_3() -> Fleet {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(5, &healthy(8, &[]));
    let mut events = healthy(8, &[3]);
    events.push(server_outcomes(3, 8.0, 8.0, 0.0));
    fleet.run(4, &events);
    assert_eq!(fleet.weight(3), 0.0);
    fleet
}

#[test]
fn a_healthy_fleet_retains_listed_weights_without_updates() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.actions.clear();
    fleet.run(20, &healthy(8, &[]));
    assert!((0..8).all(|id| fleet.weight(id) == 4.0));
    assert!(!fleet
        .actions
        .iter()
        .any(|action| matches!(action, Action::SetWeight { .. })));
}

#[test]
fn a_failing_server_is_withdrawn_within_seconds_and_others_keep_their_weight() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(5, &healthy(8, &[]));
    let mut events = healthy(8, &[3]);
    events.push(server_outcomes(3, 8.0, 7.0, 200.0));
    fleet.run(4, &events);
    assert_eq!(fleet.weight(3), 0.0);
    assert!((0..8)
        .filter(|id| *id != 3)
        .all(|id| fleet.weight(id) == 4.0));
}

#[test]
fn one_failed_attempt_among_few_does_not_withdraw() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(5, &healthy(8, &[]));
    let mut events = healthy(8, &[3]);
    events.push(server_outcomes(3, 4.0, 1.0, 200.0));
    fleet.run(1, &events);
    fleet.run(5, &healthy(8, &[]));
    assert!(fleet.weight(3) >= 2.0, "weight {}", fleet.weight(3));
}

#[test]
fn a_server_without_outcomes_counts_as_healthy() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(20, &healthy(8, &[5]));
    assert_eq!(fleet.weight(5), 4.0);
}

#[test]
fn a_slow_server_is_reduced_but_never_withdrawn() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(5, &healthy(8, &[]));
    let mut events = healthy(8, &[3]);
    events.push(server_outcomes(3, 8.0, 0.0, 3000.0));
    fleet.run(10, &events);
    let weight = fleet.weight(3);
    assert!(weight > 0.0 && weight < 2.0, "weight {weight}");
}

#[test]
fn a_withdrawn_server_is_readmitted_at_low_weight_and_recovers_with_successes() {
    let mut fleet = without_server_3();
    fleet.actions.clear();
    fleet.run(8, &healthy(8, &[3]));
    let first_weight = fleet.actions.iter().find_map(|action| match action {
        Action::SetWeight {
            server: ServerId(3),
            weight,
            ..
        } => Some(*weight),
        _ => None,
    });
    assert!(
        first_weight.is_some_and(|weight| weight <= 0.4001),
        "first weight after re-admission: {first_weight:?}"
    );
    fleet.run(12, &healthy(8, &[]));
    assert!(
        (3.3..=4.8).contains(&fleet.weight(3)),
        "within a fifth: {}",
        fleet.weight(3)
    );
}

#[test]
fn a_server_that_fails_health_checks_is_withdrawn_before_its_attempts_time_out() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(5, &healthy(8, &[]));
    fleet.unresponsive.insert(3);
    fleet.run(4, &healthy(8, &[3]));
    assert_eq!(fleet.weight(3), 0.0);
    fleet.run(20, &healthy(8, &[3]));
    assert_eq!(
        fleet.weight(3),
        0.0,
        "it is not re-admitted while health checks fail"
    );
}

#[test]
fn a_fault_common_to_all_servers_withdraws_none() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(5, &healthy(8, &[]));
    let stalled: Vec<Event> = (0..8)
        .map(|id| server_outcomes(id, 8.0, 4.0, 1400.0))
        .collect();
    fleet.run(15, &stalled);
    assert!((0..8).all(|id| fleet.weight(id) >= 3.0));
}

#[test]
fn health_checks_that_fail_everywhere_reduce_no_weight() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.unresponsive.extend(0..8);
    fleet.run(10, &healthy(8, &[]));
    assert!((0..8).all(|id| fleet.weight(id) == 4.0));
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
fn a_server_twice_as_slow_gets_about_half_the_weight_by_load_reports_alone() {
    let mut without_health_checks = settings();
    without_health_checks.health_checks_allowed = false;
    let mut fleet = Fleet::new(without_health_checks, 8, 4);
    // The reports differ slightly, since a repeated report is ignored.
    for second in 0..20 {
        let events: Vec<Event> = (0..8)
            .map(|id| {
                with_service_time(
                    id,
                    f64::from(second) * 0.01 + if id == 2 { 200.0 } else { 100.0 },
                )
            })
            .collect();
        fleet.run(1, &events);
    }
    let weight = fleet.weight(2);
    assert!((1.6..=2.8).contains(&weight), "weight {weight}");
}

#[test]
fn a_server_with_health_checks_twice_as_slow_gets_about_half_the_weight_at_once() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.slow_health_checks.insert(2);
    fleet.run(3, &healthy(8, &[]));
    let weight = fleet.weight(2);
    assert!((1.6..=2.8).contains(&weight), "weight {weight}");
}

#[test]
fn slow_health_checks_reduce_a_server_before_its_responses_are_slow() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(10, &healthy(8, &[]));
    fleet.slow_health_checks.insert(2);
    fleet.slowness = 8;
    fleet.run(6, &healthy(8, &[]));
    let weight = fleet.weight(2);
    assert!(weight < 2.0, "weight {weight}");
}

#[test]
fn a_saturated_server_with_failed_attempts_is_not_withdrawn() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(5, &healthy(8, &[]));
    for second in 0..8 {
        let mut events = healthy(8, &[3]);
        let load = LoadReport {
            queued: Some(20.0 + f64::from(second)),
            ..LoadReport::default()
        };
        events.push(with_load(server_outcomes(3, 8.0, 5.0, 900.0), load));
        fleet.run(1, &events);
        assert!(
            fleet.weight(3) > 0.4,
            "weight {} after {second} s",
            fleet.weight(3)
        );
    }
}

/// The weight of a re-admitted server may be so small that it gets less than one attempt in a tick. Its weight ceiling
/// must still grow.
#[test]
fn a_readmitted_server_recovers_with_few_successes() {
    let mut fleet = without_server_3();
    let mut few = healthy(8, &[3]);
    few.push(server_outcomes(3, 0.4, 0.0, 200.0));
    fleet.run(30, &few);
    assert!(fleet.weight(3) >= 3.6, "weight {}", fleet.weight(3));
}

/// Under a common overload, slow health checks must not reduce the weight of servers with headroom.
#[test]
fn slow_health_checks_reduce_no_server_while_the_complete_fleet_is_saturated() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(10, &healthy(8, &[]));
    let before = fleet.weight(2);
    fleet.slow_health_checks.insert(2);
    fleet.slowness = 20;
    for second in 0..6 {
        let load = LoadReport {
            queued: Some(30.0 + f64::from(second)),
            ..LoadReport::default()
        };
        let saturated: Vec<Event> = healthy(8, &[])
            .into_iter()
            .map(|outcome| with_load(outcome, load))
            .collect();
        fleet.run(1, &saturated);
    }
    assert!(
        fleet.weight(2) > 0.5 * before,
        "weight {} after {before}",
        fleet.weight(2)
    );
}

/// By the score alone a server at a quarter of its speed would retain half of its weight, and its responses would be
/// late.
#[test]
fn the_weight_of_a_slowed_server_follows_its_remaining_speed() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(10, &healthy(8, &[]));
    let before = fleet.weight(2);
    fleet.slow_health_checks.insert(2);
    fleet.slowness = 5;
    fleet.run(6, &healthy(8, &[]));
    assert!(
        fleet.weight(2) < 0.4 * before,
        "weight {} of {before}",
        fleet.weight(2)
    );
}
