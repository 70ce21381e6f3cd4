//! Frames store one record each in a file: a magic number, the length of the content, a checksum of length and content,
//! and the content.
//!
//! A reader skips bytes that are not a valid frame and continues with the next valid one, so that damage loses only the
//! frames that contain it.

/// First bytes of each frame. All differ, and they are not valid UTF-8.
pub const MAGIC: [u8; 4] = [0xC4, 0x75, 0x7E, 0x9D];
/// Length of the magic number, the length and the checksum, in bytes.
pub const HEADER_BYTES: usize = 12;
/// Maximum length of a frame's content, in bytes: holds a record of a fleet of 10,000 servers.
pub const MAX_CONTENT_BYTES: usize = 1 << 20;
/// Offset of the length in a frame.
const LENGTH_OFFSET: usize = 4;
/// Offset of the checksum in a frame.
const CHECKSUM_OFFSET: usize = 8;
/// Maximum number of bytes that are checksummed in the search for the next valid frame. Beyond this, the rest of the file
/// counts as damaged: a file that contains only magic numbers would otherwise take hours.
const MAX_SEARCH_BYTES: usize = 64 << 20;

fn checksum(length: [u8; 4], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(content);
    hasher.finalize()
}

/// Appends a frame. Returns false, and appends nothing, if the content is too long.
pub fn put(out: &mut Vec<u8>, content: &[u8]) -> bool {
    if content.len() > MAX_CONTENT_BYTES {
        return false;
    }
    let length = (content.len() as u32).to_le_bytes();
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&length);
    out.extend_from_slice(&checksum(length, content).to_le_bytes());
    out.extend_from_slice(content);
    true
}

/// A contiguous part of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    /// A valid frame.
    Whole {
        /// The offset of the frame.
        at: usize,
        /// The bytes that the checksum covers, without the header.
        content: &'a [u8],
    },
    /// Bytes that belong to no valid frame, followed by a valid one.
    Damaged {
        /// The offset of the bytes.
        at: usize,
        /// The number of bytes.
        bytes: usize,
    },
    /// Bytes at the end of the file that belong to no valid frame.
    Torn {
        /// The offset of the bytes.
        at: usize,
        /// The number of bytes.
        bytes: usize,
    },
}

/// The result of parsing a frame at an offset.
enum Parsed<'a> {
    /// A valid frame with this content.
    Frame(&'a [u8]),
    /// Not a valid frame; `checked_bytes` were checksummed to detect that.
    Invalid { checked_bytes: usize },
}

/// Returns the four bytes at an offset, or `None` beyond the end.
fn four_bytes(bytes: &[u8], at: usize) -> Option<[u8; 4]> {
    bytes.get(at..at + 4)?.try_into().ok()
}

fn parse(bytes: &[u8], at: usize) -> Parsed<'_> {
    let invalid = Parsed::Invalid { checked_bytes: 0 };
    let Some(head) = bytes.get(at..at + HEADER_BYTES) else {
        return invalid;
    };
    let (Some(length), Some(stored_checksum)) = (
        four_bytes(head, LENGTH_OFFSET),
        four_bytes(head, CHECKSUM_OFFSET),
    ) else {
        return invalid;
    };
    let content_bytes = u32::from_le_bytes(length) as usize;
    if !head.starts_with(&MAGIC) || content_bytes > MAX_CONTENT_BYTES {
        return invalid;
    }
    let start = at + HEADER_BYTES;
    let Some(content) = bytes.get(start..start + content_bytes) else {
        return invalid;
    };
    if checksum(length, content) == u32::from_le_bytes(stored_checksum) {
        Parsed::Frame(content)
    } else {
        Parsed::Invalid {
            checked_bytes: content_bytes,
        }
    }
}

/// An iterator over the pieces of a file, in order.
pub struct Pieces<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Pieces<'a> {
    /// Creates an iterator from an offset on, which should be the start of a frame.
    pub fn new(bytes: &'a [u8], from: usize) -> Self {
        Pieces { bytes, at: from }
    }

    /// Returns the offset of the next valid frame after the current position.
    fn find_next_frame(&self) -> Option<usize> {
        let mut at = self.at + 1;
        let mut checked_bytes = 0;
        while checked_bytes <= MAX_SEARCH_BYTES {
            let rest = self.bytes.get(at..)?;
            at += rest
                .windows(MAGIC.len())
                .position(|window| window == MAGIC)?;
            match parse(self.bytes, at) {
                Parsed::Frame(_) => return Some(at),
                Parsed::Invalid {
                    checked_bytes: more,
                } => checked_bytes += more,
            }
            at += 1;
        }
        None
    }
}

impl<'a> Iterator for Pieces<'a> {
    type Item = Piece<'a>;

    fn next(&mut self) -> Option<Piece<'a>> {
        let at = self.at;
        if at >= self.bytes.len() {
            return None;
        }
        if let Parsed::Frame(content) = parse(self.bytes, at) {
            self.at = at + HEADER_BYTES + content.len();
            return Some(Piece::Whole { at, content });
        }
        if let Some(next) = self.find_next_frame() {
            self.at = next;
            let bytes = next - at;
            return Some(Piece::Damaged { at, bytes });
        }
        self.at = self.bytes.len();
        let bytes = self.bytes.len() - at;
        Some(Piece::Torn { at, bytes })
    }
}

#[cfg(test)]
mod tests;
