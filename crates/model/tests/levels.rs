//! Levels of service on the model: ten minutes across the boundary, what is kept and what is shed, recorded traffic.

use std::sync::Arc;

use chutegrade_limits::{pb as limits, SCHEMA};
use chutegrade_model::{play, scenario, Scenario, Setup};
use chutegrade_traffic::{read, Traffic};

const FLEET: &str = "zone: 'a' zone: 'b' kind { servers: 8 cores: 2 }\n\
    class { name: 'status-read' share: 6 work_ms: 80 worth: 1 effect: SAFE aim_ms: 600 deadline_ms: 2000 }\n\
    class { name: 'petition-file' share: 3 work_ms: 120 worth: 6 effect: KEYED window_ms: 10000 aim_ms: 900 deadline_ms: 3000 }\n\
    class { name: 'refund-order' share: 1 work_ms: 80 worth: 3 effect: UNSAFE aim_ms: 600 deadline_ms: 2000 }\n\
    clients { retries: 2 } supervisors { count: 1 }\n";

const LADDER: &str = "ladder { level { name: 'fewer reads' shed { class: 'status-read' keep: 0.1 }\n\
    enter { all { signal: SATURATION above: 0.35 for_s: 1 } }\n\
    leave { all { signal: SATURATION below: 0.15 for_s: 4 } all { signal: ROOM above: 1.15 for_s: 4 } } least_stay_s: 10 } }";

fn scenario_of(text: &str) -> Scenario {
    scenario::read(&format!("{FLEET}{text}")).unwrap_or_else(|faults| panic!("{faults:?}"))
}

fn written(text: &str) -> limits::Limits {
    chutegrade_textproto::parse(SCHEMA, "chutegrade.limits.v1.Limits", text).expect(text)
}

fn setup(text: &str) -> Setup {
    Setup {
        limits: Some(written(text)),
        ..Setup::default()
    }
}

/// Five swings of two minutes each: at most one change each way for each swing, every change with its cause; the dear class
/// is kept better than without.
#[test]
fn ten_minutes_across_the_boundary() {
    let points: String = (0..5)
        .flat_map(|swing| {
            let at = 120 * swing;
            [
                (at + 40, 1.0),
                (at + 50, 2.1),
                (at + 90, 2.1),
                (at + 100, 1.0),
            ]
        })
        .map(|(at, factor)| format!("point {{ at_s: {at} factor: {factor} }} "))
        .collect();
    let scenario = scenario_of(&format!("seconds: 600 load {{ level: 0.6 {points} }}"));
    let with = setup(LADDER);
    with.validate_for(&scenario).expect("it fits");
    let (plain, levels) = (
        play(&scenario, &Setup::default(), 3),
        play(&scenario, &with, 3),
    );
    let ways: Vec<(usize, u64)> = levels
        .level_changes
        .iter()
        .map(|of| (of.change.number, of.at_s as u64 / 120))
        .collect();
    assert!(ways.len() >= 4, "{ways:?}");
    for swing in 0..5 {
        for way in [0, 1] {
            // The last way back may fall into the calm time of the next swing.
            let count = ways
                .iter()
                .filter(|(number, at)| (*number, *at) == (way, swing))
                .count();
            assert!(
                count <= 1,
                "{count} changes to {way} in swing {swing}: {ways:?}"
            );
        }
    }
    for of in &levels.level_changes {
        let told = of
            .change
            .readings
            .iter()
            .all(|reading| reading.value.is_some());
        assert!(!of.change.condition.is_empty() && told, "{of:?}");
    }
    let kept = |of: &chutegrade_model::Outcome| of.classes[1].service;
    assert!(
        kept(&levels) >= kept(&plain) - 0.005,
        "petition-file {} against {}",
        kept(&levels),
        kept(&plain)
    );
    assert!(levels.broken_rules.is_empty(), "{:?}", levels.broken_rules);
}

#[test]
fn a_limit_from_capacity_serves_better_under_a_steady_overload() {
    let scenario = scenario_of("seconds: 60 load { level: 1.6 }");
    let limit = setup("adaptive { rule: CAPACITY }");
    let gain = |seed| {
        play(&scenario, &limit, seed).service() - play(&scenario, &Setup::default(), seed).service()
    };
    let gains: Vec<f64> = (1..=4).map(gain).collect();
    assert!(gains.iter().all(|gain| *gain > 0.02), "{gains:?}");
}

/// The same run to the bit, limits or not.
#[test]
fn limits_are_a_function_of_what_is_seen() {
    let scenario = scenario_of("seconds: 30 load { level: 1.3 }");
    let all = setup(&format!(
        "{LADDER} adaptive {{}} repeats {{ once_while_room: true }} fairness {{}}"
    ));
    let outcome = play(&scenario, &all, 5);
    assert_eq!(outcome, play(&scenario, &all, 5));
    assert!(
        outcome.broken_rules.is_empty(),
        "{:?}",
        outcome.broken_rules
    );
}

#[test]
fn what_does_not_fit_is_told() {
    let scenario = scenario_of("seconds: 10");
    let said = setup(&LADDER.replace("'status-read' keep", "'nothing' keep"))
        .validate_for(&scenario)
        .expect_err("a fault");
    assert!(said.contains("no class \"nothing\""), "{said}");
    let traffic = Traffic {
        classes: vec!["other".into()],
        ..Traffic::default()
    };
    let said = Setup {
        traffic: Some(Arc::new(traffic)),
        ..Setup::default()
    }
    .validate_for(&scenario)
    .expect_err("a fault");
    assert!(said.contains("no class \"other\""), "{said}");
}

/// Recorded traffic comes as recorded: each request once, at its time, out of order in the file or not.
#[test]
fn recorded_traffic_comes_as_recorded() {
    let scenario = scenario_of("seconds: 20");
    let mut lines = vec!["at_ms,class,zone,key,work_ms".to_string()];
    for number in 0..2000u32 {
        // Pairs of lines that stand the wrong way round.
        let at = (number ^ 1) * 9;
        let class = ["status-read", "petition-file"][usize::from(number % 10 == 0)];
        lines.push(format!(
            "{at},{class},{},k{},40",
            ["a", "b"][(number % 2) as usize],
            number / 20
        ));
    }
    let traffic = read(lines.join("\n").as_bytes()).expect("traffic");
    assert!(traffic.out_of_order > 900 && traffic.count_retries(10_000_000) > 0);
    let setup = Setup {
        traffic: Some(Arc::new(traffic)),
        ..Setup::default()
    };
    setup.validate_for(&scenario).expect("it fits");
    let outcome = play(&scenario, &setup, 1);
    assert_eq!(
        outcome
            .classes
            .iter()
            .map(|class| class.requests)
            .collect::<Vec<_>>(),
        [1800, 200, 0]
    );
    let by_second: Vec<f64> = outcome
        .seconds
        .iter()
        .take(17)
        .map(|second| second.offered)
        .collect();
    // 111 a second, one in ten of them worth six.
    assert!(
        by_second.iter().all(|asked| (asked - 167.0).abs() < 12.0),
        "{by_second:?}"
    );
    assert_eq!(outcome, play(&scenario, &setup, 1));
}
