//! Seeded random numbers, with an independent stream for each purpose. Additional draws for one purpose do not affect the
//! others, so two variants of a scenario have the same requests, server speeds and faults.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp1, LogNormal, StandardNormal};

/// What random numbers are used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Purpose {
    /// Arrival times of requests.
    Arrivals = 1,
    /// Properties of requests: class, zone and work.
    Requests,
    /// Speeds of servers.
    Servers,
    /// Server selection, one stream for each proxy.
    Picks,
    /// Network delays and losses.
    Links,
    /// Backoff of clients, and the proxies of their retries.
    Clients,
    /// Noise and delay of reports.
    Reports,
    /// Targets of faults, one stream for each fault.
    Faults,
    /// Delays of discovery.
    Discovery,
    /// Seeds of the decision module, one stream for each start of a supervisor.
    Supervisors,
    /// Request failures at servers.
    Errors,
    /// Initial tables of proxies.
    InitialTables,
}

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct RandomSource(ChaCha8Rng);

impl RandomSource {
    /// Returns the stream of a purpose; `index` selects one where the purpose has several.
    pub fn new(seed: u64, purpose: Purpose, index: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(((purpose as u64) << 32) | index as u64);
        RandomSource(rng)
    }

    /// Draws from the uniform distribution over [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0.random()
    }

    /// Draws an integer from its whole range.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }

    /// Draws from the uniform distribution between two bounds.
    pub fn uniform_between(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.uniform()
    }

    /// Draws an index below a bound; returns 0 without a draw if the bound is 0.
    pub fn index_below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            0
        } else {
            self.0.random_range(0..bound)
        }
    }

    /// Draws from the exponential distribution with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let sample: f64 = Exp1.sample(&mut self.0);
        sample * mean
    }

    /// Draws from the log-normal distribution with mean 1 and this coefficient of variation.
    pub fn log_normal(&mut self, cv: f64) -> f64 {
        if cv <= 0.0 {
            return 1.0;
        }
        let sigma = (1.0 + cv * cv).ln().sqrt();
        LogNormal::new(-sigma * sigma / 2.0, sigma)
            .map_or(1.0, |distribution| distribution.sample(&mut self.0))
    }

    /// Draws from the normal distribution with mean 1 and this standard deviation and returns at least 0.1.
    pub fn noise_factor(&mut self, cv: f64) -> f64 {
        let normal: f64 = StandardNormal.sample(&mut self.0);
        (1.0 + cv * normal).max(0.1)
    }

    /// Draws distinct indices below `population` with equal probability, in ascending order; at most all of them.
    pub fn sample_indices(&mut self, population: usize, count: usize) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..population).collect();
        let count = count.min(population);
        for index in 0..count {
            let other = index + self.index_below(population - index);
            indices.swap(index, other);
        }
        indices.truncate(count);
        indices.sort_unstable();
        indices
    }
}

#[cfg(test)]
mod tests;
