//! The simulation: processes events in virtual time, from the arrival of a client's request to the orders of supervisors.

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
    /// Key of a proxy's attempt at a server.
    pub struct AttemptKey;
    /// Key of a client's request.
    pub struct RequestKey;
}

/// Virtual time at the start of a run, in microseconds; not 0, which the decision module takes for long ago.
const START_US: u64 = 1_000_000_000;
/// Period of the checks of the fleet's state, in microseconds.
const RULE_CHECK_PERIOD_US: u64 = 200_000;
/// Period in which a supervisor passes reports to the engine, in microseconds.
const INTAKE_PERIOD_US: u64 = 50_000;
/// Period of the orders of the ideal controller, in microseconds.
const BASELINE_PERIOD_US: u64 = 1_000_000;
/// Maximum time that a run continues after the last arrival, in microseconds; deadlines are a few seconds.
const MAX_RUNOUT_US: u64 = 30_000_000;
/// Maximum gap between arrivals, in microseconds; longer ones are drawn again, because the demand changes over time.
const MAX_GAP_US: f64 = 250_000.0;
/// Time that a server takes to respond with an error, in microseconds.
const ERROR_RESPONSE_US: u64 = 1_000;
/// Sliding window in which messages to a proxy are counted, in microseconds.
const MESSAGE_WINDOW_US: u64 = 10_000_000;

/// Outcome of an attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A response without error.
    Succeeded,
    /// Certainly not executed: no connection, or rejected.
    NotExecuted,
    /// Failed, or the outcome is unknown.
    Failed,
}

/// A health check in progress.
#[derive(Debug)]
pub struct PendingHealthCheck {
    supervisor: u32,
    epoch: u32,
    server: u32,
    sent_us: u64,
    check: HealthCheck,
}

/// An order in transit to a proxy.
#[derive(Debug)]
pub struct Message {
    proxy: u32,
    epoch: u32,
    supervisor: u32,
    stream: u64,
    sent_us: u64,
    order: Rc<Order>,
}

/// Events of the simulation.
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
        outcome: AttemptOutcome,
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
        elapsed_us: u64,
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

/// A client's request that has not ended.
#[derive(Debug)]
struct Request {
    class: usize,
    zone: usize,
    arrived_us: u64,
    work_ms: f64,
    attempt_noise: [f64; 2],
    /// Number of the current client attempt: 0, then 1 for the client's first retry.
    client_attempt: u32,
    /// Attempts at servers in the current client attempt.
    attempt_count: u32,
    proxy: u32,
    /// Sending time of the first attempt at a server that may have been executed, of all client attempts.
    maybe_executed_us: Option<u64>,
    /// Whether an attempt of the current client attempt may have been executed.
    client_attempt_maybe_executed: bool,
    current_attempt: Option<AttemptKey>,
    /// Completed executions at servers.
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
    /// False once the server has stopped with the attempt in its queue or in service.
    is_connected: bool,
}

/// State of a run.
pub struct Simulation<'a, Q: EventQueue<Event>> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) seed: u64,
    pub(crate) now_us: u64,
    queue: Q,
    setup: &'a Setup,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Attempt>,
    pub(crate) servers: Vec<Server>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) supervisors: Vec<Supervisor>,
    pub(crate) fault_states: Vec<FaultState>,
    pub(crate) has_link_faults: bool,
    /// Servers that a fault affects and proxies can still select, with the start of the fault.
    watched_faulty: Vec<(u32, u64)>,
    /// Servers whose fault has ended and that no proxy can select yet, with the end of the fault.
    watched_recovered: Vec<(u32, u64)>,
    proxies_by_zone: Vec<Vec<u32>>,
    server_numbers: FxHashMap<Rc<str>, u32>,
    /// Sequence number of the last endpoint update, by server.
    endpoint_versions: Vec<u32>,
    /// By server: whether it stopped without closing its connections.
    stopped_silently: Vec<bool>,
    /// Times and true capacities of all servers, for [`Control::Ideal`].
    capacity_history: VecDeque<(u64, Vec<f64>)>,
    metrics: Metrics,
    broken_rules: BrokenRules,
    events: u64,
    random_sources: RandomSources,
    class_share_sum: f64,
    /// Mean work of a request over all classes.
    mean_work_ms: f64,
    max_slow_start_us: u64,
    /// Number of recorded requests that have arrived.
    replayed: usize,
    /// Classes of the recorded traffic as indices in the scenario.
    traffic_classes: Vec<Option<usize>>,
    /// Zones of the recorded traffic as indices in the scenario.
    traffic_zones: Vec<Option<usize>>,
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

/// Runs a scenario with a controller and the default setup otherwise.
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

/// Runs a scenario. Equal scenarios, setups and seeds give bit-identical outcomes.
pub fn play(scenario: &Scenario, setup: &Setup, seed: u64) -> Outcome {
    run_on(scenario, setup, seed, WheelQueue::default()).0
}

/// Outcome of a run, and its event queue.
pub type Run<Q> = (Outcome, Q);

/// Runs a scenario with the given event queue.
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
        let random = |purpose| RandomSource::new(seed, purpose, 0);
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
        let (traffic_classes, traffic_zones) = setup.traffic_indices(scenario);
        Simulation {
            scenario,
            seed,
            now_us: START_US,
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
            stopped_silently: Vec::new(),
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
            replayed: 0,
            traffic_classes,
            traffic_zones,
        }
    }

    pub(crate) fn push(&mut self, at_us: u64, event: Event) {
        self.queue.push(at_us, event);
    }

    /// Returns the time since the start of the run, in microseconds.
    fn elapsed_us(&self) -> u64 {
        self.now_us - START_US
    }

    fn add_server(&mut self, kind_index: usize, zone: usize) -> usize {
        let number = self.servers.len();
        let name: Rc<str> = format!("s-{number:05}").into();
        let kind = &self.scenario.kinds[kind_index];
        let speed_factor = self.random_sources.servers.log_normal(kind.speed_cv);
        self.servers.push(Server::new(
            Rc::clone(&name),
            zone,
            kind_index,
            kind,
            speed_factor,
        ));
        self.server_numbers.insert(name, number as u32);
        self.endpoint_versions.push(0);
        self.stopped_silently.push(false);
        number
    }

    fn initial_table(&mut self, zone: usize) -> Table {
        let in_zone: Vec<usize> = (0..self.servers.len())
            .filter(|index| {
                self.servers[*index].state == ServerState::Up && self.servers[*index].zone == zone
            })
            .collect();
        let running = || {
            (0..self.servers.len())
                .filter(|index| self.servers[*index].state == ServerState::Up)
                .collect()
        };
        let candidates: Vec<usize> = if in_zone.len() >= 3 {
            in_zone
        } else {
            running()
        };
        let chosen = self
            .random_sources
            .initial_tables
            .sample_indices(candidates.len(), self.scenario.initial_table_size);
        Table::new(
            chosen
                .into_iter()
                .map(|index| {
                    (
                        candidates[index] as u32,
                        self.servers[candidates[index]].listed_weight,
                    )
                })
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
        let names = DeploymentNames {
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
            Some(alternative) => {
                let policy = (alternative.create)(&settings, seed);
                Engine::with_policy(policy, &settings, names)
            }
            None => Engine::new(settings, seed, names),
        });
        let overload_controller = self.setup.overload_controller(self.scenario, &mut engine);
        Controller::Engine(
            engine,
            Box::new(self.setup.plugin_advisor()),
            overload_controller,
        )
    }

    fn start_run(&mut self) {
        let zones = self.scenario.zones.len();
        let mut server_count = 0;
        for kind in 0..self.scenario.kinds.len() {
            for _ in 0..self.scenario.kinds[kind].servers {
                self.add_server(kind, server_count % zones);
                server_count += 1;
            }
        }
        for index in 0..self.scenario.proxies {
            let initial_table = self.initial_table(index % zones);
            let random = RandomSource::new(self.seed, Purpose::Picks, index);
            self.proxies_by_zone[index % zones].push(index as u32);
            self.proxies.push(Proxy::new(
                index % zones,
                self.scenario.classes.len(),
                initial_table,
                random,
            ));
        }
        for index in 0..self.scenario.supervisors {
            let controller = self.new_controller(index, 0);
            self.supervisors.push(Supervisor::new(
                index % zones,
                controller,
                self.servers.len(),
            ));
            self.init_supervisor(index, EndpointUpdateKind::Snapshot);
        }
        if self.setup.control != Control::Nobody {
            for index in 0..self.proxies.len() {
                self.schedule_stream_opening(index, false);
            }
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.queue
                .push(START_US + fault.from_us, Event::FaultBegin(index as u32));
            self.queue
                .push(START_US + fault.to_us, Event::FaultEnd(index as u32));
        }
        self.push(START_US, Event::Arrival);
        self.push(START_US + RULE_CHECK_PERIOD_US, Event::RuleCheck);
        self.push(START_US + 1_000_000, Event::SecondEnd);
    }

    fn process_events(&mut self) {
        let end_us = START_US + self.scenario.duration_us;
        while let Some((at_us, event)) = self.queue.pop() {
            if at_us > end_us && (self.requests.is_empty() || at_us > end_us + MAX_RUNOUT_US) {
                break;
            }
            self.now_us = at_us;
            self.events += 1;
            self.handle(event);
        }
    }

    fn finish(mut self) -> Run<Q> {
        let unfinished: Vec<(usize, u64)> = self
            .requests
            .values()
            .map(|request| (request.class, request.arrived_us - START_US))
            .collect();
        for (class, arrived_us) in unfinished {
            self.metrics
                .record_request(self.scenario, class, arrived_us, RequestOutcome::Failed);
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
            Event::Response { attempt, outcome } => self.handle_response(attempt, outcome),
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
                elapsed_us,
            } => {
                let elapsed = Micros(elapsed_us as i64);
                let report = Report::Acknowledged {
                    stream: StreamId(stream),
                    sequence,
                    elapsed,
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
        if self.elapsed_us() >= self.scenario.duration_us {
            return;
        }
        if let Some(traffic) = self.setup.traffic.clone() {
            self.replay(&traffic);
            return;
        }
        let (demand_factor, heavy_share, heavy_factor) = self.load_factors();
        let rate = self.scenario.rate * self.scenario.demand(self.elapsed_us()) * demand_factor;
        let gap_us = if rate > 0.0 {
            self.random_sources.arrivals.exponential(1e6 / rate)
        } else {
            f64::INFINITY
        };
        if gap_us > MAX_GAP_US {
            // Exponential gaps are memoryless: a new draw after the maximum gap does not bias the arrivals.
            self.push(self.now_us + MAX_GAP_US as u64, Event::Arrival);
            return;
        }
        self.push(self.now_us + (gap_us as u64).max(1), Event::Arrival);
        let random = &mut self.random_sources.requests;
        let mut draw = random.uniform() * self.class_share_sum;
        let class = self.scenario.classes.iter().position(|class| {
            draw -= class.share;
            draw < 0.0
        });
        let class = class.unwrap_or(self.scenario.classes.len() - 1);
        self.add_request(class, None, None, (heavy_share, heavy_factor));
    }

    /// Adds all recorded requests that are due by now. Values that a record lacks are drawn. Faults apply except bursts: the
    /// recorded arrivals are the demand.
    fn replay(&mut self, traffic: &Traffic) {
        while let Some(arrival) = traffic.arrivals.get(self.replayed).copied() {
            if arrival.at_us > self.elapsed_us() {
                self.push(START_US + arrival.at_us, Event::Arrival);
                return;
            }
            self.replayed += 1;
            let (_, heavy_share, heavy_factor) = self.load_factors();
            let (classes, zones) = (&self.traffic_classes, &self.traffic_zones);
            let zone = arrival
                .zone
                .and_then(|zone| zones.get(usize::from(zone)).copied().flatten());
            let Some(class) = classes.get(usize::from(arrival.class)).copied().flatten() else {
                continue;
            };
            self.add_request(class, zone, arrival.work_ms, (heavy_share, heavy_factor));
        }
    }

    /// Adds a client's request; draws its zone and its work if they are not given.
    fn add_request(
        &mut self,
        class: usize,
        zone: Option<usize>,
        work_ms: Option<f64>,
        (heavy_share, heavy_factor): (f64, f64),
    ) {
        let class_settings = &self.scenario.classes[class];
        let random = &mut self.random_sources.requests;
        let (zone_draw, proxy_draw, work_factor) = (
            random.uniform(),
            random.uniform(),
            random.log_normal(class_settings.work_cv),
        );
        let attempt_noise = [
            random.log_normal(class_settings.attempt_cv),
            random.log_normal(class_settings.attempt_cv),
        ];
        let is_heavy = random.uniform() < heavy_share;
        let work_ms = work_ms.unwrap_or(class_settings.work_ms * work_factor)
            * if is_heavy { heavy_factor } else { 1.0 };
        let zone = zone.unwrap_or_else(|| self.zone_at(zone_draw));
        let proxy = self.choose_proxy(zone, proxy_draw);
        let request = self.requests.insert(Request {
            class,
            zone,
            arrived_us: self.now_us,
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
            self.now_us + link_us,
            Event::ClientAttempt {
                request,
                client_attempt: 0,
            },
        );
    }

    /// Maps a uniform draw to a zone. By the skew, the first zone has the highest share and the last the lowest.
    fn zone_at(&self, draw: f64) -> usize {
        let zones = self.scenario.zones.len();
        let weight = |zone: usize| {
            let rank = if zones > 1 {
                zone as f64 / (zones - 1) as f64
            } else {
                0.5
            };
            1.0 + self.scenario.zone_skew * (1.0 - 2.0 * rank)
        };
        let mut remaining = draw * (0..zones).map(weight).sum::<f64>();
        let zone = (0..zones).find(|zone| {
            remaining -= weight(*zone);
            remaining < 0.0
        });
        zone.unwrap_or(zones - 1)
    }

    fn choose_proxy(&self, zone: usize, draw: f64) -> u32 {
        let proxies = &self.proxies_by_zone[zone];
        match proxies.len() {
            // Clients in a zone without proxies use those of the other zones.
            0 => ((draw * self.proxies.len() as f64) as u32).min(self.proxies.len() as u32 - 1),
            count => proxies[((draw * count as f64) as usize).min(count - 1)],
        }
    }

    fn handle_client_attempt(&mut self, key: RequestKey, client_attempt: u32) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let proxy = &mut self.proxies[request.proxy as usize];
        if proxy.paused_until_us > self.now_us {
            // Requests to a paused proxy wait.
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
        let class_settings = &self.scenario.classes[class];
        self.metrics.add("comings", 1.0);
        let deadline_at_us = request.arrived_us + class_settings.deadline_us;
        let timeout_us =
            (class_settings.deadline_us as f64 * self.scenario.client_timeout_share) as u64;
        let is_last_attempt = client_attempt >= self.scenario.client_retries;
        let timeout_at_us = if is_last_attempt {
            deadline_at_us
        } else {
            deadline_at_us.min(self.now_us + timeout_us)
        };
        if !proxy.is_up {
            self.fail_client_attempt(key, true, false);
            return;
        }
        proxy.usage[class].arrivals += 1.0;
        let level = proxy
            .admission(class)
            .map_or(1.0, |admission| admission.level);
        if self.scenario.applies_admission && level < 1.0 && proxy.draw_uniform() >= level {
            self.fail_client_attempt(key, true, true);
            return;
        }
        self.push(
            timeout_at_us,
            Event::ClientTimeout {
                request: key,
                client_attempt,
            },
        );
        self.send_attempt(key, None);
    }

    /// Handles the failure of a client attempt: the client retries after a backoff, or the request ends.
    fn fail_client_attempt(&mut self, key: RequestKey, is_unexecuted: bool, is_refused: bool) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let class_settings = &self.scenario.classes[request.class];
        let proxy = &mut self.proxies[request.proxy as usize];
        if proxy.is_up && !is_refused {
            proxy.usage[request.class].failed += 1.0;
        }
        let scenario = self.scenario;
        let backoff_us = scenario.client_backoff_us
            * scenario
                .client_backoff_growth
                .powi(request.client_attempt as i32);
        let retry_at_us = self.now_us
            + (backoff_us * self.random_sources.clients.uniform_between(0.75, 1.25)) as u64;
        let may_retry = is_unexecuted && !request.client_attempt_maybe_executed
            || may_repeat(
                class_settings.idempotency,
                request.maybe_executed_us,
                retry_at_us,
            );
        let (arrived_us, class, zone) = (request.arrived_us, request.class, request.zone);
        if request.client_attempt < scenario.client_retries
            && may_retry
            && retry_at_us < arrived_us + class_settings.deadline_us
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
        let request_outcome = if is_refused {
            RequestOutcome::Refused
        } else {
            RequestOutcome::Failed
        };
        self.metrics
            .record_request(scenario, class, arrived_us - START_US, request_outcome);
    }

    fn time_out_client(&mut self, key: RequestKey, client_attempt: u32) {
        let Some(request) = self
            .requests
            .get_mut(key)
            .filter(|request| request.client_attempt == client_attempt)
        else {
            return;
        };
        let Some(attempt) = request.current_attempt.take() else {
            return;
        };
        self.abandon(attempt);
        self.fail_client_attempt(key, false, false);
    }

    // Proxies.

    fn link_delay(&mut self, from: usize, to: usize) -> (u64, bool) {
        let base_us = if from == to {
            self.scenario.same_zone_us
        } else {
            self.scenario.cross_zone_us
        };
        let (extra_us, loss_rate) = self.link_faults(from, to);
        let jitter = self.scenario.jitter;
        let delay_us = (base_us + extra_us)
            * self
                .random_sources
                .links
                .uniform_between(1.0 - jitter, 1.0 + jitter);
        let is_lost = loss_rate > 0.0 && self.random_sources.links.uniform() < loss_rate;
        (delay_us as u64 + 1, is_lost)
    }

    fn send_attempt(&mut self, key: RequestKey, excluded: Option<u32>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let (class, proxy_index) = (request.class, request.proxy);
        let proxy = &mut self.proxies[proxy_index as usize];
        let Some(server) = proxy.pick(self.now_us, class, self.scenario.pick, excluded) else {
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
        (connection.inflight, connection.used_us) = (connection.inflight + 1, self.now_us);
        let target = &self.servers[server as usize];
        let mut extra_connect_us = 0;
        if is_new_connection {
            let effects = target.effects;
            work_ms += self.scenario.kinds[target.kind].handshake_ms * effects.handshake_factor;
            extra_connect_us = effects.handshake_delay_us;
            self.metrics.add("connects", 1.0);
        }
        let server_zone = target.zone;
        self.metrics.add("tries", 1.0);
        self.metrics
            .add("crossing", f64::from(u8::from(zone != server_zone)));
        let attempt = self.attempts.insert(Attempt {
            request: key,
            client_attempt,
            proxy: proxy_index,
            server,
            sent_us: self.now_us,
            work_ms,
            position: Position::Elsewhere,
            is_abandoned: false,
            is_connected: true,
        });
        if let Some(request) = self.requests.get_mut(key) {
            request.current_attempt = Some(attempt);
        }
        self.check_attempt_rules(proxy_index as usize, server, work_ms);
        let (link_us, is_lost) = self.link_delay(zone, server_zone);
        // A new connection takes a round trip first.
        let arrives_at_us = self.now_us
            + link_us
            + if is_new_connection {
                2 * link_us + extra_connect_us
            } else {
                0
            };
        if is_lost {
            if is_new_connection {
                let timeout_at_us = self.now_us + self.scenario.connect_timeout_us;
                self.push(
                    timeout_at_us,
                    Event::Response {
                        attempt,
                        outcome: AttemptOutcome::NotExecuted,
                    },
                );
            }
        } else {
            self.push(
                arrives_at_us,
                Event::AttemptArrival {
                    attempt,
                    is_new_connection,
                },
            );
        }
        let AdmissionLevel { retry, .. } = self.admission(proxy_index as usize, class);
        let max_retries = match retry {
            Retry::Never | Retry::IfNotExecuted => 0,
            Retry::Once => 1,
            Retry::Twice => 2,
        };
        if attempt_count <= max_retries {
            let timeout_us = self.scenario.attempt_timeout_factor
                * self.scenario.classes[class].latency_objective_us as f64;
            self.push(
                self.now_us + timeout_us as u64,
                Event::AttemptTimeout { attempt },
            );
        }
    }

    /// Returns the admission level and the retry policy of a class at a proxy.
    fn admission(&self, proxy: usize, class: usize) -> AdmissionLevel {
        self.proxies[proxy]
            .admission(class)
            .unwrap_or(AdmissionLevel {
                level: 1.0,
                retry: self.scenario.default_retry,
            })
    }

    /// Checks the rules on draining and on warming up servers for an attempt that is sent.
    fn check_attempt_rules(&mut self, proxy: usize, server: u32, work_ms: f64) {
        let (now_us, scenario) = (self.now_us, self.scenario);
        let Some((supervisor, _, connected_since_us)) = self.proxies[proxy].control_stream else {
            self.check_warm_up(server, work_ms, false);
            return;
        };
        let known_server = self.supervisors[supervisor].known_server(server);
        if let Some(draining_since) = known_server.draining_since {
            let grace_end_us = draining_since.max(connected_since_us) + scenario.drain_grace_us;
            if now_us > grace_end_us {
                let name = Rc::clone(&self.servers[server as usize].name);
                let late_s = (now_us - grace_end_us) as f64 / 1e6;
                self.broken_rules
                    .record(Rule::Drain, now_us - START_US, || {
                        format!("proxy {proxy} sends to {name} {late_s:.2} s after the drain grace")
                    });
            }
        }
        let target = &self.servers[server as usize];
        if target.is_warming_up(now_us) {
            let knows_start = known_server.started_us == target.started_us;
            let is_informed = knows_start
                && (self.proxies[proxy].last_sent_us >= known_server.start_known_since
                    || now_us >= known_server.start_known_since + scenario.drain_grace_us);
            self.check_warm_up(server, work_ms, is_informed);
        }
    }

    fn check_warm_up(&mut self, server: u32, work_ms: f64, is_informed: bool) {
        let target = &mut self.servers[server as usize];
        if !target.is_warming_up(self.now_us) || !target.is_running() {
            return;
        }
        let capacity = target.warm_up_capacity(self.now_us);
        let limits = (
            self.scenario.overload_multiple,
            self.scenario.overload_window_us,
            self.mean_work_ms,
        );
        let load = check_warm_up_load(
            &mut target.warm_up_work,
            (self.now_us, work_ms, is_informed),
            capacity,
            limits,
        );
        if load == WarmUpLoad::Tolerated {
            return;
        }
        target.failed_warming_up = true;
        let name = Rc::clone(&target.name);
        if load == WarmUpLoad::KnowinglyOverloaded {
            let at_us = self.now_us - START_US;
            self.broken_rules.record(Rule::WarmUp, at_us, || {
                format!("{name} was overloaded while warming up")
            });
        }
        self.stop_server(server as usize, false);
    }

    /// Abandons an attempt and sends a cancel to the server.
    fn abandon(&mut self, key: AttemptKey) {
        let Some(attempt) = self
            .attempts
            .get_mut(key)
            .filter(|attempt| !attempt.is_abandoned)
        else {
            return;
        };
        attempt.is_abandoned = true;
        let (proxy, server, request, sent_us) = (
            attempt.proxy as usize,
            attempt.server,
            attempt.request,
            attempt.sent_us,
        );
        if let Some(request) = self.requests.get_mut(request) {
            request.maybe_executed_us.get_or_insert(sent_us);
            request.client_attempt_maybe_executed = true;
        }
        self.record_attempt_end(proxy, server, sent_us, AttemptOutcome::Failed);
        let (link_us, is_lost) =
            self.link_delay(self.proxies[proxy].zone, self.servers[server as usize].zone);
        if !is_lost {
            self.push(self.now_us + link_us, Event::Cancel { attempt: key });
        }
    }

    /// Records the end of an attempt in the proxy's local health and for the reports to its supervisor.
    fn record_attempt_end(
        &mut self,
        proxy_index: usize,
        server: u32,
        sent_us: u64,
        outcome: AttemptOutcome,
    ) {
        let (now_us, scenario) = (self.now_us, self.scenario);
        let proxy = &mut self.proxies[proxy_index];
        if let Some(connection) = proxy.connections.get_mut(&server) {
            (connection.inflight, connection.used_us) =
                (connection.inflight.saturating_sub(1), now_us);
        }
        proxy.record_attempt(
            now_us,
            server,
            outcome == AttemptOutcome::Succeeded,
            (scenario.ejection_threshold, scenario.ejection_us),
        );
        let Some((supervisor, ..)) = proxy.control_stream else {
            return;
        };
        let zone = proxy.zone;
        let reported_load = (outcome == AttemptOutcome::Succeeded).then(|| {
            let server = &self.servers[server as usize];
            (server.reported_queue, server.reported_service_ms)
        });
        let totals: &mut AttemptTotals = self.supervisors[supervisor]
            .attempt_totals
            .entry((zone, server))
            .or_default();
        totals.attempts += 1.0;
        match reported_load {
            Some((queue, service_ms)) => {
                totals.latency_sum_ms += (now_us - sent_us) as f64 / 1e3;
                totals.load = Some((queue, service_ms));
            }
            None => totals.failed += 1.0,
        }
    }

    fn handle_response(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
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
        self.record_attempt_end(proxy as usize, server, sent_us, outcome);
        if outcome == AttemptOutcome::NotExecuted {
            // A new connection to a stopped server was not established.
            self.drop_failed_connection(proxy as usize, server);
        }
        let Some(request) = self
            .requests
            .get_mut(request_key)
            .filter(|request| request.client_attempt == client_attempt)
        else {
            return;
        };
        request.current_attempt = None;
        let (class, arrived_us) = (request.class, request.arrived_us);
        match outcome {
            AttemptOutcome::Succeeded => {
                self.requests.remove(request_key);
                let latency_us = self.now_us + self.scenario.client_link_us as u64 - arrived_us;
                self.metrics.record_request(
                    self.scenario,
                    class,
                    arrived_us - START_US,
                    RequestOutcome::Answered(latency_us),
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

    /// Handles a failed attempt: the proxy retries it according to the retry policy, or fails the client attempt.
    fn retry_or_fail(&mut self, key: RequestKey, server: u32, is_unexecuted: bool) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (class, proxy, attempt_count, maybe_executed_us) = (
            request.class,
            request.proxy as usize,
            request.attempt_count,
            request.maybe_executed_us,
        );
        let AdmissionLevel { retry, .. } = self.admission(proxy, class);
        let has_retry_left = match retry {
            Retry::Never => false,
            Retry::IfNotExecuted => is_unexecuted && attempt_count <= 1,
            Retry::Once => attempt_count <= 1,
            Retry::Twice => attempt_count <= 2,
        };
        if !has_retry_left || !self.proxies[proxy].is_up {
            let is_unexecuted = is_unexecuted && !request.client_attempt_maybe_executed;
            self.fail_client_attempt(key, is_unexecuted, false);
            return;
        }
        let class_settings = &self.scenario.classes[class];
        if !may_repeat(class_settings.idempotency, maybe_executed_us, self.now_us) {
            let name = &class_settings.name;
            let at_us = self.now_us - START_US;
            self.broken_rules
                .record(Rule::DuplicateExecution, at_us, || {
                    format!("proxy {proxy} repeats a request of class {name} that may have been executed")
                });
        }
        self.send_attempt(key, Some(server));
    }

    /// Abandons an attempt that timed out, and retries the request.
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
        if self.requests.get(request).is_none_or(|request| {
            request.client_attempt != client_attempt || request.current_attempt != Some(key)
        }) {
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
        let (proxy, server_index, work_ms) = (
            attempt.proxy as usize,
            attempt.server as usize,
            attempt.work_ms,
        );
        let zones = (self.servers[server_index].zone, self.proxies[proxy].zone);
        if !self.servers[server_index].is_running() {
            if self.stopped_silently[server_index] {
                if is_new_connection {
                    let timeout_at_us = attempt.sent_us + self.scenario.connect_timeout_us;
                    self.push(
                        timeout_at_us,
                        Event::Response {
                            attempt: key,
                            outcome: AttemptOutcome::NotExecuted,
                        },
                    );
                }
                return;
            }
            let outcome = if is_new_connection {
                AttemptOutcome::NotExecuted
            } else {
                AttemptOutcome::Failed
            };
            self.send_response(key, zones, 0, outcome);
            return;
        }
        let server = &mut self.servers[server_index];
        if is_new_connection {
            if server.connections >= self.scenario.kinds[server.kind].connections {
                self.proxies[proxy]
                    .connections
                    .remove(&(server_index as u32));
                self.send_response(key, zones, 0, AttemptOutcome::NotExecuted);
                return;
            }
            server.advance(self.now_us);
            server.connections += 1;
        }
        let is_abandoned = attempt.is_abandoned;
        let draw = if server.effects.failure_share > 0.0 {
            self.random_sources.errors.uniform()
        } else {
            1.0
        };
        match server.accept(self.now_us, key, work_ms, draw) {
            AcceptResult::Accepted(position) => {
                if let Some(attempt) = self.attempts.get_mut(key) {
                    attempt.position = position;
                }
                self.reschedule(server_index);
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

    /// Sends the response to an attempt over the network, which may lose it.
    fn send_response(
        &mut self,
        attempt: AttemptKey,
        (from, to): (usize, usize),
        delay_us: u64,
        outcome: AttemptOutcome,
    ) {
        let (link_us, is_lost) = self.link_delay(from, to);
        if !is_lost {
            self.push(
                self.now_us + delay_us + link_us,
                Event::Response { attempt, outcome },
            );
        }
    }

    pub(crate) fn reschedule(&mut self, server: usize) {
        let target = &mut self.servers[server];
        let next_due_us = target.next_completion_us(self.now_us);
        if target.completion_due_us == next_due_us {
            return;
        }
        target.completion_due_us = next_due_us;
        target.completion_version += 1;
        if let Some(due_us) = next_due_us {
            let version = target.completion_version;
            self.push(
                due_us,
                Event::WorkCompletion {
                    server: server as u32,
                    version,
                },
            );
        }
    }

    fn complete_work(&mut self, server_index: usize, version: u32) {
        let server = &mut self.servers[server_index];
        if server.completion_version != version {
            return;
        }
        server.completion_due_us = None;
        let (completed, started) = server.finish(self.now_us);
        if self.now_us >= server.load_reported_us + self.scenario.load_refresh_us {
            server.load_reported_us = self.now_us;
            server.reported_queue = server.queue() as f64;
            server.reported_service_ms = server.service_ms();
        }
        let (kind, zone) = (server.kind, server.zone);
        self.update_positions(started);
        for key in completed {
            let Some(attempt) = self.attempts.get_mut(key) else {
                continue;
            };
            attempt.position = Position::Elsewhere;
            let (proxy, request, sent_us, work_ms) = (
                attempt.proxy as usize,
                attempt.request,
                attempt.sent_us,
                attempt.work_ms,
            );
            let is_abandoned = attempt.is_abandoned;
            self.record_execution(request, sent_us);
            if is_abandoned {
                self.metrics.add("wasted_ms", work_ms);
                self.attempts.remove(key);
                continue;
            }
            let has_failed =
                self.random_sources.errors.uniform() < self.scenario.kinds[kind].error_rate;
            let outcome = if has_failed {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Succeeded
            };
            self.send_response(key, (zone, self.proxies[proxy].zone), 0, outcome);
        }
        self.reschedule(server_index);
    }

    /// Records that a server has executed a request, and checks the rule on duplicates.
    fn record_execution(&mut self, key: RequestKey, sent_us: u64) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let class_settings = &self.scenario.classes[request.class];
        request.executions += 1;
        let first_sent_us = *request.maybe_executed_us.get_or_insert(sent_us);
        let is_duplicate = match class_settings.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::NotIdempotent => request.executions > 1,
            Idempotency::Keyed(..) => {
                request.executions > 1
                    && !may_repeat(class_settings.idempotency, Some(first_sent_us), sent_us)
            }
        };
        if is_duplicate {
            let (name, at_us) = (&class_settings.name, self.now_us - START_US);
            self.broken_rules
                .record(Rule::DuplicateExecution, at_us, || {
                    format!("a request of class {name} was executed twice")
                });
        }
    }

    fn update_positions(&mut self, started: Vec<(AttemptKey, Position)>) {
        for (key, position) in started {
            if let Some(attempt) = self.attempts.get_mut(key) {
                attempt.position = position;
            }
        }
    }

    fn cancel(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (server_index, position) = (attempt.server as usize, attempt.position);
        if position == Position::Elsewhere {
            return;
        }
        let server = &mut self.servers[server_index];
        let policy = self.scenario.kinds[server.kind].cancel;
        let (was_stopped, started) = server.cancel(self.now_us, key, position, policy);
        self.update_positions(started.into_iter().collect());
        if was_stopped {
            self.attempts.remove(key);
            self.reschedule(server_index);
        }
    }

    /// Stops a server. Unless it stops silently, its connections close at once and proxies receive failures.
    pub(crate) fn stop_server(&mut self, index: usize, is_silent: bool) {
        if !self.servers[index].is_running() {
            return;
        }
        let was_draining = self.servers[index].state == ServerState::Draining;
        self.stopped_silently[index] = is_silent;
        let lost_attempts = self.servers[index].stop(
            self.now_us,
            if was_draining {
                ServerState::Removed
            } else {
                ServerState::Down
            },
        );
        self.reschedule(index);
        let zone = self.servers[index].zone;
        for key in lost_attempts {
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
            self.drop_connections(index);
        }
        self.announce(index, Lifecycle::Removed, !was_draining);
    }

    /// Starts a stopped server, unless it stopped because of overload while warming up.
    pub(crate) fn start_server(&mut self, index: usize) {
        if self.servers[index].state != ServerState::Down || self.servers[index].failed_warming_up {
            return;
        }
        self.servers[index].start(self.now_us);
        self.drop_connections(index);
        self.announce(index, Lifecycle::InService, false);
    }

    fn drop_connections(&mut self, server: usize) {
        for proxy in &mut self.proxies {
            proxy.connections.remove(&(server as u32));
        }
    }

    pub(crate) fn remove_server(&mut self, index: usize) {
        if self.servers[index].is_running() {
            self.servers[index].state = ServerState::Draining;
            self.stop_server(index, false);
        }
    }

    pub(crate) fn start_replacement(&mut self, replaced: usize) {
        let (kind, zone) = (self.servers[replaced].kind, self.servers[replaced].zone);
        let replacement = self.add_server(kind, zone);
        self.servers[replacement].start(self.now_us);
        self.announce(replacement, Lifecycle::InService, false);
    }

    /// Schedules a lifecycle update of a server for each supervisor, after the delay of discovery.
    pub(crate) fn announce(&mut self, server: usize, lifecycle: Lifecycle, is_unannounced: bool) {
        self.endpoint_versions[server] += 1;
        let (seq, started_us) = (
            self.endpoint_versions[server],
            self.servers[server].started_us,
        );
        for supervisor in 0..self.supervisors.len() {
            let scenario = self.scenario;
            let delay_us = if is_unannounced {
                scenario.silent_failure_detection_us
                    * self.random_sources.discovery.uniform_between(0.8, 1.2)
            } else {
                self.random_sources.discovery.uniform_between(
                    scenario.min_discovery_delay_us,
                    scenario.max_discovery_delay_us,
                )
            };
            let update = Event::EndpointUpdate {
                supervisor: supervisor as u32,
                server: server as u32,
                lifecycle,
                started_us,
                seq,
            };
            self.push(self.now_us + delay_us as u64, update);
        }
    }

    fn update_endpoint(
        &mut self,
        index: usize,
        server: usize,
        lifecycle: Lifecycle,
        started_us: Option<u64>,
        seq: u32,
    ) {
        let now_us = self.now_us;
        let supervisor = &mut self.supervisors[index];
        if !supervisor.is_up
            || !supervisor.update_server(now_us, server, lifecycle, started_us, seq)
        {
            return;
        }
        let endpoint = supervisor.endpoint(self.scenario, server, &self.servers[server]);
        self.report_endpoints(index, EndpointUpdateKind::Delta, vec![endpoint]);
    }

    fn report_endpoints(
        &mut self,
        index: usize,
        kind: EndpointUpdateKind,
        entries: Vec<chutegrade_engine::NamedEndpoint>,
    ) {
        match &mut self.supervisors[index].controller {
            Controller::Engine(engine, ..) => {
                // Endpoint lists refer to no stream or proxy, so the engine accepts them.
                let _ = engine.report(Report::EndpointList(kind, entries));
            }
            Controller::Baseline(has_changed) => *has_changed = true,
        }
        self.schedule_tick(index, self.now_us);
    }

    // Supervisors.

    fn init_supervisor(&mut self, index: usize, kind: EndpointUpdateKind) {
        let endpoints = self.supervisors[index].endpoints(self.scenario, &self.servers);
        self.report_endpoints(index, kind, endpoints);
        let (supervisor, epoch) = (index as u32, self.supervisors[index].epoch);
        self.push(
            self.now_us + self.scenario.report_period_us,
            Event::ReportCollection { supervisor, epoch },
        );
    }

    pub(crate) fn stop_supervisor(&mut self, index: usize) {
        if !self.supervisors[index].is_up {
            return;
        }
        self.supervisors[index].is_up = false;
        self.supervisors[index].epoch += 1;
        self.supervisors[index].pending_reports.clear();
        self.supervisors[index].attempt_totals.clear();
        let connected_proxies: Vec<u32> =
            self.supervisors[index].streams.values().copied().collect();
        self.supervisors[index].streams.clear();
        for proxy in connected_proxies {
            self.disconnect(proxy as usize);
        }
    }

    pub(crate) fn start_supervisor(&mut self, index: usize) {
        if self.supervisors[index].is_up {
            return;
        }
        let epoch = self.supervisors[index].epoch;
        let controller = self.new_controller(index, epoch);
        let supervisor = &mut self.supervisors[index];
        (
            supervisor.is_up,
            supervisor.controller,
            supervisor.paused_until_us,
            supervisor.pending_tick,
        ) = (true, controller, 0, None);
        (supervisor.channel_free_us, supervisor.intake_scheduled) = (self.now_us as f64, false);
        self.report_endpoints(index, EndpointUpdateKind::Pending, Vec::new());
        self.init_supervisor(index, EndpointUpdateKind::CachedSnapshot);
        let delay_us = self.random_sources.discovery.uniform_between(
            self.scenario.min_discovery_delay_us,
            self.scenario.max_discovery_delay_us,
        );
        self.push(
            self.now_us + delay_us as u64,
            Event::EndpointSnapshot {
                supervisor: index as u32,
                epoch,
            },
        );
    }

    /// Updates a restarted supervisor with the current endpoint list.
    fn send_endpoint_snapshot(&mut self, index: usize, epoch: u32) {
        if !self.is_current(index, epoch) {
            return;
        }
        for server_index in 0..self.servers.len() {
            let server = &self.servers[server_index];
            let lifecycle = match server.state {
                ServerState::Up => Lifecycle::InService,
                ServerState::Draining => Lifecycle::Draining,
                ServerState::Down | ServerState::Removed => Lifecycle::Removed,
            };
            let (started_us, seq) = (server.started_us, self.endpoint_versions[server_index]);
            self.supervisors[index].update_server(
                self.now_us,
                server_index,
                lifecycle,
                started_us,
                seq,
            );
        }
        let endpoints = self.supervisors[index].endpoints(self.scenario, &self.servers);
        self.report_endpoints(index, EndpointUpdateKind::Snapshot, endpoints);
    }

    fn is_current(&self, index: usize, epoch: u32) -> bool {
        self.supervisors[index].is_up && self.supervisors[index].epoch == epoch
    }

    fn report(&mut self, index: usize, epoch: u32, report: Report) {
        if !self.is_current(index, epoch) {
            return;
        }
        if let Controller::Engine(engine, ..) = &mut self.supervisors[index].controller {
            // The engine rejects reports on streams that have ended; they are dropped, as in production.
            let _ = engine.report(report);
        }
        self.schedule_tick(index, self.now_us);
    }

    /// Schedules a tick at the given time or later, at least the tick period after the last one.
    fn schedule_tick(&mut self, index: usize, earliest_us: u64) {
        let supervisor = &mut self.supervisors[index];
        let due_us = earliest_us
            .max(supervisor.last_tick_us + self.scenario.tick_us)
            .max(supervisor.paused_until_us)
            .max(self.now_us);
        if supervisor
            .pending_tick
            .is_some_and(|(scheduled_us, _)| scheduled_us <= due_us)
        {
            return;
        }
        supervisor.scheduled_ticks += 1;
        supervisor.pending_tick = Some((due_us, supervisor.scheduled_ticks));
        let number = supervisor.scheduled_ticks;
        self.push(
            due_us,
            Event::Tick {
                supervisor: index as u32,
                number,
            },
        );
    }

    fn tick(&mut self, index: usize, number: u32) {
        let now_us = self.now_us;
        let supervisor = &mut self.supervisors[index];
        if !supervisor.is_up
            || supervisor
                .pending_tick
                .is_none_or(|(_, scheduled)| scheduled != number)
        {
            return;
        }
        supervisor.pending_tick = None;
        if supervisor.paused_until_us > now_us {
            let resume_us = supervisor.paused_until_us;
            self.schedule_tick(index, resume_us);
            return;
        }
        supervisor.last_tick_us = now_us;
        match &mut supervisor.controller {
            Controller::Engine(engine, advisor, overload_controller) => {
                advisor.evaluate(Micros(now_us as i64), engine);
                if let Some(change) = overload_controller
                    .as_mut()
                    .and_then(|controller| controller.evaluate(Micros(now_us as i64), engine))
                {
                    let at_s = (now_us - START_US) as f64 / 1e6;
                    self.metrics.record_level_change(LevelChange {
                        at_s,
                        supervisor: index,
                        change,
                    });
                }
                let next_tick = engine.tick(Micros(now_us as i64));
                let health_checks: Vec<HealthCheck> =
                    std::iter::from_fn(|| engine.take_health_check()).collect();
                let streams = engine.take_streams_with_orders();
                let order = |stream: StreamId| Some((stream.0, engine.take_order(stream)?));
                let orders: Vec<(u64, Order)> = streams.into_iter().filter_map(order).collect();
                while engine.take_log_event(Micros(now_us as i64)).is_some() {}
                if let Some(next_tick) = next_tick {
                    self.schedule_tick(index, next_tick.0.max(0) as u64);
                }
                health_checks
                    .into_iter()
                    .for_each(|check| self.send_health_check(index, check));
                orders
                    .into_iter()
                    .for_each(|(stream, order)| self.send_order(index, stream, Rc::new(order)));
            }
            Controller::Baseline(_) => self.tick_baseline(index),
        }
    }

    /// Sends the orders of a baseline if they may have changed.
    fn tick_baseline(&mut self, index: usize) {
        let Controller::Baseline(has_changed) = &mut self.supervisors[index].controller else {
            return;
        };
        let had_changed = std::mem::take(has_changed);
        let is_ideal = matches!(self.setup.control, Control::Ideal(_));
        if !had_changed && !is_ideal {
            return;
        }
        let capacities = self
            .capacity_history
            .front()
            .map(|(_, capacities)| capacities.clone())
            .unwrap_or_default();
        let known_servers = &self.supervisors[index].known_servers;
        let weight = |server: usize| {
            if is_ideal {
                return capacities
                    .get(server)
                    .copied()
                    .unwrap_or(self.servers[server].listed_weight);
            }
            let known = known_servers.get(server).copied().unwrap_or_default();
            let is_in_service = known.listed && known.lifecycle == Lifecycle::InService;
            if is_in_service {
                self.servers[server].listed_weight
            } else {
                0.0
            }
        };
        let order_of_zone =
            |zone: usize| Rc::new(baseline_order(self.scenario, &self.servers, zone, weight));
        let orders: Vec<Rc<Order>> = (0..self.scenario.zones.len()).map(order_of_zone).collect();
        let streams: Vec<(u64, u32)> = self.supervisors[index]
            .streams
            .iter()
            .map(|(stream, proxy)| (*stream, *proxy))
            .collect();
        for (stream, proxy) in streams {
            let order = Rc::clone(&orders[self.proxies[proxy as usize].zone]);
            self.send_order(index, stream, order);
        }
        if is_ideal {
            self.schedule_tick(index, self.now_us + BASELINE_PERIOD_US);
        }
    }

    /// Sends an order through the channel of a supervisor.
    fn send_order(&mut self, index: usize, stream: u64, order: Rc<Order>) {
        let (now_us, scenario) = (self.now_us, self.scenario);
        let Some(proxy) = self.supervisors[index].streams.get(&stream).copied() else {
            return;
        };
        let line_count = order_lines(&order) + scenario.message_overhead;
        let supervisor = &mut self.supervisors[index];
        let mut sent_at_us = now_us as f64;
        if !matches!(self.setup.control, Control::Ideal(_)) {
            supervisor.channel_free_us = supervisor.channel_free_us.max(now_us as f64)
                + line_count / scenario.channel_lines_per_s * 1e6;
            sent_at_us = supervisor.channel_free_us;
            let queued_lines =
                (supervisor.channel_free_us - now_us as f64) / 1e6 * scenario.channel_lines_per_s;
            self.metrics.add("lines", line_count);
            self.metrics
                .record_max("backlog", queued_lines / scenario.max_backlog);
            if queued_lines > scenario.max_backlog {
                let elapsed_us = now_us - START_US;
                self.broken_rules.record(Rule::Backlog, elapsed_us, || {
                    format!("{queued_lines:.0} lines are queued at supervisor {index}")
                });
            }
        }
        let delay_us = self
            .random_sources
            .links
            .exponential(scenario.delivery_delay_us)
            .min(scenario.max_delivery_delay_us);
        let target = &mut self.proxies[proxy as usize];
        while target
            .recent_messages
            .front()
            .is_some_and(|sent_us| sent_us + MESSAGE_WINDOW_US < now_us)
        {
            target.recent_messages.pop_front();
        }
        target.recent_messages.push_back(now_us);
        let recent_count = target.recent_messages.len();
        if scenario.max_messages > 0 && recent_count > scenario.max_messages {
            let elapsed_us = now_us - START_US;
            self.broken_rules.record(Rule::Backlog, elapsed_us, || {
                format!("{recent_count} messages to proxy {proxy} in 10 s")
            });
        }
        // Messages arrive in the order of sending.
        let arrives_at_us = ((sent_at_us + delay_us) as u64).max(target.last_arrival_us + 1);
        target.last_arrival_us = arrives_at_us;
        let message = Message {
            proxy,
            epoch: target.epoch,
            supervisor: index as u32,
            stream,
            sent_us: now_us,
            order,
        };
        self.push(arrives_at_us, Event::Message(Box::new(message)));
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
        let target = &mut self.proxies[proxy as usize];
        if target.epoch != epoch || !target.is_up {
            return;
        }
        if target.paused_until_us > self.now_us {
            let resume_us = target.paused_until_us;
            self.push(
                resume_us,
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
        target.apply(
            &order,
            |name| classes.iter().position(|class| class.name == name),
            |name| server_numbers.get(name).copied(),
        );
        target.last_sent_us = sent_us;
        target.paused_until_us =
            self.now_us + (order_lines(&order) * self.scenario.apply_us_per_line) as u64;
        if let Some(sequence) = order.acknowledge {
            let zones = (target.zone, self.supervisors[supervisor as usize].zone);
            let elapsed_us = target.paused_until_us - sent_us;
            let resume_us = target.paused_until_us;
            let (link_us, _) = self.link_delay(zones.0, zones.1);
            let epoch = self.supervisors[supervisor as usize].epoch;
            self.push(
                resume_us + link_us,
                Event::Ack {
                    supervisor,
                    epoch,
                    stream,
                    sequence,
                    elapsed_us,
                },
            );
        }
    }

    // Streams.

    /// Schedules the opening of a control stream; after a loss, the proxy has to detect that first.
    fn schedule_stream_opening(&mut self, index: usize, was_lost: bool) {
        let scenario = self.scenario;
        let detection_us = if was_lost {
            scenario.stream_loss_detection_us as f64
        } else {
            0.0
        };
        let delay_us = (detection_us + scenario.reconnect_us as f64)
            * self.random_sources.links.uniform_between(0.5, 1.0);
        let event = Event::StreamOpening {
            proxy: index as u32,
            epoch: self.proxies[index].epoch,
        };
        self.push(self.now_us + delay_us as u64 + 1, event);
    }

    fn home_supervisor(&self, proxy: usize) -> usize {
        let zone = self.proxies[proxy].zone;
        let in_zone: Vec<usize> = (0..self.supervisors.len())
            .filter(|index| self.supervisors[*index].zone == zone)
            .collect();
        if in_zone.is_empty() {
            proxy % self.supervisors.len()
        } else {
            in_zone[proxy / self.scenario.zones.len() % in_zone.len()]
        }
    }

    fn open_stream(&mut self, index: usize, epoch: u32) {
        if self.proxies[index].epoch != epoch || !self.proxies[index].is_up {
            return;
        }
        let home = self.home_supervisor(index);
        let supervisor_count = self.supervisors.len();
        let is_reachable = |sim: &Self, candidate: usize| {
            let (_, loss_rate) =
                sim.link_faults(sim.proxies[index].zone, sim.supervisors[candidate].zone);
            sim.supervisors[candidate].is_up && loss_rate < 1.0
        };
        let chosen = (0..supervisor_count)
            .map(|step| (home + step) % supervisor_count)
            .find(|candidate| is_reachable(self, *candidate));
        let Some(supervisor) = chosen else {
            self.schedule_stream_opening(index, false);
            return;
        };
        let target = &mut self.supervisors[supervisor];
        target.last_stream += 1;
        let stream = target.last_stream;
        target.streams.insert(stream, index as u32);
        let proxy = &mut self.proxies[index];
        proxy.control_stream = Some((supervisor, stream, self.now_us));
        proxy
            .no_server_since
            .iter_mut()
            .for_each(|since| *since = None);
        let (zone, has_no_table) = (proxy.zone, !proxy.has_table);
        let rate = self.scenario.rate / self.proxies.len() as f64;
        let zone_name = self.scenario.zones[zone].clone();
        let supervisor_epoch = self.supervisors[supervisor].epoch;
        let opened = Report::StreamOpened {
            stream: StreamId(stream),
            proxy: index as u32,
            zone: zone_name,
            request_rate: rate,
            has_no_table,
        };
        if let Controller::Baseline(has_changed) = &mut self.supervisors[supervisor].controller {
            *has_changed = true;
        }
        self.report(supervisor, supervisor_epoch, opened);
        if supervisor != home && self.scenario.rehome_us > 0 {
            self.push(
                self.now_us + self.scenario.rehome_us,
                Event::Rehome {
                    proxy: index as u32,
                    epoch,
                },
            );
        }
    }

    fn rehome(&mut self, index: usize, epoch: u32) {
        if self.proxies[index].epoch != epoch || self.proxies[index].control_stream.is_none() {
            return;
        }
        if self.supervisors[self.home_supervisor(index)].is_up {
            self.break_stream(index);
        } else {
            self.push(
                self.now_us + self.scenario.rehome_us,
                Event::Rehome {
                    proxy: index as u32,
                    epoch,
                },
            );
        }
    }

    /// Closes the control stream of a proxy, and schedules a new one.
    fn disconnect(&mut self, index: usize) {
        let proxy = &mut self.proxies[index];
        if proxy.control_stream.take().is_none() {
            return;
        }
        proxy.epoch += 1;
        proxy
            .no_server_since
            .iter_mut()
            .for_each(|since| *since = None);
        self.schedule_stream_opening(index, true);
    }

    pub(crate) fn break_stream(&mut self, index: usize) {
        let Some((supervisor, stream, _)) = self.proxies[index].control_stream else {
            return;
        };
        self.supervisors[supervisor].streams.remove(&stream);
        let epoch = self.supervisors[supervisor].epoch;
        self.disconnect(index);
        self.report(supervisor, epoch, Report::StreamLost(StreamId(stream)));
    }

    pub(crate) fn stop_proxy(&mut self, index: usize) {
        if !self.proxies[index].is_up {
            return;
        }
        self.break_stream(index);
        self.proxies[index].is_up = false;
        self.proxies[index].epoch += 1;
        for (server_index, _) in std::mem::take(&mut self.proxies[index].connections) {
            let server = &mut self.servers[server_index as usize];
            server.connections = server.connections.saturating_sub(1);
        }
        let open_requests: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request.proxy as usize == index && request.current_attempt.is_some()
            })
            .map(|(key, _)| key)
            .collect();
        for key in open_requests {
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

    pub(crate) fn start_proxy(&mut self, index: usize) {
        if self.proxies[index].is_up {
            return;
        }
        let initial_table = self.initial_table(self.proxies[index].zone);
        self.proxies[index].restart(initial_table);
        if self.setup.control != Control::Nobody {
            self.schedule_stream_opening(index, false);
        }
    }

    // Reports.

    fn collect_reports(&mut self, index: usize, epoch: u32) {
        if !self.is_current(index, epoch) {
            return;
        }
        let (scenario, noise) = (self.scenario, self.scenario.report_noise);
        self.push(
            self.now_us + scenario.report_period_us,
            Event::ReportCollection {
                supervisor: index as u32,
                epoch,
            },
        );
        let random = &mut self.random_sources.reports;
        let mut reports = self.supervisors[index]
            .take_reports(scenario, &self.servers, || random.noise_factor(noise));
        let period = Micros(scenario.report_period_us as i64);
        for proxy in self.supervisors[index].streams.values() {
            let usage = &mut self.proxies[*proxy as usize].usage;
            for (class, class_usage) in scenario.classes.iter().zip(usage.iter_mut()) {
                let class_usage = std::mem::take(class_usage);
                if class_usage.arrivals > 0.0 {
                    let (class, proxy) = (class.name.clone(), *proxy);
                    reports.push(Report::ProxyDemand {
                        proxy,
                        class,
                        arrivals: class_usage.arrivals,
                        failed: class_usage.failed,
                        period,
                    });
                }
            }
        }
        let delay_us = (scenario.report_delay_us as f64 * random.uniform_between(0.6, 1.4)) as u64
            + self.extra_report_delay_us();
        let due_us = self.now_us + delay_us;
        let supervisor = &mut self.supervisors[index];
        supervisor
            .pending_reports
            .extend(reports.into_iter().map(|report| (due_us, report)));
        if !supervisor.intake_scheduled && !supervisor.pending_reports.is_empty() {
            supervisor.intake_scheduled = true;
            self.push(
                due_us,
                Event::ReportIntake {
                    supervisor: index as u32,
                    epoch,
                },
            );
        }
    }

    fn take_in_reports(&mut self, index: usize, epoch: u32) {
        if !self.is_current(index, epoch) {
            return;
        }
        let max_reports =
            (self.scenario.report_intake_per_s * INTAKE_PERIOD_US as f64 / 1e6).ceil() as usize;
        let now_us = self.now_us;
        let supervisor = &mut self.supervisors[index];
        let mut count = 0;
        while count < max_reports
            && supervisor
                .pending_reports
                .front()
                .is_some_and(|(due_us, _)| *due_us <= now_us)
        {
            let Some((_, report)) = supervisor.pending_reports.pop_front() else {
                break;
            };
            count += 1;
            if let Controller::Engine(engine, ..) = &mut supervisor.controller {
                // The engine rejects reports on proxies that have disconnected; they are dropped, as in production.
                let _ = engine.report(report);
            }
        }
        match supervisor.pending_reports.front() {
            Some((due_us, _)) => {
                let next_us = (*due_us).max(now_us + INTAKE_PERIOD_US);
                self.push(
                    next_us,
                    Event::ReportIntake {
                        supervisor: index as u32,
                        epoch,
                    },
                );
            }
            None => supervisor.intake_scheduled = false,
        }
        if count > 0 {
            self.schedule_tick(index, now_us);
        }
    }

    // Health checks.

    fn send_health_check(&mut self, index: usize, check: HealthCheck) {
        let Some(server) = check
            .address
            .parse::<u32>()
            .ok()
            .filter(|number| (*number as usize) < self.servers.len())
        else {
            return;
        };
        self.metrics.add("probes", 1.0);
        let zones = (
            self.supervisors[index].zone,
            self.servers[server as usize].zone,
        );
        let (link_us, is_lost) = self.link_delay(zones.0, zones.1);
        let epoch = self.supervisors[index].epoch;
        let pending = PendingHealthCheck {
            supervisor: index as u32,
            epoch,
            server,
            sent_us: self.now_us,
            check,
        };
        if is_lost {
            self.time_out_health_check(pending);
        } else {
            self.push(
                self.now_us + link_us,
                Event::HealthCheckArrival(Box::new(pending)),
            );
        }
    }

    fn time_out_health_check(&mut self, pending: PendingHealthCheck) {
        let timeout_at_us = pending.sent_us + self.scenario.health_check_timeout_us;
        let result = (
            pending,
            HealthCheckOutcome::TimedOut,
            LoadReport::default(),
            false,
        );
        self.push(timeout_at_us, Event::HealthCheckEnd(Box::new(result)));
    }

    fn handle_health_check_arrival(&mut self, pending: PendingHealthCheck) {
        let index = pending.server as usize;
        let zones = (
            self.servers[index].zone,
            self.supervisors[pending.supervisor as usize].zone,
        );
        if !self.servers[index].is_running() && self.stopped_silently[index] {
            self.time_out_health_check(pending);
            return;
        }
        let (link_us, _) = self.link_delay(zones.0, zones.1);
        let server = &self.servers[index];
        let max_checks =
            self.scenario.max_health_checks_per_core * self.scenario.kinds[server.kind].cores;
        let outcome = match server.state {
            ServerState::Down | ServerState::Removed => Some(HealthCheckOutcome::Unreachable),
            ServerState::Draining => Some(HealthCheckOutcome::Rejected),
            ServerState::Up if f64::from(server.active_health_checks) >= max_checks => {
                Some(HealthCheckOutcome::Rejected)
            }
            ServerState::Up => None,
        };
        if let Some(outcome) = outcome {
            let result = (pending, outcome, LoadReport::default(), false);
            self.push(
                self.now_us + link_us,
                Event::HealthCheckEnd(Box::new(result)),
            );
            return;
        }
        let is_deep = self.scenario.deep_health_checks;
        if is_deep
            && server.effects.failure_share > 0.0
            && self.random_sources.errors.uniform() < server.effects.failure_share
        {
            let result = (
                pending,
                HealthCheckOutcome::Error,
                LoadReport::default(),
                false,
            );
            self.push(
                self.now_us + ERROR_RESPONSE_US + link_us,
                Event::HealthCheckEnd(Box::new(result)),
            );
            return;
        }
        let queueing_ms = if is_deep {
            server.expected_wait_ms()
        } else {
            0.0
        };
        let elapsed_us = server
            .health_check_ms(self.now_us, self.scenario.health_check_work_ms)
            .map(|service_ms| ((service_ms + queueing_ms) * 1e3) as u64);
        let in_time = elapsed_us.filter(|elapsed_us| {
            self.now_us + elapsed_us + link_us
                < pending.sent_us + self.scenario.health_check_timeout_us
        });
        let Some(elapsed_us) = in_time else {
            self.time_out_health_check(pending);
            return;
        };
        let (queue, service_ms) = (server.queue() as f64, server.service_ms());
        let load = if self.scenario.load_reports {
            LoadReport {
                queued: Some(queue),
                latency_ms: Some(service_ms),
                ..LoadReport::default()
            }
        } else {
            LoadReport::default()
        };
        self.servers[index].active_health_checks += 1;
        let result = (pending, HealthCheckOutcome::Passed, load, true);
        self.push(
            self.now_us + elapsed_us + link_us,
            Event::HealthCheckEnd(Box::new(result)),
        );
    }

    fn end_health_check(
        &mut self,
        (pending, outcome, load, was_answered): (
            PendingHealthCheck,
            HealthCheckOutcome,
            LoadReport,
            bool,
        ),
    ) {
        if was_answered {
            let server = &mut self.servers[pending.server as usize];
            server.active_health_checks = server.active_health_checks.saturating_sub(1);
        }
        let elapsed = Micros((self.now_us - pending.sent_us) as i64);
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
                check,
                outcome,
                elapsed,
                load,
            },
        );
    }

    // Periodic checks and metrics.

    /// After the end of a fault: watches the affected servers that no proxy can select, until one can.
    pub(crate) fn watch_recovered(&mut self, number: usize) {
        let can_be_picked = |server: u32| {
            self.proxies
                .iter()
                .any(|proxy| proxy.is_up && proxy.can_pick(server))
        };
        let unpicked = self.fault_states[number]
            .targets
            .iter()
            .map(|index| *index as u32)
            .filter(|server| !can_be_picked(*server));
        let unpicked: Vec<(u32, u64)> = unpicked.map(|server| (server, self.now_us)).collect();
        self.watched_recovered.extend(unpicked);
    }

    pub(crate) fn watch_faulty(&mut self, number: usize) {
        let targets = &self.fault_states[number].targets;
        self.watched_faulty
            .extend(targets.iter().map(|index| (*index as u32, self.now_us)));
    }

    /// Checks for proxies without servers, and for affected and recovered servers that proxies can select or not.
    fn check_rules(&mut self) {
        self.push(self.now_us + RULE_CHECK_PERIOD_US, Event::RuleCheck);
        let (now_us, scenario) = (self.now_us, self.scenario);
        if let Control::Ideal(delay_ms) = self.setup.control {
            let capacities = self.servers.iter().map(|server| {
                let is_serving = server.state == ServerState::Up && !server.effects.is_hanging;
                if is_serving {
                    server.capacity(now_us) * (1.0 - server.effects.failure_share).powi(4)
                } else {
                    0.0
                }
            });
            self.capacity_history
                .push_back((now_us, capacities.collect()));
            while self
                .capacity_history
                .get(1)
                .is_some_and(|(at_us, _)| at_us + u64::from(delay_ms) * 1000 <= now_us)
            {
                self.capacity_history.pop_front();
            }
        }
        for index in 0..self.proxies.len() {
            let Some((supervisor_index, _, connected_since_us)) =
                self.proxies[index].control_stream
            else {
                continue;
            };
            for class in 0..scenario.classes.len() {
                if self.proxies[index].has_servers(class) {
                    self.proxies[index].no_server_since[class] = None;
                    continue;
                }
                let empty_since_us =
                    *self.proxies[index].no_server_since[class].get_or_insert(now_us);
                let required_zone = scenario.classes[class]
                    .zone_local
                    .then_some(self.proxies[index].zone);
                let supervisor = &self.supervisors[supervisor_index];
                if now_us > empty_since_us.max(connected_since_us) + scenario.max_unserved_us
                    && supervisor.has_warm_server(
                        now_us,
                        &self.servers,
                        self.max_slow_start_us,
                        required_zone,
                    )
                {
                    // A further violation is counted after another full period.
                    self.proxies[index].no_server_since[class] = Some(now_us);
                    let name = &scenario.classes[class].name;
                    let at_us = now_us - START_US;
                    self.broken_rules.record(Rule::Unserved, at_us, || {
                        format!("proxy {index} has no server for class {name}")
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
                self.metrics.record_restored((now_us - since) as f64 / 1e6);
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
                self.metrics.record_shut_out((now_us - since) as f64 / 1e6);
            }
        }
    }

    /// Closes idle connections and records metrics, once per second.
    fn end_second(&mut self) {
        self.push(self.now_us + 1_000_000, Event::SecondEnd);
        let (now_us, idle_timeout_us) = (self.now_us, self.scenario.idle_close_us);
        for proxy in &mut self.proxies {
            let mut open = std::mem::take(&mut proxy.connections);
            open.retain(|server, connection: &mut Connection| {
                let is_kept = connection.inflight > 0
                    || (proxy.can_pick(*server) && connection.used_us + idle_timeout_us > now_us);
                if !is_kept {
                    let server = &mut self.servers[*server as usize];
                    server.advance(now_us);
                    server.connections = server.connections.saturating_sub(1);
                }
                is_kept
            });
            proxy.connections = open;
        }
        // Warming up servers become faster, so their next completion changes.
        for index in 0..self.servers.len() {
            if self.servers[index].is_warming_up(now_us) {
                self.servers[index].advance(now_us);
                self.reschedule(index);
            }
        }
        let queue: usize = self.servers.iter().map(Server::queue).sum();
        let running_count = self
            .servers
            .iter()
            .filter(|server| server.is_running())
            .count()
            .max(1);
        let open_count: f64 = self
            .servers
            .iter()
            .map(|server| f64::from(server.connections))
            .sum();
        self.metrics.record_max("queue", queue as f64);
        self.metrics
            .record_max("connections", open_count / running_count as f64);
        let scenario = self.scenario;
        let queued_lines = self.supervisors.iter().map(|supervisor| {
            (supervisor.channel_free_us - now_us as f64).max(0.0) / 1e6
                * scenario.channel_lines_per_s
        });
        let max_backlog_share = queued_lines.fold(0.0, f64::max) / scenario.max_backlog;
        let second = (self.elapsed_us() / 1_000_000).saturating_sub(1) as usize;
        self.metrics
            .record_second_end(second, queue as f64, max_backlog_share);
    }
}
