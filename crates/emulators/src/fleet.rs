//! Emulates a small fleet on loopback: servers with cores and queues, proxies that pick servers by their tables and
//! follow the ordered retry policy, collectors that report outcomes, and partitions between zones. Requests stay within
//! the process; the traffic with supervisors (discovery, streams, reports, health checks) goes over sockets.

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

/// Zones of the fleet; the supervisors run in the first.
pub const ZONES: [&str; 2] = ["a", "b"];
/// Mean work of a request at a server.
const REQUEST_WORK: Duration = Duration::from_millis(20);
/// Work of a health check at a server.
const HEALTH_CHECK_WORK: Duration = Duration::from_millis(1);
/// Requests that a server processes concurrently.
const CORES: usize = 2;
/// A client abandons its request after this time.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2000);
/// An attempt across a partition fails after this time.
const PARTITION_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between reports of a proxy or a collector.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Longest time for which a draining server may still receive attempts: the drain grace of the settings, and the delay
/// of the sockets.
const MAX_DRAIN: Duration = Duration::from_millis(2300);
/// Delay before a proxy or a collector reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Answered, after this time at the server in milliseconds.
    Answered(f64),
    /// The server did not execute it.
    NotExecuted,
    /// It failed, or its result is unknown.
    Failed,
}

/// An emulated server with cores and a queue.
pub struct EmulatedServer {
    /// Unique within the fleet, as in the server list.
    pub name: String,
    /// One of [`ZONES`].
    pub zone: &'static str,
    /// Where it answers health checks.
    pub address: SocketAddr,
    cores: Semaphore,
    queued: AtomicUsize,
    is_failing: AtomicBool,
    is_stopped: AtomicBool,
    work_ms: Mutex<f64>,
    /// When the server list marked it as draining.
    draining_since: Mutex<Option<Instant>>,
    /// Number of executions of each non-idempotent request.
    executions: Mutex<BTreeMap<u64, u32>>,
}

/// Counts a request as queued until it is dropped, which includes a request that its client abandons.
struct QueueGuard<'a>(&'a AtomicUsize);

impl<'a> QueueGuard<'a> {
    fn new(queued: &'a AtomicUsize) -> Self {
        queued.fetch_add(1, Ordering::Relaxed);
        QueueGuard(queued)
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Injected conditions that apply to the whole fleet.
pub struct Conditions {
    partitioned_zones: Mutex<Vec<String>>,
    demand_factor: Mutex<f64>,
    report_delays: Mutex<BTreeMap<String, Duration>>,
}

impl Conditions {
    fn is_partitioned(&self, from: &str, to: &str) -> bool {
        from != to
            && lock(&self.partitioned_zones)
                .iter()
                .any(|zone| zone == from || zone == to)
    }
}

impl EmulatedServer {
    async fn start(name: String, zone: &'static str, conditions: Arc<Conditions>) -> Arc<Self> {
        let (listener, address) = listen().await;
        let server = Arc::new(EmulatedServer {
            name,
            zone,
            address,
            cores: Semaphore::new(CORES),
            queued: AtomicUsize::new(0),
            is_failing: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            work_ms: Mutex::new(REQUEST_WORK.as_secs_f64() * 1000.0),
            draining_since: Mutex::default(),
            executions: Mutex::default(),
        });
        let checked = Arc::clone(&server);
        serve(listener, Arc::default(), move |_| {
            let (server, conditions) = (Arc::clone(&checked), Arc::clone(&conditions));
            async move {
                if conditions.is_partitioned(ZONES[0], server.zone) {
                    std::future::pending::<()>().await;
                }
                if server.is_failing.load(Ordering::Relaxed) {
                    return text(StatusCode::INTERNAL_SERVER_ERROR, "");
                }
                server.work_for(HEALTH_CHECK_WORK).await;
                text(StatusCode::OK, server.load_report())
            }
        });
        server
    }

    /// Waits for a core and occupies it for this time.
    async fn work_for(&self, length: Duration) {
        let queue_guard = QueueGuard::new(&self.queued);
        let core = self.cores.acquire().await;
        drop(queue_guard);
        sleep(length).await;
        drop(core);
    }

    /// Returns the load report in the format of a health check response.
    fn load_report(&self) -> String {
        format!(
            "TEXT queue={}, latency_ms={:.1}",
            self.queued.load(Ordering::Relaxed),
            *lock(&self.work_ms)
        )
    }

    /// Handles a request, given by its id and class, that a proxy in the zone `from` sends.
    async fn handle(
        &self,
        from: &str,
        request: (u64, &str),
        length: Duration,
        conditions: &Conditions,
    ) -> Outcome {
        if conditions.is_partitioned(from, self.zone) {
            sleep(PARTITION_TIMEOUT).await;
            return Outcome::Failed;
        }
        if self.is_stopped.load(Ordering::Relaxed) {
            return Outcome::NotExecuted;
        }
        if self.is_failing.load(Ordering::Relaxed) {
            return Outcome::Failed;
        }
        let started = Instant::now();
        self.work_for(length).await;
        if request.1 == CLASSES[1] {
            *lock(&self.executions).entry(request.0).or_default() += 1;
        }
        Outcome::Answered(started.elapsed().as_secs_f64() * 1000.0)
    }
}

/// Attempts at one server from the proxies of one zone that were connected to one supervisor.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptStats {
    attempts: u64,
    failed: u64,
    sum_ms: f64,
}

type AttemptStatsByServer = Arc<Mutex<BTreeMap<(usize, &'static str, String), AttemptStats>>>;

/// Addresses of the supervisors, shared by proxies and collectors.
#[derive(Clone, Default)]
pub struct SupervisorAddresses(Arc<Mutex<Vec<Option<SocketAddr>>>>);

impl SupervisorAddresses {
    /// Sets the address of a supervisor; `None` if the supervisor does not run.
    pub fn set(&self, supervisor: usize, address: Option<SocketAddr>) {
        let mut all = lock(&self.0);
        let length = all.len().max(supervisor + 1);
        all.resize(length, None);
        all[supervisor] = address;
    }

    fn get(&self, supervisor: usize) -> Option<SocketAddr> {
        lock(&self.0).get(supervisor).copied().flatten()
    }

    /// Returns the first running supervisor, beginning at `first` and wrapping around.
    fn first_running_from(&self, first: usize) -> Option<(usize, SocketAddr)> {
        let all = lock(&self.0);
        let order = (0..all.len()).map(|step| (first + step) % all.len());
        order.filter_map(|index| Some((index, all[index]?))).next()
    }
}

/// Requests of one class at one proxy since its last report.
#[derive(Clone, Copy, Debug, Default)]
struct ClassUsage {
    requests: u64,
    failed: u64,
}

struct EmulatedProxy {
    id: u32,
    zone: &'static str,
    rate: f64,
    tables: Mutex<Tables>,
    usage: Mutex<BTreeMap<&'static str, ClassUsage>>,
    /// Index of the supervisor of its stream, set while it connects; `usize::MAX` while it has none.
    supervisor: AtomicUsize,
    stream_break: Notify,
    request_count: AtomicU64,
}

/// An emulated fleet, whose tasks end when it is dropped.
pub struct Fleet {
    /// The discovery agent that all supervisors use.
    pub discovery: Discovery,
    /// Addresses of the running supervisors.
    pub addresses: SupervisorAddresses,
    servers: Mutex<BTreeMap<String, Arc<EmulatedServer>>>,
    proxies: Vec<Arc<EmulatedProxy>>,
    conditions: Arc<Conditions>,
    attempt_stats: AttemptStatsByServer,
    tasks: Mutex<Vec<tokio::task::JoinHandle<()>>>,
    counters: RequestCounters,
    seed: u64,
}

/// Counters of all proxies together.
#[derive(Clone, Default)]
pub struct RequestCounters {
    /// Requests from clients.
    pub received: Arc<AtomicU64>,
    /// Requests rejected by the admission level.
    pub rejected: Arc<AtomicU64>,
    /// Requests answered before the client's timeout.
    pub answered: Arc<AtomicU64>,
    /// Admitted requests that were not answered before the client's timeout.
    pub failed: Arc<AtomicU64>,
    /// Attempts without a server to pick, which is a rule violation if it persists.
    pub without_server: Arc<AtomicU64>,
    /// Attempts at a server that had been draining for longer than the drain grace.
    pub after_drain: Arc<AtomicU64>,
    /// Orders that violate the protocol.
    pub invalid_orders: Arc<AtomicU64>,
    /// Results of single requests, once [`RequestCounters::retain_results`] was called.
    pub results: Arc<Mutex<Option<Vec<RequestResult>>>>,
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// When the proxy received it.
    pub received: Instant,
    /// Index into [`CLASSES`].
    pub class: usize,
    /// Whether the admission level rejected it.
    pub is_rejected: bool,
    /// Milliseconds until its answer; none if it was not answered.
    pub latency_ms: Option<f64>,
}

/// Maximum number of retained results: one hour of the small fleet.
const MAX_RETAINED_RESULTS: usize = 2_000_000;

impl RequestCounters {
    /// Starts to retain the result of each request; discards results retained earlier.
    pub fn retain_results(&self) {
        *lock(&self.results) = Some(Vec::new());
    }

    fn record(&self, result: RequestResult) {
        if let Some(results) = lock(&self.results)
            .as_mut()
            .filter(|results| results.len() < MAX_RETAINED_RESULTS)
        {
            results.push(result);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        lock(&self.tasks)
            .iter()
            .for_each(tokio::task::JoinHandle::abort);
    }
}

impl Fleet {
    /// Starts `servers` servers in each zone. Creates `proxies` proxies in total, each with `rate` requests per second,
    /// which are idle until [`Fleet::start_traffic`].
    pub async fn start(servers: usize, proxies: u32, rate: f64, seed: u64) -> Arc<Self> {
        let conditions = Arc::new(Conditions {
            partitioned_zones: Mutex::default(),
            demand_factor: Mutex::new(1.0),
            report_delays: Mutex::default(),
        });
        let fleet = Arc::new(Fleet {
            discovery: Discovery::start().await,
            addresses: SupervisorAddresses::default(),
            servers: Mutex::default(),
            proxies: (0..proxies)
                .map(|id| Arc::new(EmulatedProxy::new(id, rate)))
                .collect(),
            conditions,
            attempt_stats: AttemptStatsByServer::default(),
            tasks: Mutex::default(),
            counters: RequestCounters::default(),
            seed,
        });
        for zone in ZONES {
            for number in 1..=servers {
                let name = format!("s-{zone}{number}");
                let server =
                    EmulatedServer::start(name.clone(), zone, Arc::clone(&fleet.conditions)).await;
                fleet
                    .discovery
                    .set_in_zone(zone, &name, server.address, "up", 0);
                lock(&fleet.servers).insert(name, server);
            }
        }
        fleet
    }

    /// Starts the proxies and the collectors, which connect to this number of supervisors.
    pub fn start_traffic(self: &Arc<Self>, supervisors: usize) {
        let mut tasks = Vec::new();
        for (index, proxy) in self.proxies.iter().enumerate() {
            let first = index % supervisors;
            let counters = self.counters.clone();
            tasks.push(tokio::spawn(maintain_stream(
                Arc::clone(proxy),
                self.addresses.clone(),
                first,
                counters,
            )));
            let rng = StdRng::seed_from_u64(self.seed ^ (u64::from(proxy.id) << 32));
            tasks.push(tokio::spawn(generate_requests(
                Arc::downgrade(self),
                Arc::clone(proxy),
                rng,
            )));
        }
        for zone in ZONES {
            for supervisor in 0..supervisors {
                let (addresses, attempt_stats) =
                    (self.addresses.clone(), Arc::clone(&self.attempt_stats));
                tasks.push(tokio::spawn(run_collector(
                    zone,
                    supervisor,
                    addresses,
                    attempt_stats,
                    Arc::clone(&self.conditions),
                )));
            }
        }
        lock(&self.tasks).extend(tasks);
    }

    /// Returns the counters since the start of the fleet.
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    fn server(&self, name: &str) -> Arc<EmulatedServer> {
        Arc::clone(
            lock(&self.servers)
                .get(name)
                .unwrap_or_else(|| panic!("no server {name}")),
        )
    }

    /// Describes the rule violations that proxies and servers observed so far. Attempts without a server to pick count
    /// only beyond `max_without_server`, since a table may be empty for a moment.
    pub fn rule_violations(&self, max_without_server: u64) -> Vec<String> {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.counters;
        let violations = [
            (
                count(&counters.without_server).saturating_sub(max_without_server),
                "attempts found no server to pick",
            ),
            (
                count(&counters.after_drain),
                "attempts went to a server after its drain grace",
            ),
            (
                count(&counters.invalid_orders),
                "orders violate the protocol",
            ),
            (
                self.duplicate_executions() as u64,
                "non-idempotent requests were executed more than once",
            ),
        ];
        violations
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, description)| format!("{count} {description}"))
            .collect()
    }

    /// Returns the number of non-idempotent requests that were executed more than once.
    pub fn duplicate_executions(&self) -> usize {
        let mut executions: BTreeMap<u64, u32> = BTreeMap::new();
        for server in lock(&self.servers).values() {
            for (request, times) in lock(&server.executions).iter() {
                *executions.entry(*request).or_default() += times;
            }
        }
        executions.values().filter(|times| **times > 1).count()
    }

    /// Marks a server as draining in the server list.
    pub fn drain(&self, name: &str) {
        let server = self.server(name);
        *lock(&server.draining_since) = Some(Instant::now());
        self.discovery
            .set_in_zone(server.zone, name, server.address, "draining", 0);
    }

    /// Removes a server from the server list; from then on it executes no requests.
    pub fn remove(&self, name: &str) {
        let server = self.server(name);
        server.is_stopped.store(true, Ordering::Relaxed);
        self.discovery
            .set_in_zone(server.zone, name, server.address, "removed", 0);
    }

    /// Restarts a removed server and lists it again, with the present time as its start.
    pub fn restart(&self, name: &str) {
        let server = self.server(name);
        server.is_stopped.store(false, Ordering::Relaxed);
        *lock(&server.draining_since) = None;
        self.discovery
            .set_in_zone(server.zone, name, server.address, "up", now_us() / 1000);
    }

    /// Makes a server fail all requests and health checks, or stops doing so.
    pub fn set_failing(&self, name: &str, on: bool) {
        self.server(name).is_failing.store(on, Ordering::Relaxed);
    }

    /// Multiplies the usual work of requests at a server by a factor.
    pub fn set_slowdown(&self, name: &str, factor: f64) {
        *lock(&self.server(name).work_ms) = factor * REQUEST_WORK.as_secs_f64() * 1000.0;
    }

    /// Partitions a zone from the others, or ends the partition.
    pub fn set_partitioned(&self, zone: &str, on: bool) {
        let mut zones = lock(&self.conditions.partitioned_zones);
        zones.retain(|known| known != zone);
        zones.extend(on.then(|| zone.to_string()));
    }

    /// Multiplies the usual request rate of all proxies by a factor.
    pub fn set_demand_factor(&self, factor: f64) {
        *lock(&self.conditions.demand_factor) = factor;
    }

    /// Delays the reports of a zone's collectors.
    pub fn set_report_delay(&self, zone: &str, length: Duration) {
        lock(&self.conditions.report_delays).insert(zone.to_string(), length);
    }

    /// Closes a proxy's stream.
    pub fn break_stream(&self, id: u32) {
        if let Some(proxy) = self.proxies.iter().find(|proxy| proxy.id == id) {
            proxy.stream_break.notify_one();
        }
    }

    /// Returns the servers that each proxy may pick for a class.
    pub fn picks(&self, class: &str) -> Vec<Vec<String>> {
        let picks_of = |proxy: &Arc<EmulatedProxy>| {
            lock(&proxy.tables)
                .picks(class)
                .into_iter()
                .map(String::from)
                .collect()
        };
        self.proxies.iter().map(picks_of).collect()
    }

    /// Waits until every proxy has a server to pick for every class.
    pub async fn wait_for_tables(&self) {
        let has_tables = |proxy: &Arc<EmulatedProxy>| {
            let tables = lock(&proxy.tables);
            CLASSES.iter().all(|class| !tables.picks(class).is_empty())
        };
        crate::wait::until("a table at every proxy", || {
            self.proxies.iter().all(has_tables)
        })
        .await;
    }
}

impl EmulatedProxy {
    fn new(id: u32, rate: f64) -> Self {
        EmulatedProxy {
            id,
            zone: ZONES[id as usize % ZONES.len()],
            rate,
            tables: Mutex::default(),
            usage: Mutex::default(),
            supervisor: AtomicUsize::new(usize::MAX),
            stream_break: Notify::new(),
            request_count: AtomicU64::new(0),
        }
    }
}

/// Keeps a proxy connected to its first supervisor, or to the next running one.
async fn maintain_stream(
    proxy: Arc<EmulatedProxy>,
    addresses: SupervisorAddresses,
    first: usize,
    counters: RequestCounters,
) {
    let mut next = first;
    loop {
        if let Some((supervisor, address)) = addresses.first_running_from(next) {
            proxy.supervisor.store(supervisor, Ordering::Relaxed);
            let ended = run_stream(&proxy, address).await;
            if ended.is_err_and(|error| error.kind() == std::io::ErrorKind::InvalidData) {
                counters.invalid_orders.fetch_add(1, Ordering::Relaxed);
            }
            proxy.supervisor.store(usize::MAX, Ordering::Relaxed);
            // Reconnects to the first supervisor if it runs, otherwise to the next running one.
            next = first;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn run_stream(proxy: &Arc<EmulatedProxy>, address: SocketAddr) -> std::io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let new = u8::from(lock(&proxy.tables).rows.is_empty());
    let hello = format!(
        "hello id={} site={} rps={:.1} new={new}\r\n",
        proxy.id, proxy.zone, proxy.rate
    );
    write.write_all(hello.as_bytes()).await?;
    let (acknowledgements, pending_acknowledgements) = mpsc::unbounded_channel();
    let apply_orders = async {
        let mut lines = BufReader::new(read).lines();
        while let Some(line) = lines.next_line().await? {
            let sequence = lock(&proxy.tables).apply(line.trim_end());
            let invalid_data =
                |message: String| std::io::Error::new(std::io::ErrorKind::InvalidData, message);
            if let Some(sequence) = sequence.map_err(invalid_data)? {
                let _ = acknowledgements.send(sequence);
            }
        }
        Ok(())
    };
    tokio::select! {
        ended = apply_orders => ended,
        ended = write_messages(proxy, write, pending_acknowledgements) => ended,
        () = proxy.stream_break.notified() => Ok(()),
    }
}

/// Sends acknowledgements and usage reports.
async fn write_messages(
    proxy: &EmulatedProxy,
    mut write: OwnedWriteHalf,
    mut pending_acknowledgements: mpsc::UnboundedReceiver<String>,
) -> std::io::Result<()> {
    let mut report = tokio::time::interval(REPORT_INTERVAL);
    loop {
        let text = tokio::select! {
            sequence = pending_acknowledgements.recv() => match sequence {
                Some(sequence) => format!("ack id={} seq={sequence} ms=2.0\r\n", proxy.id),
                None => return Ok(()),
            },
            _ = report.tick() => {
                let usage = std::mem::take(&mut *lock(&proxy.usage));
                let line = |(class, usage): (&str, ClassUsage)| {
                    let (id, interval_ms) = (proxy.id, REPORT_INTERVAL.as_millis());
                    format!("demand id={id} lane={class} count={} fail={} over={interval_ms}.0\r\n", usage.requests, usage.failed)
                };
                usage.into_iter().map(line).collect()
            }
        };
        write.write_all(text.as_bytes()).await?;
    }
}

/// Sends requests at the proxy's mean rate, with exponentially distributed intervals.
async fn generate_requests(
    fleet: std::sync::Weak<Fleet>,
    proxy: Arc<EmulatedProxy>,
    mut rng: StdRng,
) {
    loop {
        let Some(running) = fleet.upgrade() else {
            return;
        };
        let rate = proxy.rate * *lock(&running.conditions.demand_factor);
        drop(running);
        let interval = -(1.0 - rng.random::<f64>()).ln() / rate.max(0.001);
        sleep(Duration::from_secs_f64(interval.min(1.0))).await;
        let Some(fleet) = fleet.upgrade() else { return };
        let request_rng = StdRng::seed_from_u64(rng.random());
        let proxy = Arc::clone(&proxy);
        tokio::spawn(async move { send_request(&fleet, &proxy, request_rng).await });
    }
}

async fn send_request(fleet: &Fleet, proxy: &EmulatedProxy, mut rng: StdRng) {
    let class = if rng.random_bool(0.7) {
        CLASSES[0]
    } else {
        CLASSES[1]
    };
    let id = (u64::from(proxy.id) << 40) | proxy.request_count.fetch_add(1, Ordering::Relaxed);
    fleet.counters.received.fetch_add(1, Ordering::Relaxed);
    let received = Instant::now();
    let class_index = usize::from(class == CLASSES[1]);
    let record_result = |is_rejected, latency_ms| {
        fleet.counters.record(RequestResult {
            received,
            class: class_index,
            is_rejected,
            latency_ms,
        })
    };
    let (is_admitted, retry) = {
        let tables = lock(&proxy.tables);
        (
            rng.random_bool(tables.level(class).clamp(0.0, 1.0)),
            tables.retries.get(class).cloned(),
        )
    };
    lock(&proxy.usage).entry(class).or_default().requests += 1;
    if !is_admitted {
        fleet.counters.rejected.fetch_add(1, Ordering::Relaxed);
        record_result(true, None);
        return;
    }
    let attempts = async {
        let first = send_attempt(fleet, proxy, (id, class), &mut rng).await;
        match (first, retry.as_deref()) {
            (Some(Outcome::NotExecuted), Some("1" | "2" | "3"))
            | (Some(Outcome::Failed), Some("2" | "3")) => {
                send_attempt(fleet, proxy, (id, class), &mut rng).await
            }
            (first, _) => first,
        }
    };
    let outcome = timeout(CLIENT_TIMEOUT, attempts).await.ok().flatten();
    let is_answered = matches!(outcome, Some(Outcome::Answered(_)));
    record_result(
        false,
        is_answered.then(|| received.elapsed().as_secs_f64() * 1000.0),
    );
    if is_answered {
        fleet.counters.answered.fetch_add(1, Ordering::Relaxed);
    } else {
        fleet.counters.failed.fetch_add(1, Ordering::Relaxed);
        lock(&proxy.usage).entry(class).or_default().failed += 1;
    }
}

/// Sends one attempt to a server picked by weight; returns `None` if there is no server to pick.
async fn send_attempt(
    fleet: &Fleet,
    proxy: &EmulatedProxy,
    request: (u64, &str),
    rng: &mut StdRng,
) -> Option<Outcome> {
    let name = {
        let tables = lock(&proxy.tables);
        let (names, weights): (Vec<&str>, Vec<f64>) = tables.weights(request.1).unzip();
        if names.is_empty() {
            fleet
                .counters
                .without_server
                .fetch_add(1, Ordering::Relaxed);
        }
        names[WeightedIndex::new(weights).ok()?.sample(rng)].to_string()
    };
    let server = fleet.server(&name);
    if lock(&server.draining_since).is_some_and(|since| since.elapsed() > MAX_DRAIN) {
        fleet.counters.after_drain.fetch_add(1, Ordering::Relaxed);
    }
    let supervisor = proxy.supervisor.load(Ordering::Relaxed);
    let mean_ms = *lock(&server.work_ms);
    let length = Duration::from_secs_f64(mean_ms * rng.random_range(0.5..1.5) / 1000.0);
    // An attempt that the client abandons is recorded as failed.
    let recorder = AttemptRecorder {
        fleet,
        supervisor,
        zone: proxy.zone,
        name: &server.name,
        outcome: Outcome::Failed,
    };
    let mut recorder = recorder;
    recorder.outcome = server
        .handle(proxy.zone, request, length, &fleet.conditions)
        .await;
    Some(recorder.outcome)
}

/// Records an attempt when it is dropped.
struct AttemptRecorder<'a> {
    fleet: &'a Fleet,
    supervisor: usize,
    zone: &'static str,
    name: &'a str,
    outcome: Outcome,
}

impl Drop for AttemptRecorder<'_> {
    fn drop(&mut self) {
        let mut attempt_stats = lock(&self.fleet.attempt_stats);
        let stats = attempt_stats
            .entry((self.supervisor, self.zone, self.name.to_string()))
            .or_default();
        stats.attempts += 1;
        match self.outcome {
            Outcome::Answered(ms) => stats.sum_ms += ms,
            Outcome::NotExecuted | Outcome::Failed => stats.failed += 1,
        }
    }
}

/// Keeps a zone's collector connected to one supervisor.
async fn run_collector(
    zone: &'static str,
    supervisor: usize,
    addresses: SupervisorAddresses,
    attempt_stats: AttemptStatsByServer,
    conditions: Arc<Conditions>,
) {
    loop {
        if let Some(address) = addresses.get(supervisor) {
            let _ =
                run_collector_connection(zone, supervisor, address, &attempt_stats, &conditions)
                    .await;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn run_collector_connection(
    zone: &'static str,
    supervisor: usize,
    address: SocketAddr,
    attempt_stats: &AttemptStatsByServer,
    conditions: &Conditions,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(format!("agent site={zone}\r\n").as_bytes())
        .await?;
    let (mut read, mut write) = stream.split();
    let (delayed_report_sender, mut delayed_reports) =
        mpsc::unbounded_channel::<(Instant, String)>();
    let collect_reports = async {
        let mut report = tokio::time::interval(REPORT_INTERVAL);
        loop {
            report.tick().await;
            let collected: Vec<(String, AttemptStats)> = {
                let mut attempt_stats = lock(attempt_stats);
                let is_own =
                    |key: &(usize, &'static str, String)| key.0 == supervisor && key.1 == zone;
                let keys: Vec<_> = attempt_stats
                    .keys()
                    .filter(|key| is_own(key))
                    .cloned()
                    .collect();
                keys.into_iter()
                    .filter_map(|key| Some((key.2.clone(), attempt_stats.remove(&key)?)))
                    .collect()
            };
            let line = |(server, stats): (String, AttemptStats)| {
                let mean_ms = stats.sum_ms / (stats.attempts - stats.failed).max(1) as f64;
                let (attempts, failed, interval_ms) =
                    (stats.attempts, stats.failed, REPORT_INTERVAL.as_millis());
                format!("outcomes site={zone} target={server} count={attempts} fail={failed} mean={mean_ms:.1} over={interval_ms}.0\r\n")
            };
            let delay = lock(&conditions.report_delays)
                .get(zone)
                .copied()
                .unwrap_or_default();
            if delayed_report_sender
                .send((
                    Instant::now() + delay,
                    collected.into_iter().map(line).collect(),
                ))
                .is_err()
            {
                return;
            }
        }
    };
    let write_reports = async {
        while let Some((at, text)) = delayed_reports.recv().await {
            tokio::time::sleep_until(at.into()).await;
            write.write_all(text.as_bytes()).await?;
        }
        Ok::<(), std::io::Error>(())
    };
    let closed = wait_for_close(&mut read);
    tokio::select! {
        () = collect_reports => Ok(()),
        ended = write_reports => ended,
        () = closed => Ok(()),
    }
}

/// Waits until the other side has closed the connection.
async fn wait_for_close(read: &mut tokio::net::tcp::ReadHalf<'_>) {
    let mut rest = [0; 256];
    while tokio::io::AsyncReadExt::read(read, &mut rest)
        .await
        .is_ok_and(|count| count > 0)
    {}
}
