//! The guard for warming servers: it limits their weights so that all proxies together do not overload them.

use crate::interface::{ServerId, Settings};

use super::evidence::PRIOR_ATTEMPTS;
use super::health::MIN_WEIGHT_SHARE;
use super::registry::{Registry, Weights};

/// Demand that warming servers must withstand, as a multiple of the capacity of the listed fleet. It is large, since
/// reports are seconds late.
const DEMAND_MULTIPLE: f64 = 4.0;
/// Attempts per successful response above which warming servers are withheld.
const WITHHOLD_ATTEMPTS_PER_ANSWER: f64 = 1.5;
/// Saturation above which warming servers are withheld.
const WITHHOLD_SATURATION: f64 = 0.3;
/// Demand that warming servers must withstand without warm ones, as a multiple of the size of all known servers.
const WARMING_ONLY_DEMAND_MULTIPLE: f64 = 2.0;
/// Upper bound on the warming servers' share of a table's weight, from which the weight of the table is estimated.
const MAX_TABLE_SHARE: f64 = 0.9;

/// The demand that warming servers must withstand.
#[derive(Clone, Copy, Debug)]
pub(super) struct WarmingDemand {
    /// Attempts per successful response.
    pub attempts_per_answer: f64,
    /// The demand, as a multiple of the capacity of the listed fleet.
    pub fleet_multiple: f64,
    /// Whether warming servers are withheld from tables. Proxies that eject failing servers would send all requests to
    /// a warming server once the others fail.
    pub is_withheld: bool,
}

impl WarmingDemand {
    /// Estimates the demand from the outcomes of all servers in service and the smoothed saturation.
    pub fn estimate(registry: &Registry, settings: &Settings, saturation: f64) -> Self {
        let mut attempts = 0.0;
        let mut succeeded = 0.0;
        for (_, server) in registry.in_service() {
            for evidence in server.evidence.by_proxy_zone.values() {
                attempts += evidence.failures.weight;
                succeeded += evidence.latency_ms.weight;
            }
        }
        let attempts_per_answer =
            ((attempts + PRIOR_ATTEMPTS) / (succeeded + PRIOR_ATTEMPTS)).max(1.0);
        let is_at_risk = attempts_per_answer > WITHHOLD_ATTEMPTS_PER_ANSWER
            || saturation > WITHHOLD_SATURATION
            || attempts <= 0.0;
        WarmingDemand {
            attempts_per_answer,
            fleet_multiple: DEMAND_MULTIPLE * attempts_per_answer,
            is_withheld: settings.proxy_ejection_threshold > 0 && is_at_risk,
        }
    }

    /// Returns the demand if only a share of all requests can reach the servers.
    pub fn scaled(self, share: f64) -> Self {
        WarmingDemand {
            fleet_multiple: self.fleet_multiple * share,
            ..self
        }
    }
}

/// The guard for one table.
#[derive(Debug)]
pub(super) struct WarmUpGuard<'a> {
    /// The known servers.
    pub registry: &'a Registry,
    /// Load above which a warming server fails, as a multiple of its capacity.
    pub overload_multiple: f64,
    /// Size of all servers that the table may contain, in service or not.
    pub known_size: f64,
    /// Size of the servers in service of the table's shard.
    pub listed_size: f64,
    /// The demand that warming servers must withstand.
    pub demand: WarmingDemand,
}

impl WarmUpGuard<'_> {
    /// Limits the weights of warming servers.
    pub fn apply(&self, weights: &mut Weights) {
        self.restore_warm_servers(weights);
        let warm_weight = self.warm_weight(weights);
        if warm_weight <= 0.0 {
            self.clear_unless_sufficient(weights);
        }
        let has_warm_servers = warm_weight > 0.0;
        if !has_warm_servers {
            return;
        }
        let capped_share = weights
            .keys()
            .filter(|id| self.is_warming_up(**id))
            .map(|id| self.max_share(*id))
            .sum::<f64>()
            .min(MAX_TABLE_SHARE);
        let table_weight = warm_weight / (1.0 - capped_share);
        for (id, weight) in weights.iter_mut() {
            if !self.is_warming_up(*id) {
                continue;
            }
            *weight = if self.demand.is_withheld {
                0.0
            } else {
                weight.min(table_weight * self.max_share(*id))
            };
        }
    }

    /// Gives the warm servers a small weight if all of them are withdrawn, since they are a better choice than warming
    /// servers alone.
    fn restore_warm_servers(&self, weights: &mut Weights) {
        let lacks_warm_servers = self.warm_weight(weights) <= 0.0;
        for (id, weight) in weights.iter_mut() {
            if lacks_warm_servers && !self.is_warming_up(*id) {
                *weight = MIN_WEIGHT_SHARE * self.size(*id);
            }
        }
    }

    /// Clears all weights unless the servers together can certainly serve the demand of the complete fleet.
    fn clear_unless_sufficient(&self, weights: &mut Weights) {
        let capacity: f64 = weights
            .keys()
            .map(|id| self.warm_up_share(*id) * self.size(*id))
            .sum();
        let needed = WARMING_ONLY_DEMAND_MULTIPLE * self.known_size;
        if capacity * self.overload_multiple < needed {
            for weight in weights.values_mut() {
                *weight = 0.0;
            }
        }
    }

    fn warm_weight(&self, weights: &Weights) -> f64 {
        weights
            .iter()
            .filter(|(id, _)| !self.is_warming_up(**id))
            .map(|(_, weight)| *weight)
            .sum()
    }

    /// Returns the share of the table's requests that a warming server can serve.
    fn max_share(&self, id: ServerId) -> f64 {
        let overload_per_demand = self.overload_multiple / self.demand.fleet_multiple;
        overload_per_demand * self.warm_up_share(id) * self.size(id) / self.listed_size
    }

    fn is_warming_up(&self, id: ServerId) -> bool {
        self.warm_up_share(id) < 1.0
    }

    fn warm_up_share(&self, id: ServerId) -> f64 {
        self.registry
            .get(id)
            .map_or(1.0, |server| server.warm_up_share)
    }

    fn size(&self, id: ServerId) -> f64 {
        self.registry.get(id).map_or(0.0, |server| server.size())
    }
}
