//! `check`: lists the faults of a configuration and an operators' file.

use std::io::Write;
use std::path::Path;

use super::arguments::CheckArguments;
use super::CommandError;
use crate::config;

/// Writes each fault on its own line.
///
/// # Errors
///
/// If no file is given, or a file has a fault.
pub fn run(arguments: &CheckArguments, output: &mut impl Write) -> Result<(), CommandError> {
    if arguments.config.is_none() && arguments.operator.is_none() {
        return Err(CommandError::NothingToCheck);
    }
    let mut faults = Vec::new();
    if let Some(path) = &arguments.config {
        faults.extend(check_config(path, output)?);
    }
    if let Some(path) = &arguments.operator {
        faults.extend(check_operator_file(path, arguments.config.as_deref()));
    }
    for fault in &faults {
        writeln!(output, "{fault}")?;
    }
    if !faults.is_empty() {
        return Err(CommandError::FaultsListed(faults.len()));
    }
    writeln!(output, "no faults found")?;
    Ok(())
}

/// Returns the configuration's fault, if there is one; otherwise writes its warnings.
fn check_config(path: &Path, output: &mut impl Write) -> Result<Option<String>, CommandError> {
    let warnings = match config::check(&path.to_string_lossy()) {
        Ok(warnings) => warnings,
        Err(error) => return Ok(Some(format!("{}: {error}", path.display()))),
    };
    for warning in warnings {
        writeln!(output, "{}: warning: {warning}", path.display())?;
    }
    Ok(None)
}

/// Returns all faults of an operators' file. What depends on the classes is checked only with a readable configuration.
fn check_operator_file(path: &Path, config: Option<&Path>) -> Vec<String> {
    let operator = match chutegrade_operator_config::load(path) {
        Ok(operator) => operator,
        Err(errors) => return errors.iter().map(ToString::to_string).collect(),
    };
    let classes = config.and_then(|path| config::classes(&path.to_string_lossy()).ok());
    let (Some(limits), Some(classes)) = (operator.limits, classes) else {
        return Vec::new();
    };
    match limits.overload_config(Some(&classes)) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}
