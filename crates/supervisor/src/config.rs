//! The configuration: the environment and the configuration file, at the start and when the file is replaced.
//!
//! At the start the environment takes precedence over the file. The environment of a running process never changes, so at a
//! reload the values that changed in the file take precedence, and the others stay as they are.

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

/// How long opening a connection to a server may take if the settings have no timeout, in milliseconds: far beyond any
/// network delay.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1000.0;

/// The configuration of a supervisor.
#[derive(Debug)]
pub struct Config {
    /// The supervisor's name.
    pub name: String,
    /// Where to listen.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// Resource limits of the machine.
    pub limits: MachineLimits,
    /// The endpoint list as it was last delivered.
    pub cached_endpoints: Option<CachedEndpointList>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names that reports use.
    pub names: DeploymentNames,
    /// Minimum time between two ticks that are caused by reports, in milliseconds.
    pub min_tick_interval_ms: f64,
    /// How long opening a connection to a server may take, in milliseconds.
    pub connect_timeout_ms: f64,
}

/// The configuration at a start, and the file to reload it from.
#[derive(Debug)]
pub struct LoadedConfig {
    /// The configuration.
    pub config: Config,
    /// The file.
    pub source: ConfigSource,
}

/// Reads the configuration that the environment points to.
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

/// Checks a configuration as a start without an environment would. Returns warnings on inconsistent or incomplete settings.
///
/// # Errors
///
/// If it is incomplete or cannot be read; JSON errors have line and column.
pub fn check(path: &str) -> Result<Vec<String>, ConfigError> {
    let config = load_without_env(path)?;
    Ok(config.consistency_warnings())
}

/// The classes that a configuration holds, as limits need them.
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

/// A variable of the environment; an empty one counts as unset.
fn env_variable(key: &str) -> Option<String> {
    std::env::var(key).ok().filter(|value| !value.is_empty())
}

impl Config {
    /// The configuration of a file, in which the variables of the environment take precedence.
    fn new(
        file: ConfigFile,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let address = |key: &'static str, in_file: Option<String>| {
            let text = variable(key).or(in_file);
            parse_address(key, text.ok_or(ConfigError::Missing(key))?)
        };
        let settings = file.parse_settings()?;
        let connect_timeout_ms = chutegrade_settings::connect_ms(&file.settings);
        Ok(Config {
            name: variable("LB_NAME").or(file.name).unwrap_or_default(),
            listen: address("LB_LISTEN", file.listen)?,
            discovery: address("LB_DISCOVERY", file.discovery)?,
            seed: parse_seed(&file.seed),
            limits: file.limits,
            cached_endpoints: file.known.and_then(parse_cached_endpoints),
            settings,
            names: chutegrade_settings::names(&file.settings),
            min_tick_interval_ms: chutegrade_settings::tick_ms(&file.settings),
            connect_timeout_ms: connect_timeout_ms.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS),
        })
    }

    /// Warnings on inconsistent or incomplete settings, a sentence each, for the log at a start and for `check`.
    pub fn consistency_warnings(&self) -> Vec<String> {
        let servers = self
            .cached_endpoints
            .as_ref()
            .map_or(0, |list| list.endpoints.len());
        chutegrade_settings::consistency_warnings(&self.settings, servers)
    }
}

/// Reads the known list; an unreadable one counts as none, since discovery delivers the complete list then. A list with
/// unreadable endpoints gets version 0, so that discovery delivers all changes since the first version.
fn parse_cached_endpoints(json: serde_json::Value) -> Option<CachedEndpointList> {
    let EndpointDelivery {
        version,
        endpoints,
        unreadable,
        ..
    } = match decode_delivery_value(json) {
        Ok(delivery) => delivery,
        Err(malformed) => {
            tracing::warn!(fault = %malformed, "the known list cannot be read");
            return None;
        }
    };
    if unreadable > 0 {
        tracing::warn!(unreadable, "endpoints of the known list can't be read");
    }
    let version = if unreadable > 0 { 0 } else { version };
    Some(CachedEndpointList { version, endpoints })
}

/// Seeds are 16 hexadecimal digits; any other value is hashed, so that supervisors still have different seeds.
fn parse_seed(json: &serde_json::Value) -> u64 {
    let text = match json.as_str() {
        Some(text) => text.to_string(),
        None => json.to_string(),
    };
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| fnv1a(&text))
}

/// The 64-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

#[cfg(test)]
mod tests;
