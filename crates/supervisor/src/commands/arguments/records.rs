//! The arguments of `records`.

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};

#[derive(Args, Debug)]
pub struct RecordsArguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: RecordsCommand,
}

#[derive(Debug, Subcommand)]
pub enum RecordsCommand {
    /// Verify all records and list damaged or missing ones; exit code 1 if there are any.
    Verify {
        /// Directories with the records of one supervisor, or with one subdirectory per supervisor.
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Print events and gaps in chronological order, one per line.
    List(RecordSelection),
    /// Export events and gaps as JSON lines, CSV or text.
    Export {
        /// Records to export.
        #[command(flatten)]
        selection: RecordSelection,
        /// Output format.
        #[arg(long, value_enum, default_value_t = ExportFormat::Jsonl)]
        format: ExportFormat,
    },
}

/// Selected records.
#[derive(Args, Debug, Default)]
pub struct RecordSelection {
    /// Directories with the records of one supervisor, or with one subdirectory per supervisor.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// Start of the time window: 2026-12-01T09:12:00Z, 09:12 on the day of the last record (UTC), or 10m before it.
    #[arg(long, value_name = "TIME")]
    pub from: Option<String>,
    /// End of the time window.
    #[arg(long, value_name = "TIME")]
    pub to: Option<String>,
    /// Only events of this kind, such as `state` or `left`; may be repeated.
    #[arg(long = "kind", value_name = "KIND")]
    pub kinds: Vec<String>,
    /// Only events about this server.
    #[arg(long, value_name = "NAME")]
    pub server: Option<String>,
    /// Include series, such as the metrics of each second.
    #[arg(long)]
    pub all: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ExportFormat {
    /// One JSON object per line.
    Jsonl,
    /// Comma-separated values with a header line.
    Csv,
    /// The format of `records list`.
    Text,
}
