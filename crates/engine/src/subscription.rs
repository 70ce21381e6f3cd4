//! The service discovery requests of the decision module.

/// The service discovery requests of the decision module.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoverySubscription {
    /// Whether to watch the endpoint list for changes.
    pub watch: bool,
    /// Whether to fetch the complete endpoint list once.
    pub fetch: bool,
}
