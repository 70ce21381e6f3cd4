//! Errors in the operators' configuration of overload control, with their position in the text.

use chutegrade_textproto::{find_field, find_field_in_block, Position};

use crate::condition::ConditionError;

/// One error in the configuration.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{problem}")]
pub struct ConfigError {
    /// Index of the service level that the error belongs to; `None` for an error outside the levels.
    pub level: Option<usize>,
    /// Name of the field in the operators' file.
    pub field: &'static str,
    /// Why the field is rejected.
    pub problem: ConfigProblem,
}

impl ConfigError {
    /// Returns the position of the error in the text from which the configuration was read.
    pub fn position(&self, text: &str) -> Option<Position> {
        let Some(level) = self.level else {
            return find_field(text, self.field);
        };
        find_field_in_block(text, "level", level, self.field)
            .or_else(|| find_field(text, self.field))
    }
}

/// Why a field is rejected. The text also states what would be valid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigProblem {
    /// A number is out of range.
    #[error("{field} is {value}: must be from {min} to {max}")]
    OutOfRange {
        /// Name of the field in the operators' file.
        field: &'static str,
        /// Declared value.
        value: f64,
        /// Minimum accepted value.
        min: f64,
        /// Maximum accepted value.
        max: f64,
    },
    /// A duration is out of range.
    #[error("{field} is {seconds}: must be from 0 to {max} seconds")]
    SecondsOutOfRange {
        /// Name of the field in the operators' file.
        field: &'static str,
        /// Declared duration, in seconds.
        seconds: f64,
        /// Maximum accepted value.
        max: f64,
    },
    /// The default levels are enabled, and levels are declared as well.
    #[error("usual: true can't be combined with declared levels: give only one of them")]
    DefaultAndOwnLevels,
    /// No level is declared, and the default levels are not enabled.
    #[error("ladder has no level: declare levels or set usual: true")]
    NoLevels,
    /// There are too many levels.
    #[error("{count} levels are declared: at most {limit} are accepted")]
    TooManyLevels {
        /// Number of declared levels.
        count: usize,
        /// Maximum number of levels.
        limit: usize,
    },
    /// The name is too long, or has characters that are not allowed.
    #[error("the level name {level:?} is invalid: use up to {max_length} letters, digits, spaces, - and _")]
    InvalidName {
        /// Name of the level.
        level: String,
        /// Maximum number of characters.
        max_length: usize,
    },
    /// An earlier level, or full service, has the same name.
    #[error("the level name {level:?} is already in use: names must be unique")]
    DuplicateName {
        /// Name of the level.
        level: String,
    },
    /// The configuration has no class of this name.
    #[error("no class {class:?}")]
    UnknownClass {
        /// Name of the class.
        class: String,
    },
    /// The admitted share of a class is out of range.
    #[error("{level:?} keeps {share} of {class}: must be from {min} to 1")]
    ShareOutOfRange {
        /// Name of the level.
        level: String,
        /// Name of the class.
        class: String,
        /// The admitted share.
        share: f64,
        /// Minimum accepted value.
        min: f64,
    },
    /// The level reduces no class.
    #[error("{level:?} sheds nothing: declare at least one class to shed")]
    ShedsNothing {
        /// Name of the level.
        level: String,
    },
    /// The level has no condition for entering or leaving it.
    #[error("{level:?} can't be {event}: its condition is missing")]
    MissingCondition {
        /// Name of the level.
        level: String,
        /// Event that the condition is for.
        event: LevelEvent,
    },
    /// A condition is rejected.
    #[error("{level:?} can't be {event}: {source}")]
    InvalidCondition {
        /// Name of the level.
        level: String,
        /// Event that the condition is for.
        event: LevelEvent,
        /// Why it is rejected.
        source: ConditionError,
    },
    /// The minimum duration of the level is out of range.
    #[error("least_stay_s of {level:?} is {seconds}: must be from 0 to {max} seconds")]
    MinDurationOutOfRange {
        /// Name of the level.
        level: String,
        /// Declared duration, in seconds.
        seconds: f64,
        /// Maximum accepted value.
        max: f64,
    },
    /// The conditions for entering and leaving can be met by the same signals, or nearly so.
    #[error("{level:?} could be entered and left by the same signals ({enter}; {leave}): keep a gap of a tenth between the bounds")]
    NoHysteresis {
        /// Name of the level.
        level: String,
        /// Tests for entering.
        enter: String,
        /// Tests for leaving.
        leave: String,
    },
    /// The level sheds more of a class than of one with a lower priority.
    #[error("{level:?} sheds more of {higher}, which has a higher priority, than of {lower}")]
    ShedsHigherPriorityFirst {
        /// Name of the level.
        level: String,
        /// The class with the higher priority.
        higher: String,
        /// The class with the lower priority.
        lower: String,
    },
    /// The next level admits more of a class.
    #[error("{next:?} keeps more of {class} than {level:?}, which keeps {share}: order levels from mild to severe")]
    NotOrderedBySeverity {
        /// Name of the level.
        level: String,
        /// Name of the next level.
        next: String,
        /// Name of the class.
        class: String,
        /// The admitted share.
        share: f64,
    },
    /// The next level is entered whenever this one would be.
    #[error("{level:?} is never entered: its condition implies that of {next:?}")]
    NeverEntered {
        /// Name of the level.
        level: String,
        /// Name of the next level.
        next: String,
    },
}

/// The event that a condition of a level permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelEvent {
    /// The level is entered.
    Entered,
    /// The level is left.
    Left,
}

impl std::fmt::Display for LevelEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            LevelEvent::Entered => "entered",
            LevelEvent::Left => "left",
        })
    }
}
