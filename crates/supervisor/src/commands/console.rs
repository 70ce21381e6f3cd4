//! `console`: shows the fleet on the terminal, from records.

use chutegrade_records::Timeline;

use super::arguments::ConsoleArguments;
use super::time_window::resolve_time;
use super::CommandError;

/// Shows the fleet until the user quits, or prints one frame.
///
/// # Errors
///
/// If records cannot be read, the time cannot be parsed, or the terminal cannot be used.
pub fn run(arguments: &ConsoleArguments) -> Result<(), CommandError> {
    let at_us = start_time(arguments)?;
    if arguments.once {
        let mut output = std::io::stdout().lock();
        chutegrade_console::print_frame(&arguments.directories, at_us, &mut output)?;
    } else {
        chutegrade_console::run(&arguments.directories, at_us)?;
    }
    Ok(())
}

/// Returns the start time in Unix microseconds, `None` for live mode.
fn start_time(arguments: &ConsoleArguments) -> Result<Option<i64>, CommandError> {
    let Some(at) = &arguments.at else {
        return Ok(None);
    };
    let timeline = Timeline::open(&arguments.directories)?;
    Ok(Some(resolve_time(&timeline, Some(at))?))
}
