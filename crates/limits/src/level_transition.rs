//! Output of the state machine of service levels: changes of level, their reasons, and how far conditions are from
//! being met.

use crate::condition::{ConditionState, TestStatus};
use crate::signals::SignalReading;

/// Why the service level changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransitionReason {
    /// The condition for entering the new level was met.
    Entered,
    /// The condition for leaving the old level was met.
    Left,
    /// Signals of the condition for leaving were missing for too long.
    SignalsLost,
    /// The condition for leaving was met for a long time except for signals that depend on the endpoint list, which
    /// were therefore ignored.
    EndpointListOverruled,
    /// The configuration was replaced.
    Replaced,
    /// The level was in force before a restart.
    Restored,
}

impl TransitionReason {
    /// Returns the text of the reason in records.
    pub fn as_str(self) -> &'static str {
        match self {
            TransitionReason::Entered => "entered",
            TransitionReason::Left => "left",
            TransitionReason::SignalsLost => "no signals",
            TransitionReason::EndpointListOverruled => "list doubted",
            TransitionReason::Replaced => "ladder replaced",
            TransitionReason::Restored => "restored",
        }
    }
}

/// A change of the service level.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelTransition {
    /// The name of the old level.
    pub from: String,
    /// The name of the new level.
    pub to: String,
    /// The number of the new level; 0 is full service.
    pub number: usize,
    /// Why it changed.
    pub reason: TransitionReason,
    /// The condition that was met, or another cause, as text.
    pub condition: String,
    /// Newest values of all signals that the conditions use.
    pub readings: Vec<SignalReading>,
    /// Whom to notify, as the new level declares.
    pub notify: Vec<String>,
}

/// A condition that would change the level, and how far its tests are from being met.
#[derive(Clone, Debug, PartialEq)]
pub struct ConditionStatus {
    /// The name of the level that would be entered.
    pub to: String,
    /// Whether that level is more severe than the current one.
    pub is_escalation: bool,
    /// The condition as declared.
    pub condition: String,
    /// The state of the condition.
    pub state: ConditionState,
    /// How far each of its tests is from being met.
    pub tests: Vec<TestStatus>,
    /// Rest of the current level's minimum duration, in microseconds; 0 for an escalation.
    pub remaining_duration_us: i64,
}

/// Why the level from before a restart is not restored.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RestoreError {
    /// No service levels are configured.
    #[error("no service levels are configured")]
    NoLevels,
    /// The snapshot is too old, or its time is in the future.
    #[error(
        "the saved level {level:?} is {age_seconds:.0} s old, at most {max_age_seconds} s are accepted"
    )]
    Expired {
        /// Name of the saved level.
        level: String,
        /// The age of the snapshot, in seconds.
        age_seconds: f64,
        /// Maximum accepted age, in seconds.
        max_age_seconds: i64,
    },
    /// No level has the name.
    #[error("no level {level:?} is configured")]
    UnknownLevel {
        /// Name of the saved level.
        level: String,
    },
}
