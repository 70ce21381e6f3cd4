//! The configuration file, as it is deserialized.

use std::net::SocketAddr;

use chutegrade_engine::Settings;
use serde::Deserialize;
use serde_json::Value;

use crate::config::error::ConfigError;

/// Limit of file descriptors if the file has none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;

/// The configuration file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ConfigFile {
    /// The supervisor's name.
    pub name: Option<String>,
    /// Where to listen.
    pub listen: Option<String>,
    /// Where discovery answers.
    pub discovery: Option<String>,
    /// The seed of random numbers.
    pub seed: Value,
    /// Resource limits of the machine.
    pub limits: MachineLimits,
    /// The endpoint list as it was last delivered.
    pub known: Option<Value>,
    /// The settings of the decisions.
    pub settings: Value,
}

/// Resource limits of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// File descriptors, all processes together.
    pub sockets: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            sockets: DEFAULT_MAX_DESCRIPTORS,
        }
    }
}

impl ConfigFile {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// If it cannot be opened, or is not JSON of the expected form.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        let text = std::fs::read(path).map_err(|error| ConfigError::Open {
            path: path.to_string(),
            error,
        })?;
        Ok(serde_json::from_slice(&text)?)
    }

    /// The settings of the decisions.
    ///
    /// # Errors
    ///
    /// If they cannot be read, or require messages that the protocol lacks.
    pub fn parse_settings(&self) -> Result<Settings, ConfigError> {
        let settings = chutegrade_settings::from_json(&self.settings)?;
        if settings.slices > 0 {
            return Err(ConfigError::SlicesUnsupported);
        }
        Ok(settings)
    }
}

/// Reads the address that a key has, in the environment or the file.
///
/// # Errors
///
/// If the text is no address.
pub fn parse_address(key: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => Err(ConfigError::Address { key, text }),
    }
}
