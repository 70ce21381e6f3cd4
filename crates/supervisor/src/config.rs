//! What the supervisor is told: the environment and the configuration file, at its start and when the file is replaced.
//!
//! At the start the environment comes before the file. At a reload the environment still says what it said at the start,
//! so what the file changed since it was last read comes first, and what it did not change stays as it is.

use std::net::SocketAddr;

use chutegrade_engine::{ListKind, Report, Settings};
use chutegrade_settings::Names;
use serde::Deserialize;
use serde_json::Value;

use crate::wire;

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
    Settings(#[from] chutegrade_settings::Unreadable),
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
    pub names: Names,
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
    Ok((config, Source { path, said, discovery }))
}

impl Source {
    /// Reads the file anew; on a fault nothing changes. The list that it holds as known is older than what discovery has
    /// told, and the seed is for a start: neither is looked at.
    pub fn reload(&mut self) -> Result<Reloaded, Fault> {
        self.take(load(&self.path)?)
    }

    fn take(&mut self, now: File) -> Result<Reloaded, Fault> {
        settings(&now)?;
        let given = now.discovery.clone().ok_or(Fault::Missing("LB_DISCOVERY"))?;
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
        let later = kept.into_iter().filter_map(|(key, changed)| changed.then_some(key)).collect();
        // Keys that wait for a start are told of at each reload until then.
        self.said.discovery = now.discovery;
        Ok(Reloaded { discovery: self.discovery, later })
    }
}

impl Config {
    /// What the settings contradict or leave open: a sentence each, for the log at a start and for `check`.
    pub fn doubts(&self) -> Vec<String> {
        let servers = match &self.known {
            Some((_, Report::List(_, entries))) => entries.len(),
            _ => 0,
        };
        chutegrade_settings::doubts(&self.settings, servers)
    }
}

/// What is wrong with a configuration, as a start without an environment would find; JSON faults tell line and column. Or
/// else what it contradicts or leaves open.
pub fn check(path: &str) -> Result<Vec<String>, Fault> {
    load(path).and_then(|file| read(file, |_| None)).map(|config| config.doubts())
}

/// The classes that a configuration holds, as limits need them.
pub fn classes(path: &str) -> Result<Vec<chutegrade_limits::Class>, Fault> {
    let config = load(path).and_then(|file| read(file, |_| None))?;
    let names = config.names;
    let engine = chutegrade_engine::Engine::new(config.settings, 0, names.zones, names.classes, names.kinds);
    Ok(chutegrade_levels::classes(&engine))
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
    let address =
        |key: &'static str, given: Option<String>| parse(key, var(key).or(given).ok_or(Fault::Missing(key))?);
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

/// A list in the file that cannot be read is like none: discovery tells the rest.
fn known(json: Value) -> Option<(u64, Report)> {
    match wire::targets_in(json) {
        Ok(targets) => Some((targets.index, Report::List(ListKind::WarmCopy, targets.entries))),
        Err(fault) => {
            tracing::warn!(%fault, "the known list cannot be read");
            None
        }
    }
}

/// Seeds are 16 hexadecimal digits; whatever else is given still tells supervisors apart.
fn seed(given: &Value) -> u64 {
    let text = given.as_str().map_or_else(|| given.to_string(), str::to_string);
    let mixed = |text: &str| {
        text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
    };
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| mixed(&text))
}

#[cfg(test)]
mod tests {
    use super::*;

    const WHOLE: &str = r#"{"name":"n3","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
        "known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","status":"up"}]},
        "settings":{"zones":["a","b"],"kinds":["m"],"classes":[{"name":"lookup"}],"tickMs":4.0,
                    "limits":{"connectTimeoutMs":250.0}}}"#;

    fn read(text: &[u8], var: impl Fn(&str) -> Option<String>) -> Result<Config, Fault> {
        super::read(serde_json::from_slice(text)?, var)
    }

    fn file(text: &str) -> File {
        serde_json::from_str(text).expect("a file")
    }

    fn none(_: &str) -> Option<String> {
        None
    }

    #[test]
    fn a_whole_configuration_is_read() {
        let config = read(WHOLE.as_bytes(), none).expect("a configuration");
        assert_eq!(
            (config.name.as_str(), config.seed, config.limits.sockets),
            ("n3", 0x8c1f_30d2_7a5b_e964, 512)
        );
        assert_eq!((config.tick_ms, config.connect_ms), (4.0, 250.0));
        assert_eq!(config.names.classes, ["lookup"]);
        let Some((41, Report::List(ListKind::WarmCopy, entries))) = config.known else {
            panic!("no known list")
        };
        assert_eq!(entries.len(), 1);
    }

    #[test]
    fn the_environment_comes_first() {
        let var = |key: &str| (key == "LB_LISTEN").then(|| "127.0.0.9:1".to_string());
        let config = read(WHOLE.as_bytes(), var).expect("a configuration");
        assert_eq!(config.listen.to_string(), "127.0.0.9:1");
    }

    #[test]
    fn what_is_wrong_is_said_in_one_sentence() {
        let changed = |from: &str, to: &str| read(WHOLE.replace(from, to).as_bytes(), none).map(|_| ());
        let says = |result: Result<(), Fault>, words: &str| {
            let said = result.expect_err(words).to_string();
            assert!(said.contains(words) && !said.contains('\n'), "{said}");
        };
        says(read(b"", none).map(|_| ()), "the configuration cannot be read");
        says(changed("127.0.0.1:5000", "nowhere"), "LB_LISTEN is no address");
        says(changed("\"discovery\"", "\"unused\""), "LB_DISCOVERY is not set");
        says(changed("\"settings\":{", "\"settings\":7,\"unused\":{"), "the settings cannot be read");
        says(changed("\"tickMs\":4.0", "\"familyInfo\":{\"shards\":8}"), "slices");
    }

    #[test]
    fn a_known_list_that_can_not_be_read_is_none() {
        let text = WHOLE.replace("\"index\":41", "\"index\":\"x\"");
        assert!(read(text.as_bytes(), none).expect("a configuration").known.is_none());
    }

    /// Danger: the environment names the address of the start for good; a supervisor that believes it after a reload asks
    /// an agent that is gone.
    #[test]
    fn what_the_file_changed_comes_before_the_environment() {
        let started: SocketAddr = "127.0.0.8:8500".parse().expect("an address");
        let mut source = Source { path: String::new(), said: file(WHOLE), discovery: started };
        // The file says what it said at the start: the environment's address stays.
        assert_eq!(source.take(file(WHOLE)).expect("a file").discovery, started);
        let moved = WHOLE.replace("127.0.0.1:8500", "127.0.0.2:8500");
        for _ in 0..2 {
            let reloaded = source.take(file(&moved)).expect("a file");
            assert_eq!(
                (reloaded.discovery.to_string().as_str(), reloaded.later.len()),
                ("127.0.0.2:8500", 0)
            );
        }
        assert_eq!(source.take(file(WHOLE)).expect("a file").discovery.to_string(), "127.0.0.1:8500");
    }

    /// Danger: a reload that takes half of a file runs on what nobody wrote.
    #[test]
    fn a_reload_is_taken_whole_or_not_at_all() {
        let started: SocketAddr = "127.0.0.1:8500".parse().expect("an address");
        let mut source = Source { path: String::new(), said: file(WHOLE), discovery: started };
        let moved = WHOLE.replace("127.0.0.1:8500", "127.0.0.2:8500");
        for (from, to) in [("127.0.0.2:8500", "nowhere"), ("\"settings\":{", "\"settings\":7,\"unused\":{")] {
            assert!(source.take(file(&moved.replace(from, to))).is_err());
        }
        assert!(source.reload().is_err(), "there is no such file");
        assert_eq!(source.discovery, started);
        let more = moved.replace("\"sockets\":512", "\"sockets\":64").replace("\"n3\"", "\"n4\"");
        for _ in 0..2 {
            let reloaded = source.take(file(&more)).expect("a file");
            assert_eq!(reloaded.later, ["name", "limits"], "said until the program starts anew");
        }
    }
}
