//! Checks of everything that does not depend on the classes, and the defaults of absent fields.

use std::fmt::Debug;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chutegrade_textproto::find_field;

use crate::{pb, ConfigError, LogFormat, OperatorConfig, RecordingConfig};

/// Minimum limit on the size of records, in MiB: enough for the segment being written and a sealed one.
const MIN_RECORDS_MIB: u64 = 24;
/// Maximum retention of records, in hours: ten years.
const MAX_RECORDS_HOURS: u64 = 87_600;
/// Limits on the processor time of background work, in milliseconds in any ten seconds: a step of building the index of
/// a segment takes some 10 ms, and one core has 10,000 ms.
const CPU_MS_RANGE: RangeInclusive<u64> = 200..=10_000;
/// Minimum limit on the bytes of background work, in MiB in any ten seconds: a step of building the index takes 4 MiB.
const MIN_BACKGROUND_MIB: u64 = 8;
/// Maximum number of plug-ins, which is also the limit of the plug-in host.
const MAX_PLUGINS: usize = 32;

/// Default limit on the size of records, in MiB.
const DEFAULT_RECORDS_MIB: u64 = 1024;
/// Default retention of records, in hours.
const DEFAULT_RECORDS_HOURS: u64 = 168;
/// Default processor time of background work, in milliseconds in any ten seconds.
const DEFAULT_CPU_MS: u64 = 500;
/// Default bytes of background work, in MiB in any ten seconds.
const DEFAULT_BACKGROUND_MIB: u64 = 64;

const BYTES_PER_MIB: u64 = 1 << 20;
const SECONDS_PER_HOUR: u64 = 3600;

/// Checks a file and collects its errors.
pub struct Checker<'a> {
    path: &'a Path,
    text: &'a str,
    errors: Vec<ConfigError>,
}

impl<'a> Checker<'a> {
    /// Creates a checker for the file at this path; errors have their positions in the text.
    pub fn new(path: &'a Path, text: &'a str) -> Self {
        Checker {
            path,
            text,
            errors: Vec::new(),
        }
    }

    /// Returns all errors that were found, in the order of the checks.
    pub fn into_errors(self) -> Vec<ConfigError> {
        self.errors
    }

    /// Checks the file and returns its configuration without the limits, which is valid only if there are no errors.
    pub fn check(&mut self, file: &pb::Operator) -> OperatorConfig {
        let plugins = file.plugins.as_ref();
        let plugins = plugins.map(|plugins| self.check_plugins(plugins));
        let records = file.records.as_ref();
        let records = records.and_then(|records| self.check_records(records));
        OperatorConfig {
            records,
            log: log_format(file),
            plugins: plugins.unwrap_or_default(),
            limits: None,
        }
    }

    /// Adds an error at the first occurrence of the field's name.
    fn error(&mut self, field: &str, message: String) {
        self.errors.push(ConfigError {
            path: self.path.to_path_buf(),
            position: find_field(self.text, field),
            message,
        });
    }

    fn check_plugins(&mut self, plugins: &pb::Plugins) -> Vec<PathBuf> {
        let count = plugins.file.len();
        if count > MAX_PLUGINS {
            self.error(
                "plugins",
                format!("{count} plug-ins are declared: at most {MAX_PLUGINS} are accepted"),
            );
        }
        let files: Vec<PathBuf> = plugins.file.iter().map(PathBuf::from).collect();
        for file in &files {
            self.check_absolute("file", file, file);
        }
        files
    }

    /// `shown` is the path as the message quotes it.
    fn check_absolute(&mut self, field: &str, path: &Path, shown: &impl Debug) {
        if !path.is_absolute() {
            self.error(
                field,
                format!("{shown:?} is a relative path: give a path that begins with /"),
            );
        }
    }

    fn check_records(&mut self, records: &pb::Records) -> Option<RecordingConfig> {
        if records.directory.is_empty() {
            self.error(
                "records",
                "records has no directory: give directory: \"/var/lib/chutegrade\", or remove records"
                    .to_string(),
            );
            return None;
        }
        let directory = PathBuf::from(&records.directory);
        self.check_absolute("directory", &directory, &records.directory);
        let max_size_mib = or_default(records.keep_mib, DEFAULT_RECORDS_MIB);
        let max_age_hours = or_default(records.keep_hours, DEFAULT_RECORDS_HOURS);
        self.check_retention(max_size_mib, max_age_hours);
        let budget = records.background.unwrap_or_default();
        let cpu_ms = or_default(budget.cpu_ms, DEFAULT_CPU_MS);
        let background_mib = or_default(budget.mib, DEFAULT_BACKGROUND_MIB);
        self.check_budget(cpu_ms, background_mib);
        Some(RecordingConfig {
            directory,
            max_bytes: max_size_mib.saturating_mul(BYTES_PER_MIB),
            max_age: Duration::from_secs(max_age_hours.saturating_mul(SECONDS_PER_HOUR)),
            background_time: Duration::from_millis(cpu_ms),
            background_bytes: background_mib.saturating_mul(BYTES_PER_MIB),
        })
    }

    fn check_retention(&mut self, max_size_mib: u64, max_age_hours: u64) {
        if max_size_mib < MIN_RECORDS_MIB {
            self.error(
                "keep_mib",
                format!("keep_mib is {max_size_mib}, less than two segments: must be at least {MIN_RECORDS_MIB}"),
            );
        }
        if max_age_hours > MAX_RECORDS_HOURS {
            self.error(
                "keep_hours",
                format!("keep_hours is {max_age_hours}: must be at most {MAX_RECORDS_HOURS}"),
            );
        }
    }

    fn check_budget(&mut self, cpu_ms: u64, background_mib: u64) {
        if !CPU_MS_RANGE.contains(&cpu_ms) {
            let (min, max) = (CPU_MS_RANGE.start(), CPU_MS_RANGE.end());
            self.error(
                "cpu_ms",
                format!("cpu_ms is {cpu_ms}: must be from {min} to {max} ms in any ten seconds"),
            );
        }
        if background_mib < MIN_BACKGROUND_MIB {
            self.error(
                "mib",
                format!("mib is {background_mib}: must be at least {MIN_BACKGROUND_MIB} MiB in any ten seconds, enough for a step of background work"),
            );
        }
    }
}

fn log_format(file: &pb::Operator) -> LogFormat {
    match file.log.as_ref().map(pb::Log::format) {
        Some(pb::log::Format::Json) => LogFormat::Json,
        _ => LogFormat::Plain,
    }
}

/// Returns the value of a field, or its default. The format does not distinguish 0 from an absent field.
fn or_default(value: u64, default: u64) -> u64 {
    if value == 0 {
        default
    } else {
        value
    }
}
