//! Verifies a directory by a full scan, without relying on its indexes.

use std::path::Path;

use super::ReadError;
use crate::index;
use crate::segment::{self, Item, SegmentId};

/// The result of a full scan of a directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerificationReport {
    /// The number of segments that were read.
    pub segments: u64,
    /// The number of records that were read.
    pub records: u64,
    /// The number of records with a kind or fields that are newer than this version.
    pub newer: u64,
    /// The number of bytes within segments that belong to no record.
    pub damaged_bytes: u64,
    /// The number of bytes at the end of segments that belong to no record.
    pub torn_bytes: u64,
    /// The number of missing sequence numbers.
    pub missing: u64,
    /// The number of non-empty segments whose header can't be read.
    pub segments_without_header: u64,
    /// The number of indexes that do not match their segments.
    pub mismatched_indexes: u64,
}

impl VerificationReport {
    /// Returns whether no damage was found. A torn tail does not count, since a crash leaves one.
    pub fn is_valid(&self) -> bool {
        self.damaged_bytes == 0
            && self.missing == 0
            && self.segments_without_header == 0
            && self.mismatched_indexes == 0
    }
}

/// Reads every byte of a directory's segments.
///
/// # Errors
///
/// If the directory or a segment can't be read.
pub fn verify(directory: &Path) -> Result<VerificationReport, ReadError> {
    let io_error = |error| ReadError::Io(directory.to_path_buf(), error);
    let mut scan = Scan::default();
    for id in segment::list(directory).map_err(io_error)? {
        let path = id.path(directory);
        let bytes = segment::bytes(&path, 0, segment::MAX_SEGMENT_BYTES).map_err(io_error)?;
        scan.add_segment(id, &bytes);
        if id.index_path(directory).exists() {
            let is_match = segment::stored_index(directory, id) == Some(index::build(id, &bytes));
            scan.report.mismatched_indexes += u64::from(!is_match);
        }
    }
    Ok(scan.report)
}

#[derive(Default)]
struct Scan {
    report: VerificationReport,
    last_record: Option<RecordPosition>,
}

#[derive(Clone, Copy)]
struct RecordPosition {
    incarnation: u64,
    seq: u64,
}

impl Scan {
    fn add_segment(&mut self, id: SegmentId, bytes: &[u8]) {
        let mut has_header = false;
        for (_, item) in segment::items(bytes, 0) {
            match item {
                Item::Header(_) => has_header = true,
                Item::Damaged(bytes) => self.report.damaged_bytes += bytes,
                Item::Torn(bytes) => self.report.torn_bytes += bytes,
                Item::Record { decoded, .. } => {
                    self.report.records += 1;
                    self.report.newer += u64::from(decoded.newer.is_some());
                    self.add_position(RecordPosition {
                        incarnation: id.incarnation,
                        seq: decoded.record.seq,
                    });
                }
            }
        }
        self.report.segments += 1;
        self.report.segments_without_header += u64::from(!has_header && !bytes.is_empty());
    }

    /// Counts the sequence numbers that are missing between two records of an incarnation.
    fn add_position(&mut self, position: RecordPosition) {
        let previous = self
            .last_record
            .filter(|last| last.incarnation == position.incarnation);
        if let Some(previous) = previous {
            let distance = position.seq.saturating_sub(previous.seq);
            self.report.missing += distance.saturating_sub(1);
        }
        self.last_record = Some(position);
    }
}
