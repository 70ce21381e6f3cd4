//! Intervals of which not everything is known.

use std::sync::Arc;

use crate::index::hole_reason;

/// Why not everything is known of an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GapReason {
    /// The supervisor was shut down, until its next incarnation.
    Stopped,
    /// The supervisor ended without a last record, until its next incarnation.
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
    /// Nothing follows: the supervisor runs or has ended, which can't be told.
    Open,
}

impl GapReason {
    /// The reason as reports print it.
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

    /// The reason that an index stores.
    pub(super) fn from_stored(reason: &str) -> Self {
        match reason {
            hole_reason::LOST => GapReason::Lost,
            hole_reason::STALLED => GapReason::Stalled,
            hole_reason::CLOCK => GapReason::ClockStep,
            _ => GapReason::Damaged,
        }
    }
}

/// An interval of one supervisor of which not everything is known, by the common clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Gap {
    /// The name of the supervisor.
    pub supervisor: Arc<str>,
    /// The begin, in Unix microseconds.
    pub from_us: i64,
    /// The end, in Unix microseconds.
    pub to_us: i64,
    /// Why.
    pub reason: GapReason,
    /// The number of missing records, where it is known; 0 otherwise.
    pub missing: u64,
    /// Further details; empty if there are none.
    pub detail: String,
}

impl Gap {
    /// The gap in one line, without its times.
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
