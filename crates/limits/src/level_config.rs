//! Reads service levels from the operators' file.

use crate::condition::Condition;
use crate::config_error::{ConfigError, ConfigProblem, LevelEvent};
use crate::service_levels::{AdmittedShare, ServiceLevel, ServiceLevels, MIN_CLASS_SHARE};
use crate::{default_levels, pb, Class};

/// Maximum number of levels; operators can't distinguish more at a glance.
pub const MAX_LEVELS: usize = 12;
/// Maximum length of a level's name, in characters.
const MAX_NAME_LENGTH: usize = 40;
/// Maximum duration that may be declared, in seconds; beyond it, operators have to maintain a level manually.
const MAX_SECONDS: f64 = 3600.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Default of `least_stay_s`: twice the time until a change of level takes effect and shows in the signals.
const DEFAULT_MIN_DURATION_SECONDS: f64 = 8.0;
/// Default of `without_signals_s`.
const DEFAULT_SIGNAL_LOSS_TIMEOUT_SECONDS: f64 = 15.0;
/// Default of `signal_most_age_s`: tolerates a few missing reports.
const DEFAULT_MAX_SIGNAL_AGE_SECONDS: f64 = 5.0;
/// Default of `doubt_list_s`: longer than the delay of an endpoint list.
const DEFAULT_ENDPOINT_LIST_TIMEOUT_SECONDS: f64 = 60.0;

impl ServiceLevels {
    /// Reads and checks service levels. Without classes, skips the checks that depend on them.
    ///
    /// # Errors
    ///
    /// All errors.
    pub fn read(
        declared: &pb::Ladder,
        classes: Option<&[Class]>,
    ) -> Result<ServiceLevels, Vec<ConfigError>> {
        let mut reader = LevelReader {
            classes,
            errors: Vec::new(),
        };
        let levels = reader.read_all(declared);
        let mut errors = reader.errors;
        if errors.is_empty() {
            errors = levels.check(classes);
        }
        if errors.is_empty() {
            Ok(levels)
        } else {
            Err(errors)
        }
    }
}

/// Collects errors while it reads.
struct LevelReader<'a> {
    classes: Option<&'a [Class]>,
    errors: Vec<ConfigError>,
}

impl LevelReader<'_> {
    fn read_all(&mut self, declared: &pb::Ladder) -> ServiceLevels {
        let signal_loss_timeout_us = self.duration_us(
            "without_signals_s",
            declared
                .without_signals_s
                .unwrap_or(DEFAULT_SIGNAL_LOSS_TIMEOUT_SECONDS),
        );
        let max_signal_age_us = self.duration_us(
            "signal_most_age_s",
            declared
                .signal_most_age_s
                .unwrap_or(DEFAULT_MAX_SIGNAL_AGE_SECONDS),
        );
        let endpoint_list_timeout_us = self.duration_us(
            "doubt_list_s",
            declared
                .doubt_list_s
                .unwrap_or(DEFAULT_ENDPOINT_LIST_TIMEOUT_SECONDS),
        );
        ServiceLevels {
            levels: self.read_levels(declared),
            signal_loss_timeout_us,
            max_signal_age_us,
            endpoint_list_timeout_us,
        }
    }

    fn read_levels(&mut self, declared: &pb::Ladder) -> Vec<ServiceLevel> {
        let use_defaults = declared.usual == Some(true);
        let count = declared.level.len();
        if use_defaults && count > 0 {
            self.add_error("usual", ConfigProblem::DefaultAndOwnLevels);
        }
        if !use_defaults && count == 0 {
            self.add_error("ladder", ConfigProblem::NoLevels);
        }
        if count > MAX_LEVELS {
            let limit = MAX_LEVELS;
            self.add_error("ladder", ConfigProblem::TooManyLevels { count, limit });
        }
        let mut levels = if use_defaults {
            default_levels::levels(self.classes.unwrap_or_default())
        } else {
            Vec::new()
        };
        for (index, level) in declared.level.iter().enumerate() {
            levels.extend(self.read_level(index, level));
        }
        levels
    }

    fn read_level(&mut self, index: usize, declared: &pb::ServiceLevel) -> Option<ServiceLevel> {
        let name = if declared.name.is_empty() {
            format!("level-{}", index + 1)
        } else {
            declared.name.clone()
        };
        self.check_name(index, &name);
        let admitted_shares = self.read_shares(index, &name, &declared.shed);
        let enter = self.read_condition(index, &name, LevelEvent::Entered, declared.enter.as_ref());
        let leave = self.read_condition(index, &name, LevelEvent::Left, declared.leave.as_ref());
        let min_duration_us = self.read_min_duration(index, &name, declared.least_stay_s);
        Some(ServiceLevel {
            name,
            admitted_shares,
            enter: enter?,
            leave: leave?,
            min_duration_us,
            notify: declared.tell.clone(),
        })
    }

    fn check_name(&mut self, index: usize, name: &str) {
        let is_allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | ' ');
        if name.chars().all(is_allowed) && name.chars().count() <= MAX_NAME_LENGTH {
            return;
        }
        let problem = ConfigProblem::InvalidName {
            level: name.to_string(),
            max_length: MAX_NAME_LENGTH,
        };
        self.add_level_error(index, "name", problem);
    }

    fn read_shares(
        &mut self,
        index: usize,
        level: &str,
        declared: &[pb::Shed],
    ) -> Vec<AdmittedShare> {
        for shed in declared {
            let is_unknown = self
                .classes
                .is_some_and(|classes| classes.iter().all(|class| class.name != shed.class));
            if is_unknown {
                let class = shed.class.clone();
                self.add_level_error(index, "class", ConfigProblem::UnknownClass { class });
            }
            if !(MIN_CLASS_SHARE..=1.0).contains(&shed.keep) {
                let problem = ConfigProblem::ShareOutOfRange {
                    level: level.to_string(),
                    class: shed.class.clone(),
                    share: shed.keep,
                    min: MIN_CLASS_SHARE,
                };
                self.add_level_error(index, "keep", problem);
            }
        }
        if declared.is_empty() {
            let level = level.to_string();
            self.add_level_error(index, "level", ConfigProblem::ShedsNothing { level });
        }
        let read_share = |shed: &pb::Shed| AdmittedShare {
            class: shed.class.clone(),
            share: shed.keep,
        };
        declared.iter().map(read_share).collect()
    }

    fn read_condition(
        &mut self,
        index: usize,
        level: &str,
        event: LevelEvent,
        declared: Option<&pb::Condition>,
    ) -> Option<Condition> {
        let field = match event {
            LevelEvent::Entered => "enter",
            LevelEvent::Left => "leave",
        };
        let level = level.to_string();
        let Some(declared) = declared else {
            let problem = ConfigProblem::MissingCondition { level, event };
            self.add_level_error(index, field, problem);
            return None;
        };
        match Condition::read(declared) {
            Ok(condition) => Some(condition),
            Err(source) => {
                let problem = ConfigProblem::InvalidCondition {
                    level,
                    event,
                    source,
                };
                self.add_level_error(index, field, problem);
                None
            }
        }
    }

    fn read_min_duration(&mut self, index: usize, level: &str, declared: Option<f64>) -> i64 {
        let seconds = declared.unwrap_or(DEFAULT_MIN_DURATION_SECONDS);
        if !is_valid_duration(seconds) {
            let problem = ConfigProblem::MinDurationOutOfRange {
                level: level.to_string(),
                seconds,
                max: MAX_SECONDS,
            };
            self.add_level_error(index, "least_stay_s", problem);
        }
        microseconds(seconds)
    }

    /// Checks a duration that applies to all levels, and converts it.
    fn duration_us(&mut self, field: &'static str, seconds: f64) -> i64 {
        if !is_valid_duration(seconds) {
            let problem = ConfigProblem::SecondsOutOfRange {
                field,
                seconds,
                max: MAX_SECONDS,
            };
            self.add_error(field, problem);
        }
        microseconds(seconds)
    }

    fn add_error(&mut self, field: &'static str, problem: ConfigProblem) {
        self.errors.push(ConfigError {
            level: None,
            field,
            problem,
        });
    }

    fn add_level_error(&mut self, index: usize, field: &'static str, problem: ConfigProblem) {
        self.errors.push(ConfigError {
            level: Some(index),
            field,
            problem,
        });
    }
}

fn is_valid_duration(seconds: f64) -> bool {
    (0.0..=MAX_SECONDS).contains(&seconds)
}

fn microseconds(seconds: f64) -> i64 {
    (seconds * MICROSECONDS_PER_SECOND) as i64
}

#[cfg(test)]
mod tests;
