//! Health checks of one server: when the next check is due and how many failed.

use crate::interface::{HealthCheckOutcome, Micros};
use crate::statistics::decay_factor;

use super::evidence::OUTCOME_HALF_LIFE_SECONDS;
use super::tick::TICK_INTERVAL;

/// Interval between the health checks of a responding server.
const CHECK_INTERVAL: Micros = Micros(1_000_000);
/// Time after which a health check without a result counts as lost.
const CHECK_LOSS_TIMEOUT: Micros = Micros(3_000_000);
/// Number of failed attempts that a failed health check counts as, multiplied by the number of consecutive failures.
const ATTEMPTS_PER_FAILED_CHECK: f64 = 2.0;

/// The schedule and the failures of a server's health checks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HealthChecks {
    /// Number of consecutive failed health checks.
    pub consecutive_failures: u32,
    /// The failed health checks as a decaying number of failed attempts.
    pub failed_attempts: f64,
    sent_at: Option<Micros>,
    next_at: Micros,
}

impl HealthChecks {
    /// Starts a health check if one is due, and returns whether it was.
    pub fn start_if_due(&mut self, now: Micros) -> bool {
        let in_flight = self
            .sent_at
            .is_some_and(|sent_at| now - sent_at < CHECK_LOSS_TIMEOUT);
        if in_flight || self.next_at > now {
            return false;
        }
        self.sent_at = Some(now);
        self.next_at = now + CHECK_INTERVAL;
        true
    }

    /// Records the outcome of the health check in flight.
    pub fn record_outcome(&mut self, outcome: HealthCheckOutcome) {
        let sent_at = self.sent_at.take();
        match outcome {
            HealthCheckOutcome::Passed => self.consecutive_failures = 0,
            HealthCheckOutcome::Rejected | HealthCheckOutcome::Inconclusive => {}
            HealthCheckOutcome::Error
            | HealthCheckOutcome::TimedOut
            | HealthCheckOutcome::Unreachable => {
                self.consecutive_failures += 1;
                self.failed_attempts +=
                    ATTEMPTS_PER_FAILED_CHECK * f64::from(self.consecutive_failures);
                if let Some(sent_at) = sent_at {
                    self.next_at = sent_at + TICK_INTERVAL;
                }
            }
        }
    }

    /// Discards failures that are not due to a fault of the server. A server with failures counts as unanswered until
    /// its next check passes: after a partition, servers respond again one after the other.
    pub fn discard_failures(&mut self) {
        self.failed_attempts = 0.0;
        self.consecutive_failures = self.consecutive_failures.min(1);
    }

    /// Decays the failures by the elapsed time.
    pub fn decay(&mut self, elapsed_seconds: f64) {
        self.failed_attempts *= decay_factor(elapsed_seconds, OUTCOME_HALF_LIFE_SECONDS);
    }
}
