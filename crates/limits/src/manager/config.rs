//! The checked configuration of overload control.

use crate::concurrency_limiter::{ConcurrencyLimitConfig, DEFAULT_TARGET_SATURATION};
use crate::config_error::{ConfigError, ConfigProblem};
use crate::pb::{self, adaptive::Rule};
use crate::retry_budget::{RetryBudgetConfig, DEFAULT_RETRY_RATIO};
use crate::service_levels::ServiceLevels;
use crate::Class;

/// Default multiple of the mean load above which a proxy is a heavy hitter.
const DEFAULT_HEAVY_HITTER_FACTOR: f64 = 4.0;

/// The accepted range of a value, both ends included.
struct Bounds {
    min: f64,
    max: f64,
}

const TARGET_SATURATION_BOUNDS: Bounds = Bounds {
    min: 0.05,
    max: 0.9,
};
const RETRY_RATIO_BOUNDS: Bounds = Bounds { min: 0.0, max: 2.0 };
const HEAVY_HITTER_FACTOR_BOUNDS: Bounds = Bounds {
    min: 1.5,
    max: 1000.0,
};

/// Configuration of overload control; each part is off where it is `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverloadConfig {
    /// Service levels with their conditions.
    pub service_levels: Option<ServiceLevels>,
    /// Rule and target of the adaptive concurrency limit.
    pub concurrency_limit: Option<ConcurrencyLimitConfig>,
    /// Retries that are permitted per response.
    pub retry_budget: Option<RetryBudgetConfig>,
    /// Multiple of the mean load above which a proxy is a heavy hitter, whose load is shed first.
    pub heavy_hitter_factor: Option<f64>,
}

impl OverloadConfig {
    /// Reads and checks the operators' configuration. Without classes, skips the checks that depend on them.
    ///
    /// # Errors
    ///
    /// All errors.
    pub fn read(
        declared: &pb::Limits,
        classes: Option<&[Class]>,
    ) -> Result<OverloadConfig, Vec<ConfigError>> {
        let mut errors = Vec::new();
        let adaptive = declared.adaptive.as_ref();
        let retry_budget = declared.repeats.as_ref();
        let fairness = declared.fairness.as_ref();
        let config = OverloadConfig {
            concurrency_limit: adaptive.map(|adaptive| read_limit(adaptive, &mut errors)),
            retry_budget: retry_budget.map(|budget| read_retry_budget(budget, &mut errors)),
            heavy_hitter_factor: fairness.map(|fairness| read_factor(fairness, &mut errors)),
            service_levels: read_levels(declared, classes, &mut errors),
        };
        if errors.is_empty() {
            Ok(config)
        } else {
            Err(errors)
        }
    }
}

fn read_limit(declared: &pb::Adaptive, errors: &mut Vec<ConfigError>) -> ConcurrencyLimitConfig {
    let rule = match declared.rule() {
        Rule::Unspecified => Rule::Capacity,
        rule => rule,
    };
    let target_saturation = declared.target.unwrap_or(DEFAULT_TARGET_SATURATION);
    errors.extend(check(
        "target",
        target_saturation,
        &TARGET_SATURATION_BOUNDS,
    ));
    ConcurrencyLimitConfig {
        rule,
        target_saturation,
    }
}

fn read_retry_budget(declared: &pb::Repeats, errors: &mut Vec<ConfigError>) -> RetryBudgetConfig {
    let ratio = declared.ratio.unwrap_or(DEFAULT_RETRY_RATIO);
    errors.extend(check("ratio", ratio, &RETRY_RATIO_BOUNDS));
    RetryBudgetConfig {
        ratio,
        retry_with_headroom: declared.once_while_room.unwrap_or(false),
    }
}

fn read_factor(declared: &pb::Fairness, errors: &mut Vec<ConfigError>) -> f64 {
    let factor = declared.times_mean.unwrap_or(DEFAULT_HEAVY_HITTER_FACTOR);
    errors.extend(check("times_mean", factor, &HEAVY_HITTER_FACTOR_BOUNDS));
    factor
}

fn read_levels(
    declared: &pb::Limits,
    classes: Option<&[Class]>,
    errors: &mut Vec<ConfigError>,
) -> Option<ServiceLevels> {
    match ServiceLevels::read(declared.ladder.as_ref()?, classes) {
        Ok(levels) => Some(levels),
        Err(level_errors) => {
            errors.extend(level_errors);
            None
        }
    }
}

fn check(field: &'static str, value: f64, bounds: &Bounds) -> Option<ConfigError> {
    if (bounds.min..=bounds.max).contains(&value) {
        return None;
    }
    Some(ConfigError {
        level: None,
        field,
        problem: ConfigProblem::OutOfRange {
            field,
            value,
            min: bounds.min,
            max: bounds.max,
        },
    })
}
