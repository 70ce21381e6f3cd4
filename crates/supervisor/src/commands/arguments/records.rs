//! The arguments of `records`.

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};

/// What to do with records.
#[derive(Args, Debug)]
pub struct RecordsArguments {
    /// What to do.
    #[command(subcommand)]
    pub command: RecordsCommand,
}

/// What can be done with records.
#[derive(Debug, Subcommand)]
pub enum RecordsCommand {
    /// Read every byte and say what is damaged or missing; code 1 if anything is.
    Verify {
        /// Directories of records: of one supervisor, or of several below.
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Print events in true order, one a line, with every gap.
    List(RecordSelection),
    /// Write records out, whole.
    Export {
        /// Which records.
        #[command(flatten)]
        selection: RecordSelection,
        /// The form.
        #[arg(long, value_enum, default_value_t = ExportFormat::Jsonl)]
        format: ExportFormat,
    },
}

/// Which records.
#[derive(Args, Debug, Default)]
pub struct RecordSelection {
    /// Directories of records: of one supervisor, or of several below.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// Not before: 2026-12-01T09:12:00Z, 09:12 of the last record's day (UTC), or 10m before the last record.
    #[arg(long, value_name = "TIME")]
    pub from: Option<String>,
    /// Not after.
    #[arg(long, value_name = "TIME")]
    pub to: Option<String>,
    /// Of this kind only, as `state` or `left`; may be given again.
    #[arg(long = "kind", value_name = "KIND")]
    pub kinds: Vec<String>,
    /// About this server only.
    #[arg(long, value_name = "NAME")]
    pub server: Option<String>,
    /// The figures of each second and the like too.
    #[arg(long)]
    pub all: bool,
}

/// How records are written out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ExportFormat {
    /// One JSON object a line.
    Jsonl,
    /// Comma-separated values with a head.
    Csv,
    /// As `list` prints them.
    Text,
}
