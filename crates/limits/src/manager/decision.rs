//! What the overload manager decides.

use crate::retry_budget::RetryAllowance;
use crate::transitions::LevelTransition;

/// The shares of requests to shed where heavy proxies can be told apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedShares {
    /// At proxies that are not heavy.
    pub ordinary: f64,
    /// At heavy proxies.
    pub heavy: f64,
}

/// The largest share of a class that is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassShare {
    /// The class, by its position.
    pub class: usize,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// The limits that apply until the next evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// The least share of requests to shed, besides what the policy sheds because of saturation.
    pub min_shed_share: Option<f64>,
    /// The same by the load of proxies, where some are heavy hitters.
    pub shed_shares: Option<ShedShares>,
    /// Classes of which not all is admitted.
    pub admitted: Vec<ClassShare>,
    /// The retries that each class may have, by position; empty for no change.
    pub retries: Vec<RetryAllowance>,
}

/// The result of one evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluation {
    /// The limits.
    pub decision: Decision,
    /// The change of the service level, if there was one.
    pub transition: Option<LevelTransition>,
}

/// The state of the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatus {
    /// The share of work that the limit admits.
    pub admitted_share: f64,
    /// The estimated capacity of the fleet over the work of new arrivals.
    pub headroom: Option<f64>,
}
