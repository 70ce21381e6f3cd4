//! Plug-ins: loads them at startup and at SIGHUP, evaluates them once a second, and reports their advice to the engine. If
//! a file is invalid, the loaded plug-ins stay active; the supervisor serves in any case.

use std::cell::RefCell;
use std::path::PathBuf;

use chutegrade_plugin_advisor::PluginAdvisor;
use chutegrade_plugins::host::{PluginEvent, RejectedPlugin};
use chutegrade_records::{pb, Kind};

use crate::hexadecimal;
use crate::shared::clock::Clock;
use crate::shared::engine_handle::EngineHandle;
use crate::shared::event_recorder::EventRecorder;
use crate::text_file;

/// Dependencies of plug-ins.
pub struct PluginContext {
    /// Provides the inputs of plug-ins and receives their advice.
    pub engine: EngineHandle,
    /// Records loaded and rejected plug-ins, and their events.
    pub recorder: EventRecorder,
    /// Time source of evaluations.
    pub clock: Clock,
}

/// The plug-ins of the operators' file.
pub struct Plugins {
    context: PluginContext,
    files: Vec<PathBuf>,
    advisor: RefCell<PluginAdvisor>,
}

/// The record of a plug-in that was loaded or rejected.
#[derive(Default)]
struct LoadRecord {
    name: String,
    version: u32,
    digest: String,
    rejection: String,
}

impl Plugins {
    /// Creates the plug-ins of these files without loading them.
    pub fn new(context: PluginContext, files: Vec<PathBuf>) -> Self {
        Plugins {
            context,
            files,
            advisor: RefCell::default(),
        }
    }

    /// Loads all files, or none if any of them is invalid. Does nothing if there are none.
    pub fn load(&self) {
        if self.files.is_empty() {
            return;
        }
        let texts = match text_file::read_all(&self.files) {
            Ok(texts) => texts,
            Err(error) => {
                tracing::error!(fault = %error, "plug-ins rejected, the loaded ones stay active");
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

    /// Evaluates all plug-ins if they are due, and reports their advice to the engine.
    pub fn evaluate(&self) {
        let now = self.context.clock.now();
        let mut advisor = self.advisor.borrow_mut();
        let events = advisor.evaluate(now, &mut self.context.engine.borrow_mut());
        for (name, event) in events {
            self.record_event(&name, event);
        }
    }

    fn log_loaded(&self, name: String, version: u32, digest: &[u8]) {
        let digest = hexadecimal::encode(digest);
        tracing::info!(plugin = name, version, digest, "plug-in loaded");
        self.record_load(LoadRecord {
            name,
            version,
            digest,
            ..LoadRecord::default()
        });
    }

    fn log_rejected(&self, rejected: RejectedPlugin) {
        for fault in &rejected.diagnostics {
            tracing::error!(plugin = rejected.name, %fault, "plug-ins rejected, the loaded ones stay active");
        }
        let first_fault = rejected.diagnostics.first();
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

    fn record_event(&self, name: &str, event: PluginEvent) {
        if let PluginEvent::Suspended(evaluations) = event {
            tracing::warn!(plugin = %name, "{}", pause_text(evaluations));
        }
        let record = event_record(name.to_string(), event);
        self.context.recorder.record(Kind::PluginSaid(record));
    }
}

/// Converts an event of a plug-in to its record.
fn event_record(name: String, event: PluginEvent) -> pb::PluginSaid {
    let (what, text) = match event {
        PluginEvent::Noted(text) => ("note", text),
        PluginEvent::Faulted(fault) => ("fault", fault.to_string()),
        PluginEvent::AdviceStarted(text, line) => ("advises", format!("{text}, by line {line}")),
        PluginEvent::AdviceEnded(text) => ("ends", text),
        PluginEvent::Suspended(evaluations) => ("paused", pause_text(evaluations)),
        PluginEvent::Conflicted(text) => ("differs", text),
    };
    pb::PluginSaid {
        name,
        what: what.to_string(),
        text,
    }
}

fn pause_text(evaluations: u64) -> String {
    format!("paused for {evaluations} evaluations after faults")
}
