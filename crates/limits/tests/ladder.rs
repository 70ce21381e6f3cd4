//! The ladder under the cases that make ladders flap, stick or lie: hovering load, signals late, together or twice, a roster
//! that is late, stalls, restarts, replacements. And an exhaustive walk over all that it can be in.

use std::collections::{BTreeSet, HashSet, VecDeque};

use chutegrade_limits::transitions::{TransitionReason, RESTORE_WITHIN};
use chutegrade_limits::{
    pb, Class, Idempotency, LevelTransition, LevelTransitions, Observation, ServiceLevels, Signal,
    SignalWindow, SCHEMA,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};

const S: i64 = 1_000_000;

fn classes() -> Vec<Class> {
    let class = |name: &str, worth, effect| Class {
        name: name.into(),
        priority_weight: worth,
        latency_objective_seconds: 1.0,
        deadline_seconds: 3.0,
        idempotency: effect,
    };
    vec![
        class("status-read", 1.0, Idempotency::Idempotent),
        class("petition-file", 5.0, Idempotency::Keyed(10.0)),
    ]
}

fn read(text: &str) -> ServiceLevels {
    let of: pb::Ladder =
        chutegrade_textproto::parse(SCHEMA, "chutegrade.limits.v1.Ladder", text).expect(text);
    ServiceLevels::read(&of, Some(&classes())).unwrap_or_else(|faults| panic!("{faults:?}"))
}

/// One boundary: half of the reads go at saturation 0.6, and come back below 0.3 with room to spare.
fn one() -> ServiceLevels {
    read(
        "level { name: 'fewer reads' shed { class: 'status-read' keep: 0.5 }\n\
         enter { all { signal: SATURATION above: 0.6 for_s: 2 } }\n\
         leave { all { signal: SATURATION below: 0.3 for_s: 3 } all { signal: ROOM above: 1.1 for_s: 3 } } least_stay_s: 8 }",
    )
}

/// Three levels over saturation alone.
fn three() -> ServiceLevels {
    let level = |n: usize, keep: f64, enter: f64| {
        format!(
            "level {{ name: 'l{n}' shed {{ class: 'status-read' keep: {keep} }}\n\
             enter {{ all {{ signal: SATURATION above: {enter} for_s: 1 }} }}\n\
             leave {{ all {{ signal: SATURATION below: {} for_s: 2 }} }} least_stay_s: 5 }}\n",
            enter - 0.2
        )
    };
    read(&(level(1, 0.6, 0.4) + &level(2, 0.3, 0.6) + &level(3, 0.1, 0.8)))
}

/// A ladder fed with signals by the second.
#[derive(Clone)]
struct Played {
    steps: LevelTransitions,
    board: SignalWindow,
    now: i64,
    changes: Vec<(i64, LevelTransition)>,
}

impl Played {
    fn new(ladder: ServiceLevels) -> Self {
        Played {
            steps: LevelTransitions::new(ladder),
            board: SignalWindow::default(),
            now: 1000 * S,
            changes: Vec::new(),
        }
    }

    fn tell(&mut self, signal: Signal, at: i64, value: f64) {
        self.board.learn(
            signal,
            Observation {
                at,
                value,
                sure: 1.0,
            },
        );
    }

    /// A second in which signals tell of now; what is nothing is not told.
    fn second(&mut self, saturation: Option<f64>, room: Option<f64>) {
        self.now += S;
        let told = [(Signal::Saturation, saturation), (Signal::Room, room)];
        told.into_iter().for_each(|(signal, value)| {
            if let Some(value) = value {
                self.tell(signal, self.now, value);
            }
        });
        self.look();
    }

    fn look(&mut self) {
        if let Some(change) = self.steps.step(self.now, &self.board) {
            assert_eq!(change.to, self.steps.name());
            assert!(!change.condition.is_empty(), "a change without its cause");
            assert!(
                change.reason == TransitionReason::NoSignals
                    || change.shown.iter().any(|shown| shown.value.is_some())
            );
            self.changes.push((self.now, change));
        }
    }

    fn many(&mut self, seconds: i64, saturation: f64, room: f64) {
        (0..seconds).for_each(|_| self.second(Some(saturation), Some(room)));
    }
}

/// Ten minutes, ten swings across the boundary: one change for each way, each with its cause.
#[test]
fn each_swing_changes_the_level_once_each_way() {
    let mut played = Played::new(one());
    for _ in 0..10 {
        played.many(30, 0.1, 2.0);
        played.many(30, 0.9, 0.5);
    }
    played.many(40, 0.1, 2.0);
    // A level that was left too early stays longer the next time, so that there may be fewer changes than swings, never more.
    let ways: Vec<usize> = played
        .changes
        .iter()
        .map(|(_, change)| change.number)
        .collect();
    assert!(ways.len() <= 20 && ways.len() >= 8, "{ways:?}");
    assert!(
        ways.iter()
            .enumerate()
            .all(|(at, way)| *way == (at + 1) % 2),
        "{ways:?}"
    );
    assert!(played
        .changes
        .iter()
        .all(|(_, change)| change.shown.len() == 2));
}

/// Danger: load that hovers at a threshold drives the level in and out.
#[test]
fn load_that_hovers_changes_little() {
    let mut chance = rand_chacha::ChaCha8Rng::seed_from_u64(3);
    for centre in [0.6, 0.3, 0.45] {
        let mut played = Played::new(one());
        for _ in 0..600 {
            played.second(
                Some(centre + chance.random_range(-0.04..0.04)),
                Some(1.1 + chance.random_range(-0.1..0.1)),
            );
        }
        assert!(
            played.changes.len() <= 2,
            "{centre}: {}",
            played.changes.len()
        );
    }
    // Wider than the gap, as fast as the ladder allows: each return stays longer.
    let mut played = Played::new(one());
    for second in 0..600 {
        let high = second % 24 < 12;
        played.second(
            Some(if high { 0.9 } else { 0.1 }),
            Some(if high { 0.5 } else { 2.0 }),
        );
    }
    assert!(
        played.changes.len() <= 25,
        "{} changes in 25 swings",
        played.changes.len()
    );
}

/// Signals that come in lumps, late and twice lead to the same levels as when they come one by one, so much later.
#[test]
fn late_lumps_and_repeats_are_read_by_their_own_times() {
    let value = |second: i64| if (20..60).contains(&second) { 0.9 } else { 0.1 };
    let mut plain = Played::new(one());
    let mut lumpy = Played::new(one());
    let begin = plain.now;
    for second in 1..=120 {
        plain.second(
            Some(value(second)),
            Some(if value(second) > 0.5 { 0.5 } else { 2.0 }),
        );
        lumpy.now = begin + second * S;
        if second % 4 == 0 {
            // The last four seconds, the newest first, and all of them twice.
            for back in [0, 1, 2, 3, 2, 1, 0] {
                let at = second - back;
                lumpy.tell(Signal::Saturation, begin + at * S, value(at));
                lumpy.tell(
                    Signal::Room,
                    begin + at * S,
                    if value(at) > 0.5 { 0.5 } else { 2.0 },
                );
            }
        }
        lumpy.look();
    }
    let told = |played: &Played| {
        played
            .changes
            .iter()
            .map(|(_, change)| change.number)
            .collect::<Vec<_>>()
    };
    assert_eq!((told(&plain), told(&lumpy)), (vec![1, 0], vec![1, 0]));
    for (one, other) in plain.changes.iter().zip(&lumpy.changes) {
        assert!(
            (0..=4 * S).contains(&(other.0 - one.0)),
            "{} against {}",
            other.0,
            one.0
        );
    }
}

/// A roster that reports recovery late: the level waits for warm servers, but not for good.
#[test]
fn a_late_roster_neither_keeps_the_level_for_good_nor_lets_it_go_cold() {
    let mut played = Played::new(one());
    played.many(20, 0.9, 0.5);
    assert_eq!(played.steps.level(), 1);
    // The servers are back and cold, saturation is low for what is shed: no room yet.
    played.many(30, 0.1, 0.8);
    assert_eq!(played.steps.level(), 1, "let go before servers are warm");
    played.many(5, 0.1, 1.5);
    assert_eq!(
        (played.steps.level(), played.changes[1].1.reason),
        (0, TransitionReason::Left)
    );
    // The roster never tells of the recovery: after a minute in which all that is measured is good it is doubted.
    played.many(20, 0.9, 0.5);
    played.many(70, 0.1, 0.8);
    let last = &played.changes.last().expect("a change").1;
    assert_eq!(
        (played.steps.level(), last.reason),
        (0, TransitionReason::Doubted)
    );
    // It was right after all: it is believed for longer the next time, and longer still.
    let mut stays = Vec::new();
    for _ in 0..3 {
        played.many(20, 0.9, 0.5);
        let begin = played.now;
        while played.steps.level() == 1 && played.now - begin < 3600 * S {
            played.many(1, 0.1, 0.8);
        }
        stays.push((played.now - begin) / S);
    }
    assert!(stays.windows(2).all(|two| two[1] > two[0]), "{stays:?}");
}

#[test]
fn missing_signals_hold_the_level_for_a_stated_time_and_then_step_down() {
    let mut played = Played::new(three());
    played.many(10, 0.9, 1.0);
    assert_eq!(played.steps.level(), 3);
    let begin = played.now;
    for _ in 0..80 {
        played.second(None, None);
    }
    let times: Vec<i64> = played.changes[1..]
        .iter()
        .map(|(at, _)| (at - begin) / S)
        .collect();
    // Too old after 5 s, 15 s without: one level at a time.
    assert_eq!(times, [21, 37, 53], "{times:?}");
    assert!(played.changes[1..]
        .iter()
        .all(|(_, change)| change.reason == TransitionReason::NoSignals));
}

/// A supervisor that stood still: what it finds afterwards is old, and no level is entered on it.
#[test]
fn a_stall_enters_nothing_on_what_is_old() {
    let mut played = Played::new(one());
    played.many(10, 0.1, 2.0);
    played.tell(Signal::Saturation, played.now + S, 0.9);
    played.tell(Signal::Saturation, played.now + 3 * S, 0.9);
    played.now += 20 * S;
    played.look();
    assert_eq!(played.steps.level(), 0);
    // And a level that was in force when it stood still is kept until signals are there again, or missing for long.
    played.many(10, 0.9, 0.5);
    played.now += 20 * S;
    played.look();
    assert_eq!(played.steps.level(), 1);
    played.many(20, 0.1, 2.0);
    assert_eq!(played.steps.level(), 0);
}

#[test]
fn a_restart_takes_the_level_up_or_says_why_not() {
    let mut played = Played::new(one());
    played.many(10, 0.9, 0.5);
    let (saved, at) = (played.steps.saved(played.now), played.now);
    let again = |later: i64, saved: &pb::Saved| {
        let mut steps = LevelTransitions::new(one());
        let told = steps.restore(at + later, saved, &SignalWindow::default());
        (steps.level(), told)
    };
    let (level, told) = again(10 * S, &saved);
    assert_eq!(
        (level, told.expect("in time").expect("a change").reason),
        (1, TransitionReason::Restored)
    );
    let (level, told) = again(RESTORE_WITHIN + S, &saved);
    assert!(level == 0 && told.expect_err("too old").contains("at most 60 s"));
    let (level, told) = again(-S, &saved);
    assert!(level == 0 && told.is_err(), "from the future");
    let (level, told) = again(
        S,
        &pb::Saved {
            level: "another".into(),
            ..saved.clone()
        },
    );
    assert!(level == 0 && told.expect_err("unknown").contains("no level \"another\""));
    let (_, told) = again(
        S,
        &pb::Saved {
            level: "full".into(),
            ..saved
        },
    );
    assert_eq!(told, Ok(None));
    // Restored and without signals, it does not stand for good.
    let mut restored = Played::new(one());
    restored.now = at + 10 * S;
    let saved = played.steps.saved(at);
    restored
        .steps
        .restore(restored.now, &saved, &restored.board)
        .expect("in time");
    (0..40).for_each(|_| restored.second(None, None));
    assert_eq!(restored.steps.level(), 0);
}

#[test]
fn a_ladder_replaced_while_a_level_is_in_force() {
    let mut played = Played::new(three());
    played.many(10, 0.7, 1.0);
    assert_eq!(played.steps.name(), "l2");
    let (now, since) = (played.now, played.steps.since());
    // The same level in another place keeps its time.
    let two = read(
        "level { name: 'l2' shed { class: 'status-read' keep: 0.3 } enter { all { signal: SATURATION above: 0.6 for_s: 1 } }\n\
         leave { all { signal: SATURATION below: 0.4 for_s: 2 } } }",
    );
    assert_eq!(played.steps.replace(now, two, &played.board), None);
    assert_eq!(
        (
            played.steps.name(),
            played.steps.level(),
            played.steps.since()
        ),
        ("l2", 1, since)
    );
    // It is gone: the mildest that sheds no less takes over, with its reason.
    let other = read(
        "level { name: 'mild' shed { class: 'status-read' keep: 0.8 } enter { all { signal: SATURATION above: 0.3 } }\n\
         leave { all { signal: SATURATION below: 0.1 } } }\n\
         level { name: 'hard' shed { class: 'status-read' keep: 0.2 } enter { all { signal: SATURATION above: 0.8 } }\n\
         leave { all { signal: SATURATION below: 0.5 } } }",
    );
    let change = played
        .steps
        .replace(now, other, &played.board)
        .expect("a change");
    assert_eq!(
        (change.from.as_str(), change.to.as_str(), change.reason),
        ("l2", "hard", TransitionReason::Replaced)
    );
    played.many(60, 0.05, 1.0);
    assert_eq!(played.steps.level(), 0);
}

/// Two supervisors that see different signals have different levels, each with its own cause; neither follows the other.
#[test]
fn two_supervisors_may_differ() {
    let (mut near, mut far) = (Played::new(one()), Played::new(one()));
    near.many(20, 0.9, 0.5);
    far.many(20, 0.4, 1.5);
    assert_eq!((near.steps.level(), far.steps.level()), (1, 0));
}

/// The whole of what one level can be in, walked exhaustively over a coarse grid of signals: no state is a trap, and none
/// changes faster than its least stay allows.
#[test]
fn no_state_is_a_trap_and_none_flaps() {
    // What can be shown each second: calm, between, entering at each level; known or missing.
    let shown = [None, Some(0.05), Some(0.5), Some(0.7), Some(0.95)];
    // A state is the level, its age, and what the last seconds showed; the real machine is carried on from each.
    let state = |played: &Played| {
        let age = ((played.now - played.steps.since()) / S).clamp(0, 6);
        let samples = played.board.of(Signal::Saturation).iter().rev().take(2);
        let samples: Vec<(i64, i64)> = samples
            .map(|of| ((of.value * 100.0) as i64, ((played.now - of.at) / S).min(6)))
            .collect();
        (played.steps.level(), age, samples)
    };
    let (mut seen, mut open) = (HashSet::new(), VecDeque::from([(0, Played::new(three()))]));
    let mut levels = BTreeSet::new();
    while let Some((depth, played)) = open.pop_front() {
        if !seen.insert(state(&played)) {
            continue;
        }
        levels.insert(played.steps.level());
        for two in played.changes.windows(2) {
            let (first, second) = (&two[0], &two[1]);
            let down = second.1.number < first.1.number;
            assert!(
                !down || second.0 - first.0 >= 5 * S,
                "left too early: {:?}",
                played.changes
            );
            assert!(
                second.0 - first.0 >= 4 * S,
                "changed at once: {:?}",
                played.changes
            );
        }
        // Once the cause is gone the level goes, from wherever it stands; and without any signal as well.
        if played.steps.level() > 0 {
            let mut calm = played.clone();
            calm.many(140, 0.05, 2.0);
            assert_eq!(calm.steps.level(), 0, "a trap after {:?}", played.changes);
            let mut silent = played.clone();
            (0..200).for_each(|_| silent.second(None, None));
            assert_eq!(
                silent.steps.level(),
                0,
                "a trap in silence after {:?}",
                played.changes
            );
        }
        for next in shown.iter().filter(|_| depth < 14) {
            let mut carried = played.clone();
            carried.second(*next, Some(2.0));
            open.push_back((depth + 1, carried));
        }
    }
    assert_eq!(levels, BTreeSet::from([0, 1, 2, 3]));
    println!("{} states", seen.len());
    assert!(seen.len() > 300, "{} states", seen.len());
}

/// A month of random load in virtual time against an oracle that knows the cause: few changes, little time in the wrong level.
#[test]
fn a_month_of_random_load() {
    const DAYS: i64 = 30;
    let mut chance = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut played = Played::new(one());
    let (mut load, mut aim, mut wrong, mut swings) = (0.5f64, 0.5f64, 0i64, 0);
    let mut oracle = false;
    // Each step is five seconds; signals that old are still known.
    for step in 0..DAYS * 86_400 / 5 {
        if step % 120 == 0 {
            // A new course each ten minutes: mostly calm, now and then beyond what can be done.
            aim = if chance.random_range(0.0..1.0) < 0.05 {
                chance.random_range(1.1..1.8)
            } else {
                chance.random_range(0.2..0.9)
            };
        }
        load += 0.1 * (aim - load) + chance.random_range(-0.01..0.01);
        let shed = if played.steps.level() == 1 { 0.75 } else { 1.0 };
        let saturation =
            ((load * shed - 0.7) / 0.6 + chance.random_range(-0.05..0.05)).clamp(0.0, 1.0);
        played.now += 4 * S;
        played.second(Some(saturation), Some(1.0 / load.max(0.1)));
        let over = if oracle { load > 0.95 } else { load > 1.05 };
        swings += i64::from(over != oracle);
        oracle = over;
        wrong += i64::from(oracle != (played.steps.level() == 1));
    }
    let steps = DAYS * 86_400 / 5;
    let hourly = played.changes.len() as f64 / (DAYS * 24) as f64;
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
    assert!(played.changes.len() > 20, "nothing happened");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever signals do: a level is always left once the cause is gone, shed shares are ordered by worth, and every change
    /// carries its cause.
    #[test]
    fn any_signals_leave_no_trap(
        of in prop::collection::vec((prop::option::of(0.0..1.2f64), prop::option::of(-1.0..5.0f64), 0..8i64), 0..200),
    ) {
        let ladder = ServiceLevels::read(&pb::Ladder { usual: Some(true), ..Default::default() }, Some(&classes())).expect("usual");
        let mut played = Played::new(ladder);
        for (saturation, room, late) in of {
            played.now += S;
            let at = played.now - late * S;
            if let Some(value) = saturation { played.tell(Signal::Saturation, at, value); }
            if let Some(value) = room { played.tell(Signal::Room, at, value); }
            played.look();
            prop_assert!(played.steps.keeps("status-read") <= played.steps.keeps("petition-file"));
        }
        // Least stays grow eightfold at most, over three levels.
        played.many(3 * 8 * 8 + 80, 0.0, 3.0);
        prop_assert_eq!(played.steps.level(), 0);
    }
}
