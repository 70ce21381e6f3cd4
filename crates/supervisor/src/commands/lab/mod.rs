//! `lab`: simulations, experiments and searches. `chutegrade-lab` runs them; these modules handle files and the
//! terminal.

mod experiment;
mod play;
mod progress;
mod search;

use std::io::Write;

use super::arguments::{LabArguments, LabCommand};
use super::CommandError;

/// Runs one of the `lab` commands.
///
/// # Errors
///
/// If a file cannot be read or written, or its content is invalid.
pub fn run(arguments: &LabArguments, output: &mut impl Write) -> Result<(), CommandError> {
    match &arguments.command {
        LabCommand::Play(arguments) => play::run(arguments, output),
        LabCommand::Run(arguments) => experiment::run(arguments, output),
        LabCommand::Compare(results) => experiment::compare(results, output),
        LabCommand::Report(results) => experiment::report(results, output),
        LabCommand::Hunt(arguments) => search::run(arguments, output),
    }
}
