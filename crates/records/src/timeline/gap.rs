//! Intervals with missing records.

use std::sync::Arc;

use crate::index::hole_reason;

/// The reason for a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GapReason {
    /// The supervisor was shut down, until its next incarnation.
    Stopped,
    /// The supervisor ended without a shutdown record, until its next incarnation.
    Crashed,
    /// Records did not reach the disk.
    Lost,
    /// Files are damaged, or a segment is missing.
    Damaged,
    /// Earlier records were removed.
    Trimmed,
    /// The supervisor recorded nothing although it ran.
    Stalled,
    /// The system clock stepped. Nothing is missing, but times do not match those of other clocks.
    ClockStep,
    /// No record follows. The supervisor may be running or may have ended.
    Open,
}

impl GapReason {
    /// Returns the name of the reason in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            GapReason::Stopped => "stopped",
            GapReason::Crashed => "crash",
            GapReason::Lost => "lost",
            GapReason::Damaged => "damaged",
            GapReason::Trimmed => "trimmed",
            GapReason::Stalled => "stood still",
            GapReason::ClockStep => "clock step",
            GapReason::Open => "no record since",
        }
    }

    /// Parses the reason that an index stores. An unknown one counts as damage.
    pub(super) fn from_stored(reason: &str) -> Self {
        match reason {
            hole_reason::LOST => GapReason::Lost,
            hole_reason::STALLED => GapReason::Stalled,
            hole_reason::CLOCK => GapReason::ClockStep,
            _ => GapReason::Damaged,
        }
    }
}

/// An interval of one supervisor with missing or unreliable records, by the common clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Gap {
    /// The name of the supervisor.
    pub supervisor: Arc<str>,
    /// The begin, in Unix microseconds; `i64::MIN` if it is open.
    pub from_us: i64,
    /// The end, in Unix microseconds; `i64::MAX` if it is open.
    pub to_us: i64,
    /// Why records are missing or unreliable.
    pub reason: GapReason,
    /// The number of missing records; 0 if it is not known.
    pub missing: u64,
    /// Further details; empty if there are none.
    pub detail: String,
}

impl Gap {
    /// Describes the gap in one line, without its times.
    pub fn line(&self) -> String {
        let length = crate::text::duration(self.to_us.saturating_sub(self.from_us));
        let mut text = format!("{} for {length}", self.reason.as_str());
        if self.missing > 0 {
            text += &format!(", {} records missing", self.missing);
        }
        if !self.detail.is_empty() {
            text += &format!(" ({})", self.detail);
        }
        text
    }
}

/// An interval, both ends included, in Unix microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// The begin.
    pub from_us: i64,
    /// The end.
    pub to_us: i64,
}
