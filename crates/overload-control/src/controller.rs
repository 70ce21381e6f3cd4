//! Evaluates the service levels, limits and retry budgets of one supervisor once a second.

use chutegrade_engine::{Engine, Micros, Report};
use chutegrade_limits::manager::Decision;
use chutegrade_limits::signals::SIGNALS;
use chutegrade_limits::{pb as limits, LevelTransition, OverloadConfig, OverloadManager};
use chutegrade_records::{pb, Kind};

use crate::records::{not_restored_record, signal_record};
use crate::{
    limits_by_name, manager_inputs, overload_classes, transition_record, EVALUATION_INTERVAL,
};

/// Runs the overload manager of one supervisor. The owner calls [`OverloadController::evaluate`] at least once in each
/// [`EVALUATION_INTERVAL`].
pub struct OverloadController {
    manager: OverloadManager,
    next_evaluation: Micros,
    report_period: Micros,
    /// Whether the last reported decision was not empty, so that an empty one has to withdraw it.
    has_reported_decision: bool,
}

impl OverloadController {
    /// Creates a controller with this configuration, and enables traffic sampling in the engine. `report_period` is the
    /// time that a load report covers.
    pub fn new(config: OverloadConfig, engine: &mut Engine, report_period: Micros) -> Self {
        engine.enable_traffic_sampling();
        let classes = overload_classes(engine);
        let proxies = engine.deployment_size().proxies;
        OverloadController {
            manager: OverloadManager::new(config, classes, proxies),
            next_evaluation: Micros(i64::MIN),
            report_period: report_period.max(EVALUATION_INTERVAL),
            has_reported_decision: false,
        }
    }

    /// Returns the manager, with its signals, levels and limit.
    pub fn manager(&self) -> &OverloadManager {
        &self.manager
    }

    /// Replaces the configuration. Returns the record of the level transition, if this causes one.
    pub fn reconfigure(&mut self, now: Micros, config: OverloadConfig) -> Option<Kind> {
        let transition = self.manager.replace(now.0, config)?;
        Some(transition_record(&transition))
    }

    /// Restores the level from before a restart. Returns the record of the transition, or of the reason why the
    /// level was not restored; `None` if that was full service.
    pub fn restore(&mut self, now: Micros, saved: &limits::Saved) -> Option<Kind> {
        match self.manager.restore(now.0, saved) {
            Ok(transition) => transition.map(|transition| transition_record(&transition)),
            Err(reason) => Some(not_restored_record(&saved.level, reason.to_string())),
        }
    }

    /// Evaluates the engine's state if an interval has passed, reports the decision to the engine, and returns the
    /// level transition, if there was one.
    pub fn evaluate(&mut self, now: Micros, engine: &mut Engine) -> Option<LevelTransition> {
        if now < self.next_evaluation {
            return None;
        }
        self.next_evaluation = now + EVALUATION_INTERVAL;
        let sample = engine.take_traffic_sample();
        let inputs = manager_inputs(now, self.report_period, sample, engine.fleet_status());
        let evaluation = self.manager.evaluate(&inputs);
        self.report(&evaluation.decision, now, engine);
        evaluation.transition
    }

    /// Reports a decision to the engine. It replaces the previous one, so an empty decision is reported only to
    /// withdraw another.
    fn report(&mut self, decision: &Decision, now: Micros, engine: &mut Engine) {
        let has_decision = *decision != Decision::default();
        if has_decision || self.has_reported_decision {
            let limits = limits_by_name(decision, engine, now);
            // A full queue drops outcomes and demand only, so limits are never refused.
            let _ = engine.report(Report::Limits(limits));
        }
        self.has_reported_decision = has_decision;
    }

    /// Adds the signals, the limit and the service level to the metrics.
    pub fn add_metrics(&self, gauge: &mut pb::Gauge, now: Micros) {
        gauge.signals = self.known_signals(now);
        let limit = self.manager.limit().admitted_share;
        gauge.limit = Some(limit);
        if let Some(transitions) = self.manager.transitions() {
            gauge.service_level = Some(transitions.name().to_string());
            gauge.level_since_us = transitions.since_us().max(0);
        }
    }

    fn known_signals(&self, now: Micros) -> Vec<pb::Signal> {
        let window = self.manager.signals();
        SIGNALS
            .into_iter()
            .map(|signal| window.reading(signal, now.0))
            .filter(|reading| reading.value.is_some())
            .map(|reading| signal_record(&reading))
            .collect()
    }
}
