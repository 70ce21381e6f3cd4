//! A whole small fleet on loopback: servers with cores and queues, front ends that pick by their tables and try again as
//! they are told, collectors that report what happened, and ways between zones that can be cut. Requests stay within the
//! process; what supervisors see - discovery, streams, reports, probes - goes over sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution as _;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify, Semaphore};
use tokio::time::{sleep, timeout};

use crate::discovery::Discovery;
use crate::http::{listen, serve, text};
use crate::tables::{Tables, CLASSES};
use crate::truth::now_us;

/// Zones of the fleet; supervisors stand in the first.
pub const ZONES: [&str; 2] = ["a", "b"];
/// Mean work of a request, and of a probe, at a server.
const WORK: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(1));
/// Requests that a server works on at a time.
const CORES: usize = 2;
/// A client gives up after this.
const PATIENCE: Duration = Duration::from_millis(2000);
/// A try across a way that is cut ends after this.
const CUT_AFTER: Duration = Duration::from_millis(500);
/// Time between two reports of a front end or a collector.
const REPORT_EVERY: Duration = Duration::from_millis(1000);
/// After the list told of a drain nobody may send there for longer than this: the settings' grace, and what sockets add.
const DRAIN_MOST: Duration = Duration::from_millis(2300);
/// Wait before a front end or a collector dials again.
const DIAL_AGAIN: Duration = Duration::from_millis(100);

fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while held")
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Answered after so many milliseconds.
    Done(f64),
    /// It surely did not run.
    Unrun,
    /// It failed, or nobody knows.
    Failed,
}

/// A server that works.
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: &'static str,
    /// Where it answers probes.
    pub address: SocketAddr,
    cores: Semaphore,
    waiting: AtomicUsize,
    fails: AtomicBool,
    gone: AtomicBool,
    work_ms: Mutex<f64>,
    /// When the list told that it drains.
    drained: Mutex<Option<Instant>>,
    /// Requests of the class that must not run twice, by request.
    ran: Mutex<BTreeMap<u64, u32>>,
}

/// A request that waits for a core, until it is dropped: also one that its client gives up.
struct Waits<'a>(&'a AtomicUsize);

impl<'a> Waits<'a> {
    fn begin(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Waits(waiting)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What is common to the whole fleet.
pub struct Ways {
    cut: Mutex<Vec<String>>,
    demand: Mutex<f64>,
    late: Mutex<BTreeMap<String, Duration>>,
}

impl Ways {
    fn are_cut(&self, from: &str, to: &str) -> bool {
        from != to
            && held(&self.cut)
                .iter()
                .any(|zone| zone == from || zone == to)
    }
}

impl Worker {
    async fn start(name: String, zone: &'static str, ways: Arc<Ways>) -> Arc<Self> {
        let (listener, address) = listen().await;
        let worker = Arc::new(Worker {
            name,
            zone,
            address,
            cores: Semaphore::new(CORES),
            waiting: AtomicUsize::new(0),
            fails: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            work_ms: Mutex::new(WORK.0.as_secs_f64() * 1000.0),
            drained: Mutex::default(),
            ran: Mutex::default(),
        });
        let probed = Arc::clone(&worker);
        serve(listener, Arc::default(), move |_| {
            let (worker, ways) = (Arc::clone(&probed), Arc::clone(&ways));
            async move {
                if ways.are_cut(ZONES[0], worker.zone) {
                    std::future::pending::<()>().await;
                }
                if worker.fails.load(Ordering::Relaxed) {
                    return text(StatusCode::INTERNAL_SERVER_ERROR, "");
                }
                worker.busy(WORK.1).await;
                text(StatusCode::OK, worker.report())
            }
        });
        worker
    }

    /// Waits for a core and uses it for so long.
    async fn busy(&self, length: Duration) {
        let waits = Waits::begin(&self.waiting);
        let core = self.cores.acquire().await;
        drop(waits);
        sleep(length).await;
        drop(core);
    }

    /// Its load report, as probes bring it.
    fn report(&self) -> String {
        format!(
            "TEXT queue={}, latency_ms={:.1}",
            self.waiting.load(Ordering::Relaxed),
            *held(&self.work_ms)
        )
    }

    /// Handles a request from a zone.
    async fn handle(
        &self,
        from: &str,
        request: (u64, &str),
        length: Duration,
        ways: &Ways,
    ) -> Outcome {
        if ways.are_cut(from, self.zone) {
            sleep(CUT_AFTER).await;
            return Outcome::Failed;
        }
        if self.gone.load(Ordering::Relaxed) {
            return Outcome::Unrun;
        }
        if self.fails.load(Ordering::Relaxed) {
            return Outcome::Failed;
        }
        let begun = Instant::now();
        self.busy(length).await;
        if request.1 == CLASSES[1] {
            *held(&self.ran).entry(request.0).or_default() += 1;
        }
        Outcome::Done(begun.elapsed().as_secs_f64() * 1000.0)
    }
}

/// What happened at one server, seen from one zone through one supervisor.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    tries: u64,
    failed: u64,
    sum_ms: f64,
}

type Tallies = Arc<Mutex<BTreeMap<(usize, &'static str, String), Tally>>>;

/// Where supervisors listen, as front ends and collectors know it.
#[derive(Clone, Default)]
pub struct Addresses(Arc<Mutex<Vec<Option<SocketAddr>>>>);

impl Addresses {
    /// A supervisor listens there, or nowhere.
    pub fn set(&self, supervisor: usize, address: Option<SocketAddr>) {
        let mut all = held(&self.0);
        let length = all.len().max(supervisor + 1);
        all.resize(length, None);
        all[supervisor] = address;
    }

    fn of(&self, supervisor: usize) -> Option<SocketAddr> {
        held(&self.0).get(supervisor).copied().flatten()
    }

    /// The first that listens, from a given one on.
    fn from(&self, first: usize) -> Option<(usize, SocketAddr)> {
        let all = held(&self.0);
        let order = (0..all.len()).map(|step| (first + step) % all.len());
        order.filter_map(|at| Some((at, all[at]?))).next()
    }
}

/// What one front end did of one class since it last reported.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    came: u64,
    failed: u64,
}

struct FrontEnd {
    id: u32,
    zone: &'static str,
    rate: f64,
    tables: Mutex<Tables>,
    usage: Mutex<BTreeMap<&'static str, Usage>>,
    joined: AtomicUsize,
    broken: Notify,
    requests: AtomicU64,
}

/// The fleet, which works until it is dropped.
pub struct Fleet {
    /// Discovery, one for all supervisors.
    pub discovery: Discovery,
    /// Where supervisors listen.
    pub addresses: Addresses,
    workers: Mutex<BTreeMap<String, Arc<Worker>>>,
    fronts: Vec<Arc<FrontEnd>>,
    ways: Arc<Ways>,
    tallies: Tallies,
    tasks: Mutex<Vec<tokio::task::JoinHandle<()>>>,
    counters: RequestCounters,
    seed: u64,
}

/// Requests by how they ended, all front ends together.
#[derive(Clone, Default)]
pub struct RequestCounters {
    /// Came in.
    pub received: Arc<AtomicU64>,
    /// Turned away by a level.
    pub rejected: Arc<AtomicU64>,
    /// Answered.
    pub answered: Arc<AtomicU64>,
    /// Given up.
    pub failed: Arc<AtomicU64>,
    /// Found nobody to pick, which is a rule broken if it lasts.
    pub without_server: Arc<AtomicU64>,
    /// Came to a server that had drained for longer than the rule allows.
    pub after_drain: Arc<AtomicU64>,
    /// Orders that the protocol does not allow.
    pub invalid_orders: Arc<AtomicU64>,
    /// How each request ended, once somebody asked for it: when it came, its class, and how long its answer took.
    pub results: Arc<Mutex<Option<Vec<RequestResult>>>>,
}

/// How one request ended.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// When it came.
    pub came: Instant,
    /// Its class, by its place.
    pub class: usize,
    /// It was turned away by a level.
    pub refused: bool,
    /// Milliseconds until its answer, if it had one.
    pub ms: Option<f64>,
}

/// Requests whose ends are kept at most: an hour of the small fleet.
const MAX_KEPT_RESULTS: usize = 2_000_000;

impl RequestCounters {
    /// From now on the end of each request is kept.
    pub fn keep_results(&self) {
        *held(&self.results) = Some(Vec::new());
    }

    fn ended(&self, answer: RequestResult) {
        if let Some(kept) = held(&self.results)
            .as_mut()
            .filter(|kept| kept.len() < MAX_KEPT_RESULTS)
        {
            kept.push(answer);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        held(&self.tasks)
            .iter()
            .for_each(tokio::task::JoinHandle::abort);
    }
}

impl Fleet {
    /// A fleet of so many servers a zone and so many front ends in all, each with so many requests a second.
    pub async fn start(servers: usize, fronts: u32, rate: f64, seed: u64) -> Arc<Self> {
        let ways = Arc::new(Ways {
            cut: Mutex::default(),
            demand: Mutex::new(1.0),
            late: Mutex::default(),
        });
        let fleet = Arc::new(Fleet {
            discovery: Discovery::start().await,
            addresses: Addresses::default(),
            workers: Mutex::default(),
            fronts: (0..fronts)
                .map(|id| Arc::new(FrontEnd::new(id, rate)))
                .collect(),
            ways,
            tallies: Tallies::default(),
            tasks: Mutex::default(),
            counters: RequestCounters::default(),
            seed,
        });
        for zone in ZONES {
            for number in 1..=servers {
                let name = format!("s-{zone}{number}");
                let worker = Worker::start(name.clone(), zone, Arc::clone(&fleet.ways)).await;
                fleet
                    .discovery
                    .set_in_zone(zone, &name, worker.address, "up", 0);
                held(&fleet.workers).insert(name, worker);
            }
        }
        fleet
    }

    /// Front ends and collectors begin, for so many supervisors.
    pub fn start_traffic(self: &Arc<Self>, supervisors: usize) {
        let mut tasks = Vec::new();
        for (at, front) in self.fronts.iter().enumerate() {
            let first = at % supervisors;
            let counters = self.counters.clone();
            tasks.push(tokio::spawn(streams(
                Arc::clone(front),
                self.addresses.clone(),
                first,
                counters,
            )));
            let rng = StdRng::seed_from_u64(self.seed ^ (u64::from(front.id) << 32));
            tasks.push(tokio::spawn(requests(
                Arc::downgrade(self),
                Arc::clone(front),
                rng,
            )));
        }
        for zone in ZONES {
            for supervisor in 0..supervisors {
                let (addresses, tallies) = (self.addresses.clone(), Arc::clone(&self.tallies));
                tasks.push(tokio::spawn(collector(
                    zone,
                    supervisor,
                    addresses,
                    tallies,
                    Arc::clone(&self.ways),
                )));
            }
        }
        held(&self.tasks).extend(tasks);
    }

    /// How requests ended so far.
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    fn worker(&self, name: &str) -> Arc<Worker> {
        Arc::clone(
            held(&self.workers)
                .get(name)
                .unwrap_or_else(|| panic!("no server {name}")),
        )
    }

    /// What of the rules was broken so far, as front ends and servers saw it: in words, none if nothing was. Nobody to pick
    /// counts only beyond so many requests, since a table may be empty for a moment.
    pub fn rule_violations(&self, unserved_most: u64) -> Vec<String> {
        let count = |of: &AtomicU64| of.load(Ordering::Relaxed);
        let counters = &self.counters;
        let found = [
            (
                count(&counters.without_server).saturating_sub(unserved_most),
                "requests found nobody to pick",
            ),
            (
                count(&counters.after_drain),
                "tries went to a server that had drained",
            ),
            (
                count(&counters.invalid_orders),
                "orders are not allowed by the protocol",
            ),
            (
                self.duplicate_executions() as u64,
                "requests ran twice that must not",
            ),
        ];
        found
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, what)| format!("{count} {what}"))
            .collect()
    }

    /// Requests of the class that must not run twice that did.
    pub fn duplicate_executions(&self) -> usize {
        let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
        for worker in held(&self.workers).values() {
            for (request, times) in held(&worker.ran).iter() {
                *runs.entry(*request).or_default() += times;
            }
        }
        runs.values().filter(|times| **times > 1).count()
    }

    /// The list says that a server drains.
    pub fn drain(&self, name: &str) {
        let worker = self.worker(name);
        *held(&worker.drained) = Some(Instant::now());
        self.discovery
            .set_in_zone(worker.zone, name, worker.address, "draining", 0);
    }

    /// The list drops a server, which ends.
    pub fn remove(&self, name: &str) {
        let worker = self.worker(name);
        worker.gone.store(true, Ordering::Relaxed);
        self.discovery
            .set_in_zone(worker.zone, name, worker.address, "removed", 0);
    }

    /// A server that was removed starts anew and is listed again.
    pub fn restart(&self, name: &str) {
        let worker = self.worker(name);
        worker.gone.store(false, Ordering::Relaxed);
        *held(&worker.drained) = None;
        self.discovery
            .set_in_zone(worker.zone, name, worker.address, "up", now_us() / 1000);
    }

    /// A server fails all that it gets, or nothing any more.
    pub fn set_failing(&self, name: &str, on: bool) {
        self.worker(name).fails.store(on, Ordering::Relaxed);
    }

    /// A server takes so many times longer.
    pub fn set_slowdown(&self, name: &str, factor: f64) {
        *held(&self.worker(name).work_ms) = factor * WORK.0.as_secs_f64() * 1000.0;
    }

    /// A zone is cut off from the others, or not any more.
    pub fn set_partitioned(&self, zone: &str, on: bool) {
        let mut cut = held(&self.ways.cut);
        cut.retain(|known| known != zone);
        cut.extend(on.then(|| zone.to_string()));
    }

    /// So much more comes than usually.
    pub fn set_demand_factor(&self, factor: f64) {
        *held(&self.ways.demand) = factor;
    }

    /// Reports of a zone's collectors come so much later.
    pub fn set_report_delay(&self, zone: &str, length: Duration) {
        held(&self.ways.late).insert(zone.to_string(), length);
    }

    /// Breaks a front end's stream.
    pub fn break_stream(&self, proxy: u32) {
        if let Some(front) = self.fronts.iter().find(|front| front.id == proxy) {
            front.broken.notify_one();
        }
    }

    /// Servers that each front end may pick for a class.
    pub fn picks(&self, class: &str) -> Vec<Vec<String>> {
        let of = |front: &Arc<FrontEnd>| {
            held(&front.tables)
                .picks(class)
                .into_iter()
                .map(String::from)
                .collect()
        };
        self.fronts.iter().map(of).collect()
    }

    /// Waits until every front end holds a table with somebody to pick.
    pub async fn wait_for_tables(&self) {
        let holds = |front: &Arc<FrontEnd>| {
            let tables = held(&front.tables);
            CLASSES.iter().all(|class| !tables.picks(class).is_empty())
        };
        crate::wait::until("a table at every front end", || {
            self.fronts.iter().all(holds)
        })
        .await;
    }
}

impl FrontEnd {
    fn new(id: u32, rate: f64) -> Self {
        FrontEnd {
            id,
            zone: ZONES[id as usize % ZONES.len()],
            rate,
            tables: Mutex::default(),
            usage: Mutex::default(),
            joined: AtomicUsize::new(usize::MAX),
            broken: Notify::new(),
            requests: AtomicU64::new(0),
        }
    }
}

/// Keeps a stream to a supervisor, and goes to the next when it breaks.
async fn streams(
    front: Arc<FrontEnd>,
    addresses: Addresses,
    first: usize,
    counters: RequestCounters,
) {
    let mut next = first;
    loop {
        if let Some((at, address)) = addresses.from(next) {
            front.joined.store(at, Ordering::Relaxed);
            let ended = stream(&front, address).await;
            if ended.is_err_and(|fault| fault.kind() == std::io::ErrorKind::InvalidData) {
                counters.invalid_orders.fetch_add(1, Ordering::Relaxed);
            }
            front.joined.store(usize::MAX, Ordering::Relaxed);
            // One that was merely broken off comes back; one whose supervisor has gone finds the next.
            next = first;
        }
        sleep(DIAL_AGAIN).await;
    }
}

async fn stream(front: &Arc<FrontEnd>, address: SocketAddr) -> std::io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let new = u8::from(held(&front.tables).rows.is_empty());
    let hello = format!(
        "hello id={} site={} rps={:.1} new={new}\r\n",
        front.id, front.zone, front.rate
    );
    write.write_all(hello.as_bytes()).await?;
    let (marks, wanted) = mpsc::unbounded_channel();
    let reading = async {
        let mut lines = BufReader::new(read).lines();
        while let Some(line) = lines.next_line().await? {
            let mark = held(&front.tables).apply(line.trim_end());
            let told = |fault: String| std::io::Error::new(std::io::ErrorKind::InvalidData, fault);
            if let Some(mark) = mark.map_err(told)? {
                let _ = marks.send(mark);
            }
        }
        Ok(())
    };
    tokio::select! {
        ended = reading => ended,
        ended = says(front, write, wanted) => ended,
        () = front.broken.notified() => Ok(()),
    }
}

/// Answers marks and reports usage.
async fn says(
    front: &FrontEnd,
    mut write: OwnedWriteHalf,
    mut wanted: mpsc::UnboundedReceiver<String>,
) -> std::io::Result<()> {
    let mut report = tokio::time::interval(REPORT_EVERY);
    loop {
        let text = tokio::select! {
            mark = wanted.recv() => match mark {
                Some(mark) => format!("ack id={} seq={mark} ms=2.0\r\n", front.id),
                None => return Ok(()),
            },
            _ = report.tick() => {
                let usage = std::mem::take(&mut *held(&front.usage));
                let line = |(class, of): (&str, Usage)| {
                    let (id, over) = (front.id, REPORT_EVERY.as_millis());
                    format!("demand id={id} lane={class} count={} fail={} over={over}.0\r\n", of.came, of.failed)
                };
                usage.into_iter().map(line).collect()
            }
        };
        write.write_all(text.as_bytes()).await?;
    }
}

/// Requests come at random, at the front end's rate.
async fn requests(fleet: std::sync::Weak<Fleet>, front: Arc<FrontEnd>, mut rng: StdRng) {
    loop {
        let Some(now) = fleet.upgrade() else { return };
        let rate = front.rate * *held(&now.ways.demand);
        drop(now);
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate.max(0.001);
        sleep(Duration::from_secs_f64(gap.min(1.0))).await;
        let Some(fleet) = fleet.upgrade() else { return };
        let request = StdRng::seed_from_u64(rng.random());
        let front = Arc::clone(&front);
        tokio::spawn(async move { one_request(&fleet, &front, request).await });
    }
}

async fn one_request(fleet: &Fleet, front: &FrontEnd, mut rng: StdRng) {
    let class = if rng.random_bool(0.7) {
        CLASSES[0]
    } else {
        CLASSES[1]
    };
    let number = (u64::from(front.id) << 40) | front.requests.fetch_add(1, Ordering::Relaxed);
    fleet.counters.received.fetch_add(1, Ordering::Relaxed);
    let came = Instant::now();
    let at = usize::from(class == CLASSES[1]);
    let ended = |refused, ms| {
        fleet.counters.ended(RequestResult {
            came,
            class: at,
            refused,
            ms,
        })
    };
    let (admitted, retry) = {
        let tables = held(&front.tables);
        (
            rng.random_bool(tables.level(class).clamp(0.0, 1.0)),
            tables.retries.get(class).cloned(),
        )
    };
    held(&front.usage).entry(class).or_default().came += 1;
    if !admitted {
        fleet.counters.rejected.fetch_add(1, Ordering::Relaxed);
        ended(true, None);
        return;
    }
    let tries = async {
        let first = one_try(fleet, front, (number, class), &mut rng).await;
        match (first, retry.as_deref()) {
            (Some(Outcome::Unrun), Some("1" | "2" | "3"))
            | (Some(Outcome::Failed), Some("2" | "3")) => {
                one_try(fleet, front, (number, class), &mut rng).await
            }
            (first, _) => first,
        }
    };
    let outcome = timeout(PATIENCE, tries).await.ok().flatten();
    let done = matches!(outcome, Some(Outcome::Done(_)));
    ended(false, done.then(|| came.elapsed().as_secs_f64() * 1000.0));
    if done {
        fleet.counters.answered.fetch_add(1, Ordering::Relaxed);
    } else {
        fleet.counters.failed.fetch_add(1, Ordering::Relaxed);
        held(&front.usage).entry(class).or_default().failed += 1;
    }
}

/// One try at a server picked by weight; nothing if there is none to pick.
async fn one_try(
    fleet: &Fleet,
    front: &FrontEnd,
    request: (u64, &str),
    rng: &mut StdRng,
) -> Option<Outcome> {
    let name = {
        let tables = held(&front.tables);
        let (names, weights): (Vec<&str>, Vec<f64>) = tables.weights(request.1).unzip();
        if names.is_empty() {
            fleet
                .counters
                .without_server
                .fetch_add(1, Ordering::Relaxed);
        }
        names[WeightedIndex::new(weights).ok()?.sample(rng)].to_string()
    };
    let worker = fleet.worker(&name);
    if held(&worker.drained).is_some_and(|told| told.elapsed() > DRAIN_MOST) {
        fleet.counters.after_drain.fetch_add(1, Ordering::Relaxed);
    }
    let through = front.joined.load(Ordering::Relaxed);
    let mean = *held(&worker.work_ms);
    let length = Duration::from_secs_f64(mean * rng.random_range(0.5..1.5) / 1000.0);
    // A try that the client gives up is told too, as one that failed.
    let tally = Told {
        fleet,
        through,
        zone: front.zone,
        name: &worker.name,
        outcome: Outcome::Failed,
    };
    let mut tally = tally;
    tally.outcome = worker
        .handle(front.zone, request, length, &fleet.ways)
        .await;
    Some(tally.outcome)
}

/// Counts a try once it has ended, whichever way.
struct Told<'a> {
    fleet: &'a Fleet,
    through: usize,
    zone: &'static str,
    name: &'a str,
    outcome: Outcome,
}

impl Drop for Told<'_> {
    fn drop(&mut self) {
        let mut tallies = held(&self.fleet.tallies);
        let tally = tallies
            .entry((self.through, self.zone, self.name.to_string()))
            .or_default();
        tally.tries += 1;
        match self.outcome {
            Outcome::Done(ms) => tally.sum_ms += ms,
            Outcome::Unrun | Outcome::Failed => tally.failed += 1,
        }
    }
}

/// A zone's collector at one supervisor.
async fn collector(
    zone: &'static str,
    supervisor: usize,
    addresses: Addresses,
    tallies: Tallies,
    ways: Arc<Ways>,
) {
    loop {
        if let Some(address) = addresses.of(supervisor) {
            let _ = collects(zone, supervisor, address, &tallies, &ways).await;
        }
        sleep(DIAL_AGAIN).await;
    }
}

async fn collects(
    zone: &'static str,
    supervisor: usize,
    address: SocketAddr,
    tallies: &Tallies,
    ways: &Ways,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(format!("agent site={zone}\r\n").as_bytes())
        .await?;
    let (mut read, mut write) = stream.split();
    let (send, mut due) = mpsc::unbounded_channel::<(Instant, String)>();
    let gathers = async {
        let mut report = tokio::time::interval(REPORT_EVERY);
        loop {
            report.tick().await;
            let own: Vec<(String, Tally)> = {
                let mut tallies = held(tallies);
                let mine =
                    |key: &(usize, &'static str, String)| key.0 == supervisor && key.1 == zone;
                let keys: Vec<_> = tallies.keys().filter(|key| mine(key)).cloned().collect();
                keys.into_iter()
                    .filter_map(|key| Some((key.2.clone(), tallies.remove(&key)?)))
                    .collect()
            };
            let line = |(server, of): (String, Tally)| {
                let mean = of.sum_ms / (of.tries - of.failed).max(1) as f64;
                let (tries, failed, over) = (of.tries, of.failed, REPORT_EVERY.as_millis());
                format!("outcomes site={zone} target={server} count={tries} fail={failed} mean={mean:.1} over={over}.0\r\n")
            };
            let late = held(&ways.late).get(zone).copied().unwrap_or_default();
            if send
                .send((Instant::now() + late, own.into_iter().map(line).collect()))
                .is_err()
            {
                return;
            }
        }
    };
    let delivers = async {
        while let Some((at, text)) = due.recv().await {
            tokio::time::sleep_until(at.into()).await;
            write.write_all(text.as_bytes()).await?;
        }
        Ok::<(), std::io::Error>(())
    };
    let closed = wait_closed(&mut read);
    tokio::select! {
        () = gathers => Ok(()),
        ended = delivers => ended,
        () = closed => Ok(()),
    }
}

/// Ends once the other side has closed the connection.
async fn wait_closed(read: &mut tokio::net::tcp::ReadHalf<'_>) {
    let mut rest = [0; 256];
    while tokio::io::AsyncReadExt::read(read, &mut rest)
        .await
        .is_ok_and(|count| count > 0)
    {}
}
