//! The program `chutegrade`: one supervisor on sockets, and the commands that read what it recorded. See
//! docs/architecture.md for how the parts fit.

mod commands;
mod config;
mod peers;
mod protocol;
mod server;
mod shared;
#[cfg(test)]
mod tests;

use std::io::ErrorKind;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use crate::commands::arguments::{Cli, Command};
use crate::commands::{lab, levels, tools};
use crate::server::TextFileError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// What is wrong, in one sentence.
    #[error("{0}")]
    Said(String),
    /// The reader of the output has closed it, which is no failure.
    #[error("the reader has closed the output")]
    Gone,
}

impl From<std::io::Error> for Fault {
    fn from(error: std::io::Error) -> Self {
        if error.kind() == ErrorKind::BrokenPipe {
            Fault::Gone
        } else {
            Fault::Said(format!("the output cannot be written: {error}"))
        }
    }
}

impl From<TextFileError> for Fault {
    fn from(error: TextFileError) -> Self {
        Fault::Said(error.to_string())
    }
}

impl From<String> for Fault {
    fn from(message: String) -> Self {
        Fault::Said(message)
    }
}

fn main() -> ExitCode {
    // Without arguments it serves, and saves the memory that parsing a command line takes.
    if std::env::args_os().len() <= 1 {
        return server::run(operator_path_from_env().as_deref());
    }
    let cli = Cli::parse();
    let result = match cli.command.unwrap_or(Command::Serve(cli.serve)) {
        Command::Serve(serve) => return server::run(serve.operator.as_deref()),
        Command::Check(check) => tools::check(&check, &mut std::io::stdout().lock()),
        Command::Records(records) => tools::records(&records, &mut std::io::stdout().lock()),
        Command::Plugin(plugin) => tools::plugin(&plugin, &mut std::io::stdout().lock()),
        Command::Console(console) => tools::console(&console),
        Command::Report(report) => tools::report(&report, &mut std::io::stdout().lock()),
        Command::Levels(levels) => levels::levels(&levels, &mut std::io::stdout().lock()),
        Command::Lab(lab) => lab::lab(&lab, &mut std::io::stdout().lock()),
    };
    match result {
        Ok(()) | Err(Fault::Gone) => ExitCode::SUCCESS,
        Err(Fault::Said(message)) => {
            eprintln!("chutegrade: {message}");
            ExitCode::FAILURE
        }
    }
}

/// The operators' file that the environment names; an empty name is like none.
fn operator_path_from_env() -> Option<PathBuf> {
    std::env::var_os("CHUTEGRADE_OPERATOR")
        .filter(|path| !path.is_empty())
        .map(PathBuf::from)
}
