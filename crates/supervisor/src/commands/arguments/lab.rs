//! The arguments of `lab`.

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};

#[derive(Args, Debug)]
pub struct LabArguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: LabCommand,
}

#[derive(Debug, Subcommand)]
pub enum LabCommand {
    /// Simulate a scenario once and print its outcome.
    Play(PlayArguments),
    /// Run an experiment until its comparisons reach the requested precision; resumes a stopped run.
    Run(ExperimentArguments),
    /// Print the comparisons from the results of an experiment so far, without running simulations.
    Compare(ResultsArguments),
    /// Rewrite the report of an experiment from its results, without running simulations.
    Report(ResultsArguments),
    /// Search faults for the scenario that breaks a rule or loses the most service, and shrink it.
    Hunt(HuntArguments),
}

/// Control plane of a simulated fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum ControlPlane {
    /// The decision module.
    #[default]
    Module,
    /// All listed servers by their listed weight; for comparison only.
    Fixed,
    /// None: proxies keep their initial tables.
    Nobody,
    /// An ideal one that sees the true state of the fleet half a second late.
    Ideal,
}

/// The scenario to simulate, and its control plane.
#[derive(Args, Debug)]
pub struct PlayArguments {
    /// Scenario file in protobuf text format.
    #[arg(value_name = "FILE")]
    pub scenario: PathBuf,
    /// Seed of the random generator.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Control plane of the fleet.
    #[arg(long, value_enum, default_value_t)]
    pub control: ControlPlane,
    /// Plug-in file; may be repeated, the order is kept.
    #[arg(long = "plugin", value_name = "FILE")]
    pub plugins: Vec<PathBuf>,
    /// Operators' file with a `limits` section: service levels, limits and retry budgets.
    #[arg(long, value_name = "FILE")]
    pub limits: Option<PathBuf>,
    /// Recorded traffic, in place of the random arrivals of the scenario.
    #[arg(long, value_name = "FILE")]
    pub traffic: Option<PathBuf>,
}

/// The experiment to run.
#[derive(Args, Debug)]
pub struct ExperimentArguments {
    /// Experiment file in protobuf text format.
    #[arg(value_name = "FILE")]
    pub experiment: PathBuf,
    /// Directory for results, tables and the report.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
    /// Number of threads; 0 for one per core.
    #[arg(long, default_value_t = 0)]
    pub threads: usize,
}

/// An experiment and its results.
#[derive(Args, Debug)]
pub struct ResultsArguments {
    /// Experiment file in protobuf text format.
    #[arg(value_name = "FILE")]
    pub experiment: PathBuf,
    /// Directory with its results.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
}

/// Start, budget and target of a search.
#[derive(Args, Debug)]
pub struct HuntArguments {
    /// Scenario file to start from.
    #[arg(value_name = "FILE")]
    pub scenario: PathBuf,
    /// File for the scenario that was found.
    #[arg(long, value_name = "FILE")]
    pub out: PathBuf,
    /// Maximum number of simulations.
    #[arg(long, default_value_t = 1000)]
    pub budget: usize,
    /// Seed of the search.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Search for broken rules only.
    #[arg(long)]
    pub rules: bool,
}
