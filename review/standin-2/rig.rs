//! Stand-ins around one supervisor process on loopback sockets and the real clock: discovery, servers, proxies and
//! collectors, with the checks of the rules. Standard library only.
//!
//! Discovery and the answers to probes, streams and collectors are real sockets. What a proxy sends to a server is counted
//! in this process: the supervisor sees no requests, only the sums that the collectors report.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const STEP: Duration = Duration::from_millis(10);

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

/// A small generator of random numbers.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.next()
    }
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("record file");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn say(&self, text: &str) {
        let line = format!("{:8.3} {}\n", self.now(), text);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// An entry of the endpoint list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub kind: String,
    pub status: String,
    pub weight: f64,
    pub since_ms: f64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"{}\",\"group\":0,\"status\":\"{}\",\"weight\":{},\"since_ms\":{}}}",
            self.name, self.address, self.zone, self.kind, self.status, self.weight, self.since_ms
        )
    }
}

fn list_json(index: usize, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", entries.join(","))
}

/// The discovery agent: the list, and every change of it. Version N has the first N changes.
#[derive(Default)]
pub struct ListState {
    changes: Vec<Vec<Entry>>,
    /// By name: the time at which the first watch was written the change that made it leave, in seconds of the record.
    pub told_leaving: BTreeMap<String, f64>,
    /// Until when the agent says nothing, in seconds of the record: discovery is down.
    pub silent_until: f64,
    /// When the list was first written to the supervisor that runs now.
    pub listed_at: Option<f64>,
    pub current: BTreeMap<String, Entry>,
}

#[derive(Clone)]
pub struct Discovery {
    pub state: Arc<(Mutex<ListState>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, entries: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new(ListState::default()), Condvar::new()));
        let agent = Discovery { state, address, record: record.clone() };
        agent.change(entries);
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    /// Changes entries of the list; each watch writes the change at once as one line.
    pub fn change(&self, entries: Vec<Entry>) {
        for entry in &entries {
            self.record.say(&format!("list: {} in {} is {} since {}", entry.name, entry.zone, entry.status, entry.since_ms));
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        for entry in &entries {
            if entry.status == "removed" {
                state.current.remove(&entry.name);
            } else {
                state.current.insert(entry.name.clone(), entry.clone());
            }
        }
        state.changes.push(entries);
        changed.notify_all();
    }

    pub fn whole(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let entries: Vec<Entry> = state.current.values().cloned().collect();
        list_json(state.changes.len(), true, &entries)
    }

    /// Waits while discovery is down: the agent takes connections and says nothing.
    fn wait_while_silent(&self) {
        while self.record.now() < self.state.0.lock().unwrap().silent_until {
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn note_told(&self, state: &mut ListState, entries: &[Entry]) {
        for entry in entries {
            if entry.status == "up" {
                state.told_leaving.remove(&entry.name);
            } else {
                let now = self.record.now();
                state.told_leaving.entry(entry.name.clone()).or_insert(now);
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        let mut request = String::new();
        if reader.read_line(&mut request).is_err() {
            return;
        }
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(n) if n > 0 && line.trim() != "" => {}
                _ => break,
            }
        }
        self.wait_while_silent();
        {
            let mut state = self.state.0.lock().unwrap();
            let now = self.record.now();
            state.listed_at.get_or_insert(now);
        }
        let path = request.split(' ').nth(1).unwrap_or("").to_string();
        if !path.contains("watch=1") {
            let body = self.whole();
            let _ = write!(writer, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            return;
        }
        let from: usize = path.rsplit("from=").next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut next = from;
        let (state, changed) = &*self.state;
        loop {
            let line = {
                let mut guard = state.lock().unwrap();
                if next > guard.changes.len() {
                    next = guard.changes.len();
                }
                if next == guard.changes.len() {
                    guard = changed.wait_timeout(guard, Duration::from_secs(2)).unwrap().0;
                }
                if next < guard.changes.len() {
                    let entries = guard.changes[next].clone();
                    next += 1;
                    self.note_told(&mut guard, &entries);
                    format!("{}\n", list_json(next, false, &entries))
                } else {
                    "\n".to_string()
                }
            };
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// A server: a fluid model of its cores, and its load report for probes.
pub struct Server {
    pub name: String,
    pub zone: usize,
    pub cores: f64,
    pub speed: f64,
    pub started_ms: f64,
    /// Share of the machine that another program takes.
    pub taken: f64,
    pub fails: f64,
    pub backlog: f64,
    pub busy: f64,
    pub served: f64,
    pub report: Arc<Mutex<(String, f64)>>,
    pub address: SocketAddr,
}

impl Server {
    pub fn start(name: &str, zone: usize, cores: f64, speed: f64, started_ms: f64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let report = Arc::new(Mutex::new(("util=0.10,qps=0.0".to_string(), 4.0)));
        let shared = Arc::clone(&report);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || answer_probes(stream, &shared));
            }
        });
        Server {
            name: name.to_string(),
            zone,
            cores,
            speed,
            started_ms,
            taken: 0.0,
            fails: 0.0,
            backlog: 0.0,
            busy: 0.0,
            served: 0.0,
            report,
            address,
        }
    }

    /// Capacity in core seconds a second.
    pub fn capacity(&self, cold_from: f64, cold_ms: f64) -> f64 {
        let age = (unix_ms() - self.started_ms).max(0.0) / cold_ms;
        let warm = (cold_from + (1.0 - cold_from) * age).min(1.0);
        self.cores * self.speed * warm * (1.0 - self.taken)
    }
}

fn answer_probes(stream: TcpStream, report: &Arc<Mutex<(String, f64)>>) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    loop {
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(n) if n > 0 => {
                    if line.trim() == "" {
                        break;
                    }
                }
                _ => return,
            }
        }
        let (text, ms) = report.lock().unwrap().clone();
        thread::sleep(Duration::from_secs_f64(ms / 1000.0));
        let body = format!("TEXT {}", text.replace(',', ", "));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// One order as a proxy reads it: all lines of one message.
type Message = Vec<String>;

pub enum Heard {
    Message { proxy: usize, stream: u64, at: f64, lines: Message },
    Ended { proxy: usize, stream: u64, at: f64 },
}

/// A proxy: its tables by class, levels and withdrawn servers, as its stream ordered them.
pub struct Proxy {
    pub id: usize,
    pub zone: usize,
    pub rps: f64,
    pub tables: Vec<BTreeMap<String, f64>>,
    pub levels: Vec<f64>,
    pub again: Vec<u8>,
    pub dropped: BTreeSet<String>,
    pub has_ordered: bool,
    pub stream: Option<TcpStream>,
    pub stream_id: u64,
    pub joined_at: f64,
    pub redial_at: f64,
    /// Messages on their way, with the time at which each takes effect.
    pub coming: VecDeque<(f64, f64, Message)>,
    pub message_times: Vec<f64>,
    pub demand: Vec<(f64, f64)>,
    /// Demand reports on their way: time and line.
    pub reports: VecDeque<(f64, String)>,
    pub bare_since: Vec<Option<f64>>,
    /// The chance that its answer to a mark arrives spoilt.
    pub spoil: f64,
    pub paused: bool,
    pub closed_by_supervisor: bool,
    pub last_seq: u32,
}

#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    pub classes: Vec<&'static str>,
    pub shares: Vec<f64>,
    pub work: Vec<f64>,
    pub home_only: Vec<bool>,
    pub settings: String,
    pub cold_from: f64,
    pub cold_ms: f64,
    pub grace: f64,
    pub bare: f64,
    pub delay: (f64, f64),
    pub redial: (f64, f64),
    pub late: (f64, f64),
    pub messages_most: usize,
}

pub struct World {
    pub record: Record,
    pub site: Site,
    pub rng: Rng,
    pub discovery: Discovery,
    pub servers: BTreeMap<String, Server>,
    pub proxies: Vec<Proxy>,
    pub supervisor: Option<Child>,
    pub listen: SocketAddr,
    pub directory: String,
    pub heard: (Sender<Heard>, Receiver<Heard>),
    pub collectors: Vec<Option<TcpStream>>,
    pub outcomes: BTreeMap<(usize, String), (f64, f64, f64)>,
    pub outcome_reports: VecDeque<(f64, usize, String)>,
    pub next_stream: u64,
    /// Whether the configuration has the list as the supervisor last had it.
    pub has_known: bool,
    /// Whether the supervisor starts again with the configuration that it had.
    pub keeps_config: bool,
    pub answered_at: f64,
    /// What broke a rule: the rule and what was seen.
    pub broken: Vec<(&'static str, String)>,
    pub sent: BTreeMap<(usize, usize), (u64, u64, u64)>,
    pub last_step: f64,
    pub last_second: f64,
    pub last_sample: f64,
    pub worst_messages: usize,
    pub longest_bare: f64,
    pub latest_after_drain: f64,
    pub queue: f64,
    pub queue_at: f64,
    pub worst_queue: f64,
    pub lines_per_s: f64,
    pub backlog: f64,
    pub head: f64,
    /// When the supervisor ended the streams of busy proxies.
    pub ended_at: Vec<f64>,
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').skip(1).find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

impl World {
    pub fn new(record: Record, site: Site, servers: Vec<Server>, rates: &[(usize, f64)], seed: u64) -> Self {
        let servers: BTreeMap<String, Server> = servers.into_iter().map(|s| (s.name.clone(), s)).collect();
        let entries = servers.values().map(|s| entry_of(&site, s, "up")).collect();
        let discovery = Discovery::start(&record, entries);
        let rng = Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
        let classes = site.classes.len();
        let proxies = rates
            .iter()
            .enumerate()
            .map(|(id, (zone, rps))| {
                let standing: BTreeMap<String, f64> = servers
                    .values()
                    .filter(|s| s.zone == *zone)
                    .take(8)
                    .map(|s| (s.name.clone(), s.speed))
                    .collect();
                Proxy {
                    id,
                    zone: *zone,
                    rps: *rps,
                    tables: vec![standing; classes],
                    levels: vec![1.0; classes],
                    again: vec![0; classes],
                    dropped: BTreeSet::new(),
                    has_ordered: false,
                    stream: None,
                    stream_id: 0,
                    joined_at: 0.0,
                    redial_at: 0.0,
                    coming: VecDeque::new(),
                    message_times: Vec::new(),
                    demand: vec![(0.0, 0.0); classes],
                    reports: VecDeque::new(),
                    bare_since: vec![None; classes],
                    spoil: 0.0,
                    paused: false,
                    closed_by_supervisor: false,
                    last_seq: 0,
                }
            })
            .collect();
        let listen = free_address();
        let directory = std::env::var("RIG_DIR").expect("RIG_DIR");
        let zones = site.zones.len();
        World {
            record,
            site,
            rng,
            discovery,
            servers,
            proxies,
            supervisor: None,
            listen,
            directory,
            heard: channel(),
            collectors: (0..zones).map(|_| None).collect(),
            outcomes: BTreeMap::new(),
            outcome_reports: VecDeque::new(),
            next_stream: 0,
            has_known: true,
            keeps_config: false,
            answered_at: f64::MAX,
            broken: Vec::new(),
            sent: BTreeMap::new(),
            last_step: 0.0,
            last_second: 0.0,
            last_sample: 0.0,
            worst_messages: 0,
            longest_bare: 0.0,
            latest_after_drain: 0.0,
            ended_at: Vec::new(),
            queue: 0.0,
            queue_at: 0.0,
            worst_queue: 0.0,
            lines_per_s: 3500.0,
            backlog: 5300.0,
            head: 4.0,
        }
    }

    /// Starts the supervisor with the deploy file's command, and waits until it answers `alive`.
    pub fn start_supervisor(&mut self) {
        let known = if self.has_known { format!("\"known\":{},", self.discovery.whole()) } else { String::new() };
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},{known}\"settings\":{}}}",
            self.listen, self.discovery.address, self.site.settings
        );
        let path = format!("{}/config.json", self.directory);
        if !self.keeps_config {
            std::fs::write(&path, config).unwrap();
        }
        let command = run_command();
        self.record.say(&format!("supervisor: {command}"));
        let log = File::create(format!("{}/supervisor.log", self.directory)).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_DISCOVERY", self.discovery.address.to_string())
            .env("LB_CONFIG", &path)
            .env("TMPDIR", &self.directory)
            .env_remove("CHUTEGRADE_OPERATOR")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("supervisor");
        // The script ends it by this number if this program is ended early.
        std::fs::write(format!("{}/supervisor.pid", self.directory), child.id().to_string()).unwrap();
        self.supervisor = Some(child);
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                let _ = stream.write_all(b"probe\r\n");
                let mut answer = [0u8; 7];
                if stream.read_exact(&mut answer).is_ok() && &answer == b"alive\r\n" {
                    self.answered_at = self.record.now();
                    self.record.say("supervisor answered alive");
                    self.last_step = self.record.now();
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        println!("the supervisor did not answer");
        self.stop();
        std::process::exit(2);
    }

    /// Kills the supervisor. Its streams are reset: the proxies have left, and dial again.
    pub fn kill_supervisor(&mut self) {
        self.record.say("the supervisor is killed");
        self.stop();
        let now = self.record.now();
        for p in &mut self.proxies {
            p.redial_at = now + self.rng.between(self.site.redial.0, self.site.redial.1);
            p.stream = None;
            p.stream_id = 0;
            p.coming.clear();
            p.reports.clear();
            p.closed_by_supervisor = false;
            p.bare_since = vec![None; p.bare_since.len()];
        }
        for collector in &mut self.collectors {
            *collector = None;
        }
        self.discovery.state.0.lock().unwrap().listed_at = None;
    }

    pub fn stop(&mut self) {
        if let Some(mut child) = self.supervisor.take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = std::fs::remove_file(format!("{}/supervisor.pid", self.directory));
        }
    }

    fn dial(&mut self, id: usize) {
        let now = self.record.now();
        let stream = TcpStream::connect(self.listen);
        let proxy = &mut self.proxies[id];
        let Ok(mut stream) = stream else {
            proxy.redial_at = now + 0.5;
            return;
        };
        let _ = stream.set_nodelay(true);
        let hello = format!(
            "hello id={} site={} rps={:.1} new={}\r\n",
            proxy.id,
            self.site.zones[proxy.zone],
            proxy.rps,
            u8::from(!proxy.has_ordered)
        );
        if stream.write_all(hello.as_bytes()).is_err() {
            proxy.redial_at = now + 0.5;
            return;
        }
        self.next_stream += 1;
        let number = self.next_stream;
        let reader = stream.try_clone().unwrap();
        proxy.stream = Some(stream);
        proxy.stream_id = number;
        // A stream that the supervisor ended does not count as left: the time limits go on.
        if !proxy.closed_by_supervisor {
            proxy.joined_at = now;
        }
        proxy.closed_by_supervisor = false;
        proxy.message_times.clear();
        let (sender, record) = (self.heard.0.clone(), self.record.clone());
        record.say(&format!("proxy {id}: {}", hello.trim()));
        thread::spawn(move || read_orders(reader, id, number, &sender, &record));
    }

    fn handle_heard(&mut self) {
        while let Ok(heard) = self.heard.1.try_recv() {
            match heard {
                Heard::Message { proxy, stream, at, lines } => {
                    let delay = self.rng.between(self.site.delay.0, self.site.delay.1);
                    let p = &mut self.proxies[proxy];
                    if p.stream_id != stream {
                        continue;
                    }
                    for line in &lines {
                        self.record.say(&format!("to proxy {proxy}: {line}"));
                    }
                    let last = p.coming.back().map_or(0.0, |(due, _, _)| *due);
                    let count = |name: &str, line: &str| field(line, name).map_or(0, |v| v.split(',').filter(|w| !w.is_empty()).count());
                    let mut n = self.head;
                    for line in &lines {
                        n += (count("rows", line) + count("drop", line) + count("undrop", line)) as f64;
                        n += f64::from(u8::from(field(line, "gate").is_some()) + u8::from(field(line, "stamp").is_some()));
                        n += f64::from(u8::from(field(line, "replace") == Some("1")));
                    }
                    self.queue = (self.queue - (at - self.queue_at).max(0.0) * self.lines_per_s).max(0.0) + n;
                    self.queue_at = at;
                    self.worst_queue = self.worst_queue.max(self.queue);
                    if self.queue > self.backlog {
                        self.broken.push(("queue", format!("{at:.3}: {} lines wait", self.queue)));
                    }
                    p.message_times.push(at);
                    p.coming.push_back(((at + delay).max(last), at, lines));
                    let window = p.message_times.iter().filter(|t| **t > at - 10.0).count();
                    self.worst_messages = self.worst_messages.max(window);
                    if self.site.messages_most > 0 && window > self.site.messages_most {
                        self.broken.push(("queue", format!("{at:.3}: {window} messages in 10 s to proxy {proxy}")));
                    }
                }
                Heard::Ended { proxy, stream, at } => {
                    let redial = self.rng.between(self.site.redial.0, self.site.redial.1);
                    let p = &mut self.proxies[proxy];
                    if p.stream_id != stream {
                        continue;
                    }
                    self.record.say(&format!("proxy {proxy}: its stream was ended by the supervisor, dials again in {redial:.2} s"));
                    p.stream = None;
                    p.coming.clear();
                    p.reports.clear();
                    p.redial_at = at + redial;
                    p.closed_by_supervisor = true;
                    if p.rps > 5.0 {
                        self.ended_at.push(at);
                    }
                }
            }
        }
    }

    fn apply_due(&mut self, now: f64) {
        let classes: Vec<&str> = self.site.classes.clone();
        for p in &mut self.proxies {
            while p.coming.front().is_some_and(|(due, _, _)| *due <= now) {
                let (_, at, lines) = p.coming.pop_front().unwrap();
                p.has_ordered = true;
                let mut mark = None;
                for line in &lines {
                    let chosen: Vec<usize> = match field(line, "for") {
                        Some(names) => names.split('+').filter_map(|n| classes.iter().position(|c| *c == n)).collect(),
                        None => (0..classes.len()).collect(),
                    };
                    for class in chosen {
                        if field(line, "replace") == Some("1") {
                            p.tables[class].clear();
                            p.levels[class] = 1.0;
                            p.again[class] = 0;
                        }
                        for row in field(line, "rows").unwrap_or("").split(',').filter(|r| !r.is_empty()) {
                            let (name, weight) = row.rsplit_once(':').unwrap();
                            let weight: f64 = weight.parse().unwrap();
                            if weight > 0.0 {
                                p.tables[class].insert(name.to_string(), weight);
                            } else {
                                p.tables[class].remove(name);
                            }
                        }
                        if let Some(gate) = field(line, "gate") {
                            p.levels[class] = gate.parse().unwrap();
                        }
                        if let Some(again) = field(line, "again") {
                            p.again[class] = again.parse().unwrap();
                        }
                    }
                    for name in field(line, "drop").unwrap_or("").split(',').filter(|n| !n.is_empty()) {
                        p.dropped.insert(name.to_string());
                    }
                    for name in field(line, "undrop").unwrap_or("").split(',').filter(|n| !n.is_empty()) {
                        p.dropped.remove(name);
                    }
                    if let Some(stamp) = field(line, "stamp") {
                        mark = stamp.parse::<u32>().ok();
                    }
                }
                if let (Some(mark), Some(stream)) = (mark, p.stream.as_mut()) {
                    p.last_seq = mark;
                    let ms = (now - at) * 1000.0;
                    let ack = if self.rng.next() < p.spoil {
                        format!("ack id={} seq={mark}\r\n", p.id)
                    } else {
                        format!("ack id={} seq={mark} ms={ms:.1}\r\n", p.id)
                    };
                    if !ack.contains("ms=") {
                        self.record.say(&format!("proxy {}: spoilt answer to a mark: {}", p.id, ack.trim()));
                    }
                    let _ = stream.write_all(ack.as_bytes());
                }
            }
        }
    }

    fn forward(&mut self, now: f64, dt: f64) {
        let classes = self.site.classes.len();
        for id in 0..self.proxies.len() {
            for class in 0..classes {
                if self.proxies[id].paused {
                    continue;
                }
                let rate = self.proxies[id].rps * self.site.shares[class];
                // Arrivals at random.
                let arrivals = if self.rng.next() < rate * dt { 1 } else { 0 };
                for _ in 0..arrivals {
                    self.request(id, class, now);
                }
            }
        }
    }

    fn request(&mut self, id: usize, class: usize, now: f64) {
        let (admit, pick) = (self.rng.next(), self.rng.next());
        let p = &mut self.proxies[id];
        p.demand[class].0 += 1.0;
        let tally = self.sent.entry((p.zone, class)).or_default();
        if admit >= p.levels[class] {
            tally.1 += 1;
            return;
        }
        let lines: Vec<(&String, f64)> =
            p.tables[class].iter().filter(|(name, _)| !p.dropped.contains(*name)).map(|(n, w)| (n, *w)).collect();
        let total: f64 = lines.iter().map(|(_, w)| *w).sum();
        if lines.is_empty() || total <= 0.0 {
            tally.2 += 1;
            return;
        }
        let mut at = pick * total;
        let mut chosen = lines[lines.len() - 1].0.clone();
        for (name, weight) in &lines {
            at -= weight;
            if at < 0.0 {
                chosen = (*name).clone();
                break;
            }
        }
        tally.0 += 1;
        let zone = p.zone;
        let joined_at = p.joined_at;
        let counts = p.stream.is_some() || p.closed_by_supervisor;
        let told = self.discovery.state.0.lock().unwrap().told_leaving.get(&chosen).copied();
        if let Some(told) = told.filter(|_| counts) {
            // The time runs from the later of the news and the proxy's joining.
            let from = told.max(joined_at).max(self.answered_at + 1.0);
            let late = now - from;
            self.latest_after_drain = self.latest_after_drain.max(late);
            self.record.say(&format!("proxy {id} sends to {chosen} {late:.3} s after the supervisor was told that it leaves"));
            if late > self.site.grace + 0.3 {
                self.broken.push(("drain", format!("{now:.3}: proxy {id} sends to {chosen} {late:.3} s after the news")));
            }
        }
        let fails = self.rng.next();
        let outcome = self.outcomes.entry((zone, chosen.clone())).or_default();
        let (cold_from, cold_ms) = (self.site.cold_from, self.site.cold_ms);
        let Some(server) = self.servers.get_mut(&chosen) else {
            outcome.0 += 1.0;
            outcome.1 += 1.0;
            return;
        };
        let capacity = server.capacity(cold_from, cold_ms).max(1e-6);
        let wait = server.backlog / capacity;
        outcome.0 += 1.0;
        if fails < server.fails || wait > 2.5 {
            outcome.1 += 1.0;
            self.proxies[id].demand[class].1 += 1.0;
            return;
        }
        server.backlog += self.site.work[class];
        server.served += 1.0;
        outcome.2 += (wait + self.site.work[class] / server.speed) * 1000.0;
    }

    fn run_servers(&mut self, now: f64, dt: f64) {
        let (cold_from, cold_ms) = (self.site.cold_from, self.site.cold_ms);
        for server in self.servers.values_mut() {
            let capacity = server.capacity(cold_from, cold_ms);
            let done = server.backlog.min(capacity * dt);
            server.backlog -= done;
            let own = if capacity > 0.0 { done / (capacity * dt) } else { 1.0 };
            let util = server.taken + (1.0 - server.taken) * own;
            server.busy += (util - server.busy) * (dt / 0.35).min(1.0);
        }
        if now - self.last_sample >= 0.5 {
            let span = now - self.last_sample;
            self.last_sample = now;
            for server in self.servers.values_mut() {
                let text = format!("util={:.3},qps={:.1}", server.busy, server.served / span);
                server.served = 0.0;
                let probe_ms = 4.0 / (1.0 - server.taken).max(0.2);
                *server.report.lock().unwrap() = (text, probe_ms);
            }
        }
    }

    fn report(&mut self, now: f64) {
        if now - self.last_second >= 1.0 {
            let over = (now - self.last_second) * 1000.0;
            self.last_second = now;
            let outcomes = std::mem::take(&mut self.outcomes);
            for ((zone, server), (count, fail, sum)) in outcomes {
                let good = count - fail;
                let mean = if good > 0.0 { sum / good } else { 0.0 };
                let load = self.servers.get(&server).map_or(String::new(), |s| s.report.lock().unwrap().0.replace('=', ":"));
                let line = format!(
                    "outcomes site={} target={server} count={count} fail={fail} mean={mean:.1} over={over:.1} util={load}\r\n",
                    self.site.zones[zone]
                );
                let late = self.rng.between(self.site.late.0, self.site.late.1);
                self.outcome_reports.push_back((now + late, zone, line));
            }
            for p in &mut self.proxies {
                for class in 0..self.site.classes.len() {
                    let (count, fail) = std::mem::take(&mut p.demand[class]);
                    if count > 0.0 && p.stream.is_some() {
                        let line = format!(
                            "demand id={} lane={} count={count} fail={fail} over={over:.1}\r\n",
                            p.id, self.site.classes[class]
                        );
                        p.reports.push_back((now + self.site.late.0, line));
                    }
                }
            }
            let mut text = String::new();
            for ((zone, class), (sent, refused, bare)) in std::mem::take(&mut self.sent) {
                text.push_str(&format!(" {}/{}: {sent} sent {refused} refused {bare} without a line;", self.site.zones[zone], self.site.classes[class]));
            }
            self.record.say(&format!("requests of the last second:{text}"));
            let busy: Vec<String> = self.servers.values().map(|s| format!("{}={:.2}", s.name, s.busy)).collect();
            self.record.say(&format!("busy: {}", busy.join(" ")));
        }
        for zone in 0..self.collectors.len() {
            if self.collectors[zone].is_none() {
                if let Ok(mut stream) = TcpStream::connect(self.listen) {
                    let _ = write!(stream, "agent site={}\r\n", self.site.zones[zone]);
                    self.collectors[zone] = Some(stream);
                }
            }
        }
        let mut rest = VecDeque::new();
        while let Some((due, zone, line)) = self.outcome_reports.pop_front() {
            if due > now {
                rest.push_back((due, zone, line));
                continue;
            }
            let failed = match self.collectors[zone].as_mut() {
                Some(stream) => stream.write_all(line.as_bytes()).is_err(),
                None => true,
            };
            if failed {
                self.collectors[zone] = None;
            }
        }
        self.outcome_reports = rest;
        for p in &mut self.proxies {
            while p.reports.front().is_some_and(|(due, _)| *due <= now) {
                let (_, line) = p.reports.pop_front().unwrap();
                if let Some(stream) = p.stream.as_mut() {
                    let _ = stream.write_all(line.as_bytes());
                }
            }
        }
    }

    /// Nobody without a server: no line to pick for a class, while an open server is listed ready and no longer cold.
    fn check_lines(&mut self, now: f64) {
        let (current, listed_at) = {
            let state = self.discovery.state.0.lock().unwrap();
            let current: Vec<Entry> = state.current.values().cloned().collect();
            (current, state.listed_at)
        };
        // With a list in its configuration the supervisor has one from the start; else what discovery has to tell counts as
        // told once it has written it, and no later than 6 s after.
        let told = if self.has_known { 0.0 } else { listed_at.unwrap_or(f64::MAX).min(self.answered_at + 6.0) };
        let from = (self.answered_at + 1.0).max(told);
        let clock = unix_ms();
        for p in &mut self.proxies {
            for class in 0..self.site.classes.len() {
                let open = current.iter().any(|e| {
                    e.status == "up"
                        && clock - e.since_ms >= self.site.cold_ms
                        && (!self.site.home_only[class] || e.zone == self.site.zones[p.zone])
                });
                let has_line = p.tables[class].iter().any(|(name, w)| *w > 0.0 && !p.dropped.contains(name));
                let counts = p.stream.is_some() || p.closed_by_supervisor;
                if !counts || has_line || !open || now < from {
                    p.bare_since[class] = None;
                    continue;
                }
                let since = *p.bare_since[class].get_or_insert(now);
                let bare = now - since;
                self.longest_bare = self.longest_bare.max(bare);
                if bare > self.site.bare + 0.3 {
                    let class = self.site.classes[class];
                    let text = format!("{now:.3}: proxy {} had no line for {class} for {bare:.3} s", p.id);
                    self.broken.push(("lines", text));
                }
            }
        }
    }

    /// One step of the world.
    pub fn step(&mut self) {
        thread::sleep(STEP);
        let now = self.record.now();
        let dt = (now - self.last_step).min(0.1);
        self.last_step = now;
        if let Some(child) = self.supervisor.as_mut() {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.say(&format!("the supervisor ended: {status}"));
                self.broken.push(("crash", format!("{now:.3}: the supervisor ended: {status}")));
                self.supervisor = None;
            }
        }
        for id in 0..self.proxies.len() {
            if self.proxies[id].stream.is_none() && now >= self.proxies[id].redial_at {
                self.dial(id);
            }
        }
        self.handle_heard();
        self.apply_due(now);
        self.forward(now, dt);
        self.run_servers(now, dt);
        self.report(now);
        self.check_lines(now);
    }

    pub fn run_until(&mut self, at: f64) {
        while self.record.now() < at {
            self.step();
        }
    }

    /// How many streams of busy proxies the supervisor ended within the last 0.1 s.
    pub fn ended_of_late(&self) -> usize {
        let now = self.record.now();
        self.ended_at.iter().filter(|at| **at > now - 0.1).count()
    }

    /// How many messages the proxy had within the last 10 s.
    pub fn messages_of_late(&self, id: usize) -> usize {
        let now = self.record.now();
        self.proxies[id].message_times.iter().filter(|at| **at > now - 10.0).count()
    }

    pub fn set_status(&mut self, name: &str, status: &str) {
        let entry = entry_of(&self.site, &self.servers[name], status);
        self.discovery.change(vec![entry]);
    }

    /// Ends the supervisor, and exits with 1 if `rule` was broken or the supervisor crashed.
    pub fn finish(mut self, rule: &str) -> ! {
        self.stop();
        let summary = format!(
            "most messages to one proxy in 10 s: {}; most lines waiting: {:.0}; longest without a line: {:.3} s; \
             latest request after the news that a server leaves: {:.3} s",
            self.worst_messages, self.worst_queue, self.longest_bare, self.latest_after_drain
        );
        self.record.say(&summary);
        println!("{summary}");
        let counts = |found: &&(&'static str, String)| found.0 == rule || found.0 == "crash";
        let found = self.broken.iter().filter(counts).count();
        for (rule, text) in self.broken.iter().filter(counts).take(5) {
            self.record.say(&format!("rule {rule} broken: {text}"));
            println!("rule {rule} broken: {text}");
        }
        println!("{}", if found > 0 { "the rule was broken" } else { "the rule held" });
        std::process::exit(i32::from(found > 0));
    }
}

/// An address for the supervisor to listen at: a loopback address of this process's own, so that no other connection of the
/// machine takes the port meanwhile.
fn free_address() -> SocketAddr {
    let id = std::process::id();
    let host = format!("127.{}.{}.1:0", 10 + id % 200, 1 + id / 200 % 200);
    TcpListener::bind(host).unwrap().local_addr().unwrap()
}

fn read_orders(stream: TcpStream, proxy: usize, number: u64, sender: &Sender<Heard>, record: &Record) {
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(n) if n > 0 => {
                let line = line.trim_end().to_string();
                if !line.starts_with("push") {
                    continue;
                }
                let more = field(&line, "part") == Some("1");
                lines.push(line);
                if !more {
                    let lines = std::mem::take(&mut lines);
                    let _ = sender.send(Heard::Message { proxy, stream: number, at: record.now(), lines });
                }
            }
            _ => {
                let _ = sender.send(Heard::Ended { proxy, stream: number, at: record.now() });
                return;
            }
        }
    }
}

pub fn entry_of(site: &Site, server: &Server, status: &str) -> Entry {
    Entry {
        name: server.name.clone(),
        address: server.address.to_string(),
        zone: site.zones[server.zone].to_string(),
        kind: if server.speed < 0.8 { "slow" } else { "std" }.to_string(),
        status: status.to_string(),
        weight: server.cores * server.speed / 2.0,
        since_ms: server.started_ms,
    }
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("run = \"") {
            return value.trim_end_matches('"').to_string();
        }
    }
    panic!("no run in the deploy file");
}

/// Settings of a small deployment: one supervisor, three zones, three classes of which the last stays in the proxy's zone
/// and must never run twice, levels as shares.
pub fn small_deployment(proxies: usize, grace_ms: f64) -> String {
    let class = |name: &str, aim: f64, deadline: f64, effect: &str, worth: f64| {
        format!(
            "{{\"name\":\"{name}\",\"aimMs\":{aim},\"hardLimitMs\":{deadline},\"effect\":\"{effect}\",\"dedupScope\":\"all\",\"windowMs\":5000,\"worth\":{worth},\"lateWorth\":0.1}}"
        )
    };
    let classes = [
        class("lookup", 1000.0, 2500.0, "read_like", 1.0),
        class("work", 1500.0, 4000.0, "read_like", 1.0),
        class("order", 1200.0, 3000.0, "non_idempotent", 3.0),
    ];
    format!(
        "{{\"peersTotal\":1,\"me\":0,\"locality\":1,\"zones\":[\"a\",\"b\",\"c\"],\"kinds\":[\"std\",\"slow\"],\"classes\":[{}],\
         \"discovery\":\"automatic\",\"weights\":\"nominal\",\"tickMs\":2,\
         \"familyInfo\":{{\"proxies\":{proxies},\"homeOnly\":[false,false,true],\"mutating\":[false,false,true],\"levelKind\":\"fraction\",\
         \"usualHow\":0,\"firstWait\":1,\"pick\":\"random\",\"outlierAfter\":0,\"standing\":8,\"cycleMs\":1000,\"reportsPerS\":300,\
         \"backlog\":5300,\"linesPerS\":3500,\"fixedCost\":4,\"messagesMost\":30,\"updateWindowMs\":10000,\"propagationMs\":330,\
         \"pushDelayMaxMs\":800,\"unservedMaxMs\":4700,\"socketsMin\":110,\"shards\":0,\"soleOwner\":false,\"homedByZone\":false}},\
         \"guarantees\":{{\"drainGraceMs\":{grace_ms},\"coldFrom\":0.22,\"coldMs\":18000,\"fallMultiple\":4,\"overloadForMs\":3000}},\
         \"limits\":{{\"probes\":true,\"peers\":false,\"connectTimeoutMs\":250,\"idleCloseMs\":15000,\"maxStreams\":32}},\
         \"prices\":{{\"crossZone\":0.06,\"probe\":0.02}},\"report\":{{\"source\":\"piggyback\",\"fields\":[\"util\",\"qps\"]}}}}",
        classes.join(",")
    )
}

/// The site of [`small_deployment`], with the figures of its stand-ins.
pub fn small_site(proxies: usize, grace: f64) -> Site {
    Site {
        zones: vec!["a", "b", "c"],
        classes: vec!["lookup", "work", "order"],
        shares: vec![0.53, 0.24, 0.23],
        work: vec![0.150, 0.225, 0.225],
        home_only: vec![false, false, true],
        settings: small_deployment(proxies, grace * 1000.0),
        cold_from: 0.22,
        cold_ms: 18000.0,
        grace,
        bare: 4.7,
        delay: (0.15, 0.5),
        redial: (1.1, 2.3),
        late: (0.41, 0.9),
        messages_most: 30,
    }
}

/// Fifteen servers, five in each zone, a fifth of them slow, all of them up for long.
pub fn small_servers() -> Vec<Server> {
    let started = unix_ms() - 600_000.0;
    (0..15).map(|i| Server::start(&format!("s-{i:02}"), i / 5, 2.0, speed(i), started)).collect()
}

/// The speed of the server with this number.
pub fn speed(server: usize) -> f64 {
    if server % 5 == 3 { 0.6 } else { 1.0 }
}

/// Fifteen proxies, five in each zone; most carry little traffic, some far more. `load` is their share of what the servers
/// can do.
pub fn small_rates(servers: &[Server], load: f64) -> Vec<(usize, f64)> {
    let capacity: f64 = servers.iter().map(|s| s.cores * s.speed).sum();
    let demand = load * capacity / 0.185;
    let parts: Vec<f64> = (0..15).map(|i| [0.3, 0.5, 0.8, 1.4, 2.5][i / 3]).collect();
    let sum: f64 = parts.iter().sum();
    parts.iter().enumerate().map(|(i, part)| (i % 3, part / sum * demand)).collect()
}

/// A figure from the environment, for trials; the scripts set none but TROUBLE.
pub fn figure(name: &str, usual: f64) -> f64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Whether the disruption is on.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
