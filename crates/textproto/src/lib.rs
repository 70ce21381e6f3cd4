//! Protobuf text format with the place of each fault: what the operators' file, scenarios and experiments are written in.

use std::fmt;

use miette::Diagnostic as _;
use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

/// Where a fault is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
}

/// One thing that is wrong with a text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Wrong {
    /// Where it is, if it has a place.
    pub place: Option<Place>,
    /// What is wrong, and what would be right.
    pub text: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place {
            Some(Place { line, column }) => write!(f, "{line}:{column}: {}", self.text),
            None => write!(f, "{}", self.text),
        }
    }
}

impl Wrong {
    /// A fault without a place.
    pub fn anywhere(text: impl fmt::Display) -> Self {
        Wrong { place: None, text: sentence(&text.to_string()) }
    }
}

/// The description of a message in an encoded set of schemas.
pub fn describe(schema: &[u8], message: &str) -> Result<MessageDescriptor, Wrong> {
    let pool = DescriptorPool::decode(schema).ok();
    pool.and_then(|pool| pool.get_message_by_name(message))
        .ok_or_else(|| Wrong::anywhere(format!("the schema of {message} is missing")))
}

/// Reads a text as a message of a schema.
pub fn parse<M: Message + Default>(schema: &[u8], message: &str, text: &str) -> Result<M, Wrong> {
    let parsed = DynamicMessage::parse_text_format(describe(schema, message)?, text).map_err(|wrong| {
        let offset = wrong.labels().and_then(|mut labels| labels.next()).map(|label| label.offset());
        // What ends too early has no offset: it is at the end.
        let place = Some(place(text, offset.unwrap_or(text.len())));
        Wrong { place, text: sentence(&wrong.to_string()) }
    })?;
    parsed.transcode_to().map_err(Wrong::anywhere)
}

/// Writes a message as text, one field a line.
pub fn write<M: Message>(schema: &[u8], message: &str, of: &M) -> Result<String, Wrong> {
    let mut dynamic = DynamicMessage::new(describe(schema, message)?);
    dynamic.transcode_from(of).map_err(Wrong::anywhere)?;
    let options = prost_reflect::text_format::FormatOptions::new().pretty(true);
    Ok(dynamic.to_text_format_with_options(&options) + "\n")
}

fn place(text: &str, offset: usize) -> Place {
    let before = text.get(..offset.min(text.len())).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |last| last.chars().count()) + 1;
    Place { line, column }
}

/// One line, whatever the library says.
fn sentence(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Where a field is given: its name as a word of its own, outside comments and strings.
pub fn find(text: &str, field: &str) -> Option<Place> {
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let code = line.split(['#', '"', '\'']).next().unwrap_or_default();
        let word = |c: char| c.is_alphanumeric() || c == '_';
        let found = code.match_indices(field).find(|(at, _)| {
            let before = code.get(..*at).and_then(|text| text.chars().next_back());
            let after = code.get(at + field.len()..).and_then(|text| text.chars().next());
            !before.is_some_and(word) && !after.is_some_and(word)
        });
        if let Some((at, _)) = found {
            return Some(place(text, offset + at));
        }
        offset += line.len();
    }
    None
}
