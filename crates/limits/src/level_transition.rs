//! What the state machine of service levels reports: changes of level, their reasons, and how far conditions are from being met.

use crate::condition::{ConditionState, TestStatus};
use crate::signals::SignalReading;

/// Why the service level changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransitionReason {
    /// The condition for entering the new level was met.
    Entered,
    /// The condition for leaving the old level was met.
    Left,
    /// Signals were missing for too long.
    SignalsLost,
    /// All measured signals had recovered for so long that those that depend on the endpoint list were overruled.
    EndpointListOverruled,
    /// The configuration was replaced.
    Replaced,
    /// The level was in force before a restart.
    Restored,
}

impl TransitionReason {
    /// The reason as records have it.
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
    /// The condition that was met, or what else decided.
    pub condition: String,
    /// All signals that the conditions use.
    pub readings: Vec<SignalReading>,
    /// Who is to be notified.
    pub notify: Vec<String>,
}

/// A condition that would change the level, and how far its tests are from being met.
#[derive(Clone, Debug, PartialEq)]
pub struct ConditionStatus {
    /// The name of the level that would follow.
    pub to: String,
    /// Whether that level is more severe than the current one.
    pub is_escalation: bool,
    /// The condition as declared.
    pub condition: String,
    /// The state of the condition.
    pub state: ConditionState,
    /// Each of its tests.
    pub tests: Vec<TestStatus>,
    /// How much longer the current level lasts at least, in microseconds; 0 for an escalation.
    pub remaining_duration_us: i64,
}

/// Why the level from before a restart is not restored.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RestoreError {
    /// No service levels are configured.
    #[error("there is no ladder any more")]
    NoLevels,
    /// The snapshot is too old, or from the future.
    #[error(
        "{level:?} was in force {age_seconds:.0} s ago, at most {max_age_seconds} s are bridged"
    )]
    Expired {
        /// The level.
        level: String,
        /// The age of the snapshot, in seconds.
        age_seconds: f64,
        /// The greatest age that is accepted, in seconds.
        max_age_seconds: i64,
    },
    /// No level has the name.
    #[error("no level {level:?} in this ladder")]
    UnknownLevel {
        /// The level.
        level: String,
    },
}
