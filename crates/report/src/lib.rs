//! A self-contained HTML page that describes an incident in sentences, charts and a list of events. Intervals with missing
//! records are hatched and listed. The page loads no resources and has no scripts; the template escapes text from
//! records. See `docs/records.md`.

mod chart;
mod findings;
mod gather;
mod page;
mod samples;

pub use findings::{Findings, PageLimits, SupervisorClock};
pub use gather::gather;
pub use samples::{Bucket, LevelSpan, Point, Run, Samples};

use chutegrade_records::{Timeline, Window};

/// Builds the page for a window. It ends with the command that exports the records of that window.
pub fn report(timeline: &Timeline, window: Window, limits: PageLimits) -> String {
    page::page(&gather(timeline, window, limits)).into_string()
}
