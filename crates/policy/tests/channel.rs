//! The channel: its limits while fleets start, reconnect, drain and grow, and the order of messages.

mod common;
use std::collections::BTreeMap;

use chutegrade_policy::*;
use common::large_fleet::*;
use common::*;

#[test]
fn start_reconnect_drain_and_scale_up_stay_within_the_limits_of_a_slow_channel() {
    let mut fleet = LargeFleet::started(sparse_settings(), 0.5, 500, 1000);
    fleet.run(25, &healthy(300, &[]), &none_unresponsive);
    assert_eq!(fleet.assigned_count(), 1000, "all are assigned eventually");
    let left: Vec<Event> = (0..700).map(|id| Event::ProxyLeft(ProxyId(id))).collect();
    fleet.send(&left);
    fleet.run(1, &[], &none_unresponsive);
    let rejoined: Vec<Event> = (0..700).map(|id| joined_with_rate(id, 2.0)).collect();
    fleet.send(&rejoined);
    fleet.run(20, &healthy(300, &[]), &none_unresponsive);
    assert_eq!(fleet.assigned_count(), 1000, "and after a mass reconnect");
    let drained: Vec<Endpoint> = (0..120)
        .map(|id| Endpoint {
            lifecycle: Lifecycle::Draining,
            ..endpoint(id)
        })
        .collect();
    let actions = fleet.send(&[Event::EndpointList(EndpointUpdateKind::Delta, drained)]);
    let suspended = actions
        .iter()
        .filter(|action| {
            matches!(
                action,
                Action::SetSuspended {
                    suspended: true,
                    ..
                }
            )
        })
        .count();
    assert_eq!(
        suspended, 120,
        "servers are suspended in the round of the update"
    );
    let now = fleet.now;
    fleet.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        (500..900).map(|id| warming(id, now)).collect(),
    )]);
    fleet.run(30, &healthy(300, &[]), &none_unresponsive);
    assert!(
        fleet.max_queued_lines > 0.2 * fleet.settings.channel_backlog,
        "the channel was filled enough to test it"
    );
    assert!(
        fleet
            .visible_servers(999)
            .iter()
            .any(|server| server.0 >= 500),
        "new servers are in tables"
    );
}

/// Each change of a level reaches all proxies and could fill a channel at 15% of its nominal send rate.
#[test]
fn oscillating_levels_stay_within_the_backlog_of_a_slow_channel() {
    let mut fleet = LargeFleet::started(
        Settings {
            max_messages: 1000,
            ..sparse_settings()
        },
        0.5,
        200,
        1000,
    );
    fleet.run(20, &healthy(200, &[]), &none_unresponsive);
    fleet.send_rate = 0.15 * fleet.settings.channel_lines_per_second;
    let before = fleet.level_changes.values().sum::<usize>();
    for second in 0..40 {
        let queue = Some(f64::from(second % 5));
        let load = LoadReport {
            queued: queue,
            latency_ms: Some(20.0),
            ..LoadReport::default()
        };
        let outcomes = healthy(200, &[])
            .into_iter()
            .map(|outcome| with_load(outcome, load));
        fleet.run(1, &outcomes.collect::<Vec<_>>(), &none_unresponsive);
    }
    assert!(
        fleet.max_queued_lines > 0.4 * fleet.settings.channel_backlog,
        "the channel was filled enough to test it"
    );
    assert!(
        fleet.level_changes.values().sum::<usize>() > before,
        "levels changed"
    );
}

#[test]
fn the_busiest_proxies_are_assigned_first() {
    let fleet = LargeFleet::started(sparse_settings(), 0.5, 500, 1000);
    let (assigned, unassigned): (Vec<_>, Vec<_>) = fleet
        .request_rates
        .iter()
        .partition(|(id, _)| fleet.assigned_tables.contains_key(id));
    assert!(
        !assigned.is_empty() && !unassigned.is_empty(),
        "{} assigned at once",
        assigned.len()
    );
    let lowest = assigned
        .iter()
        .map(|(_, rate)| **rate)
        .fold(f64::MAX, f64::min);
    let highest = unassigned
        .iter()
        .map(|(_, rate)| **rate)
        .fold(0.0, f64::max);
    assert!(
        lowest >= highest,
        "assigned at {lowest}, waiting at {highest}"
    );
}

#[test]
fn outcomes_and_health_checks_cause_no_orders_before_the_tick() {
    let mut fleet = LargeFleet::started(sparse_settings(), 1.0, 500, 1000);
    fleet.run(20, &healthy(300, &[]), &none_unresponsive);
    let before = fleet.action_count;
    for id in 0..500 {
        fleet.send(&[
            server_outcomes(id, 8.0, 8.0, 900.0),
            health_checked(ServerId(id), HealthCheckOutcome::TimedOut),
        ]);
    }
    assert_eq!(fleet.action_count, before);
}

/// After the loss of other instances all proxies join this one. Suspensions, which take precedence, must not delay the
/// first tables of the last proxies beyond the drain grace of servers in their old tables.
#[test]
fn drains_during_a_mass_join_delay_no_first_table_beyond_the_grace() {
    let grace = ms(20_000);
    let mut fleet = joining_one_instance(1150.0, grace);
    let joined_at = fleet.now;
    for batch in 0..4 {
        fleet.run(4, &[], &none_unresponsive);
        let leaving = 30 * batch..30 * (batch + 1);
        let entries = leaving
            .map(|id| Endpoint {
                lifecycle: Lifecycle::Draining,
                ..endpoint(id)
            })
            .collect();
        fleet.send(&[Event::EndpointList(EndpointUpdateKind::Delta, entries)]);
    }
    fleet.run(20, &[], &none_unresponsive);
    let late = fleet
        .first_applied
        .values()
        .filter(|at| **at - joined_at > grace)
        .count();
    assert_eq!(
        (fleet.first_applied.len(), late),
        (1000, 0),
        "proxies with a first table, and those that got it too late"
    );
}

/// If reductions took precedence in a full channel, restored servers would retain their small weights and the traffic
/// would concentrate on fewer and fewer servers.
#[test]
fn restored_servers_get_their_weight_while_others_keep_failing() {
    let mut fleet = LargeFleet::started(sparse_settings(), 0.4, 300, 1000);
    fleet.run(20, &healthy(300, &[]), &none_unresponsive);
    let failing = |from: u32| -> Vec<Event> {
        let failed = move |id: &u32| (from..from + 60).contains(id);
        (0..300)
            .map(|id| server_outcomes(id, 8.0, if failed(&id) { 8.0 } else { 0.0 }, 200.0))
            .collect()
    };
    for round in 0..4 {
        fleet.run(10, &failing(60 * round), &none_unresponsive);
    }
    let weights: BTreeMap<ServerId, f64> = fleet
        .tables
        .values()
        .flatten()
        .map(|(id, w)| (*id, *w))
        .collect();
    let restored = (0..60)
        .filter(|id| {
            weights
                .get(&ServerId(*id))
                .is_some_and(|weight| *weight > 2.0)
        })
        .count();
    assert!(restored >= 40, "{restored} of the first 60 are restored");
}

#[test]
fn duplicate_endpoints_and_events_of_unknown_ids_are_tolerated() {
    let mut fleet = LargeFleet::started(sparse_settings(), 1.0, 100, 200);
    fleet.run(4, &healthy(100, &[]), &none_unresponsive);
    let twice: Vec<Endpoint> = (0..100).chain(0..100).map(endpoint).collect();
    let period = ms(0);
    let unknown_class = Event::ProxyDemand {
        proxy: ProxyId(3),
        class: ClassId(9),
        arrivals: 4.0,
        failed: 0.0,
        period,
    };
    let no_attempts = Event::ServerOutcomes {
        zone: ZoneId(40),
        server: ServerId(3),
        attempts: 0.0,
        failed: 7.0,
        mean_latency_ms: 0.0,
        period,
        load: LoadReport::default(),
    };
    let unknown_proxy = Event::Acknowledged {
        proxy: ProxyId(5000),
        sequence: 9,
        elapsed: ms(1),
    };
    let invalid_events = [
        server_outcomes(9999, 5.0, 1.0, 10.0),
        unknown_class,
        no_attempts,
        unknown_proxy,
        Event::ProxyLeft(ProxyId(4999)),
        Event::Timer(77),
    ];
    fleet.send(&[Event::EndpointList(EndpointUpdateKind::Snapshot, twice)]);
    fleet.run(4, &invalid_events, &none_unresponsive);
    assert_eq!(fleet.assigned_count(), 200);
    let weights = fleet.tables.values().flat_map(BTreeMap::values);
    assert!(
        weights.clone().count() >= 100
            && weights
                .clone()
                .all(|weight| weight.is_finite() && *weight > 0.0)
    );
}
