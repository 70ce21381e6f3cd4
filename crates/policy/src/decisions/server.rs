//! The state of one server of the endpoint list.

use crate::interface::{Endpoint, HealthCheckOutcome, Lifecycle, Micros, Settings};
use crate::statistics::clamp_to_unit;

use super::evidence::Evidence;
use super::health::Health;
use super::health_checks::HealthChecks;

/// Lower bound on the share of its capacity that a server is certain to have.
const MIN_WARM_UP_SHARE: f64 = 0.01;
/// Lower bound on the slow start period by which ages are divided, in seconds.
const MIN_SLOW_START_SECONDS: f64 = 1e-6;

/// A listed server with its evidence, health and weight.
#[derive(Clone, Debug, Default)]
pub(super) struct Server {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Its position among all servers listed so far, which determines its shard.
    pub ordinal: usize,
    /// Observations of its attempts, load and health checks.
    pub evidence: Evidence,
    pub health_checks: HealthChecks,
    pub health: Health,
    /// Slowdown of its health checks relative to its zone; at least 1 once it was scored.
    pub slowdown: f64,
    /// Its weight, before the adjustments for each table.
    pub weight: f64,
    /// Share of its capacity that it is certain to have.
    pub warm_up_share: f64,
    /// The lifecycle that was last reported.
    pub reported_lifecycle: Lifecycle,
    /// Time of the last reported change of its lifecycle; 0 if its incarnation had none.
    pub lifecycle_changed_at: Micros,
    /// Whether it is suspended in all tables.
    pub suspended: bool,
}

impl Server {
    /// Returns a server without observations.
    pub fn new(endpoint: Endpoint, health: Health) -> Self {
        Server {
            endpoint,
            health,
            ..Server::default()
        }
    }

    /// Returns whether it may receive requests.
    pub fn is_in_service(&self) -> bool {
        self.endpoint.lifecycle == Lifecycle::InService && !self.suspended
    }

    /// Returns whether it is draining or removed.
    pub fn is_leaving(&self) -> bool {
        self.endpoint.lifecycle != Lifecycle::InService
    }

    /// Returns whether it is suspended or its incarnation had a lifecycle change, so that proxies may hold its
    /// suspension.
    pub fn has_left(&self) -> bool {
        self.suspended || self.lifecycle_changed_at > Micros(0)
    }

    /// Returns whether it has its full capacity.
    pub fn is_warm(&self) -> bool {
        self.warm_up_share >= 1.0
    }

    /// Returns its listed weight, limited to positive values.
    pub fn size(&self) -> f64 {
        self.endpoint.weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the share of its capacity that it is certain to have, by the time since its start.
    pub fn warm_up_share_at(&self, now: Micros, settings: &Settings) -> f64 {
        let age_seconds = self
            .endpoint
            .started_at
            .map_or(f64::MAX, |started| (now - started).secs().max(0.0));
        let period_seconds = settings
            .slow_start_period
            .secs()
            .max(MIN_SLOW_START_SECONDS);
        let progress = clamp_to_unit(age_seconds / period_seconds);
        let share = settings.slow_start_share + (1.0 - settings.slow_start_share) * progress;
        share.clamp(MIN_WARM_UP_SHARE, 1.0)
    }

    /// Records the result of a health check; `network_seconds` of its duration is the delay to the server's zone.
    pub fn record_health_check(
        &mut self,
        outcome: HealthCheckOutcome,
        elapsed: Micros,
        network_seconds: f64,
    ) {
        if outcome == HealthCheckOutcome::Passed {
            self.evidence.record_passed_check(elapsed, network_seconds);
        }
        self.health_checks.record_outcome(outcome);
    }

    /// Decays its evidence and failed health checks by the elapsed time.
    pub fn decay(&mut self, elapsed_seconds: f64) {
        self.evidence.decay(elapsed_seconds);
        self.health_checks.decay(elapsed_seconds);
    }
}
