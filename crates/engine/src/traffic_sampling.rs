//! Samples of reported traffic for the overload manager; disabled by default, and bounded.

use chutegrade_limits::manager::{Demand, Outcome};
use chutegrade_policy::Micros;

/// Maximum number of reports of each kind in one sample: a few seconds of the largest deployments.
const MAX_SAMPLED_REPORTS: usize = 50_000;

/// Traffic that was reported since the last sample.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficSample {
    /// Time of the first tick after the newest report or health check result; `None` before the first one.
    pub last_report_at: Option<Micros>,
    /// Arrived and failed requests, one entry for each report.
    pub demand: Vec<Demand>,
    /// Completed attempts, one entry for each report.
    pub outcomes: Vec<Outcome>,
}

impl TrafficSample {
    /// Returns the sample and starts a new one, which retains the time of the last report.
    pub fn take(&mut self) -> Self {
        let next = TrafficSample {
            last_report_at: self.last_report_at,
            ..TrafficSample::default()
        };
        std::mem::replace(self, next)
    }
}

/// Collects a [`TrafficSample`] once enabled.
#[derive(Debug, Default)]
pub(crate) struct TrafficSampler {
    enabled: bool,
    has_report_since_tick: bool,
    sample: TrafficSample,
}

impl TrafficSampler {
    /// Enables the collection; reports before that are not sampled.
    pub fn enable(&mut self) {
        self.enabled = true;
    }

    /// Notes the arrival of a report or health check result, which the next tick timestamps.
    pub fn record_report(&mut self) {
        self.has_report_since_tick = true;
    }

    /// Adds the demand at a proxy to the sample.
    pub fn record_demand(&mut self, demand: Demand) {
        if self.enabled && self.sample.demand.len() < MAX_SAMPLED_REPORTS {
            self.sample.demand.push(demand);
        }
    }

    /// Adds outcomes of attempts to the sample.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        if self.enabled && self.sample.outcomes.len() < MAX_SAMPLED_REPORTS {
            self.sample.outcomes.push(outcome);
        }
    }

    /// Timestamps the reports since the last tick.
    pub fn tick(&mut self, now: Micros) {
        if std::mem::take(&mut self.has_report_since_tick) {
            self.sample.last_report_at = Some(now);
        }
    }

    /// Returns the sample and starts a new one, which retains the time of the last report.
    pub fn take(&mut self) -> TrafficSample {
        self.sample.take()
    }
}
