//! `report`: writes an HTML page that reconstructs an incident.

use std::io::Write;

use chutegrade_records::{text, Timeline};

use super::arguments::ReportArguments;
use super::files::{printable_path, write_atomically};
use super::time_window::resolve_window;
use super::CommandError;

/// Writes the page, and prints its file and time window.
///
/// # Errors
///
/// If records cannot be read, a time cannot be parsed, or the page cannot be written.
pub fn run(arguments: &ReportArguments, output: &mut impl Write) -> Result<(), CommandError> {
    let timeline = Timeline::open(&arguments.directories)?;
    let window = resolve_window(
        &timeline,
        arguments.from.as_deref(),
        arguments.to.as_deref(),
    )?;
    let from = text::time(window.from_us);
    let to = text::time(window.to_us);
    let page = chutegrade_report::report(&timeline, window, Default::default());
    write_atomically(&arguments.out, &page)?;
    let file = printable_path(&arguments.out);
    writeln!(output, "{file}: {from} to {to}")?;
    Ok(())
}
