//! Smoothed rates of arrivals and outcomes, and summaries of them.

use super::inputs::{Inputs, Outcome};
use crate::Class;

/// Weight of the newest report in the smoothed rates: smooths bursty reports, yet follows half of a change immediately.
const NEWEST_REPORT_WEIGHT: f64 = 0.5;
/// Number of requests at which a signal derived from them has full confidence.
const FULL_CONFIDENCE_REQUESTS: f64 = 20.0;
/// Mean latency, as a multiple of the objective, up to which all responses count as in time. Above it, the share falls
/// linearly, to 0 at a multiple greater by 1.
const MAX_IN_TIME_LATENCY_RATIO: f64 = 0.5;

/// Rates per second, smoothed.
#[derive(Clone, Debug)]
pub(super) struct TrafficRates {
    /// Arrivals by class.
    pub arrivals: Vec<f64>,
    /// Admitted requests by class.
    pub admitted: Vec<f64>,
    /// Admitted requests without a response, by class.
    pub unanswered: Vec<f64>,
    /// Attempts that ended.
    pub attempts: f64,
    pub successes: f64,
    /// Attempts that succeeded within the latency objective.
    pub successes_in_time: f64,
    /// Mean latency of successful attempts, in milliseconds.
    pub mean_latency_ms: f64,
}

/// Rates of all classes together, per second. Work is requests times their latency objective.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrafficSummary {
    pub arrivals: f64,
    pub admitted: f64,
    pub shed: f64,
    pub shed_share: f64,
    /// Requests that were admitted and got no response.
    pub unanswered: f64,
    pub offered_work: f64,
    pub admitted_work: f64,
    pub completed_work: f64,
    /// Share of admitted requests without a response in time.
    pub late_share: f64,
}

impl TrafficSummary {
    /// Returns the confidence in signals derived from this many seconds of traffic, 0 to 1.
    pub fn confidence(&self, seconds: f64) -> f64 {
        (self.admitted * seconds / FULL_CONFIDENCE_REQUESTS).min(1.0)
    }
}

impl TrafficRates {
    /// Creates rates without traffic.
    pub fn new(class_count: usize) -> Self {
        TrafficRates {
            arrivals: vec![0.0; class_count],
            admitted: vec![0.0; class_count],
            unanswered: vec![0.0; class_count],
            attempts: 0.0,
            successes: 0.0,
            successes_in_time: 0.0,
            mean_latency_ms: 0.0,
        }
    }

    /// Adds reports that cover `seconds`.
    pub fn update(&mut self, inputs: &Inputs, classes: &[Class], seconds: f64) {
        if !inputs.demand.is_empty() {
            self.update_demand(inputs, seconds);
        }
        if !inputs.outcomes.is_empty() {
            self.update_outcomes(inputs, classes, seconds);
        }
    }

    fn update_demand(&mut self, inputs: &Inputs, seconds: f64) {
        let class_count = self.arrivals.len();
        let mut arrivals = vec![0.0; class_count];
        let mut unanswered = vec![0.0; class_count];
        let known = inputs
            .demand
            .iter()
            .filter(|demand| demand.class < class_count && demand.is_valid());
        for demand in known {
            arrivals[demand.class] += demand.arrivals;
            unanswered[demand.class] += demand.failed.clamp(0.0, demand.arrivals);
        }
        for class in 0..class_count {
            let admitted_share = inputs.admitted_shares.get(class).copied().unwrap_or(1.0);
            let admitted = admitted_share * arrivals[class];
            smooth(&mut self.arrivals[class], arrivals[class] / seconds);
            smooth(&mut self.unanswered[class], unanswered[class] / seconds);
            smooth(&mut self.admitted[class], admitted / seconds);
        }
    }

    fn update_outcomes(&mut self, inputs: &Inputs, classes: &[Class], seconds: f64) {
        let objective_ms = self.mean_latency_objective_ms(classes);
        let mut attempts = 0.0;
        let mut successes = 0.0;
        let mut successes_in_time = 0.0;
        let mut latency_sum_ms = 0.0;
        for outcome in inputs.outcomes.iter().filter(|outcome| outcome.is_valid()) {
            let succeeded = (outcome.attempts - outcome.failed).max(0.0);
            attempts += outcome.attempts;
            successes += succeeded;
            latency_sum_ms += succeeded * outcome.mean_latency_ms;
            successes_in_time += succeeded * (1.0 - late_share(outcome, objective_ms));
        }
        let mean_latency_ms = ratio_or_zero(latency_sum_ms, successes);
        smooth(&mut self.attempts, attempts / seconds);
        smooth(&mut self.successes, successes / seconds);
        smooth(&mut self.successes_in_time, successes_in_time / seconds);
        smooth(&mut self.mean_latency_ms, mean_latency_ms);
    }

    /// Returns the latency objective of the mean arrival, in milliseconds; 0 without arrivals.
    fn mean_latency_objective_ms(&self, classes: &[Class]) -> f64 {
        let work = work(&self.arrivals, classes);
        let arrivals: f64 = self.arrivals.iter().sum();
        ratio_or_zero(1000.0 * work, arrivals)
    }

    /// Sums up all classes.
    pub fn summary(&self, classes: &[Class]) -> TrafficSummary {
        let arrivals: f64 = self.arrivals.iter().sum();
        let admitted: f64 = self.admitted.iter().sum();
        let admitted_work = work(&self.admitted, classes);
        let answered_share = ratio_or_zero(self.successes, admitted).min(1.0);
        let in_time_share = ratio_or_zero(self.successes_in_time, admitted).min(1.0);
        let shed = (arrivals - admitted).max(0.0);
        TrafficSummary {
            arrivals,
            admitted,
            shed,
            shed_share: ratio_or_zero(shed, arrivals),
            unanswered: self.unanswered.iter().sum(),
            offered_work: work(&self.arrivals, classes),
            admitted_work,
            completed_work: admitted_work * answered_share,
            late_share: 1.0 - in_time_share,
        }
    }
}

/// Returns the work of requests by class, estimated by their latency objectives, in seconds.
pub(super) fn work(requests: &[f64], classes: &[Class]) -> f64 {
    requests
        .iter()
        .zip(classes)
        .map(|(requests, class)| requests * class.latency_objective_seconds)
        .sum()
}

/// Returns the quotient, or 0 if the divisor is not positive.
pub(super) fn ratio_or_zero(dividend: f64, divisor: f64) -> f64 {
    if divisor > 0.0 {
        dividend / divisor
    } else {
        0.0
    }
}

/// Estimates the share of responses beyond the objective from their mean latency.
fn late_share(outcome: &Outcome, objective_ms: f64) -> f64 {
    if objective_ms > 0.0 {
        (outcome.mean_latency_ms / objective_ms - MAX_IN_TIME_LATENCY_RATIO).clamp(0.0, 1.0)
    } else {
        0.0
    }
}

fn smooth(rate: &mut f64, newest: f64) {
    *rate += NEWEST_REPORT_WEIGHT * (newest - *rate);
}
