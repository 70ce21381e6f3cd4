//! Reads the text files that operators write, such as plug-ins and scenarios, up to a maximum length.

use std::io;
use std::path::{Path, PathBuf};

/// Maximum length of a file, in bytes: far longer than any file that operators write, and than the 64 KiB of a plug-in.
const MAX_TEXT_BYTES: u64 = 1 << 20;

/// Why a text file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum TextFileError {
    /// It cannot be opened or read, or is not UTF-8.
    #[error("{}: {error}", path.display())]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// The cause; of kind `InvalidData` if the file is not UTF-8.
        error: io::Error,
    },
    /// It is longer than the maximum.
    #[error("{}: too long: {bytes} bytes, the maximum is {max_bytes}", path.display())]
    TooLong {
        /// Path of the file.
        path: PathBuf,
        /// Length of the file.
        bytes: u64,
        /// Maximum length.
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

/// Reads text files as pairs of path and text, the form in which the plug-in host loads them.
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
