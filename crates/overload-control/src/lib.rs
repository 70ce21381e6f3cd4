//! Between limits and decisions: what limits see of an engine, what they decide as a report that names classes, and their
//! changes as records. No I/O, no clock, no decision: what becomes of limits the module says.

use chutegrade_engine::{
    Engine, FleetStatus, Micros, OverloadLimits, Report, Retry, TrafficSample,
};
use chutegrade_engine::{NamedClassRetry, NamedClassShare};
use chutegrade_limits::manager::{Decision, Inputs};
use chutegrade_limits::retry_budget::RetryAllowance;
use chutegrade_limits::signals::{SignalReading, SIGNALS};
use chutegrade_limits::{
    pb as limits, Class, Idempotency, LevelTransition, OverloadConfig, OverloadManager,
};
use chutegrade_policy as policy;
use chutegrade_records::{pb, Kind};

/// Time between two turns: reports come no oftener.
pub const EVALUATION_INTERVAL: Micros = Micros(1_000_000);
/// How long what limits decide stands without being said again: a turn that is late, or two.
pub const DECISION_LIFETIME: Micros = Micros(4_000_000);

/// A class of the settings, as limits need it.
pub fn overload_class(name: String, of: &policy::Class) -> Class {
    let effect = match of.idempotency {
        policy::Idempotency::Idempotent => Idempotency::Idempotent,
        policy::Idempotency::Keyed(policy::DeduplicationScope::All, window) => {
            Idempotency::Keyed(window.secs())
        }
        policy::Idempotency::Keyed(..) => Idempotency::Keyed(0.0),
        policy::Idempotency::NotIdempotent => Idempotency::NotIdempotent,
    };
    Class {
        name,
        priority_weight: of.priority_weight,
        latency_objective_seconds: of.latency_objective.secs(),
        deadline_seconds: of.deadline.secs(),
        idempotency: effect,
    }
}

/// A way of trying again, as the decisions have it.
pub fn retry_order(again: RetryAllowance) -> Retry {
    match again {
        RetryAllowance::Never => Retry::Never,
        RetryAllowance::IfNotExecuted => Retry::IfNotExecuted,
        RetryAllowance::Once => Retry::Once,
    }
}

/// The classes of an engine, as limits need them.
pub fn overload_classes(engine: &Engine) -> Vec<Class> {
    engine
        .classes()
        .iter()
        .map(|of| overload_class(of.name.clone(), &of.class))
        .collect()
}

/// Levels, limits and budgets of one supervisor: asked once a second, what they decide handed to the decisions.
pub struct OverloadController {
    governor: OverloadManager,
    due: Micros,
    period: Micros,
    standing: bool,
}

impl OverloadController {
    /// One under a plan; the engine measures from now on. `period` is the time over which reports count.
    pub fn new(plan: OverloadConfig, engine: &mut Engine, period: Micros) -> Self {
        engine.enable_traffic_sampling();
        let governor = OverloadManager::new(
            plan,
            overload_classes(engine),
            engine.deployment_size().proxies,
        );
        OverloadController {
            governor,
            due: Micros(i64::MIN),
            period: period.max(EVALUATION_INTERVAL),
            standing: false,
        }
    }

    /// What decides.
    pub fn manager(&self) -> &OverloadManager {
        &self.governor
    }

    /// Takes another plan, as records of what changed by it.
    pub fn reconfigure(&mut self, now: Micros, plan: OverloadConfig) -> Option<Kind> {
        self.governor
            .replace(now.0, plan)
            .map(|change| transition_record(&change))
    }

    /// Takes up the level from before a restart: the record of it, or of why it is left.
    pub fn restore(&mut self, now: Micros, saved: &limits::Saved) -> Option<Kind> {
        match self.governor.restore(now.0, saved) {
            Ok(change) => change.map(|change| transition_record(&change)),
            Err(why) => {
                let (from, to) = (
                    saved.level.clone(),
                    chutegrade_limits::service_levels::FULL_SERVICE.to_string(),
                );
                let reason = "not restored".to_string();
                Some(Kind::ServiceLevel(pb::ServiceLevel {
                    from,
                    to,
                    reason,
                    condition: why.to_string(),
                    ..Default::default()
                }))
            }
        }
    }

    /// Looks at the engine if it is time, reports what follows, and gives back the change of level, if there was one.
    pub fn evaluate(&mut self, now: Micros, engine: &mut Engine) -> Option<LevelTransition> {
        if now < self.due {
            return None;
        }
        self.due = now + EVALUATION_INTERVAL;
        let turn = self.governor.evaluate(&manager_inputs(
            now,
            self.period,
            engine.take_traffic_sample(),
            engine.fleet_status(),
        ));
        let says = turn.decision != Decision::default();
        if says || self.standing {
            // The queue of reports drops outcomes and demand alone; limits are always taken.
            let _ = engine.report(Report::Limits(limits_by_name(&turn.decision, engine, now)));
        }
        self.standing = says;
        turn.transition
    }

    /// Adds to the figures of one moment what limits know.
    pub fn add_metrics(&self, gauge: &mut pb::Gauge, now: Micros) {
        let board = self.governor.signals();
        let shown = SIGNALS
            .into_iter()
            .map(|signal| board.reading(signal, now.0));
        gauge.signals = shown
            .filter(|shown| shown.value.is_some())
            .map(|shown| signal(&shown))
            .collect();
        gauge.limit = Some(self.governor.limit().admitted_share);
        if let Some(steps) = self.governor.transitions() {
            gauge.service_level = Some(steps.name().to_string());
            gauge.level_since_us = steps.since_us().max(0);
        }
    }
}

/// What limits see in a turn: what was reported since the last one, and how the fleet stands.
pub fn manager_inputs(
    now: Micros,
    period: Micros,
    measure: TrafficSample,
    figures: FleetStatus,
) -> Inputs {
    Inputs {
        now_us: now.0,
        last_report_at_us: measure.last_report_at.map(|heard| heard.0),
        report_period_us: period.0,
        saturation: figures.saturation,
        admitted_shares: figures.admitted_shares,
        warm_weight: figures.warm_weight,
        partitioned_share: figures.partitioned_share,
        demand: measure.demand,
        outcomes: measure.outcomes,
    }
}

/// Shares to shed, as the decisions have them.
pub fn shed_shares(of: chutegrade_limits::ShedShares) -> policy::ShedShares {
    policy::ShedShares {
        ordinary: of.ordinary,
        heavy: of.heavy,
    }
}

/// What limits decide, by names.
pub fn limits_by_name(orders: &Decision, engine: &Engine, now: Micros) -> OverloadLimits {
    let class = |at: usize| engine.classes().get(at).map(|class| class.name.clone());
    let again = |(at, again): (usize, &RetryAllowance)| {
        Some(NamedClassRetry {
            class: class(at)?,
            retry: retry_order(*again),
        })
    };
    OverloadLimits {
        min_shed_share: orders.min_shed_share,
        shed_shares: orders.shed_shares.map(shed_shares),
        admitted: orders
            .admitted
            .iter()
            .filter_map(|of| {
                Some(NamedClassShare {
                    class: class(of.class)?,
                    share: of.share,
                })
            })
            .collect(),
        retries: orders
            .retries
            .iter()
            .enumerate()
            .filter_map(again)
            .collect(),
        expires_at: now + DECISION_LIFETIME,
    }
}

fn signal(of: &SignalReading) -> pb::Signal {
    let age_ms = u64::try_from(of.age_us / 1000).unwrap_or(0);
    pb::Signal {
        name: of.signal.name().to_string(),
        value: of.value,
        age_ms,
    }
}

/// A change of level as a record.
pub fn transition_record(change: &LevelTransition) -> Kind {
    Kind::ServiceLevel(pb::ServiceLevel {
        from: change.from.clone(),
        to: change.to.clone(),
        number: u32::try_from(change.number).unwrap_or(u32::MAX),
        reason: change.reason.as_str().to_string(),
        condition: change.condition.clone(),
        signals: change.readings.iter().map(signal).collect(),
        tell: change.notify.clone(),
    })
}
