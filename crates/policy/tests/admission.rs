//! Admission levels follow the fleet's saturation; no load is shed while headroom remains.

mod common;
use chutegrade_policy::*;
use common::*;

fn two_classes() -> Settings {
    let mut settings = settings();
    settings.classes[0].priority_weight = 1.0;
    settings.classes[1].priority_weight = 9.0;
    settings
}

/// One second of a fleet whose servers report this queue, with demand of both classes.
fn fleet_with_queue(servers: u32, queue: f64) -> Vec<Event> {
    let mut events: Vec<Event> = (0..servers)
        .map(|id| {
            let load = LoadReport {
                queued: Some(queue),
                latency_ms: Some(100.0),
                ..LoadReport::default()
            };
            let (zone, server, period) = (ZoneId(0), ServerId(id), ms(1000));
            Event::ServerOutcomes {
                zone,
                server,
                attempts: 8.0,
                failed: 0.0,
                mean_latency_ms: 300.0,
                period,
                load,
            }
        })
        .collect();
    events.extend((0..2).map(|class| Event::ProxyDemand {
        proxy: ProxyId(0),
        class: ClassId(class),
        arrivals: 50.0,
        failed: 0.0,
        period: ms(1000),
    }));
    events
}

#[test]
fn a_saturated_fleet_sheds_the_class_of_lowest_priority_weight_first_and_recovers() {
    let mut world = World::new(two_classes(), 8, 4);
    world.run(5, &fleet_with_queue(8, 0.0));
    assert_eq!((world.levels[&0], world.levels[&1]), (1.0, 1.0));
    world.run(2, &fleet_with_queue(8, 3.0));
    assert!(
        world.levels[&0] < 1.0,
        "shed within two seconds: {:?}",
        world.levels
    );
    assert_eq!(world.levels[&1], 1.0);
    world.run(10, &fleet_with_queue(8, 30.0));
    assert!(
        world.levels[&0] <= 0.2 && world.levels[&1] < 0.5,
        "{:?}",
        world.levels
    );
    world.run(8, &fleet_with_queue(8, 0.0));
    assert_eq!(
        (world.levels[&0], world.levels[&1]),
        (1.0, 1.0),
        "no level outlasts its cause"
    );
}

#[test]
fn one_saturated_server_sheds_no_load() {
    let mut world = World::new(two_classes(), 8, 4);
    let mut events = fleet_with_queue(8, 0.0);
    let load = LoadReport {
        queued: Some(40.0),
        ..LoadReport::default()
    };
    let (zone, server, period) = (ZoneId(0), ServerId(3), ms(1000));
    events.push(Event::ServerOutcomes {
        zone,
        server,
        attempts: 8.0,
        failed: 0.0,
        mean_latency_ms: 300.0,
        period,
        load,
    });
    world.run(15, &events);
    assert_eq!((world.levels[&0], world.levels[&1]), (1.0, 1.0));
}

#[test]
fn unsupported_levels_are_never_lowered() {
    let mut silent = two_classes();
    silent.admission_unit = AdmissionUnit::Unsupported;
    let mut world = World::new(silent, 8, 4);
    world.run(10, &fleet_with_queue(8, 30.0));
    assert_eq!((world.levels[&0], world.levels[&1]), (1.0, 1.0));
    assert!(!world
        .actions
        .iter()
        .any(|a| matches!(a, Action::Emit(DecisionEvent::Saturation { .. }))));
}

#[test]
fn without_load_reports_failed_and_late_attempts_shed_load_and_timely_ones_do_not() {
    let mut world = World::new(two_classes(), 8, 4);
    let timely: Vec<Event> = (0..8)
        .map(|id| server_outcomes(id, 8.0, 0.0, 300.0))
        .collect();
    world.run(8, &timely);
    assert_eq!((world.levels[&0], world.levels[&1]), (1.0, 1.0));
    let saturated: Vec<Event> = (0..8)
        .map(|id| server_outcomes(id, 8.0, 5.0, 1500.0))
        .collect();
    world.run(8, &saturated);
    assert!(world.levels[&0] < 0.5, "{:?}", world.levels);
}

#[test]
fn rate_levels_admit_all_until_the_fleet_is_saturated() {
    let mut rates = two_classes();
    rates.admission_unit = AdmissionUnit::RequestsPerSecond;
    let mut world = World::new(rates, 8, 4);
    world.run(5, &fleet_with_queue(8, 0.0));
    assert!(
        world.levels.values().all(|level| *level > 1000.0),
        "{:?}",
        world.levels
    );
    world.run(8, &fleet_with_queue(8, 30.0));
    assert!(world.levels[&0] < 50.0, "{:?}", world.levels);
    world.run(8, &fleet_with_queue(8, 0.0));
    assert!(
        world.levels.values().all(|level| *level > 1000.0),
        "{:?}",
        world.levels
    );
}

/// Servers with many slots take in a multiple of what their cores can do before they report a queue.
#[test]
fn slow_health_checks_everywhere_show_saturation_before_queues_do() {
    let mut world = World::new(two_classes(), 8, 4);
    world.run(8, &fleet_with_queue(8, 0.0));
    assert_eq!(world.levels[&0], 1.0);
    world.slow_health_checks.extend(0..8);
    world.slowness = 4;
    world.run(4, &fleet_with_queue(8, 0.0));
    assert!(world.levels[&0] < 0.8, "{:?}", world.levels);
    world.slow_health_checks.clear();
    world.run(10, &fleet_with_queue(8, 0.0));
    assert_eq!(world.levels[&0], 1.0);
}

/// Levels that change at each tick must not use up the messages for ordinary updates, or servers that recovered would
/// keep the weight of their fault.
#[test]
fn restored_weights_are_sent_while_levels_change() {
    let mut world = World::new(two_classes(), 8, 4);
    world.slow_health_checks.insert(2);
    world.slowness = 6;
    world.run(12, &fleet_with_queue(8, 0.0));
    assert!(world.weight(2) < 2.0, "weight {}", world.weight(2));
    world.slow_health_checks.clear();
    let mut ordered = 0;
    for second in 0..16 {
        world.actions.clear();
        world.run(
            1,
            &fleet_with_queue(8, if second % 4 < 2 { 30.0 } else { 0.0 }),
        );
        ordered += world
            .actions
            .iter()
            .filter(|a| matches!(a, Action::SetAdmission { .. }))
            .count();
    }
    assert!(ordered > 20, "levels moved {ordered} times");
    assert!(world.weight(2) > 3.0, "weight {}", world.weight(2));
    for written in world.messages.values() {
        let window = written
            .iter()
            .filter(|at| world.now - **at <= ms(10_000))
            .count();
        assert!(
            (1..=25).contains(&window),
            "{window} messages in the window"
        );
    }
}

/// Health checks that wait behind requests until they time out show a saturation that utilization, which ends at 1,
/// does not.
#[test]
fn health_checks_that_time_out_at_many_servers_show_saturation() {
    let mut world = World::new(two_classes(), 8, 4);
    world.run(5, &fleet_with_queue(8, 0.0));
    world.unresponsive.extend(0..5);
    world.run(6, &fleet_with_queue(8, 0.0));
    assert!(world.levels[&0] < 0.8, "{:?}", world.levels);
    world.unresponsive.clear();
    world.run(10, &fleet_with_queue(8, 0.0));
    assert_eq!(world.levels[&0], 1.0);
}

/// One second of servers that report an empty queue and differing service times.
fn fleet_without_queue(ids: std::ops::Range<u32>) -> Vec<Event> {
    let load = |id: u32| LoadReport {
        queued: Some(0.0),
        latency_ms: Some(f64::from(id)),
        ..LoadReport::default()
    };
    ids.map(|id| with_load(server_outcomes(id, 8.0, 0.0, 200.0), load(id)))
        .collect()
}

/// Health checks of servers without work are fast. Once such servers take over the work, a duration twice as long is
/// not saturation.
#[test]
fn new_servers_that_idled_are_not_saturated_once_they_have_work() {
    let mut world = World::new(settings(), 8, 4);
    world.run(6, &fleet_without_queue(0..8));
    let list = |removed: u32, until: u32| {
        Event::EndpointList(
            EndpointUpdateKind::Snapshot,
            (removed..until).map(endpoint).collect(),
        )
    };
    world.send(&[list(0, 20)]);
    world.run(6, &fleet_without_queue(0..8));
    world.send(&[list(8, 20)]);
    world.slow_health_checks.extend(8..20);
    for _ in 0..8 {
        world.run(1, &fleet_without_queue(8..20));
        assert!(
            world.levels.values().all(|level| *level == 1.0),
            "{:?}",
            world.levels
        );
    }
}

/// Slow servers lose weight for their own faults. That must not pass for saturation while the others respond in time.
#[test]
fn servers_reduced_for_their_own_faults_do_not_saturate_the_fleet() {
    let mut world = World::new(settings(), 16, 4);
    world.run(10, &fleet_without_queue(0..16));
    world.slowness = 6;
    for first in [0, 3, 6] {
        world.slow_health_checks.extend(first..first + 3);
        world.run(5, &fleet_without_queue(0..16));
        assert!(
            world.levels.values().all(|level| *level == 1.0),
            "{:?}",
            world.levels
        );
    }
}

/// A fleet whose proxies eject failing servers, and of whose twenty servers twelve were replaced by ones that warm up.
fn mostly_replaced_fleet() -> World {
    let mut world = World::new(
        Settings {
            proxy_ejection_threshold: 3,
            ..two_classes()
        },
        20,
        4,
    );
    world.run(8, &fleet_without_queue(0..20));
    let started = Some(world.now);
    let mut changes: Vec<Endpoint> = (0..12)
        .map(|id| Endpoint {
            lifecycle: Lifecycle::Removed,
            ..endpoint(id)
        })
        .collect();
    changes.extend((20..32).map(|id| Endpoint {
        started_at: started,
        ..endpoint(id)
    }));
    world.send(&[Event::EndpointList(EndpointUpdateKind::Delta, changes)]);
    world
}

/// Servers that warm up are withheld and idle. Their empty queues must not hide that the others are saturated.
#[test]
fn idle_warming_servers_do_not_hide_the_queues_of_working_ones() {
    let mut world = mostly_replaced_fleet();
    let full = LoadReport {
        queued: Some(20.0),
        latency_ms: Some(100.0),
        ..LoadReport::default()
    };
    let outcomes: Vec<Event> = (12..20)
        .map(|id| with_load(server_outcomes(id, 8.0, 2.0, 900.0), full))
        .collect();
    world.run(6, &[outcomes, fleet_without_queue(20..32)].concat());
    assert!(world.levels[&0] <= 0.2, "{:?}", world.levels);
}

/// The same by the duration of health checks.
#[test]
fn idle_warming_servers_do_not_hide_slow_health_checks_of_working_ones() {
    let mut world = mostly_replaced_fleet();
    world.run(5, &fleet_without_queue(12..32));
    world.slow_health_checks.extend(12..20);
    world.slowness = 4;
    world.run(4, &fleet_without_queue(12..32));
    assert!(world.levels[&0] <= 0.5, "{:?}", world.levels);
}
