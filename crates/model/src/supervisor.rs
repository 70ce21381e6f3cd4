//! A supervisor of the model: the real engine behind a channel of limited pace, fed with late and limited reports and a list
//! that lags; or a baseline in the engine's place, for comparison only.

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

/// How late the ideal sees the truth where nothing is said, in milliseconds: about what reports take in service.
pub const DEFAULT_IDEAL_DELAY_MS: u32 = 500;

/// What decides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Control {
    /// The engine and the decision module.
    #[default]
    Module,
    /// All listed servers by their listed weights, changes as the list tells them.
    Fixed,
    /// Nobody: front ends keep the tables that they start with.
    Nobody,
    /// One that sees the true speed of all servers, so many milliseconds late, and whose orders cost nothing.
    Ideal(u32),
}

/// What makes another build's decisions, from settings and a seed.
pub type PolicyFactory = dyn Fn(&Settings, u64) -> Box<dyn DecisionPolicy> + Send + Sync;

/// Another build's decisions in the module's place.
#[derive(Clone)]
pub struct AlternativePolicy {
    /// What tells it from others.
    pub name: String,
    /// What makes them for each start of a supervisor.
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

/// What decides at all supervisors, and by which rules of the operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Setup {
    /// What decides.
    pub control: Control,
    /// Another build's module, where the control is the module.
    pub alternative_policy: Option<AlternativePolicy>,
    /// Texts of plug-ins, with the names of their files; only the module takes advice.
    pub plugins: Vec<(String, String)>,
    /// Reduced service, limits and budgets; only the module takes them.
    pub limits: Option<limits::Limits>,
    /// What comes, in the place of what the scenario draws.
    pub traffic: Option<Arc<Traffic>>,
}

/// The classes of a scenario, as limits need them.
fn classes(scenario: &Scenario) -> Vec<Class> {
    let own = scenario.settings(0).classes;
    own.iter()
        .zip(&scenario.classes)
        .map(|(class, of)| chutegrade_overload_control::overload_class(of.name.clone(), class))
        .collect()
}

impl Setup {
    /// Whether limits, and classes and zones of the traffic, fit a scenario; a sentence if not.
    pub fn validate_for(&self, scenario: &Scenario) -> Result<(), String> {
        if let Some(of) = &self.limits {
            OverloadConfig::read(of, Some(&classes(scenario))).map_err(|faults| {
                let said: Vec<String> = faults.iter().map(ToString::to_string).collect();
                format!("limits: {}", said.join("; "))
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

    /// What the classes, and the zones, of recorded traffic are in a scenario.
    pub fn recorded(&self, scenario: &Scenario) -> (Vec<Option<usize>>, Vec<Option<usize>>) {
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

    /// Levels, limits and budgets of one supervisor, if they are wanted and fit.
    pub fn service(
        &self,
        scenario: &Scenario,
        engine: &mut Engine,
    ) -> Option<Box<OverloadController>> {
        let plan = OverloadConfig::read(self.limits.as_ref()?, Some(&classes(scenario))).ok()?;
        Some(Box::new(OverloadController::new(
            plan,
            engine,
            Micros(scenario.period_us as i64),
        )))
    }

    /// Whether the plug-ins compile; a sentence if not.
    pub fn validate_plugins(&self) -> Result<(), String> {
        let refused = PluginAdvisor::default()
            .load(&self.plugins)
            .err()
            .unwrap_or_default();
        match refused.first() {
            None => Ok(()),
            Some(one) => {
                let first = one
                    .diagnostics
                    .first()
                    .map(ToString::to_string)
                    .unwrap_or_default();
                Err(format!("{}:{first}", one.name))
            }
        }
    }

    /// The rules of one supervisor, loaded.
    pub fn rules(&self) -> PluginAdvisor {
        let mut rules = PluginAdvisor::default();
        // What does not compile was told when the setup was checked; here it is no rule.
        let _ = rules.load(&self.plugins);
        rules
    }
}

/// What a supervisor knows of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    /// It is listed.
    pub listed: bool,
    /// Its life.
    pub life: Lifecycle,
    /// Its start, if it did not run from the beginning.
    pub started_us: Option<u64>,
    /// When it was learned that it drains or is gone.
    pub drains_since: Option<u64>,
    /// When its start was learned.
    pub start_learned: u64,
    /// Number of the news.
    pub seq: u32,
}

/// What front ends of a zone met at a server, since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Tries that ended.
    pub tries: f64,
    /// Those without a good answer.
    pub failed: f64,
    /// Time of the good ones, in milliseconds.
    pub sum_ms: f64,
    /// Newest load: queue and service time.
    pub load: Option<(f64, f64)>,
}

/// What decides at one supervisor.
pub enum Mind {
    /// The engine.
    Engine(
        Box<Engine>,
        Box<PluginAdvisor>,
        Option<Box<OverloadController>>,
    ),
    /// A baseline; whether it has something new to order.
    Plain(bool),
}

/// A supervisor.
pub struct Supervisor {
    /// Its zone.
    pub zone: usize,
    /// It runs.
    pub up: bool,
    /// It stands still until then.
    pub still_until: u64,
    /// Number of its start.
    pub epoch: u32,
    /// What decides.
    pub mind: Mind,
    /// When the pending tick is due, and its number.
    pub tick: Option<(u64, u32)>,
    /// Ticks asked for so far.
    pub ticks: u32,
    /// When it last ticked.
    pub ticked_us: u64,
    /// When its channel is free.
    pub free_us: f64,
    /// What it knows of the servers, by number.
    pub seen: Vec<Seen>,
    /// Sums by zone and server.
    pub sums: BTreeMap<(usize, u32), Tally>,
    /// Reports on their way, by when they can be had.
    pub intake: VecDeque<(u64, Report)>,
    /// An intake is under way.
    pub taking: bool,
    /// Joined front ends by stream.
    pub streams: BTreeMap<u64, u32>,
    /// Streams so far.
    pub streams_made: u64,
}

impl Supervisor {
    /// One that knows the list as it is at the beginning.
    pub fn new(zone: usize, mind: Mind, servers: usize) -> Self {
        let listed = Seen {
            listed: true,
            ..Seen::default()
        };
        Supervisor {
            zone,
            up: true,
            still_until: 0,
            epoch: 0,
            mind,
            tick: None,
            ticks: 0,
            ticked_us: 0,
            free_us: 0.0,
            seen: vec![listed; servers],
            sums: BTreeMap::new(),
            intake: VecDeque::new(),
            taking: false,
            streams: BTreeMap::new(),
            streams_made: 0,
        }
    }

    /// What it knows of a server.
    pub fn of(&self, server: u32) -> Seen {
        self.seen.get(server as usize).copied().unwrap_or_default()
    }

    /// News of a server; older news than it has is passed over. Whether it was news.
    pub fn learn(
        &mut self,
        now: u64,
        server: usize,
        life: Lifecycle,
        started_us: Option<u64>,
        seq: u32,
    ) -> bool {
        if self.seen.len() <= server {
            self.seen.resize(server + 1, Seen::default());
        }
        let seen = &mut self.seen[server];
        if seen.listed && seen.seq >= seq {
            return false;
        }
        let drains = life != Lifecycle::InService;
        let start_learned = if seen.started_us == started_us {
            seen.start_learned
        } else {
            now
        };
        let drains_since = drains.then(|| seen.drains_since.unwrap_or(now));
        *seen = Seen {
            listed: true,
            life,
            started_us,
            drains_since,
            start_learned,
            seq,
        };
        true
    }

    /// Whether a warm server in service is listed that a class may use from a zone.
    pub fn lists_warm(
        &self,
        now: u64,
        servers: &[Server],
        cold_us: u64,
        home: Option<usize>,
    ) -> bool {
        self.seen.iter().zip(servers).any(|(seen, server)| {
            let warm = seen
                .started_us
                .is_none_or(|started| started + cold_us <= now);
            let open = home.is_none_or(|zone| zone == server.zone);
            seen.listed && seen.life == Lifecycle::InService && warm && open
        })
    }

    /// An entry of the list as it knows it.
    pub fn entry(&self, scenario: &Scenario, server: usize, of: &Server) -> NamedEndpoint {
        let seen = self.of(server as u32);
        NamedEndpoint {
            name: of.name.to_string(),
            address: server.to_string(),
            zone: scenario.zones[of.zone].clone(),
            machine_kind: scenario.kinds[of.kind].name.clone(),
            cell: 0,
            lifecycle: seen.life,
            weight: of.listed,
            started_at: seen.started_us.map(|us| Micros(us as i64)),
        }
    }

    /// The whole list as it knows it.
    pub fn list(&self, scenario: &Scenario, servers: &[Server]) -> Vec<NamedEndpoint> {
        let known = self.seen.iter().zip(servers).enumerate();
        let listed = known.filter(|(_, (seen, _))| seen.listed && seen.life != Lifecycle::Removed);
        listed
            .map(|(at, (_, server))| self.entry(scenario, at, server))
            .collect()
    }

    /// Sums since the last report, as reports with some noise.
    pub fn report(
        &mut self,
        scenario: &Scenario,
        servers: &[Server],
        mut noise: impl FnMut() -> f64,
    ) -> Vec<Report> {
        let period = Micros(scenario.period_us as i64);
        let sums = std::mem::take(&mut self.sums);
        let report = |((zone, server), of): ((usize, u32), Tally)| {
            let good = of.tries - of.failed;
            let mean_ms = if good > 0.0 {
                of.sum_ms / good * noise()
            } else {
                0.0
            };
            let load = of
                .load
                .filter(|_| scenario.load_reports && scenario.load_with_answers)
                .map_or(LoadReport::default(), |(queue, latency_ms)| LoadReport {
                    queued: Some(queue),
                    latency_ms: Some(latency_ms),
                    ..LoadReport::default()
                });
            Report::ServerOutcomes {
                zone: scenario.zones[zone].clone(),
                server: servers[server as usize].name.to_string(),
                attempts: of.tries,
                failed: of.failed,
                mean_latency_ms: mean_ms,
                period,
                load,
            }
        };
        sums.into_iter().map(report).collect()
    }
}

/// The whole table that a baseline gives to all front ends of a zone: a part for each group of classes.
pub fn whole(
    scenario: &Scenario,
    servers: &[Server],
    zone: usize,
    weight: impl Fn(usize) -> f64,
) -> Order {
    let rows = |home: bool| -> Vec<ServerWeight> {
        let all = servers
            .iter()
            .enumerate()
            .filter(|(_, server)| !home || server.zone == zone);
        let weighed =
            all.map(|(at, server)| ServerWeight::new(Rc::clone(&server.name), weight(at)));
        weighed.filter(|of| of.weight > 0.0).collect()
    };
    let classes = |home: bool| -> Vec<Rc<str>> {
        let of = scenario
            .classes
            .iter()
            .filter(|class| class.home_only == home);
        of.map(|class| Rc::from(class.name.as_str())).collect()
    };
    let part = |home: bool| TableUpdate {
        classes: classes(home),
        replace: true,
        weights: rows(home),
        admission: None,
    };
    let parts = [false, true]
        .map(part)
        .into_iter()
        .filter(|part| !part.classes.is_empty())
        .collect();
    Order {
        updates: parts,
        ..Order::default()
    }
}

/// Lines that an order costs, its head not counted.
pub fn lines(order: &Order) -> f64 {
    let part = |part: &TableUpdate| {
        part.weights.len() + usize::from(part.replace) + usize::from(part.admission.is_some())
    };
    let lines: usize = order.updates.iter().map(part).sum();
    (lines + order.suspended.len() + order.resumed.len() + usize::from(order.acknowledge.is_some()))
        as f64
}
