//! The kinds of peers.

use std::fmt;

/// The kind of the peer at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// A peer that connected and has not identified itself.
    Unidentified,
    /// A proxy, which opened a stream.
    Proxy,
    /// A collector of a zone's reports.
    Collector,
    /// A discovery agent.
    Discovery,
    /// A server that is health checked.
    Server,
}

impl PeerKind {
    /// Returns the name for log lines and error messages.
    pub fn name(self) -> &'static str {
        match self {
            PeerKind::Unidentified => "stranger",
            PeerKind::Proxy => "proxy",
            PeerKind::Collector => "collector",
            PeerKind::Discovery => "discovery",
            PeerKind::Server => "server",
        }
    }
}

impl fmt::Display for PeerKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
