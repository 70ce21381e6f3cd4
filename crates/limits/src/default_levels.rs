//! The ladder that holds where the operators ask for the usual one: derived from the classes' worth for their time.

use crate::condition::{Condition, Test};
use crate::service_levels::{ServiceLevel, KEEP_LEAST};
use crate::signals::Signal;
use crate::{lowest_priority_first, Class};

/// Saturation at which the first and the last level are entered. The module itself refuses from 0.2 on and nine tenths at 1:
/// names begin where that is felt, and end before all is refused alike.
const ENTER: (f64, f64) = (0.35, 0.85);
/// Saturation must fall by so much before a level may be left.
const GAP: f64 = 0.2;
/// What warm servers can do, over what comes, before a level may be left: a tenth to spare.
const ROOM: f64 = 1.1;
/// How long a condition must hold for a level to be entered, and left, in microseconds: one report, three reports.
const HOLD: (i64, i64) = (1_000_000, 3_000_000);
/// Least stay, in microseconds.
const STAY: i64 = 8_000_000;
/// What is kept of a class in the first step that touches it.
const HALF: f64 = 0.5;

/// The levels: each class but the dearest is halved, then held to the least, the cheapest first; the dearest is halved last
/// of all, as what comes may be nothing else.
pub fn levels(classes: &[Class]) -> Vec<ServiceLevel> {
    let order = lowest_priority_first(classes);
    let mut steps: Vec<(String, Vec<(String, f64)>)> = Vec::new();
    let mut kept: Vec<(String, f64)> = Vec::new();
    for (place, class) in order.iter().enumerate() {
        let name = &classes[*class].name;
        let last = place + 1 == order.len();
        let parts = if last {
            vec![("half", HALF)]
        } else {
            vec![("half", HALF), ("little", KEEP_LEAST)]
        };
        for (word, keep) in parts {
            kept.retain(|(known, _)| known != name);
            kept.push((name.clone(), keep));
            steps.push((format!("{word} of {name}"), kept.clone()));
        }
    }
    let count = steps.len();
    let level = |(number, (name, keep)): (usize, (String, Vec<(String, f64)>))| {
        let way = if count > 1 {
            number as f64 / (count - 1) as f64
        } else {
            0.0
        };
        let enter = ((ENTER.0 + (ENTER.1 - ENTER.0) * way) * 100.0).round() / 100.0;
        let leave = ((enter - GAP) * 100.0).round() / 100.0;
        let test = |signal, above, bound, hold| Test {
            signal,
            above,
            bound,
            hold,
        };
        ServiceLevel {
            name,
            keep,
            enter: Condition {
                all: vec![test(Signal::Saturation, true, enter, HOLD.0)],
                any: vec![],
            },
            leave: Condition {
                all: vec![
                    test(Signal::Saturation, false, leave, HOLD.1),
                    test(Signal::Room, true, ROOM, HOLD.1),
                ],
                any: vec![],
            },
            least_stay: STAY,
            tell: Vec::new(),
        }
    };
    steps.into_iter().enumerate().map(level).collect()
}

#[cfg(test)]
mod tests;
