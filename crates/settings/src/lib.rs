//! Reads and writes the settings, a JSON object, and reads load reports, for all protocols of the decision module.
//!
//! The simulator's adapter and the supervisor share this parser. Keys and values of the JSON object are mapped to the
//! terms of the decision module only here.

mod consistency;
mod error;
mod json_reader;
mod load_report;
mod names;
mod read;
mod timing;
mod write;

pub use consistency::consistency_warnings;
pub use error::SettingsError;
pub use load_report::parse_load_report;
pub use names::{names, DeploymentNames};
pub use read::{from_json, from_text, retry_from_number};
pub use timing::{connect_timeout_ms, min_tick_interval_ms};
pub use write::to_json;

#[cfg(test)]
mod tests;
