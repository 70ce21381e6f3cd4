//! The overload manager: derives signals from reports, evaluates the service levels, the concurrency limit and the
//! retry budget, and decides limits. The caller passes the limits to the policy at each evaluation; limits that are not
//! renewed expire.

mod config;
mod decision;
mod inputs;
mod shedding;
mod traffic;

pub use config::OverloadConfig;
pub use decision::{ClassShare, Decision, Evaluation, LimitStatus, ShedShares};
pub use inputs::{Demand, Inputs, Outcome};

use crate::concurrency_limiter::{ConcurrencyLimiter, LoadSample};
use crate::heavy_hitters::{HeavyHitters, DEFAULT_COUNTERS};
use crate::pb;
use crate::repeat_estimator::{ArrivalSample, RepeatEstimator};
use crate::retry_budget::{RetryAllowance, RetryBudget, RetrySample};
use crate::service_levels::ServiceLevels;
use crate::signals::{Observation, Signal, SignalWindow};
use crate::transitions::{LevelTransition, LevelTransitions, RestoreError};
use crate::{lowest_priority_first, Class};
use traffic::{TrafficRates, TrafficSummary};

/// Factor by which the counted load of proxies decays, per second.
const PROXY_LOAD_RETENTION: f64 = 0.97;
/// Maximum number of report periods that reports cover after a pause.
const MAX_PERIODS_COVERED: i64 = 2;
/// Minimum time that reports cover, in microseconds.
const MIN_ELAPSED_US: i64 = 100_000;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The overload manager of one supervisor.
#[derive(Clone, Debug)]
pub struct OverloadManager {
    classes: Vec<Class>,
    /// Positions of the classes, the lowest priority first.
    priority_order: Vec<usize>,
    config: OverloadConfig,
    signals: SignalWindow,
    transitions: Option<LevelTransitions>,
    limiter: ConcurrencyLimiter,
    retry_budget: Option<RetryBudget>,
    repeat_estimator: RepeatEstimator,
    proxy_load: HeavyHitters,
    proxy_count: usize,
    rates: TrafficRates,
    /// When reports were last evaluated, in microseconds.
    last_evaluated_us: Option<i64>,
}

impl OverloadManager {
    /// Creates a manager without observations. `proxy_count` is the number of proxies in the deployment.
    pub fn new(config: OverloadConfig, classes: Vec<Class>, proxy_count: usize) -> Self {
        let limit = config.concurrency_limit.unwrap_or_default();
        OverloadManager {
            priority_order: lowest_priority_first(&classes),
            signals: SignalWindow::default(),
            transitions: config.service_levels.clone().map(LevelTransitions::new),
            limiter: ConcurrencyLimiter::new(limit),
            retry_budget: config
                .retry_budget
                .map(|budget| RetryBudget::new(budget, &classes)),
            repeat_estimator: RepeatEstimator::default(),
            proxy_load: HeavyHitters::new(DEFAULT_COUNTERS),
            proxy_count: proxy_count.max(1),
            rates: TrafficRates::new(classes.len()),
            last_evaluated_us: None,
            classes,
            config,
        }
    }

    /// Returns the state machine of the service levels; `None` if none are configured.
    pub fn transitions(&self) -> Option<&LevelTransitions> {
        self.transitions.as_ref()
    }

    /// Returns the observations of all signals.
    pub fn signals(&self) -> &SignalWindow {
        &self.signals
    }

    /// Returns the state of the concurrency limit.
    pub fn limit(&self) -> LimitStatus {
        let headroom = self.signals.observations(Signal::Headroom).last();
        LimitStatus {
            admitted_share: self.limiter.admitted_share(),
            headroom: headroom.map(|observation| observation.value),
        }
    }

    /// Replaces the configuration. Parts that don't change keep their state; the service level stays if the new levels
    /// have it too. Returns the transition if the level changes.
    pub fn replace(&mut self, now_us: i64, config: OverloadConfig) -> Option<LevelTransition> {
        if config.concurrency_limit != self.config.concurrency_limit {
            let limit = config.concurrency_limit.unwrap_or_default();
            self.limiter = ConcurrencyLimiter::new(limit);
        }
        if config.retry_budget != self.config.retry_budget {
            let new_budget = |budget| RetryBudget::new(budget, &self.classes);
            self.retry_budget = config.retry_budget.map(new_budget);
        }
        let transition = self.replace_levels(now_us, config.service_levels.clone());
        self.config = config;
        transition
    }

    fn replace_levels(
        &mut self,
        now_us: i64,
        levels: Option<ServiceLevels>,
    ) -> Option<LevelTransition> {
        let Some(transitions) = &mut self.transitions else {
            self.transitions = levels.map(LevelTransitions::new);
            return None;
        };
        let are_removed = levels.is_none();
        let transition = transitions.replace(now_us, levels.unwrap_or_default(), &self.signals);
        if are_removed {
            self.transitions = None;
        }
        transition
    }

    /// Restores the service level from before a restart. Returns `None` if that was full service.
    ///
    /// # Errors
    ///
    /// If the snapshot is too old, or no such level is configured.
    pub fn restore(
        &mut self,
        now_us: i64,
        saved: &pb::Saved,
    ) -> Result<Option<LevelTransition>, RestoreError> {
        match &mut self.transitions {
            Some(transitions) => transitions.restore(now_us, saved, &self.signals),
            None => Err(RestoreError::NoLevels),
        }
    }

    /// Evaluates the reports since the last evaluation, and decides limits.
    pub fn evaluate(&mut self, inputs: &Inputs) -> Evaluation {
        self.observe_fleet(inputs);
        if !inputs.demand.is_empty() || !inputs.outcomes.is_empty() {
            self.observe_traffic(inputs);
        }
        let transition = self
            .transitions
            .as_mut()
            .and_then(|transitions| transitions.evaluate(inputs.now_us, &self.signals));
        Evaluation {
            decision: self.decide(),
            transition,
        }
    }

    fn observe_fleet(&mut self, inputs: &Inputs) {
        if let Some(at_us) = inputs.last_report_at_us {
            self.observe(Signal::Saturation, at_us, inputs.saturation, 1.0);
            self.observe(
                Signal::PartitionedZones,
                at_us,
                inputs.partitioned_share,
                1.0,
            );
        }
        if let Some(length) = inputs.mean_queue_length() {
            self.observe(Signal::QueueLength, inputs.described_time_us(), length, 1.0);
        }
    }

    fn observe_traffic(&mut self, inputs: &Inputs) {
        let seconds = self.elapsed_seconds(inputs);
        self.update_proxy_load(inputs, seconds);
        self.rates.update(inputs, &self.classes, seconds);
        let summary = self.rates.summary(&self.classes);
        self.repeat_estimator.record(ArrivalSample {
            arrivals: summary.arrivals,
            shed: summary.shed,
            unanswered: summary.unanswered,
            shed_share: summary.shed_share,
        });
        self.limiter.update(&LoadSample {
            seconds,
            offered: summary.offered_work,
            admitted: summary.admitted_work,
            completed: summary.completed_work,
            saturation: inputs.saturation,
            mean_latency_ms: self.rates.mean_latency_ms,
            warm_weight: inputs.warm_weight,
        });
        let repeated_share = self.repeat_estimator.repeated_share();
        let headroom = self.headroom(inputs, &summary, repeated_share);
        self.record_retries(inputs, seconds, headroom);
        let at_us = inputs.described_time_us();
        let confidence = summary.confidence(seconds);
        self.observe(Signal::LateResponses, at_us, summary.late_share, confidence);
        self.observe(Signal::RepeatedArrivals, at_us, repeated_share, confidence);
        if let Some(headroom) = headroom {
            self.observe(Signal::Headroom, at_us, headroom, confidence);
        }
    }

    /// Returns the time that new reports cover. After a pause, they cover at most two periods, not the whole pause.
    fn elapsed_seconds(&mut self, inputs: &Inputs) -> f64 {
        let period_us = inputs.report_period_us;
        let last_evaluated_us = self.last_evaluated_us.replace(inputs.now_us);
        let elapsed_us = match last_evaluated_us {
            Some(last_us) => {
                let max_us = period_us.saturating_mul(MAX_PERIODS_COVERED);
                inputs.now_us.saturating_sub(last_us).min(max_us)
            }
            None => period_us,
        };
        elapsed_us.max(MIN_ELAPSED_US) as f64 / MICROSECONDS_PER_SECOND
    }

    fn update_proxy_load(&mut self, inputs: &Inputs, seconds: f64) {
        self.proxy_load.decay(PROXY_LOAD_RETENTION.powf(seconds));
        for demand in inputs.demand.iter().filter(|demand| demand.is_valid()) {
            let Some(class) = self.classes.get(demand.class) else {
                continue;
            };
            let work = demand.arrivals * class.latency_objective_seconds;
            self.proxy_load.add(demand.proxy, work);
        }
    }

    /// Returns the ratio of the capacity of the warm servers to the work of new arrivals, without repeats; `None` if
    /// either is unknown.
    fn headroom(
        &self,
        inputs: &Inputs,
        summary: &TrafficSummary,
        repeated_share: f64,
    ) -> Option<f64> {
        let capacity = self.limiter.capacity(inputs.warm_weight)?;
        let new_work = summary.offered_work * (1.0 - repeated_share);
        (summary.offered_work > 0.0).then_some(capacity / new_work)
    }

    fn record_retries(&mut self, inputs: &Inputs, seconds: f64, headroom: Option<f64>) {
        let Some(budget) = &mut self.retry_budget else {
            return;
        };
        let count = |rates: &[f64]| rates.iter().map(|rate| rate * seconds).collect();
        budget.record(&RetrySample {
            seconds,
            attempts: self.rates.attempts * seconds,
            successes: self.rates.successes * seconds,
            admitted: count(&self.rates.admitted),
            unanswered: count(&self.rates.unanswered),
            saturation: inputs.saturation,
            headroom,
        });
    }

    fn observe(&mut self, signal: Signal, at_us: i64, value: f64, confidence: f64) {
        let observation = Observation {
            at_us,
            value,
            confidence,
        };
        self.signals.record(signal, observation);
    }

    fn decide(&self) -> Decision {
        let min_shed_share = self.config.concurrency_limit.map(|_| self.shed_share());
        Decision {
            min_shed_share,
            shed_shares: min_shed_share.and_then(|share| self.shed_shares(share)),
            admitted: self.admitted_shares(),
            retries: self.retry_allowances(),
        }
    }

    /// Returns the share of requests to shed so that the work falls to the limit.
    fn shed_share(&self) -> f64 {
        shedding::shed_share(
            &self.rates.arrivals,
            &self.classes,
            &self.priority_order,
            self.limiter.admitted_share(),
        )
    }

    fn shed_shares(&self, shed_share: f64) -> Option<ShedShares> {
        let factor = self.config.heavy_hitter_factor?;
        shedding::by_proxy_load(shed_share, &self.proxy_load, self.proxy_count, factor)
    }

    /// Returns the admitted shares of the classes that the current service level reduces.
    fn admitted_shares(&self) -> Vec<ClassShare> {
        let Some(transitions) = &self.transitions else {
            return Vec::new();
        };
        let class_share = |(position, class): (usize, &Class)| ClassShare {
            class: position,
            share: transitions.admitted_share(&class.name),
        };
        let shares = self.classes.iter().enumerate().map(class_share);
        shares.filter(|admitted| admitted.share < 1.0).collect()
    }

    fn retry_allowances(&self) -> Vec<RetryAllowance> {
        let Some(budget) = &self.retry_budget else {
            return Vec::new();
        };
        let allowance = |class| budget.allowance(class);
        (0..self.classes.len()).map(allowance).collect()
    }
}

#[cfg(test)]
mod tests;
