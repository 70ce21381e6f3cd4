//! Accepts connections, waits for peers to identify themselves, and limits unidentified connections, so that enough
//! descriptors are left for proxies, collectors, discovery and health checks.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chutegrade_engine::DeploymentSize;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::peers::collector_stream::{CollectorStreams, MAX_COLLECTORS_PER_ZONE};
use crate::peers::connection::PeerConnection;
use crate::peers::connection_slots::{ConnectionSlot, ConnectionSlots};
use crate::peers::health_check::HealthChecker;
use crate::peers::identification::{identify, IdentifiedPeer};
use crate::peers::proxy_stream::{self, ProxyStreamContext};
use crate::protocol::disconnect::{ConnectionLog, Disconnect, DisconnectReason};
use crate::protocol::encode::encode_error;
use crate::protocol::peer_kind::PeerKind;
use crate::shared::engine_handle::EngineHandle;
use crate::shared::shutdown::Shutdown;

/// Minimum length of the listen backlog: all proxies of a fleet may connect at once, and as many other clients. The system
/// reserves no memory for it.
const MIN_BACKLOG: usize = 1024;
/// Maximum length of the first message, in bytes: `hello` with the longest names has a fraction of it.
const MAX_FIRST_LINE_BYTES: usize = 1024;
/// Maximum length of a line of an identified peer, in bytes: all valid messages are far shorter, and a thousand buffers of
/// this size fit the memory of a supervisor.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Time after which an unidentified connection is closed; `probe` messages do not extend it. The protocol gives a peer 1 s
/// to identify itself, and requires other connections to be rejected within 3 s.
const IDENTIFICATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a rejected connection is still read: unread bytes would make the close a reset, which may discard the
/// `error` message.
const REJECTION_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of bytes that are still read from a rejected connection.
const REJECTION_DRAIN_BYTES: usize = 64 * 1024;
/// Descriptors that are not for peers: those of the runtime, the standard streams, the listener, the discovery watch, the
/// watch that replaces it, and one to accept connections with.
const RESERVED_DESCRIPTORS: usize = 16;
/// Minimum limit on unidentified connections, however few descriptors there are.
const MIN_UNIDENTIFIED_CONNECTIONS: usize = 8;
/// Delay before accepting again when no descriptor is free: long enough not to spin, short enough for a waiting proxy.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens at an address, with a backlog for this number of proxies.
///
/// # Errors
///
/// If the address cannot be listened at.
pub fn bind(address: SocketAddr, proxies: usize) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let backlog = proxies.saturating_mul(2).max(MIN_BACKLOG);
    socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))
}

/// Returns the maximum number of open unidentified connections: half of the descriptors that all proxies and collectors of
/// the settings leave. The other half is for servers, whose number is not in the settings.
fn max_unidentified_connections(descriptors: usize, proxies: usize, zones: usize) -> usize {
    let peers = RESERVED_DESCRIPTORS + proxies + zones * MAX_COLLECTORS_PER_ZONE;
    (descriptors.saturating_sub(peers) / 2).max(MIN_UNIDENTIFIED_CONNECTIONS)
}

/// Serves accepted connections.
pub struct ConnectionHandler {
    engine: EngineHandle,
    shutdown: Shutdown,
    proxy_streams: ProxyStreamContext,
    collector_streams: CollectorStreams,
    unidentified: ConnectionSlots,
}

impl ConnectionHandler {
    /// Creates a handler for a process with at most `descriptors` file descriptors.
    pub fn new(shutdown: Shutdown, proxy_streams: ProxyStreamContext, descriptors: usize) -> Self {
        let engine = proxy_streams.engine.clone();
        let DeploymentSize { proxies, zones } = engine.borrow_mut().deployment_size();
        let max_unidentified = max_unidentified_connections(descriptors, proxies, zones);
        ConnectionHandler {
            collector_streams: CollectorStreams::new(engine.clone()),
            engine,
            shutdown,
            proxy_streams,
            unidentified: ConnectionSlots::new(max_unidentified),
        }
    }

    /// Accepts connections until the supervisor stops. When no descriptor is free, closes half of the idle connections to
    /// servers: health checks reopen them each second, and would otherwise leave no descriptor for a proxy that connects.
    pub async fn accept_connections(
        self: Rc<Self>,
        listener: TcpListener,
        health_checker: Rc<HealthChecker>,
    ) {
        let mut is_failing = false;
        loop {
            match listener.accept().await {
                Ok((stream, remote)) => {
                    is_failing = false;
                    let handler = Rc::clone(&self);
                    self.shutdown
                        .spawn_connection(async move { handler.handle(stream, remote).await });
                }
                Err(error) => {
                    if !is_failing {
                        is_failing = true;
                        tracing::warn!(fault = %error, "cannot accept connections");
                    }
                    health_checker.release_idle_connections();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Handles a connection from its first message to its end.
    async fn handle(&self, stream: TcpStream, remote: SocketAddr) {
        let mut log = ConnectionLog::open(PeerKind::Unidentified, remote.to_string());
        let connection = PeerConnection::new(stream, MAX_FIRST_LINE_BYTES);
        // `biased`, with the shutdown first: a `probe` that arrives during the shutdown must not be answered.
        let Err(disconnect) = tokio::select! {
            biased;
            () = self.shutdown.requested() => Err(DisconnectReason::ShuttingDown.into()),
            end = self.identify_and_serve(connection, &mut log) => end,
        };
        log.close(disconnect);
    }

    async fn identify_and_serve(
        &self,
        mut connection: PeerConnection,
        log: &mut ConnectionLog,
    ) -> Result<Infallible, Disconnect> {
        let slot = self.unidentified.acquire();
        let identified = tokio::select! {
            identified = timeout(IDENTIFICATION_TIMEOUT, identify(&self.engine, &mut connection)) => {
                identified.unwrap_or(Err(DisconnectReason::NotIdentified.into()))
            }
            () = slot.evicted() => Err(DisconnectReason::Evicted.into()),
        };
        match identified {
            Ok(peer) => {
                drop(slot);
                self.serve(peer, connection, log).await
            }
            Err(disconnect) => {
                reject(connection, &disconnect, &slot).await;
                Err(disconnect)
            }
        }
    }

    /// Serves a peer that has identified itself.
    async fn serve(
        &self,
        peer: IdentifiedPeer,
        mut connection: PeerConnection,
        log: &mut ConnectionLog,
    ) -> Result<Infallible, Disconnect> {
        connection.reader.set_max_line_bytes(MAX_LINE_BYTES);
        match peer {
            IdentifiedPeer::Proxy(hello) => {
                log.identify(PeerKind::Proxy, format!("{}@{}", hello.proxy, hello.zone));
                proxy_stream::serve(&self.proxy_streams, connection, hello).await
            }
            IdentifiedPeer::Collector { zone } => {
                log.identify(PeerKind::Collector, zone.clone());
                self.collector_streams.serve(connection, zone).await
            }
        }
    }
}

/// Sends the disconnect reason to an unidentified client, and keeps reading for a short time so that the message arrives.
/// Does not block on a client that does not read.
async fn reject(connection: PeerConnection, disconnect: &Disconnect, slot: &ConnectionSlot<'_>) {
    let is_closed = matches!(
        disconnect.reason,
        DisconnectReason::Closed | DisconnectReason::Truncated | DisconnectReason::Reset
    );
    if is_closed {
        return;
    }
    let PeerConnection { reader, mut writer } = connection;
    let message = encode_error(disconnect.reason.code());
    let _ = writer.try_write(message.as_bytes());
    if disconnect.reason == DisconnectReason::Evicted {
        return;
    }
    let drain = async {
        let _ = writer.shutdown().await;
        reader.discard(REJECTION_DRAIN_BYTES).await;
    };
    tokio::select! {
        _ = timeout(REJECTION_DRAIN_TIMEOUT, drain) => {}
        () = slot.evicted() => {}
    }
}

#[cfg(test)]
mod tests;
