//! Frames: how one record lies in a file. A mark, the length, a checksum of both length and content, the content. What is
//! no whole frame is stepped over to the next one that is, so that damage costs what it hits and nothing else.

/// Begins each frame: no byte of it occurs twice, and two of them are no text.
pub const MARK: [u8; 4] = [0xC4, 0x75, 0x7E, 0x9D];
/// Mark, length and checksum, in bytes.
pub const HEAD: usize = 12;
/// Longest content of a frame, in bytes: a fleet of 10,000 servers in one record.
pub const CONTENT_MOST: usize = 1 << 20;
/// Bytes that may be checksummed in the search behind one piece of damage. Danger: a file of nothing but marks would take
/// hours; the search then gives up, and the rest of the file counts as damaged.
const SEARCH_MOST: usize = 64 << 20;

fn checksum(length: [u8; 4], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(content);
    hasher.finalize()
}

/// Appends a frame; a content that is too long is not taken.
pub fn put(out: &mut Vec<u8>, content: &[u8]) -> bool {
    if content.len() > CONTENT_MOST {
        return false;
    }
    let length = (content.len() as u32).to_le_bytes();
    out.extend_from_slice(&MARK);
    out.extend_from_slice(&length);
    out.extend_from_slice(&checksum(length, content).to_le_bytes());
    out.extend_from_slice(content);
    true
}

/// A part of a file, in the order in which they lie.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    /// A whole frame.
    Whole {
        /** Where it begins. */
        at: usize,
        /** Its content. */
        content: &'a [u8],
    },
    /// Bytes that belong to no whole frame, with whole ones behind them.
    Damaged {
        /** Where they begin. */
        at: usize,
        /** How many. */
        bytes: usize,
    },
    /// Bytes at the end of the file that belong to no whole frame.
    Torn {
        /** Where they begin. */
        at: usize,
        /** How many. */
        bytes: usize,
    },
}

enum Look<'a> {
    Whole(&'a [u8]),
    Broken { checked: usize },
}

fn look(bytes: &[u8], at: usize) -> Look<'_> {
    let broken = Look::Broken { checked: 0 };
    let Some(head) = bytes
        .get(at..at + HEAD)
        .filter(|head| head.starts_with(&MARK))
    else {
        return broken;
    };
    let word = |from: usize| {
        head.get(from..from + 4)
            .and_then(|word| <[u8; 4]>::try_from(word).ok())
    };
    let (Some(length), Some(sum)) = (word(4), word(8)) else {
        return broken;
    };
    let count = u32::from_le_bytes(length) as usize;
    let content = bytes.get(at + HEAD..(at + HEAD).saturating_add(count));
    match content.filter(|_| count <= CONTENT_MOST) {
        Some(content) if checksum(length, content) == u32::from_le_bytes(sum) => {
            Look::Whole(content)
        }
        Some(_) => Look::Broken { checked: count },
        None => broken,
    }
}

/// The pieces of a file's bytes.
pub struct Pieces<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Pieces<'a> {
    /// The pieces from a place on, which should be the begin of a frame.
    pub fn new(bytes: &'a [u8], from: usize) -> Self {
        Pieces { bytes, at: from }
    }

    /// Where the next whole frame begins.
    fn found(&self) -> Option<usize> {
        let (mut at, mut checked) = (self.at + 1, 0);
        while checked <= SEARCH_MOST {
            let rest = self.bytes.get(at..)?;
            at += rest.windows(MARK.len()).position(|window| window == MARK)?;
            match look(self.bytes, at) {
                Look::Whole(_) => return Some(at),
                Look::Broken { checked: more } => checked += more,
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
        if let Look::Whole(content) = look(self.bytes, at) {
            self.at = at + HEAD + content.len();
            return Some(Piece::Whole { at, content });
        }
        let found = self.found();
        self.at = found.unwrap_or(self.bytes.len());
        let bytes = self.at - at;
        Some(if found.is_some() {
            Piece::Damaged { at, bytes }
        } else {
            Piece::Torn { at, bytes }
        })
    }
}

#[cfg(test)]
mod tests;
