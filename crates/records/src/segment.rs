//! Segments: files of frames, written by one start of one supervisor, in order. The name tells the start and the place
//! within it, so that order and gaps are known even where a file can't be read.

use std::fs::File;
use std::io::{Read as _, Seek as _, SeekFrom};
use std::path::{Path, PathBuf};

use prost::Message;

use crate::frame::{Piece, Pieces, HEAD};
use crate::kind::{self, Read};
use crate::pb::{Index, SegmentHeader};

/// Version of the framing and of the schema's meaning that this program writes.
pub const VERSION: u32 = 1;
/// Longest segment that is read, in bytes; one is sealed far below it.
pub const LENGTH_MOST: u64 = 256 << 20;
const ENDING: &str = "seg";
const INDEX_ENDING: &str = "idx";

/// Which segment: the start that wrote it, and its place among those of the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId {
    /// Counts the starts of the supervisor, from 1.
    pub incarnation: u64,
    /// Counts the segments of the start, from 0.
    pub number: u64,
}

impl SegmentId {
    /// The segment's file.
    pub fn path(self, directory: &Path) -> PathBuf {
        directory.join(format!(
            "{:08}-{:06}.{ENDING}",
            self.incarnation, self.number
        ))
    }

    /// The file of its index.
    pub fn index_path(self, directory: &Path) -> PathBuf {
        self.path(directory).with_extension(INDEX_ENDING)
    }

    fn of(name: &str) -> Option<Self> {
        let (incarnation, number) = name.strip_suffix(&format!(".{ENDING}"))?.split_once('-')?;
        let digits = |text: &str| {
            text.bytes()
                .all(|byte| byte.is_ascii_digit())
                .then(|| text.parse().ok())?
        };
        Some(SegmentId {
            incarnation: digits(incarnation)?,
            number: digits(number)?,
        })
    }
}

/// The segments of a directory, in order. A directory that is not there has none.
pub fn list(directory: &Path) -> std::io::Result<Vec<SegmentId>> {
    let entries = match std::fs::read_dir(directory) {
        Ok(entries) => entries,
        Err(fault) if fault.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(fault) => return Err(fault),
    };
    let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    let mut found: Vec<SegmentId> = names.filter_map(|name| SegmentId::of(&name)).collect();
    found.sort();
    Ok(found)
}

/// A part of a segment's file; nothing where the file is shorter.
pub fn bytes(path: &Path, from: u64, length: u64) -> std::io::Result<Vec<u8>> {
    let mut file = File::open(path)?;
    file.seek(SeekFrom::Start(from))?;
    let mut bytes = Vec::new();
    file.take(length.min(LENGTH_MOST)).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// What lies in a segment, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// The header.
    Header(SegmentHeader),
    /// A record, with its place and the length of its frame.
    Record {
        /** Where its frame begins. */
        at: u64,
        /** Bytes of its frame. */
        bytes: u64,
        /** The record. */
        read: Read,
    },
    /// Bytes that belong to no record, with records behind them.
    Damaged(u64),
    /// Bytes that belong to no record, at the end.
    Torn(u64),
}

/// Reads the items of a segment's bytes, which begin at this place of the file, each with the place where it ends; the
/// frame at 0 is the header.
pub fn items(bytes: &[u8], from: u64) -> impl Iterator<Item = (u64, Item)> + '_ {
    Pieces::new(bytes, 0).map(move |piece| match piece {
        Piece::Whole { at, content } => {
            let bytes = (HEAD + content.len()) as u64;
            let at = from + at as u64;
            let item = if at == 0 {
                SegmentHeader::decode(content).ok().map(Item::Header)
            } else {
                kind::read(content).map(|read| Item::Record { at, bytes, read })
            };
            (at + bytes, item.unwrap_or(Item::Damaged(bytes)))
        }
        Piece::Damaged { at, bytes } => (from + (at + bytes) as u64, Item::Damaged(bytes as u64)),
        Piece::Torn { at, bytes } => (from + (at + bytes) as u64, Item::Torn(bytes as u64)),
    })
}

/// Reads the index beside a segment; nothing if there is none, it is damaged, or the segment has another length.
pub fn stored_index(directory: &Path, id: SegmentId) -> Option<Index> {
    let bytes = std::fs::read(id.index_path(directory)).ok()?;
    let Some(Piece::Whole { content, .. }) = Pieces::new(&bytes, 0).next() else {
        return None;
    };
    let index = Index::decode(content).ok()?;
    let length = std::fs::metadata(id.path(directory)).ok()?.len();
    (index.length == length && index.incarnation == id.incarnation && index.number == id.number)
        .then_some(index)
}

#[cfg(test)]
mod tests;
