//! Estimates how many of the arrivals are repeats by clients whose requests were shed or failed.
//!
//! Arrivals and losses rise together whatever the cause, so that their correlation says nothing. What the own changes of the
//! service level cause does: when a level sheds more, exactly so many more requests are lost, and clients that repeat them do
//! so within the next reports.

use std::collections::VecDeque;

/// Reports within which clients repeat a request: three attempts with growing backoff take some seconds.
const REPEAT_REPORTS: usize = 3;
/// Reports before a change in which the demand must have been steady: levels change when demand grows, and further growth
/// would pass for repeats.
const STEADY_REPORTS: usize = 3;
/// Reports that an estimate needs: steady ones, the change, and those after it.
const HISTORY_LENGTH: usize = STEADY_REPORTS + 1 + REPEAT_REPORTS;
/// The variation of steady demand, as a share.
const STEADY_TOLERANCE: f64 = 0.12;
/// How much of what was learned is kept at each report: it fades within a few minutes.
const RETENTION: f64 = 0.99;
/// Least change of the shed share that is evidence.
const MIN_SHED_CHANGE: f64 = 0.03;
/// The evidence at which the estimate has full confidence, in squares of shares.
const FULL_EVIDENCE: f64 = 0.05;
/// The evidence of the prior that nobody repeats, in squares of shares.
const PRIOR_EVIDENCE: f64 = 0.004;
/// Greatest share of arrivals that are taken as repeats.
const MAX_REPEATED_SHARE: f64 = 0.9;

/// What one report says of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalSample {
    /// Arrivals, per second.
    pub arrivals: f64,
    /// Arrivals that were shed by the level in force, per second.
    pub shed: f64,
    /// Arrivals that were admitted and got no response, per second.
    pub unanswered: f64,
    /// The share of arrivals that the level sheds.
    pub shed_share: f64,
}

impl ArrivalSample {
    fn is_valid(&self) -> bool {
        [self.arrivals, self.shed, self.unanswered, self.shed_share]
            .iter()
            .all(|value| value.is_finite() && *value >= 0.0)
    }
}

/// The estimated probability that a client repeats a lost request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatProbability {
    /// The probability.
    pub value: f64,
    /// The confidence in it, from 0 to 1.
    pub confidence: f64,
}

/// Learns how many lost requests clients repeat.
#[derive(Clone, Debug, Default)]
pub struct RepeatEstimator {
    /// The last samples, the oldest first.
    history: VecDeque<ArrivalSample>,
    /// Sum of the products of changes of the shed share and the growth of demand after them.
    response_sum: f64,
    /// Sum of the squares of changes of the shed share.
    change_sum: f64,
}

impl RepeatEstimator {
    /// Adds a report. One with values that are negative or not finite is ignored.
    pub fn record(&mut self, sample: ArrivalSample) {
        if !sample.is_valid() {
            return;
        }
        self.history.push_back(sample);
        if self.history.len() < HISTORY_LENGTH {
            return;
        }
        if self.history.len() > HISTORY_LENGTH {
            self.history.pop_front();
        }
        self.response_sum *= RETENTION;
        self.change_sum *= RETENTION;
        self.learn();
    }

    /// Learns from the change in the middle of the history, if there was one and demand was steady before it. A further change
    /// after it would have effects of its own.
    fn learn(&mut self) {
        let before = self.history[STEADY_REPORTS - 1];
        let change = self.history[STEADY_REPORTS].shed_share - before.shed_share;
        let is_evidence = change.abs() >= MIN_SHED_CHANGE
            && before.arrivals > 0.0
            && self.was_steady_before()
            && self.was_unchanged_after();
        if !is_evidence {
            return;
        }
        let later = self.history.iter().skip(STEADY_REPORTS + 1);
        let arrivals_after: f64 = later.map(|sample| sample.arrivals).sum();
        let mean_after = arrivals_after / REPEAT_REPORTS as f64;
        // Repeats may be lost and repeated again: with a probability p, arrivals grow by p * change.
        self.response_sum += change * (mean_after - before.arrivals) / before.arrivals;
        self.change_sum += change * change;
    }

    fn was_steady_before(&self) -> bool {
        let last = self.history[STEADY_REPORTS - 1];
        let is_steady = |sample: &ArrivalSample| {
            let demand_change = (sample.arrivals - last.arrivals).abs();
            let shed_change = (sample.shed_share - last.shed_share).abs();
            demand_change <= STEADY_TOLERANCE * last.arrivals && shed_change < MIN_SHED_CHANGE
        };
        self.history.iter().take(STEADY_REPORTS).all(is_steady)
    }

    fn was_unchanged_after(&self) -> bool {
        let next_samples = self.history.iter().skip(STEADY_REPORTS + 1);
        let samples = self.history.iter().skip(STEADY_REPORTS);
        next_samples
            .zip(samples)
            .all(|(next, sample)| (next.shed_share - sample.shed_share).abs() < MIN_SHED_CHANGE)
    }

    /// The probability that a client repeats a lost request.
    pub fn repeat_probability(&self) -> RepeatProbability {
        let probability = self.response_sum / (self.change_sum + PRIOR_EVIDENCE);
        RepeatProbability {
            value: probability.clamp(0.0, 1.0),
            confidence: (self.change_sum / FULL_EVIDENCE).min(1.0),
        }
    }

    /// The share of the arrivals of the last report that are repeats.
    pub fn repeated_share(&self) -> f64 {
        let Some(last) = self.history.back() else {
            return 0.0;
        };
        if last.arrivals <= 0.0 {
            return 0.0;
        }
        let before = self.history.iter().rev().nth(1).unwrap_or(last);
        let lost = 0.5 * (last.shed + last.unanswered + before.shed + before.unanswered);
        let share = self.repeat_probability().value * lost / last.arrivals;
        share.clamp(0.0, MAX_REPEATED_SHARE)
    }
}

#[cfg(test)]
mod tests;
