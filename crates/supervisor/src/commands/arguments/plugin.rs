//! The arguments of `plugin`.

use std::path::PathBuf;

use clap::{Args, Subcommand};

/// What to do with plug-ins.
#[derive(Args, Debug)]
pub struct PluginArguments {
    /// What to do.
    #[command(subcommand)]
    pub command: PluginCommand,
}

/// What can be done with plug-ins.
#[derive(Debug, Subcommand)]
pub enum PluginCommand {
    /// Compile texts and show every fault with its place.
    Check {
        /// The texts.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Run the cases that texts carry; code 1 if one fails.
    Test {
        /// The texts.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Write texts anew with one rule for spaces and indents.
    Format {
        /// The texts.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Change nothing; code 1 if a text is written otherwise.
        #[arg(long)]
        check: bool,
    },
    /// Tell from records why a server has the weight that it has: its state and causes, and what plug-ins advise of it.
    Explain(ExplainServerArguments),
    /// Ask plug-ins what they would advise of a recorded fleet, turn by turn. Nothing comes of it.
    Run(DryRunArguments),
}

/// Which server to explain, and when.
#[derive(Args, Debug)]
pub struct ExplainServerArguments {
    /// The server.
    pub server: String,
    /// Directories of records: of one supervisor, or of several below.
    #[arg(required = true, value_name = "DIR")]
    pub directories: Vec<PathBuf>,
    /// At this moment, written as for `records list`; without it, at the last record.
    #[arg(long, value_name = "TIME")]
    pub at: Option<String>,
}

/// Which plug-ins to run over which records.
#[derive(Args, Debug)]
pub struct DryRunArguments {
    /// The texts, in their order.
    #[arg(required = true, value_name = "FILE")]
    pub files: Vec<PathBuf>,
    /// A directory of records.
    #[arg(long, value_name = "DIR")]
    pub records: PathBuf,
    /// Begin at this moment, written as for `records list`; without it, at the last record.
    #[arg(long, value_name = "TIME")]
    pub at: Option<String>,
    /// Seconds, which are turns.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=3600))]
    pub turns: u32,
    /// Show every operation of the calls about this server.
    #[arg(long, value_name = "SERVER")]
    pub trace: Option<String>,
}
