//! The five rules that every run must keep. They are checked independently of the decision module, on what proxies and
//! servers do rather than on the orders.

use std::collections::{BTreeMap, VecDeque};

use chutegrade_policy::Idempotency;

/// A rule; the order is that of the outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A proxy must not be left without a server for a class for long while a warm one is listed.
    Unserved,
    /// A request that is not idempotent must not be executed twice, and a keyed one not again after its deduplication
    /// window. A proxy that sends such a repeat breaks the rule even if it is not executed.
    DuplicateExecution,
    /// A draining or removed server must get no requests after the drain grace.
    Drain,
    /// A warming up server must not be overloaded by proxies that know of its start.
    WarmUp,
    /// The backlog of a supervisor's channel, and the messages to one proxy, must stay within their limits.
    Backlog,
}

impl Rule {
    /// Returns the name that reports use.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Unserved => "unserved",
            Rule::DuplicateExecution => "twice",
            Rule::Drain => "drain",
            Rule::WarmUp => "cold",
            Rule::Backlog => "queue",
        }
    }
}

/// A rule that was broken during a run.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokenRule {
    /// The broken rule.
    pub rule: Rule,
    /// Number of violations.
    pub times: u64,
    /// Time of the first violation, in seconds since the start of the run.
    pub at_s: f64,
    /// Description of the first violation.
    pub description: String,
}

/// Violations so far, by rule.
#[derive(Debug, Default)]
pub struct BrokenRules(BTreeMap<Rule, BrokenRule>);

/// Minimum share of the work sent to a warming up server that must come from proxies that know of its start, for the rule
/// to be broken.
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;
/// Requests of mean work that random arrivals may add to the limit of a warming up server.
const RANDOM_EXCESS_REQUESTS: f64 = 4.0;

impl BrokenRules {
    /// Counts a violation; `describe` is called for the first of a rule only.
    pub fn record(&mut self, rule: Rule, now_us: u64, describe: impl FnOnce() -> String) {
        let first = || BrokenRule {
            rule,
            times: 0,
            at_s: now_us as f64 / 1e6,
            description: describe(),
        };
        self.0.entry(rule).or_insert_with(first).times += 1;
    }

    /// Returns the broken rules, in the order of [`Rule`].
    pub fn finish(self) -> Vec<BrokenRule> {
        self.0.into_values().collect()
    }
}

/// Returns whether a proxy or a client may repeat a request. `maybe_executed_us` is when the first attempt that may have
/// been executed was sent, if there was one.
pub fn may_repeat(idempotency: Idempotency, maybe_executed_us: Option<u64>, now_us: u64) -> bool {
    match (idempotency, maybe_executed_us) {
        (Idempotency::Idempotent, _) | (_, None) => true,
        (Idempotency::Keyed(_, window), Some(sent_us)) => {
            now_us.saturating_sub(sent_us) <= window.0.max(0) as u64
        }
        (Idempotency::NotIdempotent, Some(_)) => false,
    }
}

/// Load of a warming up server in relation to its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpLoad {
    /// Within the limit.
    Tolerated,
    /// Above the limit, but too little of the work is from proxies that know of its start.
    Overloaded,
    /// Above the limit, with work from proxies that know of its start.
    KnowinglyOverloaded,
}

/// Adds work sent to a warming up server, in milliseconds, to that of the window, and compares the sum with its limit: a
/// multiple of the server's capacity over the window.
pub fn check_warm_up_load(
    sent: &mut VecDeque<(u64, f64, bool)>,
    (now_us, work_ms, is_informed): (u64, f64, bool),
    capacity: f64,
    (multiple, window_us, mean_work_ms): (f64, u64, f64),
) -> WarmUpLoad {
    sent.push_back((now_us, work_ms, is_informed));
    while sent
        .front()
        .is_some_and(|(sent_us, ..)| sent_us + window_us < now_us)
    {
        sent.pop_front();
    }
    let total: f64 = sent.iter().map(|(_, work_ms, _)| work_ms).sum();
    let limit =
        multiple * capacity * window_us as f64 / 1e3 + RANDOM_EXCESS_REQUESTS * mean_work_ms;
    if total <= limit {
        return WarmUpLoad::Tolerated;
    }
    let informed_sum: f64 = sent
        .iter()
        .filter(|(.., is_informed)| *is_informed)
        .map(|(_, work_ms, _)| work_ms)
        .sum();
    if informed_sum >= MIN_INFORMED_SHARE * total {
        WarmUpLoad::KnowinglyOverloaded
    } else {
        WarmUpLoad::Overloaded
    }
}

#[cfg(test)]
mod tests;
