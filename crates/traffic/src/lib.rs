//! Recorded traffic in a neutral form, which any source can write: CSV with a header and one line a request.
//!
//! ```text
//! at_ms,class,zone,key,work_ms
//! 0.000,status-read,hall-gueliz,,
//! 12.250,petition-file,hall-medina,p-4711,310
//! ```
//!
//! Only time and class are required. Times count from any start, and lines may be out of order. A key that occurs twice is
//! kept twice: whether that is one operation is for the replay to decide.

mod error;
mod reader;
mod trace;
mod writer;

pub use error::TrafficError;
pub use reader::read;
pub use trace::{Arrival, Traffic};
pub use writer::write;

/// Column of the time in milliseconds.
const AT_MS: &str = "at_ms";
/// Column of the class.
const CLASS: &str = "class";
/// Column of the zone.
const ZONE: &str = "zone";
/// Column of the idempotency key.
const KEY: &str = "key";
/// Column of the service time in milliseconds.
const WORK_MS: &str = "work_ms";
/// All columns, in the order in which they are written.
const COLUMNS: [&str; 5] = [AT_MS, CLASS, ZONE, KEY, WORK_MS];

#[cfg(test)]
mod tests;
