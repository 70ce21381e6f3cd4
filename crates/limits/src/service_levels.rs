//! Service levels: what each admits of every class, and the conditions under which it is entered and left.
//!
//! `level_config` reads them, `level_checks` checks them, `transitions` runs them.

use crate::condition::{Condition, SignalTest};
use crate::signals::Signal;

/// The name of full service, which has no entry among the levels.
pub const FULL_SERVICE: &str = "full";
/// Least share admitted of a class: with nothing admitted, recovery could not be observed.
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
    /// What is admitted of each class; classes that are not listed are admitted in full.
    pub admitted_shares: Vec<AdmittedShare>,
    /// When the level is entered.
    pub enter: Condition,
    /// When the level may be left.
    pub leave: Condition,
    /// How long the level lasts at least, in microseconds.
    pub min_duration_us: i64,
    /// Who is to be notified when it is entered, as the log and the records say.
    pub notify: Vec<String>,
}

impl ServiceLevel {
    /// The share that is admitted of a class, by its name.
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
    /// How long a level lasts without signals before the next milder one follows, in microseconds.
    pub signal_loss_timeout_us: i64,
    /// The age from which a signal counts as missing, in microseconds.
    pub max_signal_age_us: i64,
    /// How long all measured signals must have recovered before signals that depend on the endpoint list are overruled, in
    /// microseconds.
    pub endpoint_list_timeout_us: i64,
}

impl ServiceLevels {
    /// The level with a number; `None` for full service, which has number 0, and beyond the last.
    pub fn level(&self, number: usize) -> Option<&ServiceLevel> {
        self.levels.get(number.checked_sub(1)?)
    }

    /// The name of a level by its number; 0 is full service.
    pub fn name(&self, number: usize) -> &str {
        self.level(number)
            .map_or(FULL_SERVICE, |level| level.name.as_str())
    }

    /// The number of a level by its name; 0 is full service.
    pub fn number(&self, name: &str) -> Option<usize> {
        if name == FULL_SERVICE {
            return Some(0);
        }
        let index = self.levels.iter().position(|level| level.name == name)?;
        Some(index + 1)
    }

    /// The signals that any condition uses, in the order of their numbers.
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
