//! The rules that each instance keeps by itself: a server for each proxy, no unsafe retry, no request to leaving
//! servers, exclusive owners, few messages.

mod common;

use chutegrade_policy::Policy;

use chutegrade_policy::*;

use common::*;

use proptest::prelude::*;

#[test]
fn a_joining_proxy_is_assigned_a_table_with_weights_at_once() {
    let world = World::new(settings(), 6, 3);
    assert_eq!(world.assigned_tables.len(), 3);
    let first_bind = world
        .actions
        .iter()
        .position(|a| matches!(a, Action::AssignTable { .. }));
    let last_line = world
        .actions
        .iter()
        .rposition(|a| matches!(a, Action::SetWeight { .. }));
    assert!(
        last_line < first_bind,
        "weights of a table that no proxy uses cost nothing"
    );
    assert_eq!(world.tables[&TableId(0)].len(), 6);
}

#[test]
fn a_fleet_that_fails_completely_keeps_weights() {
    let mut world = World::new(settings(), 6, 3);
    world.run(5, &healthy(6, &[]));
    for failing in 1..=6 {
        let events: Vec<Event> = (0..6)
            .map(|id| server_outcomes(id, 8.0, if id < failing { 8.0 } else { 0.0 }, 200.0))
            .collect();
        world.run(6, &events);
        assert!(
            (0..6).any(|id| world.weight(id) > 0.0),
            "{failing} of 6 failing"
        );
    }
}

#[test]
fn zone_local_classes_get_servers_of_their_zone_only() {
    let mut with_home = settings();
    with_home
        .classes
        .push(class(Idempotency::NotIdempotent, true));
    let world = World::new(with_home, 6, 2);
    for proxy in 0..2u32 {
        let assigned_tables = &world.assigned_tables[&ProxyId(proxy)];
        let table = assigned_tables
            .iter()
            .find(|(_, classes)| classes.has(2))
            .map(|(table, _)| *table)
            .expect("assigned");
        assert!(!world.tables[&table].is_empty());
        assert!(world.tables[&table]
            .keys()
            .all(|server| server.0 % 2 == proxy));
    }
}

#[test]
fn an_empty_delta_and_unavailable_discovery_withdraw_nothing() {
    let mut world = World::new(settings(), 6, 3);
    world.send(&[
        Event::EndpointList(EndpointUpdateKind::Delta, vec![]),
        Event::EndpointList(EndpointUpdateKind::Unavailable, vec![]),
    ]);
    assert!((0..6).all(|id| world.weight(id) == 4.0));
}

#[test]
fn retry_policies_follow_idempotency() {
    let mut many = settings();
    many.classes = vec![
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
    let mut world = World::new(many, 6, 3);
    world.run(5, &healthy(6, &[]));
    for class in [1, 3, 4, 5, 6] {
        assert!(
            world.retries[&class] <= Retry::IfNotExecuted,
            "class {class}"
        );
    }
    assert_eq!(world.retries.len(), 7);
}

#[test]
fn a_draining_or_removed_server_is_suspended_at_once() {
    let mut world = World::new(settings(), 6, 3);
    world.run(3, &healthy(6, &[]));
    let draining = Endpoint {
        lifecycle: Lifecycle::Draining,
        ..endpoint(2)
    };
    let actions = world.send(&[Event::EndpointList(
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
    let actions = world.send(&[Event::EndpointList(EndpointUpdateKind::Snapshot, complete)]);
    assert!(actions.contains(&Action::SetSuspended {
        server: ServerId(4),
        suspended: true
    }));
    world.run(5, &healthy(6, &[2, 4]));
    assert!(world.weight(2) == 0.0 && world.weight(4) == 0.0);
    let back = Endpoint {
        started_at: Some(world.now),
        ..endpoint(2)
    };
    world.send(&[Event::EndpointList(EndpointUpdateKind::Delta, vec![back])]);
    assert!(!world.suspended.contains(&ServerId(2)));
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

/// A fleet with exclusive slices, of which this instance is responsible for slice 2, owned by server 1.
fn with_exclusive_slice() -> World {
    let sliced = Settings {
        slices: 4,
        exclusive_ownership: true,
        ..settings()
    };
    let mut world = World::new(sliced, 4, 3);
    world.send(&[
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
    world
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
    let mut world = with_exclusive_slice();
    let removed = Endpoint {
        lifecycle: Lifecycle::Removed,
        ..endpoint(1)
    };
    let actions = world.send(&[Event::EndpointList(
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
    world.actions.clear();
    world.run(5, &[]);
    assert!(
        !sets_weight(&world.actions),
        "not before the proxies acknowledged"
    );
    world.send(&[acknowledged(0, sequence), acknowledged(1, sequence)]);
    world.send(&[Event::ProxyLeft(ProxyId(2))]);
    world.run(2, &[]);
    assert!(
        !sets_weight(&world.actions),
        "not before the lost proxy's lease is over"
    );
    world.run(3, &[]);
    assert!(sets_weight(&world.actions));
    assert!(!world
        .actions
        .iter()
        .any(|a| matches!(a, Action::AssignTable { .. })));
}

#[test]
fn an_endpoint_list_on_request_is_resubscribed_after_a_failure() {
    let mut checked = settings();
    checked.endpoints_on_request = true;
    let mut world = World::new(checked, 4, 2);
    assert!(world.actions.contains(&Action::SubscribeEndpoints(true)));
    world.actions.clear();
    world.send(&[Event::EndpointList(EndpointUpdateKind::Unavailable, vec![])]);
    world.run(3, &[]);
    assert_eq!(
        world
            .actions
            .iter()
            .filter(|a| **a == Action::SubscribeEndpoints(true))
            .count(),
        1
    );
}

/// Random runs of each property.
const CASES: u32 = 96;

/// Random events of all kinds that a small fleet sees.
fn event_strategy() -> impl Strategy<Value = Event> {
    let lifecycle = prop_oneof![
        Just(Lifecycle::InService),
        Just(Lifecycle::Draining),
        Just(Lifecycle::Removed)
    ];
    let end = prop_oneof![
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
        2 => (0..8u32, end).prop_map(|(id, end)| health_checked(ServerId(id), end)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_over_random_events(rounds in prop::collection::vec(prop::collection::vec(event_strategy(), 0..6), 1..40)) {
        let settings = settings();
        let mut world = World::new(settings.clone(), 8, 6);
        let mut listed = Roster::new(8);
        for events in rounds {
            listed.take(&events, &mut world);
            world.actions.clear();
            world.send(&events);
            let table: Vec<u32> = world.tables[&TableId(0)].keys().map(|server| server.0).collect();
            for server in 0..8 {
                prop_assert!(listed.open.contains(&server) || world.weight(server) == 0.0, "{server} left and keeps weight");
            }
            // A server that has just become warm gets its weight at the next tick.
            let age = world.now - ms(1_003_000) - ms(500);
            let warm = listed.open.iter().any(|id| !listed.warming.contains(id) || age > settings.slow_start_period);
            prop_assert!(!warm || table.iter().any(|server| world.weight(*server) > 0.0), "no server to pick");
            prop_assert!(world.retries[&1] <= Retry::IfNotExecuted);
            for weight in world.tables.values().flat_map(|table| table.values()) {
                prop_assert!(weight.is_finite() && *weight > 0.0);
            }
            world.run(1, &[]);
            // Messages to each proxy, since it joined.
            for (proxy, written) in &world.messages {
                let recent = written.iter().filter(|at| world.now - **at <= settings.message_window).count();
                prop_assert!(recent <= settings.max_messages, "{recent} messages to {proxy:?} in the window");
            }
        }
    }

    #[test]
    fn the_same_events_give_the_same_actions(rounds in prop::collection::vec(prop::collection::vec(event_strategy(), 0..6), 1..20)) {
        let mut one = World::new(settings(), 8, 6);
        let mut two = World::new(settings(), 8, 6);
        for events in rounds {
            one.send(&events);
            two.send(&events);
            one.run(1, &[]);
            two.run(1, &[]);
            prop_assert_eq!(&one.actions, &two.actions);
        }
    }
}
