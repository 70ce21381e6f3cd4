//! The commands other than serving: their arguments, and one module for each.

pub mod arguments;
pub mod lab;
pub mod levels;
pub mod tools;
