//! Lines of the wire to messages, and actions to lines. Unknown names are skipped; what is malformed is an
//! error.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use chutegrade_policy::*;

/// The table number that stands for all joined proxies in a level.
pub(crate) const ALL_TABLES: u16 = 65535;
/// Words for how a list is to be read.
pub(crate) const LIST_KINDS: [(&str, EndpointUpdateKind); 4] = [
    ("incr", EndpointUpdateKind::Delta),
    ("total", EndpointUpdateKind::Snapshot),
    ("warm_copy", EndpointUpdateKind::CachedSnapshot),
    ("lost", EndpointUpdateKind::Unavailable),
];
/// Words for how a probe ends; any other says nothing of the server.
pub(crate) const ENDS: [(&str, HealthCheckOutcome); 6] = [
    ("done", HealthCheckOutcome::Passed),
    ("err", HealthCheckOutcome::Error),
    ("busy", HealthCheckOutcome::Rejected),
    ("etimedout", HealthCheckOutcome::TimedOut),
    ("econnrefused", HealthCheckOutcome::Unreachable),
    ("econnreset", HealthCheckOutcome::Unreachable),
];
/// Words for a server's life.
pub(crate) const LIVES: [(&str, Lifecycle); 3] = [
    ("in_service", Lifecycle::InService),
    ("terminating", Lifecycle::Draining),
    ("terminated", Lifecycle::Removed),
];

/// Why a line could not be read, or an action not be written.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Fault {
    /// A part that the message needs is absent.
    #[error("{0}: no {1}")]
    Missing(String, &'static str),
    /// A part has a value that it cannot have.
    #[error("{0}: bad {1} {2:?}")]
    Bad(String, &'static str, String),
    /// The settings cannot be read.
    #[error("settings: {0}")]
    Settings(#[from] chutegrade_settings::SettingsError),
    /// An action carries a number that the wire has no form for.
    #[error("action not sendable: {0}")]
    Action(String),
}

/// One line of a batch.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// A batch begins: its clock and number.
    Frame(Micros, u64),
    /// The batch is complete.
    Turn,
    /// What follows belongs to this instance.
    At(u32),
    /// The instance starts.
    Begin(u64, Box<Settings>),
    /// The instance was killed.
    Teardown,
    /// A list of so many rows follows.
    List(EndpointUpdateKind, usize),
    /// A row of a list.
    Row(Endpoint),
    /// An event as the decisions know it.
    Event(Event),
    /// A message this version does not know.
    Unknown,
}

/// The parts of a line, by name.
pub(crate) struct Parts<'a> {
    line: &'a str,
    tag: &'a str,
}

impl<'a> Parts<'a> {
    pub(crate) fn of(line: &'a str) -> Self {
        Parts {
            line,
            tag: line.split('\t').next().unwrap_or(""),
        }
    }
    pub(crate) fn tag(&self) -> &'a str {
        self.tag
    }
    fn text(&self, key: &'static str) -> Result<&'a str, Fault> {
        self.find(key)
            .ok_or_else(|| Fault::Missing(self.tag.to_string(), key))
    }
    fn find(&self, key: &str) -> Option<&'a str> {
        self.line
            .split('\t')
            .skip(1)
            .find_map(|part| part.strip_prefix(key)?.strip_prefix('='))
    }
    fn bad(&self, key: &'static str, text: &str) -> Fault {
        Fault::Bad(self.tag.to_string(), key, text.chars().take(40).collect())
    }
    pub(crate) fn parse<T: std::str::FromStr>(&self, key: &'static str) -> Result<T, Fault> {
        let text = self.text(key)?;
        text.parse().map_err(|_| self.bad(key, text))
    }
    pub(crate) fn number(&self, key: &'static str) -> Result<f64, Fault> {
        let value: f64 = self.parse(key)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.bad(key, &value.to_string()))
        }
    }
    pub(crate) fn count(&self, key: &'static str) -> Result<f64, Fault> {
        let value = self.number(key)?;
        if value >= 0.0 {
            Ok(value)
        } else {
            Err(self.bad(key, &value.to_string()))
        }
    }
    fn time(&self, key: &'static str) -> Result<Micros, Fault> {
        self.number(key).map(Micros::from_ms)
    }
    pub(crate) fn flag(&self, key: &'static str) -> Result<bool, Fault> {
        self.parse::<u8>(key).map(|value| value != 0)
    }
    fn word<T: Copy>(&self, key: &'static str, words: &[(&str, T)]) -> Result<T, Fault> {
        let text = self.text(key)?;
        words
            .iter()
            .find(|(word, _)| *word == text)
            .map(|(_, value)| *value)
            .ok_or_else(|| self.bad(key, text))
    }
    fn load(&self) -> LoadReport {
        chutegrade_settings::parse_load_report(self.find("healthInfo").unwrap_or(""))
    }
    pub(crate) fn server(&self) -> Result<ServerId, Fault> {
        self.parse("server").map(ServerId)
    }
    pub(crate) fn proxy(&self) -> Result<ProxyId, Fault> {
        self.parse("clientLb").map(ProxyId)
    }
    fn zone(&self) -> Result<ZoneId, Fault> {
        self.parse("locality").map(ZoneId)
    }
    pub(crate) fn table(&self) -> Result<TableId, Fault> {
        self.parse("mapId").map(TableId)
    }
}

/// Reads one line.
pub fn parse(line: &str) -> Result<Message, Fault> {
    let p = Parts::of(line);
    let tag = p.tag();
    let event = match tag {
        "frame" => return Ok(Message::Frame(p.time("atTimeMs")?, p.parse("frame")?)),
        "your_turn" => return Ok(Message::Turn),
        "at" => return Ok(Message::At(p.parse("supervisor")?)),
        "begin" => {
            let start = line
                .find("\tenv=")
                .ok_or_else(|| Fault::Missing(tag.to_string(), "env"))?;
            return Ok(Message::Begin(
                p.parse("nonce64")?,
                Box::new(chutegrade_settings::from_text(&line[start + 5..])?),
            ));
        }
        "teardown" => return Ok(Message::Teardown),
        "discovery" => {
            let rows = if p.find("rows").is_some() {
                p.parse("rows")?
            } else {
                0
            };
            return Ok(Message::List(p.word("how", &LIST_KINDS)?, rows));
        }
        "row" => return entry(&p).map(Message::Row),
        "usage" => Event::ProxyDemand {
            proxy: p.proxy()?,
            class: ClassId(p.parse("profile")?),
            arrivals: p.count("total")?,
            failed: p.count("bad")?,
            period: p.time("periodLenMs")?,
        },
        "key_load" => Event::SliceDemand {
            table: p.table()?,
            class: ClassId(p.parse("profile")?),
            arrivals: p.count("total")?,
            failed: p.count("bad")?,
            period: p.time("periodLenMs")?,
        },
        "receipt" => Event::Acknowledged {
            proxy: p.proxy()?,
            sequence: p.parse("gen")?,
            elapsed: p.time("costTimeMs")?,
        },
        "health" => {
            let end = p
                .word("ending", &ENDS)
                .unwrap_or(HealthCheckOutcome::Inconclusive);
            Event::HealthChecked {
                server: p.server()?,
                outcome: end,
                elapsed: p.time("costTimeMs")?,
                load: p.load(),
            }
        }
        "tenure" => Event::SliceOwnership {
            table: p.table()?,
            granted: p.flag("active")?,
        },
        "held" => Event::PublishedWeight {
            table: p.table()?,
            server: p.server()?,
            weight: p.count("weight")?,
        },
        "tally" => Event::ServerOutcomes {
            zone: p.zone()?,
            server: p.server()?,
            attempts: p.count("total")?,
            failed: p.count("bad")?,
            mean_latency_ms: p.count("costTimeMs")?,
            period: p.time("periodLenMs")?,
            load: p.load(),
        },
        "lost_stream" => Event::ProxyLeft(p.proxy()?),
        // Here a bound proxy obeys one instance's withdrawals only: it brings none that cost a line.
        "joined" => Event::ProxyJoined {
            proxy: p.proxy()?,
            zone: p.zone()?,
            request_rate: p.count("weight")?,
            has_previous_table: false,
        },
        "whisper" => {
            let text = p.text("contents")?;
            let data = if text == "-" {
                Ok(Vec::new())
            } else {
                STANDARD.decode(text)
            };
            Event::PeerMessage {
                from: p.parse("from")?,
                data: data.map_err(|_| p.bad("contents", text))?,
            }
        }
        "ring" => Event::Timer(p.parse("handle")?),
        _ => return Ok(Message::Unknown),
    };
    Ok(Message::Event(event))
}

fn entry(p: &Parts) -> Result<Endpoint, Fault> {
    let optional = |key: &'static str| {
        if p.find(key).is_some() {
            p.count(key)
        } else {
            Ok(0.0)
        }
    };
    let started = optional("upSinceMs")?;
    Ok(Endpoint {
        server: p.server()?,
        zone: ZoneId(optional("locality")? as u16),
        machine_kind: optional("familyType")? as u32,
        cell: optional("cluster")? as u32,
        lifecycle: p.word("lifecycle", &LIVES)?,
        weight: if p.find("weight").is_some() {
            p.count("weight")?
        } else {
            1.0
        },
        started_at: (started > 0.0).then(|| Micros::from_ms(started)),
    })
}

fn amount(value: f64) -> Result<f64, Fault> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(Fault::Action(value.to_string()))
    }
}

/// Writes one action as a line, without its end.
pub fn write(action: &Action) -> Result<String, Fault> {
    let bit = u8::from;
    Ok(match action {
        Action::SetWeight {
            table,
            server,
            weight,
        } => {
            format!(
                "endpoint\tmapId={}\tserver={}\tweight={}",
                table.0,
                server.0,
                amount(*weight)?
            )
        }
        Action::ClearTable(table) => format!("wipe\tmapId={}", table.0),
        Action::AssignTable {
            proxy,
            table,
            classes,
        } => {
            format!(
                "point\tclientLb={}\tmapId={}\tclassBits={}",
                proxy.0, table.0, classes.0
            )
        }
        Action::SetSuspended {
            server,
            suspended: out,
        } => {
            format!("suspend\tserver={}\tactive={}", server.0, bit(*out))
        }
        Action::SetAdmission {
            table,
            classes,
            level,
            retry,
        } => format!(
            "allow\tallowance={}\tclassBits={}\tmapId={}\tsecondTry={}",
            amount(*level)?,
            classes.0,
            table.map_or(ALL_TABLES, |t| t.0),
            *retry as u8
        ),
        Action::RequestAcknowledgement {
            sequence: mark,
            all_proxies: everyone,
        } => {
            format!("ask_receipt\tgen={mark}\tactive={}", bit(*everyone))
        }
        Action::HealthCheck(server) => format!("ping\tserver={}", server.0),
        Action::SubscribeEndpoints(on) => format!("subscribe\tactive={}", bit(*on)),
        Action::FetchEndpoints => "list_all".to_string(),
        Action::SetTimer { id, delay: after } => {
            format!(
                "arm\thandle={id}\tfromNowMs={}",
                after.0.max(0) as f64 / 1000.0
            )
        }
        Action::SendToPeer { peer, data } => {
            let to = peer.map_or("all".to_string(), |p| p.to_string());
            let contents = if data.is_empty() {
                "-".to_string()
            } else {
                STANDARD.encode(data)
            };
            format!("notify\trecipient={to}\tcontents={contents}")
        }
        Action::ForgetServer(_) | Action::Reconcile(_) => {
            return Err(Fault::Action(format!("nothing is said of {action:?}")))
        }
        Action::Emit(note) => {
            let told = chutegrade_engine::decision_record(
                note,
                |server| server.0.to_string(),
                |zone| zone.0.to_string(),
            );
            format!("write_log\twhat={}", chutegrade_records::text::line(&told))
        }
    })
}
