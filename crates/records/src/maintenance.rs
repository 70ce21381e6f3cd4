//! Background maintenance of a directory of records: indexes sealed segments and removes old ones.

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

/// Time between two checks of a directory when there is no work.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The segment that is being written, shared between the writer and the maintenance jobs.
#[derive(Clone, Debug, Default)]
pub struct ActiveSegment(Arc<Mutex<Option<SegmentId>>>);

impl ActiveSegment {
    /// Returns the segment that is being written, or `None` if there is none.
    pub fn get(&self) -> Option<SegmentId> {
        self.0.lock().map_or(None, |segment| *segment)
    }

    /// Sets the segment that is being written.
    pub fn set(&self, id: Option<SegmentId>) {
        if let Ok(mut segment) = self.0.lock() {
            *segment = id;
        }
    }
}

/// Creates the maintenance jobs of a directory.
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
