//! Errors in a text, with their positions.

use std::fmt;

/// A position in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The number of the line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
}

impl Position {
    /// Returns the position of a byte offset. An offset beyond the end or within a character is treated as the end.
    pub(crate) fn of_offset(text: &str, offset: usize) -> Self {
        let before = text.get(..offset.min(text.len())).unwrap_or(text);
        let last_line = before.rsplit('\n').next().unwrap_or_default();
        Position {
            line: before.matches('\n').count() + 1,
            column: last_line.chars().count() + 1,
        }
    }
}

/// An error in a text or its schema.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct TextError {
    /// The position in the text; `None` if the error has none.
    pub position: Option<Position>,
    /// The message, in a single line.
    pub message: String,
}

impl TextError {
    /// Creates an error without a position.
    pub fn without_position(message: impl fmt::Display) -> Self {
        TextError {
            position: None,
            message: single_line(&message.to_string()),
        }
    }

    /// Creates an error at a position.
    pub(crate) fn at(position: Position, message: impl fmt::Display) -> Self {
        TextError {
            position: Some(position),
            message: single_line(&message.to_string()),
        }
    }
}

impl fmt::Display for TextError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = &self.message;
        match self.position {
            Some(Position { line, column }) => write!(formatter, "{line}:{column}: {message}"),
            None => write!(formatter, "{message}"),
        }
    }
}

/// Replaces line breaks and runs of blanks in a message by single blanks.
fn single_line(message: &str) -> String {
    let words: Vec<&str> = message.split_whitespace().collect();
    words.join(" ")
}
