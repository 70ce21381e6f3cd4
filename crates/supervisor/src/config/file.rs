//! Deserializes the configuration file.

use std::net::SocketAddr;

use chutegrade_engine::Settings;
use serde::Deserialize;
use serde_json::Value;

use crate::config::error::ConfigError;

/// Maximum number of file descriptors if the file does not set it.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;

/// Content of the configuration file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ConfigFile {
    /// Name of this supervisor in logs and records.
    pub name: Option<String>,
    /// Address at which proxies and collectors connect.
    pub listen: Option<String>,
    /// Address of the discovery agent.
    pub discovery: Option<String>,
    /// Seed of the engine's random numbers.
    pub seed: Value,
    /// Resource limits of the machine.
    pub limits: MachineLimits,
    /// Endpoint list that was last delivered to an earlier run.
    pub known: Option<Value>,
    /// Settings of the engine.
    pub settings: Value,
}

/// Resource limits of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Maximum number of file descriptors, for all processes together.
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

    /// Parses the settings of the engine.
    ///
    /// # Errors
    ///
    /// If they are invalid, or enable slices, for which the protocol has no messages.
    pub fn parse_settings(&self) -> Result<Settings, ConfigError> {
        let settings = chutegrade_settings::from_json(&self.settings)?;
        if settings.slices > 0 {
            return Err(ConfigError::SlicesUnsupported);
        }
        Ok(settings)
    }
}

/// Parses the address that the environment or the file sets for a key.
///
/// # Errors
///
/// If the text is not an address and port.
pub fn parse_address(key: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => Err(ConfigError::Address { key, text }),
    }
}
