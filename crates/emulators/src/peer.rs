//! Whoever connects to a supervisor: anyone who speaks lines, and a proxy that applies its orders.

use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};

use crate::program::Supervisor;
use crate::tables::Tables;
use crate::wait::wait_for;

/// Whoever connects to the supervisor.
pub struct Peer {
    stream: BufReader<TcpStream>,
}

impl Peer {
    /// Connects.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = wait_for("a connection", TcpStream::connect(address))
            .await
            .expect("a connection");
        Peer::over(stream)
    }

    /// The other side of a connection that stands.
    pub fn over(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("an option");
        Peer {
            stream: BufReader::new(stream),
        }
    }

    /// Connects with as little room for what it does not read as the system allows.
    pub async fn connect_with_small_buffer(address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(1).expect("an option");
        Peer::over(
            wait_for("a connection", socket.connect(address))
                .await
                .expect("a connection"),
        )
    }

    /// Writes a line, in two pieces.
    pub async fn send(&mut self, line: &str) {
        let line = format!("{line}\r\n");
        let (first, rest) = line.split_at(line.len() / 2);
        self.send_bytes(first.as_bytes()).await;
        self.send_bytes(rest.as_bytes()).await;
    }

    /// Writes bytes; a connection that the other side has ended takes none.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> bool {
        wait_for("room to write", self.stream.get_mut().write_all(bytes))
            .await
            .is_ok()
    }

    /// The next line, without its end; none once the connection has ended.
    pub async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.stream.read_line(&mut line).await {
            Ok(1..) => Some(line.trim_end().to_string()),
            Ok(0) | Err(_) => None,
        }
    }

    /// The path of the next HTTP request; none once the connection has ended.
    pub async fn request(&mut self) -> Option<String> {
        let first = wait_for("a request", self.line()).await?;
        while !wait_for("the rest of a request", self.line())
            .await?
            .is_empty()
        {}
        first.split(' ').nth(1).map(str::to_string)
    }

    /// Answers a request whole.
    pub async fn respond(&mut self, status: u16, body: &str) {
        let head = format!(
            "HTTP/1.1 {status} As\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        self.send_bytes(format!("{head}{body}").as_bytes()).await;
    }

    /// Begins the answer to a watch.
    pub async fn begin_watch(&mut self) {
        self.send_bytes(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            .await;
    }

    /// Says a piece of a watch.
    pub async fn send_chunk(&mut self, text: &str) {
        self.send_bytes(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await;
    }

    /// Says a line of a watch.
    pub async fn send_watch_line(&mut self, line: &str) {
        self.send_chunk(&format!("{line}\n")).await;
    }

    /// All that came and is still unread, until the connection ends.
    pub async fn read_to_end(&mut self) -> String {
        let mut rest = Vec::new();
        let _ = wait_for(
            "the end of the connection",
            self.stream.read_to_end(&mut rest),
        )
        .await;
        String::from_utf8_lossy(&rest).into_owned()
    }

    /// Resets the connection: what waits in it on either side is gone.
    pub fn reset(self) {
        self.stream.get_ref().set_zero_linger().expect("an option");
    }

    /// Waits until the other side ends the connection.
    pub async fn wait_for_close(&mut self) {
        self.read_to_end().await;
    }
}

/// A proxy: joins, applies what is ordered, and answers marks.
pub struct Proxy {
    /// Its number.
    pub id: u32,
    /// Its stream.
    pub peer: Peer,
    /// What it holds.
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
    /// Joins a supervisor.
    pub async fn join(supervisor: &Supervisor, id: u32, new: bool) -> Self {
        let mut peer = Peer::connect(supervisor.address).await;
        peer.send(&format!(
            "hello id={id} site=a rps=20.0 new={}",
            u8::from(new)
        ))
        .await;
        Proxy {
            id,
            peer,
            tables: Tables::default(),
        }
    }

    /// The same proxy on a new stream, with all that it holds.
    pub async fn rejoin(&mut self, supervisor: &Supervisor) {
        self.peer = Peer::connect(supervisor.address).await;
        self.peer
            .send(&format!("hello id={} site=a rps=20.0 new=0", self.id))
            .await;
    }

    /// Applies messages until something holds.
    pub async fn apply_until(&mut self, what: &str, holds: impl Fn(&Proxy) -> bool) {
        while !holds(self) {
            let line = wait_for(what, self.peer.line())
                .await
                .unwrap_or_else(|| panic!("the stream ended: {what}"));
            self.follow(&line).await;
        }
    }

    /// Applies whatever comes for so long; the stream must not end.
    pub async fn apply_for(&mut self, length: Duration) {
        let end = tokio::time::Instant::now() + length;
        while let Ok(line) = tokio::time::timeout_at(end, self.peer.line()).await {
            self.follow(&line.expect("a stream that goes on")).await;
        }
    }

    /// Applies a message and answers its mark.
    async fn follow(&mut self, line: &str) {
        if let Some(mark) = self
            .tables
            .apply(line)
            .expect("an order that the protocol allows")
        {
            self.peer
                .send(&format!("ack id={} seq={mark} ms=12.5", self.id))
                .await;
        }
    }

    /// Reports usage.
    pub async fn report_demand(&mut self) {
        let line = format!(
            "demand id={} lane=lookup count=4 fail=0 over=200.0",
            self.id
        );
        self.peer.send(&line).await;
    }
}
