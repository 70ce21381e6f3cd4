//! Reads what every protocol before the decisions of chutegrade shares: the settings, a JSON object, and load
//! reports. One parser for the simulator's adapter and the real supervisor; nothing here decides anything.

use chutegrade_policy::interface::*;
use serde_json::{json, Value};

/// Why settings could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Unreadable {
    /// They are no JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// They are JSON, but no object.
    #[error("no object")]
    NoObject,
}

impl PartialEq for Unreadable {
    fn eq(&self, other: &Self) -> bool {
        self.to_string() == other.to_string()
    }
}

/// The names that reports and lists use, in the order of the settings' own positions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Of the zones.
    pub zones: Vec<String>,
    /// Of the classes of requests.
    pub classes: Vec<String>,
    /// Of the kinds of machine.
    pub kinds: Vec<String>,
}

/// Reads the names from the settings' JSON object; what is no text reads as an empty name.
pub fn names(json: &Value) -> Names {
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
    Names {
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
pub fn load(text: &str) -> Load {
    let mut load = Load::default();
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
            "inflight" => load.inflight = Some(value),
            "queue" => load.queue = Some(value),
            "util" => load.util = Some(value),
            "latency_ms" => load.latency_ms = Some(value),
            "qps" => load.qps = Some(value),
            "eps" => load.eps = Some(value),
            _ => {}
        }
    }
    load
}

/// Reads the settings from JSON text.
pub fn from_text(text: &str) -> Result<Settings, Unreadable> {
    from_json(&serde_json::from_str(text)?)
}

/// Reads the settings from a JSON object; a key that is absent or of another type reads as nothing, no limit
/// or not allowed.
pub fn from_json(json: &Value) -> Result<Settings, Unreadable> {
    if !json.is_object() {
        return Err(Unreadable::NoObject);
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
        sole_owner: flag("/familyInfo/soleOwner"),
        lease: ms("/familyInfo/tenureMs"),
        settle: ms("/familyInfo/inFlightMaxMs"),
        list_on_request: word("/discovery") == "subscribe",
        ask_every: ms("/guarantees/askEveryMs"),
        levels: match word("/familyInfo/levelKind") {
            "fraction" => LevelKind::Fraction,
            "per_second" => LevelKind::PerSecond,
            _ => LevelKind::Silent,
        },
        usual_retry: retry(num("/familyInfo/usualHow")),
        first_wait: num("/familyInfo/firstWait"),
        pick: match word("/familyInfo/pick") {
            "rotate" => Pick::Rotate,
            "p2c" => Pick::LeastOfTwo,
            _ => Pick::Random,
        },
        proxy_ejects_after: num("/familyInfo/outlierAfter") as u32,
        listed: match word("/weights") {
            "nominal" => Listed::Nominal,
            "rough" => Listed::Rough,
            "live" => Listed::Live,
            _ => Listed::Silent,
        },
        reports: match word("/report/source") {
            "piggyback" => ReportSource::Answers,
            "pull" => ReportSource::Probes,
            _ => ReportSource::None,
        },
        report_period: ms("/familyInfo/cycleMs"),
        probes: flag("/limits/probes"),
        probe_price: num("/prices/probe"),
        cross_price: num("/prices/crossZone"),
        backlog: limit("/familyInfo/backlog"),
        lines_per_s: limit("/familyInfo/linesPerS"),
        message_head: num("/familyInfo/fixedCost"),
        way_most: ms("/familyInfo/pushDelayMaxMs"),
        idle_close: ms("/limits/idleCloseMs"),
        messages_most: num("/familyInfo/messagesMost") as usize,
        messages_window: ms("/familyInfo/updateWindowMs"),
        unserved_most: ms("/familyInfo/unservedMaxMs"),
        drain_grace: ms("/guarantees/drainGraceMs"),
        drain_binds_alone: flag("/guarantees/drainBindsAlone"),
        cold_from: num("/guarantees/coldFrom"),
        cold_for: ms("/guarantees/coldMs"),
        fall_multiple: num("/guarantees/fallMultiple"),
        fall_window: ms("/guarantees/overloadForMs"),
    })
}

/// Writes settings as the JSON object that [`from_json`] reads, for a program of another build.
pub fn to_json(settings: &Settings, names: &Names) -> Value {
    let ms = |of: Micros| of.0 as f64 / 1000.0;
    let class = |(of, name): (&Class, &String)| {
        let (effect, scope, window) = match of.effect {
            Effect::Safe => ("read_like", "all", 0.0),
            Effect::Keyed(Scope::All, window) => ("idempotency_key", "all", ms(window)),
            Effect::Keyed(Scope::Zone, window) => ("idempotency_key", "zone", ms(window)),
            Effect::Keyed(Scope::Cell, window) => ("idempotency_key", "cell", ms(window)),
            Effect::Unsafe => ("non_idempotent", "all", 0.0),
        };
        json!({"name": name, "aimMs": ms(of.aim), "hardLimitMs": ms(of.deadline), "worth": of.worth, "effect": effect,
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
        .map(|class| class.home_only)
        .collect();
    let pick = match settings.pick {
        Pick::Random => "random",
        Pick::Rotate => "rotate",
        Pick::LeastOfTwo => "p2c",
    };
    let listed = match settings.listed {
        Listed::Silent => "silent",
        Listed::Nominal => "nominal",
        Listed::Rough => "rough",
        Listed::Live => "live",
    };
    let reports = match settings.reports {
        ReportSource::Answers => "piggyback",
        ReportSource::Probes => "pull",
        ReportSource::None => "silent",
    };
    let levels = match settings.levels {
        LevelKind::Fraction => "fraction",
        LevelKind::PerSecond => "per_second",
        LevelKind::Silent => "silent",
    };
    json!({
        "peersTotal": settings.instances, "zones": names.zones, "kinds": names.kinds, "locality": settings.zone.0,
        "classes": classes, "weights": listed, "report": {"source": reports},
        "discovery": if settings.list_on_request { "subscribe" } else { "automatic" },
        "prices": {"probe": settings.probe_price, "crossZone": settings.cross_price},
        "limits": {"probes": settings.probes, "idleCloseMs": ms(settings.idle_close)},
        "familyInfo": {
            "homeOnly": home_only, "proxies": settings.proxies, "shards": settings.slices,
            "soleOwner": settings.sole_owner, "tenureMs": ms(settings.lease), "inFlightMaxMs": ms(settings.settle),
            "levelKind": levels, "usualHow": settings.usual_retry as u8, "firstWait": settings.first_wait, "pick": pick,
            "outlierAfter": settings.proxy_ejects_after, "cycleMs": ms(settings.report_period),
            "backlog": settings.backlog, "linesPerS": settings.lines_per_s, "fixedCost": settings.message_head,
            "pushDelayMaxMs": ms(settings.way_most), "messagesMost": settings.messages_most,
            "updateWindowMs": ms(settings.messages_window), "unservedMaxMs": ms(settings.unserved_most)},
        "guarantees": {
            "askEveryMs": ms(settings.ask_every), "drainGraceMs": ms(settings.drain_grace),
            "drainBindsAlone": settings.drain_binds_alone, "coldFrom": settings.cold_from,
            "coldMs": ms(settings.cold_for), "fallMultiple": settings.fall_multiple,
            "overloadForMs": ms(settings.fall_window)},
    })
}

/// What the settings contradict or leave open, for a list of so many servers: a sentence each. The decisions go on all the
/// same and keep the rules as far as they can be kept.
pub fn doubts(settings: &Settings, servers: usize) -> Vec<String> {
    let Settings {
        backlog,
        lines_per_s,
        message_head,
        proxies,
        messages_most,
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
        "zone" => Scope::Zone,
        "cell" => Scope::Cell,
        _ => Scope::All,
    };
    Class {
        aim: Micros::from_ms(num("aimMs")),
        deadline: Micros::from_ms(num("hardLimitMs")),
        worth: num("worth"),
        effect: match word("effect") {
            "read_like" => Effect::Safe,
            "idempotency_key" => Effect::Keyed(scope, Micros::from_ms(num("windowMs"))),
            _ => Effect::Unsafe,
        },
        home_only,
    }
}

fn retry(how: f64) -> Retry {
    match how as i64 {
        1 => Retry::Unrun,
        2 => Retry::Once,
        3 => Retry::Twice,
        _ => Retry::Never,
    }
}

#[cfg(test)]
mod tests;
