//! Estimates the share of arrivals that are repeats: requests that clients send again after they were shed or failed.
//!
//! The correlation of arrivals and losses is no evidence, as both rise together for other reasons as well. The
//! supervisor's own changes of the service level are: when a level sheds a larger share, that share of requests is lost
//! in addition, and clients that repeat them do so within the next reports.

use std::collections::VecDeque;

/// Number of reports within which clients repeat a request: three attempts with backoff take some seconds.
const REPEAT_REPORTS: usize = 3;
/// Number of reports before a change in which the demand must have been steady: levels change when demand grows, and
/// further growth would be mistaken for repeats.
const STEADY_REPORTS: usize = 3;
/// Number of reports that an estimate needs: the steady ones, the change, and those after it.
const HISTORY_LENGTH: usize = STEADY_REPORTS + 1 + REPEAT_REPORTS;
/// Maximum deviation of steady demand, as a share.
const STEADY_TOLERANCE: f64 = 0.12;
/// Factor by which older evidence decays at each report; it fades within a few minutes.
const RETENTION: f64 = 0.99;
/// Minimum change of the shed share that counts as evidence.
const MIN_SHED_CHANGE: f64 = 0.03;
/// Evidence at which the estimate has full confidence, in squares of shares.
const FULL_EVIDENCE: f64 = 0.05;
/// Weight of the prior probability 0, in squares of shares.
const PRIOR_EVIDENCE: f64 = 0.004;
/// Maximum share of arrivals that count as repeats.
const MAX_REPEATED_SHARE: f64 = 0.9;

/// The requests of all classes in one report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalSample {
    /// Requests that arrived, per second.
    pub arrivals: f64,
    /// Arrivals that were shed, per second.
    pub shed: f64,
    /// Arrivals that were admitted and got no response, per second.
    pub unanswered: f64,
    /// Share of arrivals that were shed.
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
    /// Estimated probability, from 0 to 1.
    pub value: f64,
    /// Confidence in the estimate, from 0 to 1.
    pub confidence: f64,
}

/// Estimates the probability that clients repeat lost requests.
#[derive(Clone, Debug, Default)]
pub struct RepeatEstimator {
    /// The last samples, the oldest first.
    history: VecDeque<ArrivalSample>,
    /// Sum of the products of changes of the shed share and the relative growth of demand after them.
    response_sum: f64,
    /// Sum of the squares of changes of the shed share.
    change_sum: f64,
}

impl RepeatEstimator {
    /// Adds a report. Ignores reports with negative or non-finite values.
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

    /// Adds the change in the middle of the history as evidence, if there was one, demand was steady before it and no
    /// other change followed, whose effects would be mixed with it.
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
        // Repeats may be lost and repeated as well: with probability p, arrivals grow by p * change.
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

    /// Returns the probability that a client repeats a lost request.
    pub fn repeat_probability(&self) -> RepeatProbability {
        let probability = self.response_sum / (self.change_sum + PRIOR_EVIDENCE);
        RepeatProbability {
            value: probability.clamp(0.0, 1.0),
            confidence: (self.change_sum / FULL_EVIDENCE).min(1.0),
        }
    }

    /// Returns the estimated share of repeats among the arrivals of the last report.
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
