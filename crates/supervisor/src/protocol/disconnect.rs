//! Disconnect reasons, whose codes docs/on-call.md explains, and the log line that is written when a connection ends.

use std::fmt;
use std::time::Instant;

use crate::protocol::peer_kind::PeerKind;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The peer closed the connection between two messages.
    Closed,
    /// The peer closed the connection within a message.
    Truncated,
    /// The connection was reset or failed with another I/O error.
    Reset,
    /// The connection could not be opened: the peer refused it or was unreachable.
    Refused,
    /// The connection could not be opened because this machine lacked a resource, such as a descriptor or a port.
    ResourcesExhausted,
    /// An expected message did not arrive within the idle timeout.
    IdleTimeout,
    /// Opening the connection or receiving a response timed out.
    TimedOut,
    /// The peer sent data that cannot be decoded.
    Malformed,
    /// A line or a response was longer than allowed.
    TooLong,
    /// The peer identified itself as a proxy or with a zone that is not in the settings.
    UnknownPeer,
    /// The peer did not identify itself in time.
    NotIdentified,
    /// The connection was the oldest of its group, and a newer one needed its slot.
    Evicted,
    /// A newer stream of the same proxy replaced this one.
    Replaced,
    /// A response had a status other than success.
    ErrorStatus,
    /// This supervisor is shutting down.
    ShuttingDown,
}

impl DisconnectReason {
    /// All reasons, for the test that the on-call page explains each code.
    #[cfg(test)]
    pub const ALL: [DisconnectReason; 15] = [
        DisconnectReason::Closed,
        DisconnectReason::Truncated,
        DisconnectReason::Reset,
        DisconnectReason::Refused,
        DisconnectReason::ResourcesExhausted,
        DisconnectReason::IdleTimeout,
        DisconnectReason::TimedOut,
        DisconnectReason::Malformed,
        DisconnectReason::TooLong,
        DisconnectReason::UnknownPeer,
        DisconnectReason::NotIdentified,
        DisconnectReason::Evicted,
        DisconnectReason::Replaced,
        DisconnectReason::ErrorStatus,
        DisconnectReason::ShuttingDown,
    ];

    /// Returns whether the supervisor closed the connection because a message was malformed, too long or overdue; the peer
    /// may still be running.
    pub fn closed_locally(self) -> bool {
        matches!(
            self,
            DisconnectReason::IdleTimeout | DisconnectReason::Malformed | DisconnectReason::TooLong
        )
    }

    /// Returns the code for log lines, records and the `error` message.
    pub fn code(self) -> &'static str {
        match self {
            DisconnectReason::Closed => "closed",
            DisconnectReason::Truncated => "cut-short",
            DisconnectReason::Reset => "reset",
            DisconnectReason::Refused => "refused",
            DisconnectReason::ResourcesExhausted => "no-room",
            DisconnectReason::IdleTimeout => "silent",
            DisconnectReason::TimedOut => "timed-out",
            DisconnectReason::Malformed => "unreadable",
            DisconnectReason::TooLong => "too-long",
            DisconnectReason::UnknownPeer => "unknown",
            DisconnectReason::NotIdentified => "unnamed",
            DisconnectReason::Evicted => "crowded",
            DisconnectReason::Replaced => "replaced",
            DisconnectReason::ErrorStatus => "status",
            DisconnectReason::ShuttingDown => "stopping",
        }
    }

    /// Returns a disconnect for this reason, with a detail for the log.
    pub fn with_detail(self, detail: impl ToString) -> Disconnect {
        Disconnect {
            reason: self,
            detail: detail.to_string(),
        }
    }
}

impl fmt::Display for DisconnectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// How a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disconnect {
    /// The reason, whose code is logged and recorded.
    pub reason: DisconnectReason,
    /// Further details for the log; empty if the reason is sufficient.
    pub detail: String,
}

impl From<DisconnectReason> for Disconnect {
    fn from(reason: DisconnectReason) -> Self {
        Disconnect {
            reason,
            detail: String::new(),
        }
    }
}

/// The fields of the log line that is written when a connection ends.
#[derive(Debug)]
pub struct ConnectionLog {
    peer_kind: PeerKind,
    peer_name: String,
    opened_at: Instant,
}

impl ConnectionLog {
    /// Starts the log entry of a connection that was just opened.
    pub fn open(peer_kind: PeerKind, peer_name: String) -> Self {
        ConnectionLog {
            peer_kind,
            peer_name,
            opened_at: Instant::now(),
        }
    }

    /// Sets the kind and name of a peer that has identified itself.
    pub fn identify(&mut self, peer_kind: PeerKind, peer_name: String) {
        self.peer_kind = peer_kind;
        self.peer_name = peer_name;
    }

    /// Logs the end of the connection.
    pub fn close(self, disconnect: impl Into<Disconnect>) {
        let Disconnect { reason, detail } = disconnect.into();
        let ms = self.opened_at.elapsed().as_millis() as u64;
        tracing::info!(peer = self.peer_kind.name(), name = %self.peer_name, ms, %reason, detail, "connection ended");
    }
}

#[cfg(test)]
mod tests;
