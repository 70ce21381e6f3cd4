//! Handles the first messages of an accepted connection, up to the one that identifies the peer.

use crate::peers::connection::PeerConnection;
use crate::protocol::decode::{Message, ProxyHello};
use crate::protocol::disconnect::{Disconnect, DisconnectReason};
use crate::protocol::encode::PROBE_REPLY;
use crate::protocol::line_reader::send;
use crate::shared::engine_handle::EngineHandle;

/// A peer that has identified itself and is in the settings.
pub enum IdentifiedPeer {
    /// A proxy, which opens a stream.
    Proxy(ProxyHello),
    /// A collector of a zone.
    Collector {
        /// Name of the collector's zone.
        zone: String,
    },
}

/// Waits for the message that identifies the peer, and replies to any `probe` before it. Such a reply means that the engine
/// is running, since it ticks before the first connection is accepted.
///
/// # Errors
///
/// If the connection ends, or the peer sends another message or is not in the settings.
pub async fn identify(
    engine: &EngineHandle,
    connection: &mut PeerConnection,
) -> Result<IdentifiedPeer, Disconnect> {
    loop {
        match connection.reader.next_message().await? {
            Message::Probe => send(&mut connection.writer, PROBE_REPLY).await?,
            Message::ProxyHello(hello) => {
                validate_peer(engine, &hello.zone, Some(hello.proxy))?;
                return Ok(IdentifiedPeer::Proxy(hello));
            }
            Message::CollectorHello { zone } => {
                validate_peer(engine, &zone, None)?;
                return Ok(IdentifiedPeer::Collector { zone });
            }
            Message::Malformed(malformed) => {
                return Err(DisconnectReason::Malformed.with_detail(malformed));
            }
            Message::Report(_) | Message::Acknowledgement { .. } | Message::Unknown => {
                return Err(DisconnectReason::Malformed
                    .with_detail("first message does not identify the peer"));
            }
        }
    }
}

fn validate_peer(engine: &EngineHandle, zone: &str, proxy: Option<u32>) -> Result<(), Disconnect> {
    engine
        .borrow_mut()
        .validate_peer(zone, proxy)
        .map_err(|unknown| DisconnectReason::UnknownPeer.with_detail(unknown))
}
