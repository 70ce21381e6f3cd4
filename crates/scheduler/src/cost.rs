//! Cost of background work.

use std::time::Duration;

/// The cost of one or more steps, or a budget for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Time that the steps took, as an upper bound of their processor time.
    pub time: Duration,
    /// Bytes read and written.
    pub bytes: u64,
}

impl Cost {
    /// Returns the sum of both costs.
    pub(crate) fn plus(self, other: Cost) -> Cost {
        Cost {
            time: self.time + other.time,
            bytes: self.bytes.saturating_add(other.bytes),
        }
    }

    /// Returns the greater time and the greater number of bytes.
    pub(crate) fn max(self, other: Cost) -> Cost {
        Cost {
            time: self.time.max(other.time),
            bytes: self.bytes.max(other.bytes),
        }
    }

    /// Returns whether both time and bytes are within a budget.
    pub(crate) fn is_within(self, budget: Cost) -> bool {
        self.time <= budget.time && self.bytes <= budget.bytes
    }
}
