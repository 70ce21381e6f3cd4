//! The decisions of chutegrade, free of I/O, clocks and wire formats.
//!
//! The crate's root is the whole vocabulary: settings, events in, actions out. [`Policy`] holds every
//! decision; what it remembers is plain data in a module of its own.

mod decisions;
mod interface;
mod state;

pub use decisions::Policy;
pub use interface::*;
