//! The decisions of chutegrade, without I/O, clocks and wire formats: which servers a proxy sends its requests to, with
//! which weights, and what share of the requests it admits.
//!
//! [`Policy`] is a state machine: the engine passes it [`Event`]s and the current time, and carries out the [`Action`]s
//! that it returns. All other public items are types that these use.

mod decisions;
mod interface;
mod statistics;

pub use decisions::Policy;
pub use interface::*;
