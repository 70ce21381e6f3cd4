//! The configuration file of a running supervisor, and what a reload applies of it.

use std::net::SocketAddr;

use crate::config::error::ConfigError;
use crate::config::file::{parse_address, ConfigFile};

/// The configuration file, with its content when it was last read.
#[derive(Debug)]
pub struct ConfigSource {
    path: String,
    last_applied: ConfigFile,
    discovery: SocketAddr,
}

/// What changes with a reload.
#[derive(Debug, PartialEq)]
pub struct ReloadedConfig {
    /// Where discovery answers from now on.
    pub discovery: SocketAddr,
    /// Keys that the file changed and that take effect at the next start only.
    pub restart_required_for: Vec<&'static str>,
}

impl ConfigSource {
    /// The file at a path, as it was read at the start, and the address of discovery that is in use.
    pub fn new(path: String, file: ConfigFile, discovery: SocketAddr) -> Self {
        ConfigSource {
            path,
            last_applied: file,
            discovery,
        }
    }

    /// Rereads the file, except for the known list and the seed: discovery has delivered a newer list, and the seed counts
    /// only at a start.
    ///
    /// # Errors
    ///
    /// If it is incomplete or cannot be read; then nothing changes.
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
        // The other keys are compared with the start, so that each reload names all that still require a restart.
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
