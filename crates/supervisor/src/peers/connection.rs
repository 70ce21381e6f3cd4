//! An accepted connection, split into what is read from it and what is written to it.

use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

use crate::protocol::line_reader::LineReader;

/// An accepted connection.
pub struct PeerConnection {
    /// The lines that the peer sends.
    pub reader: LineReader<OwnedReadHalf>,
    /// What is written to the peer.
    pub writer: OwnedWriteHalf,
}

impl PeerConnection {
    /// Takes over an accepted stream, with lines of at most `max_line_bytes` bytes.
    pub fn new(stream: TcpStream, max_line_bytes: usize) -> Self {
        // Without Nagle's algorithm: an order must not wait until more is written.
        let _ = stream.set_nodelay(true);
        let (read_half, writer) = stream.into_split();
        PeerConnection {
            reader: LineReader::new(read_half, max_line_bytes),
            writer,
        }
    }
}
