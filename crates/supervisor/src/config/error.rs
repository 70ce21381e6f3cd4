//! Why a configuration cannot be used.

use std::io;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the environment nor the file has this key.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// A value is no address.
    #[error("{key} is no address and port: {text:?}")]
    Address {
        /// The key, as the environment has it.
        key: &'static str,
        /// The value.
        text: String,
    },
    /// The file cannot be opened.
    #[error("the configuration {path:?} cannot be opened: {error}")]
    Open {
        /// The file.
        path: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file holds no configuration.
    #[error("the configuration cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings cannot be read.
    #[error("the settings cannot be read: {0}")]
    Settings(#[from] chutegrade_settings::SettingsError),
    /// The settings require messages that the protocol lacks.
    #[error("the settings ask for slices, for which the protocol has no messages")]
    SlicesUnsupported,
}
