//! Text of records, for log lines, the events of the console and the rows of reports.

mod kinds;
mod time;

use crate::pb::{Cause, Life, State};

pub use kinds::{line, signal};
pub use time::{duration, parse_time, time, time_of_day, InvalidTime};

/// Formats a text as a cell of CSV, quoted if necessary.
pub fn csv_cell(text: &str) -> String {
    if text.contains([',', '"', '\n', '\r']) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.to_string()
    }
}

/// Returns the name of a health state.
pub fn state(state: State) -> &'static str {
    match state {
        State::Full => "full",
        State::Reduced => "reduced",
        State::Withdrawn => "withdrawn",
    }
}

/// Returns the name of a lifecycle.
pub fn lifecycle(life: Life) -> &'static str {
    match life {
        Life::InService => "in service",
        Life::Draining => "draining",
        Life::Gone => "gone",
    }
}

/// Describes the cause of a change of the health state.
pub fn cause(cause: Cause) -> &'static str {
    match cause {
        Cause::Score => "its score",
        Cause::Errors => "attempts failed",
        Cause::Latency => "latency regression",
        Cause::Probes => "health checks failed",
        Cause::TriedAgain => "ejection period elapsed",
        Cause::GoodTicks => "recovered",
    }
}

/// Describes a retry policy by its number in the schema.
pub fn retry(retry: u32) -> &'static str {
    match retry {
        0 => "never",
        1 => "once, if not executed",
        2 => "once",
        _ => "twice",
    }
}

/// Replaces control characters in text from a peer, which could otherwise control the terminal.
pub fn printable(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}

/// Formats a number with at most two decimals, without trailing zeros.
pub fn short_decimal(value: f64) -> String {
    let text = format!("{value:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

#[cfg(test)]
mod tests;
