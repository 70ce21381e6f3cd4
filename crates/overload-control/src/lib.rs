//! Runs the overload manager of a supervisor on its engine's samples, and reports the decisions to the engine by class
//! name; level transitions become records.
//!
//! The crate has no I/O or clock. The policy decides how the limits take effect.

mod classes;
mod controller;
mod decision;
mod inputs;
mod records;

use chutegrade_engine::Micros;

pub use classes::{overload_class, overload_classes};
pub use controller::OverloadController;
pub use decision::{limits_by_name, retry_order, shed_shares};
pub use inputs::manager_inputs;
pub use records::transition_record;

/// Time between two evaluations: load reports are not more frequent.
pub const EVALUATION_INTERVAL: Micros = Micros(1_000_000);
/// Time after which a decision expires unless it is renewed; one or two late evaluations do not end it.
pub const DECISION_LIFETIME: Micros = Micros(4_000_000);
