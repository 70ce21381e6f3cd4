//! Checks of service levels as a whole: levels that would oscillate, that are never entered, that are not ordered by
//! severity, or that shed a higher priority before a lower one.

use crate::condition::{join_tests, Comparison, Condition, SignalTest};
use crate::config_error::{ConfigError, ConfigProblem};
use crate::service_levels::{ServiceLevel, ServiceLevels, FULL_SERVICE};
use crate::{lowest_priority_first, Class};

/// Minimum gap between the bounds for entering and leaving, as a share of the greater one; it exceeds the noise of
/// signals.
pub const MIN_HYSTERESIS: f64 = 0.1;
/// Rounding error of a difference of bounds.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl ServiceLevels {
    /// Returns the errors of levels that are each valid by themselves. Without classes, priorities are not checked.
    pub fn check(&self, classes: Option<&[Class]>) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        for (index, level) in self.levels.iter().enumerate() {
            let mut add_error = |level, field, problem: Option<ConfigProblem>| {
                errors.extend(problem.map(|problem| ConfigError {
                    level: Some(level),
                    field,
                    problem,
                }));
            };
            add_error(index, "name", self.check_name(index, level));
            add_error(index, "leave", check_hysteresis(level));
            let priorities = classes.and_then(|classes| check_priorities(level, classes));
            add_error(index, "shed", priorities);
            if let Some(next) = self.levels.get(index + 1) {
                add_error(index + 1, "shed", check_severity(level, next));
                add_error(index, "enter", check_reachable(level, next));
            }
        }
        errors
    }

    fn check_name(&self, index: usize, level: &ServiceLevel) -> Option<ConfigProblem> {
        let mut earlier = self.levels.iter().take(index);
        let is_duplicate_name =
            level.name == FULL_SERVICE || earlier.any(|other| other.name == level.name);
        is_duplicate_name.then(|| ConfigProblem::DuplicateName {
            level: level.name.clone(),
        })
    }
}

/// Checks that a level is not entered and left by the same signals, nor oscillates with their noise.
fn check_hysteresis(level: &ServiceLevel) -> Option<ConfigProblem> {
    let enter_alternatives = alternatives(&level.enter);
    let leave_alternatives = alternatives(&level.leave);
    for enter in &enter_alternatives {
        for leave in &leave_alternatives {
            if !are_separated(enter, leave) {
                return Some(ConfigProblem::NoHysteresis {
                    level: level.name.clone(),
                    enter: join_tests(enter, " and "),
                    leave: join_tests(leave, " and "),
                });
            }
        }
    }
    None
}

/// Checks that a level does not admit less of a class than of one with a lower priority.
fn check_priorities(level: &ServiceLevel, classes: &[Class]) -> Option<ConfigProblem> {
    let order = lowest_priority_first(classes);
    for (rank, index) in order.iter().enumerate() {
        let higher = &classes[*index];
        let share = level.admitted_share(&higher.name);
        let is_admitted_more = |lower: &&Class| {
            lower.value() < higher.value() && level.admitted_share(&lower.name) > share
        };
        let mut lower_classes = order[..rank].iter().map(|index| &classes[*index]);
        if let Some(lower) = lower_classes.find(is_admitted_more) {
            return Some(ConfigProblem::ShedsHigherPriorityFirst {
                level: level.name.clone(),
                higher: higher.name.clone(),
                lower: lower.name.clone(),
            });
        }
    }
    None
}

/// Checks that the next level admits no more of any class than this milder one.
fn check_severity(level: &ServiceLevel, next: &ServiceLevel) -> Option<ConfigProblem> {
    let milder = level
        .admitted_shares
        .iter()
        .find(|admitted| next.admitted_share(&admitted.class) > admitted.share)?;
    Some(ConfigProblem::NotOrderedBySeverity {
        level: level.name.clone(),
        next: next.name.clone(),
        class: milder.class.clone(),
        share: milder.share,
    })
}

/// Checks that the condition for entering a level does not imply that of the more severe next one.
fn check_reachable(level: &ServiceLevel, next: &ServiceLevel) -> Option<ConfigProblem> {
    implies(&level.enter, &next.enter).then(|| ConfigProblem::NeverEntered {
        level: level.name.clone(),
        next: next.name.clone(),
    })
}

/// Returns the sets of tests of which each meets the condition.
fn alternatives(condition: &Condition) -> Vec<Vec<SignalTest>> {
    if condition.any.is_empty() {
        return vec![condition.all.clone()];
    }
    let with_alternative = |test: &SignalTest| {
        let mut tests = condition.all.clone();
        tests.push(*test);
        tests
    };
    condition.any.iter().map(with_alternative).collect()
}

/// Returns whether two sets of tests exclude each other with a gap.
fn are_separated(enter: &[SignalTest], leave: &[SignalTest]) -> bool {
    let has_opposite = |test: &SignalTest| leave.iter().any(|other| have_gap(test, other));
    enter.iter().any(has_opposite)
}

/// Returns whether two tests of a signal exclude each other with the minimum gap between their bounds.
fn have_gap(test: &SignalTest, other: &SignalTest) -> bool {
    if test.signal != other.signal || test.comparison == other.comparison {
        return false;
    }
    let (above, below) = match test.comparison {
        Comparison::Above => (test, other),
        Comparison::Below => (other, test),
    };
    let min_gap = MIN_HYSTERESIS * above.bound.abs().max(below.bound.abs());
    above.bound - below.bound >= min_gap - ROUNDING_TOLERANCE
}

/// Returns whether the second condition is met whenever the first one is.
fn implies(first: &Condition, second: &Condition) -> bool {
    let second_alternatives = alternatives(second);
    alternatives(first).iter().all(|tests| {
        second_alternatives
            .iter()
            .any(|others| all_imply(tests, others))
    })
}

/// Returns whether tests that are all met imply all of the others.
fn all_imply(tests: &[SignalTest], others: &[SignalTest]) -> bool {
    let is_implied = |other: &SignalTest| tests.iter().any(|test| is_stricter(test, other));
    others.iter().all(is_implied)
}

/// Returns whether a test is at least as strict as another one.
fn is_stricter(test: &SignalTest, other: &SignalTest) -> bool {
    if test.signal != other.signal || test.comparison != other.comparison {
        return false;
    }
    let has_stricter_bound = match test.comparison {
        Comparison::Above => test.bound >= other.bound,
        Comparison::Below => test.bound <= other.bound,
    };
    has_stricter_bound && test.hold_us >= other.hold_us
}
