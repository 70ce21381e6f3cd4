//! Lines out of a byte stream, in a buffer of bounded size.

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::protocol::disconnect::{End, Ending};
use crate::protocol::messages::{self, Message};

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
        Lines {
            source,
            buffer: BytesMut::new(),
            searched: 0,
            most,
        }
    }

    /// Lines of at most so many bytes from now on.
    pub fn allow(&mut self, most: usize) {
        self.most = most;
    }

    /// The next line, decoded. Nothing is lost when the call is dropped while it waits.
    pub async fn message(&mut self) -> Result<Message, End> {
        let line = self.next().await?;
        messages::message(&line).map_err(|fault| Ending::Unreadable.because(fault))
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
mod tests;
