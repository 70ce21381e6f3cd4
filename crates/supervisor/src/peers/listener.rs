//! The supervisor's own address: accepts connections, lets peers identify themselves, and keeps unidentified connections
//! from taking the descriptors that proxies, collectors, discovery and health checks need.

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

/// Minimum length of the listen backlog: all proxies of a fleet may dial at once, and as many others. The system reserves
/// nothing for it.
const MIN_BACKLOG: usize = 1024;
/// Longest first message, in bytes: `hello` with the longest names has a fraction of it.
const MAX_FIRST_LINE_BYTES: usize = 1024;
/// Longest line of an identified peer, in bytes: no message has a form that comes near it, and a thousand such buffers fit
/// the memory that a supervisor has.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// How long a connection may stay unidentified after it was accepted; probes do not extend the time. The protocol gives a
/// peer 1 s, and has any other connection rejected within 3 s.
const IDENTIFICATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a rejected connection is still read: what stays unread turns a close into a reset, and the `error` message is
/// lost with it.
const REJECTION_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// How much of a rejected connection is still read, in bytes.
const REJECTION_DRAIN_BYTES: usize = 64 * 1024;
/// Descriptors that are not for peers: the runtime's own, standard streams, the listener, the watch of discovery, the watch
/// that replaces it, and one to accept with.
const RESERVED_DESCRIPTORS: usize = 16;
/// Minimum number of unidentified connections that may be open, however few descriptors there are.
const MIN_UNIDENTIFIED_CONNECTIONS: usize = 8;
/// Pause before accepting again when no descriptor is left: long enough not to spin, short enough for a waiting proxy.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds the address, with a backlog for this number of proxies.
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

/// How many unidentified connections may be open: half of what remains once each proxy and collector that the settings
/// hold has its descriptor; the other half is for servers, whose number the settings lack.
fn max_unidentified_connections(descriptors: usize, proxies: usize, zones: usize) -> usize {
    let peers = RESERVED_DESCRIPTORS + proxies + zones * MAX_COLLECTORS_PER_ZONE;
    (descriptors.saturating_sub(peers) / 2).max(MIN_UNIDENTIFIED_CONNECTIONS)
}

/// Serves the connections that are accepted.
pub struct ConnectionHandler {
    engine: EngineHandle,
    shutdown: Shutdown,
    proxy_streams: ProxyStreamContext,
    collector_streams: CollectorStreams,
    unidentified: ConnectionSlots,
}

impl ConnectionHandler {
    /// A handler for a process with a limit of `descriptors`.
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

    /// Accepts connections until the supervisor stops. When no descriptor is left, half of the idle connections to servers
    /// are closed: health checks reopen them each second, and without that a proxy that dials would never find a descriptor.
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

    /// One connection, from its first message to its end.
    async fn handle(&self, stream: TcpStream, remote: SocketAddr) {
        let mut log = ConnectionLog::open(PeerKind::Unidentified, remote.to_string());
        let connection = PeerConnection::new(stream, MAX_FIRST_LINE_BYTES);
        // `biased`, with the shutdown first: a `probe` that arrives once the supervisor stops must not be answered.
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

/// Sends an unidentified connection the reason for which it is closed, and reads on for a moment so that the message
/// arrives. Never blocks on a client that does not read.
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
