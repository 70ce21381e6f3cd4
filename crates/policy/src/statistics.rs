//! Arithmetic on observations: decaying means, quantiles, shares and ramps.

use std::collections::BTreeMap;

/// A ratio of two sums that decay with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingMean {
    /// Decayed sum of the values, each multiplied by its weight.
    pub sum: f64,
    /// Decayed sum of the weights.
    pub weight: f64,
}

impl DecayingMean {
    /// Adds values that were already multiplied by their weight.
    pub fn add(&mut self, sum: f64, weight: f64) {
        self.sum += sum;
        self.weight += weight;
    }

    /// Decays both sums, which halve with each half-life.
    pub fn decay(&mut self, elapsed_seconds: f64, half_life_seconds: f64) {
        let remaining_share = decay_factor(elapsed_seconds, half_life_seconds);
        self.sum *= remaining_share;
        self.weight *= remaining_share;
    }

    /// Returns the mean of values that are never 0; none without values.
    pub fn positive_mean(&self) -> Option<f64> {
        (self.sum > 0.0 && self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// Returns the factor by which a sum decays in the elapsed time.
pub(crate) fn decay_factor(elapsed_seconds: f64, half_life_seconds: f64) -> f64 {
    0.5f64.powf(elapsed_seconds / half_life_seconds)
}

/// A linear rise from 0 at one value to 1 at another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ramp {
    /// The value up to which the ramp is 0.
    pub from: f64,
    /// The value from which the ramp is 1.
    pub to: f64,
}

impl Ramp {
    /// Returns the height of the ramp at a value, from 0 to 1.
    pub fn at(&self, value: f64) -> f64 {
        clamp_to_unit((value - self.from) / (self.to - self.from))
    }
}

/// An observation with its weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightedSample {
    /// The observed value.
    pub value: f64,
    /// Its weight in means and medians, at least 0.
    pub weight: f64,
}

/// Returns the weighted mean; none if all weights are 0.
pub(crate) fn weighted_mean(samples: &[WeightedSample]) -> Option<f64> {
    let weight: f64 = samples.iter().map(|sample| sample.weight).sum();
    let sum: f64 = samples
        .iter()
        .map(|sample| sample.value * sample.weight)
        .sum();
    (weight > 0.0).then(|| sum / weight)
}

/// Returns the least value up to which the samples have half of the total weight; none without samples.
pub(crate) fn weighted_median(mut samples: Vec<WeightedSample>) -> Option<f64> {
    samples.sort_by(|a, b| a.value.total_cmp(&b.value));
    let half = samples.iter().map(|sample| sample.weight).sum::<f64>() / 2.0;
    let mut weight_below = 0.0;
    for sample in &samples {
        weight_below += sample.weight;
        if weight_below >= half {
            return Some(sample.value);
        }
    }
    None
}

/// Returns the value limited to the range from 0 to 1; NaN stays NaN.
pub(crate) fn clamp_to_unit(value: f64) -> f64 {
    value.clamp(0.0, 1.0)
}

/// Returns the value at the given share of the sorted values; none without values.
pub(crate) fn quantile(values: impl Iterator<Item = f64>, share: f64) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * share).round() as usize).copied()
}

/// Returns the middle one of the sorted values; none without values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    quantile(values, 0.5)
}

/// Returns each key's share of the sum of all amounts; amounts that are not positive are ignored.
pub(crate) fn shares<Key: Ord>(amounts: impl Iterator<Item = (Key, f64)>) -> BTreeMap<Key, f64> {
    let mut shares = BTreeMap::new();
    let mut total = 0.0;
    for (key, amount) in amounts.filter(|(_, amount)| *amount > 0.0) {
        *shares.entry(key).or_default() += amount;
        total += amount;
    }
    for share in shares.values_mut() {
        *share /= total;
    }
    shares
}
