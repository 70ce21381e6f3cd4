//! Removal of old segments.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use chutegrade_scheduler::{Cost, Job, JobState, Priority, StepReport};

use super::{ActiveSegment, CHECK_INTERVAL};
use crate::segment::{self, SegmentId};

/// Maximum expected cost of a step.
const STEP_COST_BOUND: Cost = Cost {
    time: Duration::from_millis(20),
    bytes: 0,
};

/// Limits on stored records. A segment is removed when either limit is exceeded, except the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Maximum size of all segments of one supervisor, in bytes.
    pub bytes: u64,
    /// Maximum time since a segment was last written.
    pub age: Duration,
}

/// The size and age of a segment's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SegmentFile {
    id: SegmentId,
    bytes: u64,
    age: Duration,
}

/// Removes old segments. It runs before other jobs, since a full disk stops recording.
pub(super) struct RetentionJob {
    directory: PathBuf,
    retention: Retention,
    active_segment: ActiveSegment,
}

impl RetentionJob {
    pub fn new(directory: &Path, retention: Retention, active_segment: &ActiveSegment) -> Self {
        RetentionJob {
            directory: directory.to_path_buf(),
            retention,
            active_segment: active_segment.clone(),
        }
    }

    /// Returns the segments of the directory, the oldest first.
    fn files(&self) -> Vec<SegmentFile> {
        let ids = segment::list(&self.directory).unwrap_or_default();
        let now = SystemTime::now();
        ids.into_iter()
            .filter_map(|id| self.file(id, now))
            .collect()
    }

    fn file(&self, id: SegmentId, now: SystemTime) -> Option<SegmentFile> {
        let metadata = std::fs::metadata(id.path(&self.directory)).ok()?;
        let written_at = metadata.modified().ok()?;
        Some(SegmentFile {
            id,
            bytes: metadata.len(),
            age: now.duration_since(written_at).unwrap_or_default(),
        })
    }

    /// Removes the index first: a segment without an index can be scanned, an index without a segment is useless.
    fn remove(&self, id: SegmentId) {
        let _ = std::fs::remove_file(id.index_path(&self.directory));
        let _ = std::fs::remove_file(id.path(&self.directory));
    }
}

impl Job for RetentionJob {
    fn step(&mut self) -> StepReport {
        let files = self.files();
        for id in expired(&files, self.retention) {
            if Some(id) == self.active_segment.get() {
                break;
            }
            self.remove(id);
        }
        StepReport {
            bytes: 0,
            state: JobState::Delayed(CHECK_INTERVAL),
        }
    }

    fn priority(&self) -> Priority {
        Priority::Urgent
    }

    fn cost_bound(&self) -> Cost {
        STEP_COST_BOUND
    }
}

/// Returns the segments to remove, the oldest first; never the newest segment. `files` must be in order.
fn expired(files: &[SegmentFile], retention: Retention) -> Vec<SegmentId> {
    let mut bytes: u64 = files.iter().map(|file| file.bytes).sum();
    let mut expired = Vec::new();
    let sealed_count = files.len().saturating_sub(1);
    for file in files.iter().take(sealed_count) {
        if bytes <= retention.bytes && file.age <= retention.age {
            break;
        }
        bytes -= file.bytes;
        expired.push(file.id);
    }
    expired
}
