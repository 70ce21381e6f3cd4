//! Service levels: the share of each class that a level admits, and the conditions under which it is entered and left.
//!
//! `level_config` reads them, `level_checks` checks them, and `transitions` evaluates them.

use crate::condition::{Condition, SignalTest};
use crate::signals::Signal;

/// Name of full service, which is not one of the declared levels.
pub const FULL_SERVICE: &str = "full";
/// Minimum admitted share of a class: with nothing admitted, recovery could not be observed.
pub const MIN_CLASS_SHARE: f64 = 0.1;

/// The share of a class that a level admits.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedShare {
    /// The name of the class.
    pub class: String,
    /// The share, from [`MIN_CLASS_SHARE`] to 1.
    pub share: f64,
}

/// One level of reduced service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLevel {
    /// The name, unique among the levels.
    pub name: String,
    /// Admitted share of each class; classes that are not listed are admitted in full.
    pub admitted_shares: Vec<AdmittedShare>,
    /// When the level is entered.
    pub enter: Condition,
    /// When the level may be left.
    pub leave: Condition,
    /// Minimum duration of the level, in microseconds.
    pub min_duration_us: i64,
    /// Whom to notify when it is entered; the log and the records have these names.
    pub notify: Vec<String>,
}

impl ServiceLevel {
    /// Returns the admitted share of a class, by its name.
    pub fn admitted_share(&self, class: &str) -> f64 {
        self.admitted_shares
            .iter()
            .find(|admitted| admitted.class == class)
            .map_or(1.0, |admitted| admitted.share)
    }
}

/// All levels, the mildest first, and how missing and stale signals are treated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLevels {
    /// The levels; level number 1 is the first of them.
    pub levels: Vec<ServiceLevel>,
    /// Time without signals after which the next milder level follows, in microseconds.
    pub signal_loss_timeout_us: i64,
    /// Age above which a signal counts as missing, in microseconds.
    pub max_signal_age_us: i64,
    /// Time for which all other signals must have recovered before those that depend on the endpoint list are ignored,
    /// in microseconds.
    pub endpoint_list_timeout_us: i64,
}

impl ServiceLevels {
    /// Returns the level with this number; `None` for 0, which is full service, and beyond the last level.
    pub fn level(&self, number: usize) -> Option<&ServiceLevel> {
        self.levels.get(number.checked_sub(1)?)
    }

    /// Returns the name of a level by its number; 0 is full service.
    pub fn name(&self, number: usize) -> &str {
        self.level(number)
            .map_or(FULL_SERVICE, |level| level.name.as_str())
    }

    /// Returns the number of a level by its name; 0 is full service.
    pub fn number(&self, name: &str) -> Option<usize> {
        if name == FULL_SERVICE {
            return Some(0);
        }
        let index = self.levels.iter().position(|level| level.name == name)?;
        Some(index + 1)
    }

    /// Returns the signals that any condition uses, in the order of their numbers.
    pub fn signals_in_use(&self) -> Vec<Signal> {
        let conditions = self
            .levels
            .iter()
            .flat_map(|level| [&level.enter, &level.leave]);
        let tests = conditions.flat_map(Condition::tests);
        let mut signals: Vec<Signal> = tests.map(|test: &SignalTest| test.signal).collect();
        signals.sort_unstable();
        signals.dedup();
        signals
    }
}
