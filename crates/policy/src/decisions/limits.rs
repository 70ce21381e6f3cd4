//! The active limits of the overload manager.

use crate::interface::{Limits, Micros, Retry, ShedShares};

/// The longest time for which limits apply without renewal: a stopped overload manager must not shed load indefinitely.
const MAX_VALIDITY: Micros = Micros(15_000_000);

/// The limits that apply until they expire or are replaced.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveLimits {
    limits: Limits,
}

impl ActiveLimits {
    /// Replaces the limits.
    pub fn accept(&mut self, limits: &Limits) {
        self.limits = limits.clone();
    }

    /// Drops limits that have expired, or whose expiry is too far in the future.
    pub fn expire(&mut self, now: Micros) {
        let is_valid = self.limits.expires_at > now && self.limits.expires_at <= now + MAX_VALIDITY;
        if !is_valid {
            self.limits = Limits::default();
        }
    }

    /// Returns the lower bound on the share of requests to shed.
    pub fn min_shed_share(&self) -> Option<f64> {
        self.limits.min_shed_share
    }

    /// Returns the shares to shed where heavy proxies have separate tables.
    pub fn shed_shares(&self) -> Option<ShedShares> {
        self.limits.shed_shares
    }

    /// Returns the upper bound on the admitted share of a class; NaN counts as no bound.
    pub fn max_admitted_share(&self, class: usize) -> f64 {
        self.limits
            .admitted
            .iter()
            .filter(|bound| usize::from(bound.class.0) == class && !bound.share.is_nan())
            .fold(1.0, |least, bound| least.min(bound.share))
    }

    /// Returns the narrowest retry policy that the limits give for a class, if any.
    pub fn retry(&self, class: usize) -> Option<Retry> {
        self.limits
            .retries
            .iter()
            .filter(|given| usize::from(given.class.0) == class)
            .map(|given| given.retry)
            .min()
    }
}
