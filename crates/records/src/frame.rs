//! Frames: how one record is stored in a file. A magic number, the length, a checksum of length and content, the content.
//!
//! A reader skips what is no valid frame and continues with the next one that is, so that damage costs only the frames that it
//! hits.

/// Begins each frame: no byte of it occurs twice, and it is no valid text.
pub const MAGIC: [u8; 4] = [0xC4, 0x75, 0x7E, 0x9D];
/// Length of the magic number, the length and the checksum, in bytes.
pub const HEADER_BYTES: usize = 12;
/// Longest content of a frame, in bytes: a fleet of 10,000 servers in one record.
pub const MAX_CONTENT_BYTES: usize = 1 << 20;
/// Offset of the length in a frame.
const LENGTH_OFFSET: usize = 4;
/// Offset of the checksum in a frame.
const CHECKSUM_OFFSET: usize = 8;
/// Bytes that may be checksummed in the search for the next valid frame; the rest of the file counts as damaged beyond it. A
/// file of nothing but magic numbers would take hours otherwise.
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

/// A piece of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    /// A valid frame.
    Whole {
        /// The offset of the frame.
        at: usize,
        /// The content.
        content: &'a [u8],
    },
    /// Bytes that belong to no valid frame, with a valid one after them.
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

/// What is at an offset.
enum Parsed<'a> {
    /// A valid frame with this content.
    Frame(&'a [u8]),
    /// No valid frame, which took a checksum over some bytes to see.
    Invalid { checked_bytes: usize },
}

/// Four bytes at an offset.
fn word(bytes: &[u8], at: usize) -> Option<[u8; 4]> {
    bytes.get(at..at + 4)?.try_into().ok()
}

fn parse(bytes: &[u8], at: usize) -> Parsed<'_> {
    let invalid = Parsed::Invalid { checked_bytes: 0 };
    let Some(head) = bytes.get(at..at + HEADER_BYTES) else {
        return invalid;
    };
    let (Some(length), Some(stored_checksum)) =
        (word(head, LENGTH_OFFSET), word(head, CHECKSUM_OFFSET))
    else {
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
    /// The pieces from an offset on, which should be that of a frame.
    pub fn new(bytes: &'a [u8], from: usize) -> Self {
        Pieces { bytes, at: from }
    }

    /// The offset of the next valid frame after the current position.
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
