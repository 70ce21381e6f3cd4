//! The configuration, read from the environment and the configuration file at startup, and from the file at a reload.
//!
//! At startup the environment takes precedence over the file. The environment of a running process never changes, so at a
//! reload the address of discovery takes precedence if it changed in the file. Other changes require a restart.

mod error;
mod file;
mod source;

use std::net::SocketAddr;

use chutegrade_engine::{Engine, Settings};
use chutegrade_settings::DeploymentNames;

use crate::protocol::endpoint_delivery::{
    decode_delivery_value, CachedEndpointList, EndpointDelivery,
};
use file::{parse_address, ConfigFile, MachineLimits};

pub use error::ConfigError;
pub use source::{ConfigSource, ReloadedConfig};

/// Timeout for opening a connection to a server if the settings have none, in milliseconds: far beyond any network delay.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1000.0;

/// The configuration of a supervisor.
#[derive(Debug)]
pub struct Config {
    /// Name of this supervisor in logs and records; empty if it is not set.
    pub name: String,
    /// Address at which proxies and collectors connect.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed of the engine's random numbers.
    pub seed: u64,
    /// Resource limits of the machine.
    pub limits: MachineLimits,
    /// Endpoint list that was last delivered to an earlier run, if the file has one.
    pub cached_endpoints: Option<CachedEndpointList>,
    /// Settings of the engine.
    pub settings: Settings,
    /// Names of zones, classes and machine kinds.
    pub names: DeploymentNames,
    /// Minimum time between two ticks that are caused by reports, in milliseconds.
    pub min_tick_interval_ms: f64,
    /// Timeout for opening a connection to a server, in milliseconds.
    pub connect_timeout_ms: f64,
}

/// The configuration at startup, and the file that it is reloaded from.
#[derive(Debug)]
pub struct LoadedConfig {
    /// The values in effect at startup.
    pub config: Config,
    /// The file, with its content at startup.
    pub source: ConfigSource,
}

/// Reads the configuration file that `LB_CONFIG` names; other environment variables take precedence over it.
///
/// # Errors
///
/// If it is incomplete or cannot be read.
pub fn from_env() -> Result<LoadedConfig, ConfigError> {
    let path = env_variable("LB_CONFIG").ok_or(ConfigError::Missing("LB_CONFIG"))?;
    let file = ConfigFile::load(&path)?;
    let config = Config::new(file.clone(), env_variable)?;
    let source = ConfigSource::new(path, file, config.discovery);
    Ok(LoadedConfig { config, source })
}

/// Checks a configuration file without the environment. Returns warnings on inconsistent or incomplete settings.
///
/// # Errors
///
/// If it is incomplete or cannot be read; JSON errors include line and column.
pub fn check(path: &str) -> Result<Vec<String>, ConfigError> {
    let config = load_without_env(path)?;
    Ok(config.consistency_warnings())
}

/// Returns the classes of a configuration file, in the form that limits refer to.
///
/// # Errors
///
/// If it is incomplete or cannot be read.
pub fn classes(path: &str) -> Result<Vec<chutegrade_limits::Class>, ConfigError> {
    const SEED: u64 = 0;
    let config = load_without_env(path)?;
    let engine = Engine::new(config.settings, SEED, config.names);
    Ok(chutegrade_overload_control::overload_classes(&engine))
}

fn load_without_env(path: &str) -> Result<Config, ConfigError> {
    let file = ConfigFile::load(path)?;
    Config::new(file, |_| None)
}

/// Returns an environment variable; an empty one counts as unset.
fn env_variable(key: &str) -> Option<String> {
    std::env::var(key).ok().filter(|value| !value.is_empty())
}

impl Config {
    /// Builds the configuration from a file; environment variables take precedence.
    fn new(
        file: ConfigFile,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let address = |key: &'static str, in_file: Option<String>| {
            let text = variable(key).or(in_file);
            parse_address(key, text.ok_or(ConfigError::Missing(key))?)
        };
        let settings = file.parse_settings()?;
        let connect_timeout_ms = chutegrade_settings::connect_timeout_ms(&file.settings);
        Ok(Config {
            name: variable("LB_NAME").or(file.name).unwrap_or_default(),
            listen: address("LB_LISTEN", file.listen)?,
            discovery: address("LB_DISCOVERY", file.discovery)?,
            seed: parse_seed(&file.seed),
            limits: file.limits,
            cached_endpoints: file.known.and_then(parse_cached_endpoints),
            settings,
            names: chutegrade_settings::names(&file.settings),
            min_tick_interval_ms: chutegrade_settings::min_tick_interval_ms(&file.settings),
            connect_timeout_ms: connect_timeout_ms.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS),
        })
    }

    /// Returns warnings on inconsistent or incomplete settings, one sentence each, for the log at startup and for `check`.
    pub fn consistency_warnings(&self) -> Vec<String> {
        let servers = self
            .cached_endpoints
            .as_ref()
            .map_or(0, |list| list.endpoints.len());
        chutegrade_settings::consistency_warnings(&self.settings, servers)
    }
}

/// Decodes the cached endpoint list; a malformed one is ignored, since discovery then delivers the complete list. A list
/// with unreadable endpoints gets version 0, so that discovery delivers all changes since the first version.
fn parse_cached_endpoints(json: serde_json::Value) -> Option<CachedEndpointList> {
    let EndpointDelivery {
        version,
        endpoints,
        unreadable,
        ..
    } = match decode_delivery_value(json) {
        Ok(delivery) => delivery,
        Err(malformed) => {
            tracing::warn!(fault = %malformed, "cached endpoint list ignored: it cannot be decoded");
            return None;
        }
    };
    if unreadable > 0 {
        tracing::warn!(
            unreadable,
            "cached endpoint list has endpoints that cannot be decoded"
        );
    }
    let version = if unreadable > 0 { 0 } else { version };
    Some(CachedEndpointList { version, endpoints })
}

/// Parses a seed of up to 16 hexadecimal digits; any other value is hashed, so that supervisors still have different seeds.
fn parse_seed(json: &serde_json::Value) -> u64 {
    let text = match json.as_str() {
        Some(text) => text.to_string(),
        None => json.to_string(),
    };
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| fnv1a(&text))
}

/// Returns the 64-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

#[cfg(test)]
mod tests;
