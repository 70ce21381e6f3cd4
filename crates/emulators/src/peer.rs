//! Emulated peers of a supervisor: a connection that sends and receives lines, and a proxy that applies orders.

use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::program::Supervisor;
use crate::tables::Tables;
use crate::wait::wait_for;

/// Time after which a connection without data or an end counts as open.
const OPEN_CHECK_TIME: Duration = Duration::from_millis(20);

/// One end of a connection with the supervisor, driven by a test.
pub struct Peer {
    stream: BufReader<TcpStream>,
}

impl Peer {
    /// Connects to this address with default socket options.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = wait_for("a connection", TcpStream::connect(address))
            .await
            .expect("a connection");
        Peer::from_stream(stream)
    }

    /// Wraps an open connection.
    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("an option");
        Peer {
            stream: BufReader::new(stream),
        }
    }

    /// Connects with the smallest receive buffer that the system allows.
    pub async fn connect_with_small_buffer(address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(1).expect("an option");
        Peer::from_stream(
            wait_for("a connection", socket.connect(address))
                .await
                .expect("a connection"),
        )
    }

    /// Writes a line in two parts.
    pub async fn send(&mut self, line: &str) {
        let line = format!("{line}\r\n");
        let (first_half, second_half) = line.split_at(line.len() / 2);
        self.send_bytes(first_half.as_bytes()).await;
        self.send_bytes(second_half.as_bytes()).await;
    }

    /// Writes bytes; returns whether the connection accepted them.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> bool {
        wait_for("room to write", self.stream.get_mut().write_all(bytes))
            .await
            .is_ok()
    }

    /// Reads the next line without its terminator; returns `None` once the connection has closed.
    pub async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.stream.read_line(&mut line).await {
            Ok(1..) => Some(line.trim_end().to_string()),
            Ok(0) | Err(_) => None,
        }
    }

    /// Whether the other side has left the connection open; it must have nothing else to send.
    pub async fn is_open(&mut self) -> bool {
        let mut byte = [0];
        let read = self.stream.read(&mut byte);
        timeout(OPEN_CHECK_TIME, read).await.is_err()
    }

    /// Reads the next HTTP request and returns its path; returns `None` once the connection has closed.
    pub async fn next_request_path(&mut self) -> Option<String> {
        let request_line = wait_for("a request", self.line()).await?;
        while !wait_for("the rest of a request", self.line())
            .await?
            .is_empty()
        {}
        request_line.split(' ').nth(1).map(str::to_string)
    }

    /// Sends a complete HTTP response.
    pub async fn respond(&mut self, status: u16, body: &str) {
        let head = format!(
            "HTTP/1.1 {status} As\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        self.send_bytes(format!("{head}{body}").as_bytes()).await;
    }

    /// Sends the head of the response to a watch.
    pub async fn begin_watch(&mut self) {
        self.send_bytes(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            .await;
    }

    /// Sends a chunk of a watch.
    pub async fn send_chunk(&mut self, text: &str) {
        self.send_bytes(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await;
    }

    /// Sends a line of a watch as one chunk.
    pub async fn send_watch_line(&mut self, line: &str) {
        self.send_chunk(&format!("{line}\n")).await;
    }

    /// Returns all unread data up to the close of the connection, as lossy UTF-8.
    pub async fn read_to_end(&mut self) -> String {
        let mut rest = Vec::new();
        let _ = wait_for(
            "the end of the connection",
            self.stream.read_to_end(&mut rest),
        )
        .await;
        String::from_utf8_lossy(&rest).into_owned()
    }

    /// Resets the connection, which discards data in flight in both directions.
    pub fn reset(self) {
        self.stream.get_ref().set_zero_linger().expect("an option");
    }

    /// Waits until the other side closes the connection.
    pub async fn wait_for_close(&mut self) {
        self.read_to_end().await;
    }
}

/// An emulated proxy, which joins a supervisor, applies its orders and acknowledges them.
pub struct Proxy {
    /// Sent as `id` in each message.
    pub id: u32,
    /// The stream to the supervisor that it joined last.
    pub peer: Peer,
    /// State after the orders applied so far.
    pub tables: Tables,
}

impl Deref for Proxy {
    type Target = Tables;
    fn deref(&self) -> &Tables {
        &self.tables
    }
}

impl DerefMut for Proxy {
    fn deref_mut(&mut self) -> &mut Tables {
        &mut self.tables
    }
}

impl Proxy {
    /// Joins a supervisor, with `new=1` in the greeting if it is new.
    pub async fn join(supervisor: &Supervisor, id: u32, is_new: bool) -> Self {
        let mut peer = Peer::connect(supervisor.address).await;
        peer.send(&format!(
            "hello id={id} site=a rps=20.0 new={}",
            u8::from(is_new)
        ))
        .await;
        Proxy {
            id,
            peer,
            tables: Tables::default(),
        }
    }

    /// Joins a supervisor on a new stream, and keeps its tables.
    pub async fn rejoin(&mut self, supervisor: &Supervisor) {
        self.peer = Peer::connect(supervisor.address).await;
        self.peer
            .send(&format!("hello id={} site=a rps=20.0 new=0", self.id))
            .await;
    }

    /// Applies messages until a condition is met.
    pub async fn apply_until(&mut self, description: &str, is_met: impl Fn(&Proxy) -> bool) {
        while !is_met(self) {
            let line = wait_for(description, self.peer.line())
                .await
                .unwrap_or_else(|| panic!("the stream ended before {description}"));
            self.apply_line(&line).await;
        }
    }

    /// Applies messages for this time; panics if the stream ends.
    pub async fn apply_for(&mut self, length: Duration) {
        let end = tokio::time::Instant::now() + length;
        while let Ok(line) = tokio::time::timeout_at(end, self.peer.line()).await {
            self.apply_line(&line.expect("the stream stays open")).await;
        }
    }

    /// Applies a line and acknowledges it if it has a sequence number.
    async fn apply_line(&mut self, line: &str) {
        if let Some(sequence) = self
            .tables
            .apply(line)
            .expect("an order that conforms to the protocol")
        {
            self.peer
                .send(&format!("ack id={} seq={sequence} ms=12.5", self.id))
                .await;
        }
    }

    /// Sends a usage report with four requests.
    pub async fn report_demand(&mut self) {
        let line = format!(
            "demand id={} lane=lookup count=4 fail=0 over=200.0",
            self.id
        );
        self.peer.send(&line).await;
    }
}
