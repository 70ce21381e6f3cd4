//! Plug-ins at work: their texts read at the start and at SIGHUP, asked once a second, and what they advise handed to the
//! decisions as a report. A text that is wrong changes nothing; that the supervisor serves does not depend on any.

use std::cell::RefCell;
use std::path::{Path, PathBuf};

use chutegrade_plugin_advisor::PluginAdvisor;
use chutegrade_plugins::host::Word;
use chutegrade_records::{pb, Kind};

use crate::server::hub::Hub;

/// Longest text that is read, in bytes; the language takes far shorter ones.
const TEXT_MOST: u64 = 1 << 20;

/// The plug-ins of the operators' file.
pub struct Plugins {
    files: Vec<PathBuf>,
    rules: RefCell<PluginAdvisor>,
}

/// Reads one text that people write; the sentence of a fault names its file.
pub fn read_one(path: &Path) -> Result<String, String> {
    let shown = path.display();
    let length = std::fs::metadata(path)
        .map_err(|fault| format!("{shown}: {fault}"))?
        .len();
    if length > TEXT_MOST {
        return Err(format!(
            "{shown}: {length} bytes are too long, at most {TEXT_MOST} are read"
        ));
    }
    std::fs::read_to_string(path).map_err(|fault| format!("{shown}: {fault}"))
}

/// Reads texts with the names of their files.
pub fn read(files: &[PathBuf]) -> Result<Vec<(String, String)>, String> {
    files
        .iter()
        .map(|path| Ok((path.display().to_string(), read_one(path)?)))
        .collect()
}

impl Plugins {
    /// Plug-ins from these files; none is loaded yet.
    pub fn new(files: Vec<PathBuf>) -> Self {
        Plugins {
            files,
            rules: RefCell::default(),
        }
    }

    /// Whether the operators named none.
    pub fn is_none(&self) -> bool {
        self.files.is_empty()
    }

    /// Loads all texts anew, whole or not at all, and tells of each.
    pub fn load(&self, hub: &Hub) {
        let note = |name: &str, version, digest: String, refused: String| {
            hub.note(Kind::PluginLoaded(pb::PluginLoaded {
                name: name.to_string(),
                version,
                digest,
                refused,
            }));
        };
        let texts = match read(&self.files) {
            Ok(texts) => texts,
            Err(fault) => {
                tracing::error!(%fault, "plug-ins are not taken, those that were loaded stay");
                return note("all", 0, String::new(), fault);
            }
        };
        let loaded = self.rules.borrow_mut().load(&texts);
        match loaded {
            Ok(all) => {
                for (name, version, digest) in all {
                    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
                    tracing::info!(plugin = name, version, digest, "plug-in loaded");
                    note(&name, version, digest, String::new());
                }
            }
            Err(refused) => {
                for one in refused {
                    for fault in &one.faults {
                        tracing::error!(plugin = one.name, %fault, "plug-ins are not taken, those that were loaded stay");
                    }
                    let first = one
                        .faults
                        .first()
                        .map(ToString::to_string)
                        .unwrap_or_default();
                    note(&one.name, 0, String::new(), first);
                }
            }
        }
    }

    /// Asks all plug-ins if it is time, and hands on what they advise.
    pub fn turn(&self, hub: &Hub) {
        let words = self
            .rules
            .borrow_mut()
            .evaluate(hub.clock.now(), &mut hub.engine());
        for (name, word) in words {
            let (what, text) = match word {
                Word::Noted(text) => ("note", text),
                Word::Faulted(stopped) => ("fault", stopped.to_string()),
                Word::Advises(text, line) => ("advises", format!("{text}, by line {line}")),
                Word::Ends(text) => ("ends", text),
                Word::Paused(turns) => (
                    "paused",
                    format!("left alone for {turns} turns after faults"),
                ),
                Word::Differs(text) => ("differs", text),
            };
            if what == "paused" {
                tracing::warn!(plugin = %name, "{text}");
            }
            hub.note(Kind::PluginSaid(pb::PluginSaid {
                name: name.to_string(),
                what: what.to_string(),
                text,
            }));
        }
    }
}
