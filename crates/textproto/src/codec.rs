//! Converts between text and messages of a schema.

use miette::Diagnostic as _;
use prost::Message;
use prost_reflect::text_format::{FormatOptions, ParseError};
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

use crate::error::{Position, TextError};

/// Returns the descriptor of a message in an encoded file descriptor set.
///
/// # Errors
///
/// If the set cannot be decoded or does not contain the message.
pub fn message_descriptor(schema: &[u8], message: &str) -> Result<MessageDescriptor, TextError> {
    DescriptorPool::decode(schema)
        .ok()
        .and_then(|pool| pool.get_message_by_name(message))
        .ok_or_else(|| TextError::without_position(format!("the schema of {message} is missing")))
}

/// Parses a text as the named message of a schema.
///
/// # Errors
///
/// If the schema lacks the message, or the text is not a message of it; in the latter case the error has a position.
pub fn parse<M: Message + Default>(
    schema: &[u8],
    message: &str,
    text: &str,
) -> Result<M, TextError> {
    let descriptor = message_descriptor(schema, message)?;
    let parsed = DynamicMessage::parse_text_format(descriptor, text)
        .map_err(|error| TextError::at(error_position(&error, text), error))?;
    parsed.transcode_to().map_err(TextError::without_position)
}

/// Returns the position of the first label of an error. If the text ends too early, the error has no label and its
/// position is the end of the text.
fn error_position(error: &ParseError, text: &str) -> Position {
    let first_label = error.labels().and_then(|mut labels| labels.next());
    let offset = first_label.map_or(text.len(), |label| label.offset());
    Position::of_offset(text, offset)
}

/// Formats a message as text, with one field per line.
///
/// # Errors
///
/// If the schema lacks the message, or the value does not have its type.
pub fn write<M: Message>(schema: &[u8], message: &str, value: &M) -> Result<String, TextError> {
    let mut dynamic = DynamicMessage::new(message_descriptor(schema, message)?);
    dynamic
        .transcode_from(value)
        .map_err(TextError::without_position)?;
    let options = FormatOptions::new().pretty(true);
    Ok(dynamic.to_text_format_with_options(&options) + "\n")
}
