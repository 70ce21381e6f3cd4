//! Chance, one seeded stream for each source of it: a change in one leaves the others as they were, so that two variants of a
//! scenario meet the same requests, the same speeds and the same troubles.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp1, LogNormal, StandardNormal};

/// Where chance comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Source {
    /// When requests come.
    Arrivals = 1,
    /// What they are.
    Requests,
    /// How fast servers are.
    Servers,
    /// What front ends pick, one stream each.
    Picks,
    /// How long ways take.
    Ways,
    /// What clients do after a failure.
    Clients,
    /// Noise of what is reported.
    Reports,
    /// What troubles strike, one stream each.
    Troubles,
    /// How late the list is.
    Discovery,
    /// Seeds of the decisions, one stream for each supervisor.
    Supervisors,
    /// What fails by itself.
    Errors,
    /// Tables that front ends start with.
    Standing,
}

/// One stream of chance.
#[derive(Clone, Debug)]
pub struct Chance(ChaCha8Rng);

impl Chance {
    /// The stream of a source, by number where it has several.
    pub fn new(seed: u64, source: Source, number: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(((source as u64) << 32) | number as u64);
        Chance(rng)
    }

    /// From 0 to 1.
    pub fn share(&mut self) -> f64 {
        self.0.random()
    }

    /// A whole number.
    pub fn number(&mut self) -> u64 {
        self.0.random()
    }

    /// Between two figures.
    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.share()
    }

    /// A position below a bound; 0 where there is none.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            0
        } else {
            self.0.random_range(0..bound)
        }
    }

    /// Exponential, with this mean.
    pub fn gap(&mut self, mean: f64) -> f64 {
        let gap: f64 = Exp1.sample(&mut self.0);
        gap * mean
    }

    /// Log-normal with mean 1 and this standard deviation.
    pub fn spread(&mut self, cv: f64) -> f64 {
        if cv <= 0.0 {
            return 1.0;
        }
        let sigma = (1.0 + cv * cv).ln().sqrt();
        LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |of| of.sample(&mut self.0))
    }

    /// 1 and normal noise of this standard deviation, never below a tenth.
    pub fn noise(&mut self, cv: f64) -> f64 {
        let normal: f64 = StandardNormal.sample(&mut self.0);
        (1.0 + cv * normal).max(0.1)
    }

    /// Some of many, each with the same chance, in their order.
    pub fn some(&mut self, of: usize, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        let count = count.min(of);
        for at in 0..count {
            let other = at + self.below(of - at);
            all.swap(at, other);
        }
        all.truncate(count);
        all.sort_unstable();
        all
    }
}

#[cfg(test)]
mod tests;
