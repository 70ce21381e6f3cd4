//! Scenarios: read from protobuf text format after `proto/model.proto`, checked whole, and turned into plain data in which
//! every figure is given. Where the figures that hold for what is not said come from is told in docs/model.md.

use chutegrade_policy::{self as policy, Micros};
use chutegrade_textproto::{find_field, TextError};
use prost::Message as _;

/// The types of the schema, as generated.
#[allow(missing_docs, clippy::all)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/chutegrade.model.v1.rs"));
}

pub use pb::trouble::Sort;
pub use pb::{Cancel, Pick};

/// The encoded schema, for readers of messages that hold scenarios.
pub const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/model.bin"));
const MESSAGE: &str = "chutegrade.model.v1.Scenario";

/// Servers and front ends at most: what the wire's numbers hold, and what fits in memory.
const SIZE_MOST: u32 = 60_000;
/// Longest run, in seconds: a day.
const SECONDS_MOST: f64 = 86_400.0;
/// Zones, classes, kinds and troubles at most.
const PARTS_MOST: usize = 32;
/// Requests a second at most.
const RATE_MOST: f64 = 1e6;

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
    pub cold_from: f64,
    pub cold_us: u64,
    pub connections: u32,
    pub handshake_ms: f64,
    pub error_rate: f64,
    pub cancel: Cancel,
    pub thrash: f64,
    pub thrash_at: f64,
    pub full_tax: f64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Class {
    pub name: String,
    pub share: f64,
    pub work_ms: f64,
    pub work_cv: f64,
    pub try_cv: f64,
    pub aim_us: u64,
    pub deadline_us: u64,
    pub worth: f64,
    pub late_worth: f64,
    pub effect: policy::Idempotency,
    pub home_only: bool,
}

/// A trouble.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Trouble {
    pub sort: Sort,
    pub from_us: u64,
    pub to_us: u64,
    pub part: f64,
    pub size: f64,
    pub extra: f64,
    pub zone: Option<usize>,
    pub ramp_us: u64,
}

/// How service is counted.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Service {
    pub whole: f64,
    pub worst_window: f64,
    pub worst_class: f64,
    pub nines: f64,
    pub nines_full: f64,
    pub window_s: usize,
}

/// A scenario with every figure given. Times in microseconds unless the name says otherwise; shares lie between 0 and 1.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Scenario {
    pub name: String,
    pub duration_us: u64,
    pub zones: Vec<String>,
    pub kinds: Vec<Kind>,
    pub classes: Vec<Class>,
    pub rate: f64,
    pub points: Vec<(f64, f64)>,
    pub zone_skew: f64,
    pub client_retries: u32,
    pub client_try_share: f64,
    pub client_backoff_us: f64,
    pub client_backoff_growth: f64,
    pub proxies: usize,
    pub pick: Pick,
    pub avoids_after: u32,
    pub avoids_us: u64,
    pub standing: usize,
    pub first_wait: f64,
    pub usual_retry: policy::Retry,
    pub admits: bool,
    pub notice_us: u64,
    pub redial_us: u64,
    pub apply_us: f64,
    pub rehome_us: u64,
    pub supervisors: usize,
    pub tick_us: u64,
    pub lines_per_s: f64,
    pub head: f64,
    pub way_us: f64,
    pub way_most_us: f64,
    pub backlog: f64,
    pub messages_most: usize,
    pub load_reports: bool,
    pub load_with_answers: bool,
    pub refresh_us: u64,
    pub period_us: u64,
    pub reports_late_us: u64,
    pub intake_per_s: f64,
    pub reports_noise: f64,
    pub list_least_us: f64,
    pub list_most_us: f64,
    pub list_silent_us: f64,
    pub same_us: f64,
    pub cross_us: f64,
    pub client_way_us: f64,
    pub jitter: f64,
    pub connect_timeout_us: u64,
    pub idle_close_us: u64,
    pub probes: bool,
    pub probe_ms: f64,
    pub probe_timeout_us: u64,
    pub probes_per_core: f64,
    pub probes_deep: bool,
    pub unserved_us: u64,
    pub drain_grace_us: u64,
    pub fall_multiple: f64,
    pub fall_us: u64,
    pub service: Service,
    pub troubles: Vec<Trouble>,
}

/// Reads a scenario as written; only the form is checked.
pub fn parse(text: &str) -> Result<pb::Scenario, TextError> {
    chutegrade_textproto::parse(SCHEMA, MESSAGE, text)
}

/// Reads and checks a scenario; all faults at once.
pub fn read(text: &str) -> Result<Scenario, Vec<TextError>> {
    let written = parse(text).map_err(|wrong| vec![wrong])?;
    Scenario::try_from(&written).map_err(|faults| {
        faults
            .into_iter()
            .map(|(field, said)| TextError {
                position: find_field(text, field),
                message: said,
            })
            .collect()
    })
}

/// A scenario as text, one field a line.
pub fn write(scenario: &pb::Scenario) -> String {
    chutegrade_textproto::write(SCHEMA, MESSAGE, scenario).unwrap_or_default()
}

/// A scenario with a change: single fields are replaced, lists grow.
pub fn with_change(scenario: &pb::Scenario, change: &pb::Scenario) -> pb::Scenario {
    let mut changed = scenario.clone();
    // What this very schema wrote it can read.
    let _ = changed.merge(change.encode_to_vec().as_slice());
    changed
}

/// A digest of all that a scenario says.
pub fn digest(scenario: &pb::Scenario) -> String {
    blake3::hash(&scenario.encode_to_vec())
        .to_hex()
        .as_str()
        .get(..16)
        .unwrap_or_default()
        .to_string()
}

/// A field and what is wrong with it.
pub type Said = (&'static str, String);

struct Checker(Vec<Said>);

impl Checker {
    fn fault(&mut self, field: &'static str, said: impl Into<String>) {
        self.0.push((field, said.into()));
    }

    /// A figure, or what holds without it; it must lie between two bounds.
    fn figure(
        &mut self,
        field: &'static str,
        given: Option<f64>,
        usual: f64,
        least: f64,
        most: f64,
    ) -> f64 {
        let value = given.unwrap_or(usual);
        if !(least..=most).contains(&value) {
            self.fault(
                field,
                format!("{field} is {value}: give a figure from {least} to {most}"),
            );
        }
        value
    }

    fn share(&mut self, field: &'static str, given: Option<f64>, usual: f64) -> f64 {
        self.figure(field, given, usual, 0.0, 1.0)
    }

    fn us(&mut self, field: &'static str, given: Option<f64>, usual: f64, unit: f64) -> u64 {
        (self.figure(field, given, usual, 0.0, SECONDS_MOST * 1e6 / unit) * unit) as u64
    }

    fn count(
        &mut self,
        field: &'static str,
        given: Option<u32>,
        usual: u32,
        least: u32,
        most: u32,
    ) -> usize {
        self.figure(
            field,
            given.map(f64::from),
            usual.into(),
            least.into(),
            most.into(),
        ) as usize
    }

    fn names<'a>(&mut self, field: &'static str, names: impl Iterator<Item = &'a str>) {
        let mut seen = std::collections::BTreeSet::new();
        let twice: Vec<&str> = names.filter(|name| !seen.insert(*name)).collect();
        if let Some(name) = twice.first() {
            self.fault(field, format!("{name:?} is named twice"));
        }
        if seen.len() > PARTS_MOST {
            self.fault(
                field,
                format!("{} are too many: at most {PARTS_MOST}", seen.len()),
            );
        }
    }
}

const MS: f64 = 1e3;
const S: f64 = 1e6;

fn kind(c: &mut Checker, of: &pb::Kind, number: usize) -> Kind {
    let cores = c.count("cores", of.cores, 2, 1, 1024) as f64;
    let per_core = |value: f64| (value * cores).round().max(1.0);
    let slots =
        per_core(c.figure("slots_per_core", of.slots_per_core, 4.0, 0.1, 10_000.0)) as usize;
    let queue =
        (c.figure("queue_per_core", of.queue_per_core, 10.0, 0.0, 1e6) * cores).round() as usize;
    Kind {
        name: of
            .name
            .clone()
            .unwrap_or_else(|| format!("kind-{}", number + 1)),
        servers: c.count("servers", of.servers, 1, 0, SIZE_MOST),
        cores,
        speed: c.figure("speed", of.speed, 1.0, 0.001, 1000.0),
        speed_cv: c.figure("speed_cv", of.speed_cv, 0.15, 0.0, 2.0),
        slots,
        queue,
        cold_from: c.figure("cold_from", of.cold_from, 0.3, 0.01, 1.0),
        cold_us: c.us("cold_s", of.cold_s, 10.0, S),
        connections: per_core(c.figure(
            "connections_per_core",
            of.connections_per_core,
            110.0,
            1.0,
            1e6,
        )) as u32,
        handshake_ms: c.figure("handshake_ms", of.handshake_ms, 5.0, 0.0, 10_000.0),
        error_rate: c.share("error_rate", of.error_rate, 0.0005),
        cancel: match of.cancel() {
            Cancel::Unspecified => Cancel::Waiting,
            given => given,
        },
        thrash: c.figure("thrash", of.thrash, 0.1, 0.0, 100.0),
        thrash_at: c.figure("thrash_at", of.thrash_at, 5.0, 0.0, 10_000.0),
        full_tax: c.share("full_tax", of.full_tax, 0.2),
    }
}

fn class(c: &mut Checker, of: &pb::Class, number: usize) -> Class {
    let aim_us = c.us("aim_ms", of.aim_ms, 600.0, MS);
    let deadline_us = c.us("deadline_ms", of.deadline_ms, 2000.0, MS);
    if deadline_us < aim_us {
        c.fault("deadline_ms", "the deadline lies before the aim");
    }
    let window = Micros(c.us("window_ms", of.window_ms, 10_000.0, MS) as i64);
    Class {
        name: of
            .name
            .clone()
            .unwrap_or_else(|| format!("class-{}", number + 1)),
        share: c.figure("share", of.share, 1.0, 0.0, 1e6),
        work_ms: c.figure("work_ms", of.work_ms, 100.0, 0.01, 1e6),
        work_cv: c.figure("work_cv", of.work_cv, 0.6, 0.0, 10.0),
        try_cv: c.figure("try_cv", of.try_cv, 0.2, 0.0, 10.0),
        aim_us,
        deadline_us,
        worth: c.figure("worth", of.worth, 1.0, 0.0, 1e6),
        late_worth: c.share("late_worth", of.late_worth, 0.1),
        effect: match of.effect() {
            pb::Effect::Keyed => {
                policy::Idempotency::Keyed(policy::DeduplicationScope::All, window)
            }
            pb::Effect::Unsafe => policy::Idempotency::NotIdempotent,
            pb::Effect::Safe | pb::Effect::Unspecified => policy::Idempotency::Idempotent,
        },
        home_only: of.home_only.unwrap_or(false),
    }
}

fn trouble(c: &mut Checker, of: &pb::Trouble, zones: &[String]) -> Trouble {
    if of.sort() == Sort::Unspecified {
        c.fault("trouble", "a trouble without a sort");
    }
    let zone = of.zone.as_ref().and_then(|name| {
        let known = zones.iter().position(|zone| zone == name);
        if known.is_none() {
            c.fault("trouble", format!("no zone {name:?}"));
        }
        known
    });
    if matches!(of.sort(), Sort::ZoneLost | Sort::Way) && of.zone.is_none() {
        c.fault(
            "trouble",
            format!("{} needs a zone", of.sort().as_str_name()),
        );
    }
    let from_us = c.us("at_s", of.at_s, 0.0, S);
    // What a size means without being given: nothing faster than twice as slow, as much again, half of it.
    let usual = match of.sort() {
        Sort::FailFast | Sort::Neighbour => 0.5,
        Sort::FrontEndsStand | Sort::Way => 500.0,
        _ => 2.0,
    };
    let most = if matches!(of.sort(), Sort::FailFast | Sort::Neighbour) {
        1.0
    } else {
        1e6
    };
    let extra = match of.sort() {
        Sort::Neighbour => 2.0,
        Sort::Heavy => 0.02,
        Sort::Replace => 8.0,
        Sort::Handshake => 200.0,
        _ => 0.0,
    };
    Trouble {
        sort: of.sort(),
        from_us,
        to_us: from_us + c.us("length_s", of.length_s, 10.0, S),
        part: c.share("part", of.part, 0.1),
        size: c.figure("size", of.size, usual, 0.0, most),
        extra: c.figure("extra", of.extra, extra, 0.0, 1e6),
        zone,
        ramp_us: c.us("ramp_s", of.ramp_s, 0.0, S),
    }
}

fn points(c: &mut Checker, given: &[pb::Point]) -> Vec<(f64, f64)> {
    let points: Vec<(f64, f64)> = given
        .iter()
        .map(|point| (point.at_s() * S, point.factor.unwrap_or(1.0)))
        .collect();
    if points.windows(2).any(|two| two[0].0 >= two[1].0) {
        c.fault("point", "points must be given in the order of their times");
    }
    if points
        .iter()
        .any(|(at, factor)| *at < 0.0 || !(0.0..=1000.0).contains(factor))
    {
        c.fault(
            "point",
            "a point's factor must lie from 0 to 1000, and its time not before the start",
        );
    }
    points
}

impl TryFrom<&pb::Scenario> for Scenario {
    type Error = Vec<Said>;

    fn try_from(of: &pb::Scenario) -> Result<Self, Vec<Said>> {
        let c = &mut Checker(Vec::new());
        let zones = if of.zone.is_empty() {
            vec!["a".to_string()]
        } else {
            of.zone.clone()
        };
        c.names("zone", zones.iter().map(String::as_str));
        let kinds: Vec<Kind> = of
            .kind
            .iter()
            .enumerate()
            .map(|(n, kind_of)| kind(c, kind_of, n))
            .collect();
        c.names("kind", kinds.iter().map(|kind| kind.name.as_str()));
        let servers: usize = kinds.iter().map(|kind| kind.servers).sum();
        if servers == 0 || servers > SIZE_MOST as usize {
            c.fault(
                "kind",
                format!("{servers} servers: give from 1 to {SIZE_MOST}"),
            );
        }
        let classes: Vec<Class> = of
            .class
            .iter()
            .enumerate()
            .map(|(n, class_of)| class(c, class_of, n))
            .collect();
        c.names("class", classes.iter().map(|class| class.name.as_str()));
        let shares: f64 = classes.iter().map(|class| class.share).sum();
        if classes.is_empty() || shares <= 0.0 {
            c.fault("class", "no class that anything comes of");
        }
        if of.trouble.len() > PARTS_MOST {
            c.fault(
                "trouble",
                format!("{} are too many: at most {PARTS_MOST}", of.trouble.len()),
            );
        }
        let troubles = of.trouble.iter().map(|of| trouble(c, of, &zones)).collect();
        let load = of.load.clone().unwrap_or_default();
        let clients = of.clients.unwrap_or_default();
        let front = of.front_ends.unwrap_or_default();
        let supervisors = of.supervisors.unwrap_or_default();
        let reports = of.reports.unwrap_or_default();
        let discovery = of.discovery.unwrap_or_default();
        let network = of.network.unwrap_or_default();
        let probes = of.probes.unwrap_or_default();
        let rules = of.rules.unwrap_or_default();
        let service = of.service.unwrap_or_default();
        let lines_per_s = c.figure("lines_per_s", supervisors.lines_per_s, 9500.0, 1.0, 1e9);
        let least = c.figure("notice_least_s", discovery.notice_least_s, 0.8, 0.0, 3600.0);
        let most = c.figure(
            "notice_most_s",
            discovery.notice_most_s,
            4.0_f64.max(least),
            least,
            3600.0,
        );
        // Work that comes in a second at a rate of 1, against what all servers do in a second.
        let work: f64 = classes
            .iter()
            .map(|class| class.share * class.work_ms / 1e3)
            .sum::<f64>()
            / shares.max(1e-9);
        let capacity: f64 = kinds
            .iter()
            .map(|kind| kind.servers as f64 * kind.cores * kind.speed)
            .sum();
        let level = c.figure("level", load.level, 0.5, 0.0, 100.0);
        let scenario = Scenario {
            name: of.name.clone().unwrap_or_else(|| "unnamed".to_string()),
            duration_us: c.us("seconds", of.seconds, 60.0, S),
            rate: c.figure(
                "rate",
                load.rate,
                level * capacity / work.max(1e-9),
                0.0,
                RATE_MOST,
            ),
            points: points(c, &load.point),
            zone_skew: c.figure("zone_skew", load.zone_skew, 0.1, 0.0, 0.9),
            client_retries: c.count("retries", clients.retries, 1, 0, 20) as u32,
            client_try_share: c.figure("try_share", clients.try_share, 0.7, 0.01, 1.0),
            client_backoff_us: c.us("backoff_ms", clients.backoff_ms, 100.0, MS) as f64,
            client_backoff_growth: c.figure(
                "backoff_growth",
                clients.backoff_growth,
                2.0,
                1.0,
                10.0,
            ),
            proxies: c.count("count", front.count, 6, 1, SIZE_MOST),
            pick: match front.pick() {
                Pick::Unspecified => Pick::Random,
                given => given,
            },
            avoids_after: c.count("avoids_after", front.avoids_after, 3, 0, 1000) as u32,
            avoids_us: c.us("avoids_s", front.avoids_s, 5.0, S),
            standing: c.count("standing", front.standing, 8, 1, SIZE_MOST),
            first_wait: c.figure("first_wait", front.first_wait, 1.0, 0.01, 100.0),
            usual_retry: match front.usual_retry() {
                pb::Retry::Never => policy::Retry::Never,
                pb::Retry::Once => policy::Retry::Once,
                pb::Retry::Twice => policy::Retry::Twice,
                pb::Retry::Unrun | pb::Retry::Unspecified => policy::Retry::IfNotExecuted,
            },
            admits: front.admits.unwrap_or(true),
            notice_us: c.us("notice_ms", front.notice_ms, 1000.0, MS),
            redial_us: c.us("redial_ms", front.redial_ms, 200.0, MS),
            apply_us: c.figure("apply_us", front.apply_us, 30.0, 0.0, 1e6),
            rehome_us: c.us("rehome_s", front.rehome_s, 8.0, S),
            supervisors: c.count("count", supervisors.count, 2, 1, 256),
            tick_us: c.us("tick_ms", supervisors.tick_ms, 4.0, MS).max(1),
            lines_per_s,
            head: c.figure("head", supervisors.head, 3.0, 0.0, 1e6),
            way_us: c.us("way_ms", supervisors.way_ms, 250.0, MS) as f64,
            way_most_us: c.us("way_most_ms", supervisors.way_most_ms, 700.0, MS) as f64,
            backlog: c.figure("backlog", supervisors.backlog, 1.5 * lines_per_s, 1.0, 1e12),
            messages_most: c.count("messages_most", supervisors.messages_most, 0, 0, 1_000_000),
            load_reports: reports.load.unwrap_or(true),
            load_with_answers: reports.with_answers.unwrap_or(true),
            refresh_us: c.us("refresh_ms", reports.refresh_ms, 500.0, MS),
            period_us: c.us("period_s", reports.period_s, 1.0, S).max(1000),
            reports_late_us: c.us("late_ms", reports.late_ms, 600.0, MS),
            intake_per_s: c.figure("intake_per_s", reports.intake_per_s, 800.0, 1.0, 1e9),
            reports_noise: c.figure("noise", reports.noise, 0.1, 0.0, 2.0),
            list_least_us: least * S,
            list_most_us: most * S,
            list_silent_us: c.us("silent_s", discovery.silent_s, 8.0, S) as f64,
            same_us: c.us("same_ms", network.same_ms, 0.2, MS) as f64,
            cross_us: c.us("cross_ms", network.cross_ms, 0.6, MS) as f64,
            client_way_us: c.us("client_ms", network.client_ms, 0.05, MS) as f64,
            jitter: c.figure("jitter", network.jitter, 0.25, 0.0, 1.0),
            connect_timeout_us: c.us("connect_timeout_ms", network.connect_timeout_ms, 250.0, MS),
            idle_close_us: c.us("idle_close_s", network.idle_close_s, 15.0, S),
            probes: probes.allowed.unwrap_or(true),
            probe_ms: c.figure("work_ms", probes.work_ms, 4.0, 0.0, 10_000.0),
            probe_timeout_us: c.us("timeout_ms", probes.timeout_ms, 300.0, MS),
            probes_per_core: c.figure("most_per_core", probes.most_per_core, 3.0, 0.1, 1000.0),
            probes_deep: probes.deep.unwrap_or(false),
            unserved_us: c.us("unserved_s", rules.unserved_s, 5.0, S),
            drain_grace_us: c.us("drain_grace_s", rules.drain_grace_s, 3.0, S),
            fall_multiple: c.figure("fall_multiple", rules.fall_multiple, 3.0, 1.0, 1000.0),
            fall_us: c.us("fall_s", rules.fall_s, 3.0, S),
            service: Service {
                whole: c.share("whole", service.whole, 0.55),
                worst_window: c.share("worst_window", service.worst_window, 0.2),
                worst_class: c.share("worst_class", service.worst_class, 0.1),
                nines: c.share("nines", service.nines, 0.15),
                nines_full: c.figure("nines_full", service.nines_full, 2.0, 0.1, 12.0),
                window_s: c.figure("window_s", service.window_s, 10.0, 1.0, 3600.0) as usize,
            },
            zones,
            kinds,
            classes,
            troubles,
        };
        if c.0.is_empty() {
            Ok(scenario)
        } else {
            Err(std::mem::take(&mut c.0))
        }
    }
}

impl Scenario {
    /// How many servers there are at the start.
    pub fn servers(&self) -> usize {
        self.kinds.iter().map(|kind| kind.servers).sum()
    }

    /// What demand is multiplied by at a time, troubles aside.
    pub fn demand(&self, at_us: u64) -> f64 {
        let at = at_us as f64;
        match self.points.iter().position(|(time, _)| *time > at) {
            None => self.points.last().map_or(1.0, |(_, factor)| *factor),
            Some(0) => self.points.first().map_or(1.0, |(_, factor)| *factor),
            Some(next) => {
                let ((from, low), (to, high)) = (self.points[next - 1], self.points[next]);
                low + (high - low) * (at - from) / (to - from)
            }
        }
    }

    /// What the decisions are told, for a supervisor of a zone.
    pub fn settings(&self, zone: usize) -> policy::Settings {
        let micros = |us: u64| Micros(i64::try_from(us).unwrap_or(i64::MAX));
        let class = |class: &Class| policy::Class {
            latency_objective: micros(class.aim_us),
            deadline: micros(class.deadline_us),
            priority_weight: class.worth,
            idempotency: class.effect,
            zone_local: class.home_only,
        };
        let coldest = self
            .kinds
            .iter()
            .map(|kind| kind.cold_from)
            .fold(1.0, f64::min);
        let longest = self
            .kinds
            .iter()
            .map(|kind| kind.cold_us)
            .max()
            .unwrap_or(0);
        policy::Settings {
            instances: self.supervisors,
            zones: self.zones.len(),
            zone: policy::ZoneId(zone as u16),
            classes: self.classes.iter().map(class).collect(),
            proxies: self.proxies,
            admission_unit: if self.admits {
                policy::AdmissionUnit::Share
            } else {
                policy::AdmissionUnit::Unsupported
            },
            default_retry: self.usual_retry,
            attempt_timeout_factor: self.first_wait,
            pick_policy: match self.pick {
                Pick::Rotate => policy::PickPolicy::WeightedRoundRobin,
                Pick::LeastOfTwo => policy::PickPolicy::PowerOfTwoChoices,
                Pick::Random | Pick::Unspecified => policy::PickPolicy::Random,
            },
            proxy_ejection_threshold: self.avoids_after,
            listed_weight: policy::ListedWeight::ApproximateSize,
            report_source: match (self.load_reports, self.load_with_answers) {
                (false, _) => policy::ReportSource::None,
                (true, true) => policy::ReportSource::ResponsesAndHealthChecks,
                (true, false) => policy::ReportSource::HealthChecks,
            },
            report_period: micros(self.period_us),
            health_checks_allowed: self.probes,
            health_check_cost: 0.02,
            zone_crossing_cost: 0.01,
            channel_backlog: self.backlog,
            channel_lines_per_second: self.lines_per_s,
            message_overhead: self.head,
            max_delivery_delay: micros(self.way_most_us as u64),
            idle_timeout: micros(self.idle_close_us),
            max_messages: self.messages_most,
            message_window: Micros(10_000_000),
            max_unserved: micros(self.unserved_us),
            drain_grace: micros(self.drain_grace_us),
            slow_start_share: coldest,
            slow_start_period: micros(longest),
            overload_multiple: self.fall_multiple,
            overload_window: micros(self.fall_us),
            ..policy::Settings::default()
        }
    }
}

#[cfg(test)]
mod tests;
