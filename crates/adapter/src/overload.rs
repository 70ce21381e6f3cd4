//! The overload manager of an instance in the simulator: it samples the events and adds its limits as another event.
//!
//! The wire protocol has no names of classes, so these are named by position, starting with `c0`.

use chutegrade_engine::TrafficSample;
use chutegrade_limits::manager::{Decision, Demand, Outcome};
use chutegrade_limits::{pb, Class, ConfigError, OverloadConfig, OverloadManager};
use chutegrade_overload_control::{
    manager_inputs, overload_class, retry_order, shed_shares, DECISION_LIFETIME,
    EVALUATION_INTERVAL,
};
use chutegrade_policy::{ClassId, ClassRetry, ClassShare, Event, Limits, Micros, Policy, Settings};

/// The overload manager of one instance: the counterpart of [`chutegrade_overload_control::OverloadController`] that
/// works on events, without an engine.
pub(crate) struct OverloadController {
    manager: OverloadManager,
    report_period: Micros,
    next_evaluation: Option<Micros>,
    sample: TrafficSample,
}

impl OverloadController {
    /// Creates a controller from the operators' declaration, for the settings of an instance.
    ///
    /// # Errors
    ///
    /// The declaration is invalid; all its errors are returned.
    pub fn new(declaration: &pb::Limits, settings: &Settings) -> Result<Self, Vec<ConfigError>> {
        let classes = numbered_classes(settings);
        let config = OverloadConfig::read(declaration, Some(&classes))?;
        Ok(OverloadController {
            manager: OverloadManager::new(config, classes, settings.proxies),
            report_period: settings.report_period.max(EVALUATION_INTERVAL),
            next_evaluation: None,
            sample: TrafficSample::default(),
        })
    }

    /// Samples the events of a batch; returns the limits if an evaluation is due.
    pub fn handle_batch(
        &mut self,
        now: Micros,
        events: &[Event],
        policy: &Policy,
    ) -> Option<Limits> {
        for event in events {
            self.sample_event(now, event);
        }
        if self.next_evaluation.is_some_and(|due_at| now < due_at) {
            return None;
        }
        self.next_evaluation = Some(now + EVALUATION_INTERVAL);
        let sample = self.sample.take();
        let inputs = manager_inputs(now, self.report_period, sample, policy.fleet_status());
        let evaluation = self.manager.evaluate(&inputs);
        Some(limits(&evaluation.decision, now))
    }

    fn sample_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::ProxyDemand {
                proxy,
                class,
                arrivals,
                failed,
                ..
            } => self.sample.demand.push(Demand {
                proxy: proxy.0,
                class: usize::from(class.0),
                arrivals: *arrivals,
                failed: *failed,
            }),
            Event::ServerOutcomes {
                attempts,
                failed,
                mean_latency_ms,
                load,
                ..
            } => self.sample.outcomes.push(Outcome {
                attempts: *attempts,
                failed: *failed,
                mean_latency_ms: *mean_latency_ms,
                queued: load.queued,
            }),
            Event::HealthChecked { .. } => {}
            _ => return,
        }
        self.sample.last_report_at = Some(now);
    }
}

fn numbered_classes(settings: &Settings) -> Vec<Class> {
    let classes = settings.classes.iter().enumerate();
    classes
        .map(|(number, class)| overload_class(format!("c{number}"), class))
        .collect()
}

fn limits(decision: &Decision, now: Micros) -> Limits {
    let admitted = decision.admitted.iter().map(|admitted| ClassShare {
        class: class_id(admitted.class),
        share: admitted.share,
    });
    let retries = decision.retries.iter().enumerate();
    let retries = retries.map(|(class, allowance)| ClassRetry {
        class: class_id(class),
        retry: retry_order(*allowance),
    });
    Limits {
        min_shed_share: decision.min_shed_share,
        shed_shares: decision.shed_shares.map(shed_shares),
        admitted: admitted.collect(),
        retries: retries.collect(),
        expires_at: now + DECISION_LIFETIME,
    }
}

fn class_id(position: usize) -> ClassId {
    ClassId(u8::try_from(position).unwrap_or(u8::MAX))
}
