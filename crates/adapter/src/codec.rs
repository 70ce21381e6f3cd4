//! The codec of the simulator's wire protocol: decodes messages and encodes actions, and the reverse for the decision
//! module of another build.
//!
//! A line consists of a tag and `key=value` fields, separated by tabs. Unknown fields and messages with unknown tags
//! are skipped; an action with an unknown tag and a malformed line are errors. Only this module maps the keywords of
//! the protocol to the terms of the decision module.

mod decode_action;
mod decode_event;
mod encode_action;
mod encode_event;
mod error;
mod fields;
mod message;
mod vocabulary;

pub(crate) use decode_action::decode_action;
pub use encode_action::encode_action;
pub(crate) use encode_event::{encode_event, encode_time};
pub use error::CodecError;
pub use message::{decode_message, Message};

#[cfg(test)]
mod tests;
