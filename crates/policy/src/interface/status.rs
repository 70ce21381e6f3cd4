//! Reports of the decisions: health states, decision events and status figures.

use super::{Endpoint, Lifecycle, Micros, ServerId, TableId, ZoneId};

/// The health state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthState {
    /// Its score does not reduce its weight, which may still grow after a recovery or a start.
    #[default]
    Full,
    /// Its weight is reduced by its score or by the slowdown of its health checks.
    Reduced,
    /// Its weight is 0: it is ejected.
    Withdrawn,
}

/// The cause of a change of health state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChangeCause {
    /// Both terms of the score alike.
    Score,
    /// Mostly failed attempts.
    Errors,
    /// Mostly a latency regression.
    Latency,
    /// Mostly failed health checks.
    HealthChecks,
    /// The ejection period elapsed: the server is re-admitted with little traffic.
    EjectionElapsed,
    /// Enough consecutive good ticks.
    SustainedRecovery,
}

/// The terms of a server's score, each from 0 to 1, where 1 means no faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScoreTerms {
    /// Error term: failed attempts and health checks.
    pub errors: f64,
    /// Latency term: response and health check times.
    pub latency: f64,
}

/// A decision, as reported to logs and records.
#[derive(Clone, Debug, PartialEq)]
pub enum DecisionEvent {
    /// A server's health state changed.
    HealthChanged {
        /// The server whose state changed.
        server: ServerId,
        /// The zone that it runs in.
        zone: ZoneId,
        /// Its new state.
        state: HealthState,
        /// Its smoothed score.
        score: f64,
        /// The error term of its score, where 1 means no faults.
        errors: f64,
        /// The latency term of its score.
        latency: f64,
        /// The cause of the change.
        cause: HealthChangeCause,
    },
    /// The lifecycle of a server changed in the endpoint list.
    LifecycleChanged {
        /// The server whose entry changed.
        server: ServerId,
        /// The zone that it runs in.
        zone: ZoneId,
        /// Its new lifecycle.
        lifecycle: Lifecycle,
    },
    /// Warming servers are withheld from tables, or re-admitted.
    WarmingWithheld {
        /// Whether they are withheld.
        withheld: bool,
        /// Attempts per successful response.
        attempts_per_answer: f64,
    },
    /// Hardly any server of a zone answers health checks while most of another zone do, or the zone is reachable again.
    ZonePartition {
        /// The affected zone.
        zone: ZoneId,
        /// Whether it is partitioned from this instance.
        partitioned: bool,
        /// Share of its servers that do not answer health checks; 0 if it is reachable.
        unanswered_share: f64,
    },
    /// The share of requests to shed, rounded to tenths, changed.
    Saturation {
        /// The share of requests to shed.
        shed_share: f64,
        /// The smoothed saturation.
        saturation: f64,
        /// Its term from the queues or the utilization that servers report; 0 without reports.
        queue_term: f64,
        /// Its term from the latency of health checks.
        latency_term: f64,
        /// Its term from unanswered health checks.
        unanswered_term: f64,
    },
    /// Advice on a table's servers is overruled, since it would leave too little capacity, or it applies again.
    AdviceOverruled {
        /// The affected table.
        table: TableId,
        /// Whether it is overruled.
        overruled: bool,
    },
    /// The number of shards or the layout of their tables changed.
    Resharded {
        /// The number of shards.
        shards: usize,
        /// Whether tables are narrowed because attempts fail everywhere.
        narrowed: bool,
    },
}

/// The health and weight of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStatus {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Its health state.
    pub state: HealthState,
    /// Its smoothed score.
    pub score: f64,
    /// The terms of its score at the last tick.
    pub terms: ScoreTerms,
    /// Its weight, before the adjustments for each table.
    pub weight: f64,
    /// Share of its capacity that it is certain to have, by the time since its start.
    pub warm_up_share: f64,
    /// Whether it is suspended in all tables.
    pub suspended: bool,
}

/// Figures of the whole fleet and of the channel.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetStatus {
    /// Lines queued in the channel.
    pub queued_lines: f64,
    /// Time until they are sent, at the channel's current send rate.
    pub queue_delay: Micros,
    /// Share of requests to shed.
    pub shed_share: f64,
    /// The smoothed saturation.
    pub saturation: f64,
    /// Requests per second that arrive at all joined proxies.
    pub request_rate: f64,
    /// Sum of the weights of the servers with full capacity.
    pub warm_weight: f64,
    /// Share of the zones that are partitioned from this instance.
    pub partitioned_share: f64,
    /// The lowest level of each class in any table, as a share; a rate is divided by the demand of the busiest proxy.
    pub admitted_shares: Vec<f64>,
}
