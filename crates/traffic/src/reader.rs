//! Reads recorded traffic from CSV.

mod builder;
mod line;

use std::io::Read;

use csv::{Position, StringRecord};

use crate::error::LineError;
use crate::{Traffic, TrafficError};
use builder::TrafficBuilder;
use line::{parse_line, Columns};

/// Maximum number of requests in a file. A day of the largest deployment has about 240 million, but a replay covers hours
/// and keeps its requests in memory.
const MAX_REQUESTS: usize = 20_000_000;
/// Maximum number of invalid lines that an error describes.
const MAX_DESCRIBED_LINES: usize = 20;

/// Reads a file of recorded traffic. Checks all lines before it reports invalid ones.
///
/// # Errors
///
/// If the file is not valid CSV, its header or a line is invalid, or it has too many requests, classes or zones.
pub fn read(input: impl Read) -> Result<Traffic, TrafficError> {
    let mut reader = csv::ReaderBuilder::new()
        .flexible(true)
        .comment(Some(b'#'))
        .from_reader(input);
    let columns = Columns::from_header(reader.headers()?)?;
    let mut builder = TrafficBuilder::default();
    let mut invalid = InvalidLines::default();
    let mut record = StringRecord::new();
    while reader.read_record(&mut record)? {
        if builder.len() >= MAX_REQUESTS {
            return Err(TrafficError::TooMany {
                limit: MAX_REQUESTS,
                items: "requests",
            });
        }
        match parse_line(&columns, &record) {
            Ok(request) => builder.add(&request)?,
            Err(error) => invalid.add(&record, &error),
        }
    }
    invalid.into_result()?;
    Ok(builder.build())
}

/// The invalid lines found so far.
#[derive(Default)]
struct InvalidLines {
    /// The number and reason of each of the first [`MAX_DESCRIBED_LINES`].
    messages: Vec<String>,
    /// Number of all invalid lines.
    count: usize,
}

impl InvalidLines {
    fn add(&mut self, record: &StringRecord, error: &LineError) {
        self.count += 1;
        if self.messages.len() < MAX_DESCRIBED_LINES {
            let number = record.position().map_or(0, Position::line);
            self.messages.push(format!("line {number}: {error}"));
        }
    }

    fn into_result(self) -> Result<(), TrafficError> {
        if self.count == 0 {
            return Ok(());
        }
        Err(TrafficError::Lines {
            messages: self.messages.join("; "),
            count: self.count,
        })
    }
}
