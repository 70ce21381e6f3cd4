//! Reads the text files that operators write, such as plug-ins and scenarios, up to a maximum length.

use std::io;
use std::path::{Path, PathBuf};

/// Longest text that is read, in bytes; the languages of such texts accept far shorter ones.
const MAX_TEXT_BYTES: u64 = 1 << 20;

/// Why a text file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum TextFileError {
    /// It cannot be opened or read, or is not UTF-8.
    #[error("{}: {error}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// It is too long.
    #[error("{}: {bytes} bytes are too long, at most {max_bytes} are read", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its length.
        bytes: u64,
        /// The longest length that is read.
        max_bytes: u64,
    },
}

/// Reads a text file.
///
/// # Errors
///
/// If the file cannot be read, is too long or is not UTF-8.
pub fn read(path: &Path) -> Result<String, TextFileError> {
    let io_error = |error| TextFileError::Io {
        path: path.to_path_buf(),
        error,
    };
    let bytes = std::fs::metadata(path).map_err(io_error)?.len();
    if bytes > MAX_TEXT_BYTES {
        return Err(TextFileError::TooLong {
            path: path.to_path_buf(),
            bytes,
            max_bytes: MAX_TEXT_BYTES,
        });
    }
    std::fs::read_to_string(path).map_err(io_error)
}

/// Reads text files as pairs of the file's name and its text, the form in which plug-in hosts load them.
///
/// # Errors
///
/// If one of them cannot be read.
pub fn read_all(paths: &[PathBuf]) -> Result<Vec<(String, String)>, TextFileError> {
    paths
        .iter()
        .map(|path| Ok((path.display().to_string(), read(path)?)))
        .collect()
}
