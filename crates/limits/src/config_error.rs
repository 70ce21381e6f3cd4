//! Faults in the operators' configuration of overload control, with their place in the text.

use chutegrade_textproto::{find_field, find_field_in_block, Position};

use crate::condition::ConditionError;

/// One fault in the configuration.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{problem}")]
pub struct ConfigError {
    /// The service level, counted from 0, if the fault belongs to one.
    pub level: Option<usize>,
    /// The field, as the operators' file names it.
    pub field: &'static str,
    /// What is wrong, and what would be right.
    pub problem: ConfigProblem,
}

impl ConfigError {
    /// The place of the fault in the text from which the configuration was read.
    pub fn position(&self, text: &str) -> Option<Position> {
        let Some(level) = self.level else {
            return find_field(text, self.field);
        };
        find_field_in_block(text, "level", level, self.field)
            .or_else(|| find_field(text, self.field))
    }
}

/// What is wrong, and what would be right.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigProblem {
    /// A figure is out of range.
    #[error("{field} is {value}: give a figure from {min} to {max}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// The value that is given.
        value: f64,
        /// The least value that is accepted.
        min: f64,
        /// The greatest value that is accepted.
        max: f64,
    },
    /// A duration is out of range.
    #[error("{field} is {seconds}: give seconds from 0 to {max}")]
    SecondsOutOfRange {
        /// The field.
        field: &'static str,
        /// The duration that is given, in seconds.
        seconds: f64,
        /// The greatest value that is accepted.
        max: f64,
    },
    /// The default levels are asked for, and levels are given.
    #[error("the usual ladder has its own levels: give either")]
    DefaultAndOwnLevels,
    /// There is no level.
    #[error("a ladder without a level: give levels, or usual: true")]
    NoLevels,
    /// There are too many levels.
    #[error("{count} levels are too many: at most {limit}")]
    TooManyLevels {
        /// How many are given.
        count: usize,
        /// How many are accepted.
        limit: usize,
    },
    /// The name is too long, or has characters that are not allowed.
    #[error("{level:?}: give up to {max_length} letters, digits, blanks, - and _")]
    InvalidName {
        /// The name of the level.
        level: String,
        /// The most characters.
        max_length: usize,
    },
    /// Another level, or full service, has the name.
    #[error("{level:?} is taken: every level has a name of its own")]
    DuplicateName {
        /// The name of the level.
        level: String,
    },
    /// There is no such class.
    #[error("no class {class:?}")]
    UnknownClass {
        /// The name of the class.
        class: String,
    },
    /// The admitted share of a class is out of range.
    #[error("{level:?} keeps {share} of {class}: give a share from {min} to 1")]
    ShareOutOfRange {
        /// The name of the level.
        level: String,
        /// The name of the class.
        class: String,
        /// The admitted share.
        share: f64,
        /// The least value that is accepted.
        min: f64,
    },
    /// The level reduces no class.
    #[error("{level:?} sheds nothing: say of which class how much is kept")]
    ShedsNothing {
        /// The name of the level.
        level: String,
    },
    /// The level has no condition for being entered or left.
    #[error("{level:?} can't be {event}: give a condition")]
    MissingCondition {
        /// The name of the level.
        level: String,
        /// What the condition is for.
        event: LevelEvent,
    },
    /// A condition is not accepted.
    #[error("{level:?} can't be {event}: {source}")]
    InvalidCondition {
        /// The name of the level.
        level: String,
        /// What the condition is for.
        event: LevelEvent,
        /// Why it is not accepted.
        source: ConditionError,
    },
    /// The least duration of the level is out of range.
    #[error("{level:?} stays {seconds}: give seconds from 0 to {max}")]
    MinDurationOutOfRange {
        /// The name of the level.
        level: String,
        /// The duration that is given, in seconds.
        seconds: f64,
        /// The greatest value that is accepted.
        max: f64,
    },
    /// The conditions for entering and leaving can be met at once, or nearly.
    #[error("{level:?} could be entered and left at once ({enter}; {leave}): leave a gap of a tenth between them")]
    NoHysteresis {
        /// The name of the level.
        level: String,
        /// Tests for entering.
        enter: String,
        /// Tests for leaving.
        leave: String,
    },
    /// The level sheds more of a class than of one with a lower priority.
    #[error("{level:?} sheds more of {higher}, which is dearer, than of {lower}")]
    ShedsHigherPriorityFirst {
        /// The name of the level.
        level: String,
        /// The class with the higher priority.
        higher: String,
        /// The class with the lower priority.
        lower: String,
    },
    /// The level after it admits more of a class.
    #[error("{next:?} keeps more of {class} than {level:?}, which keeps {share}: levels go from mild to severe")]
    NotOrderedBySeverity {
        /// The name of the level.
        level: String,
        /// The name of the level after it.
        next: String,
        /// The name of the class.
        class: String,
        /// The admitted share.
        share: f64,
    },
    /// The level after it is entered whenever this one would be.
    #[error("{level:?} is never entered: whenever it would be, {next:?} is already")]
    NeverEntered {
        /// The name of the level.
        level: String,
        /// The name of the level after it.
        next: String,
    },
}

/// What a condition of a level is for.
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
            LevelEvent::Entered => "reached",
            LevelEvent::Left => "left",
        })
    }
}
