//! Message framing: splits a byte stream into lines with a bounded buffer, and writes messages.

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::protocol::decode::{self, Message};
use crate::protocol::disconnect::{Disconnect, DisconnectReason};

/// Bytes to read from a connection at a time: enough for a few dozen reports, and little memory for an idle connection.
const READ_BYTES: usize = 4096;

/// Writes all bytes.
///
/// # Errors
///
/// If the connection fails.
pub async fn send(writer: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> Result<(), Disconnect> {
    writer
        .write_all(bytes)
        .await
        .map_err(|_| DisconnectReason::Reset.into())
}

/// Reads lines that end in CRLF or LF.
pub struct LineReader<R> {
    source: R,
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that contain no line end.
    searched: usize,
    max_line_bytes: usize,
}

impl<R: AsyncRead + Unpin> LineReader<R> {
    /// Creates a reader of lines of at most `max_line_bytes` bytes.
    pub fn new(source: R, max_line_bytes: usize) -> Self {
        LineReader {
            source,
            buffer: BytesMut::new(),
            searched: 0,
            max_line_bytes,
        }
    }

    /// Changes the maximum length of subsequent lines, in bytes.
    pub fn set_max_line_bytes(&mut self, max_line_bytes: usize) {
        self.max_line_bytes = max_line_bytes;
    }

    /// Returns the next line, decoded. Cancel safe: dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// If the connection ends, or the line is too long, not UTF-8 or not a message.
    pub async fn next_message(&mut self) -> Result<Message, Disconnect> {
        let line = self.next_line().await?;
        decode::decode_message(&line)
            .map_err(|malformed| DisconnectReason::Malformed.with_detail(malformed))
    }

    /// Reads and discards bytes until the source ends or `max_bytes` have been read.
    pub async fn discard(mut self, max_bytes: usize) {
        let mut remaining = max_bytes;
        while remaining > 0 {
            self.buffer.clear();
            self.buffer.reserve(READ_BYTES);
            match self.source.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(read) => remaining = remaining.saturating_sub(read),
            }
        }
    }

    /// Returns the next line, without its line end. Cancel safe: dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// If the connection ends, or the line is too long or not UTF-8.
    pub async fn next_line(&mut self) -> Result<String, DisconnectReason> {
        loop {
            if let Some(line) = self.take_buffered_line()? {
                return Ok(line);
            }
            self.read_more().await?;
        }
    }

    /// Takes the first line from the buffer, if it is complete.
    fn take_buffered_line(&mut self) -> Result<Option<String>, DisconnectReason> {
        let unsearched = self.buffer.get(self.searched..).unwrap_or_default();
        let Some(offset) = unsearched.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buffer.len();
            if self.searched > self.max_line_bytes {
                return Err(DisconnectReason::TooLong);
            }
            return Ok(None);
        };
        let line = self.buffer.split_to(self.searched + offset);
        self.buffer.advance(1);
        self.searched = 0;
        if line.len() > self.max_line_bytes {
            return Err(DisconnectReason::TooLong);
        }
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match String::from_utf8(line.to_vec()) {
            Ok(line) => Ok(Some(line)),
            Err(_) => Err(DisconnectReason::Malformed),
        }
    }

    async fn read_more(&mut self) -> Result<(), DisconnectReason> {
        self.buffer.reserve(READ_BYTES);
        match self.source.read_buf(&mut self.buffer).await {
            Ok(0) if self.buffer.is_empty() => Err(DisconnectReason::Closed),
            Ok(0) => Err(DisconnectReason::Truncated),
            Ok(_) => Ok(()),
            Err(_) => Err(DisconnectReason::Reset),
        }
    }
}

#[cfg(test)]
mod tests;
