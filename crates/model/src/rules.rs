//! The five rules, checked by the model's own code on what front ends and servers really do, not on what was ordered.

use std::collections::{BTreeMap, VecDeque};

use chutegrade_policy::Idempotency;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Nobody is left without a server.
    Unserved,
    /// No effect happens twice.
    Twice,
    /// Drains are kept.
    Drain,
    /// No cold server is pushed over.
    Cold,
    /// The queue is short.
    Queue,
}

impl Rule {
    /// The word for it.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Unserved => "unserved",
            Rule::Twice => "twice",
            Rule::Drain => "drain",
            Rule::Cold => "cold",
            Rule::Queue => "queue",
        }
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokenRule {
    /// Which.
    pub rule: Rule,
    /// How often.
    pub times: u64,
    /// When first, in seconds.
    pub at_s: f64,
    /// How, the first time.
    pub description: String,
}

/// What was broken so far.
#[derive(Debug, Default)]
pub struct Rules(BTreeMap<Rule, BrokenRule>);

/// Part of the work sent to a cold server that must come from front ends that know of its start, for the rule to be broken.
const KNOWING: f64 = 2.0 / 3.0;
/// Requests of mean work that may come by chance beyond what a cold server is sure to take.
const CHANCE: f64 = 4.0;

impl Rules {
    /// A rule was broken.
    pub fn broken(&mut self, rule: Rule, now: u64, how: impl FnOnce() -> String) {
        let first = || BrokenRule {
            rule,
            times: 0,
            at_s: now as f64 / 1e6,
            description: how(),
        };
        self.0.entry(rule).or_insert_with(first).times += 1;
    }

    /// All that were broken.
    pub fn finish(self) -> Vec<BrokenRule> {
        self.0.into_values().collect()
    }
}

/// Whether a front end may send a request again: `ran` tells when a try that may have run was first sent, if there was one.
pub fn may_repeat(effect: Idempotency, ran: Option<u64>, now: u64) -> bool {
    match (effect, ran) {
        (Idempotency::Idempotent, _) | (_, None) => true,
        (Idempotency::Keyed(_, window), Some(sent)) => {
            now.saturating_sub(sent) <= window.0.max(0) as u64
        }
        (Idempotency::NotIdempotent, Some(_)) => false,
    }
}

/// How a cold server stands after more work was sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cold {
    /// It stands.
    Stands,
    /// It falls over, for work of which front ends could not know better.
    Falls,
    /// It falls over, and they knew.
    Pushed,
}

/// Counts work sent to a cold server within the window, in milliseconds, and tells whether it falls.
pub fn sent_cold(
    sent: &mut VecDeque<(u64, f64, bool)>,
    (now, work_ms, knowing): (u64, f64, bool),
    capacity: f64,
    (multiple, window_us, mean_ms): (f64, u64, f64),
) -> Cold {
    sent.push_back((now, work_ms, knowing));
    while sent.front().is_some_and(|(at, ..)| at + window_us < now) {
        sent.pop_front();
    }
    let sum: f64 = sent.iter().map(|(_, work, _)| work).sum();
    let most = multiple * capacity * window_us as f64 / 1e3 + CHANCE * mean_ms;
    if sum <= most {
        return Cold::Stands;
    }
    let known: f64 = sent
        .iter()
        .filter(|(.., knowing)| *knowing)
        .map(|(_, work, _)| work)
        .sum();
    if known >= KNOWING * sum {
        Cold::Pushed
    } else {
        Cold::Falls
    }
}

#[cfg(test)]
mod tests;
