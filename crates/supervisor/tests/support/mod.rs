//! Stand-ins for those a supervisor speaks to - discovery, servers, proxies, collectors - on loopback addresses with
//! ports that the system chooses, and the program itself. Waits are for events, under a limit that only a hang
//! reaches.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// No test comes near it unless something hangs.
const LIMIT: Duration = Duration::from_secs(60);

/// Waits for an event.
pub async fn soon<T>(what: &str, event: impl Future<Output = T>) -> T {
    timeout(LIMIT, event).await.unwrap_or_else(|_| panic!("never came: {what}"))
}

/// Waits until something holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let holding = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    soon(what, holding).await;
}

type Body = BoxBody<Bytes, Infallible>;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Serves HTTP on a listener; counts the connections.
fn serve<F, R>(listener: TcpListener, connections: Arc<AtomicUsize>, answer: F)
where
    F: Fn(Request<hyper::body::Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            connections.fetch_add(1, Ordering::SeqCst);
            let answer = answer.clone();
            let service = service_fn(move |request| {
                let answering = answer(request);
                async move { Ok::<_, Infallible>(answering.await) }
            });
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(async move { connection.serve_connection(TokioIo::new(stream), service).await });
        }
    });
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(text.into()).boxed());
    *response.status_mut() = status;
    response
}

#[derive(Default)]
struct Told {
    index: u64,
    entries: BTreeMap<String, Value>,
    watches: Vec<mpsc::UnboundedSender<String>>,
    opened: usize,
    mute: bool,
}

/// Discovery: the list, and watches of it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Discovery {
    pub async fn start() -> Self {
        let (listener, address) = listen().await;
        let told = Arc::new(Mutex::new(Told { index: 1, ..Told::default() }));
        let discovery = Discovery { address, told };
        let asked = discovery.clone();
        serve(listener, Arc::default(), move |request| {
            let discovery = asked.clone();
            async move { discovery.answer(request.uri().query().unwrap_or_default()).await }
        });
        let beating = discovery.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(500)).await;
                if !beating.told().mute {
                    beating.say("");
                }
            }
        });
        discovery
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().expect("no panic while held")
    }

    async fn answer(&self, query: &str) -> Response<Body> {
        let whole = self.list().to_string();
        if !query.contains("watch=1") {
            return text(StatusCode::OK, whole);
        }
        let (send, mut news) = mpsc::unbounded_channel::<String>();
        let (mut body, channel) = Channel::<Bytes, Infallible>::new(16);
        {
            let mut told = self.told();
            told.opened += 1;
            if !told.mute && query != format!("watch=1&from={}", told.index) {
                let _ = send.send(whole);
            }
            told.watches.push(send);
        }
        tokio::spawn(async move {
            while let Some(line) = news.recv().await {
                // In two pieces, since lines may be cut anywhere on the way.
                let line = format!("{line}\r\n");
                let (first, rest) = line.split_at(line.len() / 2);
                for piece in [first, rest] {
                    if body.send_data(Bytes::from(piece.to_string())).await.is_err() {
                        return;
                    }
                }
            }
        });
        Response::new(channel.boxed())
    }

    /// The whole list.
    pub fn list(&self) -> Value {
        let told = self.told();
        let entries: Vec<&Value> = told.entries.values().collect();
        json!({"index": told.index, "snapshot": true, "endpoints": entries})
    }

    /// Lists a server in this state, and tells the watches.
    pub fn set(&self, name: &str, address: SocketAddr, status: &str) {
        let entry = json!({"name": name, "address": address.to_string(), "zone": "a", "type": "m", "group": 0,
                           "status": status, "weight": 1.0, "since_ms": 0});
        let line = {
            let mut told = self.told();
            told.index += 1;
            told.entries.insert(name.to_string(), entry.clone());
            json!({"index": told.index, "snapshot": false, "endpoints": [entry]}).to_string()
        };
        self.say(&line);
    }

    /// Writes a line to all watches, unless discovery is down.
    pub fn say(&self, line: &str) {
        let mut told = self.told();
        if !told.mute {
            told.watches.retain(|watch| watch.send(line.to_string()).is_ok());
        }
    }

    /// Ends all watches.
    pub fn hang_up(&self) {
        self.told().watches.clear();
    }

    /// Another agent that has been sent the same list.
    pub async fn second(&self) -> Self {
        let other = Discovery::start().await;
        {
            let (told, mut its) = (self.told(), other.told());
            (its.index, its.entries) = (told.index, told.entries.clone());
        }
        other
    }

    /// Has been sent nothing newer than this version, or counts from there.
    pub fn count_from(&self, index: u64) {
        self.told().index = index;
    }

    /// From now on nothing is said, on old watches and new ones; or everything again on new ones.
    pub fn mute(&self, mute: bool) {
        self.told().mute = mute;
    }

    /// How many watches were ever opened.
    pub fn opened(&self) -> usize {
        self.told().opened
    }
}

/// What a server does with a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Well,
    Busy,
    Huge,
    Hangs,
}

/// A server.
#[derive(Clone)]
pub struct Server {
    pub name: &'static str,
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    pub probes: Arc<AtomicUsize>,
}

impl Server {
    pub async fn start(name: &'static str, manner: Manner) -> Self {
        let (listener, address) = listen().await;
        let (connections, probes) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counted = probes.clone();
        serve(listener, connections.clone(), move |request| {
            let counted = counted.clone();
            async move {
                counted.fetch_add(1, Ordering::SeqCst);
                assert_eq!(request.uri().path(), "/-/load");
                match manner {
                    Manner::Well => text(StatusCode::OK, "TEXT queue=0, latency_ms=12.5"),
                    Manner::Busy => text(StatusCode::SERVICE_UNAVAILABLE, ""),
                    Manner::Huge => text(StatusCode::OK, vec![b'x'; 1 << 20]),
                    Manner::Hangs => std::future::pending().await,
                }
            }
        });
        Server { name, address, connections, probes }
    }

    pub fn probed(&self) -> usize {
        self.probes.load(Ordering::SeqCst)
    }
}

/// The program under test, and what it has logged.
pub struct Supervisor {
    child: Child,
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    path: String,
}

static CONFIGS: AtomicUsize = AtomicUsize::new(0);

/// A configuration: `known` as the list last had, and so many descriptors.
pub fn config(discovery: &Discovery, known: Option<Value>, sockets: usize) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": known,
        "settings": {
            "peersTotal": 1, "locality": 0, "zones": ["a", "b"], "kinds": ["m"], "tickMs": 2.0,
            "discovery": "automatic", "weights": "nominal",
            "classes": [
                {"name": "lookup", "aimMs": 600.0, "hardLimitMs": 2000.0, "worth": 1.0, "effect": "read_like"},
                {"name": "order", "aimMs": 600.0, "hardLimitMs": 2000.0, "worth": 2.0, "effect": "non_idempotent"}],
            "report": {"source": "piggyback", "fields": ["queue", "latency_ms"]},
            "limits": {"probes": true, "connectTimeoutMs": 250.0, "idleCloseMs": 15000.0},
            "guarantees": {"drainGraceMs": 2000.0, "coldMs": 8000.0, "coldFrom": 0.3, "fallMultiple": 3.0,
                           "overloadForMs": 3000.0},
            "familyInfo": {"proxies": 8, "levelKind": "fraction", "backlog": 9000.0, "linesPerS": 6000.0,
                           "fixedCost": 3.0, "cycleMs": 200.0, "pushDelayMaxMs": 500.0, "unservedMaxMs": 5000.0},
        },
    })
}

fn command(config: &Value) -> (Command, String) {
    prepared(config, Command::new(env!("CARGO_BIN_EXE_chutegrade")))
}

/// The command with its environment, and where its configuration is.
fn prepared(config: &Value, mut command: Command) -> (Command, String) {
    let number = CONFIGS.fetch_add(1, Ordering::SeqCst);
    let path = format!("{}/supervisor-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, config.to_string()).expect("a configuration file");
    for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(variable);
    }
    command.env("LB_CONFIG", &path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command.kill_on_drop(true);
    (command, path)
}

/// Starts the program with a configuration that it can't run with; its exit code and what it said.
pub async fn fails_to_start(config: &Value) -> (Option<i32>, String) {
    let output = soon("the end of the program", command(config).0.output()).await.expect("the program");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

impl Supervisor {
    /// Starts the program and waits until it serves.
    pub async fn start(config: &Value) -> Self {
        Supervisor::started(command(config)).await
    }

    /// Starts the program where the system gives it no more than so many descriptors.
    pub async fn start_within(config: &Value, descriptors: usize) -> Self {
        let mut shell = Command::new("/bin/sh");
        let program = env!("CARGO_BIN_EXE_chutegrade");
        shell.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\""), program]);
        Supervisor::started(prepared(config, shell)).await
    }

    /// Starts the program with the address of discovery in its environment too, as the operators do.
    pub async fn start_with_env(config: &Value) -> Self {
        let (mut command, path) = command(config);
        command.env("LB_DISCOVERY", config["discovery"].as_str().expect("an address"));
        Supervisor::started((command, path)).await
    }

    async fn started((mut command, path): (Command, String)) -> Self {
        let mut child = command.spawn().expect("the program");
        let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                kept.lock().expect("no panic while held").push(line);
            }
        });
        let listens = |log: &Mutex<Vec<String>>| {
            let log = log.lock().expect("no panic while held");
            let line = log.iter().find(|line| line.contains(" started "))?;
            line.split("listen=").nth(1)?.split(' ').next()?.parse::<SocketAddr>().ok()
        };
        until("the start", || listens(&log).is_some()).await;
        let address = listens(&log).expect("checked above");
        Supervisor { child, address, log, path }
    }

    /// Lines that hold all of these words.
    pub fn logged(&self, words: &[&str]) -> usize {
        let log = self.log.lock().expect("no panic while held");
        log.iter().filter(|line| words.iter().all(|word| line.contains(word))).count()
    }

    /// Waits for so many such lines.
    pub async fn logs(&self, times: usize, words: &[&str]) {
        until(&format!("{times} log lines with {words:?}"), || self.logged(words) >= times).await;
        assert_eq!(self.logged(words), times, "log lines with {words:?}");
    }

    async fn signal(&self, name: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = Command::new("kill").args([name, &id]).status().await.expect("kill");
        assert!(sent.success());
    }

    /// Replaces its configuration file and sends SIGHUP.
    pub async fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).expect("a configuration file");
        self.signal("-HUP").await;
    }

    /// Sends SIGTERM; its exit code.
    pub async fn terminate(&mut self) -> Option<i32> {
        self.signal("-TERM").await;
        soon("the end after SIGTERM", self.child.wait()).await.expect("its status").code()
    }

    /// Kills it outright.
    pub async fn kill(mut self) {
        self.child.kill().await.expect("its end");
    }

    /// Whether it has not ended.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("its status").is_none()
    }

    /// Asks `probe` on a connection of its own.
    pub async fn alive(&self) -> bool {
        let mut peer = Peer::connect(self.address).await;
        peer.send("probe").await;
        soon("the answer to probe", peer.line()).await.as_deref() == Some("alive")
    }
}

/// Whoever connects to the supervisor.
pub struct Peer {
    stream: BufReader<TcpStream>,
}

impl Peer {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = soon("a connection", TcpStream::connect(address)).await.expect("a connection");
        stream.set_nodelay(true).expect("an option");
        Peer { stream: BufReader::new(stream) }
    }

    /// Writes a line, in two pieces.
    pub async fn send(&mut self, line: &str) {
        let line = format!("{line}\r\n");
        let (first, rest) = line.split_at(line.len() / 2);
        self.raw(first.as_bytes()).await;
        self.raw(rest.as_bytes()).await;
    }

    /// Writes bytes; a connection that the other side has ended takes none.
    pub async fn raw(&mut self, bytes: &[u8]) -> bool {
        soon("room to write", self.stream.get_mut().write_all(bytes)).await.is_ok()
    }

    /// The next line, without its end; none once the connection has ended.
    pub async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.stream.read_line(&mut line).await {
            Ok(1..) => Some(line.trim_end().to_string()),
            Ok(0) | Err(_) => None,
        }
    }

    /// Waits until the other side ends the connection.
    pub async fn ended(&mut self) {
        let mut rest = Vec::new();
        let _ = soon("the end of the connection", self.stream.read_to_end(&mut rest)).await;
    }
}

/// A proxy: joins, applies what is ordered, and answers marks.
pub struct Proxy {
    pub id: u32,
    pub peer: Peer,
    /// Weights by class and server.
    pub rows: BTreeMap<String, BTreeMap<String, f64>>,
    pub dropped: BTreeSet<String>,
    pub retries: BTreeMap<String, String>,
    pub messages: usize,
}

impl Proxy {
    pub async fn join(supervisor: &Supervisor, id: u32, new: bool) -> Self {
        let mut peer = Peer::connect(supervisor.address).await;
        peer.send(&format!("hello id={id} site=a rps=20.0 new={}", u8::from(new))).await;
        Proxy {
            id,
            peer,
            rows: BTreeMap::new(),
            dropped: BTreeSet::new(),
            retries: BTreeMap::new(),
            messages: 0,
        }
    }

    /// The same proxy on a new stream, with all that it holds.
    pub async fn join_again(&mut self, supervisor: &Supervisor) {
        self.peer = Peer::connect(supervisor.address).await;
        self.peer.send(&format!("hello id={} site=a rps=20.0 new=0", self.id)).await;
    }

    /// Servers it may pick for a class.
    pub fn picks(&self, class: &str) -> Vec<&str> {
        let rows = self.rows.get(class).into_iter().flatten();
        rows.filter(|(name, weight)| **weight > 0.0 && !self.dropped.contains(*name))
            .map(|(name, _)| name.as_str())
            .collect()
    }

    /// Applies messages until something holds.
    pub async fn applies(&mut self, what: &str, holds: impl Fn(&Proxy) -> bool) {
        while !holds(self) {
            let line =
                soon(what, self.peer.line()).await.unwrap_or_else(|| panic!("the stream ended: {what}"));
            self.apply(&line).await;
        }
    }

    async fn apply(&mut self, line: &str) {
        let mut words = line.split(' ');
        assert_eq!(words.next(), Some("push"), "{line}");
        let words: BTreeMap<&str, &str> = words.filter_map(|word| word.split_once('=')).collect();
        let classes = words.get("for").copied().unwrap_or("lookup+order");
        for class in classes.split('+') {
            let rows = self.rows.entry(class.to_string()).or_default();
            if words.get("replace") == Some(&"1") {
                rows.clear();
                self.retries.remove(class);
            }
            for (name, weight) in words.get("rows").into_iter().flat_map(|rows| rows.split(',')).map(|row| {
                let (name, weight) = row.split_once(':').expect("a row");
                (name, weight.parse::<f64>().expect("a weight"))
            }) {
                assert!(weight.is_finite() && weight >= 0.0, "{line}");
                rows.insert(name.to_string(), weight);
            }
            rows.retain(|_, weight| *weight > 0.0);
            if let Some(retry) = words.get("again") {
                assert!(words.contains_key("gate"), "{line}");
                self.retries.insert(class.to_string(), retry.to_string());
            }
        }
        let names =
            |word: &str| words.get(word).into_iter().flat_map(|names| names.split(',')).map(String::from);
        self.dropped.extend(names("drop"));
        names("undrop").for_each(|name| {
            self.dropped.remove(&name);
        });
        if !words.contains_key("part") {
            self.messages += 1;
        }
        if let Some(mark) = words.get("stamp") {
            self.peer.send(&format!("ack id={} seq={mark} ms=12.5", self.id)).await;
        }
    }

    /// Reports usage.
    pub async fn demand(&mut self) {
        let line = format!("demand id={} lane=lookup count=4 fail=0 over=200.0", self.id);
        self.peer.send(&line).await;
    }
}
