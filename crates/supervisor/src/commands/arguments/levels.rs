//! The arguments of `levels`.

use std::path::PathBuf;

use clap::{Args, Subcommand};

/// What to do with levels of service.
#[derive(Args, Debug)]
pub struct LevelsArguments {
    /// What to do.
    #[command(subcommand)]
    pub command: LevelsCommand,
}

/// Where a ladder stands.
#[derive(Args, Debug)]
pub struct LevelsSource {
    /// The operators' own file with the ladder.
    #[arg(long, value_name = "FILE", env = "CHUTEGRADE_OPERATOR")]
    pub operator: PathBuf,
    /// The configuration, which has the classes; the usual ladder derives from them.
    #[arg(long, value_name = "FILE", env = "LB_CONFIG")]
    pub config: Option<PathBuf>,
}

/// What can be done with levels.
#[derive(Debug, Subcommand)]
pub enum LevelsCommand {
    /// Print the ladder with its conditions, the usual one as it derives from the classes.
    Show(LevelsSource),
    /// Tell from records which level is in force, and how far each condition is from being met.
    Explain(ExplainLevelArguments),
    /// Play a ladder over the signals that supervisors recorded, before it is used. Nothing comes of it.
    Simulate(SimulateArguments),
}

/// Which level to explain, and when.
#[derive(Args, Debug)]
pub struct ExplainLevelArguments {
    /// The ladder.
    #[command(flatten)]
    pub source: LevelsSource,
    /// Directories of records: of one supervisor, or of several below.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// At this moment, written as for `records list`; without it, at the last record.
    #[arg(long, value_name = "TIME")]
    pub at: Option<String>,
}

/// Which levels to simulate, over which records.
#[derive(Args, Debug)]
pub struct SimulateArguments {
    /// The ladder.
    #[command(flatten)]
    pub source: LevelsSource,
    /// Directories of records: of one supervisor, or of several below.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// Not before, written as for `records list`.
    #[arg(long, value_name = "TIME")]
    pub from: Option<String>,
    /// Not after.
    #[arg(long, value_name = "TIME")]
    pub to: Option<String>,
}
