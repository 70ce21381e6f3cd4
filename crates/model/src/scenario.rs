//! Scenarios: read from the protobuf text format with the schema `proto/model.proto`, validated as a whole, and converted to
//! plain data with all defaults filled in. docs/model.md states the sources of the defaults.

use chutegrade_policy::{self as policy, Micros};
use chutegrade_textproto::{find_field, TextError};
use prost::Message as _;

/// Generated types of the schema.
#[allow(missing_docs, clippy::all)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/chutegrade.model.v1.rs"));
}

pub use pb::trouble::Sort as FaultKind;
pub use pb::{Cancel, Pick};

/// The encoded schema, for readers of messages that contain scenarios.
pub const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/model.bin"));
const MESSAGE: &str = "chutegrade.model.v1.Scenario";

/// Maximum number of servers, and of proxies: bounded by the integer types on the wire and by memory.
const MAX_COUNT: u32 = 60_000;
/// Maximum duration of a run, in seconds: one day.
const MAX_SECONDS: f64 = 86_400.0;
/// Maximum number of zones, of classes, of kinds and of faults.
const MAX_LIST_LENGTH: usize = 32;
/// Maximum request rate, per second.
const MAX_RATE: f64 = 1e6;

/// Servers of one kind.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Kind {
    pub name: String,
    pub servers: usize,
    pub cores: f64,
    pub speed: f64,
    pub speed_cv: f64,
    pub slots: usize,
    pub queue: usize,
    pub slow_start_share: f64,
    pub slow_start_us: u64,
    pub connections: u32,
    pub handshake_ms: f64,
    pub error_rate: f64,
    pub cancel: Cancel,
    pub thrash: f64,
    pub thrash_at: f64,
    pub max_connection_overhead: f64,
}

/// A class of requests. `late_share` is the share of the priority weight that a response after the latency objective counts.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Class {
    pub name: String,
    pub share: f64,
    pub work_ms: f64,
    pub work_cv: f64,
    pub attempt_cv: f64,
    pub latency_objective_us: u64,
    pub deadline_us: u64,
    pub priority_weight: f64,
    pub late_share: f64,
    pub idempotency: policy::Idempotency,
    pub zone_local: bool,
}

/// A fault to inject, from `from_us` to `to_us` after the start; `proto/model.proto` defines `size` and `extra` by kind.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Fault {
    pub kind: FaultKind,
    pub from_us: u64,
    pub to_us: u64,
    pub share: f64,
    pub size: f64,
    pub extra: f64,
    pub zone: Option<usize>,
    pub ramp_us: u64,
}

/// Weights of the parts of the service figure, and the parameters of these parts.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct ServiceWeights {
    pub overall: f64,
    pub worst_window: f64,
    pub worst_class: f64,
    pub nines: f64,
    pub nines_full: f64,
    pub window_s: usize,
}

/// A scenario with all defaults filled in. Times are in microseconds unless the name has another unit; shares are from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Scenario {
    pub name: String,
    pub duration_us: u64,
    pub zones: Vec<String>,
    pub kinds: Vec<Kind>,
    pub classes: Vec<Class>,
    pub rate: f64,
    pub demand_points: Vec<(f64, f64)>,
    pub zone_skew: f64,
    pub client_retries: u32,
    pub client_timeout_share: f64,
    pub client_backoff_us: f64,
    pub client_backoff_growth: f64,
    pub proxies: usize,
    pub pick: Pick,
    pub ejection_threshold: u32,
    pub ejection_us: u64,
    pub initial_table_size: usize,
    pub attempt_timeout_factor: f64,
    pub default_retry: policy::Retry,
    pub applies_admission: bool,
    pub stream_loss_detection_us: u64,
    pub reconnect_us: u64,
    pub apply_us_per_line: f64,
    pub rehome_us: u64,
    pub supervisors: usize,
    pub tick_us: u64,
    pub channel_lines_per_s: f64,
    pub message_overhead: f64,
    pub delivery_delay_us: f64,
    pub max_delivery_delay_us: f64,
    pub max_backlog: f64,
    pub max_messages: usize,
    pub load_reports: bool,
    pub load_with_responses: bool,
    pub load_refresh_us: u64,
    pub report_period_us: u64,
    pub report_delay_us: u64,
    pub report_intake_per_s: f64,
    pub report_noise: f64,
    pub min_discovery_delay_us: f64,
    pub max_discovery_delay_us: f64,
    pub silent_failure_detection_us: f64,
    pub same_zone_us: f64,
    pub cross_zone_us: f64,
    pub client_link_us: f64,
    pub jitter: f64,
    pub connect_timeout_us: u64,
    pub idle_close_us: u64,
    pub health_checks_allowed: bool,
    pub health_check_work_ms: f64,
    pub health_check_timeout_us: u64,
    pub max_health_checks_per_core: f64,
    pub deep_health_checks: bool,
    pub max_unserved_us: u64,
    pub drain_grace_us: u64,
    pub overload_multiple: f64,
    pub overload_window_us: u64,
    pub service: ServiceWeights,
    pub faults: Vec<Fault>,
}

/// Parses a scenario without validating its values.
pub fn parse(text: &str) -> Result<pb::Scenario, TextError> {
    chutegrade_textproto::parse(SCHEMA, MESSAGE, text)
}

/// Parses and validates a scenario; returns all errors, with their positions.
pub fn read(text: &str) -> Result<Scenario, Vec<TextError>> {
    let written = parse(text).map_err(|error| vec![error])?;
    Scenario::try_from(&written).map_err(|errors| {
        errors
            .into_iter()
            .map(|(field, message)| TextError {
                position: find_field(text, field),
                message,
            })
            .collect()
    })
}

/// Formats a scenario as text, one field per line.
pub fn write(scenario: &pb::Scenario) -> String {
    chutegrade_textproto::write(SCHEMA, MESSAGE, scenario).unwrap_or_default()
}

/// Merges a change into a copy of a scenario: singular fields are replaced, messages are merged field by field, and
/// repeated fields are appended.
pub fn with_change(scenario: &pb::Scenario, change: &pb::Scenario) -> pb::Scenario {
    let mut combined = scenario.clone();
    // Never fails: the bytes were encoded with the same schema.
    let _ = combined.merge(change.encode_to_vec().as_slice());
    combined
}

/// Returns a digest of the scenario as written: the first 16 hex digits of the BLAKE3 hash of its encoding.
pub fn digest(scenario: &pb::Scenario) -> String {
    blake3::hash(&scenario.encode_to_vec())
        .to_hex()
        .as_str()
        .get(..16)
        .unwrap_or_default()
        .to_string()
}

/// Name of an invalid field, and the error message.
pub type FieldError = (&'static str, String);

struct Checker(Vec<FieldError>);

impl Checker {
    fn report(&mut self, field: &'static str, message: impl Into<String>) {
        self.0.push((field, message.into()));
    }

    /// Returns a field's value or its default, and reports a value outside the bounds.
    fn figure(
        &mut self,
        field: &'static str,
        given: Option<f64>,
        default: f64,
        min: f64,
        max: f64,
    ) -> f64 {
        let value = given.unwrap_or(default);
        if !(min..=max).contains(&value) {
            self.report(
                field,
                format!("{field} is {value}, must be from {min} to {max}"),
            );
        }
        value
    }

    fn share(&mut self, field: &'static str, given: Option<f64>, default: f64) -> f64 {
        self.figure(field, given, default, 0.0, 1.0)
    }

    fn us(&mut self, field: &'static str, given: Option<f64>, default: f64, unit: f64) -> u64 {
        (self.figure(field, given, default, 0.0, MAX_SECONDS * 1e6 / unit) * unit) as u64
    }

    fn count(
        &mut self,
        field: &'static str,
        given: Option<u32>,
        default: u32,
        min: u32,
        max: u32,
    ) -> usize {
        self.figure(
            field,
            given.map(f64::from),
            default.into(),
            min.into(),
            max.into(),
        ) as usize
    }

    fn names<'a>(&mut self, field: &'static str, names: impl Iterator<Item = &'a str>) {
        let mut seen = std::collections::BTreeSet::new();
        let duplicates: Vec<&str> = names.filter(|name| !seen.insert(*name)).collect();
        if let Some(name) = duplicates.first() {
            self.report(field, format!("duplicate name {name:?}"));
        }
        if seen.len() > MAX_LIST_LENGTH {
            self.report(
                field,
                format!(
                    "{} entries, at most {MAX_LIST_LENGTH} are allowed",
                    seen.len()
                ),
            );
        }
    }
}

const US_PER_MS: f64 = 1e3;
const US_PER_S: f64 = 1e6;

fn kind(checker: &mut Checker, input: &pb::Kind, number: usize) -> Kind {
    let cores = checker.count("cores", input.cores, 2, 1, 1024) as f64;
    let per_core = |value: f64| (value * cores).round().max(1.0);
    let slots = per_core(checker.figure("slots_per_core", input.slots_per_core, 4.0, 0.1, 10_000.0))
        as usize;
    let queue = (checker.figure("queue_per_core", input.queue_per_core, 10.0, 0.0, 1e6) * cores)
        .round() as usize;
    Kind {
        name: input
            .name
            .clone()
            .unwrap_or_else(|| format!("kind-{}", number + 1)),
        servers: checker.count("servers", input.servers, 1, 0, MAX_COUNT),
        cores,
        speed: checker.figure("speed", input.speed, 1.0, 0.001, 1000.0),
        speed_cv: checker.figure("speed_cv", input.speed_cv, 0.15, 0.0, 2.0),
        slots,
        queue,
        slow_start_share: checker.figure("cold_from", input.cold_from, 0.3, 0.01, 1.0),
        slow_start_us: checker.us("cold_s", input.cold_s, 10.0, US_PER_S),
        connections: per_core(checker.figure(
            "connections_per_core",
            input.connections_per_core,
            110.0,
            1.0,
            1e6,
        )) as u32,
        handshake_ms: checker.figure("handshake_ms", input.handshake_ms, 5.0, 0.0, 10_000.0),
        error_rate: checker.share("error_rate", input.error_rate, 0.0005),
        cancel: match input.cancel() {
            Cancel::Unspecified => Cancel::Waiting,
            given => given,
        },
        thrash: checker.figure("thrash", input.thrash, 0.1, 0.0, 100.0),
        thrash_at: checker.figure("thrash_at", input.thrash_at, 5.0, 0.0, 10_000.0),
        max_connection_overhead: checker.share("full_tax", input.full_tax, 0.2),
    }
}

fn class(checker: &mut Checker, input: &pb::Class, number: usize) -> Class {
    let latency_objective_us = checker.us("aim_ms", input.aim_ms, 600.0, US_PER_MS);
    let deadline_us = checker.us("deadline_ms", input.deadline_ms, 2000.0, US_PER_MS);
    if deadline_us < latency_objective_us {
        checker.report("deadline_ms", "deadline_ms is less than aim_ms");
    }
    let window = Micros(checker.us("window_ms", input.window_ms, 10_000.0, US_PER_MS) as i64);
    Class {
        name: input
            .name
            .clone()
            .unwrap_or_else(|| format!("class-{}", number + 1)),
        share: checker.figure("share", input.share, 1.0, 0.0, 1e6),
        work_ms: checker.figure("work_ms", input.work_ms, 100.0, 0.01, 1e6),
        work_cv: checker.figure("work_cv", input.work_cv, 0.6, 0.0, 10.0),
        attempt_cv: checker.figure("try_cv", input.try_cv, 0.2, 0.0, 10.0),
        latency_objective_us,
        deadline_us,
        priority_weight: checker.figure("worth", input.worth, 1.0, 0.0, 1e6),
        late_share: checker.share("late_worth", input.late_worth, 0.1),
        idempotency: match input.effect() {
            pb::Effect::Keyed => {
                policy::Idempotency::Keyed(policy::DeduplicationScope::All, window)
            }
            pb::Effect::Unsafe => policy::Idempotency::NotIdempotent,
            pb::Effect::Safe | pb::Effect::Unspecified => policy::Idempotency::Idempotent,
        },
        zone_local: input.home_only.unwrap_or(false),
    }
}

fn fault(checker: &mut Checker, input: &pb::Trouble, zones: &[String]) -> Fault {
    if input.sort() == FaultKind::Unspecified {
        checker.report("trouble", "sort is missing");
    }
    let zone = input.zone.as_ref().and_then(|name| {
        let known = zones.iter().position(|zone| zone == name);
        if known.is_none() {
            checker.report("trouble", format!("unknown zone {name:?}"));
        }
        known
    });
    if matches!(input.sort(), FaultKind::ZoneLost | FaultKind::Way) && input.zone.is_none() {
        checker.report(
            "trouble",
            format!("{} needs a zone", input.sort().as_str_name()),
        );
    }
    let from_us = checker.us("at_s", input.at_s, 0.0, US_PER_S);
    // Default sizes: a share of one half, 500 ms, a factor of 2, or 2 s.
    let default = match input.sort() {
        FaultKind::FailFast | FaultKind::Neighbour => 0.5,
        FaultKind::FrontEndsStand | FaultKind::Way => 500.0,
        _ => 2.0,
    };
    let max = if matches!(input.sort(), FaultKind::FailFast | FaultKind::Neighbour) {
        1.0
    } else {
        1e6
    };
    let extra = match input.sort() {
        FaultKind::Neighbour => 2.0,
        FaultKind::Heavy => 0.02,
        FaultKind::Replace => 8.0,
        FaultKind::Handshake => 200.0,
        _ => 0.0,
    };
    Fault {
        kind: input.sort(),
        from_us,
        to_us: from_us + checker.us("length_s", input.length_s, 10.0, US_PER_S),
        share: checker.share("part", input.part, 0.1),
        size: checker.figure("size", input.size, default, 0.0, max),
        extra: checker.figure("extra", input.extra, extra, 0.0, 1e6),
        zone,
        ramp_us: checker.us("ramp_s", input.ramp_s, 0.0, US_PER_S),
    }
}

fn demand_points(checker: &mut Checker, given: &[pb::Point]) -> Vec<(f64, f64)> {
    let points: Vec<(f64, f64)> = given
        .iter()
        .map(|point| (point.at_s() * US_PER_S, point.factor.unwrap_or(1.0)))
        .collect();
    if points.windows(2).any(|pair| pair[0].0 >= pair[1].0) {
        checker.report("point", "points are not in ascending order of at_s");
    }
    if points
        .iter()
        .any(|(at, factor)| *at < 0.0 || !(0.0..=1000.0).contains(factor))
    {
        checker.report(
            "point",
            "factor must be from 0 to 1000, and at_s must not be negative",
        );
    }
    points
}

impl TryFrom<&pb::Scenario> for Scenario {
    type Error = Vec<FieldError>;

    fn try_from(input: &pb::Scenario) -> Result<Self, Vec<FieldError>> {
        let checker = &mut Checker(Vec::new());
        let zones = if input.zone.is_empty() {
            vec!["a".to_string()]
        } else {
            input.zone.clone()
        };
        checker.names("zone", zones.iter().map(String::as_str));
        let kinds: Vec<Kind> = input
            .kind
            .iter()
            .enumerate()
            .map(|(number, pb_kind)| kind(checker, pb_kind, number))
            .collect();
        checker.names("kind", kinds.iter().map(|kind| kind.name.as_str()));
        let servers: usize = kinds.iter().map(|kind| kind.servers).sum();
        if servers == 0 || servers > MAX_COUNT as usize {
            checker.report(
                "kind",
                format!("{servers} servers, must be from 1 to {MAX_COUNT}"),
            );
        }
        let classes: Vec<Class> = input
            .class
            .iter()
            .enumerate()
            .map(|(number, pb_class)| class(checker, pb_class, number))
            .collect();
        checker.names("class", classes.iter().map(|class| class.name.as_str()));
        let shares: f64 = classes.iter().map(|class| class.share).sum();
        if classes.is_empty() || shares <= 0.0 {
            checker.report("class", "no class with a share above 0");
        }
        if input.trouble.len() > MAX_LIST_LENGTH {
            checker.report(
                "trouble",
                format!(
                    "{} entries, at most {MAX_LIST_LENGTH} are allowed",
                    input.trouble.len()
                ),
            );
        }
        let faults = input
            .trouble
            .iter()
            .map(|input| fault(checker, input, &zones))
            .collect();
        let load = input.load.clone().unwrap_or_default();
        let clients = input.clients.unwrap_or_default();
        let proxies = input.front_ends.unwrap_or_default();
        let supervisors = input.supervisors.unwrap_or_default();
        let reports = input.reports.unwrap_or_default();
        let discovery = input.discovery.unwrap_or_default();
        let network = input.network.unwrap_or_default();
        let probes = input.probes.unwrap_or_default();
        let rules = input.rules.unwrap_or_default();
        let service = input.service.unwrap_or_default();
        let lines_per_s = checker.figure("lines_per_s", supervisors.lines_per_s, 9500.0, 1.0, 1e9);
        let min_notice_s =
            checker.figure("notice_least_s", discovery.notice_least_s, 0.8, 0.0, 3600.0);
        let max_notice_s = checker.figure(
            "notice_most_s",
            discovery.notice_most_s,
            4.0_f64.max(min_notice_s),
            min_notice_s,
            3600.0,
        );
        // Mean work of a request in seconds; the capacity of all servers is in seconds of work per second.
        let work_s: f64 = classes
            .iter()
            .map(|class| class.share * class.work_ms / 1e3)
            .sum::<f64>()
            / shares.max(1e-9);
        let capacity: f64 = kinds
            .iter()
            .map(|kind| kind.servers as f64 * kind.cores * kind.speed)
            .sum();
        let level = checker.figure("level", load.level, 0.5, 0.0, 100.0);
        let scenario = Scenario {
            name: input.name.clone().unwrap_or_else(|| "unnamed".to_string()),
            duration_us: checker.us("seconds", input.seconds, 60.0, US_PER_S),
            rate: checker.figure(
                "rate",
                load.rate,
                level * capacity / work_s.max(1e-9),
                0.0,
                MAX_RATE,
            ),
            demand_points: demand_points(checker, &load.point),
            zone_skew: checker.figure("zone_skew", load.zone_skew, 0.1, 0.0, 0.9),
            client_retries: checker.count("retries", clients.retries, 1, 0, 20) as u32,
            client_timeout_share: checker.figure("try_share", clients.try_share, 0.7, 0.01, 1.0),
            client_backoff_us: checker.us("backoff_ms", clients.backoff_ms, 100.0, US_PER_MS)
                as f64,
            client_backoff_growth: checker.figure(
                "backoff_growth",
                clients.backoff_growth,
                2.0,
                1.0,
                10.0,
            ),
            proxies: checker.count("count", proxies.count, 6, 1, MAX_COUNT),
            pick: match proxies.pick() {
                Pick::Unspecified => Pick::Random,
                given => given,
            },
            ejection_threshold: checker.count("avoids_after", proxies.avoids_after, 3, 0, 1000)
                as u32,
            ejection_us: checker.us("avoids_s", proxies.avoids_s, 5.0, US_PER_S),
            initial_table_size: checker.count("standing", proxies.standing, 8, 1, MAX_COUNT),
            attempt_timeout_factor: checker.figure(
                "first_wait",
                proxies.first_wait,
                1.0,
                0.01,
                100.0,
            ),
            default_retry: match proxies.usual_retry() {
                pb::Retry::Never => policy::Retry::Never,
                pb::Retry::Once => policy::Retry::Once,
                pb::Retry::Twice => policy::Retry::Twice,
                pb::Retry::Unrun | pb::Retry::Unspecified => policy::Retry::IfNotExecuted,
            },
            applies_admission: proxies.admits.unwrap_or(true),
            stream_loss_detection_us: checker.us("notice_ms", proxies.notice_ms, 1000.0, US_PER_MS),
            reconnect_us: checker.us("redial_ms", proxies.redial_ms, 200.0, US_PER_MS),
            apply_us_per_line: checker.figure("apply_us", proxies.apply_us, 30.0, 0.0, 1e6),
            rehome_us: checker.us("rehome_s", proxies.rehome_s, 8.0, US_PER_S),
            supervisors: checker.count("count", supervisors.count, 2, 1, 256),
            tick_us: checker
                .us("tick_ms", supervisors.tick_ms, 4.0, US_PER_MS)
                .max(1),
            channel_lines_per_s: lines_per_s,
            message_overhead: checker.figure("head", supervisors.head, 3.0, 0.0, 1e6),
            delivery_delay_us: checker.us("way_ms", supervisors.way_ms, 250.0, US_PER_MS) as f64,
            max_delivery_delay_us: checker.us(
                "way_most_ms",
                supervisors.way_most_ms,
                700.0,
                US_PER_MS,
            ) as f64,
            max_backlog: checker.figure(
                "backlog",
                supervisors.backlog,
                1.5 * lines_per_s,
                1.0,
                1e12,
            ),
            max_messages: checker.count(
                "messages_most",
                supervisors.messages_most,
                0,
                0,
                1_000_000,
            ),
            load_reports: reports.load.unwrap_or(true),
            load_with_responses: reports.with_answers.unwrap_or(true),
            load_refresh_us: checker.us("refresh_ms", reports.refresh_ms, 500.0, US_PER_MS),
            report_period_us: checker
                .us("period_s", reports.period_s, 1.0, US_PER_S)
                .max(1000),
            report_delay_us: checker.us("late_ms", reports.late_ms, 600.0, US_PER_MS),
            report_intake_per_s: checker.figure(
                "intake_per_s",
                reports.intake_per_s,
                800.0,
                1.0,
                1e9,
            ),
            report_noise: checker.figure("noise", reports.noise, 0.1, 0.0, 2.0),
            min_discovery_delay_us: min_notice_s * US_PER_S,
            max_discovery_delay_us: max_notice_s * US_PER_S,
            silent_failure_detection_us: checker.us("silent_s", discovery.silent_s, 8.0, US_PER_S)
                as f64,
            same_zone_us: checker.us("same_ms", network.same_ms, 0.2, US_PER_MS) as f64,
            cross_zone_us: checker.us("cross_ms", network.cross_ms, 0.6, US_PER_MS) as f64,
            client_link_us: checker.us("client_ms", network.client_ms, 0.05, US_PER_MS) as f64,
            jitter: checker.figure("jitter", network.jitter, 0.25, 0.0, 1.0),
            connect_timeout_us: checker.us(
                "connect_timeout_ms",
                network.connect_timeout_ms,
                250.0,
                US_PER_MS,
            ),
            idle_close_us: checker.us("idle_close_s", network.idle_close_s, 15.0, US_PER_S),
            health_checks_allowed: probes.allowed.unwrap_or(true),
            health_check_work_ms: checker.figure("work_ms", probes.work_ms, 4.0, 0.0, 10_000.0),
            health_check_timeout_us: checker.us("timeout_ms", probes.timeout_ms, 300.0, US_PER_MS),
            max_health_checks_per_core: checker.figure(
                "most_per_core",
                probes.most_per_core,
                3.0,
                0.1,
                1000.0,
            ),
            deep_health_checks: probes.deep.unwrap_or(false),
            max_unserved_us: checker.us("unserved_s", rules.unserved_s, 5.0, US_PER_S),
            drain_grace_us: checker.us("drain_grace_s", rules.drain_grace_s, 3.0, US_PER_S),
            overload_multiple: checker.figure(
                "fall_multiple",
                rules.fall_multiple,
                3.0,
                1.0,
                1000.0,
            ),
            overload_window_us: checker.us("fall_s", rules.fall_s, 3.0, US_PER_S),
            service: ServiceWeights {
                overall: checker.share("whole", service.whole, 0.55),
                worst_window: checker.share("worst_window", service.worst_window, 0.2),
                worst_class: checker.share("worst_class", service.worst_class, 0.1),
                nines: checker.share("nines", service.nines, 0.15),
                nines_full: checker.figure("nines_full", service.nines_full, 2.0, 0.1, 12.0),
                window_s: checker.figure("window_s", service.window_s, 10.0, 1.0, 3600.0) as usize,
            },
            zones,
            kinds,
            classes,
            faults,
        };
        if checker.0.is_empty() {
            Ok(scenario)
        } else {
            Err(std::mem::take(&mut checker.0))
        }
    }
}

impl Scenario {
    /// Returns the number of servers at the start.
    pub fn servers(&self) -> usize {
        self.kinds.iter().map(|kind| kind.servers).sum()
    }

    /// Returns the factor of the demand at a time since the start, without faults.
    pub fn demand(&self, at_us: u64) -> f64 {
        let at = at_us as f64;
        match self
            .demand_points
            .iter()
            .position(|(point_us, _)| *point_us > at)
        {
            None => self.demand_points.last().map_or(1.0, |(_, factor)| *factor),
            Some(0) => self
                .demand_points
                .first()
                .map_or(1.0, |(_, factor)| *factor),
            Some(next) => {
                let ((from_us, low), (to_us, high)) =
                    (self.demand_points[next - 1], self.demand_points[next]);
                low + (high - low) * (at - from_us) / (to_us - from_us)
            }
        }
    }

    /// Returns the settings of the decision module for a supervisor of a zone.
    pub fn settings(&self, zone: usize) -> policy::Settings {
        let micros = |us: u64| Micros(i64::try_from(us).unwrap_or(i64::MAX));
        let policy_class = |class: &Class| policy::Class {
            latency_objective: micros(class.latency_objective_us),
            deadline: micros(class.deadline_us),
            priority_weight: class.priority_weight,
            idempotency: class.idempotency,
            zone_local: class.zone_local,
        };
        let min_slow_start_share = self
            .kinds
            .iter()
            .map(|kind| kind.slow_start_share)
            .fold(1.0, f64::min);
        let max_slow_start_us = self
            .kinds
            .iter()
            .map(|kind| kind.slow_start_us)
            .max()
            .unwrap_or(0);
        policy::Settings {
            instances: self.supervisors,
            zones: self.zones.len(),
            zone: policy::ZoneId(zone as u16),
            classes: self.classes.iter().map(policy_class).collect(),
            proxies: self.proxies,
            admission_unit: if self.applies_admission {
                policy::AdmissionUnit::Share
            } else {
                policy::AdmissionUnit::Unsupported
            },
            default_retry: self.default_retry,
            attempt_timeout_factor: self.attempt_timeout_factor,
            pick_policy: match self.pick {
                Pick::Rotate => policy::PickPolicy::WeightedRoundRobin,
                Pick::LeastOfTwo => policy::PickPolicy::PowerOfTwoChoices,
                Pick::Random | Pick::Unspecified => policy::PickPolicy::Random,
            },
            proxy_ejection_threshold: self.ejection_threshold,
            listed_weight: policy::ListedWeight::ApproximateSize,
            report_source: match (self.load_reports, self.load_with_responses) {
                (false, _) => policy::ReportSource::None,
                (true, true) => policy::ReportSource::ResponsesAndHealthChecks,
                (true, false) => policy::ReportSource::HealthChecks,
            },
            report_period: micros(self.report_period_us),
            health_checks_allowed: self.health_checks_allowed,
            health_check_cost: 0.02,
            zone_crossing_cost: 0.01,
            channel_backlog: self.max_backlog,
            channel_lines_per_second: self.channel_lines_per_s,
            message_overhead: self.message_overhead,
            max_delivery_delay: micros(self.max_delivery_delay_us as u64),
            idle_timeout: micros(self.idle_close_us),
            max_messages: self.max_messages,
            message_window: Micros(10_000_000),
            max_unserved: micros(self.max_unserved_us),
            drain_grace: micros(self.drain_grace_us),
            slow_start_share: min_slow_start_share,
            slow_start_period: micros(max_slow_start_us),
            overload_multiple: self.overload_multiple,
            overload_window: micros(self.overload_window_us),
            ..policy::Settings::default()
        }
    }
}

#[cfg(test)]
mod tests;
