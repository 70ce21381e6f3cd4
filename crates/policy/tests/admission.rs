//! Admission levels depend on the fleet's saturation; no load is shed while there is headroom.

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
    let mut fleet = Fleet::new(two_classes(), 8, 4);
    fleet.run(5, &fleet_with_queue(8, 0.0));
    assert_eq!((fleet.levels[&0], fleet.levels[&1]), (1.0, 1.0));
    fleet.run(2, &fleet_with_queue(8, 3.0));
    assert!(
        fleet.levels[&0] < 1.0,
        "shed within two seconds: {:?}",
        fleet.levels
    );
    assert_eq!(fleet.levels[&1], 1.0);
    fleet.run(10, &fleet_with_queue(8, 30.0));
    assert!(
        fleet.levels[&0] <= 0.2 && fleet.levels[&1] < 0.5,
        "{:?}",
        fleet.levels
    );
    fleet.run(8, &fleet_with_queue(8, 0.0));
    assert_eq!(
        (fleet.levels[&0], fleet.levels[&1]),
        (1.0, 1.0),
        "no level outlasts its cause"
    );
}

#[test]
fn one_saturated_server_sheds_no_load() {
    let mut fleet = Fleet::new(two_classes(), 8, 4);
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
    fleet.run(15, &events);
    assert_eq!((fleet.levels[&0], fleet.levels[&1]), (1.0, 1.0));
}

#[test]
fn unsupported_levels_are_never_lowered() {
    let mut without_levels = two_classes();
    without_levels.admission_unit = AdmissionUnit::Unsupported;
    let mut fleet = Fleet::new(without_levels, 8, 4);
    fleet.run(10, &fleet_with_queue(8, 30.0));
    assert_eq!((fleet.levels[&0], fleet.levels[&1]), (1.0, 1.0));
    assert!(!fleet
        .actions
        .iter()
        .any(|a| matches!(a, Action::Emit(DecisionEvent::Saturation { .. }))));
}

#[test]
fn without_load_reports_failed_and_late_attempts_shed_load_and_timely_ones_do_not() {
    let mut fleet = Fleet::new(two_classes(), 8, 4);
    let timely: Vec<Event> = (0..8)
        .map(|id| server_outcomes(id, 8.0, 0.0, 300.0))
        .collect();
    fleet.run(8, &timely);
    assert_eq!((fleet.levels[&0], fleet.levels[&1]), (1.0, 1.0));
    let saturated: Vec<Event> = (0..8)
        .map(|id| server_outcomes(id, 8.0, 5.0, 1500.0))
        .collect();
    fleet.run(8, &saturated);
    assert!(fleet.levels[&0] < 0.5, "{:?}", fleet.levels);
}

#[test]
fn rate_levels_admit_all_until_the_fleet_is_saturated() {
    let mut rates = two_classes();
    rates.admission_unit = AdmissionUnit::RequestsPerSecond;
    let mut fleet = Fleet::new(rates, 8, 4);
    fleet.run(5, &fleet_with_queue(8, 0.0));
    assert!(
        fleet.levels.values().all(|level| *level > 1000.0),
        "{:?}",
        fleet.levels
    );
    fleet.run(8, &fleet_with_queue(8, 30.0));
    assert!(fleet.levels[&0] < 50.0, "{:?}", fleet.levels);
    fleet.run(8, &fleet_with_queue(8, 0.0));
    assert!(
        fleet.levels.values().all(|level| *level > 1000.0),
        "{:?}",
        fleet.levels
    );
}

/// Servers with many slots accept a multiple of the load of their cores before they report a queue.
#[test]
fn slow_health_checks_everywhere_show_saturation_before_queues_do() {
    let mut fleet = Fleet::new(two_classes(), 8, 4);
    fleet.run(8, &fleet_with_queue(8, 0.0));
    assert_eq!(fleet.levels[&0], 1.0);
    fleet.slow_health_checks.extend(0..8);
    fleet.slowness = 4;
    fleet.run(4, &fleet_with_queue(8, 0.0));
    assert!(fleet.levels[&0] < 0.8, "{:?}", fleet.levels);
    fleet.slow_health_checks.clear();
    fleet.run(10, &fleet_with_queue(8, 0.0));
    assert_eq!(fleet.levels[&0], 1.0);
}

/// Levels that change at each tick must not use up the messages for ordinary updates, or recovered servers would retain
/// their reduced weights.
#[test]
fn restored_weights_are_sent_while_levels_change() {
    let mut fleet = Fleet::new(two_classes(), 8, 4);
    fleet.slow_health_checks.insert(2);
    fleet.slowness = 6;
    fleet.run(12, &fleet_with_queue(8, 0.0));
    assert!(fleet.weight(2) < 2.0, "weight {}", fleet.weight(2));
    fleet.slow_health_checks.clear();
    let mut ordered = 0;
    for second in 0..16 {
        fleet.actions.clear();
        fleet.run(
            1,
            &fleet_with_queue(8, if second % 4 < 2 { 30.0 } else { 0.0 }),
        );
        ordered += fleet
            .actions
            .iter()
            .filter(|a| matches!(a, Action::SetAdmission { .. }))
            .count();
    }
    assert!(ordered > 20, "levels changed {ordered} times");
    assert!(fleet.weight(2) > 3.0, "weight {}", fleet.weight(2));
    for written in fleet.messages.values() {
        let window = written
            .iter()
            .filter(|at| fleet.now - **at <= ms(10_000))
            .count();
        assert!(
            (1..=25).contains(&window),
            "{window} messages in the window"
        );
    }
}

/// Health checks that time out behind queued requests show a saturation that utilization, which is at most 1, does not.
#[test]
fn health_checks_that_time_out_at_many_servers_show_saturation() {
    let mut fleet = Fleet::new(two_classes(), 8, 4);
    fleet.run(5, &fleet_with_queue(8, 0.0));
    fleet.unresponsive.extend(0..5);
    fleet.run(6, &fleet_with_queue(8, 0.0));
    assert!(fleet.levels[&0] < 0.8, "{:?}", fleet.levels);
    fleet.unresponsive.clear();
    fleet.run(10, &fleet_with_queue(8, 0.0));
    assert_eq!(fleet.levels[&0], 1.0);
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

/// Health checks of idle servers are fast. Twice that duration is not saturation once such servers have load.
#[test]
fn new_servers_that_were_idle_do_not_count_as_saturated_under_load() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(6, &fleet_without_queue(0..8));
    let list = |removed: u32, until: u32| {
        Event::EndpointList(
            EndpointUpdateKind::Snapshot,
            (removed..until).map(endpoint).collect(),
        )
    };
    fleet.send(&[list(0, 20)]);
    fleet.run(6, &fleet_without_queue(0..8));
    fleet.send(&[list(8, 20)]);
    fleet.slow_health_checks.extend(8..20);
    for _ in 0..8 {
        fleet.run(1, &fleet_without_queue(8..20));
        assert!(
            fleet.levels.values().all(|level| *level == 1.0),
            "{:?}",
            fleet.levels
        );
    }
}

/// Slow servers lose weight for their own faults. This must not count as saturation while the others respond in time.
#[test]
fn servers_reduced_for_their_own_faults_do_not_saturate_the_fleet() {
    let mut fleet = Fleet::new(settings(), 16, 4);
    fleet.run(10, &fleet_without_queue(0..16));
    fleet.slowness = 6;
    for first in [0, 3, 6] {
        fleet.slow_health_checks.extend(first..first + 3);
        fleet.run(5, &fleet_without_queue(0..16));
        assert!(
            fleet.levels.values().all(|level| *level == 1.0),
            "{:?}",
            fleet.levels
        );
    }
}

/// A fleet whose proxies eject failing servers, and in which twelve of twenty servers were replaced by warming ones.
fn mostly_replaced_fleet() -> Fleet {
    let mut fleet = Fleet::new(
        Settings {
            proxy_ejection_threshold: 3,
            ..two_classes()
        },
        20,
        4,
    );
    fleet.run(8, &fleet_without_queue(0..20));
    let started = Some(fleet.now);
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
    fleet.send(&[Event::EndpointList(EndpointUpdateKind::Delta, changes)]);
    fleet
}

/// Withheld warming servers are idle. Their empty queues must not hide that the others are saturated.
#[test]
fn idle_warming_servers_do_not_hide_the_queues_of_busy_ones() {
    let mut fleet = mostly_replaced_fleet();
    let full_queue = LoadReport {
        queued: Some(20.0),
        latency_ms: Some(100.0),
        ..LoadReport::default()
    };
    let outcomes: Vec<Event> = (12..20)
        .map(|id| with_load(server_outcomes(id, 8.0, 2.0, 900.0), full_queue))
        .collect();
    fleet.run(6, &[outcomes, fleet_without_queue(20..32)].concat());
    assert!(fleet.levels[&0] <= 0.2, "{:?}", fleet.levels);
}

/// The same for saturation that only the duration of health checks shows.
#[test]
fn idle_warming_servers_do_not_hide_slow_health_checks_of_busy_ones() {
    let mut fleet = mostly_replaced_fleet();
    fleet.run(5, &fleet_without_queue(12..32));
    fleet.slow_health_checks.extend(12..20);
    fleet.slowness = 4;
    fleet.run(4, &fleet_without_queue(12..32));
    assert!(fleet.levels[&0] <= 0.5, "{:?}", fleet.levels);
}
