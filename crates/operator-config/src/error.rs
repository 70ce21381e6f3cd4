//! Errors of the operators' file.

use std::fmt;
use std::path::PathBuf;

use chutegrade_textproto::Position;

/// One error of the file. Displays as `path:line:column: message`, or `path: message` without a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// File that has the error.
    pub path: PathBuf,
    /// Position of the error in the file, if known.
    pub position: Option<Position>,
    /// Description of the error; it also states what would be valid.
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
