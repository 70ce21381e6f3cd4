//! Parses the header and the lines.

use csv::StringRecord;

use crate::error::LineError;
use crate::{TrafficError, AT_MS, CLASS, COLUMNS, KEY, WORK_MS, ZONE};

/// Maximum length of a time, name or key, in bytes.
const MAX_FIELD_BYTES: usize = 200;
/// Maximum time, in milliseconds: about a year.
const MAX_AT_MS: f64 = 3.2e10;
/// Maximum service time, in milliseconds.
const MAX_WORK_MS: f64 = 1e9;

/// Indices of the columns; `None` for optional columns that are missing.
pub(super) struct Columns {
    at_ms: usize,
    class: usize,
    zone: Option<usize>,
    key: Option<usize>,
    work_ms: Option<usize>,
}

impl Columns {
    /// Finds the columns in a header.
    ///
    /// # Errors
    ///
    /// If a required column is missing, or one is unknown.
    pub(super) fn from_header(header: &StringRecord) -> Result<Self, TrafficError> {
        let column = |name: &str| header.iter().position(|other| other.trim() == name);
        let has_unknown = header.iter().any(|name| !COLUMNS.contains(&name.trim()));
        let (Some(at_ms), Some(class), false) = (column(AT_MS), column(CLASS), has_unknown) else {
            let columns: Vec<&str> = header.iter().collect();
            return Err(TrafficError::Header {
                columns: columns.join(","),
            });
        };
        Ok(Columns {
            at_ms,
            class,
            zone: column(ZONE),
            key: column(KEY),
            work_ms: column(WORK_MS),
        })
    }

    /// Returns whether a time, name or key is too long, with the blanks around it.
    fn has_long_field(&self, record: &StringRecord) -> bool {
        [Some(self.class), Some(self.at_ms), self.zone, self.key]
            .into_iter()
            .flatten()
            .filter_map(|column| record.get(column))
            .any(|field| field.len() > MAX_FIELD_BYTES)
    }
}

/// A parsed line, with names and key as in the file.
pub(super) struct Request<'a> {
    /// Time in milliseconds, from an arbitrary start.
    pub(super) at_ms: f64,
    pub(super) class: &'a str,
    pub(super) zone: Option<&'a str>,
    pub(super) key: Option<&'a str>,
    pub(super) work_ms: Option<f64>,
}

/// Parses a line.
///
/// # Errors
///
/// The first reason why the line is invalid.
pub(super) fn parse_line<'a>(
    columns: &Columns,
    record: &'a StringRecord,
) -> Result<Request<'a>, LineError> {
    let at_ms = parse_time(field(record, columns.at_ms))?;
    let class = field(record, columns.class);
    if columns.has_long_field(record) {
        return Err(LineError::NameTooLong);
    }
    Ok(Request {
        at_ms,
        class: class.ok_or(LineError::NoClass)?,
        zone: optional_field(record, columns.zone),
        key: optional_field(record, columns.key),
        work_ms: parse_work(optional_field(record, columns.work_ms))?,
    })
}

/// Returns the trimmed field of a column, or `None` if it is empty or missing.
fn field(record: &StringRecord, column: usize) -> Option<&str> {
    record
        .get(column)
        .map(str::trim)
        .filter(|field| !field.is_empty())
}

fn optional_field(record: &StringRecord, column: Option<usize>) -> Option<&str> {
    field(record, column?)
}

fn parse_time(text: Option<&str>) -> Result<f64, LineError> {
    let text = text.unwrap_or_default();
    parse_number(text, MAX_AT_MS).ok_or_else(|| LineError::Time(text.to_string()))
}

fn parse_work(text: Option<&str>) -> Result<Option<f64>, LineError> {
    let Some(text) = text else {
        return Ok(None);
    };
    let work_ms = parse_number(text, MAX_WORK_MS);
    work_ms
        .map(Some)
        .ok_or_else(|| LineError::Work(text.to_string()))
}

/// Parses a number from 0 to the given maximum.
fn parse_number(text: &str, max: f64) -> Option<f64> {
    let number = text.parse::<f64>().ok()?;
    (0.0..=max).contains(&number).then_some(number)
}
