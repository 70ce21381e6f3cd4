//! An accepted connection, split into a reader and a writer.

use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

use crate::protocol::line_reader::LineReader;

/// An accepted connection.
pub struct PeerConnection {
    /// Reads lines from the peer.
    pub reader: LineReader<OwnedReadHalf>,
    /// Writes bytes to the peer.
    pub writer: OwnedWriteHalf,
}

impl PeerConnection {
    /// Creates the connection of an accepted stream, with lines of at most `max_line_bytes` bytes.
    pub fn new(stream: TcpStream, max_line_bytes: usize) -> Self {
        // Disables Nagle's algorithm, which would delay orders.
        let _ = stream.set_nodelay(true);
        let (read_half, writer) = stream.into_split();
        PeerConnection {
            reader: LineReader::new(read_half, max_line_bytes),
            writer,
        }
    }
}
