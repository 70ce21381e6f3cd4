//! Recorded requests in memory.

use std::collections::HashMap;

/// One recorded request.
///
/// Experiments hash the `Debug` text of this type and of [`Traffic`]: renaming a field invalidates their stored digests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the first request, in microseconds.
    pub at_us: u64,
    /// The class, as an index into [`Traffic::classes`].
    pub class: u16,
    /// The zone, as an index into [`Traffic::zones`]; `None` if it is not recorded.
    pub zone: Option<u16>,
    /// The number of the idempotency key, by first occurrence in the file; `None` without a key.
    pub key: Option<u32>,
    /// The service time in milliseconds; `None` if it is not recorded.
    pub work_ms: Option<f64>,
}

/// Recorded requests, ordered by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Names of the classes, by first occurrence in the file.
    pub classes: Vec<String>,
    /// Names of the zones, by first occurrence in the file.
    pub zones: Vec<String>,
    /// The requests, by time; those at the same time are in the order of their lines.
    pub arrivals: Vec<Arrival>,
    /// Number of distinct idempotency keys.
    pub keys: u32,
    /// Number of lines that follow a line with a later time.
    pub out_of_order: u64,
}

/// Identifies the operation of a request.
#[derive(PartialEq, Eq, Hash)]
struct Operation {
    class: u16,
    key: u32,
}

impl Traffic {
    /// Returns the time from the first request to the last, in microseconds; 0 without requests.
    pub fn duration_us(&self) -> u64 {
        self.arrivals.last().map_or(0, |last| last.at_us)
    }

    /// Counts the requests that follow one of the same class and key by at most `interval_us` microseconds.
    pub fn count_retries(&self, interval_us: u64) -> u64 {
        let mut last_seen: HashMap<Operation, u64> = HashMap::new();
        let mut retries = 0;
        for arrival in &self.arrivals {
            let Some(key) = arrival.key else { continue };
            let class = arrival.class;
            let previous = last_seen.insert(Operation { class, key }, arrival.at_us);
            let is_retry = previous.is_some_and(|previous| arrival.at_us - previous <= interval_us);
            retries += u64::from(is_retry);
        }
        retries
    }
}
