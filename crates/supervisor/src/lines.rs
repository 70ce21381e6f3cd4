//! Lines out of a byte stream, in a buffer of bounded size.

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::ending::{End, Ending};
use crate::wire::{self, Message};

/// Bytes taken from a connection at a time: a few dozen reports, and little for each idle connection.
const READ_AT_ONCE: usize = 4096;

/// Writes bytes whole.
pub async fn send(to: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> Result<(), End> {
    to.write_all(bytes).await.map_err(|_| Ending::Reset.into())
}

/// Reads lines that end in CRLF or LF.
pub struct Lines<R> {
    source: R,
    buffer: BytesMut,
    searched: usize,
    most: usize,
}

impl<R: AsyncRead + Unpin> Lines<R> {
    /// Lines of at most so many bytes.
    pub fn new(source: R, most: usize) -> Self {
        Lines { source, buffer: BytesMut::new(), searched: 0, most }
    }

    /// Lines of at most so many bytes from now on.
    pub fn allow(&mut self, most: usize) {
        self.most = most;
    }

    /// The next line, decoded. Nothing is lost when the call is dropped while it waits.
    pub async fn message(&mut self) -> Result<Message, End> {
        let line = self.next().await?;
        wire::message(&line).map_err(|fault| Ending::Unreadable.because(fault))
    }

    /// Reads and forgets at most so many bytes, until the source ends.
    pub async fn discard(mut self, most: usize) {
        let mut left = most;
        while left > 0 {
            self.buffer.clear();
            self.buffer.reserve(READ_AT_ONCE);
            match self.source.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(read) => left = left.saturating_sub(read),
            }
        }
    }

    /// The next line, without its end. Nothing is lost when the call is dropped while it waits.
    pub async fn next(&mut self) -> Result<String, Ending> {
        loop {
            let fresh = self.buffer.get(self.searched..).unwrap_or_default();
            if let Some(at) = fresh.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(self.searched + at);
                self.buffer.advance(1);
                self.searched = 0;
                if line.len() > self.most {
                    return Err(Ending::TooLong);
                }
                let line = line.strip_suffix(b"\r").unwrap_or(&line);
                return String::from_utf8(line.to_vec()).map_err(|_| Ending::Unreadable);
            }
            self.searched = self.buffer.len();
            if self.searched > self.most {
                return Err(Ending::TooLong);
            }
            self.buffer.reserve(READ_AT_ONCE);
            match self.source.read_buf(&mut self.buffer).await {
                Ok(0) if self.buffer.is_empty() => return Err(Ending::Closed),
                Ok(0) => return Err(Ending::CutShort),
                Ok(_) => {}
                Err(_) => return Err(Ending::Reset),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// Everything that comes of bytes that arrive in these pieces.
    fn read(pieces: Vec<Vec<u8>>, most: usize) -> (Vec<String>, Ending) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(async {
            let (mut write, read) = tokio::io::duplex(16);
            let writer = async move {
                for piece in pieces {
                    if write.write_all(&piece).await.is_err() {
                        break;
                    }
                }
            };
            let reader = async {
                let mut lines = Lines::new(read, most);
                let mut seen = Vec::new();
                loop {
                    match lines.next().await {
                        Ok(line) => seen.push(line),
                        Err(ending) => break (seen, ending),
                    }
                }
            };
            tokio::join!(writer, reader).1
        })
    }

    #[test]
    fn lines_end_in_either_way_and_have_a_limit() {
        let (lines, ending) = read(vec![b"one\r\ntwo\n\r\nthr".to_vec(), b"ee\r\n".to_vec()], 100);
        assert_eq!(
            (lines, ending),
            (vec!["one".into(), "two".into(), "".into(), "three".into()], Ending::Closed)
        );
        assert_eq!(read(vec![b"ok\nhalf a li".to_vec()], 100), (vec!["ok".into()], Ending::CutShort));
        assert_eq!(read(vec![vec![b'x'; 101]], 100), (vec![], Ending::TooLong));
        assert_eq!(read(vec![vec![b'x'; 5000]], 100), (vec![], Ending::TooLong));
        assert_eq!(read(vec![b"ok\n\xff\xfe\n".to_vec()], 100), (vec!["ok".into()], Ending::Unreadable));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// However a text is cut into pieces on the way, the same lines come out.
        #[test]
        fn pieces_do_not_matter(lines in proptest::collection::vec("[a-z =]{0,40}", 1..8), cut in 1..9usize) {
            let text = lines.iter().map(|line| format!("{line}\r\n")).collect::<String>();
            let pieces = text.as_bytes().chunks(cut).map(<[u8]>::to_vec).collect();
            prop_assert_eq!(read(pieces, 100), (lines, Ending::Closed));
        }
    }
}
