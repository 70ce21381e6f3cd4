//! Reloads the configuration file of a running supervisor.

use std::net::SocketAddr;

use crate::config::error::ConfigError;
use crate::config::file::{parse_address, ConfigFile};

/// The configuration file, and the values of it that are in effect.
#[derive(Debug)]
pub struct ConfigSource {
    path: String,
    last_applied: ConfigFile,
    discovery: SocketAddr,
}

/// The result of a reload.
#[derive(Debug, PartialEq)]
pub struct ReloadedConfig {
    /// Address of the discovery agent after the reload.
    pub discovery: SocketAddr,
    /// Keys whose values changed in the file and take effect only at the next start.
    pub restart_required_for: Vec<&'static str>,
}

impl ConfigSource {
    /// Creates the source from the file's path, its content at startup and the discovery address in use.
    pub fn new(path: String, file: ConfigFile, discovery: SocketAddr) -> Self {
        ConfigSource {
            path,
            last_applied: file,
            discovery,
        }
    }

    /// Reads the file again and applies a changed address of discovery; other changed keys are returned. The cached endpoint
    /// list and the seed are ignored: discovery has delivered a newer list, and the seed is used only at startup.
    ///
    /// # Errors
    ///
    /// If it is incomplete or cannot be read; the values in effect then stay.
    pub fn reload(&mut self) -> Result<ReloadedConfig, ConfigError> {
        self.update(ConfigFile::load(&self.path)?)
    }

    fn update(&mut self, file: ConfigFile) -> Result<ReloadedConfig, ConfigError> {
        file.parse_settings()?;
        let address_text = file
            .discovery
            .clone()
            .ok_or(ConfigError::Missing("LB_DISCOVERY"))?;
        let address = parse_address("LB_DISCOVERY", address_text)?;
        if file.discovery != self.last_applied.discovery {
            self.discovery = address;
        }
        let restart_required_for = self.changes_that_require_a_restart(&file);
        // Other keys keep their values from startup, so that each reload lists all keys that still require a restart.
        self.last_applied.discovery = file.discovery;
        Ok(ReloadedConfig {
            discovery: self.discovery,
            restart_required_for,
        })
    }

    fn changes_that_require_a_restart(&self, file: &ConfigFile) -> Vec<&'static str> {
        let last = &self.last_applied;
        let changes = [
            ("name", file.name != last.name),
            ("listen", file.listen != last.listen),
            ("limits", file.limits != last.limits),
            ("settings", file.settings != last.settings),
        ];
        changes
            .into_iter()
            .filter_map(|(key, is_changed)| is_changed.then_some(key))
            .collect()
    }
}

#[cfg(test)]
mod tests;
