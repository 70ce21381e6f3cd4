//! The schedule of health checks.

mod common;
use chutegrade_policy::*;
use common::*;

#[test]
fn no_health_checks_where_they_are_not_allowed() {
    let mut without_health_checks = settings();
    without_health_checks.health_checks_allowed = false;
    let mut fleet = Fleet::new(without_health_checks, 4, 2);
    fleet.run(10, &healthy(4, &[]));
    assert!(!fleet
        .actions
        .iter()
        .any(|a| matches!(a, Action::HealthCheck(_))));
}

/// A refused connection ends a health check at once, which must not start the next one at once.
#[test]
fn a_server_that_refuses_health_checks_is_checked_once_a_tick() {
    let mut fleet = Fleet::new(settings(), 4, 2);
    let mut checked = 0;
    for round in 0..200 {
        let refused_check = Event::HealthChecked {
            server: ServerId(1),
            outcome: HealthCheckOutcome::Unreachable,
            elapsed: Micros(200),
            load: LoadReport::default(),
        };
        let tick = (round % 50 == 0).then_some(Event::Timer(1));
        let events: Vec<Event> = std::iter::once(refused_check).chain(tick).collect();
        let actions = fleet.send(&events);
        checked += actions
            .iter()
            .filter(|a| **a == Action::HealthCheck(ServerId(1)))
            .count();
        fleet.now = fleet.now + ms(10);
    }
    assert!((2..=5).contains(&checked), "checked {checked} times in 2 s");
}

/// Health checks of idle servers are fast. As a baseline they would make the fleet seem saturated under load.
#[test]
fn servers_are_not_health_checked_while_no_proxy_is_joined() {
    let mut policy = Policy::new(settings(), 1);
    let starts_health_check = |actions: &[Action]| {
        actions
            .iter()
            .any(|action| matches!(action, Action::HealthCheck(_)))
    };
    let list = Event::EndpointList(
        EndpointUpdateKind::CachedSnapshot,
        (0..4).map(endpoint).collect(),
    );
    let mut actions = policy.handle_events(ms(0), &[list]);
    for tick in 1..6 {
        actions.extend(policy.handle_events(ms(500 * tick), &[Event::Timer(1)]));
    }
    assert!(!starts_health_check(&actions));
    assert!(starts_health_check(
        &policy.handle_events(ms(3100), &[proxy_joined(0)])
    ));
    policy.handle_events(ms(3200), &[Event::ProxyLeft(ProxyId(0))]);
    assert!(!starts_health_check(
        &policy.handle_events(ms(8000), &[Event::Timer(1)])
    ));
}
