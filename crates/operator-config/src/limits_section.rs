//! The `limits` section of the file. It depends on the classes, which the file does not have, so it is stored as
//! declared, with the text of the file for the positions of errors.

use std::path::{Path, PathBuf};

use chutegrade_limits::{pb, Class, OverloadConfig};

use crate::ConfigError;

/// Limits as declared, with the text of their file.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsSection {
    path: PathBuf,
    text: String,
    declaration: pb::Limits,
}

impl LimitsSection {
    pub(crate) fn new(path: &Path, text: &str, declaration: pb::Limits) -> Self {
        LimitsSection {
            path: path.to_path_buf(),
            text: text.to_string(),
            declaration,
        }
    }

    /// Returns the limits as declared.
    pub fn declaration(&self) -> &pb::Limits {
        &self.declaration
    }

    /// Checks the limits for these classes and returns them. Without classes, skips the checks that depend on them.
    ///
    /// # Errors
    ///
    /// All errors of the section.
    pub fn overload_config(
        &self,
        classes: Option<&[Class]>,
    ) -> Result<OverloadConfig, Vec<ConfigError>> {
        OverloadConfig::read(&self.declaration, classes)
            .map_err(|errors| errors.iter().map(|error| self.locate(error)).collect())
    }

    fn locate(&self, error: &chutegrade_limits::ConfigError) -> ConfigError {
        ConfigError {
            path: self.path.clone(),
            position: error.position(&self.text),
            message: error.problem.to_string(),
        }
    }
}
