//! What is wrong with the operators' file.

use std::fmt;
use std::path::PathBuf;

use chutegrade_textproto::Position;

/// One thing that is wrong with the file. Displays as `path:line:column: message`, or `path: message` without a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file.
    pub path: PathBuf,
    /// Where it is, if it has a position.
    pub position: Option<Position>,
    /// What is wrong, and what would be right.
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
