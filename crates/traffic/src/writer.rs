//! Writes recorded traffic as CSV.

use std::io::Write;

use crate::{Arrival, Traffic, TrafficError, COLUMNS};

/// Writes traffic as CSV, from which [`read`](crate::read) restores the requests. Keys are written as their numbers.
///
/// # Errors
///
/// If the output cannot be written.
pub fn write(traffic: &Traffic, output: impl Write) -> Result<(), TrafficError> {
    let mut writer = csv::Writer::from_writer(output);
    writer.write_record(COLUMNS)?;
    for arrival in &traffic.arrivals {
        writer.write_record(fields(traffic, arrival))?;
    }
    writer.flush().map_err(csv::Error::from)?;
    Ok(())
}

/// Returns the fields of a request, in the order of [`COLUMNS`].
fn fields(traffic: &Traffic, arrival: &Arrival) -> [String; COLUMNS.len()] {
    let zone = arrival.zone.map(|zone| name(&traffic.zones, zone));
    let key = arrival.key.map(|key| format!("k{key}"));
    let work_ms = arrival.work_ms.map(|work_ms| work_ms.to_string());
    [
        milliseconds(arrival.at_us),
        name(&traffic.classes, arrival.class),
        zone.unwrap_or_default(),
        key.unwrap_or_default(),
        work_ms.unwrap_or_default(),
    ]
}

/// Formats a time in microseconds as milliseconds.
fn milliseconds(us: u64) -> String {
    format!("{}.{:03}", us / 1000, us % 1000)
}

/// Returns a name by its index, or an empty string if there is none.
fn name(names: &[String], index: u16) -> String {
    names.get(usize::from(index)).cloned().unwrap_or_default()
}
