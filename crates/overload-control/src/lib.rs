//! Runs the overload manager of a supervisor on what its engine measures, and hands its decisions to the engine as a report
//! that names classes; level transitions become records.
//!
//! There is no I/O and no clock here. The policy decides how the limits take effect.

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

/// Time between two evaluations: load reports arrive no more often.
pub const EVALUATION_INTERVAL: Micros = Micros(1_000_000);
/// How long a decision holds unless it is renewed, so that one or two late evaluations do not end it.
pub const DECISION_LIFETIME: Micros = Micros(4_000_000);
