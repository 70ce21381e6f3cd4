//! `levels`: shows declared service levels, explains how far their conditions are from being met, and simulates them
//! over recorded signals.

mod explain;
mod recorded;
mod show;
mod simulate;
mod source;

use std::io::Write;

use super::arguments::{LevelsArguments, LevelsCommand};
use super::CommandError;

/// Runs one of the `levels` commands.
///
/// # Errors
///
/// If the operators' file, the configuration or records cannot be read, or contain no levels or metrics.
pub fn run(arguments: &LevelsArguments, output: &mut impl Write) -> Result<(), CommandError> {
    match &arguments.command {
        LevelsCommand::Show(source) => show::run(source, output),
        LevelsCommand::Explain(arguments) => explain::run(arguments, output),
        LevelsCommand::Simulate(arguments) => simulate::run(arguments, output),
    }
}
