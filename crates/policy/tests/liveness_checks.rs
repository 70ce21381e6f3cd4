//! Messages that ask the proxies of possibly dead streams for an acknowledgement.

mod common;

use chutegrade_policy::*;
use common::*;

const PROXY: ProxyId = ProxyId(0);

fn checks(actions: &[Action]) -> usize {
    let is_check = |action: &&Action| **action == Action::CheckLiveness(PROXY);
    actions.iter().filter(is_check).count()
}

/// A fleet whose first orders are acknowledged.
fn settled_fleet(settings: Settings) -> Fleet {
    let mut fleet = Fleet::new(settings, 6, 3);
    fleet.run(20, &healthy(6, &[]));
    fleet.actions.clear();
    fleet
}

#[test]
fn a_check_is_one_message_with_an_acknowledgement_request() {
    let mut fleet = settled_fleet(settings());
    fleet.send(&[Event::LivenessCheckDue(PROXY)]);
    fleet.run(1, &[]);
    assert_eq!(checks(&fleet.actions), 1);
    assert!(requested_sequence(&fleet.actions).is_some());
    fleet.actions.clear();
    fleet.run(5, &[]);
    assert_eq!(checks(&fleet.actions), 0);
}

#[test]
fn a_message_that_goes_anyway_is_the_check() {
    let mut fleet = settled_fleet(settings());
    fleet.send(&[Event::LivenessCheckDue(PROXY)]);
    let draining = Endpoint {
        lifecycle: Lifecycle::Draining,
        ..endpoint(1)
    };
    let list = Event::EndpointList(EndpointUpdateKind::Delta, vec![draining]);
    let actions = fleet.send(&[list]);
    assert!(requested_sequence(&actions).is_some());
    fleet.run(3, &[]);
    assert_eq!(checks(&fleet.actions), 0);
}

/// Checks share the limit on messages with drains, which go first.
#[test]
fn checks_leave_most_of_the_message_limit_to_other_orders() {
    let limited = Settings {
        max_messages: 10,
        ..settings()
    };
    let mut fleet = settled_fleet(limited);
    fleet.run(9, &[Event::LivenessCheckDue(PROXY)]);
    assert!(
        (1..=6).contains(&checks(&fleet.actions)),
        "{}",
        checks(&fleet.actions)
    );
}

#[test]
fn a_check_of_a_proxy_that_has_left_is_dropped() {
    let mut fleet = settled_fleet(settings());
    fleet.send(&[Event::ProxyLeft(PROXY), Event::LivenessCheckDue(PROXY)]);
    fleet.run(3, &[]);
    assert_eq!(checks(&fleet.actions), 0);
}
