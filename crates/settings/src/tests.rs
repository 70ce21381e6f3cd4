use chutegrade_policy::{
    AdmissionUnit, DeduplicationScope, Idempotency, ListedWeight, LoadReport, Micros, PickPolicy,
    ReportSource, ZoneId, NO_LIMIT,
};
use serde_json::Value;

use super::*;

const TEXT: &str = r#"{"peersTotal": 2, "locality": 1, "zones": ["a", "b"], "kinds": ["m1", "m2"], "tickMs": 4.0,
        "discovery": "subscribe", "weights": "rough", "report": {"source": "piggyback", "fields": ["queue"]},
        "classes": [{"name": "lookup", "aimMs": 600.0, "hardLimitMs": 2000.0, "worth": 2.0, "effect": "read_like"},
                    {"name": "order", "effect": "idempotency_key", "dedupScope": "zone", "windowMs": 500.0}],
        "familyInfo": {"homeOnly": [false, true], "proxies": 9, "pick": "p2c", "levelKind": "per_second", "usualHow": 1},
        "guarantees": {"drainGraceMs": 2000.0}, "limits": {"probes": true}}"#;

#[test]
fn settings_and_names_come_from_the_same_object() {
    let json: Value = serde_json::from_str(TEXT).expect("JSON");
    let settings = from_json(&json).expect("settings");
    assert_eq!(Ok(settings.clone()), from_text(TEXT));
    assert_eq!(
        (
            settings.instances,
            settings.zones,
            settings.zone,
            settings.proxies
        ),
        (2, 2, ZoneId(1), 9)
    );
    assert_eq!(
        (settings.pick_policy, settings.admission_unit),
        (
            PickPolicy::PowerOfTwoChoices,
            AdmissionUnit::RequestsPerSecond
        )
    );
    assert_eq!(
        (settings.listed_weight, settings.report_source),
        (
            ListedWeight::ApproximateSize,
            ReportSource::ResponsesAndHealthChecks
        )
    );
    assert_eq!(settings.drain_grace, Micros(2_000_000));
    assert!(settings.endpoints_on_request && settings.health_checks_allowed);
    assert_eq!(
        settings.classes[1].idempotency,
        Idempotency::Keyed(DeduplicationScope::Zone, Micros(500_000))
    );
    assert_eq!(
        (
            settings.classes[0].zone_local,
            settings.classes[1].zone_local
        ),
        (false, true)
    );
    let text = |names: &[&str]| {
        names
            .iter()
            .map(|name| name.to_string())
            .collect::<Vec<_>>()
    };
    let expected = DeploymentNames {
        zones: text(&["a", "b"]),
        classes: text(&["lookup", "order"]),
        machine_kinds: text(&["m1", "m2"]),
    };
    assert_eq!(names(&json), expected);
    assert_eq!(tick_ms(&json), 4.0);
}

/// Danger: another build that is asked for comparison is told other settings than the module.
#[test]
fn settings_that_are_written_read_the_same() {
    let json: Value = serde_json::from_str(TEXT).expect("JSON");
    let settings = from_json(&json).expect("settings");
    let written = to_json(&settings, &names(&json));
    assert_eq!(from_json(&written), Ok(settings));
    assert_eq!(names(&written), names(&json));
}

#[test]
fn what_is_absent_reads_as_nothing() {
    let none = from_text("{}").expect("settings");
    assert_eq!(
        (
            none.classes.len(),
            none.health_checks_allowed,
            none.channel_backlog
        ),
        (0, false, NO_LIMIT)
    );
    assert_eq!(names(&Value::Null), DeploymentNames::default());
    assert_eq!(tick_ms(&serde_json::json!({"tickMs": -3})), 0.0);
    assert!(from_text("[]").is_err() && from_text("").is_err());
}

#[test]
fn settings_that_contradict_themselves_are_told() {
    let of = |backlog: f64, proxies: u32| {
        serde_json::json!({"classes": [{"name": "read"}], "familyInfo": {"backlog": backlog, "linesPerS": 900,
                "fixedCost": 3, "proxies": proxies}})
    };
    let said = |json: &Value, servers| {
        consistency_warnings(&from_json(json).expect("settings"), servers).join("; ")
    };
    assert_eq!(said(&of(9000.0, 400), 40), "");
    assert!(said(&of(0.0, 4), 40).contains("names no limit"));
    assert!(said(&of(80.0, 4), 40).contains("less than the 86 lines of one table of 40 servers"));
    assert!(said(&of(1000.0, 400), 40)
        .contains("less than the 2000 lines that shut one server out at 400 proxies"));
    assert!(said(&of(9000.0, 0), 40).contains("no proxy is let in"));
}

#[test]
fn both_forms_of_a_load_report_are_read() {
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
