//! Cost of background work.

use std::time::Duration;

/// The cost of one or several steps, or a budget for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Processor time.
    pub time: Duration,
    /// Bytes read and written.
    pub bytes: u64,
}

impl Cost {
    /// Both costs together.
    pub(crate) fn plus(self, other: Cost) -> Cost {
        Cost {
            time: self.time + other.time,
            bytes: self.bytes.saturating_add(other.bytes),
        }
    }

    /// The greater time and the greater number of bytes.
    pub(crate) fn max(self, other: Cost) -> Cost {
        Cost {
            time: self.time.max(other.time),
            bytes: self.bytes.max(other.bytes),
        }
    }

    /// Whether neither time nor bytes exceed a budget.
    pub(crate) fn is_within(self, budget: Cost) -> bool {
        self.time <= budget.time && self.bytes <= budget.bytes
    }
}
