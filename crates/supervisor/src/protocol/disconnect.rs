//! Why a connection ended: a fixed set of codes, each explained in docs/on-call.md, and the log line that carries one.

use std::fmt;
use std::time::Instant;

use crate::protocol::peer_kind::PeerKind;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The peer closed it between two messages.
    Closed,
    /// The peer closed it within a message.
    Truncated,
    /// It was reset, or broke.
    Reset,
    /// It could not be opened: refused or unreachable.
    Refused,
    /// It could not be opened because this machine lacks a descriptor or port.
    ResourcesExhausted,
    /// Nothing arrived for longer than a live peer is ever idle.
    IdleTimeout,
    /// An answer or a connection did not come in time.
    TimedOut,
    /// It delivered what can't be read.
    Malformed,
    /// A line or an answer was longer than allowed.
    TooLong,
    /// It named a proxy or a zone that the settings do not hold.
    UnknownPeer,
    /// It did not identify itself in time.
    NotIdentified,
    /// It was the oldest connection of its group, and a newer one needed its slot.
    Evicted,
    /// A newer stream of the same proxy replaced it.
    Replaced,
    /// An answer had a status other than success.
    ErrorStatus,
    /// This supervisor shuts down.
    ShuttingDown,
}

impl DisconnectReason {
    /// Every reason, for the test that the on-call page explains each code.
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

    /// Whether this side closed the connection although the peer may be alive.
    pub fn closed_locally(self) -> bool {
        matches!(
            self,
            DisconnectReason::IdleTimeout | DisconnectReason::Malformed | DisconnectReason::TooLong
        )
    }

    /// The code that log lines and the `error` message carry.
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

    /// A disconnect for this reason, with a detail for the log.
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
    /// The reason.
    pub reason: DisconnectReason,
    /// What was wrong; empty if the reason alone is sufficient.
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
    /// Starts the log of a connection that has just been opened.
    pub fn open(peer_kind: PeerKind, peer_name: String) -> Self {
        ConnectionLog {
            peer_kind,
            peer_name,
            opened_at: Instant::now(),
        }
    }

    /// Sets the kind and name with which the peer has identified itself.
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
