//! The error of a text, and its position.

use std::fmt;

/// A position in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

impl Position {
    /// The position of a byte offset. An offset behind the end, or within a character, counts as the end.
    pub(crate) fn of_offset(text: &str, offset: usize) -> Self {
        let before = text.get(..offset.min(text.len())).unwrap_or(text);
        let last_line = before.rsplit('\n').next().unwrap_or_default();
        Position {
            line: before.matches('\n').count() + 1,
            column: last_line.chars().count() + 1,
        }
    }
}

/// One error of a text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct TextError {
    /// Where it is, if it has a position.
    pub position: Option<Position>,
    /// What is wrong, and what would be right; a single line.
    pub message: String,
}

impl TextError {
    /// An error that has no position.
    pub fn without_position(message: impl fmt::Display) -> Self {
        TextError {
            position: None,
            message: single_line(&message.to_string()),
        }
    }

    /// An error at a position.
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

/// Joins the lines of a library's message, and its runs of blanks, by single blanks.
fn single_line(message: &str) -> String {
    let words: Vec<&str> = message.split_whitespace().collect();
    words.join(" ")
}
