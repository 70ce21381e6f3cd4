//! Health checks that the decisions order.

use chutegrade_policy::{Micros, ServerId};

/// A health check that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    /// The server to check.
    pub(crate) server: ServerId,
    /// Address on which the server listens.
    pub address: String,
    /// Start of the server's process, as known when the check was sent.
    pub(crate) started_at: Option<Micros>,
}
