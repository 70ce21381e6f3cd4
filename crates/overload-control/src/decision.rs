//! Converts decisions of the overload manager, which has classes by position, to reports with their names.

use chutegrade_engine::{Engine, Micros, NamedClassRetry, NamedClassShare, OverloadLimits, Retry};
use chutegrade_limits::manager::{ClassShare, Decision};
use chutegrade_limits::retry_budget::RetryAllowance;
use chutegrade_policy as policy;

use crate::DECISION_LIFETIME;

/// Converts a decision to limits by class name. Omits classes that the engine does not have.
pub fn limits_by_name(decision: &Decision, engine: &Engine, now: Micros) -> OverloadLimits {
    let admitted = decision.admitted.iter();
    let retries = decision.retries.iter().enumerate();
    OverloadLimits {
        min_shed_share: decision.min_shed_share,
        shed_shares: decision.shed_shares.map(shed_shares),
        admitted: admitted
            .filter_map(|share| named_share(engine, share))
            .collect(),
        retries: retries
            .filter_map(|(class, allowance)| named_retry(engine, class, *allowance))
            .collect(),
        expires_at: now + DECISION_LIFETIME,
    }
}

fn named_share(engine: &Engine, share: &ClassShare) -> Option<NamedClassShare> {
    Some(NamedClassShare {
        class: class_name(engine, share.class)?,
        share: share.share,
    })
}

fn named_retry(
    engine: &Engine,
    class: usize,
    allowance: RetryAllowance,
) -> Option<NamedClassRetry> {
    Some(NamedClassRetry {
        class: class_name(engine, class)?,
        retry: retry_order(allowance),
    })
}

fn class_name(engine: &Engine, position: usize) -> Option<String> {
    let class = engine.classes().get(position)?;
    Some(class.name.clone())
}

/// Converts a retry allowance to the retry policy of a class.
pub fn retry_order(allowance: RetryAllowance) -> Retry {
    match allowance {
        RetryAllowance::Never => Retry::Never,
        RetryAllowance::IfNotExecuted => Retry::IfNotExecuted,
        RetryAllowance::Once => Retry::Once,
    }
}

/// Converts shares of requests to shed to the policy's type.
pub fn shed_shares(shares: chutegrade_limits::ShedShares) -> policy::ShedShares {
    policy::ShedShares {
        ordinary: shares.ordinary,
        heavy: shares.heavy,
    }
}
