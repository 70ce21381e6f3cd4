//! One self-contained HTML page that tells the course of an incident: in sentences, in charts, and event by event, with
//! every interval of which not all is known hatched and listed. Nothing is fetched and no script is needed; text from
//! records is escaped by the template. See `docs/records.md`.

mod chart;
mod gather;
mod page;

pub use gather::{gather, Findings, Limits};

use chutegrade_records::{Timeline, Window};

/// Builds the page for a window. How it was asked for stands at its end, with how to get the records themselves.
pub fn report(timeline: &Timeline, window: Window, limits: Limits) -> String {
    page::page(&gather(timeline, window, limits)).into_string()
}
