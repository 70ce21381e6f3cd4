//! The inputs of plug-ins: a copy of the fleet's state for one evaluation. The same inputs give the same advice when an
//! evaluation is repeated.

use std::sync::Arc;

/// The fields of a server in the hook language.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Server {
    pub name: Arc<str>,
    pub zone: Arc<str>,
    /// `full`, `reduced` or `withdrawn`.
    pub state: Arc<str>,
    /// `in service`, `draining` or `gone`. The language calls it `life`.
    pub lifecycle: Arc<str>,
    pub score: f64,
    pub errors: f64,
    pub latency: f64,
    pub weight: f64,
    /// Share of its capacity that it is certain to have, by the time since its start, from 0 to 1.
    pub warmth: f64,
}

/// The fields of a request class in the hook language.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Class {
    pub name: Arc<str>,
    /// `safe`, `keyed` or `unsafe`. The language calls it `effect`.
    pub idempotency: Arc<str>,
    /// The language calls it `worth`.
    pub priority_weight: f64,
    /// The lowest share of its requests that any table admits, from 0 to 1. The language calls it `level`.
    pub admitted_share: f64,
}

/// The fields of the whole fleet in the hook language.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[allow(missing_docs)]
pub struct Fleet {
    /// The language calls it `strain`.
    pub saturation: f64,
    pub refused: f64,
    /// Lines queued in the channel.
    pub waiting: f64,
    pub streams: f64,
    /// Requests per second of all joined proxies.
    pub demand: f64,
}

/// All that the hooks can read in one evaluation. Servers, classes and zones are identified by their positions here.
#[derive(Clone, Debug, Default, PartialEq)]
#[allow(missing_docs)]
pub struct Inputs {
    pub servers: Vec<Server>,
    pub classes: Vec<Class>,
    pub zones: Vec<Arc<str>>,
    pub fleet: Fleet,
}

impl Server {
    /// Creates a healthy server, with which a test case starts.
    pub fn healthy(name: &str, zone: &str) -> Self {
        Server {
            name: name.into(),
            zone: zone.into(),
            state: "full".into(),
            lifecycle: "in service".into(),
            score: 1.0,
            errors: 1.0,
            latency: 1.0,
            weight: 1.0,
            warmth: 1.0,
        }
    }
}

impl Class {
    /// Creates a class of idempotent requests that are all admitted, with which a test case starts.
    pub fn idempotent(name: &str) -> Self {
        Class {
            name: name.into(),
            idempotency: "safe".into(),
            priority_weight: 1.0,
            admitted_share: 1.0,
        }
    }
}
