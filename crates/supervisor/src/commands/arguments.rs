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

/// A control plane that assigns servers to proxies, and its tools.
///
/// Without a command it runs the server, as `serve` does.
#[derive(Debug, Parser)]
#[command(name = "chutegrade", version, args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// The command to run.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Options of the server, used if no command is given.
    #[command(flatten)]
    pub serve: ServeArguments,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve proxies in the foreground, configured by LB_CONFIG, until SIGTERM.
    #[allow(clippy::doc_markdown, reason = "backticks would show in the help text")]
    Serve(ServeArguments),
    /// Check a configuration and an operators' file, and list their faults with their positions.
    Check(CheckArguments),
    /// Verify, list and export the records of supervisors.
    Records(RecordsArguments),
    /// Check, test, format, explain and dry-run plug-ins in the hook language.
    Plugin(PluginArguments),
    /// Show the fleet on the terminal from records, live or at a time in the past.
    Console(ConsoleArguments),
    /// Write an HTML page that reconstructs an incident from records.
    Report(ReportArguments),
    /// Show, explain and simulate service levels.
    Levels(LevelsArguments),
    /// Simulate scenarios on the fleet model, and compare variants with error bars.
    Lab(LabArguments),
}

/// Options of the server.
#[derive(Args, Clone, Debug, Default)]
pub struct ServeArguments {
    /// Operators' file in protobuf text format; features that it does not enable are off.
    #[arg(long, value_name = "FILE", env = "CHUTEGRADE_OPERATOR")]
    pub operator: Option<PathBuf>,
}

/// Files to check.
#[derive(Args, Debug)]
pub struct CheckArguments {
    /// Configuration file, JSON.
    #[arg(long, value_name = "FILE", env = "LB_CONFIG")]
    pub config: Option<PathBuf>,
    /// Operators' file in protobuf text format.
    #[arg(long, value_name = "FILE", env = "CHUTEGRADE_OPERATOR")]
    pub operator: Option<PathBuf>,
}

/// Records and time to show.
#[derive(Args, Debug)]
pub struct ConsoleArguments {
    /// Directories with the records of one supervisor, or with one subdirectory per supervisor.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// Start at this time, in the formats of `records list`; live by default.
    #[arg(long, value_name = "TIME")]
    pub at: Option<String>,
    /// Print one frame as text and exit.
    #[arg(long)]
    pub once: bool,
}

/// Records and time window of a report.
#[derive(Args, Debug)]
pub struct ReportArguments {
    /// Directories with the records of one supervisor, or with one subdirectory per supervisor.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// Start of the time window, in the formats of `records list`; the first record by default.
    #[arg(long, value_name = "TIME")]
    pub from: Option<String>,
    /// End of the time window; the last record by default.
    #[arg(long, value_name = "TIME")]
    pub to: Option<String>,
    /// HTML file to write; an existing one is replaced.
    #[arg(long, value_name = "FILE")]
    pub out: PathBuf,
}

#[cfg(test)]
mod tests;
