//! Segments: files of frames, written by one incarnation of one supervisor. The file name contains the incarnation and
//! the number of the segment, so that order and gaps are known even if a file can't be read.

use std::fs::File;
use std::io::{Read as _, Seek as _, SeekFrom};
use std::path::{Path, PathBuf};

use prost::Message;

use crate::frame::{Piece, Pieces, HEADER_BYTES};
use crate::kind::{self, DecodedRecord};
use crate::pb::{Index, SegmentHeader};

/// Version of the framing and of the schema's semantics that this program writes.
pub const VERSION: u32 = 1;
/// Maximum number of bytes of a segment that are read. Segments are sealed far below this size.
pub const MAX_SEGMENT_BYTES: u64 = 256 << 20;
const EXTENSION: &str = "seg";
const INDEX_EXTENSION: &str = "idx";

/// Identifies a segment within a directory. Ordered by the time of writing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId {
    /// The incarnation of the supervisor that wrote it, from 1.
    pub incarnation: u64,
    /// The number of the segment within the incarnation, from 0.
    pub number: u64,
}

impl SegmentId {
    /// Returns the path of the segment's file in a directory.
    pub fn path(self, directory: &Path) -> PathBuf {
        directory.join(format!(
            "{:08}-{:06}.{EXTENSION}",
            self.incarnation, self.number
        ))
    }

    /// Returns the path of the file of the segment's index in a directory.
    pub fn index_path(self, directory: &Path) -> PathBuf {
        self.path(directory).with_extension(INDEX_EXTENSION)
    }

    /// Parses a file name. Returns `None` if it is not that of a segment.
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

/// Parses a number without a sign.
fn parse_digits(text: &str) -> Option<u64> {
    let are_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    are_digits.then(|| text.parse().ok())?
}

/// Lists the segments of a directory, in order. A directory that does not exist has none.
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

/// Reads `length` bytes of a file from an offset, fewer if the file is shorter or `length` exceeds
/// [`MAX_SEGMENT_BYTES`].
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
    /// The first frame of the segment, with the supervisor and the incarnation.
    Header(SegmentHeader),
    /// A frame that contains a record.
    Record {
        /// The offset of its frame.
        at: u64,
        /// The bytes of its frame.
        bytes: u64,
        /// Its content.
        decoded: DecodedRecord,
    },
    /// The number of bytes that belong to no record: damaged, or a frame whose content can't be decoded.
    Damaged(u64),
    /// The number of bytes at the end that belong to no record.
    Torn(u64),
}

/// Returns the items in a range of a segment's bytes, each with the offset of its end. `from` is the offset of the
/// range in the segment. The frame at offset 0 is the header.
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

/// Decodes the item of a frame at an offset.
fn frame_item(at: u64, bytes: u64, content: &[u8]) -> Item {
    let item = if at == 0 {
        SegmentHeader::decode(content).ok().map(Item::Header)
    } else {
        kind::decode(content).map(|decoded| Item::Record { at, bytes, decoded })
    };
    item.unwrap_or(Item::Damaged(bytes))
}

/// Reads the stored index of a segment. Returns `None` if there is none, it is damaged, or the segment has grown since.
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
