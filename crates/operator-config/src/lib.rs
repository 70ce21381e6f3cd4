//! The operators' configuration file, in protobuf text format with the schema `proto/operator.proto`.
//!
//! A file with any error is rejected; each error has its position and states what would be valid. Absent sections are
//! disabled.

mod checks;
mod config;
mod error;
mod limits_section;
mod read;

/// Types generated from the schema.
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
