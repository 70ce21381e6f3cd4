//! Why a connection ended: a closed list of codes, each explained in docs/on-call.md.

use std::fmt;
use std::time::Instant;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The peer closed it between two messages.
    Closed,
    /// The peer closed it within a message.
    CutShort,
    /// It was reset, or broke.
    Reset,
    /// It could not be opened: refused or unreachable.
    Refused,
    /// It could not be opened for want of a descriptor or port on this machine.
    NoRoom,
    /// Nothing came for longer than a live peer would be quiet.
    Silent,
    /// An answer or a connection did not come in time.
    TimedOut,
    /// It brought what can't be read.
    Unreadable,
    /// A line or an answer was longer than allowed.
    TooLong,
    /// It named a proxy or a zone that the settings do not hold.
    Unknown,
    /// It did not say who it is in time.
    Unnamed,
    /// It had not said who it is, and its place was needed.
    Crowded,
    /// A newer stream of the same proxy took its place.
    Replaced,
    /// An answer had a status other than success.
    Status,
    /// This supervisor stops.
    Stopping,
}

impl Ending {
    #[cfg(test)]
    /// Every code, for the test that the on-call page explains them all.
    pub const ALL: [Ending; 15] = [
        Ending::Closed,
        Ending::CutShort,
        Ending::Reset,
        Ending::Refused,
        Ending::NoRoom,
        Ending::Silent,
        Ending::TimedOut,
        Ending::Unreadable,
        Ending::TooLong,
        Ending::Unknown,
        Ending::Unnamed,
        Ending::Crowded,
        Ending::Replaced,
        Ending::Status,
        Ending::Stopping,
    ];

    /// Whether this side ended the connection, though the peer may live.
    pub fn is_ours(self) -> bool {
        matches!(self, Ending::Silent | Ending::Unreadable | Ending::TooLong)
    }

    /// The code that log lines carry.
    pub fn code(self) -> &'static str {
        match self {
            Ending::Closed => "closed",
            Ending::CutShort => "cut-short",
            Ending::Reset => "reset",
            Ending::Refused => "refused",
            Ending::NoRoom => "no-room",
            Ending::Silent => "silent",
            Ending::TimedOut => "timed-out",
            Ending::Unreadable => "unreadable",
            Ending::TooLong => "too-long",
            Ending::Unknown => "unknown",
            Ending::Unnamed => "unnamed",
            Ending::Crowded => "crowded",
            Ending::Replaced => "replaced",
            Ending::Status => "status",
            Ending::Stopping => "stopping",
        }
    }
}

impl fmt::Display for Ending {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// How a connection came to its end: the reason and, where there is more to say, what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// The reason.
    pub reason: Ending,
    /// What was wrong; empty where the reason says it all.
    pub detail: String,
}

impl From<Ending> for End {
    fn from(reason: Ending) -> Self {
        End {
            reason,
            detail: String::new(),
        }
    }
}

impl Ending {
    /// The end for this reason, with what was wrong.
    pub fn because(self, detail: impl ToString) -> End {
        End {
            reason: self,
            detail: detail.to_string(),
        }
    }
}

/// What a connection's last log line tells of it.
#[derive(Debug)]
pub struct Life {
    peer: &'static str,
    name: String,
    since: Instant,
}

impl Life {
    /// A connection to a peer of this kind, not known by name yet.
    pub fn begin(peer: &'static str, name: String) -> Self {
        Life {
            peer,
            name,
            since: Instant::now(),
        }
    }

    /// The peer said who it is.
    pub fn named(&mut self, peer: &'static str, name: String) {
        (self.peer, self.name) = (peer, name);
    }

    /// Leaves the connection's one log line.
    pub fn end(self, end: impl Into<End>) {
        let End { reason, detail } = end.into();
        let ms = self.since.elapsed().as_millis() as u64;
        tracing::info!(peer = self.peer, name = %self.name, ms, %reason, detail, "connection ended");
    }
}

#[cfg(test)]
mod tests;
