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
    /// Absent from the endpoint list, or listed as removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Identifies the server.
    pub server: ServerId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// Index of its machine kind, an opaque number.
    pub machine_kind: u32,
    /// Number of its cell, the scope of [`DeduplicationScope::Cell`](super::DeduplicationScope::Cell).
    pub cell: u32,
    /// Whether it is in service, draining or removed.
    pub lifecycle: Lifecycle,
    /// Its listed weight, with the meaning of [`Settings::listed_weight`](super::Settings::listed_weight).
    pub weight: f64,
    /// Time of its latest start; absent if that is not recent.
    pub started_at: Option<Micros>,
}

/// The kind of an update of the endpoint list.
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
    /// Discovery is expected to answer and has not yet; it has no entries. The answer is a delta or a snapshot, an empty
    /// delta if nothing has changed.
    Pending,
}
