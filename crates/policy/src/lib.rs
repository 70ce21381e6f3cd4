//! The decisions of chutegrade, free of I/O, clocks and wire formats: which servers a proxy sends its requests to, with
//! which weights, and what share of the requests it admits.
//!
//! [`Policy`] is a state machine: the engine hands it [`Event`]s with the time at which they happened, and carries out
//! the [`Action`]s that it returns. All other public items are the vocabulary of those two.

mod decisions;
mod interface;
mod statistics;

pub use decisions::Policy;
pub use interface::*;
