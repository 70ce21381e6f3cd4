//! Admission: the fleet's saturation and the share of requests to shed for it. Clients retry, and a fleet once saturated
//! would stay so; no share outlasts its cause.

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
/// Without load reports: mean latency, as a multiple of the mean latency objective, at which responses are late in part
/// and for the most part.
const LATE_RESPONSES: Ramp = Ramp { from: 0.4, to: 1.0 };
/// Multiple of the usual duration of health checks at which the fleet is saturated in part and in full.
const CHECK_SLOWDOWN_SATURATION: Ramp = Ramp { from: 1.1, to: 2.2 };
/// Load reports that a server must exceed for its saturation to count.
const MIN_REPORTS: f64 = 0.1;
/// Lower bound on the mean latency objective, in milliseconds.
const MIN_OBJECTIVE_MS: f64 = 1.0;
/// Steps of the shed share whose change is reported.
const REPORTED_STEPS: f64 = 10.0;

/// The fleet's saturation and what follows from it.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    /// The smoothed saturation, from 0 to 1.
    pub saturation: f64,
    /// Share of requests to shed.
    pub shed_share: f64,
    /// Arrivals of each class.
    arrivals: Vec<DecayingMean>,
}

/// What the saturation of a tick depends on.
#[derive(Debug)]
pub(super) struct AdmissionInputs<'a> {
    /// The settings.
    pub settings: &'a Settings,
    /// The known servers.
    pub registry: &'a Registry,
    /// The limits in force.
    pub limits: &'a ActiveLimits,
    /// The usual outcomes of each link.
    pub references: &'a References,
    /// Share of servers that leave health checks unanswered.
    pub unanswered_share: f64,
    /// Whether servers that warm up are withheld.
    pub warming_withheld: bool,
}

/// The terms of the saturation, each from 0 to 1.
#[derive(Clone, Copy, Debug)]
struct SaturationTerms {
    /// By the queues or the utilization that servers report, if they do.
    queues: Option<f64>,
    /// By the duration of health checks.
    check_latency: f64,
    /// By unanswered health checks.
    unanswered: f64,
    /// By failed attempts and late responses, for deployments without load reports.
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
    /// No saturation, and no arrivals of so many classes.
    pub fn new(class_count: usize) -> Self {
        Admission {
            arrivals: vec![DecayingMean::default(); class_count],
            ..Admission::default()
        }
    }

    /// Whether the fleet is saturated enough to shed load.
    pub fn is_saturated(&self) -> bool {
        self.saturation >= SHED_FROM_SATURATION
    }

    /// Whether the fleet can take more.
    pub fn has_headroom(&self) -> bool {
        self.saturation < SHED_FROM_SATURATION
    }

    /// Takes in the arrivals of a class.
    pub fn record_arrivals(&mut self, class: ClassId, arrivals: f64) {
        if let Some(known) = self.arrivals.get_mut(usize::from(class.0)) {
            known.add(arrivals, 1.0);
        }
    }

    /// The recent arrivals of each class.
    pub fn arrivals(&self) -> impl Iterator<Item = f64> + Clone + '_ {
        self.arrivals.iter().map(|arrivals| arrivals.sum)
    }

    /// Updates the saturation and the share to shed at a tick.
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
        // Smoothed as a quality, of which saturation is the opposite: it rises faster than it falls.
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
        // A queue shows in health checks only when all are late: a single slow server would pass for a saturated fleet, and
        // has less weight for its fault anyway.
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

    /// The median over the links of how far their attempts fail or are late.
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

    /// What servers in service show, by the work that each takes: idle ones that warm up would hide that all the others
    /// are saturated.
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

    /// The capacity that a server is sure to have; none while it is withheld.
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
