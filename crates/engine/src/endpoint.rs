//! Entries of the endpoint list, with names instead of ids.

use chutegrade_policy::{Lifecycle, Micros};

/// An entry of the endpoint list, with names instead of ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamedEndpoint {
    /// Name of the server.
    pub name: String,
    /// Listen address; if empty, the last known address remains in use.
    pub address: String,
    /// Name of the server's zone, which the settings need not contain.
    pub zone: String,
    /// Name of the server's machine kind, which the settings need not contain.
    pub machine_kind: String,
    /// Number of the server's cell.
    pub cell: u32,
    /// Whether the server is in service, draining or removed.
    pub lifecycle: Lifecycle,
    /// Weight that the endpoint list gives the server.
    pub weight: f64,
    /// Latest start of the server's process; `None` if the list does not contain it.
    pub started_at: Option<Micros>,
}
