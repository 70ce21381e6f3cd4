//! `records`: verifies, lists and exports what supervisors recorded.

mod csv_rows;
mod export;
mod json_rows;
mod query;
mod text_rows;
mod verify;

use std::io::{BufWriter, Write};

use super::arguments::{ExportFormat, RecordsArguments, RecordsCommand};
use super::CommandError;

/// Runs one of the `records` commands.
///
/// # Errors
///
/// If records cannot be read, the selection cannot be parsed, or `verify` finds damaged or missing records.
pub fn run(arguments: &RecordsArguments, output: &mut impl Write) -> Result<(), CommandError> {
    match &arguments.command {
        RecordsCommand::Verify { directories } => verify::run(directories, output),
        RecordsCommand::List(selection) => {
            export::run(selection, ExportFormat::Text, &mut BufWriter::new(output))
        }
        RecordsCommand::Export { selection, format } => {
            export::run(selection, *format, &mut BufWriter::new(output))
        }
    }
}
