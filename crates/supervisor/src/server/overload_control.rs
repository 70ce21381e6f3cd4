//! Overload control: evaluates the operators' service levels, limits and budgets once a second, reports its decisions to
//! the engine, and logs and records changes of the level. SIGHUP reloads the limits of the operators' file; an invalid file
//! is rejected.

use std::cell::RefCell;
use std::path::{Path, PathBuf};

use chutegrade_engine::Micros;
use chutegrade_limits::pb::Saved;
use chutegrade_limits::{Class, OverloadConfig};
use chutegrade_operator_config::OperatorConfig;
use chutegrade_overload_control::{overload_classes, transition_record, OverloadController};
use chutegrade_records::index::Query;
use chutegrade_records::timeline::gauge;
use chutegrade_records::{pb, text, Kind, Timeline};

use crate::server::errors::OperatorConfigErrors;
use crate::shared::clock::Clock;
use crate::shared::engine_handle::EngineHandle;
use crate::shared::event_recorder::EventRecorder;

/// How far back records are searched for the level before a restart, in microseconds: slightly more than the maximum age
/// of a level that is restored.
const RESTORE_WINDOW_US: i64 = 70_000_000;

/// Dependencies of overload control.
pub struct OverloadContext {
    /// Provides the signals and receives the limits in force.
    pub engine: EngineHandle,
    /// Records changes of the level and rejected files; its records also contain the level before a restart.
    pub recorder: EventRecorder,
    /// Time source of evaluations.
    pub clock: Clock,
}

/// Evaluates the levels, limits and budgets of the operators' file.
pub struct OverloadControl {
    context: OverloadContext,
    path: Option<PathBuf>,
    classes: Vec<Class>,
    report_period: Micros,
    controller: RefCell<Option<OverloadController>>,
}

impl OverloadControl {
    /// Creates overload control from the configuration of the operators' file at this path; does nothing without one.
    pub fn new(
        context: OverloadContext,
        path: Option<&Path>,
        config: Option<OverloadConfig>,
        report_period: Micros,
    ) -> Self {
        let classes = classes(&context.engine);
        let controller = config.map(|config| {
            OverloadController::new(config, &mut context.engine.borrow_mut(), report_period)
        });
        OverloadControl {
            context,
            path: path.map(Path::to_path_buf),
            classes,
            report_period,
            controller: RefCell::new(controller),
        }
    }

    /// Restores the last recorded level, if records are kept and the level is recent enough.
    pub fn restore_level(&self) {
        let Some(directory) = self.context.recorder.directory() else {
            return;
        };
        let mut controller = self.controller.borrow_mut();
        let Some(controller) = controller.as_mut() else {
            return;
        };
        let has_levels = controller.manager().transitions().is_some();
        if !has_levels {
            return;
        }
        let clock = self.context.clock;
        let Some(saved) = last_recorded_level(directory, clock.now()) else {
            return;
        };
        if let Some(kind) = controller.restore(clock.now(), &saved) {
            self.log_and_record(kind);
        }
    }

    /// Reloads the limits of the operators' file; an invalid file changes nothing.
    pub fn reload(&self) {
        let Some(path) = &self.path else { return };
        match load_config(path, &self.classes) {
            Ok(config) => self.apply(config),
            Err(errors) => self.reject(&errors),
        }
    }

    fn apply(&self, config: Option<OverloadConfig>) {
        let mut controller = self.controller.borrow_mut();
        match (controller.as_mut(), config) {
            (Some(controller), config) => {
                let config = config.unwrap_or_default();
                let change = controller.reconfigure(self.context.clock.now(), config);
                if let Some(kind) = change {
                    self.log_and_record(kind);
                }
            }
            (None, Some(config)) => {
                let engine = &mut self.context.engine.borrow_mut();
                let created = OverloadController::new(config, engine, self.report_period);
                *controller = Some(created);
            }
            (None, None) => {}
        }
    }

    fn reject(&self, errors: &OperatorConfigErrors) {
        let fault = errors.to_string();
        tracing::error!(fault, "new limits rejected, the old ones stay");
        self.context.recorder.record(Kind::Reloaded(pb::Reloaded {
            taken: false,
            detail: fault,
        }));
    }

    /// Evaluates the levels, limits and budgets if the next evaluation is due.
    pub fn evaluate(&self) {
        let mut controller = self.controller.borrow_mut();
        let Some(controller) = controller.as_mut() else {
            return;
        };
        let now = self.context.clock.now();
        let transition = controller.evaluate(now, &mut self.context.engine.borrow_mut());
        if let Some(transition) = transition {
            self.log_and_record(transition_record(&transition));
        }
    }

    /// Adds the metrics of overload control to those of the fleet.
    pub fn add_metrics(&self, metrics: &mut pb::Gauge, now: Micros) {
        if let Some(controller) = self.controller.borrow().as_ref() {
            controller.add_metrics(metrics, now);
        }
    }

    fn log_and_record(&self, kind: Kind) {
        if let Kind::ServiceLevel(change) = &kind {
            tracing::warn!(
                kind = "service-level",
                level = change.to,
                reason = change.reason,
                tell = change.tell.join(","),
                "{}",
                text::line(&kind)
            );
        }
        self.context.recorder.record(kind);
    }
}

/// Returns the overload control configuration of the operators' file for the engine's classes, if the file has limits.
///
/// # Errors
///
/// If the limits do not match the classes.
pub fn config_for_engine(
    operator: &OperatorConfig,
    engine: &EngineHandle,
) -> Result<Option<OverloadConfig>, OperatorConfigErrors> {
    config_for_classes(operator, &classes(engine))
}

fn classes(engine: &EngineHandle) -> Vec<Class> {
    overload_classes(&engine.borrow_mut())
}

fn config_for_classes(
    operator: &OperatorConfig,
    classes: &[Class],
) -> Result<Option<OverloadConfig>, OperatorConfigErrors> {
    let Some(limits) = &operator.limits else {
        return Ok(None);
    };
    let config = limits.overload_config(Some(classes))?;
    Ok(Some(config))
}

fn load_config(
    path: &Path,
    classes: &[Class],
) -> Result<Option<OverloadConfig>, OperatorConfigErrors> {
    let operator = chutegrade_operator_config::load(path)?;
    config_for_classes(&operator, classes)
}

/// Returns the last recorded level, and when it was recorded.
fn last_recorded_level(directory: &Path, now: Micros) -> Option<Saved> {
    let timeline = Timeline::open(&[directory.to_path_buf()]).ok()?;
    let window = Query::between(now.0.saturating_sub(RESTORE_WINDOW_US), now.0);
    let (events, _) = timeline.read(&window);
    events.iter().rev().find_map(|event| {
        let gauge = gauge(event)?;
        let level = gauge.service_level.clone()?;
        Some(Saved {
            level,
            since_us: gauge.level_since_us,
            at_us: event.at_us,
        })
    })
}
