//! Reads settings from their JSON object.

use chutegrade_policy::{
    AdmissionUnit, Class, DeduplicationScope, Idempotency, ListedWeight, PickPolicy, ReportSource,
    Retry, Settings, ZoneId,
};
use serde_json::Value;

use crate::error::SettingsError;
use crate::json_reader::JsonReader;

/// Reads the settings from JSON text.
///
/// # Errors
///
/// The text is not JSON, or not an object.
pub fn from_text(text: &str) -> Result<Settings, SettingsError> {
    from_json(&serde_json::from_str(text)?)
}

/// Reads the settings from a JSON object. A value that is absent or of another type reads as 0, no limit, `false` or
/// the empty string.
///
/// # Errors
///
/// The value is not an object.
pub fn from_json(json: &Value) -> Result<Settings, SettingsError> {
    if !json.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    let reader = JsonReader::new(json);
    let mut settings = Settings::default();
    read_deployment(&reader, &mut settings);
    read_slices(&reader, &mut settings);
    read_discovery(&reader, &mut settings);
    read_proxies(&reader, &mut settings);
    read_health(&reader, &mut settings);
    read_channel(&reader, &mut settings);
    read_guarantees(&reader, &mut settings);
    Ok(settings)
}

fn read_deployment(reader: &JsonReader, settings: &mut Settings) {
    settings.instances = reader.number("/peersTotal") as usize;
    settings.zones = reader.array("/zones").len();
    settings.zone = ZoneId(reader.number("/locality") as u16);
    settings.classes = read_classes(reader);
    settings.proxies = reader.number("/familyInfo/proxies") as usize;
    settings.zone_crossing_cost = reader.number("/prices/crossZone");
}

fn read_slices(reader: &JsonReader, settings: &mut Settings) {
    settings.slices = reader.number("/familyInfo/shards") as usize;
    settings.exclusive_ownership = reader.flag("/familyInfo/soleOwner");
    settings.lease = reader.milliseconds("/familyInfo/tenureMs");
    settings.write_settle_time = reader.milliseconds("/familyInfo/inFlightMaxMs");
}

fn read_discovery(reader: &JsonReader, settings: &mut Settings) {
    settings.endpoints_on_request = reader.string("/discovery") == "subscribe";
    settings.poll_interval = reader.milliseconds("/guarantees/askEveryMs");
    settings.listed_weight = listed_weight(reader.string("/weights"));
}

fn read_proxies(reader: &JsonReader, settings: &mut Settings) {
    settings.admission_unit = admission_unit(reader.string("/familyInfo/levelKind"));
    settings.default_retry = retry_from_number(reader.number("/familyInfo/usualHow") as i64);
    settings.attempt_timeout_factor = reader.number("/familyInfo/firstWait");
    settings.pick_policy = pick_policy(reader.string("/familyInfo/pick"));
    settings.proxy_ejection_threshold = reader.number("/familyInfo/outlierAfter") as u32;
    settings.max_unserved = reader.milliseconds("/familyInfo/unservedMaxMs");
}

fn read_health(reader: &JsonReader, settings: &mut Settings) {
    settings.report_source = report_source(reader.string("/report/source"));
    settings.report_period = reader.milliseconds("/familyInfo/cycleMs");
    settings.health_checks_allowed = reader.flag("/limits/probes");
    settings.health_check_cost = reader.number("/prices/probe");
}

fn read_channel(reader: &JsonReader, settings: &mut Settings) {
    settings.channel_backlog = reader.limit("/familyInfo/backlog");
    settings.channel_lines_per_second = reader.limit("/familyInfo/linesPerS");
    settings.message_overhead = reader.number("/familyInfo/fixedCost");
    settings.max_delivery_delay = reader.milliseconds("/familyInfo/pushDelayMaxMs");
    settings.idle_timeout = reader.milliseconds("/limits/idleCloseMs");
    settings.max_messages = reader.number("/familyInfo/messagesMost") as usize;
    settings.message_window = reader.milliseconds("/familyInfo/updateWindowMs");
}

fn read_guarantees(reader: &JsonReader, settings: &mut Settings) {
    settings.drain_grace = reader.milliseconds("/guarantees/drainGraceMs");
    settings.explicit_drain_only = reader.flag("/guarantees/drainBindsAlone");
    settings.slow_start_share = reader.number("/guarantees/coldFrom");
    settings.slow_start_period = reader.milliseconds("/guarantees/coldMs");
    settings.overload_multiple = reader.number("/guarantees/fallMultiple");
    settings.overload_window = reader.milliseconds("/guarantees/overloadForMs");
}

fn read_classes(reader: &JsonReader) -> Vec<Class> {
    let classes = reader.array("/classes").iter().enumerate();
    let read = |(position, class): (usize, &Value)| {
        let zone_local = reader.flag(&format!("/familyInfo/homeOnly/{position}"));
        read_class(&JsonReader::new(class), zone_local)
    };
    classes.map(read).collect()
}

fn read_class(reader: &JsonReader, zone_local: bool) -> Class {
    Class {
        latency_objective: reader.milliseconds("/aimMs"),
        deadline: reader.milliseconds("/hardLimitMs"),
        priority_weight: reader.number("/worth"),
        idempotency: read_idempotency(reader),
        zone_local,
    }
}

fn read_idempotency(reader: &JsonReader) -> Idempotency {
    match reader.string("/effect") {
        "read_like" => Idempotency::Idempotent,
        "idempotency_key" => {
            let scope = deduplication_scope(reader.string("/dedupScope"));
            Idempotency::Keyed(scope, reader.milliseconds("/windowMs"))
        }
        _ => Idempotency::NotIdempotent,
    }
}

fn deduplication_scope(text: &str) -> DeduplicationScope {
    match text {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        _ => DeduplicationScope::All,
    }
}

fn admission_unit(text: &str) -> AdmissionUnit {
    match text {
        "fraction" => AdmissionUnit::Share,
        "per_second" => AdmissionUnit::RequestsPerSecond,
        _ => AdmissionUnit::Unsupported,
    }
}

fn pick_policy(text: &str) -> PickPolicy {
    match text {
        "rotate" => PickPolicy::WeightedRoundRobin,
        "p2c" => PickPolicy::PowerOfTwoChoices,
        _ => PickPolicy::Random,
    }
}

fn listed_weight(text: &str) -> ListedWeight {
    match text {
        "nominal" => ListedWeight::RegisteredCapacity,
        "rough" => ListedWeight::ApproximateSize,
        "live" => ListedWeight::SizeOverLoad,
        _ => ListedWeight::Unspecified,
    }
}

fn report_source(text: &str) -> ReportSource {
    match text {
        "piggyback" => ReportSource::ResponsesAndHealthChecks,
        "pull" => ReportSource::HealthChecks,
        _ => ReportSource::None,
    }
}

/// Returns the retry policy that a number encodes in the settings and on the wire; unknown numbers mean no retries.
pub fn retry_from_number(number: i64) -> Retry {
    match number {
        1 => Retry::IfNotExecuted,
        2 => Retry::Once,
        3 => Retry::Twice,
        _ => Retry::Never,
    }
}
