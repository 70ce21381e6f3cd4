//! A simulated supervisor: the real engine behind a channel of limited throughput, with delayed and rate limited reports and
//! a delayed endpoint list; or a baseline instead of the engine, for comparison.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use chutegrade_engine::{
    DecisionPolicy, Engine, Lifecycle, LoadReport, Micros, NamedEndpoint, Order, Report,
    ServerWeight, TableUpdate,
};
use chutegrade_plugin_advisor::PluginAdvisor;

use chutegrade_limits::{pb as limits, Class, OverloadConfig};
use chutegrade_overload_control::OverloadController;
use chutegrade_policy::Settings;
use chutegrade_traffic::Traffic;

use crate::scenario::Scenario;
use crate::server::Server;

/// Default delay of the ideal controller's information, in milliseconds: about the delay of reports in production.
pub const DEFAULT_IDEAL_DELAY_MS: u32 = 500;

/// Controller of all supervisors.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Control {
    /// The engine with the decision module.
    #[default]
    Module,
    /// All listed servers that are in service by their listed weights, updated with the endpoint list.
    Fixed,
    /// No control: proxies keep their initial tables.
    Nobody,
    /// Knows the true capacity of all servers, this many milliseconds late; its orders use no channel capacity.
    Ideal(u32),
}

/// Creates a decision policy from settings and a seed.
pub type PolicyFactory = dyn Fn(&Settings, u64) -> Box<dyn DecisionPolicy> + Send + Sync;

/// A decision policy that replaces the built-in module, such as that of another build.
#[derive(Clone)]
pub struct AlternativePolicy {
    /// Distinguishes the policy from others; part of the key of stored results.
    pub name: String,
    /// Creates the policy at each start of a supervisor.
    pub create: Arc<PolicyFactory>,
}

impl std::fmt::Debug for AlternativePolicy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.name)
    }
}

impl PartialEq for AlternativePolicy {
    fn eq(&self, other: &Self) -> bool {
        self.name == other.name
    }
}

/// Controller of all supervisors, with the operator's configuration, and recorded traffic.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Setup {
    /// Controller of all supervisors.
    pub control: Control,
    /// Replaces the decision module if the controller is [`Control::Module`].
    pub alternative_policy: Option<AlternativePolicy>,
    /// File names and source texts of plug-ins; only [`Control::Module`] uses them.
    pub plugins: Vec<(String, String)>,
    /// Service levels, limits and budgets; only [`Control::Module`] uses them.
    pub limits: Option<limits::Limits>,
    /// Recorded requests that replace the random arrivals.
    pub traffic: Option<Arc<Traffic>>,
}

/// Converts the classes of a scenario to those of the overload configuration.
fn classes(scenario: &Scenario) -> Vec<Class> {
    let policy_classes = scenario.settings(0).classes;
    policy_classes
        .iter()
        .zip(&scenario.classes)
        .map(|(class, scenario_class)| {
            chutegrade_overload_control::overload_class(scenario_class.name.clone(), class)
        })
        .collect()
}

impl Setup {
    /// Validates the limits, and the classes and zones of the traffic, for a scenario; returns all errors of the limits, or
    /// the first of the traffic, as text.
    pub fn validate_for(&self, scenario: &Scenario) -> Result<(), String> {
        if let Some(limits) = &self.limits {
            OverloadConfig::read(limits, Some(&classes(scenario))).map_err(|errors| {
                let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
                format!("limits: {}", messages.join("; "))
            })?;
        }
        let Some(traffic) = &self.traffic else {
            return Ok(());
        };
        let unknown = |name: &&String| scenario.classes.iter().all(|class| class.name != **name);
        if let Some(name) = traffic.classes.iter().find(unknown) {
            return Err(format!("traffic: the scenario has no class {name:?}"));
        }
        match traffic
            .zones
            .iter()
            .find(|name| !scenario.zones.contains(name))
        {
            Some(name) => Err(format!("traffic: the scenario has no zone {name:?}")),
            None => Ok(()),
        }
    }

    /// Maps the classes and the zones of the recorded traffic to indices in the scenario; empty without traffic.
    pub fn traffic_indices(&self, scenario: &Scenario) -> (Vec<Option<usize>>, Vec<Option<usize>>) {
        let Some(traffic) = &self.traffic else {
            return Default::default();
        };
        let class = |name: &String| {
            scenario
                .classes
                .iter()
                .position(|class| class.name == *name)
        };
        let zone = |name: &String| scenario.zones.iter().position(|zone| zone == name);
        (
            traffic.classes.iter().map(class).collect(),
            traffic.zones.iter().map(zone).collect(),
        )
    }

    /// Creates the overload controller of a supervisor; `None` without limits or if they are invalid.
    pub fn overload_controller(
        &self,
        scenario: &Scenario,
        engine: &mut Engine,
    ) -> Option<Box<OverloadController>> {
        let config = OverloadConfig::read(self.limits.as_ref()?, Some(&classes(scenario))).ok()?;
        Some(Box::new(OverloadController::new(
            config,
            engine,
            Micros(scenario.report_period_us as i64),
        )))
    }

    /// Compiles and loads the plug-ins together; returns the first error as text.
    pub fn validate_plugins(&self) -> Result<(), String> {
        let load_errors = PluginAdvisor::default()
            .load(&self.plugins)
            .err()
            .unwrap_or_default();
        match load_errors.first() {
            None => Ok(()),
            Some(file_error) => {
                let first = file_error
                    .diagnostics
                    .first()
                    .map(ToString::to_string)
                    .unwrap_or_default();
                Err(format!("{}:{first}", file_error.name))
            }
        }
    }

    /// Creates the plug-in advisor of a supervisor.
    pub fn plugin_advisor(&self) -> PluginAdvisor {
        let mut advisor = PluginAdvisor::default();
        // `validate_plugins` reports errors; on an error no plug-in is loaded here.
        let _ = advisor.load(&self.plugins);
        advisor
    }
}

/// A supervisor's information about a server, from discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownServer {
    /// Whether discovery has reported the server.
    pub listed: bool,
    /// Lifecycle according to the last update.
    pub lifecycle: Lifecycle,
    /// Time of the start; `None` if it has run since before the simulation.
    pub started_us: Option<u64>,
    /// Time when the supervisor was notified that it is draining or removed.
    pub draining_since: Option<u64>,
    /// Time when the supervisor was notified of the start.
    pub start_known_since: u64,
    /// Sequence number of the last update.
    pub seq: u32,
}

/// Attempts of the proxies of a zone at a server since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptTotals {
    /// Attempts that ended.
    pub attempts: f64,
    /// Attempts that failed or were not executed.
    pub failed: f64,
    /// Sum of the durations of successful attempts, in milliseconds.
    pub latency_sum_ms: f64,
    /// Last load that a response reported: queued requests, and service time in milliseconds.
    pub load: Option<(f64, f64)>,
}

/// Controller of one supervisor.
pub enum Controller {
    /// The engine, with the plug-in advisor and, if configured, the overload controller.
    Engine(
        Box<Engine>,
        Box<PluginAdvisor>,
        Option<Box<OverloadController>>,
    ),
    /// A baseline; true if the endpoint list or the streams have changed since its last order.
    Baseline(bool),
}

/// A supervisor of the simulated fleet.
pub struct Supervisor {
    /// Index of the supervisor's zone in the scenario.
    pub zone: usize,
    /// Whether the process runs.
    pub is_up: bool,
    /// The supervisor does not tick before this time.
    pub paused_until_us: u64,
    /// Incremented when the process stops; events of an earlier epoch are ignored.
    pub epoch: u32,
    /// Controller of this supervisor; replaced at each start.
    pub controller: Controller,
    /// Time and number of the scheduled tick; tick events with another number are ignored.
    pub pending_tick: Option<(u64, u32)>,
    /// Number of the last scheduled tick.
    pub scheduled_ticks: u32,
    /// Time of the last tick.
    pub last_tick_us: u64,
    /// Time when the channel will have sent all queued lines.
    pub channel_free_us: f64,
    /// Information about the servers, by number.
    pub known_servers: Vec<KnownServer>,
    /// Attempts since the last report, by zone and server.
    pub attempt_totals: BTreeMap<(usize, u32), AttemptTotals>,
    /// Reports that the engine has not received yet, with the times from which it can.
    pub pending_reports: VecDeque<(u64, Report)>,
    /// Whether a report intake event is scheduled.
    pub intake_scheduled: bool,
    /// Proxies by stream number.
    pub streams: BTreeMap<u64, u32>,
    /// Number of the last opened stream.
    pub last_stream: u64,
}

impl Supervisor {
    /// Creates a running supervisor with all initial servers listed.
    pub fn new(zone: usize, controller: Controller, servers: usize) -> Self {
        let listed = KnownServer {
            listed: true,
            ..KnownServer::default()
        };
        Supervisor {
            zone,
            is_up: true,
            paused_until_us: 0,
            epoch: 0,
            controller,
            pending_tick: None,
            scheduled_ticks: 0,
            last_tick_us: 0,
            channel_free_us: 0.0,
            known_servers: vec![listed; servers],
            attempt_totals: BTreeMap::new(),
            pending_reports: VecDeque::new(),
            intake_scheduled: false,
            streams: BTreeMap::new(),
            last_stream: 0,
        }
    }

    /// Returns the information about a server; the default if discovery has not reported it.
    pub fn known_server(&self, server: u32) -> KnownServer {
        self.known_servers
            .get(server as usize)
            .copied()
            .unwrap_or_default()
    }

    /// Applies an update of a server if it is newer than the last one; returns whether it was applied.
    pub fn update_server(
        &mut self,
        now_us: u64,
        server: usize,
        lifecycle: Lifecycle,
        started_us: Option<u64>,
        seq: u32,
    ) -> bool {
        if self.known_servers.len() <= server {
            self.known_servers
                .resize(server + 1, KnownServer::default());
        }
        let known = &mut self.known_servers[server];
        if known.listed && known.seq >= seq {
            return false;
        }
        let is_leaving = lifecycle != Lifecycle::InService;
        let start_known_since = if known.started_us == started_us {
            known.start_known_since
        } else {
            now_us
        };
        let draining_since = is_leaving.then(|| known.draining_since.unwrap_or(now_us));
        *known = KnownServer {
            listed: true,
            lifecycle,
            started_us,
            draining_since,
            start_known_since,
            seq,
        };
        true
    }

    /// Returns whether a server that is in service and past slow start is listed, in the required zone if there is one.
    pub fn has_warm_server(
        &self,
        now_us: u64,
        servers: &[Server],
        slow_start_us: u64,
        required_zone: Option<usize>,
    ) -> bool {
        self.known_servers
            .iter()
            .zip(servers)
            .any(|(known, server)| {
                let is_warm = known
                    .started_us
                    .is_none_or(|started_us| started_us + slow_start_us <= now_us);
                let is_reachable = required_zone.is_none_or(|zone| zone == server.zone);
                known.listed && known.lifecycle == Lifecycle::InService && is_warm && is_reachable
            })
    }

    /// Returns the entry of a server in the endpoint list.
    pub fn endpoint(&self, scenario: &Scenario, index: usize, server: &Server) -> NamedEndpoint {
        let known = self.known_server(index as u32);
        NamedEndpoint {
            name: server.name.to_string(),
            address: index.to_string(),
            zone: scenario.zones[server.zone].clone(),
            machine_kind: scenario.kinds[server.kind].name.clone(),
            cell: 0,
            lifecycle: known.lifecycle,
            weight: server.listed_weight,
            started_at: known.started_us.map(|us| Micros(us as i64)),
        }
    }

    /// Returns the whole endpoint list.
    pub fn endpoints(&self, scenario: &Scenario, servers: &[Server]) -> Vec<NamedEndpoint> {
        let known = self.known_servers.iter().zip(servers).enumerate();
        let listed =
            known.filter(|(_, (known, _))| known.listed && known.lifecycle != Lifecycle::Removed);
        listed
            .map(|(index, (_, server))| self.endpoint(scenario, index, server))
            .collect()
    }

    /// Returns reports on the attempts since the last call, with noise on the latencies.
    pub fn take_reports(
        &mut self,
        scenario: &Scenario,
        servers: &[Server],
        mut noise: impl FnMut() -> f64,
    ) -> Vec<Report> {
        let period = Micros(scenario.report_period_us as i64);
        let totals = std::mem::take(&mut self.attempt_totals);
        let to_report = |((zone, server), totals): ((usize, u32), AttemptTotals)| {
            let succeeded = totals.attempts - totals.failed;
            let mean_ms = if succeeded > 0.0 {
                totals.latency_sum_ms / succeeded * noise()
            } else {
                0.0
            };
            let load = totals
                .load
                .filter(|_| scenario.load_reports && scenario.load_with_responses)
                .map_or(LoadReport::default(), |(queue, latency_ms)| LoadReport {
                    queued: Some(queue),
                    latency_ms: Some(latency_ms),
                    ..LoadReport::default()
                });
            Report::ServerOutcomes {
                zone: scenario.zones[zone].clone(),
                server: servers[server as usize].name.to_string(),
                attempts: totals.attempts,
                failed: totals.failed,
                mean_latency_ms: mean_ms,
                period,
                load,
            }
        };
        totals.into_iter().map(to_report).collect()
    }
}

/// Returns a baseline's order for all proxies of a zone: one table for zone-local classes, and one for the others.
pub fn baseline_order(
    scenario: &Scenario,
    servers: &[Server],
    zone: usize,
    weight: impl Fn(usize) -> f64,
) -> Order {
    let rows = |zone_local: bool| -> Vec<ServerWeight> {
        let candidates = servers
            .iter()
            .enumerate()
            .filter(|(_, server)| !zone_local || server.zone == zone);
        let weighted = candidates
            .map(|(index, server)| ServerWeight::new(Rc::clone(&server.name), weight(index)));
        weighted.filter(|row| row.weight > 0.0).collect()
    };
    let classes = |zone_local: bool| -> Vec<Rc<str>> {
        let matching = scenario
            .classes
            .iter()
            .filter(|class| class.zone_local == zone_local);
        matching
            .map(|class| Rc::from(class.name.as_str()))
            .collect()
    };
    let update = |zone_local: bool| TableUpdate {
        classes: classes(zone_local),
        replace: true,
        weights: rows(zone_local),
        admission: None,
    };
    let updates = [false, true]
        .map(update)
        .into_iter()
        .filter(|update| !update.classes.is_empty())
        .collect();
    Order {
        updates,
        ..Order::default()
    }
}

/// Returns the number of lines of an order, without the overhead of the message.
pub fn order_lines(order: &Order) -> f64 {
    let update_lines = |update: &TableUpdate| {
        update.weights.len() + usize::from(update.replace) + usize::from(update.admission.is_some())
    };
    let line_count: usize = order.updates.iter().map(update_lines).sum();
    (line_count
        + order.suspended.len()
        + order.resumed.len()
        + usize::from(order.acknowledge.is_some())) as f64
}
