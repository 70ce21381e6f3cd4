//! Recorded traffic in a format that does not depend on its source: CSV with a header and one line per request.
//!
//! ```text
//! at_ms,class,zone,key,work_ms
//! 0.000,status-read,hall-gueliz,,
//! 12.250,petition-file,hall-medina,p-4711,310
//! ```
//!
//! Only time and class are required. Times count from an arbitrary start, and lines may be out of order. Requests with the
//! same key are all retained: the replay decides whether they are attempts at one operation.

mod error;
mod reader;
mod trace;
mod writer;

pub use error::TrafficError;
pub use reader::read;
pub use trace::{Arrival, Traffic};
pub use writer::write;

/// Column for the time of arrival, in milliseconds.
const AT_MS: &str = "at_ms";
/// Column for the name of the class.
const CLASS: &str = "class";
/// Column for the name of the zone.
const ZONE: &str = "zone";
/// Column for the idempotency key.
const KEY: &str = "key";
/// Column for the service time, in milliseconds.
const WORK_MS: &str = "work_ms";
/// All columns, in the order in which they are written.
const COLUMNS: [&str; 5] = [AT_MS, CLASS, ZONE, KEY, WORK_MS];

#[cfg(test)]
mod tests;
