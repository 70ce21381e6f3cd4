//! The admission level and the retry policy of each class. The class with the least priority weight per second of its
//! latency objective is shed first.

use crate::interface::{AdmissionLevel, AdmissionUnit, Class, Settings};

use super::admission::Admission;
use super::advice::ActiveAdvice;
use super::limits::ActiveLimits;
use super::retry_policy::retry_policy;

/// The least admitted share of a class, and its least admitted rate in requests per second before rounding up.
const MIN_LEVEL: f64 = 0.1;
/// A rate above that of any proxy, in requests per second, which admits all requests.
pub(super) const UNLIMITED_RATE: f64 = 1e6;
/// Number of steps to which admitted shares are rounded.
const SHARE_STEPS: f64 = 20.0;
/// Number of arrivals added to each class, so that none has zero arrivals.
const PRIOR_ARRIVALS: f64 = 1.0;
/// Lower bound on the latency objective by which a priority weight is divided, in seconds.
const MIN_OBJECTIVE_SECONDS: f64 = 0.001;

/// Inputs of admission levels.
#[derive(Debug)]
pub(super) struct ClassLevels<'a> {
    pub settings: &'a Settings,
    /// Saturation and arrivals.
    pub admission: &'a Admission,
    /// The active advice.
    pub advice: &'a ActiveAdvice,
    /// The active limits.
    pub limits: &'a ActiveLimits,
    /// Demand of the busiest proxy, in requests per second, from which rate levels are derived.
    pub busiest_rate: f64,
}

/// A class and its recent arrivals.
#[derive(Clone, Copy, Debug)]
struct ClassArrivals {
    class: usize,
    arrivals: f64,
}

impl ClassLevels<'_> {
    /// Returns the level and retry policy of each class, with this share of all requests shed.
    pub fn with_shed_share(&self, shed_share: f64) -> Vec<AdmissionLevel> {
        self.levels(shed_share)
            .into_iter()
            .enumerate()
            .map(|(class, level)| AdmissionLevel {
                level,
                retry: retry_policy(
                    self.settings.classes.get(class),
                    self.limits.retry(class),
                    self.advice.no_retry.has(class),
                    self.admission.has_headroom(),
                ),
            })
            .collect()
    }

    fn levels(&self, shed_share: f64) -> Vec<f64> {
        let uses_rates = self.settings.admission_unit == AdmissionUnit::RequestsPerSecond;
        let unlimited = if uses_rates { UNLIMITED_RATE } else { 1.0 };
        let mut levels = vec![unlimited; self.settings.classes.len()];
        if self.settings.admission_unit == AdmissionUnit::Unsupported {
            return levels;
        }
        let order = self.by_priority_per_second();
        let total = self.total_arrivals();
        let mut to_shed = shed_share * total;
        for ClassArrivals { class, arrivals } in order {
            let shed = to_shed.min(arrivals * (1.0 - MIN_LEVEL));
            to_shed -= shed;
            let admitted_share = self.admitted_share(class, shed / arrivals);
            let is_limited = admitted_share < 1.0;
            let Some(level) = levels.get_mut(class).filter(|_| is_limited) else {
                continue;
            };
            *level = if uses_rates {
                let rate = admitted_share * self.busiest_rate * arrivals / total;
                rate.max(MIN_LEVEL).ceil()
            } else {
                admitted_share
            };
        }
        levels
    }

    /// Returns the admitted share of a class with this share shed, within the bounds of advice and limits.
    fn admitted_share(&self, class: usize, shed_share: f64) -> f64 {
        let admitted_share = (SHARE_STEPS * (1.0 - shed_share)).round() / SHARE_STEPS;
        let bound = self
            .advice
            .max_admitted_share(class)
            .min(self.limits.max_admitted_share(class));
        admitted_share.min(bound.max(MIN_LEVEL))
    }

    fn arrivals(&self) -> impl Iterator<Item = f64> + '_ {
        self.admission
            .arrivals()
            .map(|arrivals| arrivals + PRIOR_ARRIVALS)
    }

    fn total_arrivals(&self) -> f64 {
        self.arrivals().sum()
    }

    /// Returns the classes, those with the least priority weight per second first.
    fn by_priority_per_second(&self) -> Vec<ClassArrivals> {
        let value = |class: usize| {
            self.settings
                .classes
                .get(class)
                .map_or(0.0, priority_per_second)
        };
        let mut order: Vec<ClassArrivals> = self
            .arrivals()
            .enumerate()
            .map(|(class, arrivals)| ClassArrivals { class, arrivals })
            .collect();
        order.sort_by(|a, b| value(a.class).total_cmp(&value(b.class)));
        order
    }
}

/// Returns the priority weight of a class per second of its latency objective.
fn priority_per_second(class: &Class) -> f64 {
    let objective_seconds = class.latency_objective.secs();
    class.priority_weight / objective_seconds.max(MIN_OBJECTIVE_SECONDS)
}
