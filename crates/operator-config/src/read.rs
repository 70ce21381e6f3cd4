//! Reads and checks the configuration from a file or a text.

use std::path::Path;

use crate::checks::Checker;
use crate::{pb, ConfigError, LimitsSection, OperatorConfig};

/// Encoded descriptors of the schema.
const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));
/// Name of the message that describes the file.
const MESSAGE: &str = "chutegrade.operator.v1.Operator";

/// Maximum size of the file, in bytes: far above any file written by hand.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Reads and checks the file at this path.
///
/// # Errors
///
/// An error if the file cannot be read, or all errors of its content.
pub fn load(path: &Path) -> Result<OperatorConfig, Vec<ConfigError>> {
    let text = read_file(path).map_err(|error| vec![error])?;
    parse(path, &text)
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    let metadata = std::fs::metadata(path)
        .map_err(|error| without_position(path, format!("cannot be opened: {error}")))?;
    let length = metadata.len();
    if length > MAX_FILE_BYTES {
        let message = format!("the file has {length} bytes: at most {MAX_FILE_BYTES} are accepted");
        return Err(without_position(path, message));
    }
    std::fs::read_to_string(path)
        .map_err(|error| without_position(path, format!("cannot be read: {error}")))
}

fn without_position(path: &Path, message: String) -> ConfigError {
    ConfigError {
        path: path.to_path_buf(),
        position: None,
        message,
    }
}

/// Reads and checks a text as the content of the file at this path.
///
/// # Errors
///
/// All errors of the text.
pub fn parse(path: &Path, text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
    let file = parse_schema(path, text).map_err(|error| vec![error])?;
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

/// Parses a text by the schema, without further checks.
fn parse_schema(path: &Path, text: &str) -> Result<pb::Operator, ConfigError> {
    chutegrade_textproto::parse(SCHEMA, MESSAGE, text).map_err(|error| ConfigError {
        path: path.to_path_buf(),
        position: error.position,
        message: error.message,
    })
}
