//! Events and gaps as lines of text for the terminal.

use std::io::Write;

use chutegrade_records::text::{self, printable};
use chutegrade_records::timeline::{Event, Gap};

/// Minimum delay between an event and its detection that is shown, in microseconds.
const SHOWN_DELAY_US: i64 = 1000;

/// Writes an event as one line.
pub fn write_event(event: &Event, output: &mut impl Write) -> std::io::Result<()> {
    let at = text::time(event.at_us);
    let supervisor = printable(&event.supervisor);
    let line = printable(&event.line());
    let delay = learned_later(event);
    writeln!(output, "{at}  {supervisor}  {line}{delay}")
}

/// Formats how much later the supervisor learned of the event; empty below the minimum delay.
fn learned_later(event: &Event) -> String {
    let delay_us = event.learned_us().saturating_sub(event.at_us);
    if delay_us < SHOWN_DELAY_US {
        return String::new();
    }
    format!("  [learned {} later]", text::duration(delay_us))
}

/// Writes a gap as one line, without a start if the gap begins before all records.
pub fn write_gap(gap: &Gap, output: &mut impl Write) -> std::io::Result<()> {
    let supervisor = printable(&gap.supervisor);
    let line = gap.line();
    if gap.from_us == i64::MIN {
        let reason = gap.reason.as_str();
        let to = text::time(gap.to_us);
        return writeln!(output, "--- {supervisor} {reason}: {line}, until {to}");
    }
    let from = text::time(gap.from_us);
    writeln!(output, "{from}  {supervisor}  --- gap: {line}")
}
