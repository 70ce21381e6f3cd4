//! Estimates differences between the clocks of supervisors from changes in the endpoint list, which all supervisors
//! learn at about the same time. Without enough consistent changes, the difference counts as 0.

use std::collections::BTreeMap;

use crate::pb::{record::Kind, Record};

/// Kind number of lifecycle changes of a server.
const LIFECYCLE_CHANGED: u32 = 21;
/// Kind number of server starts. Their time comes from the endpoint list and is independent of the supervisor's clock.
pub const SERVER_STARTED: u32 = 22;
/// Kind numbers of the records that all supervisors write for the same change in the endpoint list.
pub const SHARED_KINDS: [u32; 2] = [LIFECYCLE_CHANGED, SERVER_STARTED];
/// Minimum number of changes from which a difference is estimated.
const MIN_PAIRS: usize = 3;
/// Minimum difference that is corrected, in microseconds: less may be a delay of the endpoint list.
const MIN_DIFFERENCE_US: i64 = 1_000_000;
/// Maximum median deviation of the differences from their median, in microseconds. Without this limit, one change that
/// reaches a supervisor late would shift all of its records.
const MAX_DEVIATION_US: i64 = 500_000;

/// A change in the endpoint list, which several supervisors may have recorded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ListChange {
    server: String,
    /// The new lifecycle; `None` for a start.
    lifecycle: Option<i32>,
}

impl ListChange {
    fn from_record(record: &Record) -> Option<Self> {
        match &record.kind {
            Some(Kind::LifeChanged(change)) => Some(ListChange {
                server: change.server.clone(),
                lifecycle: Some(change.life),
            }),
            Some(Kind::ServerStarted(start)) => Some(ListChange {
                server: start.server.clone(),
                lifecycle: None,
            }),
            _ => None,
        }
    }
}

/// The times at which one supervisor learned of changes in the endpoint list, in microseconds by its own clock.
#[derive(Clone, Debug, Default)]
pub struct ListChanges(BTreeMap<ListChange, Vec<i64>>);

impl ListChanges {
    /// Adds a record if it describes a change in the endpoint list.
    pub fn add(&mut self, record: &Record) {
        if let Some(change) = ListChange::from_record(record) {
            self.0.entry(change).or_default().push(record.learned_us);
        }
    }
}

/// The difference between two clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockDifference {
    /// How far the second clock is ahead of the first, in microseconds; 0 if the difference is unknown, inconsistent or
    /// below a second.
    pub ahead_us: i64,
    /// The number of changes that were compared; 0 if there were too few.
    pub pairs: usize,
}

/// Estimates how far the second clock is ahead of the first. Ignores changes that one supervisor recorded more often
/// than the other, as after a restart.
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
    let median_us = median(&mut differences);
    let mut deviations: Vec<i64> = differences
        .iter()
        .map(|difference| difference.saturating_sub(median_us).saturating_abs())
        .collect();
    let is_consistent = median(&mut deviations) <= MAX_DEVIATION_US;
    let is_significant = median_us.saturating_abs() >= MIN_DIFFERENCE_US;
    let ahead_us = if is_consistent && is_significant {
        median_us
    } else {
        0
    };
    ClockDifference { ahead_us, pairs }
}

/// Returns the upper median, or 0 without values.
fn median(values: &mut [i64]) -> i64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}

#[cfg(test)]
mod tests;
