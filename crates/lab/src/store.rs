//! Stored results: one JSON line per run, appended and synced to disk in batches of runs. An incomplete last line, left
//! by a kill, is removed when the store is opened; a run that is stored is not counted twice.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// A rule that a run broke, and how often.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Broken {
    pub rule: String,
    pub times: u64,
    pub at_s: f64,
    pub how: String,
}

/// The result of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Result {
    pub case: String,
    pub variant: String,
    /// Digest of scenario, variant and recorded traffic; together with build and seed it determines the figures below.
    pub digest: String,
    pub build: String,
    pub seed: u64,
    pub figures: BTreeMap<String, f64>,
    /// Service, by class.
    pub classes: BTreeMap<String, f64>,
    /// Service in each second, for charts.
    pub seconds: Vec<f32>,
    pub broken: Vec<Broken>,
    pub events: u64,
}

/// Why results cannot be read or added.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file or directory cannot be read or written.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// The program of an alternative policy failed; no run of its batch is stored.
    #[error("{0}")]
    AlternativePolicy(String),
    /// A complete line is not a result.
    #[error("{0}:{1}: invalid result: {2}")]
    InvalidLine(PathBuf, usize, String),
}

/// Identifies a run: digest, build and seed.
pub type Key = (String, String, u64);

/// The results file of a directory, `results.jsonl`.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
    keys: BTreeSet<Key>,
    results: Vec<Result>,
}

impl Store {
    /// Opens the results of a directory, and creates both if they do not exist.
    pub fn open(directory: &Path) -> std::result::Result<Self, StoreError> {
        let path = directory.join("results.jsonl");
        let io_error = |error| StoreError::Io(path.clone(), error);
        std::fs::create_dir_all(directory).map_err(io_error)?;
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .map_err(io_error)?;
        let bytes = std::fs::read(&path).map_err(io_error)?;
        let complete_length = bytes
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |index| index + 1);
        if complete_length < bytes.len() {
            // Removes an incomplete line that a kill left.
            file.set_len(complete_length as u64).map_err(io_error)?;
        }
        let mut store = Store {
            path: path.clone(),
            file,
            keys: BTreeSet::new(),
            results: Vec::new(),
        };
        for (index, line) in bytes[..complete_length]
            .split(|byte| *byte == b'\n')
            .enumerate()
            .filter(|(_, line)| !line.is_empty())
        {
            let result: Result = serde_json::from_slice(line).map_err(|error| {
                StoreError::InvalidLine(path.clone(), index + 1, error.to_string())
            })?;
            store.insert(result);
        }
        Ok(store)
    }

    fn insert(&mut self, result: Result) {
        let key = (result.digest.clone(), result.build.clone(), result.seed);
        if self.keys.insert(key) {
            self.results.push(result);
        }
    }

    /// Returns whether a run is stored.
    pub fn contains(&self, digest: &str, build: &str, seed: u64) -> bool {
        self.keys
            .contains(&(digest.to_string(), build.to_string(), seed))
    }

    /// Appends runs and syncs them to disk.
    pub fn append(&mut self, results: Vec<Result>) -> std::result::Result<(), StoreError> {
        let io_error = |error| StoreError::Io(self.path.clone(), error);
        let mut lines = Vec::new();
        for result in &results {
            let line = serde_json::to_string(result).map_err(|error| io_error(error.into()))?;
            lines.extend_from_slice(line.as_bytes());
            lines.push(b'\n');
        }
        self.file.write_all(&lines).map_err(io_error)?;
        self.file.sync_data().map_err(io_error)?;
        results.into_iter().for_each(|result| self.insert(result));
        Ok(())
    }

    /// Returns all runs, in the order in which they were stored.
    pub fn results(&self) -> &[Result] {
        &self.results
    }

    /// Returns the runs of an arm, given its digest, with one build, by seed.
    pub fn runs_of(&self, digest: &str, build: &str) -> BTreeMap<u64, &Result> {
        let runs = self
            .results
            .iter()
            .filter(|result| result.digest == digest && result.build == build);
        runs.map(|result| (result.seed, result)).collect()
    }
}

#[cfg(test)]
mod tests;
