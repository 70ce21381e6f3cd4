//! Reduced service: a ladder of named levels with stated conditions, a limit on the work let in that is found by
//! measurement, budgets for repeated attempts, and the front ends that bring most of it. No I/O, no clock, no randomness:
//! what comes out follows from what went in. Nothing here orders anything; it reaches tables through the decision module.

pub mod arrival_rates;
pub mod concurrency_limiter;
pub mod condition;
pub mod default_levels;
pub mod heavy_hitters;
pub mod manager;
pub mod retry_budget;
pub mod service_levels;
pub mod signals;
pub mod transitions;

/// The types of the schema, as generated.
#[allow(missing_docs, clippy::all)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/chutegrade.limits.v1.rs"));
}

/// The encoded schema, for readers of messages that hold limits.
pub const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/limits.bin"));

pub use manager::{ClassShare, Evaluation, Inputs, OverloadConfig, OverloadManager, ShedShares};
pub use service_levels::{ConfigError, ServiceLevel, ServiceLevels};
pub use signals::{Observation, Signal, SignalWindow};
pub use transitions::{LevelTransition, LevelTransitions, TransitionReason};

/// A class of requests, as limits need it.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What an answer in time is worth.
    pub priority_weight: f64,
    /// Answers within this time earn it, in seconds; what stands for the work of a request.
    pub latency_objective_seconds: f64,
    /// The client gives up after this time, in seconds.
    pub deadline_seconds: f64,
    /// What a second run would do.
    pub idempotency: Idempotency,
}

impl Class {
    /// Worth for its time: what goes first when something must.
    pub fn value(&self) -> f64 {
        self.priority_weight / self.latency_objective_seconds.max(1e-3)
    }
}

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Nothing more than the first.
    Idempotent,
    /// Dropped as a repeat by all servers for this long after the first try was sent, in seconds; elsewhere not at all.
    Keyed(f64),
    /// The effect would happen twice.
    NotIdempotent,
}

/// The order of classes in which service is reduced: the least worth for its time first.
pub fn lowest_priority_first(classes: &[Class]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..classes.len()).collect();
    order.sort_by(|a, b| {
        classes[*a]
            .value()
            .total_cmp(&classes[*b].value())
            .then(a.cmp(b))
    });
    order
}
