//! External inputs that constrain decisions, with names instead of ids: advice of plug-ins and limits of the overload
//! manager.

use chutegrade_policy::{Micros, Retry, ShedShares};

/// A factor on the weight of one server in the tables of a zone's proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedWeightFactor {
    /// Name of the server.
    pub server: String,
    /// Name of the proxies' zone.
    pub zone: String,
    /// Name of a class with a separate table; `None` for all classes.
    pub class: Option<String>,
    /// Multiplier of the server's weight, from 0 to 1.
    pub factor: f64,
}

/// A server to exclude from all tables until a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedExclusion {
    /// Name of the server.
    pub server: String,
    /// When the exclusion ends.
    pub until: Micros,
}

/// The maximum share of a class's requests to admit.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedClassShare {
    /// Name of the class.
    pub class: String,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// The retry policy of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedClassRetry {
    /// Name of the class.
    pub class: String,
    /// When proxies may retry its requests.
    pub retry: Retry,
}

/// Advice of the plug-ins; entries with unknown names are ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PluginAdvice {
    /// Factors on the weights of servers.
    pub factors: Vec<NamedWeightFactor>,
    /// Upper bounds of the admitted share, by class.
    pub caps: Vec<NamedClassShare>,
    /// Names of classes whose requests must not be retried.
    pub no_retry: Vec<String>,
    /// Servers to exclude from all tables.
    pub excluded: Vec<NamedExclusion>,
    /// Names of classes that get a separate table.
    pub separate_tables: Vec<String>,
    /// When everything but `separate_tables` expires, unless newer advice replaces it.
    pub expires_at: Micros,
}

/// Limits set by the overload manager; entries with unknown names are ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverloadLimits {
    /// Minimum share of requests to shed, regardless of the saturation.
    pub min_shed_share: Option<f64>,
    /// Shares to shed at ordinary and at heavy proxies, where heavy ones have separate tables. They replace the share
    /// derived from the saturation and `min_shed_share`.
    pub shed_shares: Option<ShedShares>,
    /// Upper bounds of the admitted share, by class.
    pub admitted: Vec<NamedClassShare>,
    /// Retry policies, by class.
    pub retries: Vec<NamedClassRetry>,
    /// When the limits expire, unless newer ones replace them.
    pub expires_at: Micros,
}
