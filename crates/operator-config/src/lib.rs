//! The operators' own file, in protobuf text format after `proto/operator.proto`.
//!
//! It is read completely or not at all; each error names its line and what would be right. What the file does not mention
//! is off.

mod checks;
mod config;
mod error;
mod limits_section;
mod read;

/// The types of the schema, as generated.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/chutegrade.operator.v1.rs"));
}

pub use chutegrade_textproto::Position;
pub use config::{LogFormat, OperatorConfig, RecordingConfig};
pub use error::ConfigError;
pub use limits_section::LimitsSection;
pub use read::{load, parse};

#[cfg(test)]
mod tests;
