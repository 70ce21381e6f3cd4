//! An adaptive limit on the share of work that is admitted. Four rules differ in the measure of overload that they use;
//! docs/limits.md compares them under late and bursty signals.

use crate::pb::adaptive::Rule;

/// Minimum admitted share: without admitted work, the throughput and latency of the fleet would be unknown.
pub const MIN_ADMITTED_SHARE: f64 = 0.1;
/// Default target saturation, at which servers are busy and queues are short.
pub const DEFAULT_TARGET_SATURATION: f64 = 0.25;

/// Saturation from which the throughput of the fleet equals its capacity.
const SATURATED_THRESHOLD: f64 = 0.3;
/// Saturation from which a fleet has collapsed: its throughput is then below its capacity.
const COLLAPSED_THRESHOLD: f64 = 0.7;
/// Minimum admitted work, as a share of the known capacity, at which the throughput of a saturated fleet is taken as
/// its capacity.
const MIN_UTILIZATION: f64 = 0.9;
/// Rate at which the known capacity approaches the lower throughput of a saturated fleet, as a share per second.
const CAPACITY_DECREASE_RATE: f64 = 0.12;
/// Rate at which the known capacity grows while work is shed from an idle fleet, as a share per second.
const CAPACITY_INCREASE_RATE: f64 = 0.05;

/// Correction of the limit under moderate saturation, per unit of distance from the target.
const SATURATION_CORRECTION: f64 = 0.5;
/// Saturation from which the limit falls steeply to the minimum share, so that queues drain first. A steep correction
/// at lower saturation would oscillate when reports are late.
const STEEP_CORRECTION_THRESHOLD: f64 = 0.35;

/// Additive increase of the share, per second.
const ADDITIVE_INCREASE: f64 = 0.03;
/// Factor of the share at each report of overload.
const MULTIPLICATIVE_DECREASE: f64 = 0.88;

/// Lower bound of the minimum latency, in milliseconds.
const MIN_LATENCY_MS: f64 = 1.0;
/// Latency, as a multiple of the minimum, up to which queueing is not assumed.
const LATENCY_TOLERANCE: f64 = 1.6;
/// Growth of the minimum latency without lower samples, as a share per second.
const MIN_LATENCY_GROWTH: f64 = 0.01;
/// Minimum factor by which latency reduces the share.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of the new share in the smoothed one, per report.
const GRADIENT_SMOOTHING: f64 = 0.25;
/// Increase of the share before smoothing.
const GRADIENT_INCREASE: f64 = 0.03;

/// Change of the share for a change of the saturation.
const PROPORTIONAL_GAIN: f64 = 0.5;
/// Change of the share for the distance of the saturation from the target, per second.
const INTEGRAL_GAIN: f64 = 0.12;

/// The rule of the limit and its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimitConfig {
    /// How the limit is derived from reports; unspecified means `Capacity`.
    pub rule: Rule,
    /// Saturation that the limit aims at, above 0.
    pub target_saturation: f64,
}

impl Default for ConcurrencyLimitConfig {
    fn default() -> Self {
        ConcurrencyLimitConfig {
            rule: Rule::Capacity,
            target_saturation: DEFAULT_TARGET_SATURATION,
        }
    }
}

/// The load of the fleet since the last report. The unit of work is a second of latency objective; it includes retries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Time since the last report, in seconds.
    pub seconds: f64,
    /// Work that arrived, per second.
    pub offered: f64,
    /// Work that was admitted, per second.
    pub admitted: f64,
    /// Work that was completed, late or not, per second.
    pub completed: f64,
    /// Saturation of the fleet, 0 to 1.
    pub saturation: f64,
    /// Mean latency of successful responses, in milliseconds; 0 without any.
    pub mean_latency_ms: f64,
    /// Total weight of the warm servers.
    pub warm_weight: f64,
}

impl LoadSample {
    fn is_valid(&self) -> bool {
        let values = [
            self.seconds,
            self.offered,
            self.admitted,
            self.completed,
            self.saturation,
            self.mean_latency_ms,
            self.warm_weight,
        ];
        let are_valid = values
            .iter()
            .all(|value| value.is_finite() && *value >= 0.0);
        are_valid && self.seconds > 0.0
    }
}

/// The limit and the estimates behind it.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    config: ConcurrencyLimitConfig,
    admitted_share: f64,
    /// Work that a unit of warm weight completes per second; 0 until it is known.
    capacity_per_weight: f64,
    min_latency_ms: f64,
    last_saturation: Option<f64>,
}

impl ConcurrencyLimiter {
    /// Creates a limiter that admits everything.
    pub fn new(config: ConcurrencyLimitConfig) -> Self {
        ConcurrencyLimiter {
            config,
            admitted_share: 1.0,
            capacity_per_weight: 0.0,
            min_latency_ms: 0.0,
            last_saturation: None,
        }
    }

    /// Returns the share of work to admit, from [`MIN_ADMITTED_SHARE`] to 1.
    pub fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// Returns the work that warm servers of this total weight can complete per second; `None` until it is known.
    pub fn capacity(&self, warm_weight: f64) -> Option<f64> {
        let is_known = self.capacity_per_weight > 0.0 && warm_weight > 0.0;
        is_known.then_some(self.capacity_per_weight * warm_weight)
    }

    /// Adjusts the share to a report, and returns it. Ignores samples with negative or non-finite values, or of no time.
    pub fn update(&mut self, sample: &LoadSample) -> f64 {
        if !sample.is_valid() {
            return self.admitted_share;
        }
        self.learn_capacity(sample);
        let share = match self.config.rule {
            Rule::Aimd => self.share_by_aimd(sample),
            Rule::Gradient => self.share_by_gradient(sample),
            Rule::Target => self.share_by_target(sample),
            Rule::Capacity | Rule::Unspecified => self.share_by_capacity(sample),
        };
        self.last_saturation = Some(sample.saturation);
        self.admitted_share = share.clamp(MIN_ADMITTED_SHARE, 1.0);
        self.admitted_share
    }

    /// Updates the estimated capacity, which is at least the throughput. The throughput of a saturated fleet is its
    /// capacity only if enough work was admitted: otherwise the low throughput would result from the limit itself,
    /// which would tighten further. While work is shed below the target saturation, the estimate grows.
    fn learn_capacity(&mut self, sample: &LoadSample) {
        if sample.warm_weight <= 0.0 {
            return;
        }
        let throughput = sample.completed / sample.warm_weight;
        let is_utilized =
            sample.admitted >= MIN_UTILIZATION * self.capacity_per_weight * sample.warm_weight;
        let is_saturated = (SATURATED_THRESHOLD..COLLAPSED_THRESHOLD).contains(&sample.saturation);
        if is_saturated && is_utilized {
            let smoothing = 1.0 - (1.0 - CAPACITY_DECREASE_RATE).powf(sample.seconds);
            self.capacity_per_weight +=
                smoothing * (throughput - self.capacity_per_weight).min(0.0);
        }
        self.capacity_per_weight = self.capacity_per_weight.max(throughput);
        let target = self.config.target_saturation;
        if self.admitted_share < 1.0 && sample.saturation < target {
            let idleness = 1.0 - sample.saturation / target;
            let growth = 1.0 + CAPACITY_INCREASE_RATE * idleness;
            self.capacity_per_weight *= growth.powf(sample.seconds);
        }
    }

    /// Returns the ratio of the known capacity to the offered work, corrected by the saturation.
    fn share_by_capacity(&self, sample: &LoadSample) -> f64 {
        let target = self.config.target_saturation;
        // The throughput of a fleet that is not saturated measures the demand, not the capacity.
        let is_limited = sample.saturation >= target || self.admitted_share < 1.0;
        let Some(capacity) = self.capacity(sample.warm_weight) else {
            return 1.0;
        };
        if sample.offered <= 0.0 || !is_limited {
            return 1.0;
        }
        let moderate = sample.saturation.min(STEEP_CORRECTION_THRESHOLD);
        let excess =
            (sample.saturation - STEEP_CORRECTION_THRESHOLD) / (1.0 - STEEP_CORRECTION_THRESHOLD);
        let steepness = excess.max(0.0);
        let moderate_correction = 1.0 + SATURATION_CORRECTION * (target - moderate);
        let correction = moderate_correction * (1.0 - steepness) + MIN_ADMITTED_SHARE * steepness;
        capacity * correction / sample.offered
    }

    /// Increases the share additively and decreases it multiplicatively (AIMD).
    fn share_by_aimd(&self, sample: &LoadSample) -> f64 {
        if sample.saturation > self.config.target_saturation {
            self.admitted_share * MULTIPLICATIVE_DECREASE
        } else {
            self.admitted_share + ADDITIVE_INCREASE * sample.seconds
        }
    }

    /// Scales the share by the ratio of the minimum latency to the current one.
    fn share_by_gradient(&mut self, sample: &LoadSample) -> f64 {
        if sample.mean_latency_ms <= 0.0 {
            // Without responses, the latency is unknown.
            return self.admitted_share;
        }
        let min_latency_ms = if self.min_latency_ms > 0.0 {
            let grown_ms = self.min_latency_ms * (1.0 + MIN_LATENCY_GROWTH).powf(sample.seconds);
            grown_ms.min(sample.mean_latency_ms)
        } else {
            sample.mean_latency_ms
        };
        self.min_latency_ms = min_latency_ms.max(MIN_LATENCY_MS);
        let ratio = LATENCY_TOLERANCE * self.min_latency_ms / sample.mean_latency_ms;
        let gradient = ratio.clamp(MIN_GRADIENT, 1.0);
        let target_share = self.admitted_share * gradient + GRADIENT_INCREASE;
        self.admitted_share + GRADIENT_SMOOTHING * (target_share - self.admitted_share)
    }

    /// Proportional-integral control of the saturation.
    fn share_by_target(&self, sample: &LoadSample) -> f64 {
        let last_saturation = self.last_saturation.unwrap_or(sample.saturation);
        let change = sample.saturation - last_saturation;
        let error = sample.saturation - self.config.target_saturation;
        self.admitted_share - PROPORTIONAL_GAIN * change - INTEGRAL_GAIN * error * sample.seconds
    }
}

#[cfg(test)]
mod tests;
