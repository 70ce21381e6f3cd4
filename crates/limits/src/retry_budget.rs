//! How far tries may be repeated. Repeats cost capacity that others need: each class has a budget, in repeats for each answer.
//! Nothing here widens what a request's effect allows; and the decision module looks at the effect once more.

use crate::{lowest_priority_first, Class, Idempotency};

/// Repeats for each answer where nothing is said.
pub const RATIO: f64 = 0.1;
/// Half-life of what was counted, in seconds: some reports.
const HALF_LIFE: f64 = 8.0;
/// Answers assumed beside those counted: a few repeats are always within the budget.
const PRIOR: f64 = 20.0;
/// Reports between two steps of narrowing, and of widening again: an order shows in the sums after two.
const PACE: (u32, u32) = (2, 5);
/// Saturation up to which, and room from which, safe requests may be tried once more after any failure; share of failures
/// between which that helps: below nothing fails, beyond the fleet does.
const ROOM: (f64, f64) = (0.1, 1.3);
const HELPS: (f64, f64) = (0.005, 0.15);
/// Reports for which that must be so.
const FOR: u32 = 5;
/// What a clock may be off, and a message late, in seconds: the key's window must hold so much longer than the client waits.
const CLOCKS: f64 = 1.5;

/// A way of trying again, as the module orders them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryAllowance {
    /// Never.
    Never,
    /// Once, after proof that the first try did not run.
    #[default]
    IfNotExecuted,
    /// Once, after any failure.
    Once,
}

/// What a report tells of tries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tried {
    /// Time since the last one, in seconds.
    pub seconds: f64,
    /// Tries that ended, of all classes.
    pub tries: f64,
    /// Those answered well.
    pub good: f64,
    /// Requests let in, by class.
    pub let_in: Vec<f64>,
    /// Of these, without an answer, by class.
    pub failed: Vec<f64>,
    /// Saturation.
    pub strain: f64,
    /// What warm servers can do over what comes, where it is known.
    pub room: Option<f64>,
}

/// The most that a class's effect allows, whatever the budget: a second run must change nothing.
pub fn allowed(class: &Class) -> RetryAllowance {
    match class.idempotency {
        Idempotency::Idempotent => RetryAllowance::Once,
        Idempotency::Keyed(window) if window >= class.deadline_seconds + CLOCKS => {
            RetryAllowance::Once
        }
        Idempotency::Keyed(_) | Idempotency::NotIdempotent => RetryAllowance::IfNotExecuted,
    }
}

/// Budgets at work.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    widens: bool,
    order: Vec<usize>,
    most: Vec<RetryAllowance>,
    tries: f64,
    let_in: f64,
    good: f64,
    failing: Vec<(f64, f64)>,
    /// So many classes, the cheapest first, are not tried again at all.
    narrowed: usize,
    waits: u32,
    roomy: u32,
}

impl RetryBudget {
    /// Budgets of some classes, all of them unspent.
    pub fn new(ratio: f64, widens: bool, classes: &[Class]) -> Self {
        RetryBudget {
            ratio,
            widens,
            order: lowest_priority_first(classes),
            most: classes.iter().map(allowed).collect(),
            tries: 0.0,
            let_in: 0.0,
            good: 0.0,
            failing: vec![(0.0, 0.0); classes.len()],
            narrowed: 0,
            waits: 0,
            roomy: 0,
        }
    }

    /// Repeats for each answer.
    pub fn spent(&self) -> f64 {
        (self.tries - self.let_in).max(0.0) / (self.good + PRIOR)
    }

    /// Takes a report in.
    pub fn learn(&mut self, of: &Tried) {
        let sane = |figure: &f64| figure.is_finite() && *figure >= 0.0;
        let figures = [of.seconds, of.tries, of.good, of.strain];
        if !figures.iter().chain(&of.let_in).chain(&of.failed).all(sane) {
            return;
        }
        let keep = 0.5f64.powf(of.seconds / HALF_LIFE);
        let add = |sum: &mut f64, more: f64| *sum = *sum * keep + more;
        add(&mut self.tries, of.tries);
        add(&mut self.good, of.good);
        add(&mut self.let_in, of.let_in.iter().sum());
        for (class, sums) in self.failing.iter_mut().enumerate() {
            add(&mut sums.0, of.failed.get(class).copied().unwrap_or(0.0));
            add(&mut sums.1, of.let_in.get(class).copied().unwrap_or(0.0));
        }
        let roomy = of.strain < ROOM.0 && of.room.is_some_and(|room| room > ROOM.1);
        self.roomy = if roomy {
            self.roomy.saturating_add(1)
        } else {
            0
        };
        self.waits = self.waits.saturating_add(1);
        let spent = self.spent();
        if spent > self.ratio && self.waits >= PACE.0 && self.narrowed < self.order.len() {
            (self.narrowed, self.waits) = (self.narrowed + 1, 0);
        } else if spent < 0.5 * self.ratio && self.waits >= PACE.1 && self.narrowed > 0 {
            (self.narrowed, self.waits) = (self.narrowed - 1, 0);
        }
    }

    /// How a class may be tried again.
    pub fn of(&self, class: usize) -> RetryAllowance {
        let place = self.order.iter().position(|known| *known == class);
        if place.is_some_and(|place| place < self.narrowed) {
            return RetryAllowance::Never;
        }
        let helps = self.failing.get(class).is_some_and(|(failed, all)| {
            let share = failed / (all + PRIOR);
            (HELPS.0..HELPS.1).contains(&share)
        });
        let wide = self.widens && self.roomy >= FOR && helps && self.spent() < 0.5 * self.ratio;
        let way = if wide {
            RetryAllowance::Once
        } else {
            RetryAllowance::IfNotExecuted
        };
        way.min(
            self.most
                .get(class)
                .copied()
                .unwrap_or(RetryAllowance::IfNotExecuted),
        )
    }
}

#[cfg(test)]
mod tests;
