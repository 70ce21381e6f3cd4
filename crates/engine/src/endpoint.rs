//! Entries of the endpoint list, by names.

use chutegrade_policy::{Lifecycle, Micros};

/// One entry of the endpoint list, by names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamedEndpoint {
    /// Name of the server.
    pub name: String,
    /// Address on which it listens; an empty one leaves the last known address in force.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub machine_kind: String,
    /// Number of its cell.
    pub cell: u32,
    /// Whether it serves, drains or was removed.
    pub lifecycle: Lifecycle,
    /// Its weight in the endpoint list.
    pub weight: f64,
    /// Its latest start, if the list names one.
    pub started_at: Option<Micros>,
}
