//! Whether two supervisors' clocks differ, told from what both learn of at about the same time: the list's news of a
//! server. Nothing is shifted unless enough of it agrees.

use std::collections::BTreeMap;

use crate::pb::{record::Kind, Record};

/// Kinds of which all supervisors learn alike, by number.
pub const SHARED: [u32; 2] = [21, SERVER_STARTED];
/// The kind whose own time is the list's and not the supervisor's, so that no difference of clocks is in it.
pub const SERVER_STARTED: u32 = 22;
/// News that both tell of, from which a difference is believed.
const PAIRS_LEAST: usize = 3;
/// A difference below this is the list's own lateness, in microseconds.
const AHEAD_LEAST_US: i64 = 1_000_000;
/// Half of the differences must lie this close to their median, in microseconds. Danger: a list that reaches one
/// supervisor late for one server would shift all that it recorded.
const SPREAD_MOST_US: i64 = 500_000;

/// What one supervisor learned of the list, and when.
#[derive(Clone, Debug, Default)]
pub struct Marks(BTreeMap<(String, Option<i32>), Vec<i64>>);

impl Marks {
    /// Takes in a record.
    pub fn add(&mut self, record: &Record) {
        let news = match &record.kind {
            Some(Kind::LifeChanged(of)) => (of.server.clone(), Some(of.life)),
            Some(Kind::ServerStarted(of)) => (of.server.clone(), None),
            _ => return,
        };
        self.0.entry(news).or_default().push(record.learned_us);
    }
}

fn median(values: &mut [i64]) -> Option<i64> {
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}

/// How far the second clock is ahead of the first, in microseconds, and by how many pieces of news; 0 where they agree or
/// nothing can be told. News that one of them tells of more often, as after a restart, says nothing.
pub fn ahead(first: &Marks, second: &Marks) -> (i64, usize) {
    let pairs = first.0.iter().filter_map(|(news, times)| {
        let theirs = second.0.get(news)?;
        (times.len() == theirs.len())
            .then(|| theirs.iter().zip(times).map(|(b, a)| b.saturating_sub(*a)))
    });
    let mut differences: Vec<i64> = pairs.flatten().collect();
    let count = differences.len();
    let Some(middle) = median(&mut differences).filter(|_| count >= PAIRS_LEAST) else {
        return (0, 0);
    };
    let mut spread: Vec<i64> = differences
        .iter()
        .map(|one| one.saturating_sub(middle).saturating_abs())
        .collect();
    let close = median(&mut spread).is_some_and(|spread| spread <= SPREAD_MOST_US);
    if close && middle.saturating_abs() >= AHEAD_LEAST_US {
        (middle, count)
    } else {
        (0, count)
    }
}

#[cfg(test)]
mod tests;
