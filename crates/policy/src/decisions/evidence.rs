//! Evidence on one server from load reports, outcomes and health checks, decaying with time.

use std::collections::BTreeMap;

use crate::interface::{LoadReport, Micros, ZoneId};
use crate::statistics::{clamp_to_unit, DecayingMean, Ramp};

/// Half-life of outcomes and health checks, in seconds: a few report periods, since one period has few attempts.
pub(super) const OUTCOME_HALF_LIFE_SECONDS: f64 = 1.5;
/// Half-life of evidence on speeds and arrival rates, in seconds: longer, since reports are noisy.
pub(super) const RATE_HALF_LIFE_SECONDS: f64 = 12.0;
/// Half-life of the arrivals of each class, in seconds.
pub(super) const ARRIVAL_HALF_LIFE_SECONDS: f64 = 2.0 * OUTCOME_HALF_LIFE_SECONDS;
/// Number of attempts of reference quality that are added to each server's, so that little evidence has little effect.
pub(super) const PRIOR_ATTEMPTS: f64 = 4.0;
/// Number of idle load reports that are added to a server's, so that its saturation ends once reports stop.
const PRIOR_IDLE_REPORTS: f64 = 0.5;
/// Reported queue, in requests, from which a server counts as partly saturated and from which as fully saturated.
const QUEUE_SATURATION: Ramp = Ramp { from: 1.0, to: 4.0 };
/// Utilization of the cores from which a server counts as partly saturated and from which as fully saturated.
const UTILIZATION_SATURATION: Ramp = Ramp {
    from: 0.85,
    to: 0.95,
};
/// Exponent of a health check's speed in its weight: fast checks count more, since they did not wait in a queue.
const CHECK_SPEED_EXPONENT: i32 = 3;
/// Least share of a health check's duration that counts as spent at the server, for any network delay.
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

/// The attempts of one report.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptCounts {
    /// Attempts that ended.
    pub attempts: f64,
    /// Attempts that failed.
    pub failed: f64,
    /// Mean latency of the successful ones, in milliseconds.
    pub mean_latency_ms: f64,
}

/// Evidence on the speed of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpeedEvidence {
    /// Health checks per second of their own duration.
    pub checks: DecayingMean,
    /// The same, weighted by the recent activity of the server.
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

/// All observations of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// Outcomes, by zone of the proxies.
    pub by_proxy_zone: BTreeMap<ZoneId, ZoneEvidence>,
    /// Number of successful attempts since the ceiling of the server's weight last grew.
    pub successes_since_growth: f64,
    /// Its longer-term speed.
    pub speed: SpeedEvidence,
    /// Speed of its recent health checks.
    pub recent_check_speed: DecayingMean,
    /// Saturation according to its load reports.
    pub saturation: DecayingMean,
    /// Duration of its fastest health check, in seconds; 0 until one passed.
    pub fastest_check_seconds: f64,
    last_load: LoadReport,
}

impl Evidence {
    /// Records outcomes of attempts of one zone's proxies.
    pub fn record_outcomes(&mut self, proxy_zone: ZoneId, counts: AttemptCounts) {
        let succeeded = (counts.attempts - counts.failed).max(0.0);
        let zone = self.by_proxy_zone.entry(proxy_zone).or_default();
        zone.failures
            .add(counts.failed.min(counts.attempts), counts.attempts);
        zone.latency_ms
            .add(succeeded * counts.mean_latency_ms, succeeded);
        self.successes_since_growth += succeeded;
    }

    /// Records a load report.
    pub fn record_load(&mut self, load: &LoadReport) {
        let by_utilization = load
            .utilization
            .map(|utilization| UTILIZATION_SATURATION.at(utilization));
        let by_queue = load.queued.map(|queued| QUEUE_SATURATION.at(queued));
        if let Some(saturation) = by_queue.or(by_utilization) {
            self.saturation.add(saturation, 1.0);
        }
        // A repeated report is not a new observation of the speed.
        let is_new = std::mem::replace(&mut self.last_load, *load) != *load;
        if let Some(service_ms) = load.latency_ms.filter(|ms| is_new && *ms > 0.0) {
            // Reports without queueing are the most reliable.
            let weight = 1.0 / (1.0 + load.queued.unwrap_or(0.0));
            self.speed.service_ms.add(service_ms * weight, weight);
        }
    }

    /// Records the duration of a passed health check; `network_seconds` of it is the delay to the server's zone.
    pub fn record_passed_check(&mut self, elapsed: Micros, network_seconds: f64) {
        let seconds = elapsed.secs();
        let at_server = (seconds - network_seconds)
            .max(seconds * MIN_SERVER_TIME_SHARE)
            .max(MIN_CHECK_SECONDS);
        let speed = 1.0 / at_server;
        let weight = speed.powi(CHECK_SPEED_EXPONENT);
        let weighted_speed = speed.powi(CHECK_SPEED_EXPONENT + 1);
        self.speed.checks.add(weighted_speed, weight);
        // Otherwise a server that was idle, such as a new one, would seem saturated once it has load.
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

    /// Returns the saturation by recent load reports, from 0 to 1; it decays to 0 once reports stop.
    pub fn saturation_with_prior(&self) -> f64 {
        self.saturation.sum / (self.saturation.weight + PRIOR_IDLE_REPORTS)
    }

    /// Returns how many times longer recent health checks take than usual.
    pub fn slowdown(&self) -> Option<f64> {
        let baseline_speed = self.speed.checks.positive_mean()?;
        Some(baseline_speed / self.recent_check_speed.positive_mean()?)
    }

    /// Returns how many times longer recent health checks take than usual while the server has load.
    pub fn slowdown_under_load(&self) -> Option<f64> {
        let baseline_speed = self.speed.checks_under_load.positive_mean()?;
        Some(baseline_speed / self.recent_check_speed.positive_mean()?)
    }

    /// Decays the evidence by the elapsed time.
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

    /// Returns the recent activity of the server, from 0 without attempts to 1.
    fn recent_activity(&self) -> f64 {
        self.by_proxy_zone
            .values()
            .map(|zone| clamp_to_unit(zone.failures.weight))
            .fold(0.0, f64::max)
    }
}
