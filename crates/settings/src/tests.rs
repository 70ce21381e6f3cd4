//! Settings, names, warnings and load reports from text and JSON.

use chutegrade_policy::{
    AdmissionUnit, DeduplicationScope, Idempotency, ListedWeight, LoadReport, Micros, PickPolicy,
    ReportSource, ZoneId, NO_LIMIT,
};
use serde_json::Value;

use super::*;

const EXAMPLE: &str = r#"{"peersTotal": 2, "locality": 1, "zones": ["a", "b"], "kinds": ["m1", "m2"], "tickMs": 4.0,
        "discovery": "subscribe", "weights": "rough", "report": {"source": "piggyback", "fields": ["queue"]},
        "classes": [{"name": "lookup", "aimMs": 600.0, "hardLimitMs": 2000.0, "worth": 2.0, "effect": "read_like"},
                    {"name": "order", "effect": "idempotency_key", "dedupScope": "zone", "windowMs": 500.0}],
        "familyInfo": {"homeOnly": [false, true], "proxies": 9, "pick": "p2c", "levelKind": "per_second", "usualHow": 1},
        "guarantees": {"drainGraceMs": 2000.0}, "limits": {"probes": true}}"#;

fn example() -> Value {
    serde_json::from_str(EXAMPLE).expect("JSON")
}

#[test]
fn text_and_json_give_the_same_settings() {
    let settings = from_json(&example()).expect("settings");
    assert_eq!(Ok(settings), from_text(EXAMPLE));
}

#[test]
fn settings_are_read() {
    let settings = from_json(&example()).expect("settings");
    assert_eq!(settings.instances, 2);
    assert_eq!(settings.zones, 2);
    assert_eq!(settings.zone, ZoneId(1));
    assert_eq!(settings.proxies, 9);
    assert_eq!(settings.pick_policy, PickPolicy::PowerOfTwoChoices);
    assert_eq!(settings.admission_unit, AdmissionUnit::RequestsPerSecond);
    assert_eq!(settings.listed_weight, ListedWeight::ApproximateSize);
    assert_eq!(
        settings.report_source,
        ReportSource::ResponsesAndHealthChecks
    );
    assert_eq!(settings.drain_grace, Micros(2_000_000));
    assert!(settings.endpoints_on_request && settings.health_checks_allowed);
    let [lookup, order] = settings.classes.as_slice() else {
        panic!("two classes: {:?}", settings.classes);
    };
    assert_eq!(
        order.idempotency,
        Idempotency::Keyed(DeduplicationScope::Zone, Micros(500_000))
    );
    assert!(!lookup.zone_local && order.zone_local);
}

#[test]
fn names_and_the_tick_interval_are_read_from_the_same_object() {
    let strings = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    let expected = DeploymentNames {
        zones: strings(&["a", "b"]),
        classes: strings(&["lookup", "order"]),
        machine_kinds: strings(&["m1", "m2"]),
    };
    assert_eq!(names(&example()), expected);
    assert_eq!(min_tick_interval_ms(&example()), 4.0);
}

/// Otherwise another build that is compared with this one would use different settings.
#[test]
fn written_settings_are_read_back_unchanged() {
    let json = example();
    let settings = from_json(&json).expect("settings");
    let written = to_json(&settings, &names(&json));
    assert_eq!(from_json(&written), Ok(settings));
    assert_eq!(names(&written), names(&json));
}

#[test]
fn absent_settings_have_their_defaults() {
    let settings = from_text("{}").expect("settings");
    assert_eq!(settings.classes.len(), 0);
    assert!(!settings.health_checks_allowed);
    assert_eq!(settings.channel_backlog, NO_LIMIT);
    assert_eq!(names(&Value::Null), DeploymentNames::default());
    assert_eq!(
        min_tick_interval_ms(&serde_json::json!({"tickMs": -3})),
        0.0
    );
    assert!(from_text("[]").is_err() && from_text("").is_err());
}

#[test]
fn contradictory_settings_cause_warnings() {
    let warnings = |backlog: f64, proxies: u32| {
        let json = serde_json::json!({
            "classes": [{"name": "read"}],
            "familyInfo": {"backlog": backlog, "linesPerS": 900, "fixedCost": 3, "proxies": proxies},
        });
        let settings = from_json(&json).expect("settings");
        consistency_warnings(&settings, 40).join("; ")
    };
    assert_eq!(warnings(9000.0, 400), "");
    assert!(warnings(0.0, 4).contains("familyInfo.backlog sets no limit"));
    assert!(warnings(80.0, 4).contains("less than the 86 lines of one table of 40 servers"));
    assert!(warnings(1000.0, 400)
        .contains("less than the 2000 lines that suspend one server at 400 proxies"));
    assert!(warnings(9000.0, 0).contains("no proxy is admitted"));
}

#[test]
fn load_reports_are_read_in_both_forms() {
    let expected = LoadReport {
        in_flight: Some(7.0),
        utilization: Some(0.61),
        ..LoadReport::default()
    };
    assert_eq!(parse_load_report("inflight:7,util:0.61"), expected);
    assert_eq!(parse_load_report("inflight=7, util=0.61"), expected);
    assert_eq!(
        parse_load_report("queue:-1,util:NaN,latency_ms,strange:4"),
        LoadReport::default()
    );
}
