//! One self-contained HTML page that describes an incident: in sentences, in charts, and event by event. Every interval of
//! which records are missing is hatched and listed. The page loads nothing and has no script; the template escapes text
//! from records. See `docs/records.md`.

mod chart;
mod findings;
mod gather;
mod page;
mod samples;

pub use findings::{Findings, PageLimits, SupervisorClock};
pub use gather::gather;
pub use samples::{Bucket, LevelSpan, Point, Run, Samples};

use chutegrade_records::{Timeline, Window};

/// Builds the page of a window. At its end is the command that exports the records of that window.
pub fn report(timeline: &Timeline, window: Window, limits: PageLimits) -> String {
    page::page(&gather(timeline, window, limits)).into_string()
}
