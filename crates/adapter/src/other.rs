//! The other side of the wire: another build of the adapter as a child process, asked in the module's place. For comparison
//! on the fleet model only.

use std::io::{BufRead as _, BufReader, Write as _};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};

use chutegrade_engine::DecisionPolicy;
use chutegrade_policy::*;
use chutegrade_settings::{to_json, DeploymentNames};

use crate::codec::{self, Parts, ALL_TABLES, ENDS, LIST_KINDS, LIVES};

/// Added to times that are written, in milliseconds: a reader that cuts off what is below a microsecond gets the same one.
const ABOVE: f64 = 0.000_25;

/// Why another build can't be asked any more.
#[derive(Debug, thiserror::Error)]
enum Fault {
    /// It does not start, or has ended.
    #[error("the other build: {0}")]
    Io(#[from] std::io::Error),
    /// It said what is no action.
    #[error("the other build said {0:?}")]
    Said(String),
}

/// The first fault of all processes that share it.
pub type Faults = Arc<Mutex<Option<String>>>;

/// One instance of the decisions in a process of another build.
struct Other {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    frame: u64,
    list: u64,
    begin: Option<String>,
    faults: Faults,
}

impl Drop for Other {
    fn drop(&mut self) {
        // It ends with its input; one that does not is ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn ms(of: Micros) -> f64 {
    of.0 as f64 / 1000.0 + ABOVE
}

/// The word of the wire for a value; another where it has none.
fn word<T: PartialEq>(words: &[(&'static str, T)], of: T, otherwise: &'static str) -> &'static str {
    words
        .iter()
        .find(|(_, value)| *value == of)
        .map_or(otherwise, |(word, _)| *word)
}

fn load(of: &LoadReport) -> String {
    let pairs = [
        ("inflight", of.in_flight),
        ("queue", of.queued),
        ("util", of.utilization),
        ("latency_ms", of.latency_ms),
    ];
    let told: Vec<String> = pairs
        .iter()
        .filter_map(|(name, value)| Some(format!("{name}:{}", (*value)?)))
        .collect();
    if told.is_empty() {
        String::new()
    } else {
        format!("\thealthInfo={}", told.join(","))
    }
}

fn entry(of: &Endpoint) -> String {
    let life = word(&LIVES, of.lifecycle, "");
    let started = of
        .started_at
        .map(|at| format!("\tupSinceMs={}", ms(at)))
        .unwrap_or_default();
    let (server, zone, kind, cell) = (of.server.0, of.zone.0, of.machine_kind, of.cell);
    format!("row\tserver={server}\tlocality={zone}\tfamilyType={kind}\tcluster={cell}\tlifecycle={life}\tweight={}{started}\n", of.weight)
}

/// An event as lines; nothing for what the wire has no words for.
fn lines(event: &Event, list: u64) -> String {
    match event {
        Event::EndpointList(kind, entries) => {
            let how = word(&LIST_KINDS, *kind, "");
            let rows: String = entries.iter().map(entry).collect();
            format!("discovery\tgen={list}\thow={how}\trows={}\n{rows}", entries.len())
        }
        Event::ProxyJoined { proxy, zone, request_rate: rate, has_previous_table: brought } => {
            let new = u8::from(!brought);
            format!("joined\tclientLb={}\tlocality={}\tweight={rate}\tactive={new}\n", proxy.0, zone.0)
        }
        Event::ProxyLeft(proxy) | Event::StreamClosed(proxy) => format!("lost_stream\tclientLb={}\n", proxy.0),
        Event::ServerOutcomes { zone, server, attempts: tries, failed, mean_latency_ms: mean_ms, period, load: of } => format!(
            "tally\tlocality={}\tserver={}\ttotal={tries}\tbad={failed}\tcostTimeMs={mean_ms}\tperiodLenMs={}{}\n",
            zone.0,
            server.0,
            ms(*period),
            load(of)
        ),
        Event::ProxyDemand { proxy, class, arrivals: came, failed, period } => format!(
            "usage\tclientLb={}\tprofile={}\ttotal={came}\tbad={failed}\tperiodLenMs={}\n",
            proxy.0,
            class.0,
            ms(*period)
        ),
        Event::Acknowledged { proxy, sequence: mark, elapsed: took } => {
            format!("receipt\tclientLb={}\tgen={mark}\tcostTimeMs={}\n", proxy.0, ms(*took))
        }
        Event::HealthChecked { server, outcome: end, elapsed: took, load: of } => {
            let ending = word(&ENDS, *end, "skipped");
            format!("health\tserver={}\tending={ending}\tcostTimeMs={}{}\n", server.0, ms(*took), load(of))
        }
        Event::Timer(id) => format!("ring\thandle={id}\n"),
        // Slices, messages between instances, advice and limits do not come up on the model's wire.
        Event::SliceDemand { .. } | Event::SliceOwnership { .. } | Event::PublishedWeight { .. } | Event::PeerMessage { .. } => String::new(),
        Event::Advice(_) | Event::Limits(_) => String::new(),
    }
}

/// A line of a reply as an action; nothing for what does not concern the model.
fn action(line: &str) -> Result<Option<Action>, codec::Fault> {
    let p = Parts::of(line);
    let classes = || p.parse("classBits").map(ClassSet);
    Ok(Some(match p.tag() {
        "endpoint" => Action::SetWeight {
            table: p.table()?,
            server: p.server()?,
            weight: p.count("weight")?,
        },
        "wipe" => Action::ClearTable(p.table()?),
        "point" => Action::AssignTable {
            proxy: p.proxy()?,
            table: p.table()?,
            classes: classes()?,
        },
        "suspend" => Action::SetSuspended {
            server: p.server()?,
            suspended: p.flag("active")?,
        },
        "allow" => Action::SetAdmission {
            table: Some(p.table()?).filter(|of| of.0 != ALL_TABLES),
            classes: classes()?,
            level: p.count("allowance")?,
            retry: match p.parse::<u8>("secondTry")? {
                1 => Retry::IfNotExecuted,
                2 => Retry::Once,
                3 => Retry::Twice,
                _ => Retry::Never,
            },
        },
        "ask_receipt" => Action::RequestAcknowledgement {
            sequence: p.parse("gen")?,
            all_proxies: p.flag("active")?,
        },
        "ping" => Action::HealthCheck(p.server()?),
        "subscribe" => Action::SubscribeEndpoints(p.flag("active")?),
        "list_all" => Action::FetchEndpoints,
        "arm" => {
            let after = Micros((p.count("fromNowMs")? * 1000.0).round() as i64);
            Action::SetTimer {
                id: p.parse("handle")?,
                delay: after,
            }
        }
        "source" | "write_log" | "notify" => return Ok(None),
        other => {
            return Err(codec::Fault::Missing(
                other.chars().take(80).collect(),
                "action of that name",
            ))
        }
    }))
}

/// The decisions of a program that speaks the wire on its standard input and output. One that does not start, or fails
/// later, orders nothing, and what it met first is kept.
pub fn decides(
    command: &str,
    settings: &Settings,
    names: &DeploymentNames,
    seed: u64,
    faults: &Faults,
) -> Box<dyn DecisionPolicy> {
    match Other::start(command, settings, names, seed, Arc::clone(faults)) {
        Ok(other) => Box::new(other),
        Err(fault) => {
            keep(faults, &fault);
            Box::new(Nothing)
        }
    }
}

fn keep(faults: &Faults, fault: &Fault) {
    if let Ok(mut known) = faults.lock() {
        known.get_or_insert(fault.to_string());
    }
}

impl Other {
    fn start(
        command: &str,
        settings: &Settings,
        names: &DeploymentNames,
        seed: u64,
        faults: Faults,
    ) -> Result<Self, Fault> {
        let mut words = command.split_whitespace();
        let program = words.next().unwrap_or_default();
        let mut child = Command::new(program)
            .args(words)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let gone = || std::io::Error::other("its standard input or output is not there");
        let (input, output) = (
            child.stdin.take().ok_or_else(gone)?,
            child.stdout.take().ok_or_else(gone)?,
        );
        let begin = Some(format!(
            "begin\tnonce64={seed}\tenv={}\n",
            to_json(settings, names)
        ));
        Ok(Other {
            child,
            input,
            output: BufReader::new(output),
            frame: 0,
            list: 0,
            begin,
            faults,
        })
    }

    fn ask(&mut self, now: Micros, events: &[Event]) -> Result<Vec<Action>, Fault> {
        self.frame += 1;
        let mut batch = format!(
            "frame\tatTimeMs={}\tframe={}\nat\tsupervisor=0\n",
            ms(now),
            self.frame
        );
        batch += &self.begin.take().unwrap_or_default();
        for event in events {
            self.list += 1;
            batch += &lines(event, self.list);
        }
        batch += "your_turn\n";
        self.input.write_all(batch.as_bytes())?;
        self.input.flush()?;
        let mut actions = Vec::new();
        let mut line = String::new();
        loop {
            line.clear();
            if self.output.read_line(&mut line)? == 0 {
                return Err(std::io::Error::other("it has ended").into());
            }
            let said = line.trim_end();
            if said.starts_with("end\t") {
                return Ok(actions);
            }
            let told = action(said).map_err(|_| Fault::Said(said.chars().take(80).collect()))?;
            actions.extend(told);
        }
    }
}

impl DecisionPolicy for Other {
    fn handle_events(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.ask(now, events).unwrap_or_else(|fault| {
            keep(&self.faults, &fault);
            Vec::new()
        })
    }
}

/// Where a process does not start there is nothing to ask.
struct Nothing;

impl DecisionPolicy for Nothing {
    fn handle_events(&mut self, _: Micros, _: &[Event]) -> Vec<Action> {
        Vec::new()
    }
}

#[cfg(test)]
mod tests;
