//! Protobuf text format with the position of each error: the format of the operators' file, scenarios and experiments.
//!
//! [`parse`] and [`write()`] convert between text and messages of a schema. [`find_field`] and [`find_field_in_block`] give
//! the positions that checks of a parsed message report.

mod codec;
mod error;
mod locate;

pub use codec::{message_descriptor, parse, write};
pub use error::{Position, TextError};
pub use locate::{find_field, find_field_in_block};

#[cfg(test)]
mod tests;
