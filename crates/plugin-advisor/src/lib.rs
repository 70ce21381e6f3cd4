//! Evaluates the plug-ins of a supervisor on the state of its engine, and reports their advice to the engine, with servers,
//! classes and zones by name.
//!
//! This crate does no I/O and reads no clock. The policy decides how the advice takes effect.

mod advice;
mod advisor;
mod inputs;

use chutegrade_engine::Micros;

pub use advice::advice_by_name;
pub use advisor::PluginAdvisor;
pub use inputs::{inputs_from_engine, inputs_from_records};

/// Time between two evaluations. Load reports do not arrive more often.
pub const EVALUATION_INTERVAL: Micros = Micros(1_000_000);
/// Time after which advice expires unless it is renewed.
pub const ADVICE_LIFETIME: Micros = Micros(10_000_000);
