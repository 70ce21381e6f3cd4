//! Writes records to a directory, for one supervisor at a time. An incarnation never changes segments of an earlier one
//! but starts its own, so that no repair is needed before it starts.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::Write as _;
use std::path::{Path, PathBuf};

use prost::Message;

use crate::frame;
use crate::index;
use crate::pb::{Recovered, SegmentHeader};
use crate::segment::{self, SegmentId, VERSION};

/// Size at which a segment is sealed, in bytes: a reader can hold a segment in memory, and a day has a few dozen of
/// them.
pub const SEAL_BYTES: u64 = 8 << 20;
/// File whose lock marks the directory as in use. The operating system releases the lock when the process ends.
const LOCK_FILE: &str = "lock";

/// Error when records can't be written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another supervisor uses the directory.
    #[error("{0} is in use by another supervisor: give each its own name or its own directory")]
    InUse(PathBuf),
    /// The directory or a file in it can't be used.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
}

/// Returns a function that adds the path to an I/O error.
fn with_path(path: &Path) -> impl Fn(std::io::Error) -> StoreError + '_ {
    |error| StoreError::Io(path.to_path_buf(), error)
}

/// A locked directory and the segment that is being written.
#[derive(Debug)]
pub struct Store {
    directory: PathBuf,
    supervisor: String,
    /// The segment that will be opened next.
    next_segment: SegmentId,
    open_segment: Option<OpenSegment>,
    _lock: File,
}

#[derive(Debug)]
struct OpenSegment {
    file: File,
    path: PathBuf,
    length: u64,
    has_uncommitted: bool,
}

/// Locks a directory and creates it if it does not exist.
fn lock(directory: &Path) -> Result<File, StoreError> {
    std::fs::create_dir_all(directory).map_err(with_path(directory))?;
    let path = directory.join(LOCK_FILE);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(with_path(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::InUse(directory.to_path_buf())),
        Err(TryLockError::Error(error)) => Err(with_path(&path)(error)),
    }
}

impl Store {
    /// Opens a directory for the next incarnation of a supervisor. Nothing is written before the first append.
    ///
    /// # Errors
    ///
    /// If the directory can't be used, or is in use.
    pub fn open(directory: &Path, supervisor: &str) -> Result<Self, StoreError> {
        let lock = lock(directory)?;
        let segments = segment::list(directory).map_err(with_path(directory))?;
        let incarnation = segments.last().map_or(0, |last| last.incarnation) + 1;
        Ok(Store {
            directory: directory.to_path_buf(),
            supervisor: supervisor.to_string(),
            next_segment: SegmentId {
                incarnation,
                number: 0,
            },
            open_segment: None,
            _lock: lock,
        })
    }

    /// Returns the number of this incarnation, from 1.
    pub fn incarnation(&self) -> u64 {
        self.next_segment.incarnation
    }

    /// Summarizes the last segment of the previous incarnation. Returns `None` if there is no segment.
    ///
    /// # Errors
    ///
    /// If the segment can't be read.
    pub fn recovered(&self) -> Result<Option<Recovered>, StoreError> {
        let segments = segment::list(&self.directory).map_err(with_path(&self.directory))?;
        let this_incarnation = self.incarnation();
        let Some(last) = segments
            .into_iter()
            .rfind(|id| id.incarnation < this_incarnation)
        else {
            return Ok(None);
        };
        let path = last.path(&self.directory);
        let bytes =
            segment::bytes(&path, 0, segment::MAX_SEGMENT_BYTES).map_err(with_path(&path))?;
        let index = index::build(last, &bytes);
        Ok(Some(Recovered {
            incarnation: last.incarnation,
            records: index.records,
            torn_bytes: index.torn_bytes,
            damaged_bytes: index.damaged_bytes,
            last_us: index.last_us,
            stopped: index.stopped,
        }))
    }

    /// Appends frames to the current segment, or to a new one if it is full.
    ///
    /// # Errors
    ///
    /// If they can't be written. The segment may then contain a part of them; the next append starts a new segment.
    pub fn append(&mut self, frames: &[u8], first_seq: u64, now_us: i64) -> Result<(), StoreError> {
        let is_full = self
            .open_segment
            .as_ref()
            .is_some_and(|segment| segment.length >= SEAL_BYTES);
        if is_full {
            self.commit()?;
            self.open_segment = None;
        }
        let mut segment = match self.open_segment.take() {
            Some(segment) => segment,
            None => self.begin_segment(first_seq, now_us)?,
        };
        let written = segment.file.write_all(frames);
        written.map_err(with_path(&segment.path))?;
        segment.length += frames.len() as u64;
        segment.has_uncommitted = true;
        self.open_segment = Some(segment);
        Ok(())
    }

    fn begin_segment(
        &mut self,
        first_seq: u64,
        created_us: i64,
    ) -> Result<OpenSegment, StoreError> {
        let id = self.next_segment;
        let path = id.path(&self.directory);
        self.next_segment.number += 1;
        let mut file = OpenOptions::new()
            .create_new(true)
            .write(true)
            .open(&path)
            .map_err(with_path(&path))?;
        let header = SegmentHeader {
            version: VERSION,
            supervisor: self.supervisor.clone(),
            incarnation: id.incarnation,
            number: id.number,
            first_seq,
            created_us,
        };
        let mut header_frame = Vec::new();
        frame::put(&mut header_frame, &header.encode_to_vec());
        file.write_all(&header_frame).map_err(with_path(&path))?;
        Ok(OpenSegment {
            file,
            path,
            length: header_frame.len() as u64,
            has_uncommitted: true,
        })
    }

    /// Returns whether something was appended since the last commit.
    pub fn has_uncommitted(&self) -> bool {
        self.open_segment
            .as_ref()
            .is_some_and(|segment| segment.has_uncommitted)
    }

    /// Synchronizes appended frames to the disk, so that they survive a power failure.
    ///
    /// # Errors
    ///
    /// If the segment can't be synchronized; the next append starts a new one.
    pub fn commit(&mut self) -> Result<(), StoreError> {
        let Some(mut segment) = self.open_segment.take() else {
            return Ok(());
        };
        if segment.has_uncommitted {
            let synchronized = segment.file.sync_data();
            synchronized.map_err(with_path(&segment.path))?;
            segment.has_uncommitted = false;
        }
        self.open_segment = Some(segment);
        Ok(())
    }

    /// Returns the segment that is being written, if any. Maintenance must not change it.
    pub fn active_segment(&self) -> Option<SegmentId> {
        self.open_segment.as_ref()?;
        Some(SegmentId {
            number: self.next_segment.number.saturating_sub(1),
            ..self.next_segment
        })
    }
}

#[cfg(test)]
mod tests;
