//! The arguments of `plugin`.

use std::path::PathBuf;

use clap::{Args, Subcommand};

#[derive(Args, Debug)]
pub struct PluginArguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: PluginCommand,
}

#[derive(Debug, Subcommand)]
pub enum PluginCommand {
    /// Compile plug-ins and show every fault with its position.
    Check {
        /// Plug-in files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Run the test cases in plug-ins; exit code 1 if one fails.
    Test {
        /// Plug-in files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Rewrite plug-ins in the canonical format.
    Format {
        /// Plug-in files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Only list unformatted files; exit code 1 if there are any.
        #[arg(long)]
        check: bool,
    },
    /// Explain from records the weight of a server: its state, the causes, and the advice of plug-ins.
    Explain(ExplainServerArguments),
    /// Evaluate plug-ins on a recorded fleet once for each second and print their advice; changes nothing.
    Run(DryRunArguments),
}

/// Server, records and time of an explanation.
#[derive(Args, Debug)]
pub struct ExplainServerArguments {
    /// Name of the server.
    pub server: String,
    /// Directories with the records of one supervisor, or with one subdirectory per supervisor.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// Time to explain, in the formats of `records list`; the last record by default.
    #[arg(long, value_name = "TIME")]
    pub at: Option<String>,
}

/// Plug-ins and records of a dry run.
#[derive(Args, Debug)]
pub struct DryRunArguments {
    /// Plug-in files, in evaluation order.
    #[arg(required = true, value_name = "FILE")]
    pub files: Vec<PathBuf>,
    /// Directory of records.
    #[arg(long, value_name = "DIR")]
    pub records: PathBuf,
    /// Start at this time, in the formats of `records list`; the last record by default.
    #[arg(long, value_name = "TIME")]
    pub at: Option<String>,
    /// Number of evaluations, one for each second.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=3600))]
    pub turns: u32,
    /// Trace every operation of the hook calls for this server.
    #[arg(long, value_name = "SERVER")]
    pub trace: Option<String>,
}
