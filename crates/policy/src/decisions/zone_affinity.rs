//! Zone affinity: the distribution of each zone's requests over the zones of servers.

use std::collections::BTreeMap;

use crate::interface::{Settings, ZoneId};
use crate::statistics::shares;

use super::health::{MIN_WEIGHT_SHARE, RESTORE_ABOVE};
use super::proxies::Proxies;
use super::registry::{zones, ByZone, Registry};
use super::zone_links::{ZoneLinks, ZonePair};

/// Share of a zone's requests that follows its affinity if its tables contain all zones; the rest is spread by weight.
const AFFINITY_SHARE: f64 = 0.9;
/// Least factor on weights over a degraded link.
const MIN_LINK_FACTOR: f64 = MIN_WEIGHT_SHARE * MIN_WEIGHT_SHARE;
/// Lower bound on the capacity share of a zone by which the weights of other zones are scaled.
const MIN_OWN_CAPACITY: f64 = 0.01;
/// Lower bound on the demand of an isolated zone, as a multiple of an equal share of the total demand.
const MIN_ISOLATED_DEMAND: f64 = 0.5;
/// Lower bound on shares that are used as divisors.
const MIN_DIVISOR: f64 = 1e-6;

/// Returns whether proxies prefer the servers of their own zone: if zone crossings have a cost and this instance serves
/// the proxies of all zones.
pub(super) fn prefers_own_zone(settings: &Settings) -> bool {
    settings.zone_crossing_cost > 0.0 && settings.instances == 1
}

/// The share of each zone in the capacity and in the demand.
#[derive(Debug)]
pub(super) struct ZoneBalance {
    capacity: ByZone,
    demand: ByZone,
}

impl ZoneBalance {
    /// Computes the current shares.
    pub fn new(registry: &Registry, proxies: &Proxies) -> Self {
        let weights = registry
            .in_service()
            .map(|(_, server)| (server.endpoint.zone, server.weight));
        ZoneBalance {
            capacity: shares(weights),
            demand: proxies.demand_shares(|zone| zone),
        }
    }

    /// Returns the share of the total demand that reaches the servers of an isolated zone: that of the proxies in the
    /// zone, or 1 if it has none; at least [`MIN_ISOLATED_DEMAND`] of an equal share.
    pub fn isolated_demand(&self, zone: ZoneId) -> f64 {
        let least = MIN_ISOLATED_DEMAND / self.demand.len().max(1) as f64;
        self.demand.get(&zone).copied().unwrap_or(1.0).max(least)
    }

    fn demand_or_zero(&self, zone: ZoneId) -> f64 {
        self.demand.get(&zone).copied().unwrap_or(0.0)
    }

    /// Returns the capacity share of a zone in excess of its demand.
    fn surplus(&self, zone: ZoneId) -> f64 {
        self.capacity.get(&zone).map_or(0.0, |capacity| {
            (capacity - self.demand_or_zero(zone)).max(0.0)
        })
    }

    /// Returns the share of a zone's demand that its own servers can serve.
    fn local_share(&self, zone: ZoneId) -> f64 {
        self.capacity
            .get(&zone)
            .map_or(0.0, |capacity| {
                capacity / self.demand_or_zero(zone).max(MIN_DIVISOR)
            })
            .min(1.0)
    }
}

/// Inputs of zone affinity.
#[derive(Debug)]
pub(super) struct ZoneAffinity<'a> {
    pub settings: &'a Settings,
    /// The links between zones.
    pub links: &'a ZoneLinks,
    /// The shares of the zones in capacity and demand.
    pub balance: &'a ZoneBalance,
    /// Whether each zone has separate shards, so that requests cross zones only if necessary.
    pub isolates_zones: bool,
}

impl ZoneAffinity<'_> {
    /// Returns the factors on the weights of each zone's servers, by zone of the proxies.
    pub fn factors_by_zone(&self) -> BTreeMap<ZoneId, ByZone> {
        zones(self.settings)
            .map(|zone| (zone, self.factors(zone)))
            .collect()
    }

    /// Returns the factors on the weights of each zone's servers, in the tables of one zone's proxies. Requests stay in
    /// the zone up to the capacity of its servers; the rest goes to zones whose capacity exceeds their demand.
    fn factors(&self, zone: ZoneId) -> ByZone {
        if !prefers_own_zone(self.settings) {
            return zones(self.settings)
                .map(|servers| (servers, self.link_factor(zone, servers)))
                .collect();
        }
        let capacity = &self.balance.capacity;
        let local_share = self.balance.local_share(zone);
        let own_capacity = capacity
            .get(&zone)
            .map_or(0.0, |capacity| capacity.max(MIN_OWN_CAPACITY));
        let total_surplus = capacity
            .keys()
            .map(|other| self.balance.surplus(*other))
            .sum::<f64>();
        let affinity_share = if self.isolates_zones {
            1.0
        } else {
            AFFINITY_SHARE
        };
        let mut factors = ByZone::new();
        for (&servers, capacity) in capacity {
            let by_affinity = if servers == zone {
                local_share
            } else {
                let remote_share = (1.0 - local_share) * self.balance.surplus(servers)
                    / total_surplus.max(MIN_DIVISOR);
                remote_share * own_capacity / capacity.max(MIN_DIVISOR)
            };
            let factor = affinity_share * by_affinity + (1.0 - affinity_share) * own_capacity;
            factors.insert(servers, factor * self.link_factor(zone, servers));
        }
        factors
    }

    /// Returns the factor for the link between two zones.
    fn link_factor(&self, proxies: ZoneId, servers: ZoneId) -> f64 {
        self.links
            .score(ZonePair { proxies, servers })
            .map_or(1.0, |score| score / RESTORE_ABOVE)
            .clamp(MIN_LINK_FACTOR, 1.0)
    }
}
