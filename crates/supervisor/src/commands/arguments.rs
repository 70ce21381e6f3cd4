//! The command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

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
    pub serve: Serve,
}

/// What can be done.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve proxies in the foreground, configured by LB_CONFIG, until SIGTERM.
    Serve(Serve),
    /// Check a configuration and an operators' file, and say what is wrong and where.
    Check(Check),
    /// Look at what supervisors recorded.
    Records(Records),
    /// Check, test and try rules in the hook language.
    Plugin(Plugin),
    /// Show the fleet on the terminal, from records: now, or at any moment of the past.
    Console(Console),
    /// Write one HTML page that tells the course of an incident.
    Report(Report),
    /// Show, explain and try levels of reduced service.
    Levels(Levels),
    /// Play scenarios on the fleet model, and compare variants with error bars.
    Lab(Lab),
}

/// What to do with levels of service.
#[derive(Args, Debug)]
pub struct Levels {
    /// What to do.
    #[command(subcommand)]
    pub command: LevelsCommand,
}

/// Where a ladder stands.
#[derive(Args, Debug)]
pub struct Declared {
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
    Show(Declared),
    /// Tell from records which level is in force, and how far each condition is from being met.
    Explain {
        /// The ladder.
        #[command(flatten)]
        declared: Declared,
        /// Directories of records: of one supervisor, or of several below.
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
        /// At this moment, written as for `records list`; without it, at the last record.
        #[arg(long, value_name = "TIME")]
        at: Option<String>,
    },
    /// Play a ladder over the signals that supervisors recorded, before it is used. Nothing comes of it.
    Simulate {
        /// The ladder.
        #[command(flatten)]
        declared: Declared,
        /// Directories of records: of one supervisor, or of several below.
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
        /// Not before, written as for `records list`.
        #[arg(long, value_name = "TIME")]
        from: Option<String>,
        /// Not after.
        #[arg(long, value_name = "TIME")]
        to: Option<String>,
    },
}

/// What to do in the laboratory.
#[derive(Args, Debug)]
pub struct Lab {
    /// What to do.
    #[command(subcommand)]
    pub command: LabCommand,
}

/// What decides on the model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Decider {
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

/// Results of an experiment.
#[derive(Args, Debug)]
pub struct Results {
    /// The experiment.
    #[arg(value_name = "FILE")]
    pub experiment: PathBuf,
    /// Where its results are.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
}

/// What can be done in the laboratory.
#[derive(Debug, Subcommand)]
pub enum LabCommand {
    /// Play one scenario once and print what came of it.
    Play {
        /// The scenario.
        #[arg(value_name = "FILE")]
        scenario: PathBuf,
        /// Seed of chance.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// What decides.
        #[arg(long, value_enum, default_value_t)]
        control: Decider,
        /// Texts of plug-ins, in their order.
        #[arg(long = "plugin", value_name = "FILE")]
        plugins: Vec<PathBuf>,
        /// Reduced service, limits and budgets as in the `limits` part of this operators' file.
        #[arg(long, value_name = "FILE")]
        limits: Option<PathBuf>,
        /// What comes, recorded, in the place of what the scenario draws.
        #[arg(long, value_name = "FILE")]
        traffic: Option<PathBuf>,
    },
    /// Play an experiment until its differences are known as well as asked; goes on where it was stopped.
    Run {
        /// The experiment.
        #[arg(value_name = "FILE")]
        experiment: PathBuf,
        /// Where results, tables and the report go.
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
        /// Threads; without it, one for each core.
        #[arg(long, default_value_t = 0)]
        threads: usize,
    },
    /// Print what the results of an experiment say so far; plays nothing.
    Compare(Results),
    /// Write the report of an experiment anew from its results; plays nothing.
    Report(Results),
    /// Search troubles for the scenario on which a rule breaks or most is lost, and shrink it.
    Hunt {
        /// The scenario to begin with.
        #[arg(value_name = "FILE")]
        scenario: PathBuf,
        /// Where the scenario that was found goes.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        /// Runs that the search may take.
        #[arg(long, default_value_t = 1000)]
        budget: usize,
        /// Seed of the search.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Look for broken rules only.
        #[arg(long)]
        rules: bool,
    },
}

/// What to do with plug-ins.
#[derive(Args, Debug)]
pub struct Plugin {
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
    Explain {
        /// The server.
        server: String,
        /// Directories of records: of one supervisor, or of several below.
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
        /// At this moment, written as for `records list`; without it, at the last record.
        #[arg(long, value_name = "TIME")]
        at: Option<String>,
    },
    /// Ask plug-ins what they would advise of a recorded fleet, turn by turn. Nothing comes of it.
    Run {
        /// The texts, in their order.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// A directory of records.
        #[arg(long, value_name = "DIR")]
        records: PathBuf,
        /// Begin at this moment, written as for `records list`; without it, at the last record.
        #[arg(long, value_name = "TIME")]
        at: Option<String>,
        /// Seconds, which are turns.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=3600))]
        turns: u32,
        /// Show every operation of the calls about this server.
        #[arg(long, value_name = "SERVER")]
        trace: Option<String>,
    },
}

/// What to show.
#[derive(Args, Debug)]
pub struct Console {
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
pub struct Report {
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

/// How to serve.
#[derive(Args, Clone, Debug, Default)]
pub struct Serve {
    /// The operators' own file, protobuf text format; what it does not switch on is off.
    #[arg(long, value_name = "FILE", env = "CHUTEGRADE_OPERATOR")]
    pub operator: Option<PathBuf>,
}

/// What to check.
#[derive(Args, Debug)]
pub struct Check {
    /// The configuration, JSON.
    #[arg(long, value_name = "FILE", env = "LB_CONFIG")]
    pub config: Option<PathBuf>,
    /// The operators' own file.
    #[arg(long, value_name = "FILE", env = "CHUTEGRADE_OPERATOR")]
    pub operator: Option<PathBuf>,
}

/// What to do with records.
#[derive(Args, Debug)]
pub struct Records {
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
    List(List),
    /// Write records out, whole.
    Export {
        /// Which records.
        #[command(flatten)]
        list: List,
        /// The form.
        #[arg(long, value_enum, default_value_t = Form::Jsonl)]
        format: Form,
    },
}

/// Which records.
#[derive(Args, Debug, Default)]
pub struct List {
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
    #[arg(long, value_name = "KIND")]
    pub kind: Vec<String>,
    /// About this server only.
    #[arg(long, value_name = "NAME")]
    pub server: Option<String>,
    /// The figures of each second and the like too.
    #[arg(long)]
    pub all: bool,
}

/// How records are written out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Form {
    /// One JSON object a line.
    Jsonl,
    /// Comma-separated values with a head.
    Csv,
    /// As `list` prints them.
    Text,
}

#[cfg(test)]
mod tests;
