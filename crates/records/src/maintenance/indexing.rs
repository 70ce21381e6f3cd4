//! Indexes of sealed segments.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chutegrade_scheduler::{Cost, Job, JobState, Priority, StepReport};
use prost::Message;

use super::{ActiveSegment, CHECK_INTERVAL};
use crate::frame;
use crate::index::Builder;
use crate::segment::{self, Item, SegmentId};

/// Bytes of a segment that one step reads and indexes: takes about 10 ms, and holds any frame.
const STEP_BYTES: u64 = 2 << 20;
/// Maximum length of a frame, in bytes.
const MAX_FRAME_BYTES: u64 = (frame::HEADER_BYTES + frame::MAX_CONTENT_BYTES) as u64;
/// Maximum expected cost of a step.
const STEP_COST_BOUND: Cost = Cost {
    time: Duration::from_millis(100),
    bytes: 2 * STEP_BYTES,
};

/// A segment that is being indexed.
struct IndexInProgress {
    id: SegmentId,
    segment_bytes: u64,
    /// Bytes of the segment that have been indexed.
    indexed_bytes: u64,
    builder: Builder,
}

/// Writes the indexes of sealed segments, one range of a segment per step. An interrupted index is built again from the
/// beginning.
pub(super) struct IndexingJob {
    directory: PathBuf,
    active_segment: ActiveSegment,
    in_progress: Option<IndexInProgress>,
}

impl IndexingJob {
    pub fn new(directory: &Path, active_segment: &ActiveSegment) -> Self {
        IndexingJob {
            directory: directory.to_path_buf(),
            active_segment: active_segment.clone(),
            in_progress: None,
        }
    }

    /// Returns the oldest sealed segment without an index.
    fn next_segment(&self) -> Option<SegmentId> {
        let active = self.active_segment.get();
        let mut ids = segment::list(&self.directory).ok()?.into_iter();
        ids.find(|id| Some(*id) < active && !id.index_path(&self.directory).exists())
    }

    fn start(&self) -> Option<IndexInProgress> {
        let id = self.next_segment()?;
        let segment_bytes = std::fs::metadata(id.path(&self.directory)).ok()?.len();
        Some(IndexInProgress {
            id,
            segment_bytes,
            indexed_bytes: 0,
            builder: Builder::new(id, segment_bytes),
        })
    }

    /// Reads the next range of a segment and indexes its complete frames. Returns the number of bytes read.
    fn index_next_range(&self, index: &mut IndexInProgress) -> io::Result<u64> {
        let start = index.indexed_bytes;
        let bytes = segment::bytes(&index.id.path(&self.directory), start, STEP_BYTES)?;
        let read_bytes = bytes.len() as u64;
        let is_last = start + read_bytes >= index.segment_bytes || bytes.is_empty();
        for (end, item) in segment::items(&bytes, start) {
            match item {
                // A frame that crosses the end of the range is read again with the next range.
                Item::Torn(_) if !is_last && index.indexed_bytes > start => break,
                Item::Torn(torn_bytes) if !is_last => {
                    let damaged_bytes = torn_bytes.saturating_sub(MAX_FRAME_BYTES).max(1);
                    index.builder.add(&Item::Damaged(damaged_bytes));
                    index.indexed_bytes += damaged_bytes;
                }
                item => {
                    index.builder.add(&item);
                    index.indexed_bytes = end;
                }
            }
        }
        if is_last {
            index.indexed_bytes = index.segment_bytes;
        }
        Ok(read_bytes)
    }

    /// Writes the file of an index atomically, by renaming a temporary file.
    fn write(&self, id: SegmentId, contents: &[u8]) -> io::Result<()> {
        let path = id.index_path(&self.directory);
        let temporary = path.with_extension("tmp");
        std::fs::write(&temporary, contents)?;
        std::fs::rename(&temporary, &path)
    }
}

impl Job for IndexingJob {
    fn step(&mut self) -> StepReport {
        let idle = StepReport {
            bytes: 0,
            state: JobState::Delayed(CHECK_INTERVAL),
        };
        let Some(mut index) = self.in_progress.take().or_else(|| self.start()) else {
            return idle;
        };
        let Ok(read_bytes) = self.index_next_range(&mut index) else {
            return idle;
        };
        if index.indexed_bytes < index.segment_bytes {
            self.in_progress = Some(index);
            return StepReport {
                bytes: read_bytes,
                state: JobState::Ready,
            };
        }
        let id = index.id;
        let mut contents = Vec::new();
        frame::put(&mut contents, &index.builder.finish().encode_to_vec());
        let state = match self.write(id, &contents) {
            Ok(()) => JobState::Ready,
            Err(_) => JobState::Delayed(CHECK_INTERVAL),
        };
        StepReport {
            bytes: read_bytes + contents.len() as u64,
            state,
        }
    }

    fn priority(&self) -> Priority {
        Priority::Normal
    }

    fn cost_bound(&self) -> Cost {
        STEP_COST_BOUND
    }
}
