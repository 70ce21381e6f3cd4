//! The operators' own file: protobuf text format after `proto/operator.proto`. It is read whole or not at all; each fault
//! names its line and what would be right. What it does not say is off.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chutegrade_limits::{Class, OverloadConfig};
use chutegrade_textproto::find;
pub use chutegrade_textproto::Place;

/// The types of the schema, as generated.
#[allow(missing_docs)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/chutegrade.operator.v1.rs"));
}

const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));
const MESSAGE: &str = "chutegrade.operator.v1.Operator";

/// Longest file that is read, in bytes: far beyond any that a person writes.
const LENGTH_MOST: u64 = 1 << 20;
/// Least size that records may be held to, in MiB: the segment being written and a sealed one.
const KEEP_MIB_LEAST: u64 = 24;
/// Most hours that records may be kept: ten years.
const KEEP_HOURS_MOST: u64 = 87_600;
/// Least and most of the processor time for background work, in milliseconds in any ten seconds: the index of a segment is
/// made in steps of some ten, and one core has 10,000.
const CPU_MS: (u64, u64) = (200, 10_000);
/// Least bytes for background work, in MiB in any ten seconds: a step of the index takes four.
const MIB_LEAST: u64 = 8;
/// Plug-ins at most: what the host of plug-ins takes.
const PLUGINS_MOST: usize = 32;
/// Figures that hold where the file says nothing.
const KEEP_MIB: u64 = 1024;
const KEEP_HOURS: u64 = 168;
const BUDGET: (u64, u64) = (500, 64);

/// One thing that is wrong with the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file.
    pub path: PathBuf,
    /// Where it is, if it has a place.
    pub position: Option<Place>,
    /// What is wrong, and what would be right.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.path.display())?;
        if let Some(Place { line, column }) = self.position {
            write!(f, ":{line}:{column}")?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for ConfigError {}

/// Where records go, and what they may cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordingConfig {
    /// The directory in which each supervisor has its own.
    pub directory: PathBuf,
    /// Bytes that are kept of each supervisor.
    pub max_bytes: u64,
    /// How long they are kept.
    pub max_age: Duration,
    /// Processor time that background work may take in any ten seconds.
    pub background_time: Duration,
    /// Bytes that it may read and write in any ten seconds.
    pub background_bytes: u64,
}

/// How the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Plain,
    /// One JSON object a line.
    Json,
}

/// What the operators switched on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Records, if wanted.
    pub records: Option<RecordingConfig>,
    /// The log's form.
    pub log: LogFormat,
    /// Texts of plug-ins, in their order.
    pub plugins: Vec<PathBuf>,
    /// Reduced service, limits and budgets, as written; what depends on the classes is checked by [`Limits::plan`].
    pub limits: Option<LimitsSection>,
}

/// Limits as written, with the text that they stand in.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsSection {
    path: PathBuf,
    text: String,
    declaration: chutegrade_limits::pb::Limits,
}

impl LimitsSection {
    /// As written.
    pub fn declaration(&self) -> &chutegrade_limits::pb::Limits {
        &self.declaration
    }

    /// What they amount to for these classes; all faults at once. Without classes, only what does not depend on them is
    /// checked.
    pub fn overload_config(
        &self,
        classes: Option<&[Class]>,
    ) -> Result<OverloadConfig, Vec<ConfigError>> {
        OverloadConfig::read(&self.declaration, classes).map_err(|faults| {
            let fault = |of: &chutegrade_limits::ConfigError| ConfigError {
                path: self.path.clone(),
                position: of.place(&self.text),
                message: of.to_string(),
            };
            faults.iter().map(fault).collect()
        })
    }
}

/// Reads the file; all faults at once.
pub fn load(path: &Path) -> Result<OperatorConfig, Vec<ConfigError>> {
    let fault = |text: String| {
        vec![ConfigError {
            path: path.to_path_buf(),
            position: None,
            message: text,
        }]
    };
    let length = std::fs::metadata(path)
        .map_err(|io| fault(format!("cannot be opened: {io}")))?
        .len();
    if length > LENGTH_MOST {
        return Err(fault(format!(
            "{length} bytes are too long, at most {LENGTH_MOST} are read"
        )));
    }
    let text =
        std::fs::read_to_string(path).map_err(|io| fault(format!("cannot be read: {io}")))?;
    parse(path, &text)
}

/// Reads a text, as of a file with this name.
pub fn parse(path: &Path, text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
    let fault = |place, text| ConfigError {
        path: path.to_path_buf(),
        position: place,
        message: text,
    };
    let file: pb::Operator = chutegrade_textproto::parse(SCHEMA, MESSAGE, text)
        .map_err(|wrong| vec![fault(wrong.place, wrong.text)])?;
    let mut faults = Vec::new();
    let limits = file.limits.clone().map(|written| LimitsSection {
        path: path.into(),
        text: text.into(),
        declaration: written,
    });
    let operator = check(&file, &mut |field, said| {
        faults.push(fault(find(text, field), said))
    });
    faults.extend(
        limits
            .as_ref()
            .and_then(|limits| limits.overload_config(None).err())
            .unwrap_or_default(),
    );
    let operator = OperatorConfig { limits, ..operator };
    if faults.is_empty() {
        Ok(operator)
    } else {
        Err(faults)
    }
}

fn check(file: &pb::Operator, fault: &mut impl FnMut(&str, String)) -> OperatorConfig {
    let log = match file.log.as_ref().map(pb::Log::format) {
        Some(pb::log::Format::Json) => LogFormat::Json,
        _ => LogFormat::Plain,
    };
    let plugins = file
        .plugins
        .as_ref()
        .map(|plugins| check_plugins(plugins, fault))
        .unwrap_or_default();
    OperatorConfig {
        records: file
            .records
            .as_ref()
            .and_then(|records| check_records(records, fault)),
        log,
        plugins,
        limits: None,
    }
}

fn check_plugins(plugins: &pb::Plugins, fault: &mut impl FnMut(&str, String)) -> Vec<PathBuf> {
    if plugins.file.len() > PLUGINS_MOST {
        fault(
            "plugins",
            format!(
                "{} plug-ins are too many: at most {PLUGINS_MOST}",
                plugins.file.len()
            ),
        );
    }
    let files: Vec<PathBuf> = plugins.file.iter().map(PathBuf::from).collect();
    for file in files.iter().filter(|file| !file.is_absolute()) {
        fault(
            "file",
            format!(
                "{file:?} depends on where the program is started: give a path that begins with /"
            ),
        );
    }
    files
}

fn given(value: u64, usual: u64) -> u64 {
    if value == 0 {
        usual
    } else {
        value
    }
}

fn check_records(
    records: &pb::Records,
    fault: &mut impl FnMut(&str, String),
) -> Option<RecordingConfig> {
    if records.directory.is_empty() {
        fault(
            "records",
            "records without a directory: give directory: \"/var/lib/chutegrade\", or leave records out"
                .into(),
        );
        return None;
    }
    let directory = PathBuf::from(&records.directory);
    if !directory.is_absolute() {
        let said = format!(
            "{:?} depends on where the program is started: give a path that begins with /",
            records.directory
        );
        fault("directory", said);
    }
    let (mib, hours) = (
        given(records.keep_mib, KEEP_MIB),
        given(records.keep_hours, KEEP_HOURS),
    );
    if mib < KEEP_MIB_LEAST {
        fault(
            "keep_mib",
            format!("{mib} MiB hold less than two segments: give {KEEP_MIB_LEAST} or more"),
        );
    }
    if hours > KEEP_HOURS_MOST {
        fault(
            "keep_hours",
            format!("{hours} hours are too long: give {KEEP_HOURS_MOST} or fewer"),
        );
    }
    let budget = records.background.unwrap_or_default();
    let (cpu, bytes) = (given(budget.cpu_ms, BUDGET.0), given(budget.mib, BUDGET.1));
    if !(CPU_MS.0..=CPU_MS.1).contains(&cpu) {
        fault(
            "cpu_ms",
            format!(
                "{cpu} ms in any ten seconds: give {} to {}",
                CPU_MS.0, CPU_MS.1
            ),
        );
    }
    if bytes < MIB_LEAST {
        fault(
            "mib",
            format!("{bytes} MiB in any ten seconds are less than a step takes: give {MIB_LEAST} or more"),
        );
    }
    Some(RecordingConfig {
        directory,
        max_bytes: mib.saturating_mul(1 << 20),
        max_age: Duration::from_secs(hours.saturating_mul(3600)),
        background_time: Duration::from_millis(cpu),
        background_bytes: bytes.saturating_mul(1 << 20),
    })
}

#[cfg(test)]
mod tests;
