//! The program `chutegrade`: one supervisor on sockets, and the commands that read what it recorded. See
//! docs/architecture.md for how the parts fit.

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
    // The common case, serving without arguments, does without the memory that parsing a command line takes.
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

/// The path of the operators' file in the environment; an empty path counts as none.
fn operator_path_from_env() -> Option<PathBuf> {
    std::env::var_os("CHUTEGRADE_OPERATOR")
        .filter(|path| !path.is_empty())
        .map(PathBuf::from)
}
