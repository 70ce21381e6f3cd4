//! Records as text: the one place that words log lines, the events of the console and the rows of reports.

mod kinds;
mod time;

use crate::pb::{Cause, Life, State};

pub use kinds::{line, signal};
pub use time::{duration, parse_time, time, time_of_day, InvalidTime};

/// A text as a cell of CSV: quoted where it must be.
pub fn csv_cell(text: &str) -> String {
    if text.contains([',', '"', '\n', '\r']) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.to_string()
    }
}

/// The word for a health state.
pub fn state(state: State) -> &'static str {
    match state {
        State::Full => "full",
        State::Reduced => "reduced",
        State::Withdrawn => "withdrawn",
    }
}

/// The words for a lifecycle.
pub fn lifecycle(life: Life) -> &'static str {
    match life {
        Life::InService => "in service",
        Life::Draining => "draining",
        Life::Gone => "gone",
    }
}

/// The words for a cause.
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

/// The words for a retry policy, by its number.
pub fn retry(retry: u32) -> &'static str {
    match retry {
        0 => "never",
        1 => "once, if not executed",
        2 => "once",
        _ => "twice",
    }
}

/// Text from a name that a peer gave, without what moves a terminal's cursor.
pub fn printable(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}

/// A number as short as it can be without loss below a hundredth.
pub fn short_decimal(value: f64) -> String {
    let text = format!("{value:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

#[cfg(test)]
mod tests;
