//! The checked configuration, with defaults filled in.

use std::path::PathBuf;
use std::time::Duration;

use crate::LimitsSection;

/// Where records are stored, and the limits of their cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordingConfig {
    /// Directory in which each supervisor has a subdirectory.
    pub directory: PathBuf,
    /// Maximum size of the records of each supervisor, in bytes.
    pub max_bytes: u64,
    /// Retention of records.
    pub max_age: Duration,
    /// Processor time that background work may take in any ten seconds.
    pub background_time: Duration,
    /// Bytes that background work may read and write in any ten seconds.
    pub background_bytes: u64,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    #[default]
    Plain,
    /// One JSON object in each line.
    Json,
}

/// The checked configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Recording, if it is enabled.
    pub records: Option<RecordingConfig>,
    /// How log lines are written; plain by default.
    pub log: LogFormat,
    /// Paths of the plug-ins, in the order of the file.
    pub plugins: Vec<PathBuf>,
    /// Service levels, limits and retry budgets as declared; [`LimitsSection::overload_config`] checks what depends on
    /// the classes.
    pub limits: Option<LimitsSection>,
}
