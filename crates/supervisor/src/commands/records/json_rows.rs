//! Events and gaps as JSON objects, one per line. Keys are in alphabetical order, on which scripts may rely.

use std::io::Write;

use chutegrade_records::timeline::{Event, Gap};
use chutegrade_records::{kind, text, Kind};
use serde::Serialize;
use serde_json::Value;

use crate::hexadecimal;

#[derive(Serialize)]
struct EventRow<'a> {
    at: String,
    fields: Value,
    kind: &'static str,
    learned: String,
    number: u32,
    /// The bytes of the record as hexadecimal digits, if it contains more than this version can decode.
    #[serde(skip_serializing_if = "Option::is_none")]
    record_hex: Option<String>,
    seq: u64,
    start: u64,
    supervisor: &'a str,
    text: String,
}

#[derive(Serialize)]
struct GapRow<'a> {
    from: String,
    kind: &'static str,
    missing: u64,
    reason: &'static str,
    supervisor: &'a str,
    text: String,
    to: String,
}

/// Writes an event as one line.
pub fn write_event(event: &Event, output: &mut impl Write) -> std::io::Result<()> {
    let row = EventRow {
        at: text::time(event.at_us),
        fields: fields(event.record.kind.as_ref()),
        kind: kind::name(event.number),
        learned: text::time(event.learned_us()),
        number: event.number,
        record_hex: event.newer.as_deref().map(hexadecimal::encode),
        seq: event.record.seq,
        start: event.incarnation,
        supervisor: &event.supervisor,
        text: event.line(),
    };
    write_row(&row, output)
}

/// Writes a gap as one line.
pub fn write_gap(gap: &Gap, output: &mut impl Write) -> std::io::Result<()> {
    let row = GapRow {
        from: text::time(gap.from_us),
        kind: "gap",
        missing: gap.missing,
        reason: gap.reason.as_str(),
        supervisor: &gap.supervisor,
        text: gap.line(),
        to: text::time(gap.to_us),
    };
    write_row(&row, output)
}

fn write_row(row: &impl Serialize, output: &mut impl Write) -> std::io::Result<()> {
    let json = serde_json::to_string(row)?;
    writeln!(output, "{json}")
}

/// Returns the fields of a record, without the name of its kind; null for an unknown kind.
fn fields(kind: Option<&Kind>) -> Value {
    let Ok(Value::Object(tagged)) = serde_json::to_value(kind) else {
        return Value::Null;
    };
    tagged
        .into_iter()
        .next()
        .map_or(Value::Null, |(_, fields)| fields)
}
