use super::*;
use crate::{Idempotency, SCHEMA};

fn classes() -> Vec<Class> {
    let class = |name: &str, worth, aim_s, effect| Class {
        name: name.into(),
        priority_weight: worth,
        latency_objective_seconds: aim_s,
        deadline_seconds: 3.0 * aim_s,
        idempotency: effect,
    };
    vec![
        class("status-read", 2.0, 0.6, Idempotency::Idempotent),
        class("petition-file", 8.0, 1.5, Idempotency::Keyed(10.0)),
        class("refund-order", 3.0, 0.75, Idempotency::NotIdempotent),
    ]
}

fn parse(text: &str) -> Result<ServiceLevels, Vec<ConfigError>> {
    let of: pb::Ladder =
        chutegrade_textproto::parse(SCHEMA, "chutegrade.limits.v1.Ladder", text).expect(text);
    ServiceLevels::read(&of, Some(&classes()))
}

const MILD: &str = "level { name: 'calm reads' shed { class: 'status-read' keep: 0.5 }\n\
        enter { all { signal: SATURATION above: 0.4 for_s: 1 } }\n\
        leave { all { signal: SATURATION below: 0.2 for_s: 3 } all { signal: ROOM above: 1.2 } } }\n";
const HARD: &str = "level { name: 'petitions first' shed { class: 'status-read' keep: 0.1 } shed { class: 'refund-order' keep: 0.5 }\n\
        enter { all { signal: SATURATION above: 0.7 for_s: 1 } }\n\
        leave { all { signal: SATURATION below: 0.4 for_s: 3 } } least_stay_s: 12 tell: 'desk' }\n";

#[test]
fn a_ladder_reads_and_names_its_levels() {
    let ladder = parse(&format!("{MILD}{HARD}")).expect("a ladder");
    assert_eq!(
        (ladder.name(0), ladder.name(1), ladder.name(2)),
        ("full", "calm reads", "petitions first")
    );
    assert_eq!(
        (
            ladder.number("petitions first"),
            ladder.number("full"),
            ladder.number("x")
        ),
        (Some(2), Some(0), None)
    );
    assert_eq!(
        (ladder.levels[1].least_stay, ladder.levels[0].least_stay),
        (12_000_000, 8_000_000)
    );
    assert_eq!(used(&ladder), [Signal::Saturation, Signal::Room]);
}

/// Each of the faults that a ladder can have, with the line on which it stands.
#[test]
fn each_fault_is_told_with_its_line() {
    let says = |text: &str, line: usize, wanted: &str| {
        let faults = parse(text).expect_err(text);
        let found = faults.iter().find(|fault| fault.said.contains(wanted));
        let fault = found.unwrap_or_else(|| panic!("{wanted}: {faults:?}"));
        assert_eq!(
            fault.place(text).map(|place| place.line),
            Some(line),
            "{fault}"
        );
    };
    let swapped = format!("{HARD}{MILD}");
    says(&swapped, 4, "levels go from mild to severe");
    says(
        &format!("{MILD}{}", HARD.replace("above: 0.7", "above: 0.4")),
        2,
        "is never entered",
    );
    says(
        &MILD.replace("below: 0.2", "below: 0.39"),
        3,
        "entered and left at once",
    );
    says(
        &MILD.replace("SATURATION below: 0.2", "LATE below: 0.2"),
        3,
        "entered and left at once",
    );
    let stays = MILD
        .split("leave")
        .next()
        .map(|head| format!("{head} }}"))
        .unwrap_or_default();
    says(&stays, 1, "can't be left");
    says(
        &MILD.replace("above: 1.2", "below: 0"),
        3,
        "can't be left: ROOM below 0 is never so",
    );
    says(
        &MILD.replace("above: 0.4", "above: 1"),
        2,
        "can't be reached",
    );
    says(
        &MILD.replace("status-read", "petition-file"),
        1,
        "sheds more of petition-file, which is dearer",
    );
    says(
        &MILD.replace("status-read", "nothing"),
        1,
        "no class \"nothing\"",
    );
    says(
        &MILD.replace("keep: 0.5", "keep: 0"),
        1,
        "give a share from 0.1 to 1",
    );
    says(
        &format!("{MILD}{}", HARD.replace("petitions first", "calm reads")),
        4,
        "is taken",
    );
    says(
        &MILD.replace("for_s: 1", "for_s: 99"),
        2,
        "for_s from 0 to 30",
    );
    assert!(parse("").expect_err("nothing")[0]
        .said
        .contains("without a level"));
    assert!(parse(&format!("usual: true {MILD}")).expect_err("both")[0]
        .said
        .contains("give either"));
    assert!(
        parse("usual: true doubt_list_s: -1").expect_err("a fault")[0]
            .said
            .contains("doubt_list_s is -1")
    );
}

#[test]
fn either_way_of_entering_needs_its_gap() {
    let any = MILD.replace(
        "enter { all {",
        "enter { any { signal: LATE above: 0.3 } any {",
    );
    assert!(parse(&any).expect_err("LATE has no gap")[0]
        .said
        .contains("LATE above 0.3"));
    let both = any.replace(
        "leave { all {",
        "leave { all { signal: LATE below: 0.1 } all {",
    );
    assert!(parse(&both).is_ok(), "{:?}", parse(&both));
}
