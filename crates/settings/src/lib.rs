//! Reads what every protocol before the decisions of chutegrade shares: the settings, a JSON object, and load
//! reports. One parser for the simulator's adapter and the real supervisor; nothing here decides anything.

use chutegrade_policy::*;
use serde_json::{json, Value};

/// Why settings could not be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// They are no JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// They are JSON, but no object.
    #[error("no object")]
    NotAnObject,
}

impl PartialEq for SettingsError {
    fn eq(&self, other: &Self) -> bool {
        self.to_string() == other.to_string()
    }
}

/// The names that reports and lists use, in the order of the settings' own positions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentNames {
    /// Of the zones.
    pub zones: Vec<String>,
    /// Of the classes of requests.
    pub classes: Vec<String>,
    /// Of the kinds of machine.
    pub kinds: Vec<String>,
}

/// Reads the names from the settings' JSON object; what is no text reads as an empty name.
pub fn names(json: &Value) -> DeploymentNames {
    let list = |key: &str, name: fn(&Value) -> &Value| -> Vec<String> {
        let items = json
            .get(key)
            .and_then(Value::as_array)
            .map(Vec::as_slice)
            .unwrap_or(&[]);
        items
            .iter()
            .map(|item| name(item).as_str().unwrap_or("").to_string())
            .collect()
    };
    DeploymentNames {
        zones: list("zones", |item| item),
        classes: list("classes", |item| item.get("name").unwrap_or(&Value::Null)),
        kinds: list("kinds", |item| item),
    }
}

/// The least time between two batches of events, in milliseconds; 0: none.
pub fn tick_ms(json: &Value) -> f64 {
    time_ms(json, "/tickMs").unwrap_or(0.0)
}

/// How long a connection to a server may take, in milliseconds, where the settings tell.
pub fn connect_ms(json: &Value) -> Option<f64> {
    time_ms(json, "/limits/connectTimeoutMs")
}

fn time_ms(json: &Value, path: &str) -> Option<f64> {
    json.pointer(path)
        .and_then(Value::as_f64)
        .filter(|ms| *ms > 0.0)
}

/// Reads a load report: `name:value` or `name=value` pairs set apart by commas. Names that are not known and
/// figures that are none are skipped.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in text
        .split(',')
        .filter_map(|pair| pair.split_once([':', '=']))
    {
        let Some(value) = value
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|v| v.is_finite() && *v >= 0.0)
        else {
            continue;
        };
        match name.trim() {
            "inflight" => load.in_flight = Some(value),
            "queue" => load.queued = Some(value),
            "util" => load.utilization = Some(value),
            "latency_ms" => load.latency_ms = Some(value),
            "qps" => load.requests_per_second = Some(value),
            "eps" => load.errors_per_second = Some(value),
            _ => {}
        }
    }
    load
}

/// Reads the settings from JSON text.
pub fn from_text(text: &str) -> Result<Settings, SettingsError> {
    from_json(&serde_json::from_str(text)?)
}

/// Reads the settings from a JSON object; a key that is absent or of another type reads as nothing, no limit
/// or not allowed.
pub fn from_json(json: &Value) -> Result<Settings, SettingsError> {
    if !json.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    let at = |path: &str| json.pointer(path);
    let num = |path: &str| at(path).and_then(Value::as_f64).unwrap_or(0.0);
    let limit = |path: &str| {
        Some(num(path))
            .filter(|limit| *limit > 0.0)
            .unwrap_or(NO_LIMIT)
    };
    let ms = |path: &str| Micros::from_ms(num(path));
    let flag = |path: &str| at(path).and_then(Value::as_bool).unwrap_or(false);
    let word = |path: &str| at(path).and_then(Value::as_str).unwrap_or("");
    let home_only = |class: usize| flag(&format!("/familyInfo/homeOnly/{class}"));
    let classes = at("/classes")
        .and_then(Value::as_array)
        .map(Vec::as_slice)
        .unwrap_or(&[]);
    Ok(Settings {
        instances: num("/peersTotal") as usize,
        zones: at("/zones").and_then(Value::as_array).map_or(0, Vec::len),
        zone: ZoneId(num("/locality") as u16),
        classes: classes
            .iter()
            .enumerate()
            .map(|(k, class)| class_of(class, home_only(k)))
            .collect(),
        proxies: num("/familyInfo/proxies") as usize,
        slices: num("/familyInfo/shards") as usize,
        exclusive_ownership: flag("/familyInfo/soleOwner"),
        lease: ms("/familyInfo/tenureMs"),
        write_settle_time: ms("/familyInfo/inFlightMaxMs"),
        endpoints_on_request: word("/discovery") == "subscribe",
        poll_interval: ms("/guarantees/askEveryMs"),
        admission_unit: match word("/familyInfo/levelKind") {
            "fraction" => AdmissionUnit::Share,
            "per_second" => AdmissionUnit::RequestsPerSecond,
            _ => AdmissionUnit::Unsupported,
        },
        default_retry: retry(num("/familyInfo/usualHow")),
        attempt_timeout_factor: num("/familyInfo/firstWait"),
        pick_policy: match word("/familyInfo/pick") {
            "rotate" => PickPolicy::WeightedRoundRobin,
            "p2c" => PickPolicy::PowerOfTwoChoices,
            _ => PickPolicy::Random,
        },
        proxy_ejection_threshold: num("/familyInfo/outlierAfter") as u32,
        listed_weight: match word("/weights") {
            "nominal" => ListedWeight::RegisteredCapacity,
            "rough" => ListedWeight::ApproximateSize,
            "live" => ListedWeight::SizeOverLoad,
            _ => ListedWeight::Unspecified,
        },
        report_source: match word("/report/source") {
            "piggyback" => ReportSource::ResponsesAndHealthChecks,
            "pull" => ReportSource::HealthChecks,
            _ => ReportSource::None,
        },
        report_period: ms("/familyInfo/cycleMs"),
        health_checks_allowed: flag("/limits/probes"),
        health_check_cost: num("/prices/probe"),
        zone_crossing_cost: num("/prices/crossZone"),
        channel_backlog: limit("/familyInfo/backlog"),
        channel_lines_per_second: limit("/familyInfo/linesPerS"),
        message_overhead: num("/familyInfo/fixedCost"),
        max_delivery_delay: ms("/familyInfo/pushDelayMaxMs"),
        idle_timeout: ms("/limits/idleCloseMs"),
        max_messages: num("/familyInfo/messagesMost") as usize,
        message_window: ms("/familyInfo/updateWindowMs"),
        max_unserved: ms("/familyInfo/unservedMaxMs"),
        drain_grace: ms("/guarantees/drainGraceMs"),
        explicit_drain_only: flag("/guarantees/drainBindsAlone"),
        slow_start_share: num("/guarantees/coldFrom"),
        slow_start_period: ms("/guarantees/coldMs"),
        overload_multiple: num("/guarantees/fallMultiple"),
        overload_window: ms("/guarantees/overloadForMs"),
    })
}

/// Writes settings as the JSON object that [`from_json`] reads, for a program of another build.
pub fn to_json(settings: &Settings, names: &DeploymentNames) -> Value {
    let ms = |of: Micros| of.0 as f64 / 1000.0;
    let class = |(of, name): (&Class, &String)| {
        let (effect, scope, window) = match of.idempotency {
            Idempotency::Idempotent => ("read_like", "all", 0.0),
            Idempotency::Keyed(DeduplicationScope::All, window) => {
                ("idempotency_key", "all", ms(window))
            }
            Idempotency::Keyed(DeduplicationScope::Zone, window) => {
                ("idempotency_key", "zone", ms(window))
            }
            Idempotency::Keyed(DeduplicationScope::Cell, window) => {
                ("idempotency_key", "cell", ms(window))
            }
            Idempotency::NotIdempotent => ("non_idempotent", "all", 0.0),
        };
        json!({"name": name, "aimMs": ms(of.latency_objective), "hardLimitMs": ms(of.deadline), "worth": of.priority_weight, "effect": effect,
               "dedupScope": scope, "windowMs": window})
    };
    let classes: Vec<Value> = settings
        .classes
        .iter()
        .zip(&names.classes)
        .map(class)
        .collect();
    let home_only: Vec<bool> = settings
        .classes
        .iter()
        .map(|class| class.zone_local)
        .collect();
    let pick = match settings.pick_policy {
        PickPolicy::Random => "random",
        PickPolicy::WeightedRoundRobin => "rotate",
        PickPolicy::PowerOfTwoChoices => "p2c",
    };
    let listed = match settings.listed_weight {
        ListedWeight::Unspecified => "silent",
        ListedWeight::RegisteredCapacity => "nominal",
        ListedWeight::ApproximateSize => "rough",
        ListedWeight::SizeOverLoad => "live",
    };
    let reports = match settings.report_source {
        ReportSource::ResponsesAndHealthChecks => "piggyback",
        ReportSource::HealthChecks => "pull",
        ReportSource::None => "silent",
    };
    let levels = match settings.admission_unit {
        AdmissionUnit::Share => "fraction",
        AdmissionUnit::RequestsPerSecond => "per_second",
        AdmissionUnit::Unsupported => "silent",
    };
    json!({
        "peersTotal": settings.instances, "zones": names.zones, "kinds": names.kinds, "locality": settings.zone.0,
        "classes": classes, "weights": listed, "report": {"source": reports},
        "discovery": if settings.endpoints_on_request { "subscribe" } else { "automatic" },
        "prices": {"probe": settings.health_check_cost, "crossZone": settings.zone_crossing_cost},
        "limits": {"probes": settings.health_checks_allowed, "idleCloseMs": ms(settings.idle_timeout)},
        "familyInfo": {
            "homeOnly": home_only, "proxies": settings.proxies, "shards": settings.slices,
            "soleOwner": settings.exclusive_ownership, "tenureMs": ms(settings.lease), "inFlightMaxMs": ms(settings.write_settle_time),
            "levelKind": levels, "usualHow": settings.default_retry as u8, "firstWait": settings.attempt_timeout_factor, "pick": pick,
            "outlierAfter": settings.proxy_ejection_threshold, "cycleMs": ms(settings.report_period),
            "backlog": settings.channel_backlog, "linesPerS": settings.channel_lines_per_second, "fixedCost": settings.message_overhead,
            "pushDelayMaxMs": ms(settings.max_delivery_delay), "messagesMost": settings.max_messages,
            "updateWindowMs": ms(settings.message_window), "unservedMaxMs": ms(settings.max_unserved)},
        "guarantees": {
            "askEveryMs": ms(settings.poll_interval), "drainGraceMs": ms(settings.drain_grace),
            "drainBindsAlone": settings.explicit_drain_only, "coldFrom": settings.slow_start_share,
            "coldMs": ms(settings.slow_start_period), "fallMultiple": settings.overload_multiple,
            "overloadForMs": ms(settings.overload_window)},
    })
}

/// What the settings contradict or leave open, for a list of so many servers: a sentence each. The decisions go on all the
/// same and keep the rules as far as they can be kept.
pub fn consistency_warnings(settings: &Settings, servers: usize) -> Vec<String> {
    let Settings {
        channel_backlog: backlog,
        channel_lines_per_second: lines_per_s,
        message_overhead: message_head,
        proxies,
        max_messages: messages_most,
        ..
    } = settings;
    // A whole table by the protocol: head, mark and `replace`, a level for each class, each server and whether it is shut out.
    let table = message_head + 2.0 + settings.classes.len() as f64 + 2.0 * servers as f64;
    let drain = *proxies as f64 * (message_head + 2.0);
    let said = [
        (*backlog >= NO_LIMIT, "familyInfo.backlog names no limit: any number of lines may wait".to_string()),
        (*lines_per_s >= NO_LIMIT, "familyInfo.linesPerS names no pace: the channel counts as never slow".to_string()),
        (*backlog < table, format!("familyInfo.backlog is {backlog}, less than the {table} lines of one table of {servers} servers: such a table goes out alone and beyond it")),
        (*backlog < drain, format!("familyInfo.backlog is {backlog}, less than the {drain} lines that shut one server out at {proxies} proxies: where they all come here it goes out alone and beyond it")),
        (*proxies == 0, "familyInfo.proxies is 0: no proxy is let in".to_string()),
        (*messages_most == 1, "familyInfo.messagesMost is 1: a drain may have to wait for a whole window".to_string()),
    ];
    said.into_iter()
        .filter(|(so, _)| *so)
        .map(|(_, sentence)| sentence)
        .collect()
}

fn class_of(json: &Value, home_only: bool) -> Class {
    let num = |key: &str| json.get(key).and_then(Value::as_f64).unwrap_or(0.0);
    let word = |key: &str| json.get(key).and_then(Value::as_str).unwrap_or("");
    let scope = match word("dedupScope") {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        _ => DeduplicationScope::All,
    };
    Class {
        latency_objective: Micros::from_ms(num("aimMs")),
        deadline: Micros::from_ms(num("hardLimitMs")),
        priority_weight: num("worth"),
        idempotency: match word("effect") {
            "read_like" => Idempotency::Idempotent,
            "idempotency_key" => Idempotency::Keyed(scope, Micros::from_ms(num("windowMs"))),
            _ => Idempotency::NotIdempotent,
        },
        zone_local: home_only,
    }
}

fn retry(how: f64) -> Retry {
    match how as i64 {
        1 => Retry::IfNotExecuted,
        2 => Retry::Once,
        3 => Retry::Twice,
        _ => Retry::Never,
    }
}

#[cfg(test)]
mod tests;
