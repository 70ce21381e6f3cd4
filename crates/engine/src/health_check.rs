//! Health checks that the decision module requests.

use chutegrade_policy::{Micros, ServerId};

/// A health check that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    /// The server to check.
    pub(crate) server: ServerId,
    /// Address on which the server listens.
    pub address: String,
    /// Start time of the server's process according to the endpoint list when the check was taken.
    pub(crate) started_at: Option<Micros>,
}
