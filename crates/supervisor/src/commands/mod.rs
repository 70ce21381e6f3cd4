//! The command line, and one module for each command except `serve`.
//!
//! `main` parses [`arguments`] and calls one command, which writes its result to the given output. On failure it
//! returns a [`CommandError`], from which `main` prints one message and sets the exit code.

pub mod arguments;
pub mod check;
pub mod console;
mod error;
mod files;
pub mod lab;
pub mod levels;
pub mod plugin;
pub mod records;
pub mod report;
mod time_window;

pub use error::CommandError;
