//! Conditions over signals. A condition is met, is not met, or is unknown because signals are missing.

use std::fmt;

use crate::pb;
use crate::signals::{Observation, Signal, SignalWindow};

/// Longest time for which a test may have to hold, in seconds: the window of signals covers a minute.
pub const MAX_HOLD_SECONDS: f64 = 30.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The state of a test or a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionState {
    /// It is met.
    Met,
    /// It is not met.
    NotMet,
    /// Signals that it needs are missing or too old.
    Unknown,
}

/// The side of its bound on which a signal must lie.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Above the bound.
    Above,
    /// Below the bound.
    Below,
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Comparison::Above => "above",
            Comparison::Below => "below",
        })
    }
}

/// A test of one signal against a bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalTest {
    /// The signal.
    pub signal: Signal,
    /// The side of the bound on which the signal must lie.
    pub comparison: Comparison,
    /// The bound; a value equal to it doesn't pass.
    pub bound: f64,
    /// How long the signal must have passed, in microseconds.
    pub hold_us: i64,
}

impl fmt::Display for SignalTest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.signal, self.comparison, self.bound)?;
        if self.hold_us > 0 {
            let seconds = self.hold_us as f64 / MICROSECONDS_PER_SECOND;
            write!(f, " for {seconds} s")?;
        }
        Ok(())
    }
}

impl SignalTest {
    /// Whether a value passes.
    pub fn is_passed_by(&self, value: f64) -> bool {
        match self.comparison {
            Comparison::Above => value > self.bound,
            Comparison::Below => value < self.bound,
        }
    }

    /// The state at a moment. Signals older than `max_age_us` are missing.
    pub fn state(&self, signals: &SignalWindow, now_us: i64, max_age_us: i64) -> ConditionState {
        if signals.newest(self.signal, now_us, max_age_us).is_none() {
            return ConditionState::Unknown;
        }
        match self.holding_time_us(signals, max_age_us) {
            Some(holding_us) if holding_us >= self.hold_us => ConditionState::Met,
            _ => ConditionState::NotMet,
        }
    }

    /// How far the test is from being met.
    pub fn status(&self, signals: &SignalWindow, now_us: i64, max_age_us: i64) -> TestStatus {
        let newest = signals.newest(self.signal, now_us, max_age_us);
        let holding_us = self.holding_time_us(signals, max_age_us).unwrap_or(0);
        TestStatus {
            test: *self,
            newest,
            shortfall: newest.map(|observation| self.shortfall(observation.value)),
            remaining_hold_us: (self.hold_us - holding_us).max(0),
        }
    }

    fn holding_time_us(&self, signals: &SignalWindow, max_gap_us: i64) -> Option<i64> {
        signals.holding_time_us(self.signal, max_gap_us, |value| self.is_passed_by(value))
    }

    /// By how much a value misses the bound; 0 if it doesn't.
    fn shortfall(&self, value: f64) -> f64 {
        let distance = match self.comparison {
            Comparison::Above => self.bound - value,
            Comparison::Below => value - self.bound,
        };
        distance.max(0.0)
    }

    /// Checks that some value of the signal passes.
    fn check_reachable(&self) -> Result<(), ConditionError> {
        let range = self.signal.range();
        let is_unreachable = match self.comparison {
            Comparison::Above => self.bound >= range.max,
            Comparison::Below => self.bound <= range.min,
        };
        if !is_unreachable {
            return Ok(());
        }
        Err(ConditionError::NeverMet {
            test: *self,
            min: range.min,
            max: range.max,
        })
    }

    /// Whether no value passes both tests.
    fn contradicts(&self, other: &SignalTest) -> bool {
        self.signal == other.signal
            && self.comparison == Comparison::Above
            && other.comparison == Comparison::Below
            && other.bound <= self.bound
    }
}

/// How far a test is from being met.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestStatus {
    /// The test.
    pub test: SignalTest,
    /// The newest observation of its signal; `None` where that is missing or too old.
    pub newest: Option<Observation>,
    /// By how much that misses the bound; 0 where it passes.
    pub shortfall: Option<f64>,
    /// How much longer it must pass, in microseconds.
    pub remaining_hold_us: i64,
}

/// A conjunction of tests and, if any are given, a disjunction of others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Condition {
    /// All of these must be met.
    pub all: Vec<SignalTest>,
    /// One of these must be met, if there are any.
    pub any: Vec<SignalTest>,
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = join_tests(&self.all, " and ");
        let any = join_tests(&self.any, " or ");
        match (self.all.is_empty(), self.any.is_empty()) {
            (false, false) => write!(f, "{all} and ({any})"),
            (false, true) => f.write_str(&all),
            (true, _) => f.write_str(&any),
        }
    }
}

/// Tests as text, with a word between them.
pub(crate) fn join_tests(tests: &[SignalTest], separator: &str) -> String {
    let texts: Vec<String> = tests.iter().map(SignalTest::to_string).collect();
    texts.join(separator)
}

/// Why a condition is not accepted. The text completes "it can't be met: ".
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ConditionError {
    /// It has no test.
    #[error("it has no test")]
    NoTest,
    /// A test names no signal.
    #[error("a test without a signal: give one, such as SATURATION")]
    MissingSignal,
    /// A test has no bound.
    #[error("{signal} without a bound: give above or below")]
    MissingBound {
        /// The signal of the test.
        signal: Signal,
    },
    /// The bound or the holding time of a test is out of range.
    #[error("{signal}: its bound must be a number, and for_s from 0 to {max}", max = MAX_HOLD_SECONDS)]
    InvalidNumber {
        /// The signal of the test.
        signal: Signal,
    },
    /// No value of its signal passes a test.
    #[error("{test} is never so: {} lies from {min} to {max}", .test.signal)]
    NeverMet {
        /// The test.
        test: SignalTest,
        /// The least value of the signal.
        min: f64,
        /// The greatest value of the signal.
        max: f64,
    },
    /// Two tests can't be met together.
    #[error("{above} and {below} contradict each other")]
    Contradiction {
        /// The test that wants greater values.
        above: SignalTest,
        /// The test that wants smaller values.
        below: SignalTest,
    },
}

impl Condition {
    /// The tests of both lists.
    pub fn tests(&self) -> impl Iterator<Item = &SignalTest> {
        self.all.iter().chain(&self.any)
    }

    /// The state at a moment, without the tests of signals that `is_excluded` names; `Unknown` if no test is left. Signals
    /// older than `max_age_us` are missing.
    pub fn state(
        &self,
        signals: &SignalWindow,
        now_us: i64,
        max_age_us: i64,
        is_excluded: impl Fn(Signal) -> bool,
    ) -> ConditionState {
        let states = |tests: &[SignalTest]| -> Vec<ConditionState> {
            let included = tests.iter().filter(|test| !is_excluded(test.signal));
            included
                .map(|test| test.state(signals, now_us, max_age_us))
                .collect()
        };
        let all = states(&self.all);
        let any = states(&self.any);
        if all.is_empty() && any.is_empty() {
            return ConditionState::Unknown;
        }
        match (conjunction(&all), disjunction(&any)) {
            (ConditionState::NotMet, _) | (_, ConditionState::NotMet) => ConditionState::NotMet,
            (ConditionState::Met, ConditionState::Met) => ConditionState::Met,
            _ => ConditionState::Unknown,
        }
    }

    /// Checks that it could be met for some values of its signals.
    ///
    /// # Errors
    ///
    /// If it has no test, or tests that no value passes.
    pub fn check_reachable(&self) -> Result<(), ConditionError> {
        if self.all.is_empty() && self.any.is_empty() {
            return Err(ConditionError::NoTest);
        }
        for test in self.tests() {
            test.check_reachable()?;
        }
        for above in &self.all {
            let contradiction = self.all.iter().find(|below| above.contradicts(below));
            if let Some(below) = contradiction {
                return Err(ConditionError::Contradiction {
                    above: *above,
                    below: *below,
                });
            }
        }
        Ok(())
    }

    /// Reads a condition of the operators' file.
    ///
    /// # Errors
    ///
    /// The first fault of its tests, or that it could never be met.
    pub fn read(declared: &pb::Condition) -> Result<Condition, ConditionError> {
        let condition = Condition {
            all: read_tests(&declared.all)?,
            any: read_tests(&declared.any)?,
        };
        condition.check_reachable()?;
        Ok(condition)
    }
}

/// The state of tests that must all be met; met if there are none.
fn conjunction(states: &[ConditionState]) -> ConditionState {
    if states.contains(&ConditionState::NotMet) {
        ConditionState::NotMet
    } else if states.contains(&ConditionState::Unknown) {
        ConditionState::Unknown
    } else {
        ConditionState::Met
    }
}

/// The state of tests of which one must be met; met if there are none.
fn disjunction(states: &[ConditionState]) -> ConditionState {
    if states.is_empty() || states.contains(&ConditionState::Met) {
        ConditionState::Met
    } else if states.contains(&ConditionState::Unknown) {
        ConditionState::Unknown
    } else {
        ConditionState::NotMet
    }
}

fn read_tests(declared: &[pb::Test]) -> Result<Vec<SignalTest>, ConditionError> {
    declared.iter().map(read_test).collect()
}

fn read_test(declared: &pb::Test) -> Result<SignalTest, ConditionError> {
    let signal = Signal::from_schema(declared.signal()).ok_or(ConditionError::MissingSignal)?;
    let (comparison, bound) = match declared.bound {
        Some(pb::test::Bound::Above(bound)) => (Comparison::Above, bound),
        Some(pb::test::Bound::Below(bound)) => (Comparison::Below, bound),
        None => return Err(ConditionError::MissingBound { signal }),
    };
    let hold_seconds = declared.for_s.unwrap_or(0.0);
    let is_hold_valid = (0.0..=MAX_HOLD_SECONDS).contains(&hold_seconds);
    if !bound.is_finite() || !is_hold_valid {
        return Err(ConditionError::InvalidNumber { signal });
    }
    Ok(SignalTest {
        signal,
        comparison,
        bound,
        hold_us: (hold_seconds * MICROSECONDS_PER_SECOND) as i64,
    })
}

#[cfg(test)]
mod tests;
