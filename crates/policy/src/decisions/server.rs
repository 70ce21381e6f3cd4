//! One server of the endpoint list, and all that is known of it.

use crate::interface::{Endpoint, HealthCheckOutcome, Lifecycle, Micros, Settings};
use crate::statistics::clamp_to_unit;

use super::evidence::Evidence;
use super::health::Health;
use super::health_checks::HealthChecks;

/// The least share of its capacity that any server counts with.
const MIN_WARM_UP_SHARE: f64 = 0.01;
/// Lower bound on the slow start period, in seconds, by which ages are divided.
const MIN_SLOW_START_SECONDS: f64 = 1e-6;

/// A server.
#[derive(Clone, Debug, Default)]
pub(super) struct Server {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Its position among all servers ever listed, by which it belongs to a shard.
    pub ordinal: usize,
    /// What was observed of it.
    pub evidence: Evidence,
    /// Its health checks.
    pub health_checks: HealthChecks,
    /// Its health.
    pub health: Health,
    /// How many times longer its health checks take than usual, against its zone; at least 1 once it was scored.
    pub slowdown: f64,
    /// Its weight, before the adjustments of each table.
    pub weight: f64,
    /// Share of its capacity that it is sure to have.
    pub warm_up_share: f64,
    /// The lifecycle that was last reported.
    pub reported_lifecycle: Lifecycle,
    /// When that changed last; 0 if it never did.
    pub lifecycle_changed_at: Micros,
    /// Whether it is suspended in all tables.
    pub suspended: bool,
}

impl Server {
    /// A server without a past.
    pub fn new(endpoint: Endpoint, health: Health) -> Self {
        Server {
            endpoint,
            health,
            ..Server::default()
        }
    }

    /// Whether it may be sent requests.
    pub fn is_in_service(&self) -> bool {
        self.endpoint.lifecycle == Lifecycle::InService && !self.suspended
    }

    /// Whether it is draining or removed.
    pub fn is_leaving(&self) -> bool {
        self.endpoint.lifecycle != Lifecycle::InService
    }

    /// Whether it left service at any time while it was listed here: proxies may hold it as suspended.
    pub fn has_left(&self) -> bool {
        self.suspended || self.lifecycle_changed_at > Micros(0)
    }

    /// Whether it has all its capacity.
    pub fn is_warm(&self) -> bool {
        self.warm_up_share >= 1.0
    }

    /// Its listed weight, which is never quite 0.
    pub fn size(&self) -> f64 {
        self.endpoint.weight.max(f64::MIN_POSITIVE)
    }

    /// Share of its capacity that it is sure to have, by the time since its start.
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

    /// Takes in the result of a health check; `network_seconds` of its duration is the delay to the server's zone.
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

    /// Lets time pass.
    pub fn decay(&mut self, elapsed_seconds: f64) {
        self.evidence.decay(elapsed_seconds);
        self.health_checks.decay(elapsed_seconds);
    }
}
