//! Levels follow the fleet's saturation; nothing is refused while headroom remains.

mod common;
use chutegrade_policy::*;
use common::*;

fn two_classes() -> Settings {
    let mut settings = settings();
    settings.classes[0].priority_weight = 1.0;
    settings.classes[1].priority_weight = 9.0;
    settings
}

/// A second of a fleet whose servers report this queue, with demand of both classes.
fn queued(servers: u32, queue: f64) -> Vec<Event> {
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
fn a_saturated_fleet_refuses_the_class_of_least_worth_first_and_lets_it_in_again() {
    let mut world = World::new(two_classes(), 8, 4);
    world.run(5, &queued(8, 0.0));
    assert_eq!((world.levels[&0], world.levels[&1]), (1.0, 1.0));
    world.run(2, &queued(8, 3.0));
    assert!(
        world.levels[&0] < 1.0,
        "refused within two seconds: {:?}",
        world.levels
    );
    assert_eq!(world.levels[&1], 1.0);
    world.run(10, &queued(8, 30.0));
    assert!(
        world.levels[&0] <= 0.2 && world.levels[&1] < 0.5,
        "{:?}",
        world.levels
    );
    world.run(8, &queued(8, 0.0));
    assert_eq!(
        (world.levels[&0], world.levels[&1]),
        (1.0, 1.0),
        "no level outlasts its cause"
    );
}

#[test]
fn one_saturated_server_is_no_reason_to_refuse() {
    let mut world = World::new(two_classes(), 8, 4);
    let mut events = queued(8, 0.0);
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
fn where_levels_are_ignored_none_is_lowered() {
    let mut silent = two_classes();
    silent.admission_unit = AdmissionUnit::Unsupported;
    let mut world = World::new(silent, 8, 4);
    world.run(10, &queued(8, 30.0));
    assert_eq!((world.levels[&0], world.levels[&1]), (1.0, 1.0));
    assert!(!world
        .actions
        .iter()
        .any(|a| matches!(a, Action::Emit(DecisionEvent::Saturation { .. }))));
}

#[test]
fn without_load_reports_failing_and_late_tries_tell_and_timely_ones_refuse_nobody() {
    let mut world = World::new(two_classes(), 8, 4);
    let timely: Vec<Event> = (0..8).map(|id| heard(id, 8.0, 0.0, 300.0)).collect();
    world.run(8, &timely);
    assert_eq!((world.levels[&0], world.levels[&1]), (1.0, 1.0));
    let jammed: Vec<Event> = (0..8).map(|id| heard(id, 8.0, 5.0, 1500.0)).collect();
    world.run(8, &jammed);
    assert!(world.levels[&0] < 0.5, "{:?}", world.levels);
}

#[test]
fn where_levels_are_rates_all_is_let_in_until_the_fleet_is_saturated() {
    let mut rates = two_classes();
    rates.admission_unit = AdmissionUnit::RequestsPerSecond;
    let mut world = World::new(rates, 8, 4);
    world.run(5, &queued(8, 0.0));
    assert!(
        world.levels.values().all(|level| *level > 1000.0),
        "{:?}",
        world.levels
    );
    world.run(8, &queued(8, 30.0));
    assert!(world.levels[&0] < 50.0, "{:?}", world.levels);
    world.run(8, &queued(8, 0.0));
    assert!(
        world.levels.values().all(|level| *level > 1000.0),
        "{:?}",
        world.levels
    );
}

/// Found by hunting: servers with many slots took in four times what their cores could do before a queue was told.
#[test]
fn probes_that_take_longer_everywhere_tell_of_saturation_before_a_queue_does() {
    let mut world = World::new(two_classes(), 8, 4);
    world.run(8, &queued(8, 0.0));
    assert_eq!(world.levels[&0], 1.0);
    world.slow_probes.extend(0..8);
    world.slowness = 4;
    world.run(4, &queued(8, 0.0));
    assert!(world.levels[&0] < 0.8, "{:?}", world.levels);
    world.slow_probes.clear();
    world.run(10, &queued(8, 0.0));
    assert_eq!(world.levels[&0], 1.0);
}

/// Found by hunting: levels that moved each tick used up the messages for ordinary updates, and servers that were
/// well again kept the weight of their trouble for ten seconds and more.
#[test]
fn restored_weights_ride_along_while_levels_move() {
    let mut world = World::new(two_classes(), 8, 4);
    world.slow_probes.insert(2);
    world.slowness = 6;
    world.run(12, &queued(8, 0.0));
    assert!(world.weight(2) < 2.0, "weight {}", world.weight(2));
    world.slow_probes.clear();
    let mut ordered = 0;
    for second in 0..16 {
        world.actions.clear();
        world.run(1, &queued(8, if second % 4 < 2 { 30.0 } else { 0.0 }));
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

/// Seen in an incident: half of the probes waited behind requests until they timed out, while reported core use, which
/// cannot pass the whole, left the level where it was.
#[test]
fn probes_that_time_out_at_many_servers_tell_of_saturation() {
    let mut world = World::new(two_classes(), 8, 4);
    world.run(5, &queued(8, 0.0));
    world.mute.extend(0..5);
    world.run(6, &queued(8, 0.0));
    assert!(world.levels[&0] < 0.8, "{:?}", world.levels);
    world.mute.clear();
    world.run(10, &queued(8, 0.0));
    assert_eq!(world.levels[&0], 1.0);
}

/// A second of servers that report no queue and the time of their answers.
fn unqueued(ids: std::ops::Range<u32>) -> Vec<Event> {
    let load = |id: u32| LoadReport {
        queued: Some(0.0),
        latency_ms: Some(f64::from(id)),
        ..LoadReport::default()
    };
    ids.map(|id| reporting(heard(id, 8.0, 0.0, 200.0), load(id)))
        .collect()
}

/// Seen on sockets: during a release the new servers were probed while they idled; as they took the work over, each probe
/// took twice as long and a third of the requests was refused though no queue stood anywhere.
#[test]
fn new_servers_that_idled_do_not_pass_for_a_saturated_fleet_once_they_have_work() {
    let mut world = World::new(settings(), 8, 4);
    world.run(6, &unqueued(0..8));
    let list = |gone: u32, until: u32| {
        Event::EndpointList(
            EndpointUpdateKind::Snapshot,
            (gone..until).map(entry).collect(),
        )
    };
    world.send(&[list(0, 20)]);
    world.run(6, &unqueued(0..8));
    world.send(&[list(8, 20)]);
    world.slow_probes.extend(8..20);
    for _ in 0..8 {
        world.run(1, &unqueued(8..20));
        assert!(
            world.levels.values().all(|level| *level == 1.0),
            "{:?}",
            world.levels
        );
    }
}

/// Seen on sockets: twelve of thirty machines got slow one after the other, lost weight for it, and a third of all
/// requests was refused while the others answered in time.
#[test]
fn machines_reduced_for_their_own_trouble_are_no_saturated_fleet() {
    let mut world = World::new(settings(), 16, 4);
    world.run(10, &unqueued(0..16));
    world.slowness = 6;
    for first in [0, 3, 6] {
        world.slow_probes.extend(first..first + 3);
        world.run(5, &unqueued(0..16));
        assert!(
            world.levels.values().all(|level| *level == 1.0),
            "{:?}",
            world.levels
        );
    }
}

/// A fleet whose proxies avoid failing servers: twelve of its twenty servers were replaced by cold ones.
fn mostly_replaced() -> World {
    let mut world = World::new(
        Settings {
            proxy_ejection_threshold: 3,
            ..two_classes()
        },
        20,
        4,
    );
    world.run(8, &unqueued(0..20));
    let started = Some(world.now);
    let mut changes: Vec<Endpoint> = (0..12)
        .map(|id| Endpoint {
            lifecycle: Lifecycle::Removed,
            ..entry(id)
        })
        .collect();
    changes.extend((20..32).map(|id| Endpoint {
        started_at: started,
        ..entry(id)
    }));
    world.send(&[Event::EndpointList(EndpointUpdateKind::Delta, changes)]);
    world
}

/// Seen on days of mass replacement: cold servers were held out of tables and idled, and the mean queue of all told of
/// headroom while each server that took work had twenty requests waiting.
#[test]
fn cold_servers_that_idle_do_not_hide_the_queues_of_those_that_work() {
    let mut world = mostly_replaced();
    let full = LoadReport {
        queued: Some(20.0),
        latency_ms: Some(100.0),
        ..LoadReport::default()
    };
    let tallies: Vec<Event> = (12..20)
        .map(|id| reporting(heard(id, 8.0, 2.0, 900.0), full))
        .collect();
    world.run(6, &[tallies, unqueued(20..32)].concat());
    assert!(world.levels[&0] <= 0.2, "{:?}", world.levels);
}

/// The same by the time of probes, which tells before a queue does: the median of all was that of the idle ones.
#[test]
fn cold_servers_that_idle_do_not_hide_that_probes_of_the_others_wait() {
    let mut world = mostly_replaced();
    world.run(5, &unqueued(12..32));
    world.slow_probes.extend(12..20);
    world.slowness = 4;
    world.run(4, &unqueued(12..32));
    assert!(world.levels[&0] <= 0.5, "{:?}", world.levels);
}
