//! What the supervisor is told: the environment and the configuration file, at its start and when the file is replaced.
//!
//! At the start the environment comes before the file. At a reload the environment still says what it said at the start,
//! so what the file changed since it was last read comes first, and what it did not change stays as it is.

use std::net::SocketAddr;

use chutegrade_engine::{EndpointUpdateKind, Report, Settings};
use chutegrade_settings::DeploymentNames;
use serde::Deserialize;
use serde_json::Value;

use crate::protocol::messages::{self, Targets};

/// How long a connection to a server may take where the settings do not tell, in milliseconds: far beyond any way.
const CONNECT_MS: f64 = 1000.0;

/// Why the supervisor cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// Neither the environment nor the file tells this.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// No address.
    #[error("{0} is no address and port: {1:?}")]
    Address(&'static str, String),
    /// The file cannot be opened.
    #[error("the configuration {0:?} cannot be opened: {1}")]
    File(String, std::io::Error),
    /// The file holds no configuration.
    #[error("the configuration cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings cannot be read.
    #[error("the settings cannot be read: {0}")]
    Settings(#[from] chutegrade_settings::SettingsError),
    /// The settings ask for what the protocol has no words for.
    #[error("the settings ask for slices, for which the protocol has no messages")]
    Slices,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Value,
    limits: Limits,
    known: Option<Value>,
    settings: Value,
}

/// What the machine allows.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors, all processes together.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

/// All that the supervisor is told.
#[derive(Debug)]
pub struct Config {
    /// The supervisor's name.
    pub name: String,
    /// Where to listen.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What the machine allows.
    pub limits: Limits,
    /// The list as last had, and its version.
    pub known: Option<(u64, Report)>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names that reports use.
    pub names: DeploymentNames,
    /// The least time between two batches, in milliseconds.
    pub tick_ms: f64,
    /// How long a connection to a server may take, in milliseconds.
    pub connect_ms: f64,
}

/// The configuration file, and what it said when it was last read.
#[derive(Debug)]
pub struct Source {
    path: String,
    said: File,
    discovery: SocketAddr,
}

/// What a reload brings.
#[derive(Debug, PartialEq)]
pub struct Reloaded {
    /// Where discovery answers from now on.
    pub discovery: SocketAddr,
    /// Keys that the file changed and that take effect at the next start only.
    pub later: Vec<&'static str>,
}

/// Reads the configuration that the environment points to.
pub fn from_env() -> Result<(Config, Source), Fault> {
    let var = |key: &str| std::env::var(key).ok().filter(|value| !value.is_empty());
    let path = var("LB_CONFIG").ok_or(Fault::Missing("LB_CONFIG"))?;
    let said = load(&path)?;
    let config = read(said.clone(), var)?;
    let discovery = config.discovery;
    Ok((
        config,
        Source {
            path,
            said,
            discovery,
        },
    ))
}

impl Source {
    /// Reads the file anew; on a fault nothing changes. The list that it holds as known is older than what discovery has
    /// told, and the seed is for a start: neither is looked at.
    pub fn reload(&mut self) -> Result<Reloaded, Fault> {
        self.take(load(&self.path)?)
    }

    fn take(&mut self, now: File) -> Result<Reloaded, Fault> {
        settings(&now)?;
        let given = now
            .discovery
            .clone()
            .ok_or(Fault::Missing("LB_DISCOVERY"))?;
        let address = parse("LB_DISCOVERY", given)?;
        let before = &self.said;
        if now.discovery != before.discovery {
            self.discovery = address;
        }
        let kept = [
            ("name", now.name != before.name),
            ("listen", now.listen != before.listen),
            ("limits", now.limits != before.limits),
            ("settings", now.settings != before.settings),
        ];
        let later = kept
            .into_iter()
            .filter_map(|(key, changed)| changed.then_some(key))
            .collect();
        // Keys that wait for a start are told of at each reload until then.
        self.said.discovery = now.discovery;
        Ok(Reloaded {
            discovery: self.discovery,
            later,
        })
    }
}

impl Config {
    /// What the settings contradict or leave open: a sentence each, for the log at a start and for `check`.
    pub fn doubts(&self) -> Vec<String> {
        let servers = match &self.known {
            Some((_, Report::EndpointList(_, entries))) => entries.len(),
            _ => 0,
        };
        chutegrade_settings::consistency_warnings(&self.settings, servers)
    }
}

/// What is wrong with a configuration, as a start without an environment would find; JSON faults tell line and column. Or
/// else what it contradicts or leaves open.
pub fn check(path: &str) -> Result<Vec<String>, Fault> {
    load(path)
        .and_then(|file| read(file, |_| None))
        .map(|config| config.doubts())
}

/// The classes that a configuration holds, as limits need them.
pub fn classes(path: &str) -> Result<Vec<chutegrade_limits::Class>, Fault> {
    let config = load(path).and_then(|file| read(file, |_| None))?;
    let names = config.names;
    let engine = chutegrade_engine::Engine::new(config.settings, 0, names);
    Ok(chutegrade_overload_control::overload_classes(&engine))
}

fn load(path: &str) -> Result<File, Fault> {
    let text = std::fs::read(path).map_err(|fault| Fault::File(path.to_string(), fault))?;
    Ok(serde_json::from_slice(&text)?)
}

fn settings(file: &File) -> Result<Settings, Fault> {
    let settings = chutegrade_settings::from_json(&file.settings)?;
    if settings.slices > 0 {
        return Err(Fault::Slices);
    }
    Ok(settings)
}

fn parse(key: &'static str, text: String) -> Result<SocketAddr, Fault> {
    text.parse().map_err(|_| Fault::Address(key, text))
}

/// Reads a configuration; the environment, where it tells the same, comes first.
fn read(file: File, var: impl Fn(&str) -> Option<String>) -> Result<Config, Fault> {
    let address = |key: &'static str, given: Option<String>| {
        parse(key, var(key).or(given).ok_or(Fault::Missing(key))?)
    };
    let settings = settings(&file)?;
    Ok(Config {
        name: var("LB_NAME").or(file.name).unwrap_or_default(),
        listen: address("LB_LISTEN", file.listen)?,
        discovery: address("LB_DISCOVERY", file.discovery)?,
        seed: seed(&file.seed),
        limits: file.limits,
        known: file.known.and_then(known),
        settings,
        names: chutegrade_settings::names(&file.settings),
        tick_ms: chutegrade_settings::tick_ms(&file.settings),
        connect_ms: chutegrade_settings::connect_ms(&file.settings).unwrap_or(CONNECT_MS),
    })
}

/// A list in the file that cannot be read is like none: discovery tells the rest. Of one that can be read in part
/// discovery tells all that came since the first version.
fn known(json: Value) -> Option<(u64, Report)> {
    match messages::targets_in(json) {
        Ok(Targets {
            index,
            entries,
            unreadable,
            ..
        }) => {
            if unreadable > 0 {
                tracing::warn!(unreadable, "entries of the known list can't be read");
            }
            let index = if unreadable > 0 { 0 } else { index };
            Some((
                index,
                Report::EndpointList(EndpointUpdateKind::CachedSnapshot, entries),
            ))
        }
        Err(fault) => {
            tracing::warn!(%fault, "the known list cannot be read");
            None
        }
    }
}

/// Seeds are 16 hexadecimal digits; whatever else is given still tells supervisors apart.
fn seed(given: &Value) -> u64 {
    let text = given
        .as_str()
        .map_or_else(|| given.to_string(), str::to_string);
    let mixed = |text: &str| {
        text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
    };
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| mixed(&text))
}

#[cfg(test)]
mod tests;
