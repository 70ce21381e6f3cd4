//! Conditions over signals. A condition is met, is not met, or is unknown because signals are missing.

use std::fmt;

use crate::pb;
use crate::signals::{Observation, Signal, SignalWindow};

/// Maximum time for which a test may have to hold, in seconds: the window of signals covers a minute.
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

/// Whether a signal must be above or below its bound.
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
    /// Signal whose value is compared with the bound.
    pub signal: Signal,
    /// Whether the signal must be above or below the bound.
    pub comparison: Comparison,
    /// Bound of the signal's value, exclusive.
    pub bound: f64,
    /// Time for which the test must have passed, in microseconds.
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
    /// Returns whether a value passes.
    pub fn is_passed_by(&self, value: f64) -> bool {
        match self.comparison {
            Comparison::Above => value > self.bound,
            Comparison::Below => value < self.bound,
        }
    }

    /// Returns the state at `now_us`. Signals older than `max_age_us` count as missing.
    pub fn state(&self, signals: &SignalWindow, now_us: i64, max_age_us: i64) -> ConditionState {
        if signals.newest(self.signal, now_us, max_age_us).is_none() {
            return ConditionState::Unknown;
        }
        match self.holding_time_us(signals, max_age_us) {
            Some(holding_us) if holding_us >= self.hold_us => ConditionState::Met,
            _ => ConditionState::NotMet,
        }
    }

    /// Returns how far the test is from being met.
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

    /// Returns by how much a value misses the bound; 0 if it passes.
    fn shortfall(&self, value: f64) -> f64 {
        let distance = match self.comparison {
            Comparison::Above => self.bound - value,
            Comparison::Below => value - self.bound,
        };
        distance.max(0.0)
    }

    /// Checks that some value of the signal passes the test.
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

    /// Returns whether no value passes both tests.
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
    /// The test that the status describes.
    pub test: SignalTest,
    /// Newest observation of its signal; `None` if it is missing or too old.
    pub newest: Option<Observation>,
    /// By how much the observation misses the bound, 0 if it passes; `None` without one.
    pub shortfall: Option<f64>,
    /// Time for which the test must still pass, in microseconds.
    pub remaining_hold_us: i64,
}

/// A conjunction of tests and, if any are given, a disjunction of others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Condition {
    /// All of these must be met.
    pub all: Vec<SignalTest>,
    /// At least one of these must be met, if there are any.
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

/// Joins the texts of tests with a separator.
pub(crate) fn join_tests(tests: &[SignalTest], separator: &str) -> String {
    let texts: Vec<String> = tests.iter().map(SignalTest::to_string).collect();
    texts.join(separator)
}

/// Why a condition is rejected. The text completes "the level can't be entered: ".
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ConditionError {
    /// The condition has no test.
    #[error("it has no test")]
    NoTest,
    /// A test has no signal.
    #[error("a test has no signal: give one, such as SATURATION")]
    MissingSignal,
    /// A test has no bound.
    #[error("{signal} has no bound: give above or below")]
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
    /// A test that no value of its signal passes.
    #[error("{test} can never be met: {} ranges from {min} to {max}", .test.signal)]
    NeverMet {
        /// The test that is never met.
        test: SignalTest,
        /// Minimum value of the signal.
        min: f64,
        /// Maximum value of the signal.
        max: f64,
    },
    /// Two tests that can't be met at the same time.
    #[error("{above} and {below} contradict each other")]
    Contradiction {
        /// The test for values above a bound.
        above: SignalTest,
        /// The test for values below a bound.
        below: SignalTest,
    },
}

impl Condition {
    /// Returns the tests of both lists.
    pub fn tests(&self) -> impl Iterator<Item = &SignalTest> {
        self.all.iter().chain(&self.any)
    }

    /// Returns the state at `now_us`, without the tests of signals for which `is_excluded` is true; `Unknown` if no
    /// test remains. Signals older than `max_age_us` count as missing.
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

    /// Checks that some values of the signals meet the condition.
    ///
    /// # Errors
    ///
    /// If the condition has no test, a test that no value passes, or two tests that contradict each other.
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
    /// The first invalid test, or a condition that can never be met.
    pub fn read(declared: &pb::Condition) -> Result<Condition, ConditionError> {
        let condition = Condition {
            all: read_tests(&declared.all)?,
            any: read_tests(&declared.any)?,
        };
        condition.check_reachable()?;
        Ok(condition)
    }
}

/// Combines the states of tests that must all be met; met if there are none.
fn conjunction(states: &[ConditionState]) -> ConditionState {
    if states.contains(&ConditionState::NotMet) {
        ConditionState::NotMet
    } else if states.contains(&ConditionState::Unknown) {
        ConditionState::Unknown
    } else {
        ConditionState::Met
    }
}

/// Combines the states of tests of which one must be met; met if there are none.
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
