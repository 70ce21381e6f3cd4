//! The arguments of `levels`.

use std::path::PathBuf;

use clap::{Args, Subcommand};

#[derive(Args, Debug)]
pub struct LevelsArguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: LevelsCommand,
}

/// Files that declare service levels.
#[derive(Args, Debug)]
pub struct LevelsSource {
    /// Operators' file that declares the service levels in `limits.ladder`.
    #[arg(long, value_name = "FILE", env = "CHUTEGRADE_OPERATOR")]
    pub operator: PathBuf,
    /// Configuration file with the classes, from which the default service levels are derived.
    #[arg(long, value_name = "FILE", env = "LB_CONFIG")]
    pub config: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
pub enum LevelsCommand {
    /// Print the service levels with their conditions, including default levels derived from the classes.
    Show(LevelsSource),
    /// Show from records which level is in force, and how far each condition is from being met.
    Explain(ExplainLevelArguments),
    /// Simulate service levels over recorded signals before they are deployed; changes nothing.
    Simulate(SimulateArguments),
}

/// Service levels, records and time of an explanation.
#[derive(Args, Debug)]
pub struct ExplainLevelArguments {
    /// Files that declare the service levels.
    #[command(flatten)]
    pub source: LevelsSource,
    /// Directories with the records of one supervisor, or with one subdirectory per supervisor.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// Time to explain, in the formats of `records list`; the last record by default.
    #[arg(long, value_name = "TIME")]
    pub at: Option<String>,
}

/// Service levels and records of a simulation.
#[derive(Args, Debug)]
pub struct SimulateArguments {
    /// Files that declare the service levels.
    #[command(flatten)]
    pub source: LevelsSource,
    /// Directories with the records of one supervisor, or with one subdirectory per supervisor.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// Start of the time window, in the formats of `records list`; the first record by default.
    #[arg(long, value_name = "TIME")]
    pub from: Option<String>,
    /// End of the time window; the last record by default.
    #[arg(long, value_name = "TIME")]
    pub to: Option<String>,
}
