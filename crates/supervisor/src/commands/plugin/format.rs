//! `plugin format`: writes plug-ins in their canonical format.

use std::io::Write;
use std::path::PathBuf;

use chutegrade_plugins::format::format;

use crate::commands::files::{read_texts, write_atomically, SourceText};
use crate::commands::CommandError;

/// What to do with files that are not in the canonical format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormatMode {
    /// Rewrite them.
    Rewrite,
    /// Only list them.
    CheckOnly,
}

/// Formats all files, or lists those that formatting would change.
///
/// # Errors
///
/// If a file cannot be read, parsed or written, or in [`FormatMode::CheckOnly`] formatting would change one.
pub fn run(
    files: &[PathBuf],
    mode: FormatMode,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let mut unformatted = 0;
    for (path, source) in files.iter().zip(read_texts(files)?) {
        let formatted = format_source(&source)?;
        if formatted == source.text {
            continue;
        }
        unformatted += 1;
        match mode {
            FormatMode::CheckOnly => writeln!(output, "{} is not formatted", source.name)?,
            FormatMode::Rewrite => {
                write_atomically(path, &formatted)?;
                writeln!(output, "{} formatted", source.name)?;
            }
        }
    }
    if mode == FormatMode::CheckOnly && unformatted > 0 {
        return Err(CommandError::Unformatted {
            unformatted,
            total: files.len(),
        });
    }
    Ok(())
}

fn format_source(source: &SourceText) -> Result<String, CommandError> {
    format(&source.text).map_err(|diagnostics| {
        let first = diagnostics.first().map(ToString::to_string);
        CommandError::PluginRejected {
            file: source.name.clone(),
            diagnostic: first.unwrap_or_default(),
        }
    })
}
