//! Incident reconstruction: which of the recorded events were faults, when each incident began, what came first, how far it
//! went, and when it was over. Without I/O, from events in order.

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
    /// The endpoint list says that it is draining.
    Draining,
    /// It is warming up.
    WarmingUp,
    /// Nothing is known.
    Unknown,
}

impl ServerStatus {
    /// The status as reports print it.
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

/// An interval of one status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// The begin, in Unix microseconds.
    pub from_us: i64,
    /// The end, in Unix microseconds.
    pub to_us: i64,
    /// The status.
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

/// A fault; there may be several at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A server has a reduced weight, or none.
    Server(String),
    /// Reports show that attempts at a server fail.
    Failing(String),
    /// A zone is partitioned.
    Zone(String),
    /// Requests are rejected.
    LoadShedding,
    /// A reduced service level is in force.
    Reduced(String),
    /// Discovery is unavailable.
    Discovery,
    /// A supervisor crashed or stalled.
    Supervisor(Arc<str>),
}

impl Fault {
    /// The fault in words.
    pub fn line(&self) -> String {
        match self {
            Fault::Server(name) => format!("server {name} out or reduced"),
            Fault::Failing(name) => format!("tries at {name} fail"),
            Fault::Zone(name) => format!("zone {name} cut off"),
            Fault::LoadShedding => "requests refused".to_string(),
            Fault::Reduced(level) => format!("service reduced to {level}"),
            Fault::Discovery => "discovery silent".to_string(),
            Fault::Supervisor(name) => format!("supervisor {name} away"),
        }
    }
}

/// A fault and its begin.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultBegin {
    /// The time, in Unix microseconds.
    pub at_us: i64,
    /// The fault.
    pub fault: Fault,
}

/// An incident: faults that overlap, or follow each other closely.
#[derive(Clone, Debug, PartialEq)]
pub struct Incident {
    /// The begin, in Unix microseconds.
    pub from_us: i64,
    /// When its last fault ended, in Unix microseconds; `None` if it continues.
    pub ended_us: Option<i64>,
    /// The first event, in the words of its record.
    pub first_event: String,
    /// All faults, in the order in which they began.
    pub faults: Vec<FaultBegin>,
    /// Servers that had no weight at some time.
    pub withdrawn: BTreeSet<String>,
}

/// An extreme value, and where it occurred first.
#[derive(Clone, Debug, PartialEq)]
pub struct Extreme {
    /// The value.
    pub value: f64,
    /// The time, in Unix microseconds.
    pub at_us: i64,
    /// The name of the supervisor that recorded it.
    pub supervisor: Arc<str>,
}

/// A server that the endpoint list took out of service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// When, in Unix microseconds.
    pub at_us: i64,
    /// The name of the server.
    pub server: String,
}

/// What the events of an interval amount to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reconstruction {
    /// The incidents, in order.
    pub incidents: Vec<Incident>,
    /// The intended drains, in order.
    pub drains: Vec<Drain>,
    /// The lowest level, by class.
    pub lowest_levels: BTreeMap<String, Extreme>,
    /// The most lines that waited in a channel.
    pub max_waiting: Option<Extreme>,
    /// The largest share of requests that was rejected.
    pub max_rejected: Option<Extreme>,
    /// The number of streams that ended, by reason.
    pub ended_streams: BTreeMap<String, u64>,
    /// The status of servers over time.
    pub server_histories: BTreeMap<ObservedServer, ServerHistory>,
}

#[cfg(test)]
mod tests;
