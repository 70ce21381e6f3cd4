//! Formats and parses times and durations.

use jiff::Timestamp;

const MICROSECONDS_PER_SECOND: i64 = 1_000_000;
const MICROSECONDS_PER_MINUTE: i64 = 60 * MICROSECONDS_PER_SECOND;
const MICROSECONDS_PER_HOUR: i64 = 60 * MICROSECONDS_PER_MINUTE;

/// Formats a time in Unix microseconds as RFC 3339 with milliseconds, UTC.
pub fn time(us: i64) -> String {
    let nearest = if us < 0 {
        Timestamp::MIN
    } else {
        Timestamp::MAX
    };
    let time = Timestamp::from_microsecond(us).unwrap_or(nearest);
    time.strftime("%Y-%m-%dT%H:%M:%S%.3fZ").to_string()
}

/// Formats the time of day of a time in Unix microseconds, with milliseconds, UTC.
pub fn time_of_day(us: i64) -> String {
    time(us).get(11..23).unwrap_or_default().to_string()
}

/// Formats a duration in microseconds as milliseconds, seconds, minutes and seconds, or hours and minutes.
pub fn duration(us: i64) -> String {
    let ms = us / 1000;
    match ms {
        ..=-1 => format!("-{}", duration(us.saturating_neg())),
        0..=999 => format!("{ms} ms"),
        1000..=59_999 => format!("{:.1} s", ms as f64 / 1000.0),
        60_000..=3_599_999 => format!("{} min {} s", ms / 60_000, ms % 60_000 / 1000),
        _ => format!("{} h {} min", ms / 3_600_000, ms % 3_600_000 / 60_000),
    }
}

/// Formats a duration in microseconds with its sign.
pub(super) fn signed_duration(us: i64) -> String {
    if us < 0 {
        duration(us)
    } else {
        format!("+{}", duration(us))
    }
}

/// Error for a text that is not a time. Contains the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a valid time: use 2026-12-01T09:12:00Z, 09:12 or 09:12:30 (UTC, of the last record's day), or 10m, 90s, 2h before the last record")]
pub struct InvalidTime(String);

/// Parses a time and returns it in Unix microseconds. A time of day is on the day of the last record; a duration counts
/// back from the last record.
///
/// # Errors
///
/// If the text is not a time, a time of day or a duration.
pub fn parse_time(text: &str, last_us: i64) -> Result<i64, InvalidTime> {
    if let Ok(time) = text.parse::<Timestamp>() {
        return Ok(time.as_microsecond());
    }
    let time_us = if text.ends_with(['s', 'm', 'h']) {
        parse_duration(text).map(|duration_us| last_us.saturating_sub(duration_us))
    } else {
        parse_time_of_day(text, last_us)
    };
    time_us.ok_or_else(|| InvalidTime(text.to_string()))
}

/// Parses a number of seconds, minutes or hours and returns microseconds.
fn parse_duration(text: &str) -> Option<i64> {
    let (count, unit_us) = if let Some(count) = text.strip_suffix('s') {
        (count, MICROSECONDS_PER_SECOND)
    } else if let Some(count) = text.strip_suffix('m') {
        (count, MICROSECONDS_PER_MINUTE)
    } else {
        (text.strip_suffix('h')?, MICROSECONDS_PER_HOUR)
    };
    let count: i64 = count.parse().ok()?;
    (count >= 0).then(|| count.saturating_mul(unit_us))
}

/// Parses a time of day, with or without seconds, on the day of another time.
fn parse_time_of_day(text: &str, day_us: i64) -> Option<i64> {
    let day = time(day_us).get(..10).unwrap_or_default().to_string();
    let seconds = if text.matches(':').count() == 1 {
        ":00"
    } else {
        ""
    };
    let timestamp: Timestamp = format!("{day}T{text}{seconds}Z").parse().ok()?;
    Some(timestamp.as_microsecond())
}
