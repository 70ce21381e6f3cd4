//! Admission: the fleet's saturation and the share of requests to shed because of it. Since clients retry, a saturated
//! fleet would stay saturated without load shedding. Shedding ends with its cause.

use crate::interface::{Action, AdmissionUnit, ClassId, DecisionEvent, HealthState, Settings};
use crate::statistics::{
    clamp_to_unit, median, weighted_mean, weighted_median, DecayingMean, Ramp, WeightedSample,
};

use super::evidence::ARRIVAL_HALF_LIFE_SECONDS;
use super::health::ERROR_BUDGET;
use super::limits::ActiveLimits;
use super::registry::Registry;
use super::server::Server;
use super::smoothing::smooth_quality;
use super::zone_links::{Reference, References};

/// Saturation from which requests are shed.
const SHED_FROM_SATURATION: f64 = 0.2;
/// The share of requests that is shed at full saturation.
const MAX_SHED_SHARE: f64 = 0.9;
/// Without load reports: mean latency, as a multiple of the mean latency objective, from which responses count as
/// partly late and from which as entirely late.
const LATE_RESPONSES: Ramp = Ramp { from: 0.4, to: 1.0 };
/// Slowdown of health checks from which the fleet counts as partly saturated and from which as fully saturated.
const CHECK_SLOWDOWN_SATURATION: Ramp = Ramp { from: 1.1, to: 2.2 };
/// Decayed number of load reports above which a server's saturation counts.
const MIN_REPORTS: f64 = 0.1;
/// Lower bound on the mean latency objective, in milliseconds.
const MIN_OBJECTIVE_MS: f64 = 1.0;
/// Number of steps of the shed share whose changes are reported.
const REPORTED_STEPS: f64 = 10.0;

/// The fleet's saturation and the resulting share of requests to shed.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    /// The smoothed saturation, from 0 to 1.
    pub saturation: f64,
    /// Share of requests to shed, from 0 to 1.
    pub shed_share: f64,
    /// Decaying number of arrivals of each class.
    arrivals: Vec<DecayingMean>,
}

/// Inputs of the saturation of a tick.
#[derive(Debug)]
pub(super) struct AdmissionInputs<'a> {
    pub settings: &'a Settings,
    /// The known servers.
    pub registry: &'a Registry,
    /// The active limits.
    pub limits: &'a ActiveLimits,
    /// The reference outcomes of each link.
    pub references: &'a References,
    /// Median over the reachable zones of the share of servers that do not answer health checks.
    pub unanswered_share: f64,
    /// Whether warming servers are withheld from tables.
    pub warming_withheld: bool,
}

/// The terms of the saturation, each from 0 to 1.
#[derive(Clone, Copy, Debug)]
struct SaturationTerms {
    /// From the queues or the utilization that servers report; absent without reports.
    queues: Option<f64>,
    /// From the duration of health checks.
    check_latency: f64,
    /// From unanswered health checks.
    unanswered: f64,
    /// From failed attempts and late responses, for deployments without load reports.
    outcomes: f64,
}

impl SaturationTerms {
    fn combined(&self) -> f64 {
        match self.queues {
            Some(queues) => queues.max(self.check_latency).max(self.unanswered),
            None => self.outcomes,
        }
    }
}

impl Admission {
    /// Returns an unsaturated state without arrivals for the given number of classes.
    pub fn new(class_count: usize) -> Self {
        Admission {
            arrivals: vec![DecayingMean::default(); class_count],
            ..Admission::default()
        }
    }

    /// Returns whether the fleet is saturated enough to shed load.
    pub fn is_saturated(&self) -> bool {
        self.saturation >= SHED_FROM_SATURATION
    }

    /// Returns whether the saturation is below that at which load is shed.
    pub fn has_headroom(&self) -> bool {
        self.saturation < SHED_FROM_SATURATION
    }

    /// Records arrivals of a class.
    pub fn record_arrivals(&mut self, class: ClassId, arrivals: f64) {
        if let Some(known) = self.arrivals.get_mut(usize::from(class.0)) {
            known.add(arrivals, 1.0);
        }
    }

    /// Returns the decayed number of arrivals of each class.
    pub fn arrivals(&self) -> impl Iterator<Item = f64> + Clone + '_ {
        self.arrivals.iter().map(|arrivals| arrivals.sum)
    }

    /// Updates the saturation and the share of requests to shed at a tick.
    pub fn update(
        &mut self,
        elapsed_seconds: f64,
        inputs: &AdmissionInputs,
        actions: &mut Vec<Action>,
    ) {
        for arrivals in &mut self.arrivals {
            arrivals.decay(elapsed_seconds, ARRIVAL_HALF_LIFE_SECONDS);
        }
        let terms = inputs.saturation_terms();
        // Smoothed as a negated quality, so that saturation rises faster than it falls.
        self.saturation = -smooth_quality(-self.saturation, -terms.combined());
        let shed_share = self.required_shed_share(inputs.limits);
        let reported_step = |share: f64| (REPORTED_STEPS * share).round();
        let is_reported = reported_step(shed_share) != reported_step(self.shed_share)
            && inputs.settings.admission_unit != AdmissionUnit::Unsupported;
        if is_reported {
            actions.push(Action::Emit(DecisionEvent::Saturation {
                shed_share,
                saturation: self.saturation,
                queue_term: terms.queues.unwrap_or(0.0),
                latency_term: terms.check_latency,
                unanswered_term: terms.unanswered,
            }));
        }
        self.shed_share = shed_share;
    }

    fn required_shed_share(&self, limits: &ActiveLimits) -> f64 {
        let excess = (self.saturation - SHED_FROM_SATURATION) / (1.0 - SHED_FROM_SATURATION);
        let by_saturation = MAX_SHED_SHARE * clamp_to_unit(excess);
        match limits.min_shed_share() {
            Some(least) => least.max(by_saturation).min(MAX_SHED_SHARE),
            None => by_saturation,
        }
    }
}

impl AdmissionInputs<'_> {
    fn saturation_terms(&self) -> SaturationTerms {
        // Health checks show saturation only if they are slow at most servers. A single slow server must not count as a
        // saturated fleet; its weight is reduced anyway.
        let slowdown = |server: &Server| {
            server.evidence.slowdown_under_load().filter(|_| {
                server.health.state == HealthState::Full
                    && server.evidence.speed.service_ms.sum > 0.0
            })
        };
        let slowdown = weighted_median(self.samples_by_capacity(slowdown)).unwrap_or(1.0);
        SaturationTerms {
            queues: weighted_mean(&self.samples_by_capacity(reported_saturation)),
            check_latency: CHECK_SLOWDOWN_SATURATION.at(slowdown),
            unanswered: self.unanswered_share,
            outcomes: self.outcome_term(),
        }
    }

    /// Returns the median over the links of the saturation that their failed and late attempts show.
    fn outcome_term(&self) -> f64 {
        let objective_ms = self.mean_objective_ms();
        let term = |link: &Reference| {
            let failures = clamp_to_unit(link.failed_share / ERROR_BUDGET);
            failures.max(LATE_RESPONSES.at(link.latency_ms / objective_ms))
        };
        median(self.references.values().map(term)).unwrap_or(0.0)
    }

    fn mean_objective_ms(&self) -> f64 {
        let classes = &self.settings.classes;
        let sum: f64 = classes
            .iter()
            .map(|class| class.latency_objective.secs() * 1000.0)
            .sum();
        (sum / classes.len().max(1) as f64).max(MIN_OBJECTIVE_MS)
    }

    /// Returns the values of the servers in service, weighted by available capacity. Otherwise idle warming servers
    /// would hide that all others are saturated.
    fn samples_by_capacity(
        &self,
        value_of: impl Fn(&Server) -> Option<f64>,
    ) -> Vec<WeightedSample> {
        let any_warm = self
            .registry
            .in_service()
            .any(|(_, server)| server.is_warm());
        self.registry
            .in_service()
            .filter_map(|(_, server)| {
                let value = value_of(server)?;
                let weight = self.available_capacity(server, any_warm);
                Some(WeightedSample { value, weight })
            })
            .filter(|sample| sample.weight > 0.0)
            .collect()
    }

    /// Returns the capacity that a server is certain to have; 0 while it is withheld.
    fn available_capacity(&self, server: &Server, any_warm: bool) -> f64 {
        let is_withheld = self.warming_withheld && any_warm && server.warm_up_share < 1.0;
        let size = if is_withheld { 0.0 } else { server.size() };
        server.warm_up_share * size
    }
}

fn reported_saturation(server: &Server) -> Option<f64> {
    let saturation = server.evidence.saturation;
    (saturation.weight > MIN_REPORTS).then(|| saturation.sum / saturation.weight)
}
