//! Incident reconstruction: finds faults among recorded events and groups them into incidents with their begin, first
//! event, extent and end. Reads events in order; does no I/O.

mod extremes;
mod faults;
mod reconstruction;
mod server_history;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use reconstruction::{reconstruct, Reconstructor};

/// The status of a server over an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// It serves requests without restrictions.
    Full,
    /// Its weight is reduced because of its score.
    Reduced,
    /// It has no weight.
    Withdrawn,
    /// It is draining according to the endpoint list.
    Draining,
    /// It is warming up.
    WarmingUp,
    /// Nothing is known.
    Unknown,
}

impl ServerStatus {
    /// Returns the name of the status in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            ServerStatus::Full => "full",
            ServerStatus::Reduced => "reduced",
            ServerStatus::Withdrawn => "withdrawn",
            ServerStatus::Draining => "draining",
            ServerStatus::WarmingUp => "cold",
            ServerStatus::Unknown => "unknown",
        }
    }
}

/// An interval in which a server had the same status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// The begin, in Unix microseconds.
    pub from_us: i64,
    /// The end, in Unix microseconds.
    pub to_us: i64,
    /// What the supervisor recorded of the server in this interval.
    pub status: ServerStatus,
}

/// A server as one supervisor sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObservedServer {
    /// The name of the supervisor.
    pub supervisor: Arc<str>,
    /// The name of the server.
    pub server: String,
}

/// The status of a server over time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerHistory {
    /// The zone of the server.
    pub zone: String,
    /// The intervals, in order.
    pub spans: Vec<Span>,
}

/// A fault. Several may be present at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A server has a reduced weight, or none.
    Server(String),
    /// Most attempts at a server fail, according to load reports.
    Failing(String),
    /// A zone is partitioned.
    Zone(String),
    /// A share of requests is rejected.
    LoadShedding,
    /// A reduced service level is in force.
    ReducedServiceLevel(String),
    /// Discovery is unavailable.
    Discovery,
    /// A supervisor crashed or stalled.
    Supervisor(Arc<str>),
}

impl Fault {
    /// Returns a short description for reports.
    pub fn line(&self) -> String {
        match self {
            Fault::Server(name) => format!("server {name} withdrawn or reduced"),
            Fault::Failing(name) => format!("attempts at {name} fail"),
            Fault::Zone(name) => format!("zone {name} partitioned"),
            Fault::LoadShedding => "requests rejected".to_string(),
            Fault::ReducedServiceLevel(level) => format!("service reduced to {level}"),
            Fault::Discovery => "discovery unavailable".to_string(),
            Fault::Supervisor(name) => format!("supervisor {name} crashed or stalled"),
        }
    }
}

/// The first time that a fault occurred in an incident.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultBegin {
    /// The time, in Unix microseconds.
    pub at_us: i64,
    /// What failed.
    pub fault: Fault,
}

/// An incident: faults that overlap or follow each other closely.
#[derive(Clone, Debug, PartialEq)]
pub struct Incident {
    /// The begin, in Unix microseconds.
    pub from_us: i64,
    /// The end of its last fault, in Unix microseconds; `None` if it continues.
    pub ended_us: Option<i64>,
    /// The supervisor and the text of the first event.
    pub first_event: String,
    /// All faults, each once, in the order in which they began.
    pub faults: Vec<FaultBegin>,
    /// Names of servers that had no weight at some time.
    pub withdrawn: BTreeSet<String>,
}

/// An extreme value, with the time and supervisor of its first occurrence.
#[derive(Clone, Debug, PartialEq)]
pub struct Extreme {
    /// A number of lines, a share or a level, depending on the field that holds it.
    pub value: f64,
    /// The time, in Unix microseconds.
    pub at_us: i64,
    /// The name of the supervisor that recorded it.
    pub supervisor: Arc<str>,
}

/// A server that began to drain according to the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The time at which it began to drain, in Unix microseconds.
    pub at_us: i64,
    /// The name of the server.
    pub server: String,
}

/// The incidents, extreme values and server histories of an interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reconstruction {
    /// The incidents, in order.
    pub incidents: Vec<Incident>,
    /// The servers that began to drain in the interval, each once, in order.
    pub drains: Vec<Drain>,
    /// The lowest admission level, by class.
    pub lowest_levels: BTreeMap<String, Extreme>,
    /// The maximum number of lines queued in a channel; `None` without metrics.
    pub max_waiting: Option<Extreme>,
    /// The maximum share of requests that were rejected; `None` if there were none.
    pub max_rejected: Option<Extreme>,
    /// The number of streams that ended, by reason.
    pub ended_streams: BTreeMap<String, u64>,
    /// The status of servers over time.
    pub server_histories: BTreeMap<ObservedServer, ServerHistory>,
}

#[cfg(test)]
mod tests;
