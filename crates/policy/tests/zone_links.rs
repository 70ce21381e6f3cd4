//! Degraded and partitioned links between zones, and false load reports.

mod common;

use chutegrade_policy::*;
use common::*;

#[test]
fn false_load_reports_do_not_raise_a_slow_server_and_barely_lower_a_healthy_one() {
    let mut fleet = Fleet::new(settings(), 12, 4);
    fleet.run(10, &healthy(12, &[]));
    fleet.slow_health_checks.insert(2);
    let mut events = healthy(12, &[2, 5]);
    let idle = LoadReport {
        queued: Some(0.0),
        latency_ms: Some(40.0),
        ..LoadReport::default()
    };
    let full = LoadReport {
        queued: Some(50.0),
        latency_ms: Some(400.0),
        ..LoadReport::default()
    };
    events.push(with_load(server_outcomes(2, 8.0, 0.0, 500.0), idle));
    events.push(with_load(server_outcomes(5, 8.0, 0.0, 200.0), full));
    fleet.run(12, &events);
    assert!(
        fleet.weight(2) <= 4.0,
        "idle by its own report: {}",
        fleet.weight(2)
    );
    assert!(
        fleet.weight(5) >= 3.0,
        "saturated by its own report: {}",
        fleet.weight(5)
    );
}

/// Servers that respond in time to the proxies of their own zone must not lose weight there because of a slow link from
/// another zone.
#[test]
fn servers_behind_a_degraded_link_retain_their_weight_in_other_zones() {
    let mut fleet = Fleet::new(settings(), 24, 6);
    let outcomes_from = |from: u16, slow: bool| -> Vec<Event> {
        let outcome = move |id: u32| {
            let over_link = slow && u32::from(from) != id % 2;
            let (failed, mean_latency_ms) = if over_link {
                (4.0, 900.0)
            } else {
                (0.0, 200.0)
            };
            let (zone, server, load) = (ZoneId(from), ServerId(id), LoadReport::default());
            Event::ServerOutcomes {
                zone,
                server,
                attempts: 8.0,
                failed,
                mean_latency_ms,
                period: ms(1000),
                load,
            }
        };
        (0..24).map(outcome).collect()
    };
    let both =
        |slow: bool| -> Vec<Event> { [outcomes_from(0, slow), outcomes_from(1, false)].concat() };
    fleet.run(5, &both(false));
    fleet.run(12, &both(true));
    let share = |table: u16, zone: u32| -> f64 {
        let weights = &fleet.tables[&TableId(table)];
        let of_zone = weights
            .iter()
            .filter(|(id, _)| id.0 % 2 == zone)
            .map(|(_, weight)| weight)
            .sum::<f64>();
        of_zone / weights.values().sum::<f64>()
    };
    assert!(
        share(0, 1) < 0.2,
        "zone 0 sends little over the slow link: {}",
        share(0, 1)
    );
    assert!(
        share(1, 1) > 0.4,
        "zone 1 retains its own servers: {}",
        share(1, 1)
    );
}

/// One second's outcomes of 24 servers in two zones; attempts at those of zone 1 fail while the link to it is down.
fn outcomes_with_link(is_up: bool) -> Vec<Event> {
    let load = LoadReport {
        queued: Some(0.0),
        ..LoadReport::default()
    };
    let outcome = |id: u32| {
        if !is_up && id % 2 == 1 {
            server_outcomes(id, 8.0, 8.0, 0.0)
        } else {
            with_load(server_outcomes(id, 8.0, 0.0, 200.0), load)
        }
    };
    (0..24).map(outcome).collect()
}

fn weight_of_zone(fleet: &Fleet, zone: u32) -> f64 {
    (0..24)
        .filter(|id| id % 2 == zone)
        .map(|id| fleet.weight(id))
        .sum::<f64>()
}

/// A partitioned zone must not count as a saturated fleet, and attempts that failed meanwhile must not withdraw its
/// servers once the link has recovered.
#[test]
fn a_partitioned_zone_causes_no_load_shedding_and_no_withdrawals_afterwards() {
    let mut fleet = Fleet::new(settings(), 24, 6);
    fleet.run(6, &outcomes_with_link(true));
    fleet.unresponsive.extend((0..24).filter(|id| id % 2 == 1));
    // Attempts on the link have not timed out yet.
    fleet.run(2, &outcomes_with_link(true));
    let remote_weight = |fleet: &Fleet| weight_of_zone(fleet, 1);
    let local_weight = |fleet: &Fleet| weight_of_zone(fleet, 0);
    assert!(
        remote_weight(&fleet) < 0.1 * local_weight(&fleet),
        "{} of {}",
        remote_weight(&fleet),
        local_weight(&fleet)
    );
    fleet.actions.clear();
    fleet.run(6, &outcomes_with_link(false));
    assert!(
        fleet.levels.values().all(|level| *level == 1.0),
        "{:?}",
        fleet.levels
    );
    // The link has recovered; the servers answer one after the other, and the last failures are reported late.
    for recovered in [1, 3, 5, 7, 9] {
        fleet.unresponsive.remove(&recovered);
    }
    fleet.run(1, &outcomes_with_link(false));
    fleet.unresponsive.clear();
    fleet.run(6, &outcomes_with_link(true));
    assert!(
        remote_weight(&fleet) > 0.8 * local_weight(&fleet),
        "{} of {}",
        remote_weight(&fleet),
        local_weight(&fleet)
    );
    let withdrawals = fleet.actions.iter().filter(|action| {
        matches!(
            action,
            Action::Emit(DecisionEvent::HealthChanged {
                state: HealthState::Withdrawn,
                ..
            })
        )
    });
    assert_eq!(withdrawals.count(), 0);
    assert!(
        fleet.levels.values().all(|level| *level == 1.0),
        "{:?}",
        fleet.levels
    );
}
