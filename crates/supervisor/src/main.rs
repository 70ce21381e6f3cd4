//! chutegrade: one supervisor on sockets, and the tools that read what it recorded. See docs/architecture.md for how the
//! parts fit.

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

/// Why a command did not do what it should.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// One sentence on what is wrong.
    #[error("{0}")]
    Said(String),
    /// Nobody reads the output any more, which is no fault.
    #[error("the reader has gone")]
    Gone,
}

impl From<std::io::Error> for Fault {
    fn from(fault: std::io::Error) -> Self {
        if fault.kind() == ErrorKind::BrokenPipe {
            Fault::Gone
        } else {
            Fault::Said(format!("the output cannot be written: {fault}"))
        }
    }
}

impl From<TextFileError> for Fault {
    fn from(error: TextFileError) -> Self {
        Fault::Said(error.to_string())
    }
}

impl From<String> for Fault {
    fn from(said: String) -> Self {
        Fault::Said(said)
    }
}

fn main() -> ExitCode {
    // Alone it serves, without the pages of memory that reading a command line touches.
    if std::env::args_os().len() <= 1 {
        let operator = std::env::var_os("CHUTEGRADE_OPERATOR").filter(|file| !file.is_empty());
        return server::run(operator.map(PathBuf::from).as_deref());
    }
    let cli = Cli::parse();
    let done = match cli.command.unwrap_or(Command::Serve(cli.serve)) {
        Command::Serve(serve) => return server::run(serve.operator.as_deref()),
        Command::Check(check) => tools::check(&check, &mut std::io::stdout().lock()),
        Command::Records(records) => tools::records(&records, &mut std::io::stdout().lock()),
        Command::Plugin(plugin) => tools::plugin(&plugin, &mut std::io::stdout().lock()),
        Command::Console(console) => tools::console(&console),
        Command::Report(report) => tools::report(&report, &mut std::io::stdout().lock()),
        Command::Levels(of) => levels::levels(&of, &mut std::io::stdout().lock()),
        Command::Lab(of) => lab::lab(&of, &mut std::io::stdout().lock()),
    };
    match done {
        Ok(()) | Err(Fault::Gone) => ExitCode::SUCCESS,
        Err(Fault::Said(said)) => {
            eprintln!("chutegrade: {said}");
            ExitCode::FAILURE
        }
    }
}
