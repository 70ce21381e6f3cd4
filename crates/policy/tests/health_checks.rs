//! When servers are health checked.

mod common;
use chutegrade_policy::*;
use common::*;

#[test]
fn no_health_checks_where_they_are_not_allowed() {
    let mut quiet = settings();
    quiet.health_checks_allowed = false;
    let mut world = World::new(quiet, 4, 2);
    world.run(10, &healthy(4, &[]));
    assert!(!world
        .actions
        .iter()
        .any(|a| matches!(a, Action::HealthCheck(_))));
}

/// A refused connection ends a health check at once. That must not start the next one at once.
#[test]
fn a_server_that_refuses_health_checks_is_checked_once_a_tick() {
    let mut world = World::new(settings(), 4, 2);
    let mut checked = 0;
    for round in 0..200 {
        let failed_outcomes = Event::HealthChecked {
            server: ServerId(1),
            outcome: HealthCheckOutcome::Unreachable,
            elapsed: Micros(200),
            load: LoadReport::default(),
        };
        let tick = (round % 50 == 0).then_some(Event::Timer(1));
        let events: Vec<Event> = std::iter::once(failed_outcomes).chain(tick).collect();
        let actions = world.send(&events);
        checked += actions
            .iter()
            .filter(|a| **a == Action::HealthCheck(ServerId(1)))
            .count();
        world.now = world.now + ms(10);
    }
    assert!((2..=5).contains(&checked), "asked {checked} times in 2 s");
}

/// Health checks of idle servers are fast, and would make the fleet look saturated once work comes.
#[test]
fn servers_are_not_health_checked_while_no_proxy_is_joined() {
    let mut policy = Policy::new(settings(), 1);
    let asks = |actions: &[Action]| {
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
    assert!(!asks(&actions));
    assert!(asks(&policy.handle_events(ms(3100), &[proxy_joined(0)])));
    policy.handle_events(ms(3200), &[Event::ProxyLeft(ProxyId(0))]);
    assert!(!asks(&policy.handle_events(ms(8000), &[Event::Timer(1)])));
}
