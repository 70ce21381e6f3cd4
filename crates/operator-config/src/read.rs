//! Reading: from a file or a text to a checked configuration.

use std::path::Path;

use crate::checks::Checker;
use crate::{pb, ConfigError, LimitsSection, OperatorConfig};

const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));
const MESSAGE: &str = "chutegrade.operator.v1.Operator";

/// Longest file that is read, in bytes: far beyond any that a person writes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Reads the file.
///
/// # Errors
///
/// If the file cannot be read, or all errors of its content at once.
pub fn load(path: &Path) -> Result<OperatorConfig, Vec<ConfigError>> {
    let text = read_file(path).map_err(|message| vec![unlocated(path, message)])?;
    parse(path, &text)
}

/// The file's text, or why it cannot be read, in one sentence.
fn read_file(path: &Path) -> Result<String, String> {
    let metadata = std::fs::metadata(path).map_err(|error| format!("cannot be opened: {error}"))?;
    let length = metadata.len();
    if length > MAX_FILE_BYTES {
        return Err(format!(
            "{length} bytes are too long, at most {MAX_FILE_BYTES} are read"
        ));
    }
    std::fs::read_to_string(path).map_err(|error| format!("cannot be read: {error}"))
}

fn unlocated(path: &Path, message: String) -> ConfigError {
    ConfigError {
        path: path.to_path_buf(),
        position: None,
        message,
    }
}

/// Reads a text, as of a file with this name.
///
/// # Errors
///
/// All errors of the text at once.
pub fn parse(path: &Path, text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
    let file: pb::Operator =
        chutegrade_textproto::parse(SCHEMA, MESSAGE, text).map_err(|wrong| {
            vec![ConfigError {
                path: path.to_path_buf(),
                position: wrong.position,
                message: wrong.message,
            }]
        })?;
    let mut checker = Checker::new(path, text);
    let config = checker.check(&file);
    let mut errors = checker.into_errors();
    let limits = file
        .limits
        .map(|declaration| LimitsSection::new(path, text, declaration));
    if let Some(limits) = &limits {
        errors.extend(limits.overload_config(None).err().unwrap_or_default());
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    Ok(OperatorConfig { limits, ..config })
}
