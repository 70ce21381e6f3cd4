//! Errors of the configuration.

use std::io;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the environment nor the file has this key; at a reload, the file does not have it.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// A value is not an address and port.
    #[error("{key} is not an address and port: {text:?}")]
    Address {
        /// Name of the key's environment variable.
        key: &'static str,
        /// The invalid value.
        text: String,
    },
    /// The file cannot be opened.
    #[error("the configuration {path:?} cannot be opened: {error}")]
    Open {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file is not JSON of the expected form.
    #[error("the configuration cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings are invalid.
    #[error("the settings cannot be read: {0}")]
    Settings(#[from] chutegrade_settings::SettingsError),
    /// The settings enable slices, for which the protocol has no messages.
    #[error("the settings enable slices, which the protocol does not support")]
    SlicesUnsupported,
}
