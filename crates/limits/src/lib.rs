//! Overload control: named service levels with declared conditions, an adaptive concurrency limit, retry budgets, and
//! the detection of heavy hitters among the proxies.
//!
//! The crate has no I/O, clock or randomness: its output is a function of its input. Times are `i64` microseconds, in
//! names that end in `_us`. The crate only proposes limits; the policy decides how they combine with other rules.

pub mod class;
pub mod concurrency_limiter;
pub mod condition;
pub mod config_error;
pub mod default_levels;
pub mod heavy_hitters;
pub mod level_checks;
pub mod level_config;
mod level_history;
pub mod level_transition;
pub mod manager;
pub mod repeat_estimator;
pub mod retry_budget;
pub mod service_levels;
pub mod signals;
pub mod transitions;

/// Types generated from `proto/limits.proto`.
#[allow(missing_docs, clippy::all, clippy::doc_markdown)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/chutegrade.limits.v1.rs"));
}

/// Encoded descriptors of `proto/limits.proto`, for parsers of messages that contain limits.
pub const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/limits.bin"));

pub use class::{lowest_priority_first, Class, Idempotency};
pub use config_error::{ConfigError, ConfigProblem};
pub use manager::{ClassShare, Evaluation, Inputs, OverloadConfig, OverloadManager, ShedShares};
pub use service_levels::{ServiceLevel, ServiceLevels};
pub use signals::{Observation, Signal, SignalWindow};
pub use transitions::{LevelTransition, LevelTransitions, TransitionReason};
