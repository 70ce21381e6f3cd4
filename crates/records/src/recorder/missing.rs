//! Counts records that could not be written.

use crate::pb::{record::Kind, Lost};

/// The number of missing records, and the interval of their events in Unix microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct MissingRecords {
    pub count: u64,
    pub from_us: i64,
    pub to_us: i64,
}

impl MissingRecords {
    /// Counts a missing record by the time of its event.
    pub fn add(&mut self, at_us: i64) {
        if self.count == 0 {
            self.from_us = at_us;
            self.to_us = at_us;
        }
        self.count += 1;
        self.from_us = self.from_us.min(at_us);
        self.to_us = self.to_us.max(at_us);
    }

    /// Returns the `lost` record, or `None` if no record is missing.
    pub fn to_kind(self, reason: &str) -> Option<Kind> {
        if self.count == 0 {
            return None;
        }
        Some(Kind::Lost(Lost {
            count: self.count,
            from_us: self.from_us,
            to_us: self.to_us,
            reason: reason.to_string(),
        }))
    }
}
