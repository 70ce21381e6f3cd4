//! The active advice of plug-ins: how often it may change, when it expires, and how it affects weights.

use std::collections::BTreeMap;

use crate::interface::{Advice, ClassId, ClassSet, Micros, ServerId, WeightFactor, ZoneId};
use crate::statistics::clamp_to_unit;

use super::registry::{Registry, Weights};

/// Least time from accepted advice to the next. An oscillating plug-in would otherwise fill the channel and delay
/// weight changes of failing servers.
const MIN_CHANGE_INTERVAL: Micros = Micros(5_000_000);
/// The longest time for which advice applies without renewal.
const MAX_VALIDITY: Micros = Micros(15_000_000);
/// Least share of the warm servers' weight that advice must leave in a table; otherwise it is overruled there.
const MIN_REMAINING_SHARE: f64 = 0.5;

/// The tables that weight factors apply to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FactorScope {
    /// Zone of the proxies.
    pub zone: ZoneId,
    /// The class with separate tables; absent for all classes.
    pub class: Option<ClassId>,
}

/// The advice that applies until it expires or is replaced.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveAdvice {
    /// Classes with separate tables. They outlast the advice, since a change of tables takes many lines of the channel.
    pub separate_tables: ClassSet,
    /// Classes whose requests must not be retried.
    pub no_retry: ClassSet,
    max_admitted_shares: BTreeMap<usize, f64>,
    factors: BTreeMap<FactorScope, Weights>,
    excluded_until: BTreeMap<ServerId, Micros>,
    expires_at: Micros,
    accepted_at: Option<Micros>,
}

impl ActiveAdvice {
    /// Replaces the active advice, unless that was accepted less than [`MIN_CHANGE_INTERVAL`] ago. In a saturated
    /// fleet, advice on servers is ignored, since all servers are needed.
    pub fn accept(&mut self, now: Micros, advice: &Advice, is_saturated: bool) {
        let is_too_early = self
            .accepted_at
            .is_some_and(|accepted_at| now - accepted_at < MIN_CHANGE_INTERVAL);
        if is_too_early {
            return;
        }
        *self = ActiveAdvice {
            separate_tables: advice.separate_tables,
            no_retry: advice.no_retry,
            max_admitted_shares: admitted_shares(advice),
            factors: BTreeMap::new(),
            excluded_until: BTreeMap::new(),
            expires_at: advice.expires_at.min(now + MAX_VALIDITY),
            accepted_at: Some(now),
        };
        if !is_saturated {
            self.factors = factors_by_scope(advice);
            self.excluded_until = advice
                .excluded
                .iter()
                .map(|exclusion| (exclusion.server, exclusion.until))
                .collect();
        }
    }

    /// Drops expired advice, except for the separate tables.
    pub fn expire(&mut self, now: Micros) {
        if self.expires_at > now {
            return;
        }
        *self = ActiveAdvice {
            separate_tables: self.separate_tables,
            accepted_at: self.accepted_at,
            ..ActiveAdvice::default()
        };
    }

    /// Returns the upper bound on the admitted share of a class.
    pub fn max_admitted_share(&self, class: usize) -> f64 {
        self.max_admitted_shares.get(&class).copied().unwrap_or(1.0)
    }

    /// Applies the advice on servers to the weights of a table, unless that leaves too little of the warm servers'
    /// weight. Returns whether it was overruled.
    pub fn apply(
        &self,
        scope: FactorScope,
        now: Micros,
        registry: &Registry,
        weights: &mut Weights,
    ) -> bool {
        if self.factors.is_empty() && self.excluded_until.is_empty() {
            return false;
        }
        let advised: Weights = weights
            .iter()
            .map(|(id, weight)| (*id, weight * self.weight_share(*id, scope, now)))
            .collect();
        let remaining = warm_weight(registry, &advised);
        let is_overruled = remaining < MIN_REMAINING_SHARE * warm_weight(registry, weights);
        if !is_overruled {
            *weights = advised;
        }
        is_overruled
    }

    /// Returns the share of its weight that a server retains.
    fn weight_share(&self, server: ServerId, scope: FactorScope, now: Micros) -> f64 {
        let excluded_until = self.excluded_until.get(&server);
        if excluded_until.is_some_and(|until| *until > now) {
            return 0.0;
        }
        let for_all_classes = FactorScope {
            class: None,
            ..scope
        };
        let class_factor = match scope.class {
            Some(_) => self.factor(server, scope),
            None => 1.0,
        };
        class_factor * self.factor(server, for_all_classes)
    }

    fn factor(&self, server: ServerId, scope: FactorScope) -> f64 {
        self.factors
            .get(&scope)
            .and_then(|factors| factors.get(&server))
            .copied()
            .filter(|factor| !factor.is_nan())
            .map_or(1.0, clamp_to_unit)
    }
}

fn admitted_shares(advice: &Advice) -> BTreeMap<usize, f64> {
    advice
        .caps
        .iter()
        .filter(|cap| !cap.share.is_nan())
        .map(|cap| (usize::from(cap.class.0), cap.share))
        .collect()
}

fn factors_by_scope(advice: &Advice) -> BTreeMap<FactorScope, Weights> {
    let mut by_scope = BTreeMap::<FactorScope, Weights>::new();
    for &WeightFactor {
        server,
        zone,
        class,
        factor,
    } in &advice.factors
    {
        by_scope
            .entry(FactorScope { zone, class })
            .or_default()
            .insert(server, factor);
    }
    by_scope
}

fn warm_weight(registry: &Registry, weights: &Weights) -> f64 {
    weights
        .iter()
        .filter(|(id, _)| registry.is_warm(**id))
        .map(|(_, weight)| *weight)
        .sum()
}
