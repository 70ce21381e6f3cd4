//! The command line. Doc comments here are the help texts that `--help` prints.

mod lab;
mod levels;
mod plugin;
mod records;

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

pub use lab::{
    ControlPlane, ExperimentArguments, HuntArguments, LabArguments, LabCommand, PlayArguments,
    ResultsArguments,
};
pub use levels::{
    ExplainLevelArguments, LevelsArguments, LevelsCommand, LevelsSource, SimulateArguments,
};
pub use plugin::{DryRunArguments, ExplainServerArguments, PluginArguments, PluginCommand};
pub use records::{ExportFormat, RecordSelection, RecordsArguments, RecordsCommand};

/// A table manager that assigns servers to proxies, and the tools round it.
///
/// Without a command it serves, as `serve` does.
#[derive(Debug, Parser)]
#[command(name = "chutegrade", version, args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// How to serve, where no command is given.
    #[command(flatten)]
    pub serve: ServeArguments,
}

/// What can be done.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve proxies in the foreground, configured by LB_CONFIG, until SIGTERM.
    #[allow(clippy::doc_markdown, reason = "backticks would show in the help text")]
    Serve(ServeArguments),
    /// Check a configuration and an operators' file, and say what is wrong and where.
    Check(CheckArguments),
    /// Look at what supervisors recorded.
    Records(RecordsArguments),
    /// Check, test and try rules in the hook language.
    Plugin(PluginArguments),
    /// Show the fleet on the terminal, from records: now, or at any moment of the past.
    Console(ConsoleArguments),
    /// Write one HTML page that tells the course of an incident.
    Report(ReportArguments),
    /// Show, explain and try levels of reduced service.
    Levels(LevelsArguments),
    /// Play scenarios on the fleet model, and compare variants with error bars.
    Lab(LabArguments),
}

/// How to serve.
#[derive(Args, Clone, Debug, Default)]
pub struct ServeArguments {
    /// The operators' own file, protobuf text format; what it does not switch on is off.
    #[arg(long, value_name = "FILE", env = "CHUTEGRADE_OPERATOR")]
    pub operator: Option<PathBuf>,
}

/// What to check.
#[derive(Args, Debug)]
pub struct CheckArguments {
    /// The configuration, JSON.
    #[arg(long, value_name = "FILE", env = "LB_CONFIG")]
    pub config: Option<PathBuf>,
    /// The operators' own file.
    #[arg(long, value_name = "FILE", env = "CHUTEGRADE_OPERATOR")]
    pub operator: Option<PathBuf>,
}

/// What to show.
#[derive(Args, Debug)]
pub struct ConsoleArguments {
    /// Directories of records: of one supervisor, or of several below.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// Begin at this moment, written as for `records list`; without it, live.
    #[arg(long, value_name = "TIME")]
    pub at: Option<String>,
    /// Print one frame as text and end.
    #[arg(long)]
    pub once: bool,
}

/// Of what to tell.
#[derive(Args, Debug)]
pub struct ReportArguments {
    /// Directories of records: of one supervisor, or of several below.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// Begin, written as for `records list`; without it, the first record.
    #[arg(long, value_name = "TIME")]
    pub from: Option<String>,
    /// End; without it, the last record.
    #[arg(long, value_name = "TIME")]
    pub to: Option<String>,
    /// The file to write; it is replaced.
    #[arg(long, value_name = "FILE")]
    pub out: PathBuf,
}

#[cfg(test)]
mod tests;
