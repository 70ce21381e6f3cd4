//! The commands beside serving, one module for each, with the command line that selects them.
//!
//! `main` parses [`arguments`] and calls one command; each writes its result to the output that it is given and returns a
//! [`CommandError`], which `main` turns into one message and the exit code.

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
