//! Invariants of each instance: a server for each proxy, no unsafe retry, no request to leaving servers, exclusive
//! owners, few messages.

mod common;

use chutegrade_policy::Policy;

use chutegrade_policy::*;

use common::*;

use proptest::prelude::*;

#[test]
fn a_joining_proxy_is_assigned_a_table_with_weights_at_once() {
    let fleet = Fleet::new(settings(), 6, 3);
    assert_eq!(fleet.assigned_tables.len(), 3);
    let first_assignment = fleet
        .actions
        .iter()
        .position(|a| matches!(a, Action::AssignTable { .. }));
    let last_weight = fleet
        .actions
        .iter()
        .rposition(|a| matches!(a, Action::SetWeight { .. }));
    assert!(
        last_weight < first_assignment,
        "weights of a table that no proxy uses take no lines"
    );
    assert_eq!(fleet.tables[&TableId(0)].len(), 6);
}

#[test]
fn a_fleet_that_fails_completely_retains_some_weight() {
    let mut fleet = Fleet::new(settings(), 6, 3);
    fleet.run(5, &healthy(6, &[]));
    for failing in 1..=6 {
        let events: Vec<Event> = (0..6)
            .map(|id| server_outcomes(id, 8.0, if id < failing { 8.0 } else { 0.0 }, 200.0))
            .collect();
        fleet.run(6, &events);
        assert!(
            (0..6).any(|id| fleet.weight(id) > 0.0),
            "{failing} of 6 failing"
        );
    }
}

#[test]
fn zone_local_classes_get_servers_of_their_zone_only() {
    let mut with_zone_local = settings();
    with_zone_local
        .classes
        .push(class(Idempotency::NotIdempotent, true));
    let fleet = Fleet::new(with_zone_local, 6, 2);
    for proxy in 0..2u32 {
        let assigned_tables = &fleet.assigned_tables[&ProxyId(proxy)];
        let table = assigned_tables
            .iter()
            .find(|(_, classes)| classes.has(2))
            .map(|(table, _)| *table)
            .expect("assigned");
        assert!(!fleet.tables[&table].is_empty());
        assert!(fleet.tables[&table]
            .keys()
            .all(|server| server.0 % 2 == proxy));
    }
}

#[test]
fn an_empty_delta_and_unavailable_discovery_withdraw_nothing() {
    let mut fleet = Fleet::new(settings(), 6, 3);
    fleet.send(&[
        Event::EndpointList(EndpointUpdateKind::Delta, vec![]),
        Event::EndpointList(EndpointUpdateKind::Unavailable, vec![]),
    ]);
    assert!((0..6).all(|id| fleet.weight(id) == 4.0));
}

#[test]
fn retry_policies_follow_idempotency() {
    let mut with_all_idempotencies = settings();
    with_all_idempotencies.classes = vec![
        class(Idempotency::Idempotent, false),
        class(Idempotency::NotIdempotent, false),
        class(
            Idempotency::Keyed(DeduplicationScope::All, ms(10_000)),
            false,
        ),
        class(
            Idempotency::Keyed(DeduplicationScope::Zone, ms(10_000)),
            false,
        ),
        class(
            Idempotency::Keyed(DeduplicationScope::Cell, ms(10_000)),
            false,
        ),
        class(Idempotency::Keyed(DeduplicationScope::All, ms(100)), false),
        class(Idempotency::NotIdempotent, true),
    ];
    let mut fleet = Fleet::new(with_all_idempotencies, 6, 3);
    fleet.run(5, &healthy(6, &[]));
    for class in [1, 3, 4, 5, 6] {
        assert!(
            fleet.retries[&class] <= Retry::IfNotExecuted,
            "class {class}"
        );
    }
    assert_eq!(fleet.retries.len(), 7);
}

#[test]
fn a_draining_or_removed_server_is_suspended_at_once() {
    let mut fleet = Fleet::new(settings(), 6, 3);
    fleet.run(3, &healthy(6, &[]));
    let draining = Endpoint {
        lifecycle: Lifecycle::Draining,
        ..endpoint(2)
    };
    let actions = fleet.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        vec![draining],
    )]);
    assert!(actions.contains(&Action::SetSuspended {
        server: ServerId(2),
        suspended: true
    }));
    let complete: Vec<Endpoint> = (0..6)
        .filter(|id| *id != 2 && *id != 4)
        .map(endpoint)
        .collect();
    let actions = fleet.send(&[Event::EndpointList(EndpointUpdateKind::Snapshot, complete)]);
    assert!(actions.contains(&Action::SetSuspended {
        server: ServerId(4),
        suspended: true
    }));
    fleet.run(5, &healthy(6, &[2, 4]));
    assert!(fleet.weight(2) == 0.0 && fleet.weight(4) == 0.0);
    let back = Endpoint {
        started_at: Some(fleet.now),
        ..endpoint(2)
    };
    fleet.send(&[Event::EndpointList(EndpointUpdateKind::Delta, vec![back])]);
    assert!(!fleet.suspended.contains(&ServerId(2)));
}

#[test]
fn a_draining_server_in_the_cached_snapshot_is_suspended_from_the_first_message() {
    let mut policy = Policy::new(settings(), 1);
    let mut list: Vec<Endpoint> = (0..4).map(endpoint).collect();
    list[1].lifecycle = Lifecycle::Draining;
    let actions = policy.handle_events(
        ms(5),
        &[
            Event::EndpointList(EndpointUpdateKind::CachedSnapshot, list),
            proxy_joined(0),
        ],
    );
    assert!(!actions.iter().any(
        |a| matches!(a, Action::SetWeight { server: ServerId(1), weight, .. } if *weight > 0.0)
    ));
    assert!(actions
        .iter()
        .any(|a| matches!(a, Action::AssignTable { .. })));
}

/// A fleet with exclusive slices whose instance is responsible for slice 2, owned by server 1.
fn with_exclusive_slice() -> Fleet {
    let sliced = Settings {
        slices: 4,
        exclusive_ownership: true,
        ..settings()
    };
    let mut fleet = Fleet::new(sliced, 4, 3);
    fleet.send(&[
        Event::SliceOwnership {
            table: TableId(2),
            granted: true,
        },
        Event::PublishedWeight {
            table: TableId(2),
            server: ServerId(1),
            weight: 1.0,
        },
    ]);
    fleet
}

fn acknowledged(proxy: u32, sequence: u16) -> Event {
    Event::Acknowledged {
        proxy: ProxyId(proxy),
        sequence,
        elapsed: ms(200),
    }
}

#[test]
fn an_exclusive_owner_is_replaced_only_after_no_proxy_can_write_to_it() {
    let mut fleet = with_exclusive_slice();
    let removed = Endpoint {
        lifecycle: Lifecycle::Removed,
        ..endpoint(1)
    };
    let actions = fleet.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        vec![removed],
    )]);
    assert!(actions.contains(&Action::ClearTable(TableId(2))));
    let sequence = requested_sequence(&actions).expect("an acknowledgement is requested");
    let sets_weight = |actions: &[Action]| {
        actions
            .iter()
            .any(|a| matches!(a, Action::SetWeight { .. }))
    };
    fleet.actions.clear();
    fleet.run(5, &[]);
    assert!(
        !sets_weight(&fleet.actions),
        "not before the proxies acknowledged"
    );
    fleet.send(&[acknowledged(0, sequence), acknowledged(1, sequence)]);
    fleet.send(&[Event::ProxyLeft(ProxyId(2))]);
    fleet.run(2, &[]);
    assert!(
        !sets_weight(&fleet.actions),
        "not before the lost proxy's lease has ended"
    );
    fleet.run(3, &[]);
    assert!(sets_weight(&fleet.actions));
    assert!(!fleet
        .actions
        .iter()
        .any(|a| matches!(a, Action::AssignTable { .. })));
}

#[test]
fn an_endpoint_list_on_request_is_resubscribed_after_a_failure() {
    let mut on_request = settings();
    on_request.endpoints_on_request = true;
    let mut fleet = Fleet::new(on_request, 4, 2);
    assert!(fleet.actions.contains(&Action::SubscribeEndpoints(true)));
    fleet.actions.clear();
    fleet.send(&[Event::EndpointList(EndpointUpdateKind::Unavailable, vec![])]);
    fleet.run(3, &[]);
    assert_eq!(
        fleet
            .actions
            .iter()
            .filter(|a| **a == Action::SubscribeEndpoints(true))
            .count(),
        1
    );
}

/// Number of random runs of each property.
const CASES: u32 = 96;

/// Random events of a small fleet.
fn event_strategy() -> impl Strategy<Value = Event> {
    let lifecycle = prop_oneof![
        Just(Lifecycle::InService),
        Just(Lifecycle::Draining),
        Just(Lifecycle::Removed)
    ];
    let outcome = prop_oneof![
        Just(HealthCheckOutcome::Passed),
        Just(HealthCheckOutcome::TimedOut),
        Just(HealthCheckOutcome::Unreachable)
    ];
    prop_oneof![
        4 => (0..8u32, 0.0..20.0f64, 0.0..1.0f64, 1.0..3000.0f64)
            .prop_map(|(id, attempts, failing, mean)| server_outcomes(id, attempts, attempts * failing, mean)),
        1 => (0..6u32).prop_map(proxy_joined),
        1 => (0..6u32).prop_map(|id| Event::ProxyLeft(ProxyId(id))),
        1 => (0..8u32, lifecycle, proptest::bool::ANY).prop_map(|(id, lifecycle, fresh)| {
            let started = fresh.then_some(ms(1_003_000));
            Event::EndpointList(EndpointUpdateKind::Delta, vec![Endpoint { lifecycle, started_at: started, ..endpoint(id) }])
        }),
        2 => (0..8u32, outcome).prop_map(|(id, outcome)| health_checked(ServerId(id), outcome)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_over_random_events(rounds in prop::collection::vec(prop::collection::vec(event_strategy(), 0..6), 1..40)) {
        let settings = settings();
        let mut fleet = Fleet::new(settings.clone(), 8, 6);
        let mut listed = ListedServers::new(8);
        for events in rounds {
            listed.apply(&events, &mut fleet);
            fleet.actions.clear();
            fleet.send(&events);
            let table: Vec<u32> = fleet.tables[&TableId(0)].keys().map(|server| server.0).collect();
            for server in 0..8 {
                prop_assert!(listed.in_service.contains(&server) || fleet.weight(server) == 0.0, "{server} left but has weight");
            }
            // A server that has just become warm gets its weight at the next tick.
            let age = fleet.now - ms(1_003_000) - ms(500);
            let has_warm = listed.in_service.iter().any(|id| !listed.warming.contains(id) || age > settings.slow_start_period);
            prop_assert!(!has_warm || table.iter().any(|server| fleet.weight(*server) > 0.0), "no server to pick");
            prop_assert!(fleet.retries[&1] <= Retry::IfNotExecuted);
            for weight in fleet.tables.values().flat_map(|table| table.values()) {
                prop_assert!(weight.is_finite() && *weight > 0.0);
            }
            fleet.run(1, &[]);
            // Messages to each proxy, since it joined.
            for (proxy, written) in &fleet.messages {
                let recent = written.iter().filter(|at| fleet.now - **at <= settings.message_window).count();
                prop_assert!(recent <= settings.max_messages, "{recent} messages to {proxy:?} in the window");
            }
        }
    }

    #[test]
    fn the_same_events_give_the_same_actions(rounds in prop::collection::vec(prop::collection::vec(event_strategy(), 0..6), 1..20)) {
        let mut first = Fleet::new(settings(), 8, 6);
        let mut second = Fleet::new(settings(), 8, 6);
        for events in rounds {
            first.send(&events);
            second.send(&events);
            first.run(1, &[]);
            second.run(1, &[]);
            prop_assert_eq!(&first.actions, &second.actions);
        }
    }
}
