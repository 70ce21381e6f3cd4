//! Records events if the operators' file configures records; otherwise discards them.

use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use chutegrade_engine::Micros;
use chutegrade_operator_config::RecordingConfig;
use chutegrade_records::maintenance::Retention;
use chutegrade_records::recorder::{self, Options};
use chutegrade_records::{Kind, Recorder, Recording};
use chutegrade_scheduler::Cost;

use crate::shared::clock::Clock;

/// Maximum length of a directory name, in characters; longer supervisor names are truncated.
const MAX_DIRECTORY_NAME_CHARS: usize = 100;

/// A handle to the recorder; clones refer to the same one.
#[derive(Clone, Default)]
pub struct EventRecorder {
    active: Option<Rc<ActiveRecorder>>,
}

struct ActiveRecorder {
    clock: Clock,
    directory: PathBuf,
    recorder: Recorder,
    recording: Cell<Option<Recording>>,
}

impl EventRecorder {
    /// Creates a recorder that discards all events.
    pub fn disabled() -> Self {
        EventRecorder::default()
    }

    /// Starts recording for a supervisor. An unusable directory is not an error: the supervisor serves without records.
    ///
    /// # Errors
    ///
    /// If the writer thread cannot be started.
    pub fn open(config: &RecordingConfig, supervisor: &str, clock: Clock) -> std::io::Result<Self> {
        let directory = config.directory.join(directory_name(supervisor));
        let options = Options {
            directory: directory.clone(),
            supervisor: supervisor.to_string(),
            retention: Retention {
                bytes: config.max_bytes,
                age: config.max_age,
            },
            budget: Cost {
                time: config.background_time,
                bytes: config.background_bytes,
            },
        };
        let (recorder, recording) = recorder::begin(options, move || clock.now().0)?;
        Ok(EventRecorder {
            active: Some(Rc::new(ActiveRecorder {
                clock,
                directory,
                recorder,
                recording: Cell::new(Some(recording)),
            })),
        })
    }

    /// Returns whether records are kept.
    pub fn is_enabled(&self) -> bool {
        self.active.is_some()
    }

    /// Returns the directory of the records, if records are kept.
    pub fn directory(&self) -> Option<&Path> {
        self.active
            .as_ref()
            .map(|active| active.directory.as_path())
    }

    /// Records an event that occurs now.
    pub fn record(&self, kind: Kind) {
        let Some(active) = &self.active else { return };
        let now = active.clock.now();
        active.recorder.note(now.0, now.0, kind);
    }

    /// Records an event with the times at which it occurred and was observed.
    pub fn record_at(&self, occurred_at: Micros, observed_at: Micros, kind: Kind) {
        if let Some(active) = &self.active {
            active.recorder.note(occurred_at.0, observed_at.0, kind);
        }
    }

    /// Writes pending records to disk, waiting for at most `within`.
    pub fn close(&self, within: Duration) {
        let recording = self
            .active
            .as_ref()
            .and_then(|active| active.recording.take());
        let Some(recording) = recording else { return };
        if !recording.close_within(within) {
            tracing::warn!("the last records may not have reached the disk");
        }
    }
}

/// Returns the directory name for a supervisor, whose configured name must not act as a path.
fn directory_name(supervisor: &str) -> String {
    let name: String = supervisor
        .chars()
        .take(MAX_DIRECTORY_NAME_CHARS)
        .map(directory_character)
        .collect();
    match name.trim_matches('.') {
        "" => "supervisor".to_string(),
        name => name.to_string(),
    }
}

/// Replaces a character that is not allowed in directory names with an underscore.
fn directory_character(character: char) -> char {
    let is_allowed = character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.');
    if is_allowed {
        character
    } else {
        '_'
    }
}

#[cfg(test)]
mod tests;
