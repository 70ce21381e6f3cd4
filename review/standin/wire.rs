//! Stand-in of the simulator's wire for one instance, on the real clock: servers, proxies, the store and the channel, written
//! from the users' pages. It starts the program that the deploy file names as `sim` and checks that the writes of a slice
//! are never at two servers at a time. Only the standard library is used.
//!
//! Usage: `wire RECORD`, with RIG_ROOT (the repository) in the environment. TROUBLE=0 leaves the disruption out.

use std::collections::{BTreeSet, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: usize = 60;
const SLICES: usize = 12;
const SERVERS: u32 = 6;
const HEAD_LINES: f64 = 6.0;
/// At least slices x proxies / 6, as the pages say.
const LINES_PER_S: f64 = 300.0;
/// The pace of the channel during the disruption, as a share of the stated one.
const SLOW_PACE: f64 = 0.4;
/// The disruption: from so long before the drain until so long after it.
const SLOW_BEFORE_S: f64 = 1.0;
const SLOW_AFTER_S: f64 = 5.0;
const DELIVERY_S: f64 = 0.2;
const LEASE_MS: f64 = 2500.0;
const SETTLE_MS: f64 = 2000.0;
const SHORTEST_WRITE_S: f64 = 0.2;
const LONGEST_WRITE_S: f64 = 1.8;
const WRITES_PER_S: f64 = 20.0;
const DRAIN_AT: f64 = 4.0;
const END_AT: f64 = 20.0;

struct Random(u64);
impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[derive(Clone, Debug)]
enum Order {
    Wipe(usize),
    Line(usize, u32, f64),
    Suspend(u32, bool),
}

struct Message {
    arrives_at: f64,
    orders: Vec<Order>,
    receipt: Option<String>,
    written_at: f64,
}

#[derive(Default)]
struct Proxy {
    owners: Vec<Option<u32>>,
    suspended: BTreeSet<u32>,
    inbox: VecDeque<Message>,
    next_write_at: f64,
}

struct ActiveWrite {
    slice: usize,
    server: u32,
    proxy: usize,
    began_at: f64,
    ends_at: f64,
}

struct Sim {
    child: Child,
    input: std::process::ChildStdin,
    output: BufReader<std::process::ChildStdout>,
    frame: u64,
}

impl Sim {
    /// Sends one batch and returns the actions of the reply.
    fn turn(&mut self, at_ms: f64, events: &[String]) -> Result<Vec<String>, String> {
        self.frame += 1;
        let mut text = format!("frame\tatTimeMs={at_ms:.3}\tframe={}\n", self.frame);
        if !events.is_empty() {
            text.push_str("at\tsupervisor=0\n");
        }
        for event in events {
            text.push_str(event);
            text.push('\n');
        }
        text.push_str("your_turn\n");
        self.input
            .write_all(text.as_bytes())
            .and_then(|()| self.input.flush())
            .map_err(|e| e.to_string())?;
        let mut actions = Vec::new();
        loop {
            let mut line = String::new();
            if self
                .output
                .read_line(&mut line)
                .map_err(|e| e.to_string())?
                == 0
            {
                return Err("the program has ended".to_string());
            }
            let line = line.trim_end().to_string();
            if line.starts_with("end\t") {
                return Ok(actions);
            }
            actions.push(line);
        }
    }
}

fn field(line: &str, name: &str) -> Option<String> {
    line.split('\t').find_map(|part| {
        part.strip_prefix(name)?
            .strip_prefix('=')
            .map(str::to_string)
    })
}

fn number(line: &str, name: &str) -> f64 {
    field(line, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0)
}

fn settings() -> String {
    format!(
        r#"{{"family":"control","me":0,"locality":0,"peersTotal":1,"zones":["a"],"kinds":["std"],"tickMs":20,"discovery":"automatic","weights":"rough","valueBy":"request","classes":[{{"name":"store-write","aimMs":1000,"hardLimitMs":4000,"worth":3,"effect":"non_idempotent"}}],"report":{{"source":"silent","fields":[]}},"limits":{{"probes":false,"peers":false,"connectTimeoutMs":250,"idleCloseMs":15000,"maxStreams":32,"cpuUsPerS":600000}},"prices":{{}},"guarantees":{{"drainGraceMs":4000,"coldFrom":0.2,"coldMs":12000,"fallMultiple":3,"overloadForMs":3000}},"familyInfo":{{"proxies":{PROXIES},"shards":{SLICES},"soleOwner":true,"tenureMs":{LEASE_MS},"inFlightMaxMs":{SETTLE_MS},"bufferForMs":300,"levelKind":"silent","usualHow":0,"firstWait":1,"pick":"random","outlierAfter":0,"standing":0,"homedByZone":false,"homeOnly":[false],"mutating":[true],"backlog":4000,"linesPerS":{LINES_PER_S},"fixedCost":{HEAD_LINES},"propagationMs":200,"pushDelayMaxMs":600,"cycleMs":1000,"reportsPerS":500,"messagesMost":0,"updateWindowMs":10000,"unservedMaxMs":20000,"pushPrice":0.04,"reassignPrice":0.01}}}}"#
    )
}

fn run(out: &mut File, trouble: bool) -> Result<usize, String> {
    let root = std::env::var("RIG_ROOT").map_err(|_| "RIG_ROOT is not set")?;
    let text = std::fs::read_to_string(format!("{root}/deploy/balancer.toml"))
        .map_err(|e| e.to_string())?;
    let command = text
        .lines()
        .find(|l| l.starts_with("sim = "))
        .and_then(|l| l.split('"').nth(1))
        .ok_or("no sim command")?;
    let mut child = Command::new("/bin/sh")
        .args(["-c", command])
        .current_dir(&root)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|e| e.to_string())?;
    let input = child.stdin.take().ok_or("no input")?;
    let output = BufReader::new(child.stdout.take().ok_or("no output")?);
    let mut sim = Sim {
        child,
        input,
        output,
        frame: 0,
    };
    let result = play(out, trouble, &mut sim);
    let _ = sim.child.kill();
    let _ = sim.child.wait();
    result
}

fn play(out: &mut File, trouble: bool, sim: &mut Sim) -> Result<usize, String> {
    let start = Instant::now();
    let mut random = Random(0x9e37_79b9_7f4a_7c15);
    let servers: Vec<u32> = (0..SERVERS).map(|n| 1000 + 37 * n).collect();
    let mut proxies: Vec<Proxy> = (0..PROXIES)
        .map(|_| Proxy {
            owners: vec![None; SLICES],
            ..Proxy::default()
        })
        .collect();
    for proxy in &mut proxies {
        for slice in 0..SLICES {
            proxy.owners[slice] = Some(servers[slice % servers.len()]);
        }
        proxy.next_write_at = 1.0 + random.next();
    }
    let row = |server: u32, state: &str| {
        format!("row\tserver={server}\tlocality=0\tfamilyType=0\tcluster=0\tlifecycle={state}\tweight=1")
    };
    let mut events = vec![
        format!("begin\tnonce64=77\tenv={}", settings()),
        format!("discovery\tgen=41\thow=warm_copy\trows={SERVERS}"),
    ];
    events.extend(servers.iter().map(|server| row(*server, "in_service")));
    for slice in 0..SLICES {
        events.push(format!("tenure\tactive=1\tmapId={slice}"));
        events.push(format!(
            "held\tmapId={slice}\tserver={}\tweight=1",
            servers[slice % servers.len()]
        ));
    }
    for proxy in 0..PROXIES {
        events.push(format!(
            "joined\tclientLb={proxy}\tlocality=0\tweight={WRITES_PER_S}\tactive=1"
        ));
    }
    let mut timers: Vec<(f64, String)> = Vec::new();
    let mut active: Vec<ActiveWrite> = Vec::new();
    let mut channel_free_at = 0.0;
    let mut drained = false;
    let (mut writes, mut violations) = (0usize, 0usize);
    let mut most_waiting: f64 = 0.0;
    let leaving = servers[0];
    loop {
        let now = start.elapsed().as_secs_f64();
        if now > END_AT {
            break;
        }
        // The proxies apply what has arrived, and send.
        for (id, proxy) in proxies.iter_mut().enumerate() {
            while proxy
                .inbox
                .front()
                .is_some_and(|message| message.arrives_at <= now)
            {
                let Some(message) = proxy.inbox.pop_front() else {
                    break;
                };
                for order in &message.orders {
                    match order {
                        Order::Wipe(slice) => proxy.owners[*slice] = None,
                        Order::Line(slice, server, weight) if *weight > 0.0 => {
                            proxy.owners[*slice] = Some(*server)
                        }
                        Order::Line(slice, server, _) => {
                            if proxy.owners[*slice] == Some(*server) {
                                proxy.owners[*slice] = None;
                            }
                        }
                        Order::Suspend(server, true) => {
                            proxy.suspended.insert(*server);
                        }
                        Order::Suspend(server, false) => {
                            proxy.suspended.remove(server);
                        }
                    }
                }
                let _ = writeln!(out, "{now:8.3} proxy {id} applies {:?}", message.orders);
                if let Some(sequence) = &message.receipt {
                    let cost = 1000.0 * (now - message.written_at);
                    events.push(format!(
                        "receipt\tclientLb={id}\tgen={sequence}\tcostTimeMs={cost:.1}"
                    ));
                }
            }
            while proxy.next_write_at <= now {
                proxy.next_write_at += (0.5 + random.next()) / WRITES_PER_S;
                let slice = ((random.next() * SLICES as f64) as usize).min(SLICES - 1);
                let length =
                    SHORTEST_WRITE_S + (LONGEST_WRITE_S - SHORTEST_WRITE_S) * random.next();
                let Some(server) =
                    proxy.owners[slice].filter(|server| !proxy.suspended.contains(server))
                else {
                    continue;
                };
                active.retain(|write| write.ends_at > now);
                writes += 1;
                let _ = writeln!(
                    out,
                    "{now:8.3} proxy {id} writes slice {slice} to {server}, in hand until {:.3}",
                    now + length
                );
                if let Some(other) = active
                    .iter()
                    .find(|write| write.slice == slice && write.server != server)
                {
                    violations += 1;
                    let _ = writeln!(
                        out,
                        "{now:8.3} rule broken: slice {slice}: proxy {id} writes to {server} while {} holds a write of proxy {} since {:.3}, until {:.3}",
                        other.server, other.proxy, other.began_at, other.ends_at
                    );
                }
                active.push(ActiveWrite {
                    slice,
                    server,
                    proxy: id,
                    began_at: now,
                    ends_at: now + length,
                });
            }
        }
        if !drained && now >= DRAIN_AT {
            drained = true;
            events.push("discovery\tgen=42\thow=incr\trows=1".to_string());
            events.push(row(leaving, "terminating"));
            let _ = writeln!(out, "{now:8.3} discovery tells that {leaving} drains");
        }
        timers.retain(|(due, handle)| {
            if *due <= now {
                events.push(format!("ring\thandle={handle}"));
            }
            *due > now
        });
        if !events.is_empty() {
            let actions = sim.turn(1000.0 * now + 5000.0, &events)?;
            events.clear();
            let mut orders = Vec::new();
            let mut receipt = None;
            for action in &actions {
                match action.split('\t').next().unwrap_or_default() {
                    "wipe" => orders.push(Order::Wipe(number(action, "mapId") as usize)),
                    "endpoint" => orders.push(Order::Line(
                        number(action, "mapId") as usize,
                        number(action, "server") as u32,
                        number(action, "weight"),
                    )),
                    "suspend" => orders.push(Order::Suspend(
                        number(action, "server") as u32,
                        number(action, "active") > 0.0,
                    )),
                    "ask_receipt" => receipt = field(action, "gen"),
                    "arm" => timers.push((
                        now + number(action, "fromNowMs") / 1000.0,
                        field(action, "handle").unwrap_or_default(),
                    )),
                    "internal_error" => return Err(action.clone()),
                    _ => {}
                }
                if !action.starts_with("arm") && !action.starts_with("source") {
                    let _ = writeln!(out, "{now:8.3} supervisor: {}", action.replace('\t', " "));
                }
            }
            if !orders.is_empty() {
                let is_slow =
                    trouble && now >= DRAIN_AT - SLOW_BEFORE_S && now <= DRAIN_AT + SLOW_AFTER_S;
                let pace = LINES_PER_S * if is_slow { SLOW_PACE } else { 1.0 };
                let lines =
                    HEAD_LINES + orders.len() as f64 + f64::from(u8::from(receipt.is_some()));
                for proxy in &mut proxies {
                    channel_free_at = f64::max(channel_free_at, now) + lines / pace;
                    proxy.inbox.push_back(Message {
                        arrives_at: channel_free_at + DELIVERY_S,
                        orders: orders.clone(),
                        receipt: receipt.clone(),
                        written_at: now,
                    });
                }
                most_waiting = most_waiting.max((channel_free_at - now) * pace);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let summary = format!("{writes} writes, {violations} of them while another server held a write of the same slice; most lines that waited {most_waiting:.0} of 4000");
    println!("{summary}");
    let _ = writeln!(out, "{summary}");
    Ok(violations)
}

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_string());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut out = File::create(path).expect("record file");
    let result = run(&mut out, trouble);
    let (text, code) = match result {
        Ok(0) => ("the rule held".to_string(), 0),
        Ok(_) => ("the rule was broken".to_string(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    println!("{text}");
    let _ = writeln!(out, "{text}");
    std::process::exit(code);
}
