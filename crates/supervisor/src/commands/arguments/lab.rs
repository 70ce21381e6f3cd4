//! The arguments of `lab`.

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};

/// What to do in the laboratory.
#[derive(Args, Debug)]
pub struct LabArguments {
    /// What to do.
    #[command(subcommand)]
    pub command: LabCommand,
}

/// What can be done in the laboratory.
#[derive(Debug, Subcommand)]
pub enum LabCommand {
    /// Play one scenario once and print what came of it.
    Play(PlayArguments),
    /// Play an experiment until its differences are known as well as asked; goes on where it was stopped.
    Run(ExperimentArguments),
    /// Print what the results of an experiment say so far; plays nothing.
    Compare(ResultsArguments),
    /// Write the report of an experiment anew from its results; plays nothing.
    Report(ResultsArguments),
    /// Search troubles for the scenario on which a rule breaks or most is lost, and shrink it.
    Hunt(HuntArguments),
}

/// What decides on the model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum ControlPlane {
    /// The decision module.
    #[default]
    Module,
    /// All listed servers by their listed weight; for comparison only.
    Fixed,
    /// Nobody: front ends keep the tables they start with.
    Nobody,
    /// One that sees the truth half a second late.
    Ideal,
}

/// Which scenario to play, and with what.
#[derive(Args, Debug)]
pub struct PlayArguments {
    /// The scenario.
    #[arg(value_name = "FILE")]
    pub scenario: PathBuf,
    /// Seed of chance.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// What decides.
    #[arg(long, value_enum, default_value_t)]
    pub control: ControlPlane,
    /// Texts of plug-ins, in their order.
    #[arg(long = "plugin", value_name = "FILE")]
    pub plugins: Vec<PathBuf>,
    /// Reduced service, limits and budgets as in the `limits` part of this operators' file.
    #[arg(long, value_name = "FILE")]
    pub limits: Option<PathBuf>,
    /// What comes, recorded, in the place of what the scenario draws.
    #[arg(long, value_name = "FILE")]
    pub traffic: Option<PathBuf>,
}

/// Which experiment to play.
#[derive(Args, Debug)]
pub struct ExperimentArguments {
    /// The experiment.
    #[arg(value_name = "FILE")]
    pub experiment: PathBuf,
    /// Where results, tables and the report go.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
    /// Threads; without it, one for each core.
    #[arg(long, default_value_t = 0)]
    pub threads: usize,
}

/// Results of an experiment.
#[derive(Args, Debug)]
pub struct ResultsArguments {
    /// The experiment.
    #[arg(value_name = "FILE")]
    pub experiment: PathBuf,
    /// Where its results are.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
}

/// Where to search, and for how long.
#[derive(Args, Debug)]
pub struct HuntArguments {
    /// The scenario to begin with.
    #[arg(value_name = "FILE")]
    pub scenario: PathBuf,
    /// Where the scenario that was found goes.
    #[arg(long, value_name = "FILE")]
    pub out: PathBuf,
    /// Runs that the search may take.
    #[arg(long, default_value_t = 1000)]
    pub budget: usize,
    /// Seed of the search.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Look for broken rules only.
    #[arg(long)]
    pub rules: bool,
}
