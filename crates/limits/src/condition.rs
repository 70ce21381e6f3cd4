//! Conditions over signals: tests that hold, do not hold, or of which nothing is known.

use std::fmt;

use crate::pb;
use crate::signals::{Observation, Signal, SignalWindow};

/// What is known of a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// It holds.
    Yes,
    /// It does not hold.
    No,
    /// Its signals are missing or too old.
    Unknown,
}

/// One test of one signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Test {
    /// The signal.
    pub signal: Signal,
    /// It must lie above the bound; or else below.
    pub above: bool,
    /// The bound.
    pub bound: f64,
    /// For so long, in microseconds.
    pub hold: i64,
}

impl fmt::Display for Test {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let side = if self.above { "above" } else { "below" };
        write!(f, "{} {side} {}", self.signal.name(), self.bound)?;
        if self.hold > 0 {
            write!(f, " for {} s", self.hold as f64 / 1e6)?;
        }
        Ok(())
    }
}

impl Test {
    /// Whether a value meets it.
    pub fn met(&self, value: f64) -> bool {
        if self.above {
            value > self.bound
        } else {
            value < self.bound
        }
    }

    /// What is known of it.
    pub fn known(&self, board: &SignalWindow, now: i64, most_age: i64) -> Known {
        if board.newest(self.signal, now, most_age).is_none() {
            return Known::Unknown;
        }
        match board.held(self.signal, most_age, |value| self.met(value)) {
            Some(held) if held >= self.hold => Known::Yes,
            _ => Known::No,
        }
    }

    /// How far it is from being met: what its signal shows, by how much that misses the bound, and how much longer it must
    /// hold, in microseconds.
    pub fn distance(&self, board: &SignalWindow, now: i64, most_age: i64) -> Distance {
        let newest = board.newest(self.signal, now, most_age);
        let value = newest.map(|sample| sample.value);
        let short = value.map(|value| {
            if self.above {
                self.bound - value
            } else {
                value - self.bound
            }
        });
        let held = board.held(self.signal, most_age, |value| self.met(value));
        let wait = (self.hold - held.unwrap_or(0)).max(0);
        Distance {
            test: *self,
            newest,
            short: short.map(|short| short.max(0.0)),
            wait,
        }
    }
}

/// How far a test is from being met.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Distance {
    /// The test.
    pub test: Test,
    /// What its signal shows; nothing where it is missing.
    pub newest: Option<Observation>,
    /// By how much that misses the bound.
    pub short: Option<f64>,
    /// How much longer it must hold, in microseconds.
    pub wait: i64,
}

/// All of some tests, and one of others where any are given.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Condition {
    /// All of these.
    pub all: Vec<Test>,
    /// And one of these, if there are any.
    pub any: Vec<Test>,
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let said: Vec<String> = self.all.iter().map(Test::to_string).collect();
        let any: Vec<String> = self.any.iter().map(Test::to_string).collect();
        match (said.is_empty(), any.is_empty()) {
            (false, false) => write!(f, "{} and ({})", said.join(" and "), any.join(" or ")),
            (false, true) => write!(f, "{}", said.join(" and ")),
            (true, _) => write!(f, "{}", any.join(" or ")),
        }
    }
}

impl Condition {
    /// All tests.
    pub fn tests(&self) -> impl Iterator<Item = &Test> {
        self.all.iter().chain(&self.any)
    }

    /// What is known of it, tests that `leave_out` names aside. Nothing is known of one without any test left.
    pub fn known(
        &self,
        board: &SignalWindow,
        now: i64,
        most_age: i64,
        leave_out: impl Fn(Signal) -> bool,
    ) -> Known {
        let known = |test: &Test| test.known(board, now, most_age);
        let all: Vec<Known> = self
            .all
            .iter()
            .filter(|test| !leave_out(test.signal))
            .map(known)
            .collect();
        let any: Vec<Known> = self
            .any
            .iter()
            .filter(|test| !leave_out(test.signal))
            .map(known)
            .collect();
        if all.is_empty() && any.is_empty() {
            return Known::Unknown;
        }
        let one = any.is_empty() || any.contains(&Known::Yes);
        if all.contains(&Known::No) || (!one && any.iter().all(|known| *known == Known::No)) {
            Known::No
        } else if one && all.iter().all(|known| *known == Known::Yes) {
            Known::Yes
        } else {
            Known::Unknown
        }
    }

    /// Whether it could hold at all for some values of its signals; a sentence if not.
    pub fn possible(&self) -> Result<(), String> {
        if self.all.is_empty() && self.any.is_empty() {
            return Err("it has no test".to_string());
        }
        for test in self.tests() {
            let (least, most) = test.signal.range();
            if (test.above && test.bound >= most) || (!test.above && test.bound <= least) {
                return Err(format!(
                    "{test} is never so: {} lies from {least} to {most}",
                    test.signal.name()
                ));
            }
        }
        for test in self.all.iter().filter(|test| test.above) {
            let against =
                |of: &&Test| of.signal == test.signal && !of.above && of.bound <= test.bound;
            if let Some(of) = self.all.iter().find(against) {
                return Err(format!("{test} and {of} contradict each other"));
            }
        }
        Ok(())
    }

    /// Reads one; what is wrong, as sentences.
    pub fn read(of: &pb::Condition) -> Result<Condition, String> {
        let test = |test: &pb::Test| -> Result<Test, String> {
            let signal = Signal::of(test.signal()).ok_or_else(|| {
                "a test without a signal: give one, such as SATURATION".to_string()
            })?;
            let (above, bound) = match test.bound {
                Some(pb::test::Bound::Above(bound)) => (true, bound),
                Some(pb::test::Bound::Below(bound)) => (false, bound),
                None => {
                    return Err(format!(
                        "{} without a bound: give above or below",
                        signal.name()
                    ))
                }
            };
            let hold = test.for_s.unwrap_or(0.0);
            if !bound.is_finite() || !(0.0..=HOLD_MOST_S).contains(&hold) {
                return Err(format!(
                    "{}: its bound must be a number, and for_s from 0 to {HOLD_MOST_S}",
                    signal.name()
                ));
            }
            Ok(Test {
                signal,
                above,
                bound,
                hold: (hold * 1e6) as i64,
            })
        };
        let tests = |of: &[pb::Test]| of.iter().map(test).collect::<Result<Vec<_>, _>>();
        let condition = Condition {
            all: tests(&of.all)?,
            any: tests(&of.any)?,
        };
        condition.possible()?;
        Ok(condition)
    }
}

/// Longest time that a test may have to hold, in seconds: signals are kept for a minute.
pub const HOLD_MOST_S: f64 = 30.0;

#[cfg(test)]
mod tests;
