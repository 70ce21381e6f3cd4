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

use crate::chance::{Chance, Source};
use crate::front::{Connection, Front, Table};
use crate::measure::{Ending, LevelChange, Meter, Outcome};
use crate::queue::{Queue, Wheel};
use crate::rules::{may_repeat, sent_cold, Cold, Rule, Rules};
use crate::scenario::Scenario;
use crate::server::{Life, Place, Server, Taken};
use crate::supervisor::{lines, whole, Mind, Supervisor, Tally};
use crate::trouble::Struck;

pub use crate::supervisor::{Control, Setup};

new_key_type! {
    /// An attempt at a server.
    pub struct AttemptKey;
    /// A client's request.
    pub struct RequestKey;
}

/// Virtual time at which runs begin, in microseconds: the decisions take 0 for long ago.
const BEGIN_US: u64 = 1_000_000_000;
/// Time between two looks at rules that hold over time, in microseconds.
const LOOK_US: u64 = 200_000;
/// Time between two turns of intake, in microseconds.
const INTAKE_US: u64 = 50_000;
/// Time between two turns of a baseline, in microseconds.
const PLAIN_US: u64 = 1_000_000;
/// After the last arrival a run goes on for so long at most, in microseconds: the longest deadlines are seconds.
const DRAIN_US: u64 = 30_000_000;
/// Longest gap between two arrivals that is drawn at once, in microseconds: demand moves meanwhile.
const GAP_MOST_US: f64 = 250_000.0;
/// Time to answer with an error, in microseconds.
const ERROR_US: u64 = 1_000;
/// Time over which messages to one front end are counted, in microseconds.
const MESSAGES_US: u64 = 10_000_000;

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A good answer.
    Good,
    /// It surely did not run: no connection, or turned away.
    Unrun,
    /// It failed, or nobody knows.
    Failed,
}

/// A probe on its way.
#[derive(Debug)]
pub struct Probing {
    supervisor: u32,
    epoch: u32,
    server: u32,
    sent_us: u64,
    probe: HealthCheck,
}

/// A message on its way to a front end.
#[derive(Debug)]
pub struct Message {
    front: u32,
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
    Arrive,
    Comes {
        request: RequestKey,
        coming: u32,
    },
    Reach {
        attempt: AttemptKey,
        fresh: bool,
    },
    Work {
        server: u32,
        version: u32,
    },
    Answer {
        attempt: AttemptKey,
        end: End,
    },
    GiveUp {
        request: RequestKey,
        coming: u32,
    },
    Wait {
        attempt: AttemptKey,
    },
    Cancel {
        attempt: AttemptKey,
    },
    Second,
    Look,
    Sums {
        supervisor: u32,
        epoch: u32,
    },
    Intake {
        supervisor: u32,
        epoch: u32,
    },
    Tick {
        supervisor: u32,
        number: u32,
    },
    Dial {
        front: u32,
        epoch: u32,
    },
    Rehome {
        front: u32,
        epoch: u32,
    },
    Message(Box<Message>),
    Ack {
        supervisor: u32,
        epoch: u32,
        stream: u64,
        mark: u16,
        took: u64,
    },
    ProbeReach(Box<Probing>),
    ProbeEnd(Box<(Probing, HealthCheckOutcome, LoadReport, bool)>),
    News {
        supervisor: u32,
        server: u32,
        life: Lifecycle,
        started_us: Option<u64>,
        seq: u32,
    },
    Relist {
        supervisor: u32,
        epoch: u32,
    },
    TroubleBegins(u32),
    TroubleEnds(u32),
    TroubleMoves(u32),
    Drains {
        server: u32,
        trouble: u32,
    },
    Removed {
        server: u32,
    },
    Replacement {
        server: u32,
    },
}

/// A client's request, until it is answered or given up.
#[derive(Debug)]
struct Request {
    class: usize,
    zone: usize,
    came_us: u64,
    work_ms: f64,
    tries_noise: [f64; 2],
    comings: u32,
    tries: u32,
    front: u32,
    /// When the first try that may have run was sent, in any coming, and in this one.
    ran_us: Option<u64>,
    coming_ran: bool,
    current: Option<AttemptKey>,
    effects: u32,
}

#[derive(Debug)]
struct Attempt {
    request: RequestKey,
    coming: u32,
    front: u32,
    server: u32,
    sent_us: u64,
    work_ms: f64,
    place: Place,
    abandoned: bool,
    /// The server has died since, or the way lost it: nothing more comes of it.
    connected: bool,
}

/// A run under way.
pub struct Sim<'a, Q: Queue<Event>> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) seed: u64,
    pub(crate) now: u64,
    queue: Q,
    setup: &'a Setup,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Attempt>,
    pub(crate) servers: Vec<Server>,
    pub(crate) fronts: Vec<Front>,
    pub(crate) supervisors: Vec<Supervisor>,
    pub(crate) struck: Vec<Struck>,
    pub(crate) ways_troubled: bool,
    watched: Vec<(u32, u64)>,
    /// Servers whose trouble ended while nobody picked them, since when.
    healing: Vec<(u32, u64)>,
    by_zone: Vec<Vec<u32>>,
    names: FxHashMap<Rc<str>, u32>,
    news: Vec<u32>,
    silent: Vec<bool>,
    past: VecDeque<(u64, Vec<f64>)>,
    meter: Meter,
    rules: Rules,
    events: u64,
    chances: Chances,
    /// Parts of all classes together, and what a request takes in the mean.
    shares: f64,
    mean_work_ms: f64,
    longest_cold_us: u64,
    /// Recorded requests that have come.
    replayed: usize,
    /// What the classes, and the zones, of recorded traffic are here.
    recorded: (Vec<Option<usize>>, Vec<Option<usize>>),
}

struct Chances {
    arrivals: Chance,
    requests: Chance,
    ways: Chance,
    clients: Chance,
    reports: Chance,
    discovery: Chance,
    errors: Chance,
    standing: Chance,
    servers: Chance,
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
    run_on(scenario, setup, seed, Wheel::default()).0
}

/// A finished run: its outcome, and the queue that it ran on.
pub type Run<Q> = (Outcome, Q);

/// Plays a scenario on a given queue.
pub fn run_on<Q: Queue<Event>>(scenario: &Scenario, setup: &Setup, seed: u64, queue: Q) -> Run<Q> {
    let mut sim = Sim::new(scenario, setup, seed, queue);
    sim.begin();
    sim.go();
    sim.finish()
}

impl<'a, Q: Queue<Event>> Sim<'a, Q> {
    fn new(scenario: &'a Scenario, setup: &'a Setup, seed: u64, queue: Q) -> Self {
        let chance = |source| Chance::new(seed, source, 0);
        let chances = Chances {
            arrivals: chance(Source::Arrivals),
            requests: chance(Source::Requests),
            ways: chance(Source::Ways),
            clients: chance(Source::Clients),
            reports: chance(Source::Reports),
            discovery: chance(Source::Discovery),
            errors: chance(Source::Errors),
            standing: chance(Source::Standing),
            servers: chance(Source::Servers),
        };
        let shares: f64 = scenario.classes.iter().map(|class| class.share).sum();
        let work: f64 = scenario
            .classes
            .iter()
            .map(|class| class.share * class.work_ms)
            .sum();
        Sim {
            scenario,
            seed,
            now: BEGIN_US,
            queue,
            setup,
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            servers: Vec::new(),
            fronts: Vec::new(),
            supervisors: Vec::new(),
            struck: vec![Struck::default(); scenario.troubles.len()],
            ways_troubled: scenario
                .troubles
                .iter()
                .any(|of| of.sort == crate::scenario::Sort::Way),
            watched: Vec::new(),
            healing: Vec::new(),
            by_zone: vec![Vec::new(); scenario.zones.len()],
            names: FxHashMap::default(),
            news: Vec::new(),
            silent: Vec::new(),
            past: VecDeque::new(),
            meter: Meter::new(scenario),
            rules: Rules::default(),
            events: 0,
            chances,
            shares,
            mean_work_ms: work / shares.max(1e-9),
            longest_cold_us: scenario
                .kinds
                .iter()
                .map(|kind| kind.cold_us)
                .max()
                .unwrap_or(0),
            replayed: 0,
            recorded: setup.recorded(scenario),
        }
    }

    pub(crate) fn push(&mut self, at: u64, event: Event) {
        self.queue.push(at, event);
    }

    /// Time since the run began, in microseconds.
    fn elapsed(&self) -> u64 {
        self.now - BEGIN_US
    }

    fn add_server(&mut self, kind: usize, zone: usize) -> usize {
        let number = self.servers.len();
        let name: Rc<str> = format!("s-{number:05}").into();
        let of = &self.scenario.kinds[kind];
        let faster = self.chances.servers.spread(of.speed_cv);
        self.servers
            .push(Server::new(Rc::clone(&name), zone, kind, of, faster));
        self.names.insert(name, number as u32);
        self.news.push(0);
        self.silent.push(false);
        number
    }

    fn standing(&mut self, zone: usize) -> Table {
        let home: Vec<usize> = (0..self.servers.len())
            .filter(|at| self.servers[*at].life == Life::Up && self.servers[*at].zone == zone)
            .collect();
        let all = || {
            (0..self.servers.len())
                .filter(|at| self.servers[*at].life == Life::Up)
                .collect()
        };
        let from: Vec<usize> = if home.len() >= 3 { home } else { all() };
        let chosen = self
            .chances
            .standing
            .some(from.len(), self.scenario.standing);
        Table::new(
            chosen
                .into_iter()
                .map(|at| (from[at] as u32, self.servers[from[at]].listed))
                .collect(),
        )
    }

    fn mind(&self, supervisor: usize, epoch: u32) -> Mind {
        if self.setup.control != Control::Module {
            return Mind::Plain(true);
        }
        let zone = supervisor % self.scenario.zones.len();
        let seed = Chance::new(
            self.seed,
            Source::Supervisors,
            supervisor * 1000 + epoch as usize,
        )
        .number();
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
            Some(other) => {
                let decides = (other.create)(&settings, seed);
                Engine::with_policy(decides, &settings, names)
            }
            None => Engine::new(settings, seed, names),
        });
        let service = self.setup.service(self.scenario, &mut engine);
        Mind::Engine(engine, Box::new(self.setup.rules()), service)
    }

    fn begin(&mut self) {
        let zones = self.scenario.zones.len();
        let mut placed = 0;
        for kind in 0..self.scenario.kinds.len() {
            for _ in 0..self.scenario.kinds[kind].servers {
                self.add_server(kind, placed % zones);
                placed += 1;
            }
        }
        for at in 0..self.scenario.proxies {
            let standing = self.standing(at % zones);
            let chance = Chance::new(self.seed, Source::Picks, at);
            self.by_zone[at % zones].push(at as u32);
            self.fronts.push(Front::new(
                at % zones,
                self.scenario.classes.len(),
                standing,
                chance,
            ));
        }
        for at in 0..self.scenario.supervisors {
            let mind = self.mind(at, 0);
            self.supervisors
                .push(Supervisor::new(at % zones, mind, self.servers.len()));
            self.supervisor_begins(at, EndpointUpdateKind::Snapshot);
        }
        if self.setup.control != Control::Nobody {
            for at in 0..self.fronts.len() {
                self.dial(at, false);
            }
        }
        for (at, trouble) in self.scenario.troubles.iter().enumerate() {
            self.queue
                .push(BEGIN_US + trouble.from_us, Event::TroubleBegins(at as u32));
            self.queue
                .push(BEGIN_US + trouble.to_us, Event::TroubleEnds(at as u32));
        }
        self.push(BEGIN_US, Event::Arrive);
        self.push(BEGIN_US + LOOK_US, Event::Look);
        self.push(BEGIN_US + 1_000_000, Event::Second);
    }

    fn go(&mut self) {
        let last = BEGIN_US + self.scenario.duration_us;
        while let Some((at, event)) = self.queue.pop() {
            if at > last && (self.requests.is_empty() || at > last + DRAIN_US) {
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
            .map(|of| (of.class, of.came_us - BEGIN_US))
            .collect();
        for (class, came) in left {
            self.meter.ended(self.scenario, class, came, Ending::Failed);
        }
        (
            self.meter
                .finish(self.scenario, self.rules.finish(), self.events),
            self.queue,
        )
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Comes { request, coming } => self.comes(request, coming),
            Event::Reach { attempt, fresh } => self.reach(attempt, fresh),
            Event::Work { server, version } => self.works(server as usize, version),
            Event::Answer { attempt, end } => self.answer(attempt, end),
            Event::GiveUp { request, coming } => self.give_up(request, coming),
            Event::Wait { attempt } => self.waited(attempt),
            Event::Cancel { attempt } => self.cancel(attempt),
            Event::Second => self.second(),
            Event::Look => self.look(),
            Event::Sums { supervisor, epoch } => self.sums(supervisor as usize, epoch),
            Event::Intake { supervisor, epoch } => self.intake(supervisor as usize, epoch),
            Event::Tick { supervisor, number } => self.tick(supervisor as usize, number),
            Event::Dial { front, epoch } => self.dials(front as usize, epoch),
            Event::Rehome { front, epoch } => self.rehome(front as usize, epoch),
            Event::Message(message) => self.message(*message),
            Event::Ack {
                supervisor,
                epoch,
                stream,
                mark,
                took,
            } => {
                let took = Micros(took as i64);
                let report = Report::Acknowledged {
                    stream: StreamId(stream),
                    sequence: mark,
                    elapsed: took,
                };
                self.report(supervisor as usize, epoch, report);
            }
            Event::ProbeReach(probing) => self.probe_reach(*probing),
            Event::ProbeEnd(ended) => self.probe_end(*ended),
            Event::News {
                supervisor,
                server,
                life,
                started_us,
                seq,
            } => {
                self.news(supervisor as usize, server as usize, life, started_us, seq);
            }
            Event::Relist { supervisor, epoch } => self.relist(supervisor as usize, epoch),
            Event::TroubleBegins(number) => self.trouble_begins(number as usize),
            Event::TroubleEnds(number) => self.trouble_ends(number as usize),
            Event::TroubleMoves(number) => self.trouble_moves(number as usize),
            Event::Drains { server, trouble } => self.drains(server as usize, trouble as usize),
            Event::Removed { server } => self.removed(server as usize),
            Event::Replacement { server } => self.replacement(server as usize),
        }
    }

    // Clients.

    fn arrive(&mut self) {
        if self.elapsed() >= self.scenario.duration_us {
            return;
        }
        if let Some(traffic) = self.setup.traffic.clone() {
            self.replay(&traffic);
            return;
        }
        let (more, heavy_share, heavier) = self.pressure();
        let rate = self.scenario.rate * self.scenario.demand(self.elapsed()) * more;
        let gap = if rate > 0.0 {
            self.chances.arrivals.gap(1e6 / rate)
        } else {
            f64::INFINITY
        };
        if gap > GAP_MOST_US {
            // Nothing comes meanwhile; what comes later does not depend on how long nothing came.
            self.push(self.now + GAP_MOST_US as u64, Event::Arrive);
            return;
        }
        self.push(self.now + (gap as u64).max(1), Event::Arrive);
        let chance = &mut self.chances.requests;
        let mut drawn = chance.share() * self.shares;
        let class = self.scenario.classes.iter().position(|class| {
            drawn -= class.share;
            drawn < 0.0
        });
        let class = class.unwrap_or(self.scenario.classes.len() - 1);
        self.request(class, None, None, (heavy_share, heavier));
    }

    /// Brings in all recorded requests that came by now. What a record does not say is drawn; troubles weigh on it, but for
    /// bursts: what came is what came.
    fn replay(&mut self, traffic: &Traffic) {
        while let Some(of) = traffic.arrivals.get(self.replayed).copied() {
            if of.at_us > self.elapsed() {
                self.push(BEGIN_US + of.at_us, Event::Arrive);
                return;
            }
            self.replayed += 1;
            let (_, heavy_share, heavier) = self.pressure();
            let (classes, zones) = &self.recorded;
            let zone = of
                .zone
                .and_then(|zone| zones.get(usize::from(zone)).copied().flatten());
            let Some(class) = classes.get(usize::from(of.class)).copied().flatten() else {
                continue;
            };
            self.request(class, zone, of.work_ms, (heavy_share, heavier));
        }
    }

    /// A client's request comes; its zone and its work are drawn where they are not given.
    fn request(
        &mut self,
        class: usize,
        zone: Option<usize>,
        work_ms: Option<f64>,
        (heavy_share, heavier): (f64, f64),
    ) {
        let of = &self.scenario.classes[class];
        let chance = &mut self.chances.requests;
        let (zone_drawn, front_drawn, spread) =
            (chance.share(), chance.share(), chance.spread(of.work_cv));
        let tries_noise = [chance.spread(of.try_cv), chance.spread(of.try_cv)];
        let heavy = chance.share() < heavy_share;
        let work_ms = work_ms.unwrap_or(of.work_ms * spread) * if heavy { heavier } else { 1.0 };
        let zone = zone.unwrap_or_else(|| self.zone(zone_drawn));
        let front = self.front_of(zone, front_drawn);
        let request = self.requests.insert(Request {
            class,
            zone,
            came_us: self.now,
            work_ms,
            tries_noise,
            comings: 0,
            tries: 0,
            front,
            ran_us: None,
            coming_ran: false,
            current: None,
            effects: 0,
        });
        self.meter.count("offered_ms", work_ms);
        let way = self.scenario.client_way_us as u64;
        self.push(self.now + way, Event::Comes { request, coming: 0 });
    }

    /// The zone to which a share falls: they differ by the skew, the first having most.
    fn zone(&self, drawn: f64) -> usize {
        let zones = self.scenario.zones.len();
        let weight = |zone: usize| {
            let place = if zones > 1 {
                zone as f64 / (zones - 1) as f64
            } else {
                0.5
            };
            1.0 + self.scenario.zone_skew * (1.0 - 2.0 * place)
        };
        let mut left = drawn * (0..zones).map(weight).sum::<f64>();
        let zone = (0..zones).find(|zone| {
            left -= weight(*zone);
            left < 0.0
        });
        zone.unwrap_or(zones - 1)
    }

    fn front_of(&self, zone: usize, drawn: f64) -> u32 {
        let fronts = &self.by_zone[zone];
        match fronts.len() {
            // A zone without front ends of its own uses those of the others.
            0 => ((drawn * self.fronts.len() as f64) as u32).min(self.fronts.len() as u32 - 1),
            some => fronts[((drawn * some as f64) as usize).min(some - 1)],
        }
    }

    fn comes(&mut self, key: RequestKey, coming: u32) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let front = &mut self.fronts[request.front as usize];
        if front.still_until > self.now {
            // What comes meanwhile waits.
            self.queue.push(
                front.still_until,
                Event::Comes {
                    request: key,
                    coming,
                },
            );
            return;
        }
        (
            request.comings,
            request.tries,
            request.coming_ran,
            request.current,
        ) = (coming, 0, false, None);
        let class = request.class;
        let of = &self.scenario.classes[class];
        self.meter.count("comings", 1.0);
        let deadline = request.came_us + of.deadline_us;
        let patience = (of.deadline_us as f64 * self.scenario.client_try_share) as u64;
        let last = coming >= self.scenario.client_retries;
        let ends = if last {
            deadline
        } else {
            deadline.min(self.now + patience)
        };
        if !front.up {
            self.coming_fails(key, true, false);
            return;
        }
        front.usage[class].came += 1.0;
        let level = front.gate(class).map_or(1.0, |of| of.level);
        if self.scenario.admits && level < 1.0 && front.chance() >= level {
            self.coming_fails(key, true, true);
            return;
        }
        self.push(
            ends,
            Event::GiveUp {
                request: key,
                coming,
            },
        );
        self.send(key, None);
    }

    /// A coming has failed: the client comes again, or not.
    fn coming_fails(&mut self, key: RequestKey, unrun: bool, refused: bool) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let of = &self.scenario.classes[request.class];
        let front = &mut self.fronts[request.front as usize];
        if front.up && !refused {
            front.usage[request.class].failed += 1.0;
        }
        let scenario = self.scenario;
        let wait = scenario.client_backoff_us
            * scenario.client_backoff_growth.powi(request.comings as i32);
        let again = self.now + (wait * self.chances.clients.between(0.75, 1.25)) as u64;
        let safe = unrun && !request.coming_ran || may_repeat(of.effect, request.ran_us, again);
        let (came, class, zone) = (request.came_us, request.class, request.zone);
        if request.comings < scenario.client_retries && safe && again < came + of.deadline_us {
            let coming = request.comings + 1;
            let drawn = self.chances.clients.share();
            let front = self.front_of(zone, drawn);
            if let Some(request) = self.requests.get_mut(key) {
                request.front = front;
                request.comings = coming;
            }
            self.push(
                again,
                Event::Comes {
                    request: key,
                    coming,
                },
            );
            return;
        }
        self.requests.remove(key);
        let ending = if refused {
            Ending::Refused
        } else {
            Ending::Failed
        };
        self.meter.ended(scenario, class, came - BEGIN_US, ending);
    }

    fn give_up(&mut self, key: RequestKey, coming: u32) {
        let Some(request) = self.requests.get_mut(key).filter(|of| of.comings == coming) else {
            return;
        };
        let Some(attempt) = request.current.take() else {
            return;
        };
        self.abandon(attempt);
        self.coming_fails(key, false, false);
    }

    // Front ends.

    fn way(&mut self, from: usize, to: usize) -> (u64, bool) {
        let base = if from == to {
            self.scenario.same_us
        } else {
            self.scenario.cross_us
        };
        let (more, lost) = self.way_troubles(from, to);
        let jitter = self.scenario.jitter;
        let us = (base + more) * self.chances.ways.between(1.0 - jitter, 1.0 + jitter);
        let lost = lost > 0.0 && self.chances.ways.share() < lost;
        (us as u64 + 1, lost)
    }

    fn send(&mut self, key: RequestKey, not: Option<u32>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let (class, at) = (request.class, request.front);
        let front = &mut self.fronts[at as usize];
        let Some(server) = front.pick(self.now, class, self.scenario.pick, not) else {
            let unrun = !request.coming_ran;
            self.coming_fails(key, unrun, false);
            return;
        };
        let noise = request.tries_noise[usize::from(request.tries + request.comings > 0)];
        let mut work_ms = request.work_ms * noise;
        request.tries += 1;
        let (coming, tries) = (request.comings, request.tries);
        let zone = front.zone;
        let fresh = !front.connections.contains_key(&server);
        let connection = front.connections.entry(server).or_default();
        (connection.inflight, connection.used_us) = (connection.inflight + 1, self.now);
        let of = &self.servers[server as usize];
        let mut connect = 0;
        if fresh {
            let (heavier, later) = of.effects.handshake;
            work_ms += self.scenario.kinds[of.kind].handshake_ms * heavier;
            connect = later;
            self.meter.count("connects", 1.0);
        }
        let to = of.zone;
        self.meter.count("tries", 1.0);
        self.meter
            .count("crossing", f64::from(u8::from(zone != to)));
        let attempt = self.attempts.insert(Attempt {
            request: key,
            coming,
            front: at,
            server,
            sent_us: self.now,
            work_ms,
            place: Place::Away,
            abandoned: false,
            connected: true,
        });
        if let Some(request) = self.requests.get_mut(key) {
            request.current = Some(attempt);
        }
        self.check_sent(at as usize, server, work_ms);
        let (way, lost) = self.way(zone, to);
        // A connection takes a way there and back first.
        let reaches = self.now + way + if fresh { 2 * way + connect } else { 0 };
        if lost {
            if fresh {
                let ends = self.now + self.scenario.connect_timeout_us;
                self.push(
                    ends,
                    Event::Answer {
                        attempt,
                        end: End::Unrun,
                    },
                );
            }
        } else {
            self.push(reaches, Event::Reach { attempt, fresh });
        }
        let AdmissionLevel { retry, .. } = self.gate(at as usize, class);
        let most = match retry {
            Retry::Never | Retry::IfNotExecuted => 0,
            Retry::Once => 1,
            Retry::Twice => 2,
        };
        if tries <= most {
            let waits = self.scenario.first_wait * self.scenario.classes[class].aim_us as f64;
            self.push(self.now + waits as u64, Event::Wait { attempt });
        }
    }

    /// The level and the way of trying again that hold for a class at a front end.
    fn gate(&self, front: usize, class: usize) -> AdmissionLevel {
        self.fronts[front].gate(class).unwrap_or(AdmissionLevel {
            level: 1.0,
            retry: self.scenario.usual_retry,
        })
    }

    /// Rules on what is sent: to whom drains are told, and to whom that is cold.
    fn check_sent(&mut self, front: usize, server: u32, work_ms: f64) {
        let (now, scenario) = (self.now, self.scenario);
        let Some((supervisor, _, since)) = self.fronts[front].joined else {
            self.cold(server, work_ms, false);
            return;
        };
        let seen = self.supervisors[supervisor].of(server);
        if let Some(learned) = seen.drains_since {
            let until = learned.max(since) + scenario.drain_grace_us;
            if now > until {
                let name = Rc::clone(&self.servers[server as usize].name);
                let late = (now - until) as f64 / 1e6;
                self.rules.broken(Rule::Drain, now - BEGIN_US, || {
                    format!("front end {front} sends to {name} {late:.2} s after the grace")
                });
            }
        }
        let of = &self.servers[server as usize];
        if of.is_cold(now) {
            let known = seen.started_us == of.started_us;
            let knowing = known
                && (self.fronts[front].last_sent_us >= seen.start_learned
                    || now >= seen.start_learned + scenario.drain_grace_us);
            self.cold(server, work_ms, knowing);
        }
    }

    fn cold(&mut self, server: u32, work_ms: f64, knowing: bool) {
        let of = &mut self.servers[server as usize];
        if !of.is_cold(self.now) || !of.runs() {
            return;
        }
        let capacity = of.cold_capacity(self.now);
        let by = (
            self.scenario.fall_multiple,
            self.scenario.fall_us,
            self.mean_work_ms,
        );
        let stands = sent_cold(
            &mut of.sent_cold,
            (self.now, work_ms, knowing),
            capacity,
            by,
        );
        if stands == Cold::Stands {
            return;
        }
        of.fallen = true;
        let name = Rc::clone(&of.name);
        if stands == Cold::Pushed {
            let at = self.now - BEGIN_US;
            self.rules.broken(Rule::Cold, at, || {
                format!("{name} was pushed over while it was cold")
            });
        }
        self.server_dies(server as usize, false);
    }

    /// An attempt is given up by its front end; the server may be told.
    fn abandon(&mut self, key: AttemptKey) {
        let Some(attempt) = self
            .attempts
            .get_mut(key)
            .filter(|attempt| !attempt.abandoned)
        else {
            return;
        };
        attempt.abandoned = true;
        let (front, server, request, sent) = (
            attempt.front as usize,
            attempt.server,
            attempt.request,
            attempt.sent_us,
        );
        if let Some(request) = self.requests.get_mut(request) {
            request.ran_us.get_or_insert(sent);
            request.coming_ran = true;
        }
        self.try_ended(front, server, sent, End::Failed);
        let (way, lost) = self.way(self.fronts[front].zone, self.servers[server as usize].zone);
        if !lost {
            self.push(self.now + way, Event::Cancel { attempt: key });
        }
    }

    /// What a front end and its supervisor's collectors learn of a try that ended.
    fn try_ended(&mut self, front: usize, server: u32, sent_us: u64, end: End) {
        let (now, scenario) = (self.now, self.scenario);
        let of = &mut self.fronts[front];
        if let Some(connection) = of.connections.get_mut(&server) {
            (connection.inflight, connection.used_us) =
                (connection.inflight.saturating_sub(1), now);
        }
        of.learn(
            now,
            server,
            end == End::Good,
            (scenario.avoids_after, scenario.avoids_us),
        );
        let Some((supervisor, ..)) = of.joined else {
            return;
        };
        let zone = of.zone;
        let told = (end == End::Good).then(|| self.servers[server as usize].told);
        let tally: &mut Tally = self.supervisors[supervisor]
            .sums
            .entry((zone, server))
            .or_default();
        tally.tries += 1.0;
        match told {
            Some((_, queue, service)) => {
                tally.sum_ms += (now - sent_us) as f64 / 1e3;
                tally.load = Some((queue, service));
            }
            None => tally.failed += 1.0,
        }
    }

    fn answer(&mut self, key: AttemptKey, end: End) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        if attempt.abandoned {
            return;
        }
        let Attempt {
            request: request_key,
            front,
            server,
            sent_us,
            coming,
            ..
        } = attempt;
        self.try_ended(front as usize, server, sent_us, end);
        if end == End::Unrun {
            // A connection that was never made is none.
            self.forget_unmade(front as usize, server);
        }
        let Some(request) = self
            .requests
            .get_mut(request_key)
            .filter(|of| of.comings == coming)
        else {
            return;
        };
        request.current = None;
        let (class, came) = (request.class, request.came_us);
        match end {
            End::Good => {
                self.requests.remove(request_key);
                let took = self.now + self.scenario.client_way_us as u64 - came;
                self.meter.ended(
                    self.scenario,
                    class,
                    came - BEGIN_US,
                    Ending::Answered(took),
                );
            }
            End::Unrun => self.try_again(request_key, server, true),
            End::Failed => {
                request.ran_us.get_or_insert(sent_us);
                request.coming_ran = true;
                self.try_again(request_key, server, false);
            }
        }
    }

    fn forget_unmade(&mut self, front: usize, server: u32) {
        if !self.servers[server as usize].runs() {
            self.fronts[front].connections.remove(&server);
        }
    }

    /// A try has failed: the front end tries again as it is ordered, or gives up.
    fn try_again(&mut self, key: RequestKey, server: u32, unrun: bool) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (class, front, tries, ran) = (
            request.class,
            request.front as usize,
            request.tries,
            request.ran_us,
        );
        let AdmissionLevel { retry, .. } = self.gate(front, class);
        let again = match retry {
            Retry::Never => false,
            Retry::IfNotExecuted => unrun && tries <= 1,
            Retry::Once => tries <= 1,
            Retry::Twice => tries <= 2,
        };
        if !again || !self.fronts[front].up {
            let unrun = unrun && !request.coming_ran;
            self.coming_fails(key, unrun, false);
            return;
        }
        let of = &self.scenario.classes[class];
        if !may_repeat(of.effect, ran, self.now) {
            let name = &of.name;
            let at = self.now - BEGIN_US;
            self.rules.broken(Rule::Twice, at, || {
                format!("front end {front} sends a {name} again that may have run")
            });
        }
        self.send(key, Some(server));
    }

    /// A try that may be followed has waited long enough.
    fn waited(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key).filter(|attempt| !attempt.abandoned) else {
            return;
        };
        let (request, server, coming) = (attempt.request, attempt.server, attempt.coming);
        if self
            .requests
            .get(request)
            .is_none_or(|of| of.comings != coming || of.current != Some(key))
        {
            return;
        }
        self.abandon(key);
        if let Some(request) = self.requests.get_mut(request) {
            request.current = None;
        }
        self.try_again(request, server, false);
    }

    // Servers.

    fn reach(&mut self, key: AttemptKey, fresh: bool) {
        let Some(attempt) = self.attempts.get(key).filter(|attempt| attempt.connected) else {
            return;
        };
        let (front, at, work_ms) = (
            attempt.front as usize,
            attempt.server as usize,
            attempt.work_ms,
        );
        let zones = (self.servers[at].zone, self.fronts[front].zone);
        if !self.servers[at].runs() {
            if self.silent[at] {
                if fresh {
                    let ends = attempt.sent_us + self.scenario.connect_timeout_us;
                    self.push(
                        ends,
                        Event::Answer {
                            attempt: key,
                            end: End::Unrun,
                        },
                    );
                }
                return;
            }
            let end = if fresh { End::Unrun } else { End::Failed };
            self.reply(key, zones, 0, end);
            return;
        }
        let server = &mut self.servers[at];
        if fresh {
            if server.connections >= self.scenario.kinds[server.kind].connections {
                self.fronts[front].connections.remove(&(at as u32));
                self.reply(key, zones, 0, End::Unrun);
                return;
            }
            server.advance(self.now);
            server.connections += 1;
        }
        let abandoned = attempt.abandoned;
        let chance = if server.effects.fails > 0.0 {
            self.chances.errors.share()
        } else {
            1.0
        };
        match server.take(self.now, key, work_ms, chance) {
            Taken::In(place) => {
                if let Some(attempt) = self.attempts.get_mut(key) {
                    attempt.place = place;
                }
                self.reschedule(at);
            }
            Taken::Full => self.reply(key, zones, 0, End::Unrun),
            Taken::Failed => self.reply(key, zones, ERROR_US, End::Failed),
        }
        if abandoned {
            self.cancel(key);
        }
    }

    /// What a server says to an attempt, on its way back.
    fn reply(&mut self, attempt: AttemptKey, (from, to): (usize, usize), after: u64, end: End) {
        let (way, lost) = self.way(from, to);
        if !lost {
            self.push(self.now + after + way, Event::Answer { attempt, end });
        }
    }

    pub(crate) fn reschedule(&mut self, server: usize) {
        let of = &mut self.servers[server];
        let next = of.next_us(self.now);
        if of.due_us == next {
            return;
        }
        of.due_us = next;
        of.version += 1;
        if let Some(at) = next {
            let version = of.version;
            self.push(
                at,
                Event::Work {
                    server: server as u32,
                    version,
                },
            );
        }
    }

    fn works(&mut self, at: usize, version: u32) {
        let server = &mut self.servers[at];
        if server.version != version {
            return;
        }
        server.due_us = None;
        let (done, begun) = server.finish(self.now);
        if self.now >= server.told.0 + self.scenario.refresh_us {
            server.told = (self.now, server.queue() as f64, server.service_ms());
        }
        let (kind, zone) = (server.kind, server.zone);
        self.placed(begun);
        for key in done {
            let Some(attempt) = self.attempts.get_mut(key) else {
                continue;
            };
            attempt.place = Place::Away;
            let (front, request, sent, work_ms) = (
                attempt.front as usize,
                attempt.request,
                attempt.sent_us,
                attempt.work_ms,
            );
            let abandoned = attempt.abandoned;
            self.ran(request, sent);
            if abandoned {
                self.meter.count("wasted_ms", work_ms);
                self.attempts.remove(key);
                continue;
            }
            let fails = self.chances.errors.share() < self.scenario.kinds[kind].error_rate;
            let end = if fails { End::Failed } else { End::Good };
            self.reply(key, (zone, self.fronts[front].zone), 0, end);
        }
        self.reschedule(at);
    }

    /// A request ran to its end at a server.
    fn ran(&mut self, key: RequestKey, sent_us: u64) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let of = &self.scenario.classes[request.class];
        request.effects += 1;
        let first = *request.ran_us.get_or_insert(sent_us);
        let twice = match of.effect {
            Idempotency::Idempotent => false,
            Idempotency::NotIdempotent => request.effects > 1,
            Idempotency::Keyed(..) => {
                request.effects > 1 && !may_repeat(of.effect, Some(first), sent_us)
            }
        };
        if twice {
            let (name, at) = (&of.name, self.now - BEGIN_US);
            self.rules
                .broken(Rule::Twice, at, || format!("a {name} ran twice"));
        }
    }

    fn placed(&mut self, begun: Vec<(AttemptKey, Place)>) {
        for (key, place) in begun {
            if let Some(attempt) = self.attempts.get_mut(key) {
                attempt.place = place;
            }
        }
    }

    fn cancel(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (at, place) = (attempt.server as usize, attempt.place);
        if place == Place::Away {
            return;
        }
        let server = &mut self.servers[at];
        let how = self.scenario.kinds[server.kind].cancel;
        let (stopped, begun) = server.cancel(self.now, key, place, how);
        self.placed(begun.into_iter().collect());
        if stopped {
            self.attempts.remove(key);
            self.reschedule(at);
        }
    }

    /// A server dies: with a word, so that connections break at once, or without one.
    pub(crate) fn server_dies(&mut self, at: usize, silent: bool) {
        if !self.servers[at].runs() {
            return;
        }
        let gone = self.servers[at].life == Life::Draining;
        self.silent[at] = silent;
        let lost = self.servers[at].die(self.now, if gone { Life::Gone } else { Life::Down });
        self.reschedule(at);
        let zone = self.servers[at].zone;
        for key in lost {
            let Some(attempt) = self.attempts.get_mut(key) else {
                continue;
            };
            (attempt.place, attempt.connected) = (Place::Away, false);
            let front = attempt.front as usize;
            if attempt.abandoned {
                self.attempts.remove(key);
            } else if !silent {
                self.reply(key, (zone, self.fronts[front].zone), 0, End::Failed);
            }
        }
        if !silent {
            self.forget_connections(at);
        }
        self.tell(at, Lifecycle::Removed, !gone);
    }

    /// A server starts anew, cold; one that fell over does not.
    pub(crate) fn server_starts(&mut self, at: usize) {
        if self.servers[at].life != Life::Down || self.servers[at].fallen {
            return;
        }
        self.servers[at].start(self.now);
        self.forget_connections(at);
        self.tell(at, Lifecycle::InService, false);
    }

    fn forget_connections(&mut self, server: usize) {
        for front in &mut self.fronts {
            front.connections.remove(&(server as u32));
        }
    }

    pub(crate) fn removed(&mut self, at: usize) {
        if self.servers[at].runs() {
            self.servers[at].life = Life::Draining;
            self.server_dies(at, false);
        }
    }

    pub(crate) fn replacement(&mut self, of: usize) {
        let (kind, zone) = (self.servers[of].kind, self.servers[of].zone);
        let new = self.add_server(kind, zone);
        self.servers[new].start(self.now);
        self.tell(new, Lifecycle::InService, false);
    }

    /// Discovery learns of a server and tells each supervisor, some time later.
    pub(crate) fn tell(&mut self, server: usize, life: Lifecycle, silent: bool) {
        self.news[server] += 1;
        let (seq, started_us) = (self.news[server], self.servers[server].started_us);
        for supervisor in 0..self.supervisors.len() {
            let scenario = self.scenario;
            let late = if silent {
                scenario.list_silent_us * self.chances.discovery.between(0.8, 1.2)
            } else {
                self.chances
                    .discovery
                    .between(scenario.list_least_us, scenario.list_most_us)
            };
            let news = Event::News {
                supervisor: supervisor as u32,
                server: server as u32,
                life,
                started_us,
                seq,
            };
            self.push(self.now + late as u64, news);
        }
    }

    fn news(
        &mut self,
        at: usize,
        server: usize,
        life: Lifecycle,
        started_us: Option<u64>,
        seq: u32,
    ) {
        let now = self.now;
        let supervisor = &mut self.supervisors[at];
        if !supervisor.up || !supervisor.learn(now, server, life, started_us, seq) {
            return;
        }
        let entry = supervisor.entry(self.scenario, server, &self.servers[server]);
        self.listed(at, EndpointUpdateKind::Delta, vec![entry]);
    }

    fn listed(
        &mut self,
        at: usize,
        kind: EndpointUpdateKind,
        entries: Vec<chutegrade_engine::NamedEndpoint>,
    ) {
        match &mut self.supervisors[at].mind {
            Mind::Engine(engine, ..) => {
                // A list names nothing that could be unknown.
                let _ = engine.report(Report::EndpointList(kind, entries));
            }
            Mind::Plain(dirty) => *dirty = true,
        }
        self.wake(at, self.now);
    }

    // Supervisors.

    fn supervisor_begins(&mut self, at: usize, kind: EndpointUpdateKind) {
        let list = self.supervisors[at].list(self.scenario, &self.servers);
        self.listed(at, kind, list);
        let (supervisor, epoch) = (at as u32, self.supervisors[at].epoch);
        self.push(
            self.now + self.scenario.period_us,
            Event::Sums { supervisor, epoch },
        );
    }

    pub(crate) fn supervisor_dies(&mut self, at: usize) {
        if !self.supervisors[at].up {
            return;
        }
        self.supervisors[at].up = false;
        self.supervisors[at].epoch += 1;
        self.supervisors[at].intake.clear();
        self.supervisors[at].sums.clear();
        let joined: Vec<u32> = self.supervisors[at].streams.values().copied().collect();
        self.supervisors[at].streams.clear();
        for front in joined {
            self.unjoin(front as usize);
        }
    }

    pub(crate) fn supervisor_starts(&mut self, at: usize) {
        if self.supervisors[at].up {
            return;
        }
        let epoch = self.supervisors[at].epoch;
        let mind = self.mind(at, epoch);
        let of = &mut self.supervisors[at];
        (of.up, of.mind, of.still_until, of.tick) = (true, mind, 0, None);
        (of.free_us, of.taking) = (self.now as f64, false);
        self.supervisor_begins(at, EndpointUpdateKind::CachedSnapshot);
        let late = self
            .chances
            .discovery
            .between(self.scenario.list_least_us, self.scenario.list_most_us);
        self.push(
            self.now + late as u64,
            Event::Relist {
                supervisor: at as u32,
                epoch,
            },
        );
    }

    /// Discovery tells a supervisor that started anew what it has missed.
    fn relist(&mut self, at: usize, epoch: u32) {
        if !self.is(at, epoch) {
            return;
        }
        for server in 0..self.servers.len() {
            let of = &self.servers[server];
            let life = match of.life {
                Life::Up => Lifecycle::InService,
                Life::Draining => Lifecycle::Draining,
                Life::Down | Life::Gone => Lifecycle::Removed,
            };
            let (started, seq) = (of.started_us, self.news[server]);
            self.supervisors[at].learn(self.now, server, life, started, seq);
        }
        let list = self.supervisors[at].list(self.scenario, &self.servers);
        self.listed(at, EndpointUpdateKind::Snapshot, list);
    }

    fn is(&self, at: usize, epoch: u32) -> bool {
        self.supervisors[at].up && self.supervisors[at].epoch == epoch
    }

    fn report(&mut self, at: usize, epoch: u32, report: Report) {
        if !self.is(at, epoch) {
            return;
        }
        if let Mind::Engine(engine, ..) = &mut self.supervisors[at].mind {
            // A stream that has ended meanwhile is no longer known; the report is dropped, as in service.
            let _ = engine.report(report);
        }
        self.wake(at, self.now);
    }

    /// Asks for a tick at a time, no denser than ticks may be.
    fn wake(&mut self, at: usize, when: u64) {
        let of = &mut self.supervisors[at];
        let due = when
            .max(of.ticked_us + self.scenario.tick_us)
            .max(of.still_until)
            .max(self.now);
        if of.tick.is_some_and(|(known, _)| known <= due) {
            return;
        }
        of.ticks += 1;
        of.tick = Some((due, of.ticks));
        let number = of.ticks;
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
        if !of.up || of.tick.is_none_or(|(_, known)| known != number) {
            return;
        }
        of.tick = None;
        if of.still_until > now {
            let until = of.still_until;
            self.wake(at, until);
            return;
        }
        of.ticked_us = now;
        match &mut of.mind {
            Mind::Engine(engine, rules, service) => {
                rules.evaluate(Micros(now as i64), engine);
                if let Some(change) = service
                    .as_mut()
                    .and_then(|of| of.evaluate(Micros(now as i64), engine))
                {
                    let at_s = (now - BEGIN_US) as f64 / 1e6;
                    self.meter.changed(LevelChange {
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
                    self.wake(at, next.0.max(0) as u64);
                }
                probes.into_iter().for_each(|probe| self.probe(at, probe));
                orders
                    .into_iter()
                    .for_each(|(stream, order)| self.order(at, stream, Rc::new(order)));
            }
            Mind::Plain(_) => self.plain(at),
        }
    }

    /// A turn of a baseline.
    fn plain(&mut self, at: usize) {
        let Mind::Plain(dirty) = &mut self.supervisors[at].mind else {
            return;
        };
        let changed = std::mem::take(dirty);
        let ideal = matches!(self.setup.control, Control::Ideal(_));
        if !changed && !ideal {
            return;
        }
        let truth = self
            .past
            .front()
            .map(|(_, truth)| truth.clone())
            .unwrap_or_default();
        let seen = &self.supervisors[at].seen;
        let weight = |server: usize| {
            if ideal {
                return truth
                    .get(server)
                    .copied()
                    .unwrap_or(self.servers[server].listed);
            }
            let seen = seen.get(server).copied().unwrap_or_default();
            let in_service = seen.listed && seen.life == Lifecycle::InService;
            if in_service {
                self.servers[server].listed
            } else {
                0.0
            }
        };
        let of_zone = |zone: usize| Rc::new(whole(self.scenario, &self.servers, zone, weight));
        let orders: Vec<Rc<Order>> = (0..self.scenario.zones.len()).map(of_zone).collect();
        let streams: Vec<(u64, u32)> = self.supervisors[at]
            .streams
            .iter()
            .map(|(stream, front)| (*stream, *front))
            .collect();
        for (stream, front) in streams {
            let order = Rc::clone(&orders[self.fronts[front as usize].zone]);
            self.order(at, stream, order);
        }
        if ideal {
            self.wake(at, self.now + PLAIN_US);
        }
    }

    /// An order goes through the channel.
    fn order(&mut self, at: usize, stream: u64, order: Rc<Order>) {
        let (now, scenario) = (self.now, self.scenario);
        let Some(front) = self.supervisors[at].streams.get(&stream).copied() else {
            return;
        };
        let cost = lines(&order) + scenario.head;
        let of = &mut self.supervisors[at];
        let mut leaves = now as f64;
        if !matches!(self.setup.control, Control::Ideal(_)) {
            of.free_us = of.free_us.max(now as f64) + cost / scenario.lines_per_s * 1e6;
            leaves = of.free_us;
            let waiting = (of.free_us - now as f64) / 1e6 * scenario.lines_per_s;
            self.meter.count("lines", cost);
            self.meter.top("backlog", waiting / scenario.backlog);
            if waiting > scenario.backlog {
                let at_us = now - BEGIN_US;
                self.rules.broken(Rule::Queue, at_us, || {
                    format!("{waiting:.0} lines wait at supervisor {at}")
                });
            }
        }
        let way = self
            .chances
            .ways
            .gap(scenario.way_us)
            .min(scenario.way_most_us);
        let to = &mut self.fronts[front as usize];
        while to
            .messages
            .front()
            .is_some_and(|sent| sent + MESSAGES_US < now)
        {
            to.messages.pop_front();
        }
        to.messages.push_back(now);
        let written = to.messages.len();
        if scenario.messages_most > 0 && written > scenario.messages_most {
            let at_us = now - BEGIN_US;
            self.rules.broken(Rule::Queue, at_us, || {
                format!("{written} messages in 10 s to front end {front}")
            });
        }
        // In the order in which they were sent.
        let arrives = ((leaves + way) as u64).max(to.last_arrival_us + 1);
        to.last_arrival_us = arrives;
        let message = Message {
            front,
            epoch: to.epoch,
            supervisor: at as u32,
            stream,
            sent_us: now,
            order,
        };
        self.push(arrives, Event::Message(Box::new(message)));
    }

    fn message(&mut self, message: Message) {
        let Message {
            front,
            epoch,
            supervisor,
            stream,
            sent_us,
            order,
        } = message;
        let of = &mut self.fronts[front as usize];
        if of.epoch != epoch || !of.up {
            return;
        }
        if of.still_until > self.now {
            let until = of.still_until;
            self.push(
                until,
                Event::Message(Box::new(Message {
                    front,
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
        let names = &self.names;
        of.apply(
            &order,
            |name| classes.iter().position(|class| class.name == name),
            |name| names.get(name).copied(),
        );
        of.last_sent_us = sent_us;
        of.still_until = self.now + (lines(&order) * self.scenario.apply_us) as u64;
        if let Some(mark) = order.acknowledge {
            let zones = (of.zone, self.supervisors[supervisor as usize].zone);
            let took = of.still_until - sent_us;
            let until = of.still_until;
            let (way, _) = self.way(zones.0, zones.1);
            let epoch = self.supervisors[supervisor as usize].epoch;
            self.push(
                until + way,
                Event::Ack {
                    supervisor,
                    epoch,
                    stream,
                    mark,
                    took,
                },
            );
        }
    }

    // Streams.

    /// A front end begins to dial; one that lost its stream notices that first.
    fn dial(&mut self, at: usize, lost: bool) {
        let scenario = self.scenario;
        let notice = if lost { scenario.notice_us as f64 } else { 0.0 };
        let wait = (notice + scenario.redial_us as f64) * self.chances.ways.between(0.5, 1.0);
        let event = Event::Dial {
            front: at as u32,
            epoch: self.fronts[at].epoch,
        };
        self.push(self.now + wait as u64 + 1, event);
    }

    fn home(&self, front: usize) -> usize {
        let zone = self.fronts[front].zone;
        let home: Vec<usize> = (0..self.supervisors.len())
            .filter(|at| self.supervisors[*at].zone == zone)
            .collect();
        if home.is_empty() {
            front % self.supervisors.len()
        } else {
            home[front / self.scenario.zones.len() % home.len()]
        }
    }

    fn dials(&mut self, at: usize, epoch: u32) {
        if self.fronts[at].epoch != epoch || !self.fronts[at].up {
            return;
        }
        let home = self.home(at);
        let all = self.supervisors.len();
        let reachable = |sim: &Self, other: usize| {
            let (_, lost) = sim.way_troubles(sim.fronts[at].zone, sim.supervisors[other].zone);
            sim.supervisors[other].up && lost < 1.0
        };
        let found = (0..all)
            .map(|step| (home + step) % all)
            .find(|other| reachable(self, *other));
        let Some(supervisor) = found else {
            self.dial(at, false);
            return;
        };
        let of = &mut self.supervisors[supervisor];
        of.streams_made += 1;
        let stream = of.streams_made;
        of.streams.insert(stream, at as u32);
        let front = &mut self.fronts[at];
        front.joined = Some((supervisor, stream, self.now));
        front.bare_since.iter_mut().for_each(|since| *since = None);
        let (zone, new) = (front.zone, !front.bound);
        let rate = self.scenario.rate / self.fronts.len() as f64;
        let zone_name = self.scenario.zones[zone].clone();
        let epoch_of = self.supervisors[supervisor].epoch;
        let joined = Report::StreamOpened {
            stream: StreamId(stream),
            proxy: at as u32,
            zone: zone_name,
            request_rate: rate,
            has_no_table: new,
        };
        if let Mind::Plain(dirty) = &mut self.supervisors[supervisor].mind {
            *dirty = true;
        }
        self.report(supervisor, epoch_of, joined);
        if supervisor != home && self.scenario.rehome_us > 0 {
            self.push(
                self.now + self.scenario.rehome_us,
                Event::Rehome {
                    front: at as u32,
                    epoch,
                },
            );
        }
    }

    fn rehome(&mut self, at: usize, epoch: u32) {
        if self.fronts[at].epoch != epoch || self.fronts[at].joined.is_none() {
            return;
        }
        if self.supervisors[self.home(at)].up {
            self.stream_breaks(at);
        } else {
            self.push(
                self.now + self.scenario.rehome_us,
                Event::Rehome {
                    front: at as u32,
                    epoch,
                },
            );
        }
    }

    /// A front end has no stream any more, and dials.
    fn unjoin(&mut self, at: usize) {
        let front = &mut self.fronts[at];
        if front.joined.take().is_none() {
            return;
        }
        front.epoch += 1;
        front.bare_since.iter_mut().for_each(|since| *since = None);
        self.dial(at, true);
    }

    pub(crate) fn stream_breaks(&mut self, at: usize) {
        let Some((supervisor, stream, _)) = self.fronts[at].joined else {
            return;
        };
        self.supervisors[supervisor].streams.remove(&stream);
        let epoch = self.supervisors[supervisor].epoch;
        self.unjoin(at);
        self.report(supervisor, epoch, Report::StreamLost(StreamId(stream)));
    }

    pub(crate) fn front_dies(&mut self, at: usize) {
        if !self.fronts[at].up {
            return;
        }
        self.stream_breaks(at);
        self.fronts[at].up = false;
        self.fronts[at].epoch += 1;
        for (server, _) in std::mem::take(&mut self.fronts[at].connections) {
            let of = &mut self.servers[server as usize];
            of.connections = of.connections.saturating_sub(1);
        }
        let held: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, request)| request.front as usize == at && request.current.is_some())
            .map(|(key, _)| key)
            .collect();
        for key in held {
            let attempt = self
                .requests
                .get_mut(key)
                .and_then(|request| request.current.take());
            attempt
                .into_iter()
                .for_each(|attempt| self.abandon(attempt));
            self.coming_fails(key, false, false);
        }
    }

    pub(crate) fn front_starts(&mut self, at: usize) {
        if self.fronts[at].up {
            return;
        }
        let standing = self.standing(self.fronts[at].zone);
        self.fronts[at].restart(standing);
        if self.setup.control != Control::Nobody {
            self.dial(at, false);
        }
    }

    // Reports.

    fn sums(&mut self, at: usize, epoch: u32) {
        if !self.is(at, epoch) {
            return;
        }
        let (scenario, noise) = (self.scenario, self.scenario.reports_noise);
        self.push(
            self.now + scenario.period_us,
            Event::Sums {
                supervisor: at as u32,
                epoch,
            },
        );
        let chance = &mut self.chances.reports;
        let mut reports =
            self.supervisors[at].report(scenario, &self.servers, || chance.noise(noise));
        let period = Micros(scenario.period_us as i64);
        for front in self.supervisors[at].streams.values() {
            let usage = &mut self.fronts[*front as usize].usage;
            for (class, of) in scenario.classes.iter().zip(usage.iter_mut()) {
                let of = std::mem::take(of);
                if of.came > 0.0 {
                    let (class, proxy) = (class.name.clone(), *front);
                    reports.push(Report::ProxyDemand {
                        proxy,
                        class,
                        arrivals: of.came,
                        failed: of.failed,
                        period,
                    });
                }
            }
        }
        let late = (scenario.reports_late_us as f64 * chance.between(0.6, 1.4)) as u64
            + self.reports_later();
        let due = self.now + late;
        let of = &mut self.supervisors[at];
        of.intake
            .extend(reports.into_iter().map(|report| (due, report)));
        if !of.taking && !of.intake.is_empty() {
            of.taking = true;
            self.push(
                due,
                Event::Intake {
                    supervisor: at as u32,
                    epoch,
                },
            );
        }
    }

    fn intake(&mut self, at: usize, epoch: u32) {
        if !self.is(at, epoch) {
            return;
        }
        let most = (self.scenario.intake_per_s * INTAKE_US as f64 / 1e6).ceil() as usize;
        let now = self.now;
        let of = &mut self.supervisors[at];
        let mut taken = 0;
        while taken < most && of.intake.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, report)) = of.intake.pop_front() else {
                break;
            };
            taken += 1;
            if let Mind::Engine(engine, ..) = &mut of.mind {
                // A front end that has left meanwhile is no longer known; the report is dropped, as in service.
                let _ = engine.report(report);
            }
        }
        match of.intake.front() {
            Some((due, _)) => {
                let next = (*due).max(now + INTAKE_US);
                self.push(
                    next,
                    Event::Intake {
                        supervisor: at as u32,
                        epoch,
                    },
                );
            }
            None => of.taking = false,
        }
        if taken > 0 {
            self.wake(at, now);
        }
    }

    // Probes.

    fn probe(&mut self, at: usize, probe: HealthCheck) {
        let Some(server) = probe
            .address
            .parse::<u32>()
            .ok()
            .filter(|of| (*of as usize) < self.servers.len())
        else {
            return;
        };
        self.meter.count("probes", 1.0);
        let zones = (
            self.supervisors[at].zone,
            self.servers[server as usize].zone,
        );
        let (way, lost) = self.way(zones.0, zones.1);
        let epoch = self.supervisors[at].epoch;
        let probing = Probing {
            supervisor: at as u32,
            epoch,
            server,
            sent_us: self.now,
            probe,
        };
        if lost {
            self.probe_times_out(probing);
        } else {
            self.push(self.now + way, Event::ProbeReach(Box::new(probing)));
        }
    }

    fn probe_times_out(&mut self, probing: Probing) {
        let ends = probing.sent_us + self.scenario.probe_timeout_us;
        let ended = (
            probing,
            HealthCheckOutcome::TimedOut,
            LoadReport::default(),
            false,
        );
        self.push(ends, Event::ProbeEnd(Box::new(ended)));
    }

    fn probe_reach(&mut self, probing: Probing) {
        let at = probing.server as usize;
        let zones = (
            self.servers[at].zone,
            self.supervisors[probing.supervisor as usize].zone,
        );
        if !self.servers[at].runs() && self.silent[at] {
            self.probe_times_out(probing);
            return;
        }
        let (way, _) = self.way(zones.0, zones.1);
        let of = &self.servers[at];
        let most = self.scenario.probes_per_core * self.scenario.kinds[of.kind].cores;
        let end = match of.life {
            Life::Down | Life::Gone => Some(HealthCheckOutcome::Unreachable),
            Life::Draining => Some(HealthCheckOutcome::Rejected),
            Life::Up if f64::from(of.probes) >= most => Some(HealthCheckOutcome::Rejected),
            Life::Up => None,
        };
        if let Some(end) = end {
            let ended = (probing, end, LoadReport::default(), false);
            self.push(self.now + way, Event::ProbeEnd(Box::new(ended)));
            return;
        }
        let deep = self.scenario.probes_deep;
        if deep && of.effects.fails > 0.0 && self.chances.errors.share() < of.effects.fails {
            let ended = (
                probing,
                HealthCheckOutcome::Error,
                LoadReport::default(),
                false,
            );
            self.push(self.now + ERROR_US + way, Event::ProbeEnd(Box::new(ended)));
            return;
        }
        let waits = if deep { of.wait_ms() } else { 0.0 };
        let took = of
            .probe_ms(self.now, self.scenario.probe_ms)
            .map(|ms| ((ms + waits) * 1e3) as u64);
        let in_time = took.filter(|took| {
            self.now + took + way < probing.sent_us + self.scenario.probe_timeout_us
        });
        let Some(took) = in_time else {
            self.probe_times_out(probing);
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
        self.servers[at].probes += 1;
        let ended = (probing, HealthCheckOutcome::Passed, load, true);
        self.push(self.now + took + way, Event::ProbeEnd(Box::new(ended)));
    }

    fn probe_end(
        &mut self,
        (probing, end, load, answered): (Probing, HealthCheckOutcome, LoadReport, bool),
    ) {
        if answered {
            let of = &mut self.servers[probing.server as usize];
            of.probes = of.probes.saturating_sub(1);
        }
        let took = Micros((self.now - probing.sent_us) as i64);
        let Probing {
            supervisor,
            epoch,
            probe,
            ..
        } = probing;
        self.report(
            supervisor as usize,
            epoch,
            Report::HealthChecked {
                check: probe,
                outcome: end,
                elapsed: took,
                load,
            },
        );
    }

    // Housekeeping.

    /// A trouble of servers has ended: those that nobody picks are watched until somebody does.
    pub(crate) fn watch_healed(&mut self, number: usize) {
        let picked = |server: u32| {
            self.fronts
                .iter()
                .any(|front| front.up && front.picks(server))
        };
        let left = self.struck[number]
            .whom
            .iter()
            .map(|at| *at as u32)
            .filter(|server| !picked(*server));
        let left: Vec<(u32, u64)> = left.map(|server| (server, self.now)).collect();
        self.healing.extend(left);
    }

    pub(crate) fn watch_struck(&mut self, number: usize) {
        let whom = &self.struck[number].whom;
        self.watched
            .extend(whom.iter().map(|at| (*at as u32, self.now)));
    }

    /// Looks at what holds over time: who has nobody to pick, and which struck servers nobody picks any more.
    fn look(&mut self) {
        self.push(self.now + LOOK_US, Event::Look);
        let (now, scenario) = (self.now, self.scenario);
        if let Control::Ideal(late_ms) = self.setup.control {
            let truth = self.servers.iter().map(|server| {
                let runs = server.life == Life::Up && !server.effects.hangs;
                if runs {
                    server.capacity(now) * (1.0 - server.effects.fails).powi(4)
                } else {
                    0.0
                }
            });
            self.past.push_back((now, truth.collect()));
            while self
                .past
                .get(1)
                .is_some_and(|(at, _)| at + u64::from(late_ms) * 1000 <= now)
            {
                self.past.pop_front();
            }
        }
        for at in 0..self.fronts.len() {
            let Some((supervisor, _, since)) = self.fronts[at].joined else {
                continue;
            };
            for class in 0..scenario.classes.len() {
                if self.fronts[at].has_lines(class) {
                    self.fronts[at].bare_since[class] = None;
                    continue;
                }
                let bare = *self.fronts[at].bare_since[class].get_or_insert(now);
                let home = scenario.classes[class]
                    .home_only
                    .then_some(self.fronts[at].zone);
                let of = &self.supervisors[supervisor];
                if now > bare.max(since) + scenario.unserved_us
                    && of.lists_warm(now, &self.servers, self.longest_cold_us, home)
                {
                    // Counted anew after as long again.
                    self.fronts[at].bare_since[class] = Some(now);
                    let name = &scenario.classes[class].name;
                    let at_us = now - BEGIN_US;
                    self.rules.broken(Rule::Unserved, at_us, || {
                        format!("front end {at} has nobody for {name}")
                    });
                }
            }
        }
        let healing = std::mem::take(&mut self.healing);
        for (server, since) in healing {
            if self
                .fronts
                .iter()
                .any(|front| front.up && front.picks(server))
            {
                self.meter.restored((now - since) as f64 / 1e6);
            } else {
                self.healing.push((server, since));
            }
        }
        let watched = std::mem::take(&mut self.watched);
        for (server, since) in watched {
            if self
                .fronts
                .iter()
                .any(|front| front.up && front.picks(server))
            {
                self.watched.push((server, since));
            } else {
                self.meter.shut_out((now - since) as f64 / 1e6);
            }
        }
    }

    /// Each second: connections that are not used close, and figures are kept.
    fn second(&mut self) {
        self.push(self.now + 1_000_000, Event::Second);
        let (now, idle) = (self.now, self.scenario.idle_close_us);
        for front in &mut self.fronts {
            let mut open = std::mem::take(&mut front.connections);
            open.retain(|server, of: &mut Connection| {
                let kept = of.inflight > 0 || (front.picks(*server) && of.used_us + idle > now);
                if !kept {
                    let server = &mut self.servers[*server as usize];
                    server.advance(now);
                    server.connections = server.connections.saturating_sub(1);
                }
                kept
            });
            front.connections = open;
        }
        // Cold servers get faster.
        for at in 0..self.servers.len() {
            if self.servers[at].is_cold(now) {
                self.servers[at].advance(now);
                self.reschedule(at);
            }
        }
        let queue: usize = self.servers.iter().map(Server::queue).sum();
        let up = self
            .servers
            .iter()
            .filter(|server| server.runs())
            .count()
            .max(1);
        let open: f64 = self
            .servers
            .iter()
            .map(|server| f64::from(server.connections))
            .sum();
        self.meter.top("queue", queue as f64);
        self.meter.top("connections", open / up as f64);
        let scenario = self.scenario;
        let waiting = self
            .supervisors
            .iter()
            .map(|of| (of.free_us - now as f64).max(0.0) / 1e6 * scenario.lines_per_s);
        let fullest = waiting.fold(0.0, f64::max) / scenario.backlog;
        let second = (self.elapsed() / 1_000_000).saturating_sub(1) as usize;
        self.meter.stands(second, queue as f64, fullest);
    }
}
