//! Service levels under conditions that could make them oscillate or stay too long: load near a threshold, signals that
//! are late, batched or duplicated, a stale endpoint list, stalls, restarts and replacements; and an exhaustive search
//! of states.

use std::collections::{BTreeSet, HashSet, VecDeque};

use chutegrade_limits::transitions::{RestoreError, TransitionReason, MAX_SNAPSHOT_AGE_US};
use chutegrade_limits::{
    pb, Class, Idempotency, LevelTransition, LevelTransitions, Observation, ServiceLevels, Signal,
    SignalWindow, SCHEMA,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};

type RestoreResult = Result<Option<LevelTransition>, RestoreError>;

const SECOND_US: i64 = 1_000_000;

fn classes() -> Vec<Class> {
    let class = |name: &str, priority_weight, idempotency| Class {
        name: name.into(),
        priority_weight,
        latency_objective_seconds: 1.0,
        deadline_seconds: 3.0,
        idempotency,
    };
    vec![
        class("status-read", 1.0, Idempotency::Idempotent),
        class("petition-file", 5.0, Idempotency::Keyed(10.0)),
    ]
}

fn read_levels(text: &str) -> ServiceLevels {
    let declared: pb::Ladder =
        chutegrade_textproto::parse(SCHEMA, "chutegrade.limits.v1.Ladder", text).expect(text);
    ServiceLevels::read(&declared, Some(&classes())).unwrap_or_else(|errors| panic!("{errors:?}"))
}

/// One level that sheds half of the reads above saturation 0.6, and is left below 0.3 with headroom.
fn one_level() -> ServiceLevels {
    read_levels(
        "level { name: 'fewer reads' shed { class: 'status-read' keep: 0.5 }\n\
         enter { all { signal: SATURATION above: 0.6 for_s: 2 } }\n\
         leave { all { signal: SATURATION below: 0.3 for_s: 3 } all { signal: ROOM above: 1.1 for_s: 3 } } least_stay_s: 8 }",
    )
}

/// Three levels whose conditions use saturation alone.
fn three_levels() -> ServiceLevels {
    let level = |n: usize, keep: f64, enter: f64| {
        format!(
            "level {{ name: 'l{n}' shed {{ class: 'status-read' keep: {keep} }}\n\
             enter {{ all {{ signal: SATURATION above: {enter} for_s: 1 }} }}\n\
             leave {{ all {{ signal: SATURATION below: {} for_s: 2 }} }} least_stay_s: 5 }}\n",
            enter - 0.2
        )
    };
    read_levels(&(level(1, 0.6, 0.4) + &level(2, 0.3, 0.6) + &level(3, 0.1, 0.8)))
}

/// Service levels that receive signals second by second.
#[derive(Clone)]
struct Simulation {
    transitions: LevelTransitions,
    signals: SignalWindow,
    now_us: i64,
    history: Vec<(i64, LevelTransition)>,
}

impl Simulation {
    fn new(levels: ServiceLevels) -> Self {
        Simulation {
            transitions: LevelTransitions::new(levels),
            signals: SignalWindow::default(),
            now_us: 1000 * SECOND_US,
            history: Vec::new(),
        }
    }

    fn observe(&mut self, signal: Signal, at_us: i64, value: f64) {
        self.signals.record(
            signal,
            Observation {
                at_us,
                value,
                confidence: 1.0,
            },
        );
    }

    /// Simulates a second in which signals describe the present; `None` is a missing signal.
    fn run_second(&mut self, saturation: Option<f64>, headroom: Option<f64>) {
        self.now_us += SECOND_US;
        let observed = [
            (Signal::Saturation, saturation),
            (Signal::Headroom, headroom),
        ];
        observed.into_iter().for_each(|(signal, value)| {
            if let Some(value) = value {
                self.observe(signal, self.now_us, value);
            }
        });
        self.evaluate();
    }

    fn evaluate(&mut self) {
        if let Some(change) = self.transitions.evaluate(self.now_us, &self.signals) {
            assert_eq!(change.to, self.transitions.name());
            assert!(
                !change.condition.is_empty(),
                "a transition without its cause"
            );
            assert!(
                change.reason == TransitionReason::SignalsLost
                    || change
                        .readings
                        .iter()
                        .any(|reading| reading.value.is_some())
            );
            self.history.push((self.now_us, change));
        }
    }

    fn run(&mut self, seconds: i64, saturation: f64, headroom: f64) {
        (0..seconds).for_each(|_| self.run_second(Some(saturation), Some(headroom)));
    }
}

/// Each of ten swings across the bounds in ten minutes changes the level at most once in each direction, with its
/// cause.
#[test]
fn each_swing_changes_the_level_once_each_way() {
    let mut simulation = Simulation::new(one_level());
    for _ in 0..10 {
        simulation.run(30, 0.1, 2.0);
        simulation.run(30, 0.9, 0.5);
    }
    simulation.run(40, 0.1, 2.0);
    // Backoff after an early re-entry may cause fewer transitions than swings, never more.
    let numbers: Vec<usize> = simulation
        .history
        .iter()
        .map(|(_, change)| change.number)
        .collect();
    assert!(numbers.len() <= 20 && numbers.len() >= 8, "{numbers:?}");
    assert!(
        numbers
            .iter()
            .enumerate()
            .all(|(index, number)| *number == (index + 1) % 2),
        "{numbers:?}"
    );
    assert!(simulation
        .history
        .iter()
        .all(|(_, change)| change.readings.len() == 2));
}

/// Load that hovers at a threshold must not make the level oscillate.
#[test]
fn load_that_hovers_at_a_threshold_rarely_changes_the_level() {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(3);
    for centre in [0.6, 0.3, 0.45] {
        let mut simulation = Simulation::new(one_level());
        for _ in 0..600 {
            simulation.run_second(
                Some(centre + random.random_range(-0.04..0.04)),
                Some(1.1 + random.random_range(-0.1..0.1)),
            );
        }
        assert!(
            simulation.history.len() <= 2,
            "{centre}: {}",
            simulation.history.len()
        );
    }
    // Swings wider than the hysteresis, as fast as the levels allow: the minimum duration grows at each re-entry.
    let mut simulation = Simulation::new(one_level());
    for second in 0..600 {
        let high = second % 24 < 12;
        simulation.run_second(
            Some(if high { 0.9 } else { 0.1 }),
            Some(if high { 0.5 } else { 2.0 }),
        );
    }
    assert!(
        simulation.history.len() <= 25,
        "{} changes in 25 swings",
        simulation.history.len()
    );
}

/// Signals that are batched, late and duplicated lead to the same levels as timely ones, later by the delay.
#[test]
fn batched_late_and_duplicated_signals_count_by_their_own_times() {
    let value = |second: i64| if (20..60).contains(&second) { 0.9 } else { 0.1 };
    let mut timely = Simulation::new(one_level());
    let mut batched = Simulation::new(one_level());
    let begin = timely.now_us;
    for second in 1..=120 {
        timely.run_second(
            Some(value(second)),
            Some(if value(second) > 0.5 { 0.5 } else { 2.0 }),
        );
        batched.now_us = begin + second * SECOND_US;
        if second % 4 == 0 {
            // The last four seconds, the newest first, and all of them twice.
            for back in [0, 1, 2, 3, 2, 1, 0] {
                let at_us = second - back;
                batched.observe(Signal::Saturation, begin + at_us * SECOND_US, value(at_us));
                batched.observe(
                    Signal::Headroom,
                    begin + at_us * SECOND_US,
                    if value(at_us) > 0.5 { 0.5 } else { 2.0 },
                );
            }
        }
        batched.evaluate();
    }
    let numbers = |simulation: &Simulation| {
        simulation
            .history
            .iter()
            .map(|(_, change)| change.number)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (numbers(&timely), numbers(&batched)),
        (vec![1, 0], vec![1, 0])
    );
    for (timely_change, batched_change) in timely.history.iter().zip(&batched.history) {
        assert!(
            (0..=4 * SECOND_US).contains(&(batched_change.0 - timely_change.0)),
            "{} against {}",
            batched_change.0,
            timely_change.0
        );
    }
}

/// A stale endpoint list delays leaving a level until servers are warm, but only until its timeout.
#[test]
fn a_stale_endpoint_list_delays_recovery_for_a_limited_time() {
    let mut simulation = Simulation::new(one_level());
    simulation.run(20, 0.9, 0.5);
    assert_eq!(simulation.transitions.level(), 1);
    // The servers are back and warming up; saturation is low because of shedding, and there is no headroom yet.
    simulation.run(30, 0.1, 0.8);
    assert_eq!(
        simulation.transitions.level(),
        1,
        "left before servers are warm"
    );
    simulation.run(5, 0.1, 1.5);
    assert_eq!(
        (
            simulation.transitions.level(),
            simulation.history[1].1.reason
        ),
        (0, TransitionReason::Left)
    );
    // The endpoint list never shows the recovery: it is overruled once the other signals have recovered for a minute.
    simulation.run(20, 0.9, 0.5);
    simulation.run(70, 0.1, 0.8);
    let last = &simulation.history.last().expect("a change").1;
    assert_eq!(
        (simulation.transitions.level(), last.reason),
        (0, TransitionReason::EndpointListOverruled)
    );
    // The list was right, as load returns: its timeout grows each time.
    let mut durations = Vec::new();
    for _ in 0..3 {
        simulation.run(20, 0.9, 0.5);
        let begin = simulation.now_us;
        while simulation.transitions.level() == 1 && simulation.now_us - begin < 3600 * SECOND_US {
            simulation.run(1, 0.1, 0.8);
        }
        durations.push((simulation.now_us - begin) / SECOND_US);
    }
    assert!(
        durations.windows(2).all(|pair| pair[1] > pair[0]),
        "{durations:?}"
    );
}

#[test]
fn missing_signals_keep_the_level_until_the_timeout() {
    let mut simulation = Simulation::new(three_levels());
    simulation.run(10, 0.9, 1.0);
    assert_eq!(simulation.transitions.level(), 3);
    let begin = simulation.now_us;
    for _ in 0..80 {
        simulation.run_second(None, None);
    }
    let times: Vec<i64> = simulation.history[1..]
        .iter()
        .map(|(at_us, _)| (at_us - begin) / SECOND_US)
        .collect();
    // Signals are too old after 5 s; one level is left after each 15 s without signals.
    assert_eq!(times, [21, 37, 53], "{times:?}");
    assert!(simulation.history[1..]
        .iter()
        .all(|(_, change)| change.reason == TransitionReason::SignalsLost));
}

/// After a stall, a supervisor has only old signals, which must not enter a level.
#[test]
fn a_stall_enters_no_level_on_old_signals() {
    let mut simulation = Simulation::new(one_level());
    simulation.run(10, 0.1, 2.0);
    simulation.observe(Signal::Saturation, simulation.now_us + SECOND_US, 0.9);
    simulation.observe(Signal::Saturation, simulation.now_us + 3 * SECOND_US, 0.9);
    simulation.now_us += 20 * SECOND_US;
    simulation.evaluate();
    assert_eq!(simulation.transitions.level(), 0);
    // A level that was current before a stall lasts until signals return or their timeout expires.
    simulation.run(10, 0.9, 0.5);
    simulation.now_us += 20 * SECOND_US;
    simulation.evaluate();
    assert_eq!(simulation.transitions.level(), 1);
    simulation.run(20, 0.1, 2.0);
    assert_eq!(simulation.transitions.level(), 0);
}

/// Restores a snapshot at a time into a new state machine; returns its level as well.
fn restore(now_us: i64, saved: &pb::Saved) -> (usize, RestoreResult) {
    let mut transitions = LevelTransitions::new(one_level());
    let result = transitions.restore(now_us, saved, &SignalWindow::default());
    (transitions.level(), result)
}

/// Returns a simulation that ten seconds of overload brought to level 1.
fn simulation_at_level_one() -> Simulation {
    let mut simulation = Simulation::new(one_level());
    simulation.run(10, 0.9, 0.5);
    simulation
}

#[test]
fn a_restart_restores_the_level_or_reports_why_not() {
    let simulation = simulation_at_level_one();
    let saved_us = simulation.now_us;
    let saved = simulation.transitions.snapshot(saved_us);
    let (level, result) = restore(saved_us + 10 * SECOND_US, &saved);
    assert_eq!(
        (level, result.expect("in time").expect("a change").reason),
        (1, TransitionReason::Restored)
    );
    let (level, result) = restore(saved_us + MAX_SNAPSHOT_AGE_US + SECOND_US, &saved);
    let error = result.expect_err("too old").to_string();
    assert!(level == 0 && error.contains("at most 60 s"));
    let (level, result) = restore(saved_us - SECOND_US, &saved);
    assert!(level == 0 && result.is_err(), "from the future");
    let named = |level: &str| pb::Saved {
        level: level.into(),
        ..saved.clone()
    };
    let (level, result) = restore(saved_us + SECOND_US, &named("another"));
    let error = result.expect_err("unknown").to_string();
    assert!(level == 0 && error.contains("no level \"another\""));
    let (_, result) = restore(saved_us + SECOND_US, &named("full"));
    assert_eq!(result, Ok(None));
}

#[test]
fn a_restored_level_is_left_without_signals() {
    let simulation = simulation_at_level_one();
    let saved = simulation.transitions.snapshot(simulation.now_us);
    let mut restored = Simulation::new(one_level());
    restored.now_us = simulation.now_us + 10 * SECOND_US;
    restored
        .transitions
        .restore(restored.now_us, &saved, &restored.signals)
        .expect("in time");
    (0..40).for_each(|_| restored.run_second(None, None));
    assert_eq!(restored.transitions.level(), 0);
}

#[test]
fn levels_may_be_replaced_while_one_is_in_force() {
    let mut simulation = Simulation::new(three_levels());
    simulation.run(10, 0.7, 1.0);
    assert_eq!(simulation.transitions.name(), "l2");
    let (now_us, since_us) = (simulation.now_us, simulation.transitions.since_us());
    // The same level at another position keeps its start.
    let two = read_levels(
        "level { name: 'l2' shed { class: 'status-read' keep: 0.3 } enter { all { signal: SATURATION above: 0.6 for_s: 1 } }\n\
         leave { all { signal: SATURATION below: 0.4 for_s: 2 } } }",
    );
    assert_eq!(
        simulation
            .transitions
            .replace(now_us, two, &simulation.signals),
        None
    );
    assert_eq!(
        (
            simulation.transitions.name(),
            simulation.transitions.level(),
            simulation.transitions.since_us()
        ),
        ("l2", 1, since_us)
    );
    // The level no longer exists: the mildest one that admits no more replaces it.
    let other = read_levels(
        "level { name: 'mild' shed { class: 'status-read' keep: 0.8 } enter { all { signal: SATURATION above: 0.3 } }\n\
         leave { all { signal: SATURATION below: 0.1 } } }\n\
         level { name: 'hard' shed { class: 'status-read' keep: 0.2 } enter { all { signal: SATURATION above: 0.8 } }\n\
         leave { all { signal: SATURATION below: 0.5 } } }",
    );
    let change = simulation
        .transitions
        .replace(now_us, other, &simulation.signals)
        .expect("a change");
    assert_eq!(
        (change.from.as_str(), change.to.as_str(), change.reason),
        ("l2", "hard", TransitionReason::Replaced)
    );
    simulation.run(60, 0.05, 1.0);
    assert_eq!(simulation.transitions.level(), 0);
}

/// Supervisors decide independently of each other.
#[test]
fn two_supervisors_may_be_at_different_levels() {
    let (mut near, mut far) = (Simulation::new(one_level()), Simulation::new(one_level()));
    near.run(20, 0.9, 0.5);
    far.run(20, 0.4, 1.5);
    assert_eq!((near.transitions.level(), far.transitions.level()), (1, 0));
}

/// Returns the state of a simulation as the search distinguishes it: the level, its age and the newest observations.
fn search_state(simulation: &Simulation) -> (usize, i64, Vec<(i64, i64)>) {
    let age = (simulation.now_us - simulation.transitions.since_us()) / SECOND_US;
    let observations = simulation.signals.observations(Signal::Saturation);
    let newest = observations.iter().rev().take(2);
    let samples = newest.map(|sample| {
        let sample_age = (simulation.now_us - sample.at_us) / SECOND_US;
        ((sample.value * 100.0) as i64, sample_age.min(6))
    });
    (
        simulation.transitions.level(),
        age.clamp(0, 6),
        samples.collect(),
    )
}

/// Asserts that no level was left before its minimum duration, or changed before the signals settled.
fn assert_not_oscillating(simulation: &Simulation) {
    for pair in simulation.history.windows(2) {
        let (first, second) = (&pair[0], &pair[1]);
        let down = second.1.number < first.1.number;
        assert!(
            !down || second.0 - first.0 >= 5 * SECOND_US,
            "left too early: {:?}",
            simulation.history
        );
        assert!(
            second.0 - first.0 >= 4 * SECOND_US,
            "changed too early: {:?}",
            simulation.history
        );
    }
}

/// Asserts that the level is left once its cause is gone, and also without any signal.
fn assert_not_stuck(simulation: &Simulation) {
    if simulation.transitions.level() == 0 {
        return;
    }
    let mut idle = simulation.clone();
    idle.run(140, 0.05, 2.0);
    assert_eq!(
        idle.transitions.level(),
        0,
        "stuck after {:?}",
        simulation.history
    );
    let mut silent = simulation.clone();
    (0..200).for_each(|_| silent.run_second(None, None));
    assert_eq!(
        silent.transitions.level(),
        0,
        "stuck without signals after {:?}",
        simulation.history
    );
}

/// Exhaustive search of states over a coarse grid of signals: every level is left once its cause is gone, and none is
/// left before its minimum duration.
#[test]
fn every_level_is_left_once_its_cause_is_gone_and_none_oscillates() {
    // Possible saturations of each second: missing, idle, between the bounds, and entering levels.
    let readings = [None, Some(0.05), Some(0.5), Some(0.7), Some(0.95)];
    let mut visited = HashSet::new();
    let mut open = VecDeque::from([(0, Simulation::new(three_levels()))]);
    let mut levels = BTreeSet::new();
    while let Some((depth, simulation)) = open.pop_front() {
        if !visited.insert(search_state(&simulation)) {
            continue;
        }
        levels.insert(simulation.transitions.level());
        assert_not_oscillating(&simulation);
        assert_not_stuck(&simulation);
        for next in readings.iter().filter(|_| depth < 14) {
            let mut successor = simulation.clone();
            successor.run_second(*next, Some(2.0));
            open.push_back((depth + 1, successor));
        }
    }
    assert_eq!(levels, BTreeSet::from([0, 1, 2, 3]));
    println!("{} states", visited.len());
    assert!(visited.len() > 300, "{} states", visited.len());
}

/// A month of random load in virtual time, compared with an oracle that knows the load: there must be few changes and
/// little time in the wrong level.
#[test]
fn a_month_of_random_load_causes_few_transitions() {
    const DAYS: i64 = 30;
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut simulation = Simulation::new(one_level());
    let (mut load, mut target_load, mut wrong, mut swings) = (0.5f64, 0.5f64, 0i64, 0);
    let mut oracle = false;
    // Each step is five seconds, which is also the maximum age of signals.
    for step in 0..DAYS * 86_400 / 5 {
        if step % 120 == 0 {
            // A new target every ten minutes: mostly below capacity, sometimes above it.
            target_load = if random.random_range(0.0..1.0) < 0.05 {
                random.random_range(1.1..1.8)
            } else {
                random.random_range(0.2..0.9)
            };
        }
        load += 0.1 * (target_load - load) + random.random_range(-0.01..0.01);
        let shed = if simulation.transitions.level() == 1 {
            0.75
        } else {
            1.0
        };
        let saturation =
            ((load * shed - 0.7) / 0.6 + random.random_range(-0.05..0.05)).clamp(0.0, 1.0);
        simulation.now_us += 4 * SECOND_US;
        simulation.run_second(Some(saturation), Some(1.0 / load.max(0.1)));
        let over = if oracle { load > 0.95 } else { load > 1.05 };
        swings += i64::from(over != oracle);
        oracle = over;
        wrong += i64::from(oracle != (simulation.transitions.level() == 1));
    }
    let steps = DAYS * 86_400 / 5;
    let hourly = simulation.history.len() as f64 / (DAYS * 24) as f64;
    let share = wrong as f64 / steps as f64;
    println!(
        "{hourly:.2} changes an hour for {:.2} of the oracle, {:.2} % of the time in the wrong level",
        swings as f64 / (DAYS * 24) as f64,
        100.0 * share
    );
    assert!(
        hourly <= 1.2 * swings as f64 / (DAYS * 24) as f64 + 0.05,
        "{hourly} changes an hour"
    );
    assert!(share < 0.05, "{share} of the time in the wrong level");
    assert!(simulation.history.len() > 20, "nothing happened");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any signals, a level is left once its cause is gone, shed shares are ordered by priority, and every change
    /// has its cause.
    #[test]
    fn after_any_signals_every_level_is_left(
        samples in prop::collection::vec((prop::option::of(0.0..1.2f64), prop::option::of(-1.0..5.0f64), 0..8i64), 0..200),
    ) {
        let levels = ServiceLevels::read(&pb::Ladder { usual: Some(true), ..Default::default() }, Some(&classes())).expect("usual");
        let mut simulation = Simulation::new(levels);
        for (saturation, headroom, delay) in samples {
            simulation.now_us += SECOND_US;
            let at_us = simulation.now_us - delay * SECOND_US;
            if let Some(value) = saturation { simulation.observe(Signal::Saturation, at_us, value); }
            if let Some(value) = headroom { simulation.observe(Signal::Headroom, at_us, value); }
            simulation.evaluate();
            prop_assert!(simulation.transitions.admitted_share("status-read") <= simulation.transitions.admitted_share("petition-file"));
        }
        // Three levels, each with a minimum duration of 8 s that grows at most eightfold.
        simulation.run(3 * 8 * 8 + 80, 0.0, 3.0);
        prop_assert_eq!(simulation.transitions.level(), 0);
    }
}
