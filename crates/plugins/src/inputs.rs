//! What plug-ins see: the fleet as it stood at the last turn, by the field's names. A plain copy, so that the same inputs
//! give the same advice whenever they are played again.

use std::sync::Arc;

/// A server.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Server {
    pub name: Arc<str>,
    pub zone: Arc<str>,
    /// `full`, `reduced` or `withdrawn`.
    pub state: Arc<str>,
    /// `in service`, `draining` or `gone`.
    pub life: Arc<str>,
    pub score: f64,
    pub errors: f64,
    pub latency: f64,
    pub weight: f64,
    /// Share of its capacity that it is sure to have since its start.
    pub warmth: f64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Class {
    pub name: Arc<str>,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: Arc<str>,
    pub worth: f64,
    /// The lowest level in force.
    pub level: f64,
}

/// The fleet in figures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[allow(missing_docs)]
pub struct Fleet {
    pub strain: f64,
    pub refused: f64,
    /// Lines waiting in the channel.
    pub waiting: f64,
    pub streams: f64,
    /// Requests a second of all joined front ends.
    pub demand: f64,
}

/// All that a turn's hooks see.
#[derive(Clone, Debug, Default, PartialEq)]
#[allow(missing_docs)]
pub struct Inputs {
    pub servers: Vec<Server>,
    pub classes: Vec<Class>,
    pub zones: Vec<Arc<str>>,
    pub fleet: Fleet,
}

impl Server {
    /// A server that is well: what a case begins with.
    pub fn well(name: &str, zone: &str) -> Self {
        Server {
            name: name.into(),
            zone: zone.into(),
            state: "full".into(),
            life: "in service".into(),
            score: 1.0,
            errors: 1.0,
            latency: 1.0,
            weight: 1.0,
            warmth: 1.0,
        }
    }
}

impl Class {
    /// A class that may be read again: what a case begins with.
    pub fn plain(name: &str) -> Self {
        Class {
            name: name.into(),
            effect: "safe".into(),
            worth: 1.0,
            level: 1.0,
        }
    }
}
