//! What load reports, outcomes and health checks show of one server, decaying with time.

use std::collections::BTreeMap;

use crate::interface::{LoadReport, Micros, ZoneId};
use crate::statistics::{clamp_to_unit, DecayingMean, Ramp};

/// Half-life of outcomes and health checks, in seconds: a few report periods, since one holds few attempts.
pub(super) const OUTCOME_HALF_LIFE_SECONDS: f64 = 1.5;
/// Half-life of what shows speeds and arrival rates, in seconds: reports are noisy.
pub(super) const RATE_HALF_LIFE_SECONDS: f64 = 12.0;
/// Half-life of the arrivals of each class, in seconds.
pub(super) const ARRIVAL_HALF_LIFE_SECONDS: f64 = 2.0 * OUTCOME_HALF_LIFE_SECONDS;
/// Attempts of the fleet's usual quality that are mixed into each server's, so that thin evidence says little.
pub(super) const PRIOR_ATTEMPTS: f64 = 4.0;
/// Idle load reports that are mixed into a server's saturation, so that it ends once reports stop.
const PRIOR_IDLE_REPORTS: f64 = 0.5;
/// Mean queue, in requests, at which a server counts as saturated in part and in full.
const QUEUE_SATURATION: Ramp = Ramp { from: 1.0, to: 4.0 };
/// Utilization of the cores at which a server counts as saturated in part and in full.
const UTILIZATION_SATURATION: Ramp = Ramp {
    from: 0.85,
    to: 0.95,
};
/// Power of its speed by which a health check counts: a quick one did not wait in a queue.
const CHECK_SPEED_EXPONENT: i32 = 3;
/// The least share of a health check's duration that counts as spent at the server, whatever the network delay.
const MIN_SERVER_TIME_SHARE: f64 = 0.25;
/// Lower bound on the duration of a health check, in seconds, so that its speed is finite.
const MIN_CHECK_SECONDS: f64 = 1e-6;

/// Attempts of the proxies of one zone at a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneEvidence {
    /// Failed attempts over all attempts.
    pub failures: DecayingMean,
    /// Latency of the successful attempts, in milliseconds.
    pub latency_ms: DecayingMean,
}

/// The outcomes of one report.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptCounts {
    /// Attempts that ended.
    pub attempts: f64,
    /// Attempts that failed.
    pub failed: f64,
    /// Mean latency of the successful ones, in milliseconds.
    pub mean_latency_ms: f64,
}

/// What shows the speed of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpeedEvidence {
    /// Health checks per second of their own duration.
    pub checks: DecayingMean,
    /// The same, by how much work the server had.
    pub checks_under_load: DecayingMean,
    /// Reported service time, in milliseconds.
    pub service_ms: DecayingMean,
}

impl SpeedEvidence {
    fn decay(&mut self, elapsed_seconds: f64) {
        for mean in [
            &mut self.checks,
            &mut self.checks_under_load,
            &mut self.service_ms,
        ] {
            mean.decay(elapsed_seconds, RATE_HALF_LIFE_SECONDS);
        }
    }
}

/// All that was observed of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// Outcomes, by zone of the proxies.
    pub by_proxy_zone: BTreeMap<ZoneId, ZoneEvidence>,
    /// Successful attempts since the ceiling of the server's weight last grew.
    pub successes_since_growth: f64,
    /// Its usual speed.
    pub speed: SpeedEvidence,
    /// Speed of its recent health checks.
    pub recent_check_speed: DecayingMean,
    /// Saturation by its load reports.
    pub saturation: DecayingMean,
    /// Duration of its fastest health check, in seconds; 0 while none passed.
    pub fastest_check_seconds: f64,
    last_load: LoadReport,
}

impl Evidence {
    /// Takes in the outcomes of attempts of one zone's proxies.
    pub fn record_outcomes(&mut self, proxy_zone: ZoneId, counts: AttemptCounts) {
        let succeeded = (counts.attempts - counts.failed).max(0.0);
        let zone = self.by_proxy_zone.entry(proxy_zone).or_default();
        zone.failures
            .add(counts.failed.min(counts.attempts), counts.attempts);
        zone.latency_ms
            .add(succeeded * counts.mean_latency_ms, succeeded);
        self.successes_since_growth += succeeded;
    }

    /// Takes in a load report.
    pub fn record_load(&mut self, load: &LoadReport) {
        let by_utilization = load
            .utilization
            .map(|utilization| UTILIZATION_SATURATION.at(utilization));
        let by_queue = load.queued.map(|queued| QUEUE_SATURATION.at(queued));
        if let Some(saturation) = by_queue.or(by_utilization) {
            self.saturation.add(saturation, 1.0);
        }
        // A repeated report is no new observation of the speed.
        let is_new = std::mem::replace(&mut self.last_load, *load) != *load;
        if let Some(service_ms) = load.latency_ms.filter(|ms| is_new && *ms > 0.0) {
            // Reports without queueing show the speed best.
            let weight = 1.0 / (1.0 + load.queued.unwrap_or(0.0));
            self.speed.service_ms.add(service_ms * weight, weight);
        }
    }

    /// Takes in the duration of a health check that passed; `network_seconds` of it is the delay to the server's zone.
    pub fn record_passed_check(&mut self, elapsed: Micros, network_seconds: f64) {
        let seconds = elapsed.secs();
        let at_server = (seconds - network_seconds)
            .max(seconds * MIN_SERVER_TIME_SHARE)
            .max(MIN_CHECK_SECONDS);
        let speed = 1.0 / at_server;
        let weight = speed.powi(CHECK_SPEED_EXPONENT);
        let weighted_speed = speed.powi(CHECK_SPEED_EXPONENT + 1);
        self.speed.checks.add(weighted_speed, weight);
        // A server that idled, as a new one does, would pass for saturated once it has work.
        let activity = self.recent_activity();
        self.speed
            .checks_under_load
            .add(activity * weighted_speed, activity * weight);
        self.recent_check_speed.add(speed, 1.0);
        self.fastest_check_seconds = if self.fastest_check_seconds > 0.0 {
            self.fastest_check_seconds.min(seconds)
        } else {
            seconds
        };
    }

    /// How far recent load reports show the server saturated, from 0 to 1; 0 once reports stop.
    pub fn saturation_with_prior(&self) -> f64 {
        self.saturation.sum / (self.saturation.weight + PRIOR_IDLE_REPORTS)
    }

    /// How many times longer health checks take now than they usually do.
    pub fn slowdown(&self) -> Option<f64> {
        let baseline_speed = self.speed.checks.positive_mean()?;
        Some(baseline_speed / self.recent_check_speed.positive_mean()?)
    }

    /// How many times longer health checks take now than they usually do while the server has work.
    pub fn slowdown_under_load(&self) -> Option<f64> {
        let baseline_speed = self.speed.checks_under_load.positive_mean()?;
        Some(baseline_speed / self.recent_check_speed.positive_mean()?)
    }

    /// Lets time pass.
    pub fn decay(&mut self, elapsed_seconds: f64) {
        for zone in self.by_proxy_zone.values_mut() {
            zone.failures
                .decay(elapsed_seconds, OUTCOME_HALF_LIFE_SECONDS);
            zone.latency_ms
                .decay(elapsed_seconds, OUTCOME_HALF_LIFE_SECONDS);
        }
        self.saturation
            .decay(elapsed_seconds, OUTCOME_HALF_LIFE_SECONDS);
        self.recent_check_speed
            .decay(elapsed_seconds, OUTCOME_HALF_LIFE_SECONDS);
        self.speed.decay(elapsed_seconds);
    }

    /// Whether the server has had attempts lately, from 0 to 1.
    fn recent_activity(&self) -> f64 {
        self.by_proxy_zone
            .values()
            .map(|zone| clamp_to_unit(zone.failures.weight))
            .fold(0.0, f64::max)
    }
}
