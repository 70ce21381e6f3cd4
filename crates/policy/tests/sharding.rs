//! Sharding: the width of tables, the assignment of proxies, and failures of servers or connections.

mod common;
use std::collections::BTreeSet;

use chutegrade_policy::*;
use common::large_fleet::*;
use common::*;

#[test]
fn a_small_fleet_is_one_shard_and_a_large_sparse_one_is_sharded() {
    let mut small = LargeFleet::started(
        Settings {
            proxies: 8,
            ..sparse_settings()
        },
        1.0,
        20,
        8,
    );
    small.run(2, &[], &none_unresponsive);
    assert_eq!(small.visible_servers(3).len(), 20);
    // 12,000 lines per second for 2.5 s beyond the delivery delay are 30 for each of 1,000 proxies. A first table takes
    // 9 and a suspension 7 beside the weights, which leaves 14, below the usual 16.
    let grace = sparse_settings().max_delivery_delay + ms(2500);
    let mut large = LargeFleet::started(
        Settings {
            drain_grace: grace,
            ..sparse_settings()
        },
        1.0,
        500,
        1000,
    );
    large.run(12, &[], &none_unresponsive);
    let widths: Vec<usize> = (0..1000)
        .map(|id| large.visible_servers(id).len())
        .collect();
    assert!(
        widths.iter().all(|width| (12..=125).contains(width)),
        "{:?}",
        widths.iter().max()
    );
    let all: BTreeSet<ServerId> = (0..1000).flat_map(|id| large.visible_servers(id)).collect();
    assert_eq!(all.len(), 500, "every server is in the table of some shard");
    assert!(
        large.tables.len() < 100,
        "few shared tables: {}",
        large.tables.len()
    );
}

fn mean_width(fleet: &LargeFleet) -> f64 {
    (0..1000)
        .map(|id| fleet.visible_servers(id).len())
        .sum::<usize>() as f64
        / 1000.0
}

/// After the loss of other instances all proxies join one, and removed servers stay in their old tables until new ones
/// are delivered. A suspension meanwhile takes a separate message to each proxy that has its tables.
#[test]
fn shards_are_narrow_enough_for_all_proxies_to_join_one_instance_within_the_grace() {
    let width_at = |lines_per_s, drain_grace| {
        let mut fleet = joining_one_instance(lines_per_s, drain_grace);
        fleet.run(30, &[], &none_unresponsive);
        mean_width(&fleet)
    };
    let width = width_at(1150.0, ms(20_000));
    let settings = sparse_settings();
    // The weights, the levels, the line of the complete table, the acknowledgement request and the header; a
    // suspension, its acknowledgement request and its header.
    let table = width + settings.classes.len() as f64 + 2.0 + settings.message_overhead;
    let drain = 2.0 + settings.message_overhead;
    assert!(
        1000.0 * (table + drain) <= 1150.0 * (20.0 - settings.max_delivery_delay.secs()),
        "{width} servers"
    );
    assert!(width >= 5.0, "{width} servers");
    let unlimited = width_at(12_000.0, ms(20_000));
    assert!(unlimited >= 16.0, "{unlimited} servers");
    assert_eq!(
        width_at(12_000.0, ms(0)),
        unlimited,
        "no shard is narrow enough, so none is narrowed"
    );
}

#[test]
fn a_large_fleet_with_much_traffic_at_each_proxy_is_one_shard() {
    let mut fleet = LargeFleet::new(
        Settings {
            proxies: 40,
            ..sparse_settings()
        },
        1.0,
    );
    let mut events = vec![Event::EndpointList(
        EndpointUpdateKind::CachedSnapshot,
        (0..60).map(endpoint).collect(),
    )];
    events.extend((0..40).map(|id| joined_with_rate(id, 80.0)));
    fleet.send(&events);
    fleet.run(3, &[], &none_unresponsive);
    assert_eq!(fleet.visible_servers(0).len(), 60);
}

/// A proxy whose demand is a multiple of a shard's capacity would saturate the servers of that shard.
#[test]
fn a_proxy_whose_demand_exceeds_a_shard_is_assigned_the_complete_fleet() {
    let mut fleet = LargeFleet::new(
        Settings {
            proxies: 300,
            ..sparse_settings()
        },
        1.0,
    );
    let mut events = vec![Event::EndpointList(
        EndpointUpdateKind::CachedSnapshot,
        (0..200).map(endpoint).collect(),
    )];
    events.extend((0..300).map(|id| joined_with_rate(id, if id == 6 { 400.0 } else { 2.0 })));
    fleet.send(&events);
    fleet.run(6, &[], &none_unresponsive);
    assert!(
        fleet.visible_servers(6).len() >= 190,
        "{} of 200",
        fleet.visible_servers(6).len()
    );
    assert!(
        fleet.visible_servers(8).len() <= 100,
        "{} of 200",
        fleet.visible_servers(8).len()
    );
}

/// Because of rounding, the only proxy of a zone may seem to exceed the demand of its zone; an unsharded fleet
/// has no table for heavy proxies.
#[test]
fn the_only_proxy_of_a_zone_is_assigned_at_any_demand() {
    for tenths in 1..60 {
        let with_affinity = Settings {
            instances: 1,
            zone_crossing_cost: 0.05,
            proxies: 3,
            ..settings()
        };
        let mut fleet = LargeFleet::new(with_affinity, 1.0);
        let rate = f64::from(tenths) * 0.1;
        let mut events = vec![Event::EndpointList(
            EndpointUpdateKind::CachedSnapshot,
            (0..12).map(endpoint).collect(),
        )];
        events.extend([
            joined_with_rate(0, rate),
            joined_with_rate(1, 0.7),
            joined_with_rate(3, rate * 0.3),
        ]);
        fleet.send(&events);
        fleet.run(1, &[], &none_unresponsive);
        assert!(
            (0..4)
                .filter(|id| *id != 2)
                .all(|id| !fleet.visible_servers(id).is_empty()),
            "rate {rate}"
        );
    }
}

/// All servers of a shard may leave while those of the other shards stay in service.
#[test]
fn proxies_of_a_shard_that_lost_all_servers_get_servers_of_other_shards() {
    let mut fleet = LargeFleet::started(sparse_settings(), 1.0, 200, 300);
    fleet.run(10, &healthy(200, &[]), &none_unresponsive);
    let lost: Vec<Endpoint> = fleet
        .visible_servers(7)
        .into_iter()
        .map(|server| Endpoint {
            lifecycle: Lifecycle::Removed,
            ..endpoint(server.0)
        })
        .collect();
    assert!(lost.len() < 150, "a shard, not all: {}", lost.len());
    fleet.send(&[Event::EndpointList(EndpointUpdateKind::Delta, lost)]);
    fleet.run(2, &[], &none_unresponsive);
    assert!((0..300).all(|id| !fleet.visible_servers(id).is_empty()));
}

/// If servers accept few connections, most attempts fail at idle servers until tables are narrower.
#[test]
fn tables_narrow_while_attempts_fail_at_idle_servers_everywhere_and_widen_afterwards() {
    let mut fleet = LargeFleet::started(
        Settings {
            proxies: 80,
            ..sparse_settings()
        },
        1.0,
        200,
        80,
    );
    fleet.run(8, &healthy(200, &[]), &none_unresponsive);
    let baseline = fleet.visible_servers(5).len();
    let idle = LoadReport {
        queued: Some(0.0),
        ..LoadReport::default()
    };
    let failed_outcomes: Vec<Event> = (0..200)
        .map(|id| with_load(server_outcomes(id, 8.0, 5.0, 200.0), idle))
        .collect();
    fleet.run(6, &failed_outcomes, &none_unresponsive);
    let narrowed = fleet.visible_servers(5).len();
    assert!(
        narrowed >= 5 && 2 * narrowed <= baseline,
        "{narrowed} of {baseline}"
    );
    assert!((0..80).all(|id| !fleet.visible_servers(id).is_empty()));
    fleet.run(45, &healthy(200, &[]), &none_unresponsive);
    assert_eq!(fleet.visible_servers(5).len(), baseline);
}

#[test]
fn tables_do_not_narrow_while_health_checks_fail_as_well() {
    let mut fleet = LargeFleet::started(
        Settings {
            proxies: 80,
            ..sparse_settings()
        },
        1.0,
        200,
        80,
    );
    fleet.run(8, &healthy(200, &[]), &none_unresponsive);
    let baseline = fleet.visible_servers(5).len();
    let failing: Vec<Event> = (0..200)
        .map(|id| server_outcomes(id, 8.0, 5.0, 200.0))
        .collect();
    fleet.run(6, &failing, &|_| true);
    assert!(
        fleet.visible_servers(5).len() >= baseline,
        "an overload is not due to a lack of connections"
    );
}

/// Proxies on tables of an earlier layout may hold the full weight of a removed server when it returns and warms up.
#[test]
fn a_returning_server_stays_suspended_until_no_table_contains_its_old_weight() {
    let mut fleet = LargeFleet::started(
        Settings {
            proxies: 80,
            ..sparse_settings()
        },
        1.0,
        200,
        80,
    );
    fleet.run(8, &healthy(200, &[]), &none_unresponsive);
    let server = *fleet.visible_servers(5).first().expect("assigned");
    fleet.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        vec![Endpoint {
            lifecycle: Lifecycle::Removed,
            ..endpoint(server.0)
        }],
    )]);
    assert!(fleet.suspended.contains(&server));
    let now = fleet.now;
    fleet.send(&[Event::EndpointList(
        EndpointUpdateKind::Delta,
        vec![warming(server.0, now)],
    )]);
    for _ in 0..40 {
        fleet.run(1, &healthy(200, &[server.0]), &none_unresponsive);
        let heaviest = fleet
            .tables
            .values()
            .filter_map(|weights| weights.get(&server))
            .fold(0.0, |a, b| b.max(a));
        let age = (fleet.now - now).secs();
        assert!(
            fleet.suspended.contains(&server) || age > 16.0 || heaviest < 3.0,
            "weight {heaviest} at {age} s"
        );
    }
    assert!(!fleet.suspended.contains(&server), "it is re-admitted");
}
