//! Retry budgets. Retries use capacity that other requests need: classes share a budget of retries per successful
//! response, and an exhausted budget suspends the retries of one class after the other.
//!
//! A budget never permits a retry that the idempotency of the class forbids; the policy checks that too.

use crate::{lowest_priority_first, Class, Idempotency};

/// Default budget, in retries per successful response.
pub const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Half-life of the counts, in seconds; several report periods.
const HALF_LIFE_SECONDS: f64 = 8.0;
/// Responses, and requests of each class, assumed in addition to those counted, so that a few retries are always within
/// the budget.
const PRIOR_RESPONSES: f64 = 20.0;
/// Minimum number of reports between a change and a suspension: a change shows in the counts after two.
const SUSPEND_AFTER_REPORTS: u32 = 2;
/// Minimum number of reports between a change and a resumption.
const RESUME_AFTER_REPORTS: u32 = 5;
/// Used share of the budget below which suspended classes are resumed and more retries may be permitted.
const LOW_USAGE_SHARE: f64 = 0.5;
/// Saturation below which a retry after any failure may be permitted.
const MAX_SATURATION_FOR_RETRY: f64 = 0.1;
/// Headroom above which a retry after any failure may be permitted.
const MIN_HEADROOM_FOR_RETRY: f64 = 1.3;
/// Number of consecutive reports with such saturation and headroom that a retry after any failure requires.
const MIN_REPORTS_WITH_HEADROOM: u32 = 5;
/// Share of failures from which retries after any failure help.
const MIN_FAILURE_SHARE: f64 = 0.005;
/// Share of failures from which the fleet itself is failing, so that retries don't help.
const MAX_FAILURE_SHARE: f64 = 0.15;
/// Assumed clock skew and message delay, in seconds: servers must store idempotency keys longer than the deadline by
/// this time.
const CLOCK_SKEW_SECONDS: f64 = 1.5;

/// The configuration of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Maximum number of retries per successful response.
    pub ratio: f64,
    /// Whether requests that are safe to retry may be retried after any failure while there is headroom.
    pub retry_with_headroom: bool,
}

/// The permitted retries of a class, from the fewest to the most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryAllowance {
    /// No retry.
    Never,
    /// One retry, if the first attempt was certainly not executed.
    #[default]
    IfNotExecuted,
    /// One retry, after any failure.
    Once,
}

/// The attempts and requests of one report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetrySample {
    /// Time since the last report, in seconds.
    pub seconds: f64,
    /// Attempts that ended, of all classes.
    pub attempts: f64,
    /// Attempts that succeeded, of all classes.
    pub successes: f64,
    /// Requests admitted, by class.
    pub admitted: Vec<f64>,
    /// Admitted requests without a response, by class.
    pub unanswered: Vec<f64>,
    /// Saturation of the fleet, 0 to 1.
    pub saturation: f64,
    /// Ratio of the capacity of the warm servers to the work of new arrivals, if known.
    pub headroom: Option<f64>,
}

impl RetrySample {
    fn is_valid(&self) -> bool {
        let totals = [self.seconds, self.attempts, self.successes, self.saturation];
        let mut values = totals.iter().chain(&self.admitted).chain(&self.unanswered);
        values.all(|value| value.is_finite() && *value >= 0.0)
    }

    fn has_headroom(&self) -> bool {
        let has_capacity = self
            .headroom
            .is_some_and(|headroom| headroom > MIN_HEADROOM_FOR_RETRY);
        self.saturation < MAX_SATURATION_FOR_RETRY && has_capacity
    }
}

/// Returns the retries that the idempotency of a class permits at most, independently of the budget.
pub fn max_allowance(class: &Class) -> RetryAllowance {
    match class.idempotency {
        Idempotency::Idempotent => RetryAllowance::Once,
        Idempotency::Keyed(window_seconds)
            if window_seconds >= class.deadline_seconds + CLOCK_SKEW_SECONDS =>
        {
            RetryAllowance::Once
        }
        Idempotency::Keyed(_) | Idempotency::NotIdempotent => RetryAllowance::IfNotExecuted,
    }
}

/// A sum that decays with [`HALF_LIFE_SECONDS`].
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum(f64);

impl DecayingSum {
    fn add(&mut self, decay: f64, amount: f64) {
        self.0 = self.0 * decay + amount;
    }
}

/// The counts of one class.
#[derive(Clone, Debug)]
struct ClassBudget {
    max_allowance: RetryAllowance,
    /// Position in the order in which classes are suspended.
    rank: usize,
    admitted: DecayingSum,
    unanswered: DecayingSum,
}

impl ClassBudget {
    /// Returns whether requests fail, but too few for the fleet itself to be failing.
    fn can_retries_help(&self) -> bool {
        let failure_share = self.unanswered.0 / (self.admitted.0 + PRIOR_RESPONSES);
        (MIN_FAILURE_SHARE..MAX_FAILURE_SHARE).contains(&failure_share)
    }
}

/// The budget of all classes and its use.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    classes: Vec<ClassBudget>,
    attempts: DecayingSum,
    admitted: DecayingSum,
    successes: DecayingSum,
    /// Number of suspended classes, which are those of lowest priority.
    suspended_classes: usize,
    reports_since_change: u32,
    reports_with_headroom: u32,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(config: RetryBudgetConfig, classes: &[Class]) -> Self {
        let order = lowest_priority_first(classes);
        let class_budget = |(index, class)| ClassBudget {
            max_allowance: max_allowance(class),
            rank: order
                .iter()
                .position(|other| *other == index)
                .unwrap_or(order.len()),
            admitted: DecayingSum::default(),
            unanswered: DecayingSum::default(),
        };
        RetryBudget {
            config,
            classes: classes.iter().enumerate().map(class_budget).collect(),
            attempts: DecayingSum::default(),
            admitted: DecayingSum::default(),
            successes: DecayingSum::default(),
            suspended_classes: 0,
            reports_since_change: 0,
            reports_with_headroom: 0,
        }
    }

    /// Returns the current number of retries per successful response.
    pub fn retry_ratio(&self) -> f64 {
        let retries = (self.attempts.0 - self.admitted.0).max(0.0);
        retries / (self.successes.0 + PRIOR_RESPONSES)
    }

    /// Counts a report. Ignores reports with negative or non-finite values.
    pub fn record(&mut self, sample: &RetrySample) {
        if !sample.is_valid() {
            return;
        }
        self.count(sample);
        self.reports_with_headroom = if sample.has_headroom() {
            self.reports_with_headroom.saturating_add(1)
        } else {
            0
        };
        self.reports_since_change = self.reports_since_change.saturating_add(1);
        self.update_suspensions();
    }

    fn count(&mut self, sample: &RetrySample) {
        let decay = 0.5f64.powf(sample.seconds / HALF_LIFE_SECONDS);
        self.attempts.add(decay, sample.attempts);
        self.successes.add(decay, sample.successes);
        self.admitted.add(decay, sample.admitted.iter().sum());
        for (index, class) in self.classes.iter_mut().enumerate() {
            let unanswered = sample.unanswered.get(index).copied().unwrap_or(0.0);
            let admitted = sample.admitted.get(index).copied().unwrap_or(0.0);
            class.unanswered.add(decay, unanswered);
            class.admitted.add(decay, admitted);
        }
    }

    fn update_suspensions(&mut self) {
        let ratio = self.retry_ratio();
        let can_suspend = self.reports_since_change >= SUSPEND_AFTER_REPORTS
            && self.suspended_classes < self.classes.len();
        let can_resume =
            self.reports_since_change >= RESUME_AFTER_REPORTS && self.suspended_classes > 0;
        if ratio > self.config.ratio && can_suspend {
            self.suspended_classes += 1;
            self.reports_since_change = 0;
        } else if ratio < LOW_USAGE_SHARE * self.config.ratio && can_resume {
            self.suspended_classes -= 1;
            self.reports_since_change = 0;
        }
    }

    /// Returns the currently permitted retries of a class, by its position.
    pub fn allowance(&self, class: usize) -> RetryAllowance {
        let Some(class) = self.classes.get(class) else {
            return RetryAllowance::IfNotExecuted;
        };
        if class.rank < self.suspended_classes {
            return RetryAllowance::Never;
        }
        if !self.is_retry_after_failure_permitted(class) {
            return RetryAllowance::IfNotExecuted.min(class.max_allowance);
        }
        class.max_allowance
    }

    fn is_retry_after_failure_permitted(&self, class: &ClassBudget) -> bool {
        self.config.retry_with_headroom
            && self.reports_with_headroom >= MIN_REPORTS_WITH_HEADROOM
            && class.can_retries_help()
            && self.retry_ratio() < LOW_USAGE_SHARE * self.config.ratio
    }
}

#[cfg(test)]
mod tests;
