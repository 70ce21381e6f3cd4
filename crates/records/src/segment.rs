//! Segments: files of frames, written by one incarnation of one supervisor. The file name holds the incarnation and the number
//! of the segment, so that order and gaps are known even where a file can't be read.

use std::fs::File;
use std::io::{Read as _, Seek as _, SeekFrom};
use std::path::{Path, PathBuf};

use prost::Message;

use crate::frame::{Piece, Pieces, HEADER_BYTES};
use crate::kind::{self, DecodedRecord};
use crate::pb::{Index, SegmentHeader};

/// Version of the framing and of the schema's meaning that this program writes.
pub const VERSION: u32 = 1;
/// Longest segment that is read, in bytes; segments are sealed far below it.
pub const MAX_SEGMENT_BYTES: u64 = 256 << 20;
const EXTENSION: &str = "seg";
const INDEX_EXTENSION: &str = "idx";

/// Identifies a segment within a directory; the order is that of writing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId {
    /// The incarnation of the supervisor that wrote it, from 1.
    pub incarnation: u64,
    /// The number of the segment within the incarnation, from 0.
    pub number: u64,
}

impl SegmentId {
    /// The path of the segment.
    pub fn path(self, directory: &Path) -> PathBuf {
        directory.join(format!(
            "{:08}-{:06}.{EXTENSION}",
            self.incarnation, self.number
        ))
    }

    /// The path of its index.
    pub fn index_path(self, directory: &Path) -> PathBuf {
        self.path(directory).with_extension(INDEX_EXTENSION)
    }

    /// The segment with a file name; `None` if that is no segment.
    fn from_file_name(name: &str) -> Option<Self> {
        let (incarnation, number) = name
            .strip_suffix(&format!(".{EXTENSION}"))?
            .split_once('-')?;
        Some(SegmentId {
            incarnation: parse_digits(incarnation)?,
            number: parse_digits(number)?,
        })
    }
}

/// A number without a sign.
fn parse_digits(text: &str) -> Option<u64> {
    let are_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    are_digits.then(|| text.parse().ok())?
}

/// The segments of a directory, in order. A directory that does not exist has none.
///
/// # Errors
///
/// If the directory can't be read.
pub fn list(directory: &Path) -> std::io::Result<Vec<SegmentId>> {
    let entries = match std::fs::read_dir(directory) {
        Ok(entries) => entries,
        Err(fault) if fault.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(fault) => return Err(fault),
    };
    let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    let mut segments: Vec<SegmentId> = names
        .filter_map(|name| SegmentId::from_file_name(&name))
        .collect();
    segments.sort();
    Ok(segments)
}

/// A range of a file's bytes; fewer where the file is shorter.
///
/// # Errors
///
/// If the file can't be read.
pub fn bytes(path: &Path, from: u64, length: u64) -> std::io::Result<Vec<u8>> {
    let mut file = File::open(path)?;
    file.seek(SeekFrom::Start(from))?;
    let mut bytes = Vec::new();
    file.take(length.min(MAX_SEGMENT_BYTES))
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// A part of a segment.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// The header.
    Header(SegmentHeader),
    /// A record.
    Record {
        /// The offset of its frame.
        at: u64,
        /// The bytes of its frame.
        bytes: u64,
        /// The record.
        decoded: DecodedRecord,
    },
    /// Bytes that belong to no record, with records after them.
    Damaged(u64),
    /// Bytes that belong to no record, at the end.
    Torn(u64),
}

/// The items of a range of a segment's bytes that begins at an offset, each with the offset of its end. The frame at offset 0
/// is the header.
pub fn items(bytes: &[u8], from: u64) -> impl Iterator<Item = (u64, Item)> + '_ {
    Pieces::new(bytes, 0).map(move |piece| match piece {
        Piece::Whole { at, content } => {
            let at = from + at as u64;
            let bytes = (HEADER_BYTES + content.len()) as u64;
            (at + bytes, frame_item(at, bytes, content))
        }
        Piece::Damaged { at, bytes } => (from + (at + bytes) as u64, Item::Damaged(bytes as u64)),
        Piece::Torn { at, bytes } => (from + (at + bytes) as u64, Item::Torn(bytes as u64)),
    })
}

/// The item of a frame at an offset.
fn frame_item(at: u64, bytes: u64, content: &[u8]) -> Item {
    let item = if at == 0 {
        SegmentHeader::decode(content).ok().map(Item::Header)
    } else {
        kind::decode(content).map(|decoded| Item::Record { at, bytes, decoded })
    };
    item.unwrap_or(Item::Damaged(bytes))
}

/// The stored index of a segment; `None` if there is none, it is damaged, or the segment has grown since.
pub fn stored_index(directory: &Path, id: SegmentId) -> Option<Index> {
    let bytes = std::fs::read(id.index_path(directory)).ok()?;
    let Some(Piece::Whole { content, .. }) = Pieces::new(&bytes, 0).next() else {
        return None;
    };
    let index = Index::decode(content).ok()?;
    let length = std::fs::metadata(id.path(directory)).ok()?.len();
    let is_current =
        index.length == length && index.incarnation == id.incarnation && index.number == id.number;
    is_current.then_some(index)
}

#[cfg(test)]
mod tests;
