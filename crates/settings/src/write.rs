//! Writes settings as their JSON object.

use chutegrade_policy::{
    AdmissionUnit, Class, DeduplicationScope, Idempotency, ListedWeight, Micros, PickPolicy,
    ReportSource, Settings,
};
use serde_json::{json, Value};

use crate::names::DeploymentNames;

const US_PER_MS: f64 = 1000.0;

/// Writes settings as the JSON object that [`from_json`](crate::from_json) reads, for a program of another build.
pub fn to_json(settings: &Settings, names: &DeploymentNames) -> Value {
    json!({
        "peersTotal": settings.instances,
        "zones": names.zones,
        "kinds": names.machine_kinds,
        "locality": settings.zone.0,
        "classes": classes(settings, names),
        "weights": listed_weight(settings.listed_weight),
        "report": {"source": report_source(settings.report_source)},
        "discovery": if settings.endpoints_on_request { "subscribe" } else { "automatic" },
        "prices": {
            "probe": settings.health_check_cost,
            "crossZone": settings.zone_crossing_cost,
        },
        "limits": {
            "probes": settings.health_checks_allowed,
            "idleCloseMs": milliseconds(settings.idle_timeout),
        },
        "familyInfo": family_info(settings),
        "guarantees": guarantees(settings),
    })
}

fn family_info(settings: &Settings) -> Value {
    let zone_local = settings.classes.iter().map(|class| class.zone_local);
    json!({
        "homeOnly": zone_local.collect::<Vec<bool>>(),
        "proxies": settings.proxies,
        "shards": settings.slices,
        "soleOwner": settings.exclusive_ownership,
        "tenureMs": milliseconds(settings.lease),
        "inFlightMaxMs": milliseconds(settings.write_settle_time),
        "levelKind": admission_unit(settings.admission_unit),
        "usualHow": settings.default_retry as u8,
        "firstWait": settings.attempt_timeout_factor,
        "pick": pick_policy(settings.pick_policy),
        "outlierAfter": settings.proxy_ejection_threshold,
        "cycleMs": milliseconds(settings.report_period),
        "backlog": settings.channel_backlog,
        "linesPerS": settings.channel_lines_per_second,
        "fixedCost": settings.message_overhead,
        "pushDelayMaxMs": milliseconds(settings.max_delivery_delay),
        "messagesMost": settings.max_messages,
        "updateWindowMs": milliseconds(settings.message_window),
        "unservedMaxMs": milliseconds(settings.max_unserved),
    })
}

fn guarantees(settings: &Settings) -> Value {
    json!({
        "askEveryMs": milliseconds(settings.poll_interval),
        "drainGraceMs": milliseconds(settings.drain_grace),
        "drainBindsAlone": settings.explicit_drain_only,
        "coldFrom": settings.slow_start_share,
        "coldMs": milliseconds(settings.slow_start_period),
        "fallMultiple": settings.overload_multiple,
        "overloadForMs": milliseconds(settings.overload_window),
    })
}

fn classes(settings: &Settings, names: &DeploymentNames) -> Vec<Value> {
    let classes = settings.classes.iter().zip(&names.classes);
    classes
        .map(|(class, name)| class_json(class, name))
        .collect()
}

fn class_json(class: &Class, name: &str) -> Value {
    let (effect, scope, window) = match class.idempotency {
        Idempotency::Idempotent => ("read_like", DeduplicationScope::All, Micros(0)),
        Idempotency::Keyed(scope, window) => ("idempotency_key", scope, window),
        Idempotency::NotIdempotent => ("non_idempotent", DeduplicationScope::All, Micros(0)),
    };
    json!({
        "name": name,
        "aimMs": milliseconds(class.latency_objective),
        "hardLimitMs": milliseconds(class.deadline),
        "worth": class.priority_weight,
        "effect": effect,
        "dedupScope": deduplication_scope(scope),
        "windowMs": milliseconds(window),
    })
}

fn milliseconds(time: Micros) -> f64 {
    time.0 as f64 / US_PER_MS
}

fn deduplication_scope(scope: DeduplicationScope) -> &'static str {
    match scope {
        DeduplicationScope::All => "all",
        DeduplicationScope::Zone => "zone",
        DeduplicationScope::Cell => "cell",
    }
}

fn admission_unit(unit: AdmissionUnit) -> &'static str {
    match unit {
        AdmissionUnit::Share => "fraction",
        AdmissionUnit::RequestsPerSecond => "per_second",
        AdmissionUnit::Unsupported => "silent",
    }
}

fn pick_policy(policy: PickPolicy) -> &'static str {
    match policy {
        PickPolicy::Random => "random",
        PickPolicy::WeightedRoundRobin => "rotate",
        PickPolicy::PowerOfTwoChoices => "p2c",
    }
}

fn listed_weight(weight: ListedWeight) -> &'static str {
    match weight {
        ListedWeight::Unspecified => "silent",
        ListedWeight::RegisteredCapacity => "nominal",
        ListedWeight::ApproximateSize => "rough",
        ListedWeight::SizeOverLoad => "live",
    }
}

fn report_source(source: ReportSource) -> &'static str {
    match source {
        ReportSource::ResponsesAndHealthChecks => "piggyback",
        ReportSource::HealthChecks => "pull",
        ReportSource::None => "silent",
    }
}
