//! Tests over several modules of the program.

mod rules;
