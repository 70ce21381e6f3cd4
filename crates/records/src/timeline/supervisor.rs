//! The records of one supervisor.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use super::event::Event;
use super::gap::{Gap, GapReason, Window};
use super::ReadError;
use crate::index::{self, Query};
use crate::kind::DecodedRecord;
use crate::pb::{Block, Index};
use crate::segment::{self, Item, SegmentId};

/// Size up to which adjacent blocks are read at once, in bytes. The last of them may exceed it.
const MAX_RANGE_BYTES: u64 = 4 << 20;

/// A segment with its index, stored or built while reading.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexedSegment {
    /// The incarnation and the number of the segment.
    pub id: SegmentId,
    /// The summary of its records, blocks and gaps.
    pub index: Index,
}

/// The records of one supervisor.
pub struct Supervisor {
    /// The name stored in its segments, or else that of the directory.
    pub name: Arc<str>,
    /// The directory of the segments.
    pub directory: PathBuf,
    /// The segments, in order.
    pub segments: Vec<IndexedSegment>,
    /// How far its clock is ahead of that of the first supervisor, in microseconds; 0 if that can't be estimated.
    pub ahead_us: i64,
    /// The number of shared changes in the endpoint list that were compared for `ahead_us`.
    pub clock_samples: usize,
}

/// A range of a segment's file whose blocks may contain matching records.
struct BlockRange {
    from: u64,
    to: u64,
    records: u32,
    min_us: i64,
    max_us: i64,
}

impl BlockRange {
    fn new(block: &Block) -> Self {
        BlockRange {
            from: block.offset,
            to: block.offset + block.bytes,
            records: block.records,
            min_us: block.min_at_us,
            max_us: block.max_at_us,
        }
    }

    /// Extends the range by a block if it is adjacent and the range is not too large. Returns whether it was extended.
    fn extend(&mut self, block: &Block) -> bool {
        if block.offset != self.to || self.to - self.from >= MAX_RANGE_BYTES {
            return false;
        }
        self.to += block.bytes;
        self.records += block.records;
        self.min_us = self.min_us.min(block.min_at_us);
        self.max_us = self.max_us.max(block.max_at_us);
        true
    }
}

impl Supervisor {
    /// Opens the directory of a supervisor.
    pub(super) fn open(directory: &Path) -> Result<Self, ReadError> {
        let ids = segment::list(directory)
            .map_err(|error| ReadError::Io(directory.to_path_buf(), error))?;
        let segments: Vec<IndexedSegment> = ids
            .into_iter()
            .filter_map(|id| load_segment(directory, id))
            .collect();
        Ok(Supervisor {
            name: supervisor_name(directory, &segments).into(),
            directory: directory.to_path_buf(),
            segments,
            ahead_us: 0,
            clock_samples: 0,
        })
    }

    /// Reads records that were written since the last read, from new segments and those of another size.
    ///
    /// # Errors
    ///
    /// If the directory can't be read.
    pub fn refresh(&mut self) -> Result<(), ReadError> {
        let ids = segment::list(&self.directory)
            .map_err(|error| ReadError::Io(self.directory.clone(), error))?;
        let known = std::mem::take(&mut self.segments);
        let mut known: BTreeMap<SegmentId, IndexedSegment> = known
            .into_iter()
            .map(|segment| (segment.id, segment))
            .collect();
        for id in ids {
            let length =
                std::fs::metadata(id.path(&self.directory)).map_or(0, |metadata| metadata.len());
            let unchanged = known
                .remove(&id)
                .filter(|segment| segment.index.length == length);
            let segment = unchanged.or_else(|| load_segment(&self.directory, id));
            self.segments.extend(segment);
        }
        Ok(())
    }

    /// Passes the matching records to a function in the order of writing, with times by this supervisor's clock.
    /// Returns a gap for each range in which fewer records could be read than are indexed.
    pub(super) fn for_each_event(
        &self,
        query: &Query,
        mut on_event: impl FnMut(Event),
    ) -> Vec<Gap> {
        let mut gaps = Vec::new();
        for segment in &self.segments {
            for range in matching_ranges(&segment.index, query) {
                let records = self.read_range(segment.id, &range, query, &mut on_event);
                if records < range.records {
                    gaps.push(self.unreadable(&range, range.records - records));
                }
            }
        }
        gaps
    }

    /// Passes the matching records of a range to a function. Returns the number of all records that were read.
    fn read_range(
        &self,
        id: SegmentId,
        range: &BlockRange,
        query: &Query,
        on_event: &mut impl FnMut(Event),
    ) -> u32 {
        let path = id.path(&self.directory);
        let bytes = segment::bytes(&path, range.from, range.to - range.from).unwrap_or_default();
        let mut records = 0;
        for (_, item) in segment::items(&bytes, range.from) {
            let Item::Record { decoded, .. } = item else {
                continue;
            };
            records += 1;
            if query.matches(&decoded.record, decoded.number) {
                on_event(self.event(id, decoded));
            }
        }
        records
    }

    fn event(&self, id: SegmentId, decoded: DecodedRecord) -> Event {
        Event {
            supervisor: Arc::clone(&self.name),
            incarnation: id.incarnation,
            number: decoded.number,
            newer: decoded.newer,
            at_us: decoded.record.at_us,
            ahead_us: 0,
            record: decoded.record,
        }
    }

    fn unreadable(&self, range: &BlockRange, missing: u32) -> Gap {
        Gap {
            supervisor: Arc::clone(&self.name),
            from_us: range.min_us,
            to_us: range.max_us,
            reason: GapReason::Damaged,
            missing: u64::from(missing),
            detail: "damaged since it was indexed, or trimmed while it was read".to_string(),
        }
    }

    /// Returns the interval from the first to the last time at which a record was learned, by this supervisor's clock.
    pub fn span(&self) -> Option<Window> {
        let indexes = || {
            let indexes = self.segments.iter().map(|segment| &segment.index);
            indexes.filter(|index| index.records > 0)
        };
        Some(Window {
            from_us: indexes().map(|index| index.first_us).min()?,
            to_us: indexes().map(|index| index.last_us).max()?,
        })
    }
}

/// Loads the index of a segment, or builds it if none is stored. Returns `None` if the segment can't be read, as when
/// it was just removed.
fn load_segment(directory: &Path, id: SegmentId) -> Option<IndexedSegment> {
    if let Some(index) = segment::stored_index(directory, id) {
        return Some(IndexedSegment { id, index });
    }
    let bytes = segment::bytes(&id.path(directory), 0, segment::MAX_SEGMENT_BYTES).ok()?;
    let index = index::build(id, &bytes);
    Some(IndexedSegment { id, index })
}

/// Returns the name in the newest segment that has one, or else that of the directory.
fn supervisor_name(directory: &Path, segments: &[IndexedSegment]) -> String {
    let names = segments
        .iter()
        .rev()
        .map(|segment| &segment.index.supervisor);
    let mut names = names.filter(|name| !name.is_empty());
    if let Some(name) = names.next() {
        return name.clone();
    }
    let directory_name = directory.file_name().unwrap_or_default();
    directory_name.to_string_lossy().into_owned()
}

/// Returns the ranges of a segment that may contain matching records.
fn matching_ranges(index: &Index, query: &Query) -> Vec<BlockRange> {
    let mut ranges: Vec<BlockRange> = Vec::new();
    for block in index.blocks.iter().filter(|block| query.may_match(block)) {
        let is_adjacent = ranges.last_mut().is_some_and(|range| range.extend(block));
        if !is_adjacent {
            ranges.push(BlockRange::new(block));
        }
    }
    ranges
}
