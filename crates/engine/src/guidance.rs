//! Guidance for the decisions from outside the decision module, by names: advice of plug-ins and limits of the
//! overload manager.

use chutegrade_policy::{Micros, Retry, ShedShares};

/// A factor on the weight of one server in the tables of a zone's proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedWeightFactor {
    /// Name of the server.
    pub server: String,
    /// Zone of the proxies.
    pub zone: String,
    /// The class, if it has a separate table; `None` stands for all classes.
    pub class: Option<String>,
    /// Share of the server's weight that remains, from 0 to 1.
    pub factor: f64,
}

/// A server to leave out of all tables for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedExclusion {
    /// Name of the server.
    pub server: String,
    /// When the exclusion ends.
    pub until: Micros,
}

/// The largest share of a class that is admitted.
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
    /// Factors on weights.
    pub factors: Vec<NamedWeightFactor>,
    /// Upper bounds of admission, by class.
    pub caps: Vec<NamedClassShare>,
    /// Classes without retries.
    pub no_retry: Vec<String>,
    /// Servers to leave out of all tables.
    pub excluded: Vec<NamedExclusion>,
    /// Classes with a separate table.
    pub separate_tables: Vec<String>,
    /// When the advice expires unless it is renewed.
    pub expires_at: Micros,
}

/// Decision of the overload manager; entries with unknown names are ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverloadLimits {
    /// The least share of requests to shed, whatever the saturation.
    pub min_shed_share: Option<f64>,
    /// The same for ordinary proxies and for heavy hitters, where these have separate tables.
    pub shed_shares: Option<ShedShares>,
    /// Upper bounds of admission, by class.
    pub admitted: Vec<NamedClassShare>,
    /// Retry policies, by class.
    pub retries: Vec<NamedClassRetry>,
    /// When the limits expire unless they are renewed.
    pub expires_at: Micros,
}
