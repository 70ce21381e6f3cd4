//! The kinds of peers that a connection can lead to.

use std::fmt;

/// The kind of the peer at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// An accepted connection that has not identified itself.
    Unidentified,
    /// A proxy.
    Proxy,
    /// A collector.
    Collector,
    /// A discovery agent.
    Discovery,
    /// A server that is checked.
    Server,
}

impl PeerKind {
    /// The name in log lines and error texts.
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
