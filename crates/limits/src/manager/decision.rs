//! Output of the overload manager.

use crate::retry_budget::RetryAllowance;
use crate::transitions::LevelTransition;

/// Shares of requests to shed, separately for heavy and other proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedShares {
    /// At proxies that are not heavy.
    pub ordinary: f64,
    /// At heavy proxies.
    pub heavy: f64,
}

/// Maximum admitted share of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassShare {
    /// Position of the class.
    pub class: usize,
    /// Admitted share, from 0 to 1.
    pub share: f64,
}

/// The limits that apply until the next evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// Minimum share of requests to shed, besides what the policy sheds because of saturation; `None` without a limit.
    pub min_shed_share: Option<f64>,
    /// The same share divided between heavy and other proxies; `None` if that is disabled, or if no proxy or every one is
    /// heavy.
    pub shed_shares: Option<ShedShares>,
    /// Classes of which the service level admits only a share.
    pub admitted: Vec<ClassShare>,
    /// Permitted retries of each class, by position; empty without a retry budget, which leaves
    /// retries unchanged.
    pub retries: Vec<RetryAllowance>,
}

/// The result of one evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluation {
    /// Limits that apply until the next evaluation.
    pub decision: Decision,
    /// Change of the service level, if there was one.
    pub transition: Option<LevelTransition>,
}

/// The state of the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatus {
    /// Share of work that the limit admits.
    pub admitted_share: f64,
    /// Ratio of the estimated capacity of the fleet to the work of new arrivals, if known.
    pub headroom: Option<f64>,
}
