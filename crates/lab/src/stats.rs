//! Statistics of paired differences: estimates with confidence intervals, p-values and verdicts.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use statrs::distribution::{ContinuousCDF as _, StudentsT};

/// Resamples of a bootstrap: its bounds vary by about a hundredth of the interval's width.
const BOOTSTRAP_RESAMPLES: usize = 4000;
/// Maximum sample size that is computed: as many runs as one machine completes in a night.
const MAX_REQUIRED_RUNS: usize = 1_000_000;

/// An estimate of a mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Sample size.
    pub runs: usize,
    /// Mean of the sample.
    pub mean: f64,
    /// Standard deviation of the sample; 0 for fewer than two values.
    pub standard_deviation: f64,
    /// Half the width of the confidence interval by Student's t; infinite for fewer than two values.
    pub half_width: f64,
    /// Lower bound of the bootstrap interval.
    pub bootstrap_low: f64,
    /// Upper bound of the bootstrap interval.
    pub bootstrap_high: f64,
    /// Two-sided p-value of the null hypothesis that the mean is 0.
    pub p_value: f64,
}

impl Estimate {
    /// Returns the lower and upper bound of the confidence interval by Student's t.
    pub fn bounds(&self) -> (f64, f64) {
        (self.mean - self.half_width, self.mean + self.half_width)
    }
}

/// Returns the mean and the standard deviation; 0 where the sample is too small for them.
pub fn mean_and_deviation(sample: &[f64]) -> (f64, f64) {
    let count = sample.len() as f64;
    if sample.is_empty() {
        return (0.0, 0.0);
    }
    let mean = sample.iter().sum::<f64>() / count;
    if sample.len() < 2 {
        return (mean, 0.0);
    }
    let squares: f64 = sample.iter().map(|value| (value - mean).powi(2)).sum();
    (mean, (squares / (count - 1.0)).sqrt())
}

/// Returns the quantile of Student's t that, times the standard error, is half the width of a confidence interval.
fn t_quantile(runs: usize, confidence: f64) -> f64 {
    let degrees_of_freedom = (runs.max(2) - 1) as f64;
    StudentsT::new(0.0, 1.0, degrees_of_freedom)
        .map_or(f64::INFINITY, |t| t.inverse_cdf(0.5 + confidence / 2.0))
}

/// Estimates the mean of a sample, with a bootstrap interval. The intervals are infinite for fewer than two values.
pub fn estimate(sample: &[f64], confidence: f64, seed: u64) -> Estimate {
    let by_t = interval(sample, confidence);
    if by_t.runs < 2 {
        return by_t;
    }
    let (bootstrap_low, bootstrap_high) = bootstrap(sample, confidence, seed);
    Estimate {
        bootstrap_low,
        bootstrap_high,
        ..by_t
    }
}

/// Estimates the mean of a sample without the bootstrap, whose bounds are set to those by Student's t.
pub fn interval(sample: &[f64], confidence: f64) -> Estimate {
    let (mean, standard_deviation) = mean_and_deviation(sample);
    let runs = sample.len();
    if runs < 2 {
        return Estimate {
            runs,
            mean,
            standard_deviation,
            half_width: f64::INFINITY,
            bootstrap_low: f64::NEG_INFINITY,
            bootstrap_high: f64::INFINITY,
            p_value: 1.0,
        };
    }
    let standard_error = standard_deviation / (runs as f64).sqrt();
    let half_width = if standard_deviation > 0.0 {
        t_quantile(runs, confidence) * standard_error
    } else {
        0.0
    };
    let p_value = match (standard_error > 0.0, mean == 0.0) {
        (true, _) => {
            let t = StudentsT::new(0.0, 1.0, (runs - 1) as f64);
            t.map_or(1.0, |t| 2.0 * t.sf((mean / standard_error).abs()))
        }
        (false, true) => 1.0,
        (false, false) => 0.0,
    };
    Estimate {
        runs,
        mean,
        standard_deviation,
        half_width,
        bootstrap_low: mean - half_width,
        bootstrap_high: mean + half_width,
        p_value,
    }
}

/// Returns the bounds of a bootstrap interval of the mean: quantiles of the means of seeded resamples.
pub fn bootstrap(sample: &[f64], confidence: f64, seed: u64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = sample.len();
    if count == 0 {
        return (0.0, 0.0);
    }
    let mut resampled_mean = || {
        (0..count)
            .map(|_| sample[rng.random_range(0..count)])
            .sum::<f64>()
            / count as f64
    };
    let mut means: Vec<f64> = (0..BOOTSTRAP_RESAMPLES).map(|_| resampled_mean()).collect();
    means.sort_unstable_by(f64::total_cmp);
    let quantile = |share: f64| {
        let index = (share * BOOTSTRAP_RESAMPLES as f64) as usize;
        means[index.min(BOOTSTRAP_RESAMPLES - 1)]
    };
    (
        quantile((1.0 - confidence) / 2.0),
        quantile((1.0 + confidence) / 2.0),
    )
}

/// Returns p-values with the Holm correction for multiple comparisons, in the order given.
pub fn holm(p_values: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..p_values.len()).collect();
    order.sort_by(|one, other| p_values[*one].total_cmp(&p_values[*other]));
    let mut corrected = vec![1.0; p_values.len()];
    let mut max_corrected = 0.0f64;
    for (rank, index) in order.into_iter().enumerate() {
        let remaining = (p_values.len() - rank) as f64;
        max_corrected = max_corrected.max((p_values[index] * remaining).min(1.0));
        corrected[index] = max_corrected;
    }
    corrected
}

/// Returns the sample size at which the confidence interval reaches a half width, given a pilot sample: up to a sixteenth
/// above the exact one, and at most about a million. Returns the size of a pilot that shows no variation.
pub fn required_runs(pilot: &[f64], confidence: f64, half_width: f64) -> usize {
    let (_, standard_deviation) = mean_and_deviation(pilot);
    if standard_deviation == 0.0 || pilot.len() < 2 {
        return pilot.len();
    }
    let suffices = |runs: usize| {
        t_quantile(runs, confidence) * standard_deviation / (runs as f64).sqrt() <= half_width
    };
    let mut runs = 2;
    while runs < MAX_REQUIRED_RUNS && !suffices(runs) {
        runs += (runs / 16).max(1);
    }
    runs
}

/// The conclusion from the estimate of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The difference is positive: its interval excludes 0, and the corrected p-value is significant.
    More,
    /// The difference is negative, by the same criteria.
    Less,
    /// The interval lies within the requested half width around 0.
    Equivalent,
    /// The estimate supports none of these.
    Inconclusive,
}

impl Verdict {
    /// Returns the wording in tables, reports and CSV files.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::More => "more",
            Verdict::Less => "less",
            Verdict::Equivalent => "alike",
            Verdict::Inconclusive => "not told apart",
        }
    }
}

/// Returns the verdict on a difference, given its p-value corrected for multiple comparisons.
pub fn verdict(
    difference: &Estimate,
    corrected_p_value: f64,
    confidence: f64,
    half_width: f64,
) -> Verdict {
    let (low, high) = difference.bounds();
    if corrected_p_value < 1.0 - confidence && (low > 0.0 || high < 0.0) {
        return if difference.mean > 0.0 {
            Verdict::More
        } else {
            Verdict::Less
        };
    }
    if low >= -half_width && high <= half_width {
        Verdict::Equivalent
    } else {
        Verdict::Inconclusive
    }
}

#[cfg(test)]
mod tests;
