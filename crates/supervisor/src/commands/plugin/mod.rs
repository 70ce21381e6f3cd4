//! `plugin`: checks, tests, formats, explains and dry-runs plug-ins in the hook language.

mod check;
mod dry_run;
mod explain;
mod format;
mod recorded_fleet;
mod test;

use std::io::Write;

use super::arguments::{PluginArguments, PluginCommand};
use super::CommandError;
use format::FormatMode;

/// Runs one of the `plugin` commands.
///
/// # Errors
///
/// If a plug-in or records cannot be read, or a plug-in has faults, fails its test cases or is not formatted.
pub fn run(arguments: &PluginArguments, output: &mut impl Write) -> Result<(), CommandError> {
    match &arguments.command {
        PluginCommand::Check { files } => check::run(files, output),
        PluginCommand::Test { files } => test::run(files, output),
        PluginCommand::Format { files, check } => {
            let mode = if *check {
                FormatMode::CheckOnly
            } else {
                FormatMode::Rewrite
            };
            format::run(files, mode, output)
        }
        PluginCommand::Explain(arguments) => explain::run(arguments, output),
        PluginCommand::Run(arguments) => dry_run::run(arguments, output),
    }
}
