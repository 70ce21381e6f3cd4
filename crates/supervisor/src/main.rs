//! The `chutegrade` binary: the supervisor server, and the commands for its configuration, records, plug-ins and
//! experiments. See docs/architecture.md for an overview of the components.

mod commands;
mod config;
mod hexadecimal;
mod peers;
mod protocol;
mod server;
mod shared;
#[cfg(test)]
mod tests;
mod text_file;

use std::io::stdout;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use crate::commands::arguments::{Cli, Command};
use crate::commands::{check, console, lab, levels, plugin, records, report, CommandError};

fn main() -> ExitCode {
    // Serving without arguments is the common case; skipping the command-line parser saves its memory.
    if std::env::args_os().len() <= 1 {
        return server::run(operator_path_from_env().as_deref());
    }
    let cli = Cli::parse();
    let outcome = match cli.command.unwrap_or(Command::Serve(cli.serve)) {
        Command::Serve(arguments) => return server::run(arguments.operator.as_deref()),
        Command::Check(arguments) => check::run(&arguments, &mut stdout().lock()),
        Command::Records(arguments) => records::run(&arguments, &mut stdout().lock()),
        Command::Plugin(arguments) => plugin::run(&arguments, &mut stdout().lock()),
        Command::Console(arguments) => console::run(&arguments),
        Command::Report(arguments) => report::run(&arguments, &mut stdout().lock()),
        Command::Levels(arguments) => levels::run(&arguments, &mut stdout().lock()),
        Command::Lab(arguments) => lab::run(&arguments, &mut stdout().lock()),
    };
    match outcome {
        Ok(()) | Err(CommandError::OutputClosed) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chutegrade: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the path of the operators' file from `CHUTEGRADE_OPERATOR`; an empty one counts as unset.
fn operator_path_from_env() -> Option<PathBuf> {
    std::env::var_os("CHUTEGRADE_OPERATOR")
        .filter(|path| !path.is_empty())
        .map(PathBuf::from)
}
