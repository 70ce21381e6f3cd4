//! Errors of the operators' file.

use std::fmt;
use std::path::PathBuf;

use chutegrade_textproto::Position;

/// One error of the file. Displays as `path:line:column: message`, or `path: message` without a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file.
    pub path: PathBuf,
    /// Position of the error, if it has one.
    pub position: Option<Position>,
    /// What is wrong, and what would be valid.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.path.display())?;
        if let Some(Position { line, column }) = self.position {
            write!(f, ":{line}:{column}")?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for ConfigError {}
