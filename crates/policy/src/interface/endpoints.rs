//! The endpoint list of servers.

use super::{Micros, ServerId, ZoneId};

/// The lifecycle of a server, as the endpoint list gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// In service: it takes requests.
    #[default]
    InService,
    /// Draining: it completes its requests and takes no new ones.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind, an index without meaning.
    pub machine_kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its lifecycle.
    pub lifecycle: Lifecycle,
    /// Its listed weight.
    pub weight: f64,
    /// Its latest start, if that is recent.
    pub started_at: Option<Micros>,
}

/// How an update of the endpoint list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// The changed entries only.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as last cached, possibly stale.
    CachedSnapshot,
    /// Discovery is unavailable: a fetch or the subscription failed, and the list stays as it was.
    Unavailable,
}
