//! Background jobs on a directory of records: indexes and sums beside sealed segments, and an end for old ones.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use chutegrade_scheduler::{Cost, Job, Left, Priority};
use prost::Message;

use crate::frame;
use crate::index::Builder;
use crate::segment::{self, Item, SegmentId};

/// Bytes of a segment that one step reads and indexes: some ten milliseconds, and room for any frame.
const STEP_BYTES: u64 = 2 << 20;
/// Longest frame, in bytes.
const FRAME_MOST: u64 = (frame::HEAD + frame::CONTENT_MOST) as u64;
/// How often a directory is looked at when nothing is left to do.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// How long records are kept: whichever is reached first; the segment being written always stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Bytes of all segments of one supervisor.
    pub bytes: u64,
    /// Time since a segment was last written.
    pub age: Duration,
}

/// What the writer tells the jobs.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<Mutex<Option<SegmentId>>>);

impl Shared {
    /// The segment being written.
    pub fn writing(&self) -> Option<SegmentId> {
        self.0.lock().map_or(None, |writing| *writing)
    }

    /// Another segment is being written.
    pub fn set_writing(&self, id: Option<SegmentId>) {
        if let Ok(mut writing) = self.0.lock() {
            *writing = id;
        }
    }
}

/// All jobs of a directory.
pub fn all(directory: &Path, retention: Retention, shared: &Shared) -> Vec<Box<dyn Job + Send>> {
    let directory = directory.to_path_buf();
    vec![
        Box::new(Trim {
            directory: directory.clone(),
            retention,
            shared: shared.clone(),
        }),
        Box::new(Seal {
            directory,
            shared: shared.clone(),
            under_way: None,
        }),
    ]
}

/// Which segments to end, oldest first, given their sizes and ages in order; the last one always stays.
pub fn expired(segments: &[(SegmentId, u64, Duration)], retention: Retention) -> Vec<SegmentId> {
    let mut bytes: u64 = segments.iter().map(|(_, length, _)| length).sum();
    let mut ended = Vec::new();
    let closed = segments.len().saturating_sub(1);
    for (id, length, age) in segments.iter().take(closed) {
        if bytes <= retention.bytes && *age <= retention.age {
            break;
        }
        bytes -= length;
        ended.push(*id);
    }
    ended
}

/// Ends old segments. First of all jobs: a full disk stops recording.
struct Trim {
    directory: PathBuf,
    retention: Retention,
    shared: Shared,
}

impl Trim {
    fn known(&self) -> Vec<(SegmentId, u64, Duration)> {
        let listed = segment::list(&self.directory).unwrap_or_default();
        let now = SystemTime::now();
        let known = listed.into_iter().filter_map(|id| {
            let of = std::fs::metadata(id.path(&self.directory)).ok()?;
            let age = now.duration_since(of.modified().ok()?).unwrap_or_default();
            Some((id, of.len(), age))
        });
        known.collect()
    }
}

impl Job for Trim {
    fn step(&mut self) -> (u64, Left) {
        let known = self.known();
        // The index goes first: a segment without one is read whole, an index without a segment is nothing.
        for id in expired(&known, self.retention) {
            if Some(id) == self.shared.writing() {
                break;
            }
            let _ = std::fs::remove_file(id.index_path(&self.directory));
            let _ = std::fs::remove_file(id.path(&self.directory));
        }
        (0, Left::After(LOOK_EVERY))
    }
    fn priority(&self) -> Priority {
        Priority::Urgent
    }
    fn bound(&self) -> Cost {
        Cost {
            time: Duration::from_millis(20),
            bytes: 0,
        }
    }
}

/// A segment that is being indexed.
struct UnderWay {
    id: SegmentId,
    length: u64,
    read: u64,
    builder: Builder,
}

/// Writes the index of one sealed segment after the other, some of it in each step. One that is cut off is begun anew.
struct Seal {
    directory: PathBuf,
    shared: Shared,
    under_way: Option<UnderWay>,
}

impl Seal {
    fn wanted(&self) -> Option<SegmentId> {
        let writing = self.shared.writing();
        let mut listed = segment::list(&self.directory).ok()?.into_iter();
        listed.find(|id| Some(*id) < writing && !id.index_path(&self.directory).exists())
    }

    fn begin(&self) -> Option<UnderWay> {
        let id = self.wanted()?;
        let length = std::fs::metadata(id.path(&self.directory)).ok()?.len();
        Some(UnderWay {
            id,
            length,
            read: 0,
            builder: Builder::new(id, length),
        })
    }

    /// Reads on, as far as whole frames go.
    fn read(&self, job: &mut UnderWay) -> std::io::Result<u64> {
        let bytes = segment::bytes(&job.id.path(&self.directory), job.read, STEP_BYTES)?;
        let last = job.read + bytes.len() as u64 >= job.length || bytes.is_empty();
        let begun = job.read;
        for (end, item) in segment::items(&bytes, begun) {
            match item {
                // A frame that the end of the step cuts is looked at again with what follows.
                Item::Torn(_) if !last && job.read > begun => break,
                Item::Torn(torn) if !last => {
                    let passed = torn.saturating_sub(FRAME_MOST).max(1);
                    job.builder.add(&Item::Damaged(passed));
                    job.read += passed;
                }
                item => {
                    job.builder.add(&item);
                    job.read = end;
                }
            }
        }
        job.read = if last { job.length } else { job.read };
        Ok(bytes.len() as u64)
    }
}

impl Job for Seal {
    fn step(&mut self) -> (u64, Left) {
        let Some(mut job) = self.under_way.take().or_else(|| self.begin()) else {
            return (0, Left::After(LOOK_EVERY));
        };
        let Ok(bytes) = self.read(&mut job) else {
            return (0, Left::After(LOOK_EVERY));
        };
        if job.read < job.length {
            self.under_way = Some(job);
            return (bytes, Left::More);
        }
        let mut out = Vec::new();
        frame::put(&mut out, &job.builder.finish().encode_to_vec());
        // Whole or not at all: a reader that finds half an index takes it for none, which costs it a scan.
        let path = job.id.index_path(&self.directory);
        let draft = path.with_extension("tmp");
        let written = std::fs::write(&draft, &out).and_then(|()| std::fs::rename(&draft, &path));
        let left = if written.is_ok() {
            Left::More
        } else {
            Left::After(LOOK_EVERY)
        };
        (bytes + out.len() as u64, left)
    }
    fn priority(&self) -> Priority {
        Priority::Normal
    }
    fn bound(&self) -> Cost {
        Cost {
            time: Duration::from_millis(100),
            bytes: 2 * STEP_BYTES,
        }
    }
}
