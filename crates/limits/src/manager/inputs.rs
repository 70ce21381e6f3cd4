//! Input of the overload manager.

/// Requests of a class that arrived at a proxy, as reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Identifier of the reporting proxy.
    pub proxy: u32,
    /// Position of the class.
    pub class: usize,
    /// Requests that arrived.
    pub arrivals: f64,
    /// Admitted requests without a response.
    pub failed: f64,
}

impl Demand {
    pub(super) fn is_valid(&self) -> bool {
        self.arrivals.is_finite() && self.failed.is_finite() && self.arrivals >= 0.0
    }
}

/// Attempts of proxies at a server, as reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Attempts that ended.
    pub attempts: f64,
    /// Attempts that did not succeed.
    pub failed: f64,
    /// Mean latency of successful attempts, in milliseconds.
    pub mean_latency_ms: f64,
    /// Requests queued at the server, if reported.
    pub queued: Option<f64>,
}

impl Outcome {
    pub(super) fn is_valid(&self) -> bool {
        [self.attempts, self.failed, self.mean_latency_ms]
            .iter()
            .all(|value| value.is_finite() && *value >= 0.0)
    }
}

/// The inputs of one evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inputs {
    /// Time of the evaluation, in microseconds.
    pub now_us: i64,
    /// When the newest report or health check was received, in microseconds.
    pub last_report_at_us: Option<i64>,
    /// Time that a report covers, in microseconds.
    pub report_period_us: i64,
    /// Saturation of the fleet, as the policy estimates it, 0 to 1.
    pub saturation: f64,
    /// Share of each class that the policy admits, by position.
    pub admitted_shares: Vec<f64>,
    /// Total weight of the warm servers.
    pub warm_weight: f64,
    /// Share of the zones that are partitioned.
    pub partitioned_share: f64,
    /// Reports of proxies since the last evaluation.
    pub demand: Vec<Demand>,
    /// Reports on servers since the last evaluation.
    pub outcomes: Vec<Outcome>,
}

impl Inputs {
    /// Returns the time that new reports describe, which is the middle of the period that they cover, in microseconds.
    pub(super) fn described_time_us(&self) -> i64 {
        self.now_us.saturating_sub(self.report_period_us / 2)
    }

    /// Returns the mean queue length over the servers that report one.
    pub(super) fn mean_queue_length(&self) -> Option<f64> {
        let mut total = 0.0;
        let mut count = 0.0;
        let reported = self.outcomes.iter().filter_map(|outcome| outcome.queued);
        for queued in reported.filter(|queued| queued.is_finite()) {
            total += queued;
            count += 1.0;
        }
        (count > 0.0).then_some(total / count)
    }
}
