//! chutegrade: one supervisor on sockets, and the tools that read what it recorded. See docs/architecture.md for how the
//! parts fit.

mod commands;
mod config;
mod peers;
mod protocol;
mod server;
#[cfg(test)]
mod tests;

use std::io::stdout;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use crate::commands::arguments::{Cli, Command};
use crate::commands::{check, console, lab, levels, plugin, records, report, CommandError};

fn main() -> ExitCode {
    // Alone it serves, without the pages of memory that reading a command line touches.
    if std::env::args_os().len() <= 1 {
        let operator = std::env::var_os("CHUTEGRADE_OPERATOR").filter(|file| !file.is_empty());
        return server::main(operator.map(PathBuf::from).as_deref());
    }
    let cli = Cli::parse();
    let outcome = match cli.command.unwrap_or(Command::Serve(cli.serve)) {
        Command::Serve(arguments) => return server::main(arguments.operator.as_deref()),
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
