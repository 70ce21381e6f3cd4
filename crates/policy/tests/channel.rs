//! The channel: what it takes while fleets start, reconnect, drain and grow, and in which order.

mod common;
use std::collections::BTreeMap;

use chutegrade_policy::*;
use common::site::*;
use common::*;

#[test]
fn start_reconnect_drain_and_growth_stay_within_the_limits_of_a_slow_channel() {
    let mut site = Site::started(sparse(), 0.5, 500, 1000);
    site.run(25, &healthy(300, &[]), &all_respond);
    assert_eq!(site.assigned_count(), 1000, "all are assigned in the end");
    let removed: Vec<Event> = (0..700).map(|id| Event::ProxyLeft(ProxyId(id))).collect();
    site.send(&removed);
    site.run(1, &[], &all_respond);
    let back: Vec<Event> = (0..700).map(|id| joined_with_rate(id, 2.0)).collect();
    site.send(&back);
    site.run(20, &healthy(300, &[]), &all_respond);
    assert_eq!(site.assigned_count(), 1000, "and after a mass reconnect");
    let drained: Vec<Endpoint> = (0..120)
        .map(|id| Endpoint {
            lifecycle: Lifecycle::Draining,
            ..endpoint(id)
        })
        .collect();
    let actions = site.send(&[Event::EndpointList(EndpointUpdateKind::Delta, drained)]);
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
    let now = site.now;
    site.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        (500..900).map(|id| warming(id, now)).collect(),
    )]);
    site.run(30, &healthy(300, &[]), &all_respond);
    assert!(
        site.max_queued_lines > 0.2 * site.settings.channel_backlog,
        "the channel was put to the test"
    );
    assert!(
        site.visible_servers(999)
            .iter()
            .any(|server| server.0 >= 500),
        "new servers are in tables"
    );
}

/// Each change of a level reaches all proxies and could fill a channel at a sixth of its pace.
#[test]
fn oscillating_levels_stay_within_the_backlog_of_a_slow_channel() {
    let mut site = Site::started(
        Settings {
            max_messages: 1000,
            ..sparse()
        },
        0.5,
        200,
        1000,
    );
    site.run(20, &healthy(200, &[]), &all_respond);
    site.pace = 0.15 * site.settings.channel_lines_per_second;
    let before = site.level_changes.values().sum::<usize>();
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
        site.run(1, &outcomes.collect::<Vec<_>>(), &all_respond);
    }
    assert!(
        site.max_queued_lines > 0.4 * site.settings.channel_backlog,
        "the channel was put to the test"
    );
    assert!(
        site.level_changes.values().sum::<usize>() > before,
        "levels moved"
    );
}

#[test]
fn the_busiest_proxies_are_assigned_first() {
    let site = Site::started(sparse(), 0.5, 500, 1000);
    let (assigned, unassigned): (Vec<_>, Vec<_>) = site
        .request_rates
        .iter()
        .partition(|(id, _)| site.assigned_tables.contains_key(id));
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
    let mut site = Site::started(sparse(), 1.0, 500, 1000);
    site.run(20, &healthy(300, &[]), &all_respond);
    let before = site.action_count;
    for id in 0..500 {
        site.send(&[
            server_outcomes(id, 8.0, 8.0, 900.0),
            health_checked(ServerId(id), HealthCheckOutcome::TimedOut),
        ]);
    }
    assert_eq!(site.action_count, before);
}

/// After the loss of other instances all proxies join this one. Suspensions, which go first, must not delay the last
/// first tables beyond the grace of what the proxies' old tables name.
#[test]
fn drains_during_a_mass_join_leave_every_first_table_within_the_grace() {
    let grace = ms(20_000);
    let mut site = joining_one_instance(1150.0, grace);
    let joined_at = site.now;
    for batch in 0..4 {
        site.run(4, &[], &all_respond);
        let leaving = 30 * batch..30 * (batch + 1);
        let entries = leaving
            .map(|id| Endpoint {
                lifecycle: Lifecycle::Draining,
                ..endpoint(id)
            })
            .collect();
        site.send(&[Event::EndpointList(EndpointUpdateKind::Delta, entries)]);
    }
    site.run(20, &[], &all_respond);
    let late = site
        .first_applied
        .values()
        .filter(|at| **at - joined_at > grace)
        .count();
    assert_eq!(
        (site.first_applied.len(), late),
        (1000, 0),
        "proxies served, and served too late"
    );
}

/// If reductions went first in a full channel, restored servers would keep their small weights and fewer and fewer
/// servers would take the traffic.
#[test]
fn restored_servers_get_their_weight_while_others_keep_failing() {
    let mut site = Site::started(sparse(), 0.4, 300, 1000);
    site.run(20, &healthy(300, &[]), &all_respond);
    let failing = |from: u32| -> Vec<Event> {
        let failed = move |id: &u32| (from..from + 60).contains(id);
        (0..300)
            .map(|id| server_outcomes(id, 8.0, if failed(&id) { 8.0 } else { 0.0 }, 200.0))
            .collect()
    };
    for round in 0..4 {
        site.run(10, &failing(60 * round), &all_respond);
    }
    let weights: BTreeMap<ServerId, f64> = site
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
    assert!(restored >= 40, "{restored} of the first 60 are back");
}

#[test]
fn duplicate_endpoints_and_events_of_unknown_ids_are_tolerated() {
    let mut site = Site::started(sparse(), 1.0, 100, 200);
    site.run(4, &healthy(100, &[]), &all_respond);
    let twice: Vec<Endpoint> = (0..100).chain(0..100).map(endpoint).collect();
    let period = ms(0);
    let idle = Event::ProxyDemand {
        proxy: ProxyId(3),
        class: ClassId(9),
        arrivals: 4.0,
        failed: 0.0,
        period,
    };
    let nothing = Event::ServerOutcomes {
        zone: ZoneId(40),
        server: ServerId(3),
        attempts: 0.0,
        failed: 7.0,
        mean_latency_ms: 0.0,
        period,
        load: LoadReport::default(),
    };
    let unknown = Event::Acknowledged {
        proxy: ProxyId(5000),
        sequence: 9,
        elapsed: ms(1),
    };
    let odd = [
        server_outcomes(9999, 5.0, 1.0, 10.0),
        idle,
        nothing,
        unknown,
        Event::ProxyLeft(ProxyId(4999)),
        Event::Timer(77),
    ];
    site.send(&[Event::EndpointList(EndpointUpdateKind::Snapshot, twice)]);
    site.run(4, &odd, &all_respond);
    assert_eq!(site.assigned_count(), 200);
    let weights = site.tables.values().flat_map(BTreeMap::values);
    assert!(
        weights.clone().count() >= 100
            && weights
                .clone()
                .all(|weight| weight.is_finite() && *weight > 0.0)
    );
}
