//! Collectors, which report on a zone's servers and on demand, and receive only replies to `probe`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::peers::connection::PeerConnection;
use crate::peers::connection_slots::ConnectionSlots;
use crate::peers::malformed_counter::MalformedCounter;
use crate::protocol::decode::Message;
use crate::protocol::disconnect::{Disconnect, DisconnectReason};
use crate::protocol::encode::PROBE_REPLY;
use crate::protocol::line_reader::send;
use crate::protocol::malformed::MalformedMessage;
use crate::protocol::peer_kind::PeerKind;
use crate::shared::engine_handle::EngineHandle;

/// Idle timeout of a collector; a running collector that had nothing to report reconnects.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of collector connections of a zone: one is in use, the others are stale connections of earlier ones.
pub const MAX_COLLECTORS_PER_ZONE: usize = 4;

/// The connected collectors by zone. When a zone has too many connections, the oldest is evicted, as it is the most likely
/// to be stale.
pub struct CollectorStreams {
    engine: EngineHandle,
    slots_by_zone: RefCell<HashMap<String, Rc<ConnectionSlots>>>,
}

impl CollectorStreams {
    /// Creates a handler of collectors that report to this engine.
    pub fn new(engine: EngineHandle) -> Self {
        CollectorStreams {
            engine,
            slots_by_zone: RefCell::default(),
        }
    }

    /// Serves a collector of a configured zone after its `agent` message.
    ///
    /// # Errors
    ///
    /// Always; the error is the disconnect reason.
    pub async fn serve(
        &self,
        mut connection: PeerConnection,
        zone: String,
    ) -> Result<Infallible, Disconnect> {
        let slots = self.slots_of(zone);
        let slot = slots.acquire();
        tokio::select! {
            end = self.receive_reports(&mut connection) => end,
            () = slot.evicted() => Err(DisconnectReason::Evicted.into()),
        }
    }

    fn slots_of(&self, zone: String) -> Rc<ConnectionSlots> {
        let mut slots_by_zone = self.slots_by_zone.borrow_mut();
        let slots = slots_by_zone
            .entry(zone)
            .or_insert_with(|| Rc::new(ConnectionSlots::new(MAX_COLLECTORS_PER_ZONE)));
        Rc::clone(slots)
    }

    async fn receive_reports(
        &self,
        connection: &mut PeerConnection,
    ) -> Result<Infallible, Disconnect> {
        let mut malformed = MalformedCounter::new(self.engine.clone());
        loop {
            let Ok(message) = timeout(IDLE_TIMEOUT, connection.reader.next_message()).await else {
                return Err(DisconnectReason::IdleTimeout.into());
            };
            let handled = match message? {
                Message::Report(report) => {
                    self.engine.report(report);
                    Ok(())
                }
                Message::Probe => {
                    send(&mut connection.writer, PROBE_REPLY).await?;
                    Ok(())
                }
                Message::Unknown => Ok(()),
                Message::Malformed(error) => Err(error),
                Message::CollectorHello { .. }
                | Message::ProxyHello(_)
                | Message::Acknowledgement { .. } => {
                    Err(MalformedMessage::Unexpected(PeerKind::Collector))
                }
            };
            malformed.record_result(handled)?;
        }
    }
}
