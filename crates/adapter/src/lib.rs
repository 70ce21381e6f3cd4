//! The simulator's wire in front of the decision module. Nothing here decides anything.
//!
//! [`codec`] translates lines to events and actions to lines, [`host`] runs one decision module for each instance, and
//! [`remote_policy`] runs the decision module of another build as a child process, for comparison.

pub mod codec;
pub mod host;
mod overload;
pub mod remote_policy;
