//! Loads service levels from the operators' file, with the classes of a configuration.

use std::path::Path;

use chutegrade_limits::{Class, ServiceLevels};
use chutegrade_operator_config::LimitsSection;

use crate::commands::arguments::LevelsSource;
use crate::commands::CommandError;
use crate::config;

/// Reads the declared service levels.
///
/// # Errors
///
/// If a file cannot be read, is invalid or declares no levels, or default levels are used without a configuration.
pub fn load(source: &LevelsSource) -> Result<ServiceLevels, CommandError> {
    let operator = chutegrade_operator_config::load(&source.operator)
        .map_err(|errors| CommandError::from_faults(&errors))?;
    let limits = operator
        .limits
        .ok_or_else(|| CommandError::NoLimits(source.operator.clone()))?;
    let classes = load_classes(source.config.as_deref(), &limits)?;
    let overload = limits
        .overload_config(classes.as_deref())
        .map_err(|errors| CommandError::from_faults(&errors))?;
    overload
        .service_levels
        .ok_or_else(|| CommandError::NoServiceLevels(source.operator.clone()))
}

/// Returns the classes of the configuration, without which default levels cannot be derived.
fn load_classes(
    config: Option<&Path>,
    limits: &LimitsSection,
) -> Result<Option<Vec<Class>>, CommandError> {
    match config {
        Some(path) => Ok(Some(config::classes(&path.to_string_lossy())?)),
        None if uses_default_levels(limits) => Err(CommandError::ClassesNeeded),
        None => Ok(None),
    }
}

fn uses_default_levels(limits: &LimitsSection) -> bool {
    let ladder = limits.declaration().ladder.as_ref();
    ladder.is_some_and(|ladder| ladder.usual == Some(true))
}
