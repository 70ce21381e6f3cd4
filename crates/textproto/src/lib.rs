//! Protobuf text format with the position of each error. Operator configurations, scenarios and experiments use it.
//!
//! [`parse`] and [`write()`] convert between text and messages of a schema. [`find_field`] and [`find_field_in_block`]
//! return positions for the errors of checks after parsing.

mod codec;
mod error;
mod locate;

pub use codec::{message_descriptor, parse, write};
pub use error::{Position, TextError};
pub use locate::{find_field, find_field_in_block};

#[cfg(test)]
mod tests;
