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
mod tests {
    use super::*;
    use crate::pb::{record::Kind, Gauge, Record, Stopped};
    use crate::segment::Item;

    pub(crate) fn framed(records: &[Record]) -> Vec<u8> {
        let mut out = Vec::new();
        records
            .iter()
            .for_each(|record| assert!(frame::put(&mut out, &record.encode_to_vec())));
        out
    }

    fn records(count: u64) -> Vec<Record> {
        let kind = |seq| {
            Kind::Gauge(Gauge {
                waiting: seq as f64,
                ..Gauge::default()
            })
        };
        (1..=count)
            .map(|seq| Record {
                seq,
                at_us: seq as i64,
                learned_us: seq as i64,
                kind: Some(kind(seq)),
            })
            .collect()
    }

    fn read(directory: &Path, id: SegmentId) -> Vec<Record> {
        let bytes = segment::bytes(&id.path(directory), 0, u64::MAX).expect("a segment");
        let record = |(_, item)| {
            if let Item::Record { read, .. } = item {
                Some(read.record)
            } else {
                None
            }
        };
        segment::items(&bytes, 0).filter_map(record).collect()
    }

    #[test]
    fn the_second_in_one_directory_is_refused_until_the_first_is_gone() {
        let directory = tempfile::tempdir().expect("a directory");
        let first = Store::open(directory.path(), "n0").expect("a store");
        let refused = Store::open(directory.path(), "n0")
            .expect_err("it is in use")
            .to_string();
        assert!(
            refused.contains("in use by another supervisor") && !refused.contains('\n'),
            "{refused}"
        );
        drop(first);
        assert_eq!(
            Store::open(directory.path(), "n0")
                .expect("a stale file is no lock")
                .incarnation(),
            1
        );
    }

    /// Danger: a crash at a bad moment costs records that were safe, or the next start. All places are tried.
    #[test]
    fn a_crash_at_any_byte_keeps_all_before_it_and_the_next_start_goes_on() {
        let directory = tempfile::tempdir().expect("a directory");
        let all = records(12);
        let mut store = Store::open(directory.path(), "n0").expect("a store");
        store.append(&framed(&all), 1, 0).expect("an append");
        store.commit().expect("a commit");
        let id = store.writing().expect("a segment");
        drop(store);
        let path = id.path(directory.path());
        let whole = std::fs::read(&path).expect("its bytes");
        let ends: Vec<usize> = (0..=all.len())
            .map(|n| whole.len() - framed(&all[n..]).len())
            .collect();
        for cut in 0..=whole.len() {
            std::fs::write(&path, &whole[..cut]).expect("a cut file");
            let kept = ends
                .iter()
                .filter(|end| **end <= cut)
                .count()
                .saturating_sub(1);
            assert_eq!(read(directory.path(), id), all[..kept], "cut at {cut}");
            let mut next = Store::open(directory.path(), "n0").expect("the next start");
            let found = next.recovered().expect("a look").expect("a start before");
            assert_eq!(
                (found.incarnation, found.records, found.stopped),
                (1, kept as u64, false)
            );
            let torn = cut - ends.iter().rfind(|end| **end <= cut).copied().unwrap_or(0);
            assert_eq!(found.torn_bytes, torn as u64, "cut at {cut}");
            next.append(&framed(&records(1)), 1, 0).expect("an append");
            let its = next.writing().expect("a segment");
            assert_eq!((its.incarnation, read(directory.path(), its).len()), (2, 1));
            std::fs::remove_file(its.path(directory.path())).expect("its end");
        }
    }

    #[test]
    fn a_start_that_ended_as_asked_is_known() {
        let directory = tempfile::tempdir().expect("a directory");
        let mut store = Store::open(directory.path(), "n0").expect("a store");
        let mut all = records(3);
        all.push(Record {
            seq: 4,
            kind: Some(Kind::Stopped(Stopped::default())),
            ..Record::default()
        });
        store.append(&framed(&all), 1, 0).expect("an append");
        drop(store);
        let next = Store::open(directory.path(), "n0").expect("a store");
        assert!(
            next.recovered()
                .expect("a look")
                .expect("a start before")
                .stopped
        );
    }

    #[test]
    fn a_long_segment_is_sealed_and_another_begun() {
        let directory = tempfile::tempdir().expect("a directory");
        let mut store = Store::open(directory.path(), "n0").expect("a store");
        let large = vec![0; SEAL_BYTES as usize];
        store.append(&large, 1, 0).expect("an append");
        assert_eq!(store.writing().map(|id| id.number), Some(0));
        store.append(&framed(&records(1)), 1, 0).expect("an append");
        assert_eq!(store.writing().map(|id| id.number), Some(1));
        assert!(store.dirty());
        store.commit().expect("a commit");
        assert!(!store.dirty());
    }
}
