//! Errors of commands. Each displays as the text that follows `chutegrade: ` on the terminal.

use std::fmt::Display;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use crate::config;
use crate::text_file::TextFileError;

/// Separates several faults in one message: each gets its own line, prefixed by the program's name.
const FAULT_SEPARATOR: &str = "\nchutegrade: ";

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The reader closed the output, which does not count as a failure.
    #[error("the reader closed the output")]
    OutputClosed,
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(std::io::Error),
    /// A file cannot be written.
    #[error("{} cannot be written: {source}", path.display())]
    WriteFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A text file cannot be read; the message names it.
    #[error(transparent)]
    ReadText(#[from] TextFileError),
    /// The executable of this program cannot be read.
    #[error("the executable of this program cannot be read: {0}")]
    ReadProgram(std::io::Error),
    /// `check` was given no file.
    #[error("nothing to check: give --config FILE, --operator FILE, or both")]
    NothingToCheck,
    /// Number of faults that the output lists.
    #[error("{}", fault_count(*.0))]
    FaultsListed(usize),
    /// All faults of a file.
    #[error("{}", .0.join(FAULT_SEPARATOR))]
    Faults(Vec<String>),
    /// The configuration cannot be read.
    #[error(transparent)]
    Configuration(#[from] config::ConfigError),
    /// Records cannot be read.
    #[error(transparent)]
    Records(#[from] chutegrade_records::timeline::ReadError),
    /// The directories hold no records.
    #[error("no records in these directories")]
    NoRecords,
    /// Some directories hold damaged or incomplete records.
    #[error("{damaged} of {directories} directories are damaged or incomplete")]
    DamagedRecords {
        /// Directories that are damaged or incomplete.
        damaged: usize,
        /// Directories that were verified.
        directories: usize,
    },
    /// A time cannot be parsed.
    #[error(transparent)]
    Time(#[from] chutegrade_records::text::InvalidTime),
    /// A time window ends before it begins.
    #[error("empty time window from {from} to {to}: --from is after --to")]
    EmptyWindow {
        /// Its start, as a timestamp.
        from: String,
        /// Its end, as a timestamp.
        to: String,
    },
    /// No event kind has this name.
    #[error("unknown kind {name:?}: give one of {}", known.join(", "))]
    UnknownKind {
        /// The unknown name.
        name: String,
        /// All valid names.
        known: Vec<&'static str>,
    },
    /// The console failed.
    #[error(transparent)]
    Console(chutegrade_console::ConsoleError),
    /// A plug-in does not compile; the message is its first diagnostic.
    #[error("{file}:{diagnostic}")]
    PluginRejected {
        /// The plug-in's file.
        file: String,
        /// The first diagnostic.
        diagnostic: String,
    },
    /// A plug-in does not compile, and no diagnostic explains why.
    #[error("{0} cannot be compiled")]
    PluginUnreadable(String),
    /// The plug-ins do not load, and no diagnostic explains why.
    #[error("the plug-ins cannot be loaded")]
    PluginsNotLoaded,
    /// Some test cases failed.
    #[error("{failed} of {total} cases failed")]
    CasesFailed {
        /// Cases that failed.
        failed: usize,
        /// Cases that ran.
        total: usize,
    },
    /// Some plug-ins are not in the canonical format.
    #[error("{unformatted} of {total} files are not formatted")]
    Unformatted {
        /// Files that formatting would change.
        unformatted: usize,
        /// Files that were read.
        total: usize,
    },
    /// No supervisor has a record of the server before this time.
    #[error("no supervisor has a record of server {server:?} at {at}")]
    ServerNotRecorded {
        /// Name of the server, as it was given.
        server: String,
        /// The time, as a timestamp.
        at: String,
    },
    /// The server to trace is not in the recorded fleet.
    #[error("no server {server:?} is recorded at {at}")]
    TracedServerUnknown {
        /// Name of the server, as it was given.
        server: String,
        /// The time, as a timestamp.
        at: String,
    },
    /// The operators' file declares no limits.
    #[error("{}: there is no limits section", .0.display())]
    NoLimits(PathBuf),
    /// The operators' file declares no service levels.
    #[error("{}: the limits section declares no service levels", .0.display())]
    NoServiceLevels(PathBuf),
    /// The default levels are derived from the classes, and no configuration was given.
    #[error("the default service levels are derived from the classes: give --config FILE")]
    ClassesNeeded,
    /// No supervisor recorded metrics up to this time, a timestamp.
    #[error("no supervisor recorded metrics before {0}")]
    NoMetricsBefore(String),
    /// No supervisor recorded metrics in the time window.
    #[error("no supervisor recorded metrics in the time window")]
    NoMetricsInWindow,
    /// Recorded traffic cannot be read.
    #[error("{}: {reason}", path.display())]
    Traffic {
        /// Path of the file.
        path: PathBuf,
        /// Why it cannot be read.
        reason: String,
    },
    /// The simulation's setup is invalid, or does not fit the scenario.
    #[error("{0}")]
    SimulationSetup(String),
    /// The scenario is invalid; the message lists all faults, separated by semicolons.
    #[error("{0}")]
    Scenario(String),
    /// Threads cannot be started.
    #[error(transparent)]
    Threads(#[from] rayon::ThreadPoolBuildError),
    /// Results of an experiment cannot be read or written.
    #[error(transparent)]
    Results(#[from] chutegrade_lab::store::StoreError),
}

impl CommandError {
    /// Creates an error from all faults of a file.
    pub(super) fn from_faults(faults: &[impl Display]) -> Self {
        CommandError::Faults(faults.iter().map(ToString::to_string).collect())
    }

    /// Creates an error from faults whose texts do not name their file.
    pub(super) fn from_file_faults(path: &Path, faults: &[impl Display]) -> Self {
        let path = path.display();
        let lines = faults.iter().map(|fault| format!("{path}:{fault}"));
        CommandError::Faults(lines.collect())
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        if error.kind() == ErrorKind::BrokenPipe {
            CommandError::OutputClosed
        } else {
            CommandError::Output(error)
        }
    }
}

impl From<chutegrade_console::ConsoleError> for CommandError {
    fn from(error: chutegrade_console::ConsoleError) -> Self {
        match error {
            chutegrade_console::ConsoleError::Terminal(error)
                if error.kind() == ErrorKind::BrokenPipe =>
            {
                CommandError::OutputClosed
            }
            error => CommandError::Console(error),
        }
    }
}

fn fault_count(count: usize) -> String {
    match count {
        1 => "1 fault".to_string(),
        _ => format!("{count} faults"),
    }
}
