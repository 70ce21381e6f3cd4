//! Whoever is connected to, played step by step by a test: it accepts when told, reads what it is asked, and answers whole,
//! in half, or not at all. As discovery and as a server alike.

use std::net::SocketAddr;

use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::http::listen;
use crate::peer::Peer;
use crate::wait::wait_for;

/// A listener whose every step is the test's.
pub struct ScriptedListener {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
}

impl ScriptedListener {
    /// Listens; nothing is accepted yet.
    pub async fn start() -> Self {
        let (listener, address) = listen().await;
        ScriptedListener { listener, address }
    }

    /// The next connection.
    pub async fn accept(&self) -> Peer {
        let (stream, _) = wait_for("a connection", self.listener.accept())
            .await
            .expect("a connection");
        Peer::over(stream)
    }

    /// The next connection, and the path that is asked for on it.
    pub async fn next_request(&self) -> (Peer, String) {
        let mut peer = self.accept().await;
        let path = peer.request().await.expect("a request");
        (peer, path)
    }

    /// The next connection, which has to ask for this path.
    pub async fn expect_request(&self, path: &str) -> Peer {
        let (peer, asked) = self.next_request().await;
        assert_eq!(asked, path);
        peer
    }
}

/// One entry of the list, in zone `a`.
pub fn entry(name: &str, address: SocketAddr, status: &str, since_ms: i64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "m", "group": 0, "status": status,
           "weight": 1.0, "since_ms": since_ms})
}

/// A delivery of the list: the whole of it, or changes.
pub fn delivery(index: u64, whole: bool, entries: &[Value]) -> String {
    json!({"index": index, "snapshot": whole, "endpoints": entries}).to_string()
}
