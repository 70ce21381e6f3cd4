//! Differences between the clocks of supervisors, estimated from what all of them learn at about the same time: changes in the
//! endpoint list. No difference is assumed unless enough changes agree on it.

use std::collections::BTreeMap;

use crate::pb::{record::Kind, Record};

/// The kind of changes of a server's lifecycle, by number.
const LIFECYCLE_CHANGED: u32 = 21;
/// The kind of starts of a server, by number. Its time is that of the endpoint list, which is independent of the clock of the
/// supervisor.
pub const SERVER_STARTED: u32 = 22;
/// The kinds that all supervisors learn alike, by number.
pub const SHARED_KINDS: [u32; 2] = [LIFECYCLE_CHANGED, SERVER_STARTED];
/// Least number of changes from which a difference is estimated.
const MIN_PAIRS: usize = 3;
/// A smaller difference is a delay of the endpoint list, in microseconds.
const MIN_DIFFERENCE_US: i64 = 1_000_000;
/// Greatest median deviation of the differences from their median, in microseconds. Otherwise a list that reaches one
/// supervisor late for one server would shift all that it recorded.
const MAX_DEVIATION_US: i64 = 500_000;

/// A change in the endpoint list that several supervisors learn.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ListChange {
    server: String,
    /// The new lifecycle; `None` for a start.
    lifecycle: Option<i32>,
}

impl ListChange {
    fn of(record: &Record) -> Option<Self> {
        match &record.kind {
            Some(Kind::LifeChanged(of)) => Some(ListChange {
                server: of.server.clone(),
                lifecycle: Some(of.life),
            }),
            Some(Kind::ServerStarted(of)) => Some(ListChange {
                server: of.server.clone(),
                lifecycle: None,
            }),
            _ => None,
        }
    }
}

/// When one supervisor learned of changes in the endpoint list, in microseconds by its own clock.
#[derive(Clone, Debug, Default)]
pub struct ListChanges(BTreeMap<ListChange, Vec<i64>>);

impl ListChanges {
    /// Adds a record, if it is on a change in the endpoint list.
    pub fn add(&mut self, record: &Record) {
        if let Some(change) = ListChange::of(record) {
            self.0.entry(change).or_default().push(record.learned_us);
        }
    }
}

/// How a clock differs from another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockDifference {
    /// How far it is ahead, in microseconds; 0 if they agree or nothing is known.
    pub ahead_us: i64,
    /// The number of changes from which that was estimated.
    pub pairs: usize,
}

/// Estimates how far the second clock is ahead of the first. Changes that one of them learned more often, as after a restart,
/// don't count.
pub fn difference(first: &ListChanges, second: &ListChanges) -> ClockDifference {
    let mut differences = Vec::new();
    for (change, first_times) in &first.0 {
        let Some(second_times) = second.0.get(change) else {
            continue;
        };
        if first_times.len() == second_times.len() {
            let pairs = first_times.iter().zip(second_times);
            differences.extend(pairs.map(|(first, second)| second.saturating_sub(*first)));
        }
    }
    let pairs = differences.len();
    if pairs < MIN_PAIRS {
        return ClockDifference::default();
    }
    let middle = median(&mut differences);
    let mut deviations: Vec<i64> = differences
        .iter()
        .map(|difference| difference.saturating_sub(middle).saturating_abs())
        .collect();
    let do_agree = median(&mut deviations) <= MAX_DEVIATION_US;
    let is_significant = middle.saturating_abs() >= MIN_DIFFERENCE_US;
    let ahead_us = if do_agree && is_significant {
        middle
    } else {
        0
    };
    ClockDifference { ahead_us, pairs }
}

/// The upper median; 0 of no values.
fn median(values: &mut [i64]) -> i64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}

#[cfg(test)]
mod tests;
