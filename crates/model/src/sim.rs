//! The run: events in virtual time, from a client's coming to the order that follows from it.

use std::collections::VecDeque;
use std::rc::Rc;

use chutegrade_engine::AdmissionLevel;
use chutegrade_engine::{
    DeploymentNames, EndpointUpdateKind, Engine, HealthCheck, HealthCheckOutcome, Lifecycle,
    LoadReport, Micros, Order, Report, Retry, StreamId,
};
use chutegrade_policy::Idempotency;
use chutegrade_traffic::Traffic;
use rustc_hash::FxHashMap;
use slotmap::{new_key_type, SlotMap};

use crate::fault::FaultState;
use crate::measure::{LevelChange, Metrics, Outcome, RequestOutcome};
use crate::proxy::{Connection, Proxy, Table};
use crate::queue::{EventQueue, WheelQueue};
use crate::random::{Purpose, RandomSource};
use crate::rules::{check_warm_up_load, may_repeat, BrokenRules, Rule, WarmUpLoad};
use crate::scenario::Scenario;
use crate::server::{AcceptResult, Position, Server, ServerState};
use crate::supervisor::{baseline_order, order_lines, AttemptTotals, Controller, Supervisor};

pub use crate::supervisor::{Control, Setup};

new_key_type! {
    /// An attempt at a server.
    pub struct AttemptKey;
    /// A client's request.
    pub struct RequestKey;
}

/// Virtual time at which runs begin, in microseconds: the decisions take 0 for long ago.
const START_US: u64 = 1_000_000_000;
/// Time between two looks at rules that hold over time, in microseconds.
const RULE_CHECK_PERIOD_US: u64 = 200_000;
/// Time between two turns of intake, in microseconds.
const INTAKE_PERIOD_US: u64 = 50_000;
/// Time between two turns of a baseline, in microseconds.
const BASELINE_PERIOD_US: u64 = 1_000_000;
/// After the last arrival a run goes on for so long at most, in microseconds: the longest deadlines are seconds.
const MAX_RUNOUT_US: u64 = 30_000_000;
/// Longest gap between two arrivals that is drawn at once, in microseconds: demand moves meanwhile.
const MAX_GAP_US: f64 = 250_000.0;
/// Time to answer with an error, in microseconds.
const ERROR_RESPONSE_US: u64 = 1_000;
/// Time over which messages to one front end are counted, in microseconds.
const MESSAGE_WINDOW_US: u64 = 10_000_000;

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A good answer.
    Succeeded,
    /// It surely did not run: no connection, or turned away.
    NotExecuted,
    /// It failed, or nobody knows.
    Failed,
}

/// A probe on its way.
#[derive(Debug)]
pub struct PendingHealthCheck {
    supervisor: u32,
    epoch: u32,
    server: u32,
    sent_us: u64,
    check: HealthCheck,
}

/// A message on its way to a front end.
#[derive(Debug)]
pub struct Message {
    proxy: u32,
    epoch: u32,
    supervisor: u32,
    stream: u64,
    sent_us: u64,
    order: Rc<Order>,
}

/// What happens.
#[derive(Debug)]
#[allow(missing_docs)]
pub enum Event {
    Arrival,
    ClientAttempt {
        request: RequestKey,
        client_attempt: u32,
    },
    AttemptArrival {
        attempt: AttemptKey,
        is_new_connection: bool,
    },
    WorkCompletion {
        server: u32,
        version: u32,
    },
    Response {
        attempt: AttemptKey,
        end: AttemptOutcome,
    },
    ClientTimeout {
        request: RequestKey,
        client_attempt: u32,
    },
    AttemptTimeout {
        attempt: AttemptKey,
    },
    Cancel {
        attempt: AttemptKey,
    },
    SecondEnd,
    RuleCheck,
    ReportCollection {
        supervisor: u32,
        epoch: u32,
    },
    ReportIntake {
        supervisor: u32,
        epoch: u32,
    },
    Tick {
        supervisor: u32,
        number: u32,
    },
    StreamOpening {
        proxy: u32,
        epoch: u32,
    },
    Rehome {
        proxy: u32,
        epoch: u32,
    },
    Message(Box<Message>),
    Ack {
        supervisor: u32,
        epoch: u32,
        stream: u64,
        sequence: u16,
        elapsed: u64,
    },
    HealthCheckArrival(Box<PendingHealthCheck>),
    HealthCheckEnd(Box<(PendingHealthCheck, HealthCheckOutcome, LoadReport, bool)>),
    EndpointUpdate {
        supervisor: u32,
        server: u32,
        lifecycle: Lifecycle,
        started_us: Option<u64>,
        seq: u32,
    },
    EndpointSnapshot {
        supervisor: u32,
        epoch: u32,
    },
    FaultBegin(u32),
    FaultEnd(u32),
    FaultUpdate(u32),
    DrainBegin {
        server: u32,
        fault: u32,
    },
    ServerRemoval {
        server: u32,
    },
    ServerReplacement {
        server: u32,
    },
}

/// A client's request, until it is answered or given up.
#[derive(Debug)]
struct Request {
    class: usize,
    zone: usize,
    arrived_us: u64,
    work_ms: f64,
    attempt_noise: [f64; 2],
    client_attempt: u32,
    attempt_count: u32,
    proxy: u32,
    /// When the first try that may have run was sent, in any coming, and in this one.
    maybe_executed_us: Option<u64>,
    client_attempt_maybe_executed: bool,
    current_attempt: Option<AttemptKey>,
    executions: u32,
}

#[derive(Debug)]
struct Attempt {
    request: RequestKey,
    client_attempt: u32,
    proxy: u32,
    server: u32,
    sent_us: u64,
    work_ms: f64,
    position: Position,
    is_abandoned: bool,
    /// The server has died since, or the way lost it: nothing more comes of it.
    is_connected: bool,
}

/// A run under way.
pub struct Simulation<'a, Q: EventQueue<Event>> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) seed: u64,
    pub(crate) now: u64,
    queue: Q,
    setup: &'a Setup,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Attempt>,
    pub(crate) servers: Vec<Server>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) supervisors: Vec<Supervisor>,
    pub(crate) fault_states: Vec<FaultState>,
    pub(crate) has_link_faults: bool,
    watched_faulty: Vec<(u32, u64)>,
    /// Servers whose trouble ended while nobody picked them, since when.
    watched_recovered: Vec<(u32, u64)>,
    proxies_by_zone: Vec<Vec<u32>>,
    server_numbers: FxHashMap<Rc<str>, u32>,
    endpoint_versions: Vec<u32>,
    is_silent: Vec<bool>,
    capacity_history: VecDeque<(u64, Vec<f64>)>,
    metrics: Metrics,
    broken_rules: BrokenRules,
    events: u64,
    random_sources: RandomSources,
    /// Parts of all classes together, and what a request takes in the mean.
    class_share_sum: f64,
    mean_work_ms: f64,
    max_slow_start_us: u64,
    /// Recorded requests that have come.
    replayed_count: usize,
    /// What the classes, and the zones, of recorded traffic are here.
    traffic_indices: (Vec<Option<usize>>, Vec<Option<usize>>),
}

struct RandomSources {
    arrivals: RandomSource,
    requests: RandomSource,
    links: RandomSource,
    clients: RandomSource,
    reports: RandomSource,
    discovery: RandomSource,
    errors: RandomSource,
    initial_tables: RandomSource,
    servers: RandomSource,
}

/// Plays a scenario without plug-ins.
pub fn run(scenario: &Scenario, control: Control, seed: u64) -> Outcome {
    play(
        scenario,
        &Setup {
            control,
            ..Setup::default()
        },
        seed,
    )
}

/// Plays a scenario. The same scenario, setup and seed give the same outcome to the bit.
pub fn play(scenario: &Scenario, setup: &Setup, seed: u64) -> Outcome {
    run_on(scenario, setup, seed, WheelQueue::default()).0
}

/// A finished run: its outcome, and the queue that it ran on.
pub type Run<Q> = (Outcome, Q);

/// Plays a scenario on a given queue.
pub fn run_on<Q: EventQueue<Event>>(
    scenario: &Scenario,
    setup: &Setup,
    seed: u64,
    queue: Q,
) -> Run<Q> {
    let mut sim = Simulation::new(scenario, setup, seed, queue);
    sim.start_run();
    sim.process_events();
    sim.finish()
}

impl<'a, Q: EventQueue<Event>> Simulation<'a, Q> {
    fn new(scenario: &'a Scenario, setup: &'a Setup, seed: u64, queue: Q) -> Self {
        let random = |source| RandomSource::new(seed, source, 0);
        let random_sources = RandomSources {
            arrivals: random(Purpose::Arrivals),
            requests: random(Purpose::Requests),
            links: random(Purpose::Links),
            clients: random(Purpose::Clients),
            reports: random(Purpose::Reports),
            discovery: random(Purpose::Discovery),
            errors: random(Purpose::Errors),
            initial_tables: random(Purpose::InitialTables),
            servers: random(Purpose::Servers),
        };
        let class_share_sum: f64 = scenario.classes.iter().map(|class| class.share).sum();
        let work: f64 = scenario
            .classes
            .iter()
            .map(|class| class.share * class.work_ms)
            .sum();
        Simulation {
            scenario,
            seed,
            now: START_US,
            queue,
            setup,
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            servers: Vec::new(),
            proxies: Vec::new(),
            supervisors: Vec::new(),
            fault_states: vec![FaultState::default(); scenario.faults.len()],
            has_link_faults: scenario
                .faults
                .iter()
                .any(|fault| fault.kind == crate::scenario::FaultKind::Way),
            watched_faulty: Vec::new(),
            watched_recovered: Vec::new(),
            proxies_by_zone: vec![Vec::new(); scenario.zones.len()],
            server_numbers: FxHashMap::default(),
            endpoint_versions: Vec::new(),
            is_silent: Vec::new(),
            capacity_history: VecDeque::new(),
            metrics: Metrics::new(scenario),
            broken_rules: BrokenRules::default(),
            events: 0,
            random_sources,
            class_share_sum,
            mean_work_ms: work / class_share_sum.max(1e-9),
            max_slow_start_us: scenario
                .kinds
                .iter()
                .map(|kind| kind.slow_start_us)
                .max()
                .unwrap_or(0),
            replayed_count: 0,
            traffic_indices: setup.traffic_indices(scenario),
        }
    }

    pub(crate) fn push(&mut self, at: u64, event: Event) {
        self.queue.push(at, event);
    }

    /// Time since the run began, in microseconds.
    fn elapsed(&self) -> u64 {
        self.now - START_US
    }

    fn add_server(&mut self, kind: usize, zone: usize) -> usize {
        let number = self.servers.len();
        let name: Rc<str> = format!("s-{number:05}").into();
        let of = &self.scenario.kinds[kind];
        let faster = self.random_sources.servers.log_normal(of.speed_cv);
        self.servers
            .push(Server::new(Rc::clone(&name), zone, kind, of, faster));
        self.server_numbers.insert(name, number as u32);
        self.endpoint_versions.push(0);
        self.is_silent.push(false);
        number
    }

    fn initial_table(&mut self, zone: usize) -> Table {
        let home: Vec<usize> = (0..self.servers.len())
            .filter(|at| {
                self.servers[*at].state == ServerState::Up && self.servers[*at].zone == zone
            })
            .collect();
        let all = || {
            (0..self.servers.len())
                .filter(|at| self.servers[*at].state == ServerState::Up)
                .collect()
        };
        let from: Vec<usize> = if home.len() >= 3 { home } else { all() };
        let chosen = self
            .random_sources
            .initial_tables
            .sample_indices(from.len(), self.scenario.initial_table_size);
        Table::new(
            chosen
                .into_iter()
                .map(|at| (from[at] as u32, self.servers[from[at]].listed_weight))
                .collect(),
        )
    }

    fn new_controller(&self, supervisor: usize, epoch: u32) -> Controller {
        if self.setup.control != Control::Module {
            return Controller::Baseline(true);
        }
        let zone = supervisor % self.scenario.zones.len();
        let seed = RandomSource::new(
            self.seed,
            Purpose::Supervisors,
            supervisor * 1000 + epoch as usize,
        )
        .next_u64();
        let settings = self.scenario.settings(zone);
        let server_numbers = DeploymentNames {
            zones: self.scenario.zones.clone(),
            classes: self
                .scenario
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
            machine_kinds: self
                .scenario
                .kinds
                .iter()
                .map(|kind| kind.name.clone())
                .collect(),
        };
        let mut engine = Box::new(match &self.setup.alternative_policy {
            Some(other) => {
                let decides = (other.create)(&settings, seed);
                Engine::with_policy(decides, &settings, server_numbers)
            }
            None => Engine::new(settings, seed, server_numbers),
        });
        let service = self.setup.overload_controller(self.scenario, &mut engine);
        Controller::Engine(engine, Box::new(self.setup.plugin_advisor()), service)
    }

    fn start_run(&mut self) {
        let zones = self.scenario.zones.len();
        let mut update_positions = 0;
        for kind in 0..self.scenario.kinds.len() {
            for _ in 0..self.scenario.kinds[kind].servers {
                self.add_server(kind, update_positions % zones);
                update_positions += 1;
            }
        }
        for at in 0..self.scenario.proxies {
            let standing = self.initial_table(at % zones);
            let random = RandomSource::new(self.seed, Purpose::Picks, at);
            self.proxies_by_zone[at % zones].push(at as u32);
            self.proxies.push(Proxy::new(
                at % zones,
                self.scenario.classes.len(),
                standing,
                random,
            ));
        }
        for at in 0..self.scenario.supervisors {
            let controller = self.new_controller(at, 0);
            self.supervisors
                .push(Supervisor::new(at % zones, controller, self.servers.len()));
            self.init_supervisor(at, EndpointUpdateKind::Snapshot);
        }
        if self.setup.control != Control::Nobody {
            for at in 0..self.proxies.len() {
                self.schedule_stream_opening(at, false);
            }
        }
        for (at, fault) in self.scenario.faults.iter().enumerate() {
            self.queue
                .push(START_US + fault.from_us, Event::FaultBegin(at as u32));
            self.queue
                .push(START_US + fault.to_us, Event::FaultEnd(at as u32));
        }
        self.push(START_US, Event::Arrival);
        self.push(START_US + RULE_CHECK_PERIOD_US, Event::RuleCheck);
        self.push(START_US + 1_000_000, Event::SecondEnd);
    }

    fn process_events(&mut self) {
        let last = START_US + self.scenario.duration_us;
        while let Some((at, event)) = self.queue.pop() {
            if at > last && (self.requests.is_empty() || at > last + MAX_RUNOUT_US) {
                break;
            }
            self.now = at;
            self.events += 1;
            self.handle(event);
        }
    }

    fn finish(mut self) -> Run<Q> {
        let left: Vec<(usize, u64)> = self
            .requests
            .values()
            .map(|of| (of.class, of.arrived_us - START_US))
            .collect();
        for (class, came) in left {
            self.metrics
                .record_request(self.scenario, class, came, RequestOutcome::Failed);
        }
        (
            self.metrics
                .finish(self.scenario, self.broken_rules.finish(), self.events),
            self.queue,
        )
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::ClientAttempt {
                request,
                client_attempt,
            } => self.handle_client_attempt(request, client_attempt),
            Event::AttemptArrival {
                attempt,
                is_new_connection,
            } => self.handle_attempt_arrival(attempt, is_new_connection),
            Event::WorkCompletion { server, version } => {
                self.complete_work(server as usize, version)
            }
            Event::Response { attempt, end } => self.handle_response(attempt, end),
            Event::ClientTimeout {
                request,
                client_attempt,
            } => self.time_out_client(request, client_attempt),
            Event::AttemptTimeout { attempt } => self.time_out_attempt(attempt),
            Event::Cancel { attempt } => self.cancel(attempt),
            Event::SecondEnd => self.end_second(),
            Event::RuleCheck => self.check_rules(),
            Event::ReportCollection { supervisor, epoch } => {
                self.collect_reports(supervisor as usize, epoch)
            }
            Event::ReportIntake { supervisor, epoch } => {
                self.take_in_reports(supervisor as usize, epoch)
            }
            Event::Tick { supervisor, number } => self.tick(supervisor as usize, number),
            Event::StreamOpening { proxy, epoch } => self.open_stream(proxy as usize, epoch),
            Event::Rehome { proxy, epoch } => self.rehome(proxy as usize, epoch),
            Event::Message(message) => self.deliver_message(*message),
            Event::Ack {
                supervisor,
                epoch,
                stream,
                sequence,
                elapsed,
            } => {
                let elapsed = Micros(elapsed as i64);
                let report = Report::Acknowledged {
                    stream: StreamId(stream),
                    sequence: sequence,
                    elapsed: elapsed,
                };
                self.report(supervisor as usize, epoch, report);
            }
            Event::HealthCheckArrival(pending) => self.handle_health_check_arrival(*pending),
            Event::HealthCheckEnd(ended) => self.end_health_check(*ended),
            Event::EndpointUpdate {
                supervisor,
                server,
                lifecycle,
                started_us,
                seq,
            } => {
                self.update_endpoint(
                    supervisor as usize,
                    server as usize,
                    lifecycle,
                    started_us,
                    seq,
                );
            }
            Event::EndpointSnapshot { supervisor, epoch } => {
                self.send_endpoint_snapshot(supervisor as usize, epoch)
            }
            Event::FaultBegin(number) => self.begin_fault(number as usize),
            Event::FaultEnd(number) => self.end_fault(number as usize),
            Event::FaultUpdate(number) => self.update_fault(number as usize),
            Event::DrainBegin { server, fault } => {
                self.begin_drain(server as usize, fault as usize)
            }
            Event::ServerRemoval { server } => self.remove_server(server as usize),
            Event::ServerReplacement { server } => self.start_replacement(server as usize),
        }
    }

    // Clients.

    fn handle_arrival(&mut self) {
        if self.elapsed() >= self.scenario.duration_us {
            return;
        }
        if let Some(traffic) = self.setup.traffic.clone() {
            self.replay(&traffic);
            return;
        }
        let (more, heavy_share, heavy_factor) = self.load_factors();
        let rate = self.scenario.rate * self.scenario.demand(self.elapsed()) * more;
        let gap = if rate > 0.0 {
            self.random_sources.arrivals.exponential(1e6 / rate)
        } else {
            f64::INFINITY
        };
        if gap > MAX_GAP_US {
            // Nothing comes meanwhile; what comes later does not depend on how long nothing came.
            self.push(self.now + MAX_GAP_US as u64, Event::Arrival);
            return;
        }
        self.push(self.now + (gap as u64).max(1), Event::Arrival);
        let random = &mut self.random_sources.requests;
        let mut draw = random.uniform() * self.class_share_sum;
        let class = self.scenario.classes.iter().position(|class| {
            draw -= class.share;
            draw < 0.0
        });
        let class = class.unwrap_or(self.scenario.classes.len() - 1);
        self.add_request(class, None, None, (heavy_share, heavy_factor));
    }

    /// Brings in all recorded requests that came by now. What a record does not say is drawn; troubles weigh on it, but for
    /// bursts: what came is what came.
    fn replay(&mut self, traffic: &Traffic) {
        while let Some(of) = traffic.arrivals.get(self.replayed_count).copied() {
            if of.at_us > self.elapsed() {
                self.push(START_US + of.at_us, Event::Arrival);
                return;
            }
            self.replayed_count += 1;
            let (_, heavy_share, heavy_factor) = self.load_factors();
            let (classes, zones) = &self.traffic_indices;
            let zone = of
                .zone
                .and_then(|zone| zones.get(usize::from(zone)).copied().flatten());
            let Some(class) = classes.get(usize::from(of.class)).copied().flatten() else {
                continue;
            };
            self.add_request(class, zone, of.work_ms, (heavy_share, heavy_factor));
        }
    }

    /// A client's request comes; its zone and its work are drawn where they are not given.
    fn add_request(
        &mut self,
        class: usize,
        zone: Option<usize>,
        work_ms: Option<f64>,
        (heavy_share, heavy_factor): (f64, f64),
    ) {
        let of = &self.scenario.classes[class];
        let random = &mut self.random_sources.requests;
        let (zone_draw, proxy_draw, spread) = (
            random.uniform(),
            random.uniform(),
            random.log_normal(of.work_cv),
        );
        let attempt_noise = [
            random.log_normal(of.attempt_cv),
            random.log_normal(of.attempt_cv),
        ];
        let heavy = random.uniform() < heavy_share;
        let work_ms =
            work_ms.unwrap_or(of.work_ms * spread) * if heavy { heavy_factor } else { 1.0 };
        let zone = zone.unwrap_or_else(|| self.zone_at(zone_draw));
        let proxy = self.choose_proxy(zone, proxy_draw);
        let request = self.requests.insert(Request {
            class,
            zone,
            arrived_us: self.now,
            work_ms,
            attempt_noise,
            client_attempt: 0,
            attempt_count: 0,
            proxy,
            maybe_executed_us: None,
            client_attempt_maybe_executed: false,
            current_attempt: None,
            executions: 0,
        });
        self.metrics.add("offered_ms", work_ms);
        let link_us = self.scenario.client_link_us as u64;
        self.push(
            self.now + link_us,
            Event::ClientAttempt {
                request,
                client_attempt: 0,
            },
        );
    }

    /// The zone to which a share falls: they differ by the skew, the first having most.
    fn zone_at(&self, draw: f64) -> usize {
        let zones = self.scenario.zones.len();
        let weight = |zone: usize| {
            let position = if zones > 1 {
                zone as f64 / (zones - 1) as f64
            } else {
                0.5
            };
            1.0 + self.scenario.zone_skew * (1.0 - 2.0 * position)
        };
        let mut left = draw * (0..zones).map(weight).sum::<f64>();
        let zone = (0..zones).find(|zone| {
            left -= weight(*zone);
            left < 0.0
        });
        zone.unwrap_or(zones - 1)
    }

    fn choose_proxy(&self, zone: usize, draw: f64) -> u32 {
        let proxies = &self.proxies_by_zone[zone];
        match proxies.len() {
            // A zone without front ends of its own uses those of the others.
            0 => ((draw * self.proxies.len() as f64) as u32).min(self.proxies.len() as u32 - 1),
            some => proxies[((draw * some as f64) as usize).min(some - 1)],
        }
    }

    fn handle_client_attempt(&mut self, key: RequestKey, client_attempt: u32) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let proxy = &mut self.proxies[request.proxy as usize];
        if proxy.paused_until_us > self.now {
            // What comes meanwhile waits.
            self.queue.push(
                proxy.paused_until_us,
                Event::ClientAttempt {
                    request: key,
                    client_attempt,
                },
            );
            return;
        }
        (
            request.client_attempt,
            request.attempt_count,
            request.client_attempt_maybe_executed,
            request.current_attempt,
        ) = (client_attempt, 0, false, None);
        let class = request.class;
        let of = &self.scenario.classes[class];
        self.metrics.add("comings", 1.0);
        let deadline = request.arrived_us + of.deadline_us;
        let patience = (of.deadline_us as f64 * self.scenario.client_timeout_share) as u64;
        let last = client_attempt >= self.scenario.client_retries;
        let ends = if last {
            deadline
        } else {
            deadline.min(self.now + patience)
        };
        if !proxy.is_up {
            self.fail_client_attempt(key, true, false);
            return;
        }
        proxy.usage[class].arrivals += 1.0;
        let level = proxy.admission(class).map_or(1.0, |of| of.level);
        if self.scenario.applies_admission && level < 1.0 && proxy.draw_uniform() >= level {
            self.fail_client_attempt(key, true, true);
            return;
        }
        self.push(
            ends,
            Event::ClientTimeout {
                request: key,
                client_attempt,
            },
        );
        self.send_attempt(key, None);
    }

    /// A coming has failed: the client comes again, or not.
    fn fail_client_attempt(&mut self, key: RequestKey, is_unexecuted: bool, refused: bool) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let of = &self.scenario.classes[request.class];
        let proxy = &mut self.proxies[request.proxy as usize];
        if proxy.is_up && !refused {
            proxy.usage[request.class].failed += 1.0;
        }
        let scenario = self.scenario;
        let wait = scenario.client_backoff_us
            * scenario
                .client_backoff_growth
                .powi(request.client_attempt as i32);
        let retry_at_us =
            self.now + (wait * self.random_sources.clients.uniform_between(0.75, 1.25)) as u64;
        let safe = is_unexecuted && !request.client_attempt_maybe_executed
            || may_repeat(of.idempotency, request.maybe_executed_us, retry_at_us);
        let (came, class, zone) = (request.arrived_us, request.class, request.zone);
        if request.client_attempt < scenario.client_retries
            && safe
            && retry_at_us < came + of.deadline_us
        {
            let client_attempt = request.client_attempt + 1;
            let draw = self.random_sources.clients.uniform();
            let proxy = self.choose_proxy(zone, draw);
            if let Some(request) = self.requests.get_mut(key) {
                request.proxy = proxy;
                request.client_attempt = client_attempt;
            }
            self.push(
                retry_at_us,
                Event::ClientAttempt {
                    request: key,
                    client_attempt,
                },
            );
            return;
        }
        self.requests.remove(key);
        let ending = if refused {
            RequestOutcome::Refused
        } else {
            RequestOutcome::Failed
        };
        self.metrics
            .record_request(scenario, class, came - START_US, ending);
    }

    fn time_out_client(&mut self, key: RequestKey, client_attempt: u32) {
        let Some(request) = self
            .requests
            .get_mut(key)
            .filter(|of| of.client_attempt == client_attempt)
        else {
            return;
        };
        let Some(attempt) = request.current_attempt.take() else {
            return;
        };
        self.abandon(attempt);
        self.fail_client_attempt(key, false, false);
    }

    // Front ends.

    fn link_delay(&mut self, from: usize, to: usize) -> (u64, bool) {
        let base = if from == to {
            self.scenario.same_zone_us
        } else {
            self.scenario.cross_zone_us
        };
        let (more, lost) = self.link_faults(from, to);
        let jitter = self.scenario.jitter;
        let us = (base + more)
            * self
                .random_sources
                .links
                .uniform_between(1.0 - jitter, 1.0 + jitter);
        let lost = lost > 0.0 && self.random_sources.links.uniform() < lost;
        (us as u64 + 1, lost)
    }

    fn send_attempt(&mut self, key: RequestKey, excluded: Option<u32>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let (class, at) = (request.class, request.proxy);
        let proxy = &mut self.proxies[at as usize];
        let Some(server) = proxy.pick(self.now, class, self.scenario.pick, excluded) else {
            let is_unexecuted = !request.client_attempt_maybe_executed;
            self.fail_client_attempt(key, is_unexecuted, false);
            return;
        };
        let noise =
            request.attempt_noise[usize::from(request.attempt_count + request.client_attempt > 0)];
        let mut work_ms = request.work_ms * noise;
        request.attempt_count += 1;
        let (client_attempt, attempt_count) = (request.client_attempt, request.attempt_count);
        let zone = proxy.zone;
        let is_new_connection = !proxy.connections.contains_key(&server);
        let connection = proxy.connections.entry(server).or_default();
        (connection.inflight, connection.used_us) = (connection.inflight + 1, self.now);
        let of = &self.servers[server as usize];
        let mut connect = 0;
        if is_new_connection {
            let (heavy_factor, later) = of.effects.handshake;
            work_ms += self.scenario.kinds[of.kind].handshake_ms * heavy_factor;
            connect = later;
            self.metrics.add("connects", 1.0);
        }
        let to = of.zone;
        self.metrics.add("tries", 1.0);
        self.metrics
            .add("crossing", f64::from(u8::from(zone != to)));
        let attempt = self.attempts.insert(Attempt {
            request: key,
            client_attempt,
            proxy: at,
            server,
            sent_us: self.now,
            work_ms,
            position: Position::Elsewhere,
            is_abandoned: false,
            is_connected: true,
        });
        if let Some(request) = self.requests.get_mut(key) {
            request.current_attempt = Some(attempt);
        }
        self.check_attempt_rules(at as usize, server, work_ms);
        let (link_us, lost) = self.link_delay(zone, to);
        // A connection takes a way there and back first.
        let reaches = self.now
            + link_us
            + if is_new_connection {
                2 * link_us + connect
            } else {
                0
            };
        if lost {
            if is_new_connection {
                let ends = self.now + self.scenario.connect_timeout_us;
                self.push(
                    ends,
                    Event::Response {
                        attempt,
                        end: AttemptOutcome::NotExecuted,
                    },
                );
            }
        } else {
            self.push(
                reaches,
                Event::AttemptArrival {
                    attempt,
                    is_new_connection,
                },
            );
        }
        let AdmissionLevel { retry, .. } = self.admission(at as usize, class);
        let most = match retry {
            Retry::Never | Retry::IfNotExecuted => 0,
            Retry::Once => 1,
            Retry::Twice => 2,
        };
        if attempt_count <= most {
            let waits = self.scenario.attempt_timeout_factor
                * self.scenario.classes[class].latency_objective_us as f64;
            self.push(self.now + waits as u64, Event::AttemptTimeout { attempt });
        }
    }

    /// The level and the way of trying again that hold for a class at a front end.
    fn admission(&self, proxy: usize, class: usize) -> AdmissionLevel {
        self.proxies[proxy]
            .admission(class)
            .unwrap_or(AdmissionLevel {
                level: 1.0,
                retry: self.scenario.default_retry,
            })
    }

    /// Rules on what is sent: to whom drains are told, and to whom that is cold.
    fn check_attempt_rules(&mut self, proxy: usize, server: u32, work_ms: f64) {
        let (now, scenario) = (self.now, self.scenario);
        let Some((supervisor, _, since)) = self.proxies[proxy].control_stream else {
            self.check_warm_up(server, work_ms, false);
            return;
        };
        let seen = self.supervisors[supervisor].known_server(server);
        if let Some(learned) = seen.draining_since {
            let until = learned.max(since) + scenario.drain_grace_us;
            if now > until {
                let name = Rc::clone(&self.servers[server as usize].name);
                let late = (now - until) as f64 / 1e6;
                self.broken_rules.record(Rule::Drain, now - START_US, || {
                    format!("front end {proxy} sends to {name} {late:.2} s after the grace")
                });
            }
        }
        let of = &self.servers[server as usize];
        if of.is_warming_up(now) {
            let known = seen.started_us == of.started_us;
            let is_informed = known
                && (self.proxies[proxy].last_sent_us >= seen.start_known_since
                    || now >= seen.start_known_since + scenario.drain_grace_us);
            self.check_warm_up(server, work_ms, is_informed);
        }
    }

    fn check_warm_up(&mut self, server: u32, work_ms: f64, is_informed: bool) {
        let of = &mut self.servers[server as usize];
        if !of.is_warming_up(self.now) || !of.is_running() {
            return;
        }
        let capacity = of.warm_up_capacity(self.now);
        let by = (
            self.scenario.overload_multiple,
            self.scenario.overload_window_us,
            self.mean_work_ms,
        );
        let stands = check_warm_up_load(
            &mut of.warm_up_work,
            (self.now, work_ms, is_informed),
            capacity,
            by,
        );
        if stands == WarmUpLoad::Tolerated {
            return;
        }
        of.failed_warming_up = true;
        let name = Rc::clone(&of.name);
        if stands == WarmUpLoad::KnowinglyOverloaded {
            let at = self.now - START_US;
            self.broken_rules.record(Rule::WarmUp, at, || {
                format!("{name} was pushed over while it was cold")
            });
        }
        self.stop_server(server as usize, false);
    }

    /// An attempt is given up by its front end; the server may be told.
    fn abandon(&mut self, key: AttemptKey) {
        let Some(attempt) = self
            .attempts
            .get_mut(key)
            .filter(|attempt| !attempt.is_abandoned)
        else {
            return;
        };
        attempt.is_abandoned = true;
        let (proxy, server, request, sent) = (
            attempt.proxy as usize,
            attempt.server,
            attempt.request,
            attempt.sent_us,
        );
        if let Some(request) = self.requests.get_mut(request) {
            request.maybe_executed_us.get_or_insert(sent);
            request.client_attempt_maybe_executed = true;
        }
        self.record_attempt_end(proxy, server, sent, AttemptOutcome::Failed);
        let (link_us, lost) =
            self.link_delay(self.proxies[proxy].zone, self.servers[server as usize].zone);
        if !lost {
            self.push(self.now + link_us, Event::Cancel { attempt: key });
        }
    }

    /// What a front end and its supervisor's collectors learn of a try that ended.
    fn record_attempt_end(&mut self, proxy: usize, server: u32, sent_us: u64, end: AttemptOutcome) {
        let (now, scenario) = (self.now, self.scenario);
        let of = &mut self.proxies[proxy];
        if let Some(connection) = of.connections.get_mut(&server) {
            (connection.inflight, connection.used_us) =
                (connection.inflight.saturating_sub(1), now);
        }
        of.record_attempt(
            now,
            server,
            end == AttemptOutcome::Succeeded,
            (scenario.ejection_threshold, scenario.ejection_us),
        );
        let Some((supervisor, ..)) = of.control_stream else {
            return;
        };
        let zone = of.zone;
        let told =
            (end == AttemptOutcome::Succeeded).then(|| self.servers[server as usize].reported_load);
        let totals: &mut AttemptTotals = self.supervisors[supervisor]
            .attempt_totals
            .entry((zone, server))
            .or_default();
        totals.attempts += 1.0;
        match told {
            Some((_, queue, service)) => {
                totals.latency_sum_ms += (now - sent_us) as f64 / 1e3;
                totals.load = Some((queue, service));
            }
            None => totals.failed += 1.0,
        }
    }

    fn handle_response(&mut self, key: AttemptKey, end: AttemptOutcome) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        if attempt.is_abandoned {
            return;
        }
        let Attempt {
            request: request_key,
            proxy,
            server,
            sent_us,
            client_attempt,
            ..
        } = attempt;
        self.record_attempt_end(proxy as usize, server, sent_us, end);
        if end == AttemptOutcome::NotExecuted {
            // A connection that was never made is none.
            self.drop_failed_connection(proxy as usize, server);
        }
        let Some(request) = self
            .requests
            .get_mut(request_key)
            .filter(|of| of.client_attempt == client_attempt)
        else {
            return;
        };
        request.current_attempt = None;
        let (class, came) = (request.class, request.arrived_us);
        match end {
            AttemptOutcome::Succeeded => {
                self.requests.remove(request_key);
                let elapsed = self.now + self.scenario.client_link_us as u64 - came;
                self.metrics.record_request(
                    self.scenario,
                    class,
                    came - START_US,
                    RequestOutcome::Answered(elapsed),
                );
            }
            AttemptOutcome::NotExecuted => self.retry_or_fail(request_key, server, true),
            AttemptOutcome::Failed => {
                request.maybe_executed_us.get_or_insert(sent_us);
                request.client_attempt_maybe_executed = true;
                self.retry_or_fail(request_key, server, false);
            }
        }
    }

    fn drop_failed_connection(&mut self, proxy: usize, server: u32) {
        if !self.servers[server as usize].is_running() {
            self.proxies[proxy].connections.remove(&server);
        }
    }

    /// A try has failed: the front end tries again as it is ordered, or gives up.
    fn retry_or_fail(&mut self, key: RequestKey, server: u32, is_unexecuted: bool) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (class, proxy, attempt_count, record_execution) = (
            request.class,
            request.proxy as usize,
            request.attempt_count,
            request.maybe_executed_us,
        );
        let AdmissionLevel { retry, .. } = self.admission(proxy, class);
        let retry_at_us = match retry {
            Retry::Never => false,
            Retry::IfNotExecuted => is_unexecuted && attempt_count <= 1,
            Retry::Once => attempt_count <= 1,
            Retry::Twice => attempt_count <= 2,
        };
        if !retry_at_us || !self.proxies[proxy].is_up {
            let is_unexecuted = is_unexecuted && !request.client_attempt_maybe_executed;
            self.fail_client_attempt(key, is_unexecuted, false);
            return;
        }
        let of = &self.scenario.classes[class];
        if !may_repeat(of.idempotency, record_execution, self.now) {
            let name = &of.name;
            let at = self.now - START_US;
            self.broken_rules.record(Rule::DuplicateExecution, at, || {
                format!("front end {proxy} sends a {name} again that may have run")
            });
        }
        self.send_attempt(key, Some(server));
    }

    /// A try that may be followed has waited long enough.
    fn time_out_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self
            .attempts
            .get(key)
            .filter(|attempt| !attempt.is_abandoned)
        else {
            return;
        };
        let (request, server, client_attempt) =
            (attempt.request, attempt.server, attempt.client_attempt);
        if self
            .requests
            .get(request)
            .is_none_or(|of| of.client_attempt != client_attempt || of.current_attempt != Some(key))
        {
            return;
        }
        self.abandon(key);
        if let Some(request) = self.requests.get_mut(request) {
            request.current_attempt = None;
        }
        self.retry_or_fail(request, server, false);
    }

    // Servers.

    fn handle_attempt_arrival(&mut self, key: AttemptKey, is_new_connection: bool) {
        let Some(attempt) = self
            .attempts
            .get(key)
            .filter(|attempt| attempt.is_connected)
        else {
            return;
        };
        let (proxy, at, work_ms) = (
            attempt.proxy as usize,
            attempt.server as usize,
            attempt.work_ms,
        );
        let zones = (self.servers[at].zone, self.proxies[proxy].zone);
        if !self.servers[at].is_running() {
            if self.is_silent[at] {
                if is_new_connection {
                    let ends = attempt.sent_us + self.scenario.connect_timeout_us;
                    self.push(
                        ends,
                        Event::Response {
                            attempt: key,
                            end: AttemptOutcome::NotExecuted,
                        },
                    );
                }
                return;
            }
            let end = if is_new_connection {
                AttemptOutcome::NotExecuted
            } else {
                AttemptOutcome::Failed
            };
            self.send_response(key, zones, 0, end);
            return;
        }
        let server = &mut self.servers[at];
        if is_new_connection {
            if server.connections >= self.scenario.kinds[server.kind].connections {
                self.proxies[proxy].connections.remove(&(at as u32));
                self.send_response(key, zones, 0, AttemptOutcome::NotExecuted);
                return;
            }
            server.advance(self.now);
            server.connections += 1;
        }
        let is_abandoned = attempt.is_abandoned;
        let random = if server.effects.failure_share > 0.0 {
            self.random_sources.errors.uniform()
        } else {
            1.0
        };
        match server.accept(self.now, key, work_ms, random) {
            AcceptResult::Accepted(position) => {
                if let Some(attempt) = self.attempts.get_mut(key) {
                    attempt.position = position;
                }
                self.reschedule(at);
            }
            AcceptResult::QueueFull => {
                self.send_response(key, zones, 0, AttemptOutcome::NotExecuted)
            }
            AcceptResult::Failed => {
                self.send_response(key, zones, ERROR_RESPONSE_US, AttemptOutcome::Failed)
            }
        }
        if is_abandoned {
            self.cancel(key);
        }
    }

    /// What a server says to an attempt, on its way back.
    fn send_response(
        &mut self,
        attempt: AttemptKey,
        (from, to): (usize, usize),
        after: u64,
        end: AttemptOutcome,
    ) {
        let (link_us, lost) = self.link_delay(from, to);
        if !lost {
            self.push(self.now + after + link_us, Event::Response { attempt, end });
        }
    }

    pub(crate) fn reschedule(&mut self, server: usize) {
        let of = &mut self.servers[server];
        let next = of.next_completion_us(self.now);
        if of.completion_due_us == next {
            return;
        }
        of.completion_due_us = next;
        of.completion_version += 1;
        if let Some(at) = next {
            let version = of.completion_version;
            self.push(
                at,
                Event::WorkCompletion {
                    server: server as u32,
                    version,
                },
            );
        }
    }

    fn complete_work(&mut self, at: usize, version: u32) {
        let server = &mut self.servers[at];
        if server.completion_version != version {
            return;
        }
        server.completion_due_us = None;
        let (done, begun) = server.finish(self.now);
        if self.now >= server.reported_load.0 + self.scenario.load_refresh_us {
            server.reported_load = (self.now, server.queue() as f64, server.service_ms());
        }
        let (kind, zone) = (server.kind, server.zone);
        self.update_positions(begun);
        for key in done {
            let Some(attempt) = self.attempts.get_mut(key) else {
                continue;
            };
            attempt.position = Position::Elsewhere;
            let (proxy, request, sent, work_ms) = (
                attempt.proxy as usize,
                attempt.request,
                attempt.sent_us,
                attempt.work_ms,
            );
            let is_abandoned = attempt.is_abandoned;
            self.record_execution(request, sent);
            if is_abandoned {
                self.metrics.add("wasted_ms", work_ms);
                self.attempts.remove(key);
                continue;
            }
            let fails = self.random_sources.errors.uniform() < self.scenario.kinds[kind].error_rate;
            let end = if fails {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Succeeded
            };
            self.send_response(key, (zone, self.proxies[proxy].zone), 0, end);
        }
        self.reschedule(at);
    }

    /// A request ran to its end at a server.
    fn record_execution(&mut self, key: RequestKey, sent_us: u64) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let of = &self.scenario.classes[request.class];
        request.executions += 1;
        let first = *request.maybe_executed_us.get_or_insert(sent_us);
        let twice = match of.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::NotIdempotent => request.executions > 1,
            Idempotency::Keyed(..) => {
                request.executions > 1 && !may_repeat(of.idempotency, Some(first), sent_us)
            }
        };
        if twice {
            let (name, at) = (&of.name, self.now - START_US);
            self.broken_rules.record(Rule::DuplicateExecution, at, || {
                format!("a {name} ran twice")
            });
        }
    }

    fn update_positions(&mut self, begun: Vec<(AttemptKey, Position)>) {
        for (key, position) in begun {
            if let Some(attempt) = self.attempts.get_mut(key) {
                attempt.position = position;
            }
        }
    }

    fn cancel(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (at, position) = (attempt.server as usize, attempt.position);
        if position == Position::Elsewhere {
            return;
        }
        let server = &mut self.servers[at];
        let how = self.scenario.kinds[server.kind].cancel;
        let (stopped, begun) = server.cancel(self.now, key, position, how);
        self.update_positions(begun.into_iter().collect());
        if stopped {
            self.attempts.remove(key);
            self.reschedule(at);
        }
    }

    /// A server dies: with a word, so that connections break at once, or without one.
    pub(crate) fn stop_server(&mut self, at: usize, is_silent: bool) {
        if !self.servers[at].is_running() {
            return;
        }
        let gone = self.servers[at].state == ServerState::Draining;
        self.is_silent[at] = is_silent;
        let lost = self.servers[at].stop(
            self.now,
            if gone {
                ServerState::Removed
            } else {
                ServerState::Down
            },
        );
        self.reschedule(at);
        let zone = self.servers[at].zone;
        for key in lost {
            let Some(attempt) = self.attempts.get_mut(key) else {
                continue;
            };
            (attempt.position, attempt.is_connected) = (Position::Elsewhere, false);
            let proxy = attempt.proxy as usize;
            if attempt.is_abandoned {
                self.attempts.remove(key);
            } else if !is_silent {
                self.send_response(
                    key,
                    (zone, self.proxies[proxy].zone),
                    0,
                    AttemptOutcome::Failed,
                );
            }
        }
        if !is_silent {
            self.drop_connections(at);
        }
        self.announce(at, Lifecycle::Removed, !gone);
    }

    /// A server starts anew, cold; one that fell over does not.
    pub(crate) fn start_server(&mut self, at: usize) {
        if self.servers[at].state != ServerState::Down || self.servers[at].failed_warming_up {
            return;
        }
        self.servers[at].start(self.now);
        self.drop_connections(at);
        self.announce(at, Lifecycle::InService, false);
    }

    fn drop_connections(&mut self, server: usize) {
        for proxy in &mut self.proxies {
            proxy.connections.remove(&(server as u32));
        }
    }

    pub(crate) fn remove_server(&mut self, at: usize) {
        if self.servers[at].is_running() {
            self.servers[at].state = ServerState::Draining;
            self.stop_server(at, false);
        }
    }

    pub(crate) fn start_replacement(&mut self, of: usize) {
        let (kind, zone) = (self.servers[of].kind, self.servers[of].zone);
        let new = self.add_server(kind, zone);
        self.servers[new].start(self.now);
        self.announce(new, Lifecycle::InService, false);
    }

    /// Discovery learns of a server and tells each supervisor, some time later.
    pub(crate) fn announce(&mut self, server: usize, lifecycle: Lifecycle, is_silent: bool) {
        self.endpoint_versions[server] += 1;
        let (seq, started_us) = (
            self.endpoint_versions[server],
            self.servers[server].started_us,
        );
        for supervisor in 0..self.supervisors.len() {
            let scenario = self.scenario;
            let late = if is_silent {
                scenario.silent_failure_detection_us
                    * self.random_sources.discovery.uniform_between(0.8, 1.2)
            } else {
                self.random_sources.discovery.uniform_between(
                    scenario.min_discovery_delay_us,
                    scenario.max_discovery_delay_us,
                )
            };
            let endpoint_versions = Event::EndpointUpdate {
                supervisor: supervisor as u32,
                server: server as u32,
                lifecycle,
                started_us,
                seq,
            };
            self.push(self.now + late as u64, endpoint_versions);
        }
    }

    fn update_endpoint(
        &mut self,
        at: usize,
        server: usize,
        lifecycle: Lifecycle,
        started_us: Option<u64>,
        seq: u32,
    ) {
        let now = self.now;
        let supervisor = &mut self.supervisors[at];
        if !supervisor.is_up || !supervisor.update_server(now, server, lifecycle, started_us, seq) {
            return;
        }
        let entry = supervisor.endpoint(self.scenario, server, &self.servers[server]);
        self.listed(at, EndpointUpdateKind::Delta, vec![entry]);
    }

    fn listed(
        &mut self,
        at: usize,
        kind: EndpointUpdateKind,
        entries: Vec<chutegrade_engine::NamedEndpoint>,
    ) {
        match &mut self.supervisors[at].controller {
            Controller::Engine(engine, ..) => {
                // A list names nothing that could be unknown.
                let _ = engine.report(Report::EndpointList(kind, entries));
            }
            Controller::Baseline(dirty) => *dirty = true,
        }
        self.schedule_tick(at, self.now);
    }

    // Supervisors.

    fn init_supervisor(&mut self, at: usize, kind: EndpointUpdateKind) {
        let list = self.supervisors[at].endpoints(self.scenario, &self.servers);
        self.listed(at, kind, list);
        let (supervisor, epoch) = (at as u32, self.supervisors[at].epoch);
        self.push(
            self.now + self.scenario.report_period_us,
            Event::ReportCollection { supervisor, epoch },
        );
    }

    pub(crate) fn stop_supervisor(&mut self, at: usize) {
        if !self.supervisors[at].is_up {
            return;
        }
        self.supervisors[at].is_up = false;
        self.supervisors[at].epoch += 1;
        self.supervisors[at].pending_reports.clear();
        self.supervisors[at].attempt_totals.clear();
        let joined: Vec<u32> = self.supervisors[at].streams.values().copied().collect();
        self.supervisors[at].streams.clear();
        for proxy in joined {
            self.disconnect(proxy as usize);
        }
    }

    pub(crate) fn start_supervisor(&mut self, at: usize) {
        if self.supervisors[at].is_up {
            return;
        }
        let epoch = self.supervisors[at].epoch;
        let controller = self.new_controller(at, epoch);
        let of = &mut self.supervisors[at];
        (of.is_up, of.controller, of.paused_until_us, of.pending_tick) =
            (true, controller, 0, None);
        (of.channel_free_us, of.intake_scheduled) = (self.now as f64, false);
        self.init_supervisor(at, EndpointUpdateKind::CachedSnapshot);
        let late = self.random_sources.discovery.uniform_between(
            self.scenario.min_discovery_delay_us,
            self.scenario.max_discovery_delay_us,
        );
        self.push(
            self.now + late as u64,
            Event::EndpointSnapshot {
                supervisor: at as u32,
                epoch,
            },
        );
    }

    /// Discovery tells a supervisor that started anew what it has missed.
    fn send_endpoint_snapshot(&mut self, at: usize, epoch: u32) {
        if !self.is_current(at, epoch) {
            return;
        }
        for server in 0..self.servers.len() {
            let of = &self.servers[server];
            let lifecycle = match of.state {
                ServerState::Up => Lifecycle::InService,
                ServerState::Draining => Lifecycle::Draining,
                ServerState::Down | ServerState::Removed => Lifecycle::Removed,
            };
            let (started, seq) = (of.started_us, self.endpoint_versions[server]);
            self.supervisors[at].update_server(self.now, server, lifecycle, started, seq);
        }
        let list = self.supervisors[at].endpoints(self.scenario, &self.servers);
        self.listed(at, EndpointUpdateKind::Snapshot, list);
    }

    fn is_current(&self, at: usize, epoch: u32) -> bool {
        self.supervisors[at].is_up && self.supervisors[at].epoch == epoch
    }

    fn report(&mut self, at: usize, epoch: u32, report: Report) {
        if !self.is_current(at, epoch) {
            return;
        }
        if let Controller::Engine(engine, ..) = &mut self.supervisors[at].controller {
            // A stream that has ended meanwhile is no longer known; the report is dropped, as in service.
            let _ = engine.report(report);
        }
        self.schedule_tick(at, self.now);
    }

    /// Asks for a tick at a time, no denser than ticks may be.
    fn schedule_tick(&mut self, at: usize, when: u64) {
        let of = &mut self.supervisors[at];
        let due = when
            .max(of.last_tick_us + self.scenario.tick_us)
            .max(of.paused_until_us)
            .max(self.now);
        if of.pending_tick.is_some_and(|(known, _)| known <= due) {
            return;
        }
        of.scheduled_ticks += 1;
        of.pending_tick = Some((due, of.scheduled_ticks));
        let number = of.scheduled_ticks;
        self.push(
            due,
            Event::Tick {
                supervisor: at as u32,
                number,
            },
        );
    }

    fn tick(&mut self, at: usize, number: u32) {
        let now = self.now;
        let of = &mut self.supervisors[at];
        if !of.is_up || of.pending_tick.is_none_or(|(_, known)| known != number) {
            return;
        }
        of.pending_tick = None;
        if of.paused_until_us > now {
            let until = of.paused_until_us;
            self.schedule_tick(at, until);
            return;
        }
        of.last_tick_us = now;
        match &mut of.controller {
            Controller::Engine(engine, rules, service) => {
                rules.evaluate(Micros(now as i64), engine);
                if let Some(change) = service
                    .as_mut()
                    .and_then(|of| of.evaluate(Micros(now as i64), engine))
                {
                    let at_s = (now - START_US) as f64 / 1e6;
                    self.metrics.record_level_change(LevelChange {
                        at_s,
                        supervisor: at,
                        change,
                    });
                }
                let next = engine.tick(Micros(now as i64));
                let probes: Vec<HealthCheck> =
                    std::iter::from_fn(|| engine.take_health_check()).collect();
                let streams = engine.take_streams_with_orders();
                let order = |stream: StreamId| Some((stream.0, engine.take_order(stream)?));
                let orders: Vec<(u64, Order)> = streams.into_iter().filter_map(order).collect();
                while engine.take_log_event(Micros(now as i64)).is_some() {}
                if let Some(next) = next {
                    self.schedule_tick(at, next.0.max(0) as u64);
                }
                probes
                    .into_iter()
                    .for_each(|check| self.send_health_check(at, check));
                orders
                    .into_iter()
                    .for_each(|(stream, order)| self.send_order(at, stream, Rc::new(order)));
            }
            Controller::Baseline(_) => self.tick_baseline(at),
        }
    }

    /// A turn of a baseline.
    fn tick_baseline(&mut self, at: usize) {
        let Controller::Baseline(dirty) = &mut self.supervisors[at].controller else {
            return;
        };
        let changed = std::mem::take(dirty);
        let ideal = matches!(self.setup.control, Control::Ideal(_));
        if !changed && !ideal {
            return;
        }
        let truth = self
            .capacity_history
            .front()
            .map(|(_, truth)| truth.clone())
            .unwrap_or_default();
        let seen = &self.supervisors[at].known_servers;
        let weight = |server: usize| {
            if ideal {
                return truth
                    .get(server)
                    .copied()
                    .unwrap_or(self.servers[server].listed_weight);
            }
            let seen = seen.get(server).copied().unwrap_or_default();
            let in_service = seen.listed && seen.lifecycle == Lifecycle::InService;
            if in_service {
                self.servers[server].listed_weight
            } else {
                0.0
            }
        };
        let of_zone =
            |zone: usize| Rc::new(baseline_order(self.scenario, &self.servers, zone, weight));
        let orders: Vec<Rc<Order>> = (0..self.scenario.zones.len()).map(of_zone).collect();
        let streams: Vec<(u64, u32)> = self.supervisors[at]
            .streams
            .iter()
            .map(|(stream, proxy)| (*stream, *proxy))
            .collect();
        for (stream, proxy) in streams {
            let order = Rc::clone(&orders[self.proxies[proxy as usize].zone]);
            self.send_order(at, stream, order);
        }
        if ideal {
            self.schedule_tick(at, self.now + BASELINE_PERIOD_US);
        }
    }

    /// An order goes through the channel.
    fn send_order(&mut self, at: usize, stream: u64, order: Rc<Order>) {
        let (now, scenario) = (self.now, self.scenario);
        let Some(proxy) = self.supervisors[at].streams.get(&stream).copied() else {
            return;
        };
        let cost = order_lines(&order) + scenario.message_overhead;
        let of = &mut self.supervisors[at];
        let mut leaves = now as f64;
        if !matches!(self.setup.control, Control::Ideal(_)) {
            of.channel_free_us =
                of.channel_free_us.max(now as f64) + cost / scenario.channel_lines_per_s * 1e6;
            leaves = of.channel_free_us;
            let waiting = (of.channel_free_us - now as f64) / 1e6 * scenario.channel_lines_per_s;
            self.metrics.add("lines", cost);
            self.metrics
                .record_max("backlog", waiting / scenario.max_backlog);
            if waiting > scenario.max_backlog {
                let at_us = now - START_US;
                self.broken_rules.record(Rule::Backlog, at_us, || {
                    format!("{waiting:.0} lines wait at supervisor {at}")
                });
            }
        }
        let link_us = self
            .random_sources
            .links
            .exponential(scenario.delivery_delay_us)
            .min(scenario.max_delivery_delay_us);
        let to = &mut self.proxies[proxy as usize];
        while to
            .recent_messages
            .front()
            .is_some_and(|sent| sent + MESSAGE_WINDOW_US < now)
        {
            to.recent_messages.pop_front();
        }
        to.recent_messages.push_back(now);
        let written = to.recent_messages.len();
        if scenario.max_messages > 0 && written > scenario.max_messages {
            let at_us = now - START_US;
            self.broken_rules.record(Rule::Backlog, at_us, || {
                format!("{written} messages in 10 s to front end {proxy}")
            });
        }
        // In the order in which they were sent.
        let arrives = ((leaves + link_us) as u64).max(to.last_arrival_us + 1);
        to.last_arrival_us = arrives;
        let message = Message {
            proxy,
            epoch: to.epoch,
            supervisor: at as u32,
            stream,
            sent_us: now,
            order,
        };
        self.push(arrives, Event::Message(Box::new(message)));
    }

    fn deliver_message(&mut self, message: Message) {
        let Message {
            proxy,
            epoch,
            supervisor,
            stream,
            sent_us,
            order,
        } = message;
        let of = &mut self.proxies[proxy as usize];
        if of.epoch != epoch || !of.is_up {
            return;
        }
        if of.paused_until_us > self.now {
            let until = of.paused_until_us;
            self.push(
                until,
                Event::Message(Box::new(Message {
                    proxy,
                    epoch,
                    supervisor,
                    stream,
                    sent_us,
                    order,
                })),
            );
            return;
        }
        let classes = &self.scenario.classes;
        let server_numbers = &self.server_numbers;
        of.apply(
            &order,
            |name| classes.iter().position(|class| class.name == name),
            |name| server_numbers.get(name).copied(),
        );
        of.last_sent_us = sent_us;
        of.paused_until_us =
            self.now + (order_lines(&order) * self.scenario.apply_us_per_line) as u64;
        if let Some(sequence) = order.acknowledge {
            let zones = (of.zone, self.supervisors[supervisor as usize].zone);
            let elapsed = of.paused_until_us - sent_us;
            let until = of.paused_until_us;
            let (link_us, _) = self.link_delay(zones.0, zones.1);
            let epoch = self.supervisors[supervisor as usize].epoch;
            self.push(
                until + link_us,
                Event::Ack {
                    supervisor,
                    epoch,
                    stream,
                    sequence,
                    elapsed,
                },
            );
        }
    }

    // Streams.

    /// A front end begins to dial; one that lost its stream notices that first.
    fn schedule_stream_opening(&mut self, at: usize, lost: bool) {
        let scenario = self.scenario;
        let notice = if lost {
            scenario.stream_loss_detection_us as f64
        } else {
            0.0
        };
        let wait = (notice + scenario.reconnect_us as f64)
            * self.random_sources.links.uniform_between(0.5, 1.0);
        let event = Event::StreamOpening {
            proxy: at as u32,
            epoch: self.proxies[at].epoch,
        };
        self.push(self.now + wait as u64 + 1, event);
    }

    fn home_supervisor(&self, proxy: usize) -> usize {
        let zone = self.proxies[proxy].zone;
        let home: Vec<usize> = (0..self.supervisors.len())
            .filter(|at| self.supervisors[*at].zone == zone)
            .collect();
        if home.is_empty() {
            proxy % self.supervisors.len()
        } else {
            home[proxy / self.scenario.zones.len() % home.len()]
        }
    }

    fn open_stream(&mut self, at: usize, epoch: u32) {
        if self.proxies[at].epoch != epoch || !self.proxies[at].is_up {
            return;
        }
        let home = self.home_supervisor(at);
        let all = self.supervisors.len();
        let reachable = |sim: &Self, other: usize| {
            let (_, lost) = sim.link_faults(sim.proxies[at].zone, sim.supervisors[other].zone);
            sim.supervisors[other].is_up && lost < 1.0
        };
        let found = (0..all)
            .map(|step| (home + step) % all)
            .find(|other| reachable(self, *other));
        let Some(supervisor) = found else {
            self.schedule_stream_opening(at, false);
            return;
        };
        let of = &mut self.supervisors[supervisor];
        of.last_stream += 1;
        let stream = of.last_stream;
        of.streams.insert(stream, at as u32);
        let proxy = &mut self.proxies[at];
        proxy.control_stream = Some((supervisor, stream, self.now));
        proxy
            .no_server_since
            .iter_mut()
            .for_each(|since| *since = None);
        let (zone, new) = (proxy.zone, !proxy.has_table);
        let rate = self.scenario.rate / self.proxies.len() as f64;
        let zone_name = self.scenario.zones[zone].clone();
        let epoch_of = self.supervisors[supervisor].epoch;
        let joined = Report::StreamOpened {
            stream: StreamId(stream),
            proxy: at as u32,
            zone: zone_name,
            request_rate: rate,
            has_no_table: new,
        };
        if let Controller::Baseline(dirty) = &mut self.supervisors[supervisor].controller {
            *dirty = true;
        }
        self.report(supervisor, epoch_of, joined);
        if supervisor != home && self.scenario.rehome_us > 0 {
            self.push(
                self.now + self.scenario.rehome_us,
                Event::Rehome {
                    proxy: at as u32,
                    epoch,
                },
            );
        }
    }

    fn rehome(&mut self, at: usize, epoch: u32) {
        if self.proxies[at].epoch != epoch || self.proxies[at].control_stream.is_none() {
            return;
        }
        if self.supervisors[self.home_supervisor(at)].is_up {
            self.break_stream(at);
        } else {
            self.push(
                self.now + self.scenario.rehome_us,
                Event::Rehome {
                    proxy: at as u32,
                    epoch,
                },
            );
        }
    }

    /// A front end has no stream any more, and dials.
    fn disconnect(&mut self, at: usize) {
        let proxy = &mut self.proxies[at];
        if proxy.control_stream.take().is_none() {
            return;
        }
        proxy.epoch += 1;
        proxy
            .no_server_since
            .iter_mut()
            .for_each(|since| *since = None);
        self.schedule_stream_opening(at, true);
    }

    pub(crate) fn break_stream(&mut self, at: usize) {
        let Some((supervisor, stream, _)) = self.proxies[at].control_stream else {
            return;
        };
        self.supervisors[supervisor].streams.remove(&stream);
        let epoch = self.supervisors[supervisor].epoch;
        self.disconnect(at);
        self.report(supervisor, epoch, Report::StreamLost(StreamId(stream)));
    }

    pub(crate) fn stop_proxy(&mut self, at: usize) {
        if !self.proxies[at].is_up {
            return;
        }
        self.break_stream(at);
        self.proxies[at].is_up = false;
        self.proxies[at].epoch += 1;
        for (server, _) in std::mem::take(&mut self.proxies[at].connections) {
            let of = &mut self.servers[server as usize];
            of.connections = of.connections.saturating_sub(1);
        }
        let held: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request.proxy as usize == at && request.current_attempt.is_some()
            })
            .map(|(key, _)| key)
            .collect();
        for key in held {
            let attempt = self
                .requests
                .get_mut(key)
                .and_then(|request| request.current_attempt.take());
            attempt
                .into_iter()
                .for_each(|attempt| self.abandon(attempt));
            self.fail_client_attempt(key, false, false);
        }
    }

    pub(crate) fn start_proxy(&mut self, at: usize) {
        if self.proxies[at].is_up {
            return;
        }
        let standing = self.initial_table(self.proxies[at].zone);
        self.proxies[at].restart(standing);
        if self.setup.control != Control::Nobody {
            self.schedule_stream_opening(at, false);
        }
    }

    // Reports.

    fn collect_reports(&mut self, at: usize, epoch: u32) {
        if !self.is_current(at, epoch) {
            return;
        }
        let (scenario, noise) = (self.scenario, self.scenario.report_noise);
        self.push(
            self.now + scenario.report_period_us,
            Event::ReportCollection {
                supervisor: at as u32,
                epoch,
            },
        );
        let random = &mut self.random_sources.reports;
        let mut reports = self.supervisors[at]
            .take_reports(scenario, &self.servers, || random.noise_factor(noise));
        let period = Micros(scenario.report_period_us as i64);
        for proxy in self.supervisors[at].streams.values() {
            let usage = &mut self.proxies[*proxy as usize].usage;
            for (class, of) in scenario.classes.iter().zip(usage.iter_mut()) {
                let of = std::mem::take(of);
                if of.arrivals > 0.0 {
                    let (class, proxy) = (class.name.clone(), *proxy);
                    reports.push(Report::ProxyDemand {
                        proxy,
                        class,
                        arrivals: of.arrivals,
                        failed: of.failed,
                        period,
                    });
                }
            }
        }
        let late = (scenario.report_delay_us as f64 * random.uniform_between(0.6, 1.4)) as u64
            + self.extra_report_delay_us();
        let due = self.now + late;
        let of = &mut self.supervisors[at];
        of.pending_reports
            .extend(reports.into_iter().map(|report| (due, report)));
        if !of.intake_scheduled && !of.pending_reports.is_empty() {
            of.intake_scheduled = true;
            self.push(
                due,
                Event::ReportIntake {
                    supervisor: at as u32,
                    epoch,
                },
            );
        }
    }

    fn take_in_reports(&mut self, at: usize, epoch: u32) {
        if !self.is_current(at, epoch) {
            return;
        }
        let most =
            (self.scenario.report_intake_per_s * INTAKE_PERIOD_US as f64 / 1e6).ceil() as usize;
        let now = self.now;
        let of = &mut self.supervisors[at];
        let mut taken = 0;
        while taken < most
            && of
                .pending_reports
                .front()
                .is_some_and(|(due, _)| *due <= now)
        {
            let Some((_, report)) = of.pending_reports.pop_front() else {
                break;
            };
            taken += 1;
            if let Controller::Engine(engine, ..) = &mut of.controller {
                // A front end that has left meanwhile is no longer known; the report is dropped, as in service.
                let _ = engine.report(report);
            }
        }
        match of.pending_reports.front() {
            Some((due, _)) => {
                let next = (*due).max(now + INTAKE_PERIOD_US);
                self.push(
                    next,
                    Event::ReportIntake {
                        supervisor: at as u32,
                        epoch,
                    },
                );
            }
            None => of.intake_scheduled = false,
        }
        if taken > 0 {
            self.schedule_tick(at, now);
        }
    }

    // Probes.

    fn send_health_check(&mut self, at: usize, check: HealthCheck) {
        let Some(server) = check
            .address
            .parse::<u32>()
            .ok()
            .filter(|of| (*of as usize) < self.servers.len())
        else {
            return;
        };
        self.metrics.add("probes", 1.0);
        let zones = (
            self.supervisors[at].zone,
            self.servers[server as usize].zone,
        );
        let (link_us, lost) = self.link_delay(zones.0, zones.1);
        let epoch = self.supervisors[at].epoch;
        let pending = PendingHealthCheck {
            supervisor: at as u32,
            epoch,
            server,
            sent_us: self.now,
            check,
        };
        if lost {
            self.time_out_health_check(pending);
        } else {
            self.push(
                self.now + link_us,
                Event::HealthCheckArrival(Box::new(pending)),
            );
        }
    }

    fn time_out_health_check(&mut self, pending: PendingHealthCheck) {
        let ends = pending.sent_us + self.scenario.health_check_timeout_us;
        let ended = (
            pending,
            HealthCheckOutcome::TimedOut,
            LoadReport::default(),
            false,
        );
        self.push(ends, Event::HealthCheckEnd(Box::new(ended)));
    }

    fn handle_health_check_arrival(&mut self, pending: PendingHealthCheck) {
        let at = pending.server as usize;
        let zones = (
            self.servers[at].zone,
            self.supervisors[pending.supervisor as usize].zone,
        );
        if !self.servers[at].is_running() && self.is_silent[at] {
            self.time_out_health_check(pending);
            return;
        }
        let (link_us, _) = self.link_delay(zones.0, zones.1);
        let of = &self.servers[at];
        let most = self.scenario.max_health_checks_per_core * self.scenario.kinds[of.kind].cores;
        let end = match of.state {
            ServerState::Down | ServerState::Removed => Some(HealthCheckOutcome::Unreachable),
            ServerState::Draining => Some(HealthCheckOutcome::Rejected),
            ServerState::Up if f64::from(of.active_health_checks) >= most => {
                Some(HealthCheckOutcome::Rejected)
            }
            ServerState::Up => None,
        };
        if let Some(end) = end {
            let ended = (pending, end, LoadReport::default(), false);
            self.push(self.now + link_us, Event::HealthCheckEnd(Box::new(ended)));
            return;
        }
        let deep = self.scenario.deep_health_checks;
        if deep
            && of.effects.failure_share > 0.0
            && self.random_sources.errors.uniform() < of.effects.failure_share
        {
            let ended = (
                pending,
                HealthCheckOutcome::Error,
                LoadReport::default(),
                false,
            );
            self.push(
                self.now + ERROR_RESPONSE_US + link_us,
                Event::HealthCheckEnd(Box::new(ended)),
            );
            return;
        }
        let waits = if deep { of.expected_wait_ms() } else { 0.0 };
        let elapsed = of
            .health_check_ms(self.now, self.scenario.health_check_work_ms)
            .map(|ms| ((ms + waits) * 1e3) as u64);
        let in_time = elapsed.filter(|elapsed| {
            self.now + elapsed + link_us < pending.sent_us + self.scenario.health_check_timeout_us
        });
        let Some(elapsed) = in_time else {
            self.time_out_health_check(pending);
            return;
        };
        let (queue, service) = (of.queue() as f64, of.service_ms());
        let load = if self.scenario.load_reports {
            LoadReport {
                queued: Some(queue),
                latency_ms: Some(service),
                ..LoadReport::default()
            }
        } else {
            LoadReport::default()
        };
        self.servers[at].active_health_checks += 1;
        let ended = (pending, HealthCheckOutcome::Passed, load, true);
        self.push(
            self.now + elapsed + link_us,
            Event::HealthCheckEnd(Box::new(ended)),
        );
    }

    fn end_health_check(
        &mut self,
        (pending, end, load, answered): (PendingHealthCheck, HealthCheckOutcome, LoadReport, bool),
    ) {
        if answered {
            let of = &mut self.servers[pending.server as usize];
            of.active_health_checks = of.active_health_checks.saturating_sub(1);
        }
        let elapsed = Micros((self.now - pending.sent_us) as i64);
        let PendingHealthCheck {
            supervisor,
            epoch,
            check,
            ..
        } = pending;
        self.report(
            supervisor as usize,
            epoch,
            Report::HealthChecked {
                check: check,
                outcome: end,
                elapsed: elapsed,
                load,
            },
        );
    }

    // Housekeeping.

    /// A trouble of servers has ended: those that nobody picks are watched until somebody does.
    pub(crate) fn watch_recovered(&mut self, number: usize) {
        let picked = |server: u32| {
            self.proxies
                .iter()
                .any(|proxy| proxy.is_up && proxy.can_pick(server))
        };
        let left = self.fault_states[number]
            .targets
            .iter()
            .map(|at| *at as u32)
            .filter(|server| !picked(*server));
        let left: Vec<(u32, u64)> = left.map(|server| (server, self.now)).collect();
        self.watched_recovered.extend(left);
    }

    pub(crate) fn watch_faulty(&mut self, number: usize) {
        let targets = &self.fault_states[number].targets;
        self.watched_faulty
            .extend(targets.iter().map(|at| (*at as u32, self.now)));
    }

    /// Looks at what holds over time: who has nobody to pick, and which struck servers nobody picks any more.
    fn check_rules(&mut self) {
        self.push(self.now + RULE_CHECK_PERIOD_US, Event::RuleCheck);
        let (now, scenario) = (self.now, self.scenario);
        if let Control::Ideal(late_ms) = self.setup.control {
            let truth = self.servers.iter().map(|server| {
                let runs = server.state == ServerState::Up && !server.effects.is_hanging;
                if runs {
                    server.capacity(now) * (1.0 - server.effects.failure_share).powi(4)
                } else {
                    0.0
                }
            });
            self.capacity_history.push_back((now, truth.collect()));
            while self
                .capacity_history
                .get(1)
                .is_some_and(|(at, _)| at + u64::from(late_ms) * 1000 <= now)
            {
                self.capacity_history.pop_front();
            }
        }
        for at in 0..self.proxies.len() {
            let Some((supervisor, _, since)) = self.proxies[at].control_stream else {
                continue;
            };
            for class in 0..scenario.classes.len() {
                if self.proxies[at].has_servers(class) {
                    self.proxies[at].no_server_since[class] = None;
                    continue;
                }
                let bare = *self.proxies[at].no_server_since[class].get_or_insert(now);
                let home = scenario.classes[class]
                    .zone_local
                    .then_some(self.proxies[at].zone);
                let of = &self.supervisors[supervisor];
                if now > bare.max(since) + scenario.max_unserved_us
                    && of.has_warm_server(now, &self.servers, self.max_slow_start_us, home)
                {
                    // Counted anew after as long again.
                    self.proxies[at].no_server_since[class] = Some(now);
                    let name = &scenario.classes[class].name;
                    let at_us = now - START_US;
                    self.broken_rules.record(Rule::Unserved, at_us, || {
                        format!("front end {at} has nobody for {name}")
                    });
                }
            }
        }
        let watched_recovered = std::mem::take(&mut self.watched_recovered);
        for (server, since) in watched_recovered {
            if self
                .proxies
                .iter()
                .any(|proxy| proxy.is_up && proxy.can_pick(server))
            {
                self.metrics.record_restored((now - since) as f64 / 1e6);
            } else {
                self.watched_recovered.push((server, since));
            }
        }
        let watched_faulty = std::mem::take(&mut self.watched_faulty);
        for (server, since) in watched_faulty {
            if self
                .proxies
                .iter()
                .any(|proxy| proxy.is_up && proxy.can_pick(server))
            {
                self.watched_faulty.push((server, since));
            } else {
                self.metrics.record_shut_out((now - since) as f64 / 1e6);
            }
        }
    }

    /// Each second: connections that are not used close, and figures are kept.
    fn end_second(&mut self) {
        self.push(self.now + 1_000_000, Event::SecondEnd);
        let (now, idle) = (self.now, self.scenario.idle_close_us);
        for proxy in &mut self.proxies {
            let mut open = std::mem::take(&mut proxy.connections);
            open.retain(|server, of: &mut Connection| {
                let kept = of.inflight > 0 || (proxy.can_pick(*server) && of.used_us + idle > now);
                if !kept {
                    let server = &mut self.servers[*server as usize];
                    server.advance(now);
                    server.connections = server.connections.saturating_sub(1);
                }
                kept
            });
            proxy.connections = open;
        }
        // Cold servers get faster.
        for at in 0..self.servers.len() {
            if self.servers[at].is_warming_up(now) {
                self.servers[at].advance(now);
                self.reschedule(at);
            }
        }
        let queue: usize = self.servers.iter().map(Server::queue).sum();
        let up = self
            .servers
            .iter()
            .filter(|server| server.is_running())
            .count()
            .max(1);
        let open: f64 = self
            .servers
            .iter()
            .map(|server| f64::from(server.connections))
            .sum();
        self.metrics.record_max("queue", queue as f64);
        self.metrics.record_max("connections", open / up as f64);
        let scenario = self.scenario;
        let waiting = self.supervisors.iter().map(|of| {
            (of.channel_free_us - now as f64).max(0.0) / 1e6 * scenario.channel_lines_per_s
        });
        let fullest = waiting.fold(0.0, f64::max) / scenario.max_backlog;
        let second = (self.elapsed() / 1_000_000).saturating_sub(1) as usize;
        self.metrics
            .record_second_end(second, queue as f64, fullest);
    }
}
