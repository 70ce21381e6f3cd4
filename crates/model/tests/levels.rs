//! Service levels, limits and recorded traffic in the simulator.

use std::sync::Arc;

use chutegrade_limits::{pb as limits, SCHEMA};
use chutegrade_model::{play, scenario, Scenario, Setup};
use chutegrade_traffic::{read, Traffic};

const FLEET: &str = "zone: 'a' zone: 'b' kind { servers: 8 cores: 2 }\n\
    class { name: 'status-read' share: 6 work_ms: 80 worth: 1 effect: SAFE aim_ms: 600 deadline_ms: 2000 }\n\
    class { name: 'petition-file' share: 3 work_ms: 120 worth: 6 effect: KEYED window_ms: 10000 aim_ms: 900 deadline_ms: 3000 }\n\
    class { name: 'refund-order' share: 1 work_ms: 80 worth: 3 effect: UNSAFE aim_ms: 600 deadline_ms: 2000 }\n\
    clients { retries: 2 } supervisors { count: 1 }\n";

const LEVELS: &str = "ladder { level { name: 'fewer reads' shed { class: 'status-read' keep: 0.1 }\n\
    enter { all { signal: SATURATION above: 0.35 for_s: 1 } }\n\
    leave { all { signal: SATURATION below: 0.15 for_s: 4 } all { signal: ROOM above: 1.15 for_s: 4 } } least_stay_s: 10 } }";

fn read_scenario(text: &str) -> Scenario {
    scenario::read(&format!("{FLEET}{text}")).unwrap_or_else(|errors| panic!("{errors:?}"))
}

fn parse_limits(text: &str) -> limits::Limits {
    chutegrade_textproto::parse(SCHEMA, "chutegrade.limits.v1.Limits", text).expect(text)
}

fn setup(text: &str) -> Setup {
    Setup {
        limits: Some(parse_limits(text)),
        ..Setup::default()
    }
}

/// Five load swings of two minutes each. Guards against a level that flaps: at most one change in each direction per swing,
/// each with its condition, and the class with the highest priority weight is served no worse than without levels.
#[test]
fn load_swings_of_ten_minutes_change_the_level_at_most_once_each_way() {
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
    let scenario = read_scenario(&format!("seconds: 600 load {{ level: 0.6 {points} }}"));
    let setup_with_levels = setup(LEVELS);
    setup_with_levels
        .validate_for(&scenario)
        .expect("valid for the scenario");
    let (without_levels, with_levels) = (
        play(&scenario, &Setup::default(), 3),
        play(&scenario, &setup_with_levels, 3),
    );
    let changes: Vec<(usize, u64)> = with_levels
        .level_changes
        .iter()
        .map(|change| (change.change.number, change.at_s as u64 / 120))
        .collect();
    assert!(changes.len() >= 4, "{changes:?}");
    for swing in 0..5 {
        for level in [0, 1] {
            // The change back may happen in the low load at the start of the next swing.
            let count = changes
                .iter()
                .filter(|(number, at)| (*number, *at) == (level, swing))
                .count();
            assert!(
                count <= 1,
                "{count} changes to {level} in swing {swing}: {changes:?}"
            );
        }
    }
    for change in &with_levels.level_changes {
        let all_readings_have_values = change
            .change
            .readings
            .iter()
            .all(|reading| reading.value.is_some());
        assert!(
            !change.change.condition.is_empty() && all_readings_have_values,
            "{change:?}"
        );
    }
    let service_of_petition_file = |outcome: &chutegrade_model::Outcome| outcome.classes[1].service;
    assert!(
        service_of_petition_file(&with_levels) >= service_of_petition_file(&without_levels) - 0.005,
        "petition-file {} against {}",
        service_of_petition_file(&with_levels),
        service_of_petition_file(&without_levels)
    );
    assert!(
        with_levels.broken_rules.is_empty(),
        "{:?}",
        with_levels.broken_rules
    );
}

#[test]
fn a_limit_from_capacity_serves_better_under_a_steady_overload() {
    let scenario = read_scenario("seconds: 60 load { level: 1.6 }");
    let with_limit = setup("adaptive { rule: CAPACITY }");
    let gain = |seed| {
        play(&scenario, &with_limit, seed).service()
            - play(&scenario, &Setup::default(), seed).service()
    };
    let gains: Vec<f64> = (1..=4).map(gain).collect();
    assert!(gains.iter().all(|gain| *gain > 0.02), "{gains:?}");
}

/// Guards against state outside the scenario and the seed: two runs must be bit-identical.
#[test]
fn runs_with_limits_are_deterministic() {
    let scenario = read_scenario("seconds: 30 load { level: 1.3 }");
    let all = setup(&format!(
        "{LEVELS} adaptive {{}} repeats {{ once_while_room: true }} fairness {{}}"
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
fn limits_and_traffic_with_unknown_classes_are_rejected() {
    let scenario = read_scenario("seconds: 10");
    let error = setup(&LEVELS.replace("'status-read' keep", "'nothing' keep"))
        .validate_for(&scenario)
        .expect_err("an unknown class");
    assert!(error.contains("no class \"nothing\""), "{error}");
    let traffic = Traffic {
        classes: vec!["other".into()],
        ..Traffic::default()
    };
    let error = Setup {
        traffic: Some(Arc::new(traffic)),
        ..Setup::default()
    }
    .validate_for(&scenario)
    .expect_err("an unknown class");
    assert!(error.contains("no class \"other\""), "{error}");
}

/// Each recorded request must arrive once and at its time, whether or not the file is in order.
#[test]
fn recorded_traffic_is_replayed_as_recorded() {
    let scenario = read_scenario("seconds: 20");
    let mut lines = vec!["at_ms,class,zone,key,work_ms".to_string()];
    for number in 0..2000u32 {
        // Each pair of lines is swapped.
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
    setup
        .validate_for(&scenario)
        .expect("valid for the scenario");
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
    // 111 requests per second, one in ten of them with weight 6.
    assert!(
        by_second
            .iter()
            .all(|offered| (offered - 167.0).abs() < 12.0),
        "{by_second:?}"
    );
    assert_eq!(outcome, play(&scenario, &setup, 1));
}
