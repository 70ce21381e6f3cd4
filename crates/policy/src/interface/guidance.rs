//! External guidance for the decisions: advice of plug-ins and limits of the overload manager.

use super::{ClassId, ClassSet, Micros, Retry, ServerId, ZoneId};

/// A factor on the weight of one server in the tables of a zone's proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightFactor {
    /// The server whose weight is scaled.
    pub server: ServerId,
    /// The zone of the proxies.
    pub zone: ZoneId,
    /// The class, if it has separate tables; absent for all classes.
    pub class: Option<ClassId>,
    /// Share of its weight that the server keeps, from 0 to 1; NaN counts as 1.
    pub factor: f64,
}

/// A temporary exclusion of a server from all tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerExclusion {
    /// The excluded server.
    pub server: ServerId,
    /// When the exclusion ends.
    pub until: Micros,
}

/// The largest share of a class that is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassShare {
    /// The limited class.
    pub class: ClassId,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// The retry policy of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassRetry {
    /// The class that the policy applies to.
    pub class: ClassId,
    /// When proxies may retry its requests.
    pub retry: Retry,
}

/// The shares of requests to shed where heavy proxies have separate tables.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedShares {
    /// At proxies that use a single shard.
    pub ordinary: f64,
    /// At proxies that use all shards, since their demand is too large for one.
    pub heavy: f64,
}

/// The advice of plug-ins. It can only lower or redirect traffic; it does not affect what it leaves out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Factors on the weights of servers.
    pub factors: Vec<WeightFactor>,
    /// Upper bounds on the admitted share of classes.
    pub caps: Vec<ClassShare>,
    /// Classes whose requests must not be retried.
    pub no_retry: ClassSet,
    /// Servers to exclude.
    pub excluded: Vec<ServerExclusion>,
    /// Classes that get separate tables.
    pub separate_tables: ClassSet,
    /// When everything but `separate_tables` ends, unless the advice is renewed.
    pub expires_at: Micros,
}

/// The limits of the overload manager. They do not affect what they leave out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Lower bound on the share of requests to shed at any saturation.
    pub min_shed_share: Option<f64>,
    /// Shares to shed at ordinary and at heavy proxies, where heavy ones have separate tables. They replace the share
    /// derived from the saturation and `min_shed_share`.
    pub shed_shares: Option<ShedShares>,
    /// Upper bounds on the admitted share of classes.
    pub admitted: Vec<ClassShare>,
    /// Retry policies of classes.
    pub retries: Vec<ClassRetry>,
    /// When the limits end, unless they are renewed.
    pub expires_at: Micros,
}
