//! The health state machine of a server: full, reduced or withdrawn, with dwell times and ejection backoff.

use crate::interface::{HealthChangeCause, HealthState, ScoreTerms};

use super::evidence::Evidence;
use super::health_checks::HealthChecks;
use super::smoothing::smooth_quality;

/// Excess share of failed attempts at which the error term is 0.
pub(super) const ERROR_BUDGET: f64 = 0.2;
/// Multiple of the reference latency at which the latency term is 0. A healthy server exceeds 3 when it is busy.
pub(super) const LATENCY_BUDGET: f64 = 5.0;
/// Score below which a failing server is withdrawn.
const WITHDRAW_BELOW: f64 = 0.20;
/// Consecutive ticks below that score before a server is withdrawn.
const WITHDRAW_TICKS: u32 = 2;
/// Score below which the weight is reduced.
const REDUCE_BELOW: f64 = 0.45;
/// Score above which the full weight is restored; the score divided by it limits a reduced weight.
pub(super) const RESTORE_ABOVE: f64 = 0.55;
/// Consecutive ticks above that score before the full weight is restored; also the first ejection period, in ticks.
const RESTORE_TICKS: u32 = 6;
/// Factor on the ejection period after each re-admission, until the full weight is restored.
const EJECTION_BACKOFF_FACTOR: u32 = 2;
/// The longest ejection period, in ticks.
const MAX_EJECTION_TICKS: u32 = 24;
/// Least weight of a reduced server and first weight of a re-admitted one, as a share of its full weight.
pub(super) const MIN_WEIGHT_SHARE: f64 = 0.1;
/// Score and weight ceiling of a new server; the ceiling grows no further until the full weight is restored. Also the
/// first score of a link after a partition.
pub(super) const INITIAL_SCORE: f64 = 0.5;
/// Factor by which the weight ceiling of a recovering server grows at a time.
const CEILING_GROWTH: f64 = 2.0;
/// Number of successful attempts after which the ceiling grows.
const SUCCESSES_PER_GROWTH: f64 = 1.0;

/// The health state of a server, with its score and dwell counters.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    pub state: HealthState,
    /// The smoothed score, from 0 to 1.
    pub score: f64,
    /// The terms of the newest score.
    pub terms: ScoreTerms,
    /// Upper bound on its weight while it recovers, as a share of its full weight.
    pub weight_ceiling: f64,
    ticks_below: u32,
    ticks_above: u32,
    ticks_withdrawn: u32,
    ejection_ticks: u32,
}

impl Health {
    /// Returns the health of a server that has been in service for long.
    pub fn full() -> Self {
        Self::initial(HealthState::Full, 1.0)
    }

    /// Returns the health of a new server, whose weight grows with its successful attempts.
    pub fn warming_up() -> Self {
        Self::initial(HealthState::Reduced, INITIAL_SCORE)
    }

    fn initial(state: HealthState, score: f64) -> Self {
        let no_faults = ScoreTerms {
            errors: 1.0,
            latency: 1.0,
        };
        Health {
            state,
            score,
            weight_ceiling: score,
            terms: no_faults,
            ejection_ticks: RESTORE_TICKS,
            ..Health::default()
        }
    }

    /// Records the terms of one tick and changes the state according to the thresholds and dwell times. Re-admission
    /// discards the evidence that led to the ejection.
    pub fn advance(
        &mut self,
        terms: ScoreTerms,
        evidence: &mut Evidence,
        checks: &mut HealthChecks,
    ) {
        self.record_score(terms);
        self.grow_ceiling(evidence);
        match self.state {
            HealthState::Withdrawn => self.advance_ejection(evidence, checks),
            _ if self.ticks_below >= WITHDRAW_TICKS => {
                self.enter(HealthState::Withdrawn, self.score, MIN_WEIGHT_SHARE);
            }
            HealthState::Full if self.score < REDUCE_BELOW => {
                self.enter(HealthState::Reduced, self.score, self.weight_ceiling);
            }
            HealthState::Reduced if self.ticks_above >= RESTORE_TICKS => {
                self.ejection_ticks = RESTORE_TICKS;
                self.enter(HealthState::Full, self.score, self.weight_ceiling);
            }
            HealthState::Full | HealthState::Reduced => {}
        }
    }

    /// Returns the cause of a change from the given state to the current one.
    pub fn change_cause(&self, previous: HealthState, checks: &HealthChecks) -> HealthChangeCause {
        let ScoreTerms { errors, latency } = self.terms;
        match (previous, self.state) {
            (HealthState::Withdrawn, _) => HealthChangeCause::EjectionElapsed,
            (_, HealthState::Full) => HealthChangeCause::SustainedRecovery,
            _ if latency < errors => HealthChangeCause::Latency,
            _ if checks.consecutive_failures > 0 => HealthChangeCause::HealthChecks,
            _ if errors < latency => HealthChangeCause::Errors,
            _ => HealthChangeCause::Score,
        }
    }

    fn record_score(&mut self, terms: ScoreTerms) {
        self.terms = terms;
        self.score = smooth_quality(self.score, terms.errors.min(terms.latency));
        // Only errors lead to withdrawal: a slow server is reduced, but never withdrawn.
        let is_failing = self.score.max(terms.errors) < WITHDRAW_BELOW;
        self.ticks_below = if is_failing { self.ticks_below + 1 } else { 0 };
        self.ticks_above = if self.score > RESTORE_ABOVE {
            self.ticks_above + 1
        } else {
            0
        };
    }

    /// Raises the weight ceiling after enough successful attempts. They are counted over several ticks, since a server
    /// with a small weight gets less than one attempt in a tick.
    fn grow_ceiling(&mut self, evidence: &mut Evidence) {
        let may_grow = evidence.successes_since_growth >= SUCCESSES_PER_GROWTH
            && self.terms.errors > RESTORE_ABOVE;
        if !may_grow {
            return;
        }
        let highest = if self.state == HealthState::Full {
            1.0
        } else {
            INITIAL_SCORE
        };
        self.weight_ceiling =
            (self.weight_ceiling * CEILING_GROWTH).min(highest.max(self.weight_ceiling));
        evidence.successes_since_growth = 0.0;
    }

    fn advance_ejection(&mut self, evidence: &mut Evidence, checks: &mut HealthChecks) {
        self.ticks_withdrawn += 1;
        if self.ticks_withdrawn < self.ejection_ticks || checks.consecutive_failures > 0 {
            return;
        }
        self.ejection_ticks =
            (self.ejection_ticks * EJECTION_BACKOFF_FACTOR).min(MAX_EJECTION_TICKS);
        evidence.by_proxy_zone.clear();
        checks.failed_attempts = 0.0;
        self.enter(HealthState::Reduced, REDUCE_BELOW, MIN_WEIGHT_SHARE);
    }

    fn enter(&mut self, state: HealthState, score: f64, weight_ceiling: f64) {
        self.state = state;
        self.score = score;
        self.weight_ceiling = weight_ceiling;
        self.ticks_below = 0;
        self.ticks_above = 0;
        self.ticks_withdrawn = 0;
    }
}
