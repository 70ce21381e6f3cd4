//! Listener that a test controls step by step, as discovery agent or as server: it accepts a connection, reads a
//! request, and responds completely, partially or not at all.

use std::net::SocketAddr;

use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::http::listen;
use crate::peer::Peer;
use crate::wait::wait_for;

/// A listener that does nothing by itself.
pub struct ScriptedListener {
    listener: TcpListener,
    /// A loopback address with an ephemeral port.
    pub address: SocketAddr,
}

impl ScriptedListener {
    /// Starts to listen, without accepting connections.
    pub async fn start() -> Self {
        let (listener, address) = listen().await;
        ScriptedListener { listener, address }
    }

    /// Accepts the next connection.
    pub async fn accept(&self) -> Peer {
        let (stream, _) = wait_for("a connection", self.listener.accept())
            .await
            .expect("a connection");
        Peer::from_stream(stream)
    }

    /// Accepts the next connection, and reads the path of its first request.
    pub async fn next_request(&self) -> (Peer, String) {
        let mut peer = self.accept().await;
        let path = peer.next_request_path().await.expect("a request");
        (peer, path)
    }

    /// Accepts connections until the peer of one still waits for its response, and asserts the path of that request. It has
    /// given up on the earlier ones.
    pub async fn expect_open_request(&self, path: &str) -> Peer {
        loop {
            let (mut peer, requested_path) = self.next_request().await;
            if peer.is_open().await {
                assert_eq!(requested_path, path);
                return peer;
            }
        }
    }

    /// Accepts the next connection, and asserts the path of its first request.
    pub async fn expect_request(&self, path: &str) -> Peer {
        let (peer, requested_path) = self.next_request().await;
        assert_eq!(requested_path, path);
        peer
    }
}

/// Returns an entry of the server list in zone `a`, with its last start in Unix milliseconds.
pub fn entry(name: &str, address: SocketAddr, status: &str, since_ms: i64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "m", "group": 0, "status": status,
           "weight": 1.0, "since_ms": since_ms})
}

/// Returns a delivery of discovery: the complete list, or only changed entries.
pub fn delivery(index: u64, is_complete: bool, entries: &[Value]) -> String {
    json!({"index": index, "snapshot": is_complete, "endpoints": entries}).to_string()
}
