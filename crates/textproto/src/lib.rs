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
        Wrong {
            place: None,
            text: sentence(&text.to_string()),
        }
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
    let parsed =
        DynamicMessage::parse_text_format(describe(schema, message)?, text).map_err(|wrong| {
            let offset = wrong
                .labels()
                .and_then(|mut labels| labels.next())
                .map(|label| label.offset());
            // What ends too early has no offset: it is at the end.
            let place = Some(place(text, offset.unwrap_or(text.len())));
            Wrong {
                place,
                text: sentence(&wrong.to_string()),
            }
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
    let column = before
        .rsplit('\n')
        .next()
        .map_or(0, |last| last.chars().count())
        + 1;
    Place { line, column }
}

/// One line, whatever the library says.
fn sentence(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Where a field is given: its name as a word of its own, outside comments and strings.
pub fn find(text: &str, field: &str) -> Option<Place> {
    offset(text, field).map(|at| place(text, at))
}

/// A text of the same length with blanks in the place of comments and strings.
fn bare(text: &str) -> String {
    let mut within: Option<char> = None;
    let mut escaped = false;
    let mut bare = String::with_capacity(text.len());
    for c in text.chars() {
        let code = within.is_none() && !matches!(c, '#' | '"' | '\'');
        match within {
            None if matches!(c, '#' | '"' | '\'') => within = Some(c),
            Some('#') if c == '\n' => within = None,
            Some(quote) if quote != '#' && !escaped && (c == quote || c == '\n') => within = None,
            _ => {}
        }
        escaped = within.is_some() && c == '\\' && !escaped;
        if code || c == '\n' {
            bare.push(c);
        } else {
            bare.extend(std::iter::repeat_n(' ', c.len_utf8()));
        }
    }
    bare
}

fn offset(text: &str, field: &str) -> Option<usize> {
    let code = bare(text);
    let word = |c: char| c.is_alphanumeric() || c == '_';
    let own = |(at, _): &(usize, &str)| {
        let before = code.get(..*at).and_then(|text| text.chars().next_back());
        let after = code
            .get(at + field.len()..)
            .and_then(|text| text.chars().next());
        !before.is_some_and(word) && !after.is_some_and(word)
    };
    code.match_indices(field).find(own).map(|(at, _)| at)
}

/// Where a field is given within the part of a text that begins at the given occurrence of another, counted from 0, and ends
/// at the next; the part's own begin where it is not given there.
pub fn find_within(text: &str, part: &str, number: usize, field: &str) -> Option<Place> {
    let code = bare(text);
    let mut begins = Vec::new();
    let mut from = 0;
    while let Some(at) = code.get(from..).and_then(|rest| offset(rest, part)) {
        begins.push(from + at);
        from += at + part.len();
    }
    let begin = *begins.get(number)?;
    let own = code.get(begin..begins.get(number + 1).copied().unwrap_or(code.len()))?;
    let at = if field == part {
        0
    } else {
        offset(own, field).unwrap_or(0)
    };
    Some(place(text, begin + at))
}

#[cfg(test)]
mod tests;
