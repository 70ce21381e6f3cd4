//! Plug-ins: their texts are read at the start and at SIGHUP, they are evaluated once a second, and their advice goes to the
//! engine as a report. A text that is wrong changes nothing; whether the supervisor serves does not depend on any.

use std::cell::RefCell;
use std::path::{Path, PathBuf};

use chutegrade_plugin_advisor::PluginAdvisor;
use chutegrade_plugins::host::{Refused, Word};
use chutegrade_records::{pb, Kind};

use crate::server::errors::TextFileError;
use crate::shared::clock::Clock;
use crate::shared::engine_handle::EngineHandle;
use crate::shared::event_recorder::EventRecorder;

/// Longest text that is read, in bytes; the language takes far shorter ones.
const MAX_TEXT_BYTES: u64 = 1 << 20;

/// What plug-ins use.
pub struct PluginContext {
    /// Takes advice, and gives what it is based on.
    pub engine: EngineHandle,
    /// Records what plug-ins do.
    pub recorder: EventRecorder,
    /// The time base.
    pub clock: Clock,
}

/// The plug-ins of the operators' file.
pub struct Plugins {
    context: PluginContext,
    files: Vec<PathBuf>,
    advisor: RefCell<PluginAdvisor>,
}

/// What is recorded of one plug-in that was loaded or rejected.
#[derive(Default)]
struct LoadRecord {
    name: String,
    version: u32,
    digest: String,
    rejection: String,
}

/// Reads one text that people write.
///
/// # Errors
///
/// If the file cannot be read, is too long or no UTF-8.
pub fn read_one(path: &Path) -> Result<String, TextFileError> {
    let io_error = |error| TextFileError::Io {
        path: path.to_path_buf(),
        error,
    };
    let bytes = std::fs::metadata(path).map_err(io_error)?.len();
    if bytes > MAX_TEXT_BYTES {
        return Err(TextFileError::TooLong {
            path: path.to_path_buf(),
            bytes,
            max_bytes: MAX_TEXT_BYTES,
        });
    }
    std::fs::read_to_string(path).map_err(io_error)
}

/// Reads texts, each with the name of its file.
///
/// # Errors
///
/// If one of them cannot be read.
pub fn read(files: &[PathBuf]) -> Result<Vec<(String, String)>, TextFileError> {
    files
        .iter()
        .map(|path| Ok((path.display().to_string(), read_one(path)?)))
        .collect()
}

impl Plugins {
    /// Plug-ins from these files; none is loaded yet.
    pub fn new(context: PluginContext, files: Vec<PathBuf>) -> Self {
        Plugins {
            context,
            files,
            advisor: RefCell::default(),
        }
    }

    /// Loads all texts anew, complete or not at all. Does nothing if the operators named none.
    pub fn load(&self) {
        if self.files.is_empty() {
            return;
        }
        let texts = match read(&self.files) {
            Ok(texts) => texts,
            Err(error) => {
                tracing::error!(fault = %error, "plug-ins rejected, those that were loaded stay");
                self.record_load(LoadRecord {
                    name: "all".to_string(),
                    rejection: error.to_string(),
                    ..LoadRecord::default()
                });
                return;
            }
        };
        let loaded = self.advisor.borrow_mut().load(&texts);
        match loaded {
            Ok(plugins) => {
                for (name, version, digest) in plugins {
                    self.log_loaded(name, version, &digest);
                }
            }
            Err(rejected) => {
                for plugin in rejected {
                    self.log_rejected(plugin);
                }
            }
        }
    }

    /// Evaluates all plug-ins if it is time, and hands their advice on.
    pub fn evaluate(&self) {
        let now = self.context.clock.now();
        let mut advisor = self.advisor.borrow_mut();
        let events = advisor.evaluate(now, &mut self.context.engine.borrow_mut());
        for (name, event) in events {
            self.record_event(&name, event);
        }
    }

    fn log_loaded(&self, name: String, version: u32, digest: &[u8]) {
        let digest = hexadecimal(digest);
        tracing::info!(plugin = name, version, digest, "plug-in loaded");
        self.record_load(LoadRecord {
            name,
            version,
            digest,
            ..LoadRecord::default()
        });
    }

    fn log_rejected(&self, rejected: Refused) {
        for fault in &rejected.faults {
            tracing::error!(plugin = rejected.name, %fault, "plug-ins rejected, those that were loaded stay");
        }
        let first_fault = rejected.faults.first();
        self.record_load(LoadRecord {
            name: rejected.name,
            rejection: first_fault.map(ToString::to_string).unwrap_or_default(),
            ..LoadRecord::default()
        });
    }

    fn record_load(&self, record: LoadRecord) {
        self.context
            .recorder
            .record(Kind::PluginLoaded(pb::PluginLoaded {
                name: record.name,
                version: record.version,
                digest: record.digest,
                refused: record.rejection,
            }));
    }

    fn record_event(&self, name: &str, event: Word) {
        if let Word::Paused(turns) = event {
            tracing::warn!(plugin = %name, "{}", pause_text(turns));
        }
        let (what, text) = describe(event);
        self.context
            .recorder
            .record(Kind::PluginSaid(pb::PluginSaid {
                name: name.to_string(),
                what: what.to_string(),
                text,
            }));
    }
}

/// An event's code and text, as they are recorded.
fn describe(event: Word) -> (&'static str, String) {
    match event {
        Word::Noted(text) => ("note", text),
        Word::Faulted(stopped) => ("fault", stopped.to_string()),
        Word::Advises(text, line) => ("advises", format!("{text}, by line {line}")),
        Word::Ends(text) => ("ends", text),
        Word::Paused(turns) => ("paused", pause_text(turns)),
        Word::Differs(text) => ("differs", text),
    }
}

fn pause_text(turns: u64) -> String {
    format!("left alone for {turns} turns after faults")
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
