//! `records list` and `records export`: write events and gaps in chronological order, one row each.

use std::io::Write;

use chutegrade_records::timeline::{is_discrete_event, Event, Gap, Timeline};

use super::{csv_rows, json_rows, query, text_rows};
use crate::commands::arguments::{ExportFormat, RecordSelection};
use crate::commands::CommandError;

/// Writes the selected events, and each gap before the first event after its start.
///
/// # Errors
///
/// If records cannot be read, or the selection cannot be parsed.
pub fn run(
    selection: &RecordSelection,
    format: ExportFormat,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let timeline = Timeline::open(&selection.directories)?;
    let query = query::build(selection, &timeline)?;
    let (events, gaps) = timeline.read(&query);
    if format == ExportFormat::Csv {
        csv_rows::write_header(output)?;
    }
    let mut gaps = gaps.iter().peekable();
    for event in events.iter().filter(|event| is_selected(event, selection)) {
        while let Some(gap) = gaps.next_if(|gap| gap.from_us <= event.at_us) {
            write_gap(gap, format, output)?;
        }
        write_event(event, format, output)?;
    }
    for gap in gaps {
        write_gap(gap, format, output)?;
    }
    output.flush()?;
    Ok(())
}

/// Series, such as the metrics of each second, are omitted unless requested.
fn is_selected(event: &Event, selection: &RecordSelection) -> bool {
    selection.all || !selection.kinds.is_empty() || is_discrete_event(event)
}

fn write_event(
    event: &Event,
    format: ExportFormat,
    output: &mut impl Write,
) -> std::io::Result<()> {
    match format {
        ExportFormat::Text => text_rows::write_event(event, output),
        ExportFormat::Csv => csv_rows::write_event(event, output),
        ExportFormat::Jsonl => json_rows::write_event(event, output),
    }
}

fn write_gap(gap: &Gap, format: ExportFormat, output: &mut impl Write) -> std::io::Result<()> {
    match format {
        ExportFormat::Text => text_rows::write_gap(gap, output),
        ExportFormat::Csv => csv_rows::write_gap(gap, output),
        ExportFormat::Jsonl => json_rows::write_gap(gap, output),
    }
}
