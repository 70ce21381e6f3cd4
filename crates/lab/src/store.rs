//! Results: one JSON line a run, appended and flushed as runs end. A line torn by a kill is taken off at the next start; a
//! run that is there is never counted again.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// A rule that was broken in a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Broken {
    pub rule: String,
    pub times: u64,
    pub at_s: f64,
    pub how: String,
}

/// One run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Result {
    pub case: String,
    pub variant: String,
    /// Of scenario and variant, of the program, and of chance: together they decide all that follows.
    pub digest: String,
    pub build: String,
    pub seed: u64,
    pub figures: BTreeMap<String, f64>,
    /// Service by class.
    pub classes: BTreeMap<String, f64>,
    /// Service by second, for charts.
    pub seconds: Vec<f32>,
    pub broken: Vec<Broken>,
    pub events: u64,
}

/// A fault of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// It can't be read or written.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// Another build's program failed; nothing of the lot is kept.
    #[error("{0}")]
    AlternativePolicy(String),
    /// A line in its middle is none of ours.
    #[error("{0}:{1}: no result: {2}")]
    InvalidLine(PathBuf, usize, String),
}

/// What makes two runs the same.
pub type Key = (String, String, u64);

/// A file of results.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
    known: BTreeSet<Key>,
    results: Vec<Result>,
}

impl Store {
    /// Opens the results of a directory, or begins them.
    pub fn open(directory: &Path) -> std::result::Result<Self, StoreError> {
        let path = directory.join("results.jsonl");
        let io = |fault| StoreError::Io(path.clone(), fault);
        std::fs::create_dir_all(directory).map_err(io)?;
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .map_err(io)?;
        let bytes = std::fs::read(&path).map_err(io)?;
        let whole = bytes
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |at| at + 1);
        if whole < bytes.len() {
            // What a kill left of a line.
            file.set_len(whole as u64).map_err(io)?;
        }
        let mut store = Store {
            path: path.clone(),
            file,
            known: BTreeSet::new(),
            results: Vec::new(),
        };
        for (number, line) in bytes[..whole]
            .split(|byte| *byte == b'\n')
            .enumerate()
            .filter(|(_, line)| !line.is_empty())
        {
            let result: Result = serde_json::from_slice(line).map_err(|fault| {
                StoreError::InvalidLine(path.clone(), number + 1, fault.to_string())
            })?;
            store.keep(result);
        }
        Ok(store)
    }

    fn keep(&mut self, result: Result) {
        let key = (result.digest.clone(), result.build.clone(), result.seed);
        if self.known.insert(key) {
            self.results.push(result);
        }
    }

    /// Whether a run is there.
    pub fn has(&self, digest: &str, build: &str, seed: u64) -> bool {
        self.known
            .contains(&(digest.to_string(), build.to_string(), seed))
    }

    /// Appends runs; on return they are on the disk.
    pub fn add(&mut self, results: Vec<Result>) -> std::result::Result<(), StoreError> {
        let io = |fault| StoreError::Io(self.path.clone(), fault);
        let mut lines = Vec::new();
        for result in &results {
            let line = serde_json::to_string(result).map_err(|fault| io(fault.into()))?;
            lines.extend_from_slice(line.as_bytes());
            lines.push(b'\n');
        }
        self.file.write_all(&lines).map_err(io)?;
        self.file.sync_data().map_err(io)?;
        results.into_iter().for_each(|result| self.keep(result));
        Ok(())
    }

    /// All runs, in the order in which they ended.
    pub fn results(&self) -> &[Result] {
        &self.results
    }

    /// Runs of a scenario with a variant, by seed.
    pub fn of(&self, digest: &str, build: &str) -> BTreeMap<u64, &Result> {
        let own = self
            .results
            .iter()
            .filter(|result| result.digest == digest && result.build == build);
        own.map(|result| (result.seed, result)).collect()
    }
}

#[cfg(test)]
mod tests;
