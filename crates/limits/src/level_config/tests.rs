use super::*;
use crate::signals::Signal;
use crate::{Idempotency, SCHEMA};

fn classes() -> Vec<Class> {
    let class = |name: &str, priority_weight, latency_objective_seconds, idempotency| Class {
        name: name.into(),
        priority_weight,
        latency_objective_seconds,
        deadline_seconds: 3.0 * latency_objective_seconds,
        idempotency,
    };
    vec![
        class("status-read", 2.0, 0.6, Idempotency::Idempotent),
        class("petition-file", 8.0, 1.5, Idempotency::Keyed(10.0)),
        class("refund-order", 3.0, 0.75, Idempotency::NotIdempotent),
    ]
}

fn parse(text: &str) -> Result<ServiceLevels, Vec<ConfigError>> {
    let declared: pb::Ladder =
        chutegrade_textproto::parse(SCHEMA, "chutegrade.limits.v1.Ladder", text).expect(text);
    ServiceLevels::read(&declared, Some(&classes()))
}

const MILD_LEVEL: &str = "level { name: 'calm reads' shed { class: 'status-read' keep: 0.5 }\n\
        enter { all { signal: SATURATION above: 0.4 for_s: 1 } }\n\
        leave { all { signal: SATURATION below: 0.2 for_s: 3 } all { signal: ROOM above: 1.2 } } }\n";
const SEVERE_LEVEL: &str = "level { name: 'petitions first' shed { class: 'status-read' keep: 0.1 } shed { class: 'refund-order' keep: 0.5 }\n\
        enter { all { signal: SATURATION above: 0.7 for_s: 1 } }\n\
        leave { all { signal: SATURATION below: 0.4 for_s: 3 } } least_stay_s: 12 tell: 'desk' }\n";

#[test]
fn levels_are_read_and_found_by_name_and_number() {
    let levels = parse(&format!("{MILD_LEVEL}{SEVERE_LEVEL}")).expect("levels");
    assert_eq!(
        (levels.name(0), levels.name(1), levels.name(2)),
        ("full", "calm reads", "petitions first")
    );
    assert_eq!(
        (
            levels.number("petitions first"),
            levels.number("full"),
            levels.number("x")
        ),
        (Some(2), Some(0), None)
    );
    assert_eq!(
        (
            levels.levels[1].min_duration_us,
            levels.levels[0].min_duration_us
        ),
        (12_000_000, 8_000_000)
    );
    assert_eq!(
        levels.signals_in_use(),
        [Signal::Saturation, Signal::Headroom]
    );
}

/// Returns two levels, with a replacement in the text of the severe one.
fn with_severe_level(from: &str, to: &str) -> String {
    format!("{MILD_LEVEL}{}", SEVERE_LEVEL.replace(from, to))
}

/// Asserts that a text has an error that contains `expected`, at this line.
fn expect_error(text: &str, line: usize, expected: &str) {
    let errors = parse(text).expect_err(text);
    let found = errors
        .iter()
        .find(|error| error.to_string().contains(expected));
    let error = found.unwrap_or_else(|| panic!("{expected}: {errors:?}"));
    assert_eq!(
        error.position(text).map(|position| position.line),
        Some(line),
        "{error}"
    );
}

#[test]
fn errors_between_levels_have_their_lines() {
    let swapped = format!("{SEVERE_LEVEL}{MILD_LEVEL}");
    expect_error(&swapped, 4, "order levels from mild to severe");
    let same_condition = with_severe_level("above: 0.7", "above: 0.4");
    expect_error(&same_condition, 2, "is never entered");
    let same_name = with_severe_level("petitions first", "calm reads");
    expect_error(&same_name, 4, "is already in use");
}

#[test]
fn errors_of_conditions_have_their_lines() {
    let expect = |from: &str, to: &str, line: usize, expected: &str| {
        expect_error(&MILD_LEVEL.replace(from, to), line, expected);
    };
    expect(
        "below: 0.2",
        "below: 0.39",
        3,
        "entered and left by the same signals",
    );
    expect(
        "SATURATION below: 0.2",
        "LATE below: 0.2",
        3,
        "entered and left by the same signals",
    );
    let without_leave = MILD_LEVEL
        .split("leave")
        .next()
        .map(|head| format!("{head} }}"))
        .unwrap_or_default();
    expect_error(&without_leave, 1, "can't be left");
    expect(
        "above: 1.2",
        "below: 0",
        3,
        "can't be left: ROOM below 0 can never be met",
    );
    expect("above: 0.4", "above: 1", 2, "can't be entered");
    expect("for_s: 1", "for_s: 99", 2, "for_s from 0 to 30");
}

#[test]
fn errors_of_admitted_shares_have_their_lines() {
    let expect = |from: &str, to: &str, expected: &str| {
        expect_error(&MILD_LEVEL.replace(from, to), 1, expected);
    };
    expect(
        "status-read",
        "petition-file",
        "sheds more of petition-file, which has a higher priority",
    );
    expect("status-read", "nothing", "no class \"nothing\"");
    expect("keep: 0.5", "keep: 0", "must be from 0.1 to 1");
}

#[test]
fn errors_of_all_levels_are_reported_first() {
    let expect_first = |text: &str, expected: &str| {
        let errors = parse(text).expect_err(text);
        assert!(errors[0].to_string().contains(expected), "{errors:?}");
    };
    expect_first("", "ladder has no level");
    expect_first(
        &format!("usual: true {MILD_LEVEL}"),
        "give only one of them",
    );
    expect_first("usual: true doubt_list_s: -1", "doubt_list_s is -1");
}

#[test]
fn each_alternative_for_entering_needs_hysteresis() {
    let any_of = MILD_LEVEL.replace(
        "enter { all {",
        "enter { any { signal: LATE above: 0.3 } any {",
    );
    assert!(parse(&any_of).expect_err("LATE has no gap")[0]
        .to_string()
        .contains("LATE above 0.3"));
    let both_of = any_of.replace(
        "leave { all {",
        "leave { all { signal: LATE below: 0.1 } all {",
    );
    assert!(parse(&both_of).is_ok(), "{:?}", parse(&both_of));
}
