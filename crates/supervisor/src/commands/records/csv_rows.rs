//! Events and gaps as comma-separated values.

use std::io::Write;

use chutegrade_records::timeline::{Event, Gap};
use chutegrade_records::{kind, text};

/// Names of the columns.
const HEADER: [&str; 8] = [
    "at",
    "learned",
    "supervisor",
    "start",
    "seq",
    "kind",
    "server",
    "text",
];

/// Writes the row with the column names.
pub fn write_header(output: &mut impl Write) -> std::io::Result<()> {
    writeln!(output, "{}", HEADER.join(","))
}

/// Writes an event as one row.
pub fn write_event(event: &Event, output: &mut impl Write) -> std::io::Result<()> {
    let server = event.record.kind.as_ref().and_then(kind::server);
    let cells = [
        text::time(event.at_us),
        text::time(event.learned_us()),
        event.supervisor.to_string(),
        event.incarnation.to_string(),
        event.record.seq.to_string(),
        kind::name(event.number).to_string(),
        server.unwrap_or_default().to_string(),
        event.line(),
    ];
    write_row(&cells, output)
}

/// Writes a gap as one row, with its start and end in the columns `at` and `learned`.
pub fn write_gap(gap: &Gap, output: &mut impl Write) -> std::io::Result<()> {
    let cells = [
        text::time(gap.from_us),
        text::time(gap.to_us),
        gap.supervisor.to_string(),
        String::new(),
        String::new(),
        "gap".to_string(),
        String::new(),
        gap.line(),
    ];
    write_row(&cells, output)
}

fn write_row(cells: &[String; HEADER.len()], output: &mut impl Write) -> std::io::Result<()> {
    let escaped: Vec<String> = cells.iter().map(|cell| text::csv_cell(cell)).collect();
    writeln!(output, "{}", escaped.join(","))
}
