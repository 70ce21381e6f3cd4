//! Resolves the times and time windows in command-line arguments. Times of day and relative times refer to the last
//! record.

use chutegrade_records::{text, Timeline, Window};

use super::CommandError;

/// Returns the window between two times, by default those of the first and the last record.
///
/// # Errors
///
/// If there are no records, a time cannot be parsed, or the window ends before it begins.
pub fn resolve_window(
    timeline: &Timeline,
    from: Option<&str>,
    to: Option<&str>,
) -> Result<Window, CommandError> {
    let recorded = timeline.span().ok_or(CommandError::NoRecords)?;
    let from_us = parse_optional(from, recorded.to_us)?.unwrap_or(recorded.from_us);
    let to_us = parse_optional(to, recorded.to_us)?.unwrap_or(recorded.to_us);
    check_order(from_us, to_us)?;
    Ok(Window { from_us, to_us })
}

/// Returns the given time, by default that of the last record, in Unix microseconds.
///
/// # Errors
///
/// If the time cannot be parsed.
pub fn resolve_time(timeline: &Timeline, at: Option<&str>) -> Result<i64, CommandError> {
    let last_us = last_record_us(timeline);
    Ok(parse_optional(at, last_us)?.unwrap_or(last_us))
}

/// Returns the time of the last record in Unix microseconds, 0 without records.
pub fn last_record_us(timeline: &Timeline) -> i64 {
    timeline.span().map_or(0, |recorded| recorded.to_us)
}

/// Parses an optional time to Unix microseconds.
///
/// # Errors
///
/// If it cannot be parsed.
pub fn parse_optional(
    time: Option<&str>,
    last_record_us: i64,
) -> Result<Option<i64>, CommandError> {
    let parsed = time.map(|time| text::parse_time(time, last_record_us));
    Ok(parsed.transpose()?)
}

/// Checks that a window does not end before it begins.
///
/// # Errors
///
/// If it does.
pub fn check_order(from_us: i64, to_us: i64) -> Result<(), CommandError> {
    if from_us <= to_us {
        return Ok(());
    }
    Err(CommandError::EmptyWindow {
        from: text::time(from_us),
        to: text::time(to_us),
    })
}
