//! Runs the plug-ins of a supervisor on what its engine knows, and hands their advice to the engine as a report that names
//! servers, classes and zones.
//!
//! There is no I/O and no clock here. The policy decides how the advice takes effect.

mod advice;
mod advisor;
mod inputs;

use chutegrade_engine::Micros;

pub use advice::advice_by_name;
pub use advisor::PluginAdvisor;
pub use inputs::{inputs_from_engine, inputs_from_records};

/// Time between two evaluations: load reports arrive no more often.
pub const EVALUATION_INTERVAL: Micros = Micros(1_000_000);
/// How long advice holds unless it is renewed.
pub const ADVICE_LIFETIME: Micros = Micros(10_000_000);
