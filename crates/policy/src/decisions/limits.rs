//! The limits of the overload manager in force.

use crate::interface::{Limits, Micros, Retry, ShedShares};

/// The longest time for which limits stand without being renewed: an overload manager that stands still must not shed
/// load for good.
const MAX_VALIDITY: Micros = Micros(15_000_000);

/// The limits in force.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveLimits {
    limits: Limits,
}

impl ActiveLimits {
    /// Takes limits, which replace the previous ones.
    pub fn accept(&mut self, limits: &Limits) {
        self.limits = limits.clone();
    }

    /// Drops limits that were not renewed, or that claim to stand for too long.
    pub fn expire(&mut self, now: Micros) {
        let is_valid = self.limits.expires_at > now && self.limits.expires_at <= now + MAX_VALIDITY;
        if !is_valid {
            self.limits = Limits::default();
        }
    }

    /// Lower bound on the share of requests to shed.
    pub fn min_shed_share(&self) -> Option<f64> {
        self.limits.min_shed_share
    }

    /// Shares to shed where heavy proxies have tables of their own.
    pub fn shed_shares(&self) -> Option<ShedShares> {
        self.limits.shed_shares
    }

    /// Upper bound on the admitted share of a class; NaN counts as no bound.
    pub fn max_admitted_share(&self, class: usize) -> f64 {
        self.limits
            .admitted
            .iter()
            .filter(|bound| usize::from(bound.class.0) == class && !bound.share.is_nan())
            .fold(1.0, |least, bound| least.min(bound.share))
    }

    /// The narrowest retry policy given for a class, if any is.
    pub fn retry(&self, class: usize) -> Option<Retry> {
        self.limits
            .retries
            .iter()
            .filter(|given| usize::from(given.class.0) == class)
            .map(|given| given.retry)
            .min()
    }
}
