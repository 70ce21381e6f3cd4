//! The subscription to the endpoint list.

use super::*;

#[test]
fn the_first_tick_needs_no_endpoint_list() {
    let mut engine = engine(CLASSES);
    assert!(engine.tick(Micros(0)).is_some());
    assert!(engine.take_subscription().watch);
}

/// With endpoints on request, a lost subscription that still counted as active would never be renewed.
#[test]
fn a_lost_subscription_is_requested_again() {
    let settings = Settings {
        endpoints_on_request: true,
        ..settings(1)
    };
    let names = DeploymentNames {
        zones: vec!["z0".into()],
        classes: vec!["c0".into()],
        machine_kinds: vec![],
    };
    let mut engine = Engine::new(settings, 7, names);
    assert!(!engine.take_subscription().watch);
    let mut next = engine.tick(Micros(0)).expect("a timer");
    assert!(engine.take_subscription().watch);
    report_endpoints(&mut engine, EndpointUpdateKind::Unavailable, vec![]);
    engine.tick(Micros(10));
    assert!(!engine.take_subscription().watch);
    for _ in 0..6 {
        next = engine.tick(next).expect("a timer");
    }
    assert!(engine.take_subscription().watch);
}
