//! A simulated fleet around one engine: its clock, servers and proxies, and their reports.

use std::collections::{BTreeMap, VecDeque};

use chutegrade_emulators::tables::CLASSES;
use chutegrade_engine::{
    DeploymentNames, EndpointUpdateKind, Engine, HealthCheck, HealthCheckOutcome, Lifecycle,
    LoadReport, Micros, NamedEndpoint, Report, Settings, StreamId,
};
use proptest::prelude::*;
use serde_json::json;

use super::channel::{count_lines, Arrival, Message, PendingAcknowledgement, ProxyState};
use super::checks::WarmUpSample;
use super::conditions::Conditions;
use crate::protocol::encode::encode_order;

/// Simulated time of one step.
pub const STEP: Micros = Micros(20_000);
/// Number of steps in one run.
const STEPS: u32 = 1200;
/// Number of steps before the first disturbance.
const FIRST_DISTURBANCE_STEP: u32 = 100;
/// Interval of the reports on servers and proxies, in steps.
const REPORT_STEPS: u32 = 50;
/// Interval of the checks of proxies and servers, in steps.
const CHECK_STEPS: u32 = 10;
/// Interval of the checks of proxies and servers.
pub const CHECK_INTERVAL: Micros = Micros(CHECK_STEPS as i64 * STEP.0);
/// Duration of a server's warm-up.
pub const WARM_UP_TIME: Micros = Micros(8_000_000);
/// Fraction of its capacity that a server has at its start.
pub const WARM_UP_START: f64 = 0.3;
/// Work that a warming server may receive over [`OVERLOAD_WINDOW`], as a multiple of its capacity.
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Window over which the work and the capacity of a warming server are compared.
pub const OVERLOAD_WINDOW: Micros = Micros(3_000_000);
/// Maximum time for which a proxy may have no server to pick.
pub const UNSERVED_LIMIT: Micros = Micros(5_000_000);
/// Window of the limit on messages to one proxy.
pub const UPDATE_WINDOW: Micros = Micros(10_000_000);
/// How long proxies may pick a server after it starts to drain.
const DRAIN_GRACE: Micros = Micros(2_000_000);
/// Maximum transit time of a message or an acknowledgement.
const MAX_DELAY: Micros = Micros(200_000);
/// Duration of a health check.
const HEALTH_CHECK_TIME: Micros = Micros(5000);

/// The rules that a run checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checks {
    /// The limits of the channel only.
    Channel,
    /// Also the tables of proxies and the load of warming servers; the channel must be fast enough for the time limits.
    ChannelAndProxies,
}

pub const ZONES: [&str; 2] = ["a", "b"];

/// State of a server as last reported.
pub struct ServerState {
    pub lifecycle: Lifecycle,
    pub started_at: Option<Micros>,
    pub reported_at: Micros,
}

impl ServerState {
    pub fn in_service(&self) -> bool {
        self.lifecycle == Lifecycle::InService
    }
}

/// A scheduled reconnect of a proxy.
pub struct Reconnect {
    pub at: Micros,
    /// Whether the proxy has lost its tables.
    pub has_lost_state: bool,
}

pub struct Simulation {
    pub conditions: Conditions,
    pub engine: Engine,
    pub now: Micros,
    random_state: u64,
    /// Maximum number of lines queued in the channel.
    pub backlog: f64,
    pub lines_per_s: f64,
    pub drain_grace: Micros,
    pub max_delay: Micros,
    pub channel: VecDeque<Message>,
    pub stalled_steps: u32,
    pub arrivals: VecDeque<Arrival>,
    pub acknowledgements: VecDeque<PendingAcknowledgement>,
    pub proxies: Vec<ProxyState>,
    pub reconnects: BTreeMap<u32, Reconnect>,
    pub last_stream: u64,
    pub servers: BTreeMap<String, ServerState>,
    /// Number of queued requests that every server reports.
    pub queued: f64,
    /// Health checks whose results are deferred; `None` while they are reported at once.
    pub deferred_checks: Option<Vec<HealthCheck>>,
    /// Number of restarts of each server.
    pub restarts: BTreeMap<String, u16>,
    /// Load samples of each warming server from the time at which all proxies must know of its start.
    pub warm_up_samples: BTreeMap<String, VecDeque<WarmUpSample>>,
    /// Arriving work as a multiple of the capacity of one server.
    pub demand: f64,
}

/// Returns the zone of a proxy or server.
pub fn zone_of(number: usize) -> String {
    ZONES[number % ZONES.len()].to_string()
}

/// Returns the requests per second that arrive at a proxy.
pub fn request_rate(proxy: usize) -> f64 {
    5.0 + (proxy % 7) as f64
}

fn owned_names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Returns the settings for these conditions, with at most `backlog` queued lines and `lines_per_s` sent per second.
fn settings(conditions: &Conditions, backlog: f64, lines_per_s: f64) -> Settings {
    let classes = CLASSES.map(|name| {
        json!({"name": name, "aimMs": 600, "hardLimitMs": 2000, "worth": 2,
            "effect": if name == CLASSES[0] { "read_like" } else { "non_idempotent" }})
    });
    let json = json!({
        "peersTotal": 2, "zones": ZONES, "locality": 0,
        "classes": classes,
        "familyInfo": {"proxies": f64::from(conditions.proxies), "backlog": backlog, "linesPerS": lines_per_s,
            "fixedCost": conditions.head_lines, "pushDelayMaxMs": MAX_DELAY.0 / 1000, "cycleMs": 1000,
            "levelKind": "fraction", "unservedMaxMs": UNSERVED_LIMIT.0 / 1000, "usualHow": 3,
            "messagesMost": conditions.max_messages, "updateWindowMs": UPDATE_WINDOW.0 / 1000},
        "guarantees": {"drainGraceMs": DRAIN_GRACE.0 / 1000, "coldMs": WARM_UP_TIME.0 / 1000, "coldFrom": WARM_UP_START,
            "fallMultiple": OVERLOAD_MULTIPLE, "overloadForMs": OVERLOAD_WINDOW.0 / 1000},
        "limits": {"probes": true, "idleCloseMs": 15_000}, "weights": "rough",
        "report": {"source": "piggyback", "fields": ["queue"]},
    });
    chutegrade_settings::from_json(&json).expect("settings")
}

impl Simulation {
    pub fn new(conditions: Conditions) -> Simulation {
        let (proxies, servers) = (f64::from(conditions.proxies), f64::from(conditions.servers));
        let head_lines = f64::from(conditions.head_lines);
        // Orders are not divided: the backlog must fit a complete table for one proxy, and a suspension at all proxies.
        let table_lines = head_lines + 8.0 + 4.0 * (servers + f64::from(conditions.added_servers));
        let min_backlog = (table_lines / 0.6).max(proxies * (head_lines + 2.0) / 0.85);
        let backlog = (conditions.backlog * min_backlog).ceil();
        let lines_per_s = (conditions.fleets_per_s * proxies * table_lines).ceil();
        let engine = Engine::new(
            settings(&conditions, backlog, lines_per_s),
            conditions.seed,
            DeploymentNames {
                zones: owned_names(&ZONES),
                classes: owned_names(&CLASSES),
                machine_kinds: vec![],
            },
        );
        let mut simulation = Simulation {
            random_state: conditions.seed,
            engine,
            now: Micros(1_000_000_000),
            backlog,
            lines_per_s,
            drain_grace: DRAIN_GRACE,
            max_delay: MAX_DELAY,
            channel: VecDeque::new(),
            stalled_steps: 0,
            arrivals: VecDeque::new(),
            acknowledgements: VecDeque::new(),
            proxies: (0..conditions.proxies)
                .map(|_| ProxyState::default())
                .collect(),
            reconnects: BTreeMap::new(),
            last_stream: 0,
            servers: BTreeMap::new(),
            queued: 0.0,
            deferred_checks: None,
            restarts: BTreeMap::new(),
            warm_up_samples: BTreeMap::new(),
            demand: servers,
            conditions,
        };
        simulation.add_servers(simulation.conditions.servers, None);
        for proxy in 0..simulation.conditions.proxies {
            let reconnect = Reconnect {
                at: simulation.now,
                has_lost_state: true,
            };
            simulation.reconnects.insert(proxy, reconnect);
        }
        simulation
    }

    /// Returns a number below `limit` from a linear congruential generator.
    pub fn draw(&mut self, limit: u64) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % limit.max(1)
    }

    pub fn report(&mut self, report: Report) {
        // The engine correctly rejects reports on streams that have ended.
        let _ = self.engine.report(report);
    }

    /// Returns the endpoint of a server as discovery delivers it.
    pub fn endpoint(&self, name: &str) -> NamedEndpoint {
        let server = &self.servers[name];
        let number: usize = name[1..].parse().expect("a number");
        let restarts = self.restarts.get(name).copied().unwrap_or_default();
        NamedEndpoint {
            name: name.to_string(),
            address: format!("127.0.0.1:{}", 9 + restarts),
            zone: zone_of(number),
            machine_kind: "k".to_string(),
            cell: 0,
            lifecycle: server.lifecycle,
            weight: 4.0,
            started_at: server.started_at,
        }
    }

    /// Changes servers and reports the changes.
    pub fn change_servers(
        &mut self,
        names: Vec<String>,
        lifecycle: Lifecycle,
        started_at: Option<Micros>,
    ) {
        for name in &names {
            let server = ServerState {
                lifecycle,
                started_at,
                reported_at: self.now,
            };
            self.servers.insert(name.clone(), server);
        }
        self.report_endpoints(EndpointUpdateKind::Delta, &names);
    }

    pub fn report_endpoints(&mut self, kind: EndpointUpdateKind, names: &[String]) {
        let endpoints = names.iter().map(|name| self.endpoint(name)).collect();
        self.report(Report::EndpointList(kind, endpoints));
    }

    /// Adds servers in service.
    pub fn add_servers(&mut self, count: u32, started_at: Option<Micros>) {
        let first = self.servers.len();
        let names = (first..first + count as usize)
            .map(|number| format!("s{number}"))
            .collect();
        self.change_servers(names, Lifecycle::InService, started_at);
    }

    /// Returns at most `max` random servers with one of these lifecycles.
    pub fn draw_servers(&mut self, max: u32, lifecycles: &[Lifecycle]) -> Vec<String> {
        let mut names: Vec<String> = self
            .servers
            .iter()
            .filter(|(_, server)| lifecycles.contains(&server.lifecycle))
            .map(|(name, _)| name.clone())
            .collect();
        while names.len() > max as usize {
            let position = self.draw(names.len() as u64) as usize;
            names.swap_remove(position);
        }
        names
    }

    /// Returns the proxies that have a stream, with their ids.
    pub fn joined_proxies(&self) -> impl Iterator<Item = (usize, &ProxyState)> {
        self.proxies
            .iter()
            .enumerate()
            .filter(|(_, proxy)| proxy.stream.is_some())
    }

    /// Reports that a proxy has opened a stream.
    pub fn report_stream_opened(&mut self, stream: StreamId, proxy: u32, has_no_table: bool) {
        self.report(Report::StreamOpened {
            stream,
            proxy,
            zone: zone_of(proxy as usize),
            request_rate: request_rate(proxy as usize),
            has_no_table,
        });
    }

    /// Reports the traffic of the last second, as proxies and collectors do.
    fn report_traffic(&mut self) {
        let load = LoadReport {
            queued: Some(self.queued),
            ..LoadReport::default()
        };
        let period = Micros(1_000_000);
        let in_service = self.draw_servers(u32::MAX, &[Lifecycle::InService]);
        for (position, server) in in_service.into_iter().enumerate() {
            self.report(Report::ServerOutcomes {
                zone: zone_of(position),
                server,
                attempts: 8.0,
                failed: 0.0,
                mean_latency_ms: 120.0,
                period,
                load,
            });
        }
        for proxy in 0..self.conditions.proxies {
            self.report(Report::ProxyDemand {
                proxy,
                class: CLASSES[0].to_string(),
                arrivals: 6.0,
                failed: 0.0,
                period,
            });
        }
    }

    /// Runs one tick of the engine, answers its health checks and queues its orders in the channel.
    fn tick(&mut self) -> Result<(), TestCaseError> {
        self.engine.tick(self.now);
        while let Some(check) = self.engine.take_health_check() {
            match &mut self.deferred_checks {
                Some(deferred_checks) => deferred_checks.push(check),
                None => self.report_health_check(check, HealthCheckOutcome::Passed),
            }
        }
        for stream in self.engine.take_streams_with_orders() {
            let Some(order) = self.engine.take_order(stream) else {
                continue;
            };
            let text = encode_order(&order);
            let mut proxies = self.proxies.iter();
            let Some(proxy) = proxies.position(|proxy| proxy.stream == Some(stream)) else {
                continue;
            };
            self.channel.push_back(Message {
                proxy: proxy as u32,
                stream,
                lines: count_lines(&text, self.conditions.head_lines),
                text,
            });
            self.check_channel(proxy)?;
        }
        Ok(())
    }

    pub fn report_health_check(&mut self, check: HealthCheck, outcome: HealthCheckOutcome) {
        self.report(Report::HealthChecked {
            check,
            outcome,
            elapsed: HEALTH_CHECK_TIME,
            load: LoadReport::default(),
        });
    }

    /// Runs all steps with these checks.
    pub fn run(&mut self, checks: Checks) -> Result<(), TestCaseError> {
        let mut disturbances = self.conditions.disturbances.clone().into_iter();
        let mut next_disturbance_step = FIRST_DISTURBANCE_STEP;
        for step in 0..STEPS {
            self.now = self.now + STEP;
            self.send_messages();
            self.deliver();
            self.open_due_streams();
            // Disturbances without a pause between them happen in the same tick.
            while step == next_disturbance_step {
                let Some(next) = disturbances.next() else {
                    break;
                };
                self.disturb(next.disturbance);
                next_disturbance_step += next.pause_steps;
            }
            if step % REPORT_STEPS == 0 {
                self.report_traffic();
            }
            self.tick()?;
            if checks == Checks::ChannelAndProxies && step % CHECK_STEPS == 0 {
                self.check_proxies()?;
                self.check_warming_servers()?;
                self.mark_served_proxies();
            }
        }
        Ok(())
    }

    fn mark_served_proxies(&mut self) {
        for proxy in &mut self.proxies {
            let is_served = CLASSES
                .iter()
                .all(|class| !proxy.tables.picks(class).is_empty());
            if is_served {
                proxy.last_served_at = self.now;
            }
        }
    }
}
