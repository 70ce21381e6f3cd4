//! Lines to typed values and orders to lines: each message is decoded once and encoded once.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::rc::Rc;

use chutegrade_engine::AdmissionLevel;
use chutegrade_engine::{Lifecycle, LoadReport, Micros, NamedEndpoint, Order, Report};
use chutegrade_engine::{ServerWeight, TableUpdate};
use serde::Deserialize;

/// What a proxy says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    /// Its number.
    pub id: u32,
    /// Its zone.
    pub site: String,
    /// Its requests per second, roughly.
    pub rps: f64,
    /// It holds no table that was ordered.
    pub new: bool,
}

/// A message of a proxy or a collector.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks whether the supervisor is in use.
    Probe,
    /// A collector names its zone.
    Agent {
        /** The zone. */
        site: String,
    },
    /// A proxy names itself.
    Hello(Hello),
    /// A report that needs nothing from its connection.
    Told(Report),
    /// A proxy has applied everything up to a mark.
    Ack {
        /** The proxy. */
        id: u32,
        /** The mark. */
        seq: u16,
        /** How long that took. */
        ms: Micros,
    },
    /// A kind that this version does not know.
    Other,
    /// A message of a known kind that is spoilt in itself. It tells nothing, and its connection goes on: where it ends
    /// is sure, so the messages around it are good.
    Spoilt(Fault),
}

/// Why a message could not be read. [`Fault::Garbage`] alone means that what follows can't be trusted either.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A word that the message needs is absent.
    #[error("{0} without {1}")]
    Missing(&'static str, &'static str),
    /// A word has a value that it cannot have.
    #[error("{0} with bad {1}")]
    Bad(&'static str, &'static str),
    /// A message that nobody brings on such a connection, or not again.
    #[error("a message that no {0} brings")]
    Stray(&'static str),
    /// The kind has characters that no kind has.
    #[error("no message")]
    Garbage,
    /// A list is no JSON of its form.
    #[error("no list: {0}")]
    List(String),
}

impl Fault {
    fn list(fault: serde_json::Error) -> Self {
        Fault::List(fault.to_string())
    }
}

/// Largest count that a report may hold: more than any proxy meets in a day.
const COUNT_MOST: f64 = 1e9;
/// Longest time that a message may name, in milliseconds: a day.
const TIME_MOST: f64 = 86_400_000.0;

struct Words<'a> {
    kind: &'static str,
    line: &'a str,
}

impl<'a> Words<'a> {
    fn find(&self, name: &str) -> Option<&'a str> {
        self.line
            .split(' ')
            .skip(1)
            .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }
    fn text(&self, name: &'static str) -> Result<&'a str, Fault> {
        self.find(name)
            .filter(|text| !text.is_empty())
            .ok_or(Fault::Missing(self.kind, name))
    }
    fn parse<T: std::str::FromStr>(&self, name: &'static str) -> Result<T, Fault> {
        self.text(name)?
            .parse()
            .map_err(|_| Fault::Bad(self.kind, name))
    }
    fn figure(&self, name: &'static str, most: f64) -> Result<f64, Fault> {
        let value: f64 = self.parse(name)?;
        if (0.0..=most).contains(&value) {
            Ok(value)
        } else {
            Err(Fault::Bad(self.kind, name))
        }
    }
    fn count(&self, name: &'static str) -> Result<f64, Fault> {
        self.figure(name, COUNT_MOST)
    }
    /// How many of those counted failed.
    fn failed(&self, of: f64) -> Result<f64, Fault> {
        self.find("fail")
            .map_or(Ok(0.0), |_| self.figure("fail", of))
    }
    fn time(&self, name: &'static str) -> Result<Micros, Fault> {
        self.figure(name, TIME_MOST).map(Micros::from_ms)
    }
    /// The time over which something was counted.
    fn period(&self) -> Result<Micros, Fault> {
        self.time("over").and_then(|over| {
            if over > Micros(0) {
                Ok(over)
            } else {
                Err(Fault::Bad(self.kind, "over"))
            }
        })
    }
}

/// Reads one line, without its end. An error means that the framing is lost: what came is no message at all, and what
/// follows on its connection is of no use. A message that is merely spoilt is a message of its own kind.
pub fn message(line: &str) -> Result<Message, Fault> {
    let kind = line.split(' ').next().unwrap_or_default();
    if kind.is_empty() || !kind.bytes().all(|byte| byte.is_ascii_lowercase()) {
        return Err(Fault::Garbage);
    }
    let read = match kind {
        "probe" => Ok(Message::Probe),
        "agent" => agent(Words {
            kind: "agent",
            line,
        }),
        "hello" => hello(Words {
            kind: "hello",
            line,
        }),
        "outcomes" => outcomes(Words {
            kind: "outcomes",
            line,
        }),
        "demand" => demand(Words {
            kind: "demand",
            line,
        }),
        "ack" => ack(Words { kind: "ack", line }),
        _ => Ok(Message::Other),
    };
    Ok(read.unwrap_or_else(Message::Spoilt))
}

fn agent(w: Words) -> Result<Message, Fault> {
    Ok(Message::Agent {
        site: w.text("site")?.to_string(),
    })
}

fn hello(w: Words) -> Result<Message, Fault> {
    let new = match w.find("new") {
        Some("1") => true,
        Some("0") | None => false,
        Some(_) => return Err(Fault::Bad("hello", "new")),
    };
    let (id, site, rps) = (w.parse("id")?, w.text("site")?.to_string(), w.count("rps")?);
    Ok(Message::Hello(Hello { id, site, rps, new }))
}

fn outcomes(w: Words) -> Result<Message, Fault> {
    let tries = w.count("count")?;
    Ok(Message::Told(Report::ServerOutcomes {
        zone: w.text("site")?.to_string(),
        server: w.text("target")?.to_string(),
        attempts: tries,
        failed: w.failed(tries)?,
        mean_latency_ms: w
            .find("mean")
            .map_or(Ok(0.0), |_| w.figure("mean", TIME_MOST))?,
        period: w.period()?,
        load: chutegrade_settings::parse_load_report(w.find("util").unwrap_or_default()),
    }))
}

fn demand(w: Words) -> Result<Message, Fault> {
    let came = w.count("count")?;
    Ok(Message::Told(Report::ProxyDemand {
        proxy: w.parse("id")?,
        class: w.text("lane")?.to_string(),
        arrivals: came,
        failed: w.failed(came)?,
        period: w.period()?,
    }))
}

fn ack(w: Words) -> Result<Message, Fault> {
    Ok(Message::Ack {
        id: w.parse("id")?,
        seq: w.parse("seq")?,
        ms: w.time("ms")?,
    })
}

/// A connection's run of messages that told nothing. Danger: one that brings nothing else is of no use, and holds the
/// place of its peer's next one.
#[derive(Debug, Default)]
pub struct Run {
    spoilt: u32,
}

/// Spoilt messages in a row after which a connection is of no further use: at worst half of a good peer's are spoilt, and
/// such a row then comes once in millions.
const SPOILT_MOST: u32 = 24;

impl Run {
    /// A good message ends the run.
    pub fn good(&mut self) {
        self.spoilt = 0;
    }

    /// One more that told nothing; the fault is an error once there are too many in a row.
    pub fn spoilt(&mut self, fault: Fault) -> Result<Fault, Fault> {
        self.spoilt += 1;
        if self.spoilt < SPOILT_MOST {
            Ok(fault)
        } else {
            Err(fault)
        }
    }
}

/// What a peer is told whose connection is ended, with the reason's code.
pub fn error(code: &str) -> String {
    format!("error reason={code}\r\n")
}

/// The answer to `probe`.
pub const ALIVE: &[u8] = b"alive\r\n";
/// Longest line written, in bytes: well below the protocol's 1 MiB; what is longer goes on in a further part.
const LINE_MOST: usize = 512 * 1024;

/// Writes an order as the lines of one message.
pub fn order(order: &Order) -> String {
    let mut lines: Vec<String> = Vec::new();
    for part in &order.updates {
        write_part(part, &mut lines);
    }
    let mut last = match lines.pop() {
        Some(line) => line,
        None => "push".to_string(),
    };
    write_names(" drop=", &order.suspended, &mut last);
    write_names(" undrop=", &order.resumed, &mut last);
    if let Some(mark) = order.acknowledge {
        let _ = write!(last, " stamp={mark}");
    }
    lines.push(last);
    let mut text = lines.join(" part=1\r\n");
    text.push_str("\r\n");
    text
}

fn write_part(part: &TableUpdate, lines: &mut Vec<String>) {
    let mut head = "push".to_string();
    if !part.classes.is_empty() {
        let _ = write!(head, " for={}", part.classes.join("+"));
    }
    let mut line = head.clone();
    if part.replace {
        line.push_str(" replace=1");
    }
    let mut separator = " rows=";
    for ServerWeight { server, weight } in &part.weights {
        if line.len() > LINE_MOST {
            lines.push(std::mem::replace(&mut line, head.clone()));
            separator = " rows=";
        }
        let _ = write!(line, "{separator}{server}:{weight}");
        separator = ",";
    }
    if let Some(AdmissionLevel { level, retry }) = part.admission {
        let _ = write!(line, " gate={level} again={}", retry as u8);
    }
    lines.push(line);
}

fn write_names(word: &str, names: &[Rc<str>], line: &mut String) {
    let mut separator = word;
    for name in names {
        line.push_str(separator);
        line.push_str(name);
        separator = ",";
    }
}

/// A delivery of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Targets {
    /// The list's version.
    pub index: u64,
    /// It is the whole list.
    pub whole: bool,
    /// It is the whole list, and every entry could be read.
    pub complete: bool,
    /// Its entries.
    pub entries: Vec<NamedEndpoint>,
    /// How many entries could not be read.
    pub unreadable: usize,
    /// The names of those, as far as they could be read.
    pub named: Vec<String>,
    /// How many entries were passed over, since a later one names the same server.
    pub twice: usize,
}

#[derive(Deserialize)]
struct RawTargets {
    index: u64,
    snapshot: bool,
    endpoints: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct RawEndpoint {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: f64,
    status: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    since_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// Reads a delivery of the list. An entry that can't be read leaves the rest in force, but a whole list that
/// lacks one is no longer whole: the entry must not read as the server's removal.
pub fn targets(text: &str) -> Result<Targets, Fault> {
    serde_json::from_str(text)
        .map(delivery)
        .map_err(Fault::list)
}

/// The same for a delivery that was a part of a larger JSON text.
pub fn targets_in(json: serde_json::Value) -> Result<Targets, Fault> {
    serde_json::from_value(json)
        .map(delivery)
        .map_err(Fault::list)
}

fn delivery(raw: RawTargets) -> Targets {
    let (mut entries, mut named, mut unreadable) = (Vec::new(), Vec::new(), 0);
    for json in raw.endpoints {
        match endpoint(json) {
            Ok(entry) => entries.push(entry),
            Err(name) => {
                unreadable += 1;
                named.extend(name);
            }
        }
    }
    // The last word on a server holds, whatever came before it.
    let last: HashMap<String, usize> = entries
        .iter()
        .enumerate()
        .map(|(at, entry)| (entry.name.clone(), at))
        .collect();
    let twice = entries.len() - last.len();
    if twice > 0 {
        let mut at = 0..;
        entries.retain(|entry| at.next() == last.get(&entry.name).copied());
    }
    let (index, whole) = (raw.index, raw.snapshot);
    Targets {
        index,
        whole,
        complete: whole && unreadable == 0,
        entries,
        unreadable,
        named,
        twice,
    }
}

/// Reads an entry; of one that can't be read the name, if that can.
fn endpoint(json: serde_json::Value) -> Result<NamedEndpoint, Option<String>> {
    let name = json
        .get("name")
        .and_then(serde_json::Value::as_str)
        .map(str::to_string);
    serde_json::from_value(json)
        .ok()
        .and_then(listed)
        .ok_or(name)
}

fn listed(raw: RawEndpoint) -> Option<NamedEndpoint> {
    let writable = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b',' | b':' | b'=');
    let figures = [raw.weight, raw.since_ms, raw.group];
    if raw.name.is_empty()
        || !raw.name.bytes().all(writable)
        || figures
            .iter()
            .any(|figure| !figure.is_finite() || *figure < 0.0)
    {
        return None;
    }
    let life = match raw.status.as_str() {
        "up" => Lifecycle::InService,
        "draining" => Lifecycle::Draining,
        "removed" => Lifecycle::Removed,
        _ => return None,
    };
    Some(NamedEndpoint {
        name: raw.name,
        address: raw.address,
        zone: raw.zone,
        machine_kind: raw.kind,
        cell: raw.group as u32,
        lifecycle: life,
        weight: raw.weight,
        started_at: (raw.since_ms > 0.0).then(|| Micros::from_ms(raw.since_ms)),
    })
}

/// Reads the load report in the body of a server's answer: `TEXT name=value, ...`.
pub fn load_report(body: &str) -> LoadReport {
    let body = body.trim();
    chutegrade_settings::parse_load_report(body.strip_prefix("TEXT").unwrap_or(body))
}

#[cfg(test)]
mod tests;
