//! Files that commands read and write.

use std::path::{Path, PathBuf};

use chutegrade_records::text::printable;

use super::CommandError;
use crate::text_file;

/// The content of a text file, with its name.
pub struct SourceText {
    /// Path of the file, as it is displayed.
    pub name: String,
    /// Content of the file.
    pub text: String,
}

/// Reads a text file, such as an experiment, a scenario or a plug-in.
pub fn read_text(path: &Path) -> Result<String, CommandError> {
    Ok(text_file::read(path)?)
}

/// Reads plug-in files; the result has their order.
pub fn read_texts(paths: &[PathBuf]) -> Result<Vec<SourceText>, CommandError> {
    paths
        .iter()
        .map(|path| {
            Ok(SourceText {
                name: path.display().to_string(),
                text: read_text(path)?,
            })
        })
        .collect()
}

/// Reads the texts of plug-ins as pairs of name and text, the form in which plug-in hosts load them.
pub fn read_plugins(paths: &[PathBuf]) -> Result<Vec<(String, String)>, CommandError> {
    Ok(text_file::read_all(paths)?)
}

/// Replaces a file atomically: other programs see either the old content or the new one, never a part.
pub fn write_atomically(path: &Path, text: &str) -> Result<(), CommandError> {
    let draft = path.with_extension("draft");
    let written = std::fs::write(&draft, text).and_then(|()| std::fs::rename(&draft, path));
    written.map_err(|source| CommandError::WriteFile {
        path: path.to_path_buf(),
        source,
    })
}

/// Returns a path without control characters, for the terminal.
pub fn printable_path(path: &Path) -> String {
    printable(&path.display().to_string())
}
