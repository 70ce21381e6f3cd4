//! Background maintenance of a directory of records: the indexes of sealed segments, and the removal of old segments.

mod indexing;
mod retention;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chutegrade_scheduler::Job;

use crate::segment::SegmentId;
use indexing::IndexingJob;
use retention::RetentionJob;

pub use retention::Retention;

/// Time between two checks of a directory without work.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The segment that is being written, which the writer tells the maintenance jobs.
#[derive(Clone, Debug, Default)]
pub struct ActiveSegment(Arc<Mutex<Option<SegmentId>>>);

impl ActiveSegment {
    /// The segment that is being written.
    pub fn get(&self) -> Option<SegmentId> {
        self.0.lock().map_or(None, |segment| *segment)
    }

    /// Says that another segment is being written.
    pub fn set(&self, id: Option<SegmentId>) {
        if let Ok(mut segment) = self.0.lock() {
            *segment = id;
        }
    }
}

/// The maintenance jobs of a directory.
pub fn jobs(
    directory: &Path,
    retention: Retention,
    active_segment: &ActiveSegment,
) -> Vec<Box<dyn Job + Send>> {
    vec![
        Box::new(RetentionJob::new(directory, retention, active_segment)),
        Box::new(IndexingJob::new(directory, active_segment)),
    ]
}
