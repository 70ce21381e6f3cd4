//! The writing side of a directory of records: one supervisor's at a time. A start never changes what an earlier one
//! wrote; it begins a segment of its own, so that nothing has to be repaired before it can go on.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::Write as _;
use std::path::{Path, PathBuf};

use prost::Message;

use crate::frame;
use crate::index;
use crate::pb::{Recovered, SegmentHeader};
use crate::segment::{self, SegmentId, VERSION};

/// A segment is sealed at this length, in bytes: read whole by a reader with little memory, and a day has a few dozen.
pub const SEAL_BYTES: u64 = 8 << 20;
/// File that tells other processes that the directory is in use. The lock dies with the process that holds it.
const LOCK: &str = "lock";

/// Why records cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// Another supervisor writes there.
    #[error("{0} is in use by another supervisor: give each its own name or its own directory")]
    InUse(PathBuf),
    /// The directory or a file in it cannot be used.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
}

fn at(path: &Path) -> impl Fn(std::io::Error) -> Fault + '_ {
    |fault| Fault::Io(path.to_path_buf(), fault)
}

/// A directory under this supervisor's lock, and the segment that it writes.
#[derive(Debug)]
pub struct Store {
    directory: PathBuf,
    supervisor: String,
    id: SegmentId,
    active: Option<Active>,
    _lock: File,
}

#[derive(Debug)]
struct Active {
    file: File,
    path: PathBuf,
    length: u64,
    dirty: bool,
}

/// Takes the lock of a directory, which is made if it is not there.
fn lock(directory: &Path) -> Result<File, Fault> {
    std::fs::create_dir_all(directory).map_err(at(directory))?;
    let path = directory.join(LOCK);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(at(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Fault::InUse(directory.to_path_buf())),
        Err(TryLockError::Error(fault)) => Err(at(&path)(fault)),
    }
}

impl Store {
    /// Opens a directory for a supervisor's next start. Nothing is written before the first append.
    pub fn open(directory: &Path, supervisor: &str) -> Result<Self, Fault> {
        let lock = lock(directory)?;
        let known = segment::list(directory).map_err(at(directory))?;
        let incarnation = known.last().map_or(0, |last| last.incarnation) + 1;
        Ok(Store {
            directory: directory.to_path_buf(),
            supervisor: supervisor.to_string(),
            id: SegmentId {
                incarnation,
                number: 0,
            },
            active: None,
            _lock: lock,
        })
    }

    /// This start's number.
    pub fn incarnation(&self) -> u64 {
        self.id.incarnation
    }

    /// What the start before has left, if there was one: a look at its last segment.
    pub fn recovered(&self) -> Result<Option<Recovered>, Fault> {
        let known = segment::list(&self.directory).map_err(at(&self.directory))?;
        let Some(last) = known
            .into_iter()
            .rfind(|id| id.incarnation < self.id.incarnation)
        else {
            return Ok(None);
        };
        let path = last.path(&self.directory);
        let bytes = segment::bytes(&path, 0, segment::LENGTH_MOST).map_err(at(&path))?;
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

    /// Appends frames. On a fault the segment is left as it is, whatever part of them it holds, and the next append
    /// begins another.
    pub fn append(&mut self, frames: &[u8], first_seq: u64, now_us: i64) -> Result<(), Fault> {
        let full = self
            .active
            .as_ref()
            .is_some_and(|active| active.length >= SEAL_BYTES);
        if full {
            self.commit()?;
            self.active = None;
        }
        let mut active = match self.active.take() {
            Some(active) => active,
            None => self.begin(first_seq, now_us)?,
        };
        active.file.write_all(frames).map_err(at(&active.path))?;
        active.length += frames.len() as u64;
        active.dirty = true;
        self.active = Some(active);
        Ok(())
    }

    fn begin(&mut self, first_seq: u64, created_us: i64) -> Result<Active, Fault> {
        let id = self.id;
        let path = id.path(&self.directory);
        self.id.number += 1;
        let mut file = OpenOptions::new()
            .create_new(true)
            .write(true)
            .open(&path)
            .map_err(at(&path))?;
        let header = SegmentHeader {
            version: VERSION,
            supervisor: self.supervisor.clone(),
            incarnation: id.incarnation,
            number: id.number,
            first_seq,
            created_us,
        };
        let mut head = Vec::new();
        frame::put(&mut head, &header.encode_to_vec());
        file.write_all(&head).map_err(at(&path))?;
        Ok(Active {
            file,
            path,
            length: head.len() as u64,
            dirty: true,
        })
    }

    /// Whether something was appended since the last commit.
    pub fn dirty(&self) -> bool {
        self.active.as_ref().is_some_and(|active| active.dirty)
    }

    /// Returns once all that was appended would survive a loss of power.
    pub fn commit(&mut self) -> Result<(), Fault> {
        let Some(mut active) = self.active.take() else {
            return Ok(());
        };
        if active.dirty {
            active.file.sync_data().map_err(at(&active.path))?;
            active.dirty = false;
        }
        self.active = Some(active);
        Ok(())
    }

    /// The segment being written, if there is one: background jobs leave it alone.
    pub fn writing(&self) -> Option<SegmentId> {
        self.active.as_ref()?;
        Some(SegmentId {
            number: self.id.number.saturating_sub(1),
            ..self.id
        })
    }
}

#[cfg(test)]
mod tests;
