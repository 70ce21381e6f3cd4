//! What the operators switched on, checked and with defaults filled in.

use std::path::PathBuf;
use std::time::Duration;

use crate::LimitsSection;

/// Where records go, and what they may cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordingConfig {
    /// The directory in which each supervisor has its own.
    pub directory: PathBuf,
    /// Bytes that are kept of each supervisor.
    pub max_bytes: u64,
    /// How long they are kept.
    pub max_age: Duration,
    /// Processor time that background work may take in any ten seconds.
    pub background_time: Duration,
    /// Bytes that it may read and write in any ten seconds.
    pub background_bytes: u64,
}

/// How the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Plain,
    /// One JSON object a line.
    Json,
}

/// What the operators switched on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Records, if wanted.
    pub records: Option<RecordingConfig>,
    /// The log's format.
    pub log: LogFormat,
    /// Files of plug-ins, in their order.
    pub plugins: Vec<PathBuf>,
    /// Service levels, limits and retry budgets as declared; what depends on the classes is checked by
    /// [`LimitsSection::overload_config`].
    pub limits: Option<LimitsSection>,
}
