//! What can be said of paired differences, and how surely.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use statrs::distribution::{ContinuousCDF as _, StudentsT};

/// Draws of a bootstrap: its ends are steady to a hundredth of their distance.
const DRAWS: usize = 4000;
/// Runs that are ever asked for: what a night on one machine gives.
const RUNS_MOST: usize = 1_000_000;

/// What is known of a mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// How many figures it is of.
    pub runs: usize,
    /// Their mean.
    pub mean: f64,
    /// Their standard deviation.
    pub sd: f64,
    /// Half the width of the interval by Student's t.
    pub half_width: f64,
    /// The ends of the interval by bootstrap.
    pub bootstrap: (f64, f64),
    /// Chance of a mean as far from 0 if there were no difference.
    pub p: f64,
}

impl Estimate {
    /// The ends of the interval by Student's t.
    pub fn ends(&self) -> (f64, f64) {
        (self.mean - self.half_width, self.mean + self.half_width)
    }
}

/// Mean and standard deviation; 0 where there is too little to tell.
pub fn moments(figures: &[f64]) -> (f64, f64) {
    let count = figures.len() as f64;
    if figures.is_empty() {
        return (0.0, 0.0);
    }
    let mean = figures.iter().sum::<f64>() / count;
    if figures.len() < 2 {
        return (mean, 0.0);
    }
    let squares: f64 = figures.iter().map(|figure| (figure - mean).powi(2)).sum();
    (mean, (squares / (count - 1.0)).sqrt())
}

/// The multiple of the standard error that holds at a confidence, for so many figures.
fn multiple(runs: usize, confidence: f64) -> f64 {
    let freedom = (runs.max(2) - 1) as f64;
    StudentsT::new(0.0, 1.0, freedom)
        .map_or(f64::INFINITY, |t| t.inverse_cdf(0.5 + confidence / 2.0))
}

/// What figures tell of their mean, at a confidence. Fewer than two tell nothing of how sure it is.
pub fn estimate(figures: &[f64], confidence: f64, seed: u64) -> Estimate {
    let by_t = interval(figures, confidence);
    if by_t.runs < 2 {
        return by_t;
    }
    Estimate {
        bootstrap: bootstrap(figures, confidence, seed),
        ..by_t
    }
}

/// The same without the bootstrap.
pub fn interval(figures: &[f64], confidence: f64) -> Estimate {
    let (mean, sd) = moments(figures);
    let runs = figures.len();
    if runs < 2 {
        let nothing = (f64::NEG_INFINITY, f64::INFINITY);
        return Estimate {
            runs,
            mean,
            sd,
            half_width: f64::INFINITY,
            bootstrap: nothing,
            p: 1.0,
        };
    }
    let error = sd / (runs as f64).sqrt();
    let half_width = if sd > 0.0 {
        multiple(runs, confidence) * error
    } else {
        0.0
    };
    let p = match (error > 0.0, mean == 0.0) {
        (true, _) => {
            let t = StudentsT::new(0.0, 1.0, (runs - 1) as f64);
            t.map_or(1.0, |of| 2.0 * of.sf((mean / error).abs()))
        }
        (false, true) => 1.0,
        (false, false) => 0.0,
    };
    Estimate {
        runs,
        mean,
        sd,
        half_width,
        bootstrap: (mean - half_width, mean + half_width),
        p,
    }
}

/// The ends of an interval of the mean by drawing from the figures themselves; seeded.
pub fn bootstrap(figures: &[f64], confidence: f64, seed: u64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = figures.len();
    if count == 0 {
        return (0.0, 0.0);
    }
    let mut drawn = || {
        (0..count)
            .map(|_| figures[rng.random_range(0..count)])
            .sum::<f64>()
            / count as f64
    };
    let mut means: Vec<f64> = (0..DRAWS).map(|_| drawn()).collect();
    means.sort_unstable_by(f64::total_cmp);
    let at = |share: f64| means[((share * DRAWS as f64) as usize).min(DRAWS - 1)];
    (at((1.0 - confidence) / 2.0), at((1.0 + confidence) / 2.0))
}

/// Chances corrected for how many comparisons were made (Holm), in the order given.
pub fn holm(chances: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..chances.len()).collect();
    order.sort_by(|one, other| chances[*one].total_cmp(&chances[*other]));
    let mut corrected = vec![1.0; chances.len()];
    let mut least = 0.0f64;
    for (place, at) in order.into_iter().enumerate() {
        let left = (chances.len() - place) as f64;
        least = least.max((chances[at] * left).min(1.0));
        corrected[at] = least;
    }
    corrected
}

/// Runs after which a mean is known to a half width, from what a few runs tell of its spread.
pub fn needed(pilot: &[f64], confidence: f64, half_width: f64) -> usize {
    let (_, sd) = moments(pilot);
    if sd == 0.0 || pilot.len() < 2 {
        return pilot.len();
    }
    let enough = |runs: usize| multiple(runs, confidence) * sd / (runs as f64).sqrt() <= half_width;
    let mut runs = 2;
    while runs < RUNS_MOST && !enough(runs) {
        runs += (runs / 16).max(1);
    }
    runs
}

/// What the interval of a difference says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// More than before, beyond the bars.
    More,
    /// Less.
    Less,
    /// The difference is smaller than what was asked to be told apart.
    Alike,
    /// It is not known well enough.
    Open,
}

impl Verdict {
    /// The word for it.
    pub fn word(self) -> &'static str {
        match self {
            Verdict::More => "more",
            Verdict::Less => "less",
            Verdict::Alike => "alike",
            Verdict::Open => "not told apart",
        }
    }
}

/// The verdict of an estimate, its chance corrected for many comparisons.
pub fn verdict(of: &Estimate, corrected: f64, confidence: f64, half_width: f64) -> Verdict {
    let (low, high) = of.ends();
    if corrected < 1.0 - confidence && (low > 0.0 || high < 0.0) {
        return if of.mean > 0.0 {
            Verdict::More
        } else {
            Verdict::Less
        };
    }
    if low >= -half_width && high <= half_width {
        Verdict::Alike
    } else {
        Verdict::Open
    }
}

#[cfg(test)]
mod tests;
