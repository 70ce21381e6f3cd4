//! The default service levels, derived from the values of the classes.

use crate::condition::{Comparison, Condition, SignalTest};
use crate::service_levels::{AdmittedShare, ServiceLevel, MIN_CLASS_SHARE};
use crate::signals::Signal;
use crate::{lowest_priority_first, Class};

/// Saturation at which the first level is entered: the policy sheds by itself from 0.2 on, and levels begin once that
/// is noticeable.
const FIRST_ENTER_SATURATION: f64 = 0.35;
/// Saturation at which the last level is entered: below that at which the policy sheds all classes alike.
const LAST_ENTER_SATURATION: f64 = 0.85;
/// Distance below the saturation for entering a level at which the level may be left.
const SATURATION_HYSTERESIS: f64 = 0.2;
/// Headroom above which a level may be left.
const MIN_LEAVE_HEADROOM: f64 = 1.1;
/// Time for which the condition for entering must hold, in microseconds: one report period.
const ENTER_HOLD_US: i64 = 1_000_000;
/// Time for which the condition for leaving must hold, in microseconds: three report periods.
const LEAVE_HOLD_US: i64 = 3_000_000;
/// Minimum duration of a level, in microseconds.
const MIN_DURATION_US: i64 = 8_000_000;
/// Share of a class that the first level to reduce it admits.
const HALF_SHARE: f64 = 0.5;

/// A level without its conditions.
struct Step {
    name: String,
    admitted_shares: Vec<AdmittedShare>,
}

/// Returns the default levels. In order of increasing value, each class is halved and then reduced to the minimum
/// share; the class with the highest value is only halved, as the whole load may belong to it.
pub fn levels(classes: &[Class]) -> Vec<ServiceLevel> {
    let steps = steps(classes);
    let last = steps.len().saturating_sub(1);
    let to_level = |(index, step)| service_level(step, enter_saturation(index, last));
    steps.into_iter().enumerate().map(to_level).collect()
}

fn steps(classes: &[Class]) -> Vec<Step> {
    let order = lowest_priority_first(classes);
    let mut steps = Vec::new();
    let mut admitted_shares: Vec<AdmittedShare> = Vec::new();
    for (rank, index) in order.iter().enumerate() {
        let class = &classes[*index].name;
        let is_highest = rank + 1 == order.len();
        admitted_shares.retain(|admitted| admitted.class != *class);
        admitted_shares.push(AdmittedShare {
            class: class.clone(),
            share: HALF_SHARE,
        });
        steps.push(Step {
            name: format!("half of {class}"),
            admitted_shares: admitted_shares.clone(),
        });
        if is_highest {
            continue;
        }
        if let Some(admitted) = admitted_shares.last_mut() {
            admitted.share = MIN_CLASS_SHARE;
        }
        steps.push(Step {
            name: format!("little of {class}"),
            admitted_shares: admitted_shares.clone(),
        });
    }
    steps
}

/// Returns the saturation at which a level is entered, evenly spaced between the first and the last level.
fn enter_saturation(index: usize, last: usize) -> f64 {
    let progress = if last > 0 {
        index as f64 / last as f64
    } else {
        0.0
    };
    let span = LAST_ENTER_SATURATION - FIRST_ENTER_SATURATION;
    round_to_hundredths(FIRST_ENTER_SATURATION + span * progress)
}

fn service_level(step: Step, enter_saturation: f64) -> ServiceLevel {
    let leave_saturation = round_to_hundredths(enter_saturation - SATURATION_HYSTERESIS);
    let enter = SignalTest {
        signal: Signal::Saturation,
        comparison: Comparison::Above,
        bound: enter_saturation,
        hold_us: ENTER_HOLD_US,
    };
    let leave = SignalTest {
        signal: Signal::Saturation,
        comparison: Comparison::Below,
        bound: leave_saturation,
        hold_us: LEAVE_HOLD_US,
    };
    let has_headroom = SignalTest {
        signal: Signal::Headroom,
        comparison: Comparison::Above,
        bound: MIN_LEAVE_HEADROOM,
        hold_us: LEAVE_HOLD_US,
    };
    ServiceLevel {
        name: step.name,
        admitted_shares: step.admitted_shares,
        enter: all_of(vec![enter]),
        leave: all_of(vec![leave, has_headroom]),
        min_duration_us: MIN_DURATION_US,
        notify: Vec::new(),
    }
}

fn all_of(tests: Vec<SignalTest>) -> Condition {
    Condition {
        all: tests,
        any: Vec::new(),
    }
}

fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

#[cfg(test)]
mod tests;
