//! Classes of requests, their idempotency and their retry policies.

use super::Micros;

/// The effect of running a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run has no further effect.
    Idempotent,
    /// Requests carry an idempotency key, by which the servers of the scope drop a duplicate for this long after the
    /// first attempt was sent.
    Keyed(DeduplicationScope, Micros),
    /// A second run repeats the effect.
    NotIdempotent,
}

/// The servers among which an idempotency key is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// When a proxy retries a request at another server. Ordered from the narrowest permission to the widest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Retry {
    /// No retries.
    #[default]
    Never,
    /// Once, after proof that the first attempt was not executed.
    IfNotExecuted,
    /// Once, after any failure.
    Once,
    /// Twice, after any failure.
    Twice,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: a response within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// The client gives up after this time, all attempts included.
    pub deadline: Micros,
    /// Value of a response within the objective, relative to the other classes.
    pub priority_weight: f64,
    /// Determines which retries are safe.
    pub idempotency: Idempotency,
    /// Served only by servers in the proxy's own zone.
    pub zone_local: bool,
}
