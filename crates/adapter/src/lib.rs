//! Connects the decision module to the simulator's wire protocol. It makes no decisions.
//!
//! [`codec`] converts lines to events and actions to lines, [`host`] runs one decision module for each instance, and
//! [`remote_policy`] runs the decision module of another build as a child process, for comparison.

pub mod codec;
pub mod host;
mod overload;
pub mod remote_policy;
