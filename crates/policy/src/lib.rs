//! The decisions of chutegrade, free of I/O, clocks and wire formats.
//!
//! [`interface`] is the whole vocabulary: settings, events in, actions out. [`policy`] holds every decision.

pub mod interface;
pub mod policy;
