//! Faults of links between zones, and false load reports.

mod common;

use chutegrade_policy::*;
use common::*;

#[test]
fn a_false_load_report_gains_a_slow_server_nothing_and_costs_a_good_one_little() {
    let mut world = World::new(settings(), 12, 4);
    world.run(10, &healthy(12, &[]));
    world.slow_health_checks.insert(2);
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
    world.run(12, &events);
    assert!(
        world.weight(2) <= 4.0,
        "idle by its own report: {}",
        world.weight(2)
    );
    assert!(
        world.weight(5) >= 3.0,
        "saturated by its own report: {}",
        world.weight(5)
    );
}

/// A zone's servers that its own proxies reach well must not lose their weight for a slow link from elsewhere.
#[test]
fn servers_behind_a_degraded_link_keep_their_weight_elsewhere() {
    let mut world = World::new(settings(), 24, 6);
    let outcomes_from = |from: u16, slow: bool| -> Vec<Event> {
        let outcome = move |id: u32| {
            let far = slow && u32::from(from) != id % 2;
            let (failed, mean_latency_ms) = if far { (4.0, 900.0) } else { (0.0, 200.0) };
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
    world.run(5, &both(false));
    world.run(12, &both(true));
    let share = |table: u16, zone: u32| -> f64 {
        let lines = &world.tables[&TableId(table)];
        let of_zone = lines
            .iter()
            .filter(|(id, _)| id.0 % 2 == zone)
            .map(|(_, weight)| weight)
            .sum::<f64>();
        of_zone / lines.values().sum::<f64>()
    };
    assert!(
        share(0, 1) < 0.2,
        "zone 0 sends little over the slow link: {}",
        share(0, 1)
    );
    assert!(
        share(1, 1) > 0.4,
        "zone 1 keeps to its own servers: {}",
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

fn weight_of_zone(world: &World, zone: u32) -> f64 {
    (0..24)
        .filter(|id| id % 2 == zone)
        .map(|id| world.weight(id))
        .sum::<f64>()
}

/// A partitioned zone must not pass for a saturated fleet, and what failed meanwhile must not withdraw its servers once
/// the link is back.
#[test]
fn a_partitioned_zone_sheds_no_load_and_its_servers_are_not_blamed_afterwards() {
    let mut world = World::new(settings(), 24, 6);
    world.run(6, &outcomes_with_link(true));
    world.unresponsive.extend((0..24).filter(|id| id % 2 == 1));
    // Attempts on the link have not timed out yet.
    world.run(2, &outcomes_with_link(true));
    let far = |world: &World| weight_of_zone(world, 1);
    let near = |world: &World| weight_of_zone(world, 0);
    assert!(
        far(&world) < 0.1 * near(&world),
        "{} of {}",
        far(&world),
        near(&world)
    );
    world.actions.clear();
    world.run(6, &outcomes_with_link(false));
    assert!(
        world.levels.values().all(|level| *level == 1.0),
        "{:?}",
        world.levels
    );
    // The link is back; the servers answer one after the other, and the last failures are reported late.
    for back in [1, 3, 5, 7, 9] {
        world.unresponsive.remove(&back);
    }
    world.run(1, &outcomes_with_link(false));
    world.unresponsive.clear();
    world.run(6, &outcomes_with_link(true));
    assert!(
        far(&world) > 0.8 * near(&world),
        "{} of {}",
        far(&world),
        near(&world)
    );
    let blamed = world.actions.iter().filter(|action| {
        matches!(
            action,
            Action::Emit(DecisionEvent::HealthChanged {
                state: HealthState::Withdrawn,
                ..
            })
        )
    });
    assert_eq!(blamed.count(), 0);
    assert!(
        world.levels.values().all(|level| *level == 1.0),
        "{:?}",
        world.levels
    );
}
