//! The checked configuration, with defaults filled in.

use std::path::PathBuf;
use std::time::Duration;

use crate::LimitsSection;

/// Where records are stored, and what they may cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordingConfig {
    /// The directory, in which each supervisor has a subdirectory.
    pub directory: PathBuf,
    /// Most bytes that are kept for each supervisor.
    pub max_bytes: u64,
    /// How long records are kept.
    pub max_age: Duration,
    /// Processor time that background work may take in any ten seconds.
    pub background_time: Duration,
    /// Bytes that background work may read and write in any ten seconds.
    pub background_bytes: u64,
}

/// Format of the log.
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
    /// The log's format.
    pub log: LogFormat,
    /// Files of plug-ins, in the order of the file.
    pub plugins: Vec<PathBuf>,
    /// Service levels, limits and retry budgets as declared; what depends on the classes is checked by
    /// [`LimitsSection::overload_config`].
    pub limits: Option<LimitsSection>,
}
