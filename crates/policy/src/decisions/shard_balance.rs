//! The load of each shard, by which proxies are assigned to shards.

use std::collections::BTreeMap;

use crate::interface::ZoneId;

use super::proxies::Proxies;
use super::registry::{ByZone, Registry};
use super::table_layout::ZoneShard;

/// Lower bound on a shard's weight by which its demand is divided.
const MIN_SHARD_WEIGHT: f64 = 1e-6;

/// The zones that share shards.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardGroups {
    /// Number of shards.
    pub shards: usize,
    /// Whether each zone has separate shards.
    pub by_zone: bool,
}

impl ShardGroups {
    /// Returns the group of a zone, identified by its first zone.
    pub fn group(&self, zone: ZoneId) -> ZoneId {
        if self.by_zone {
            zone
        } else {
            ZoneId::default()
        }
    }
}

/// The capacity and the demand of a shard.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShardLoad {
    /// Sum of its servers' weights.
    weight: f64,
    /// Demand of its proxies, in requests per second.
    request_rate: f64,
}

impl ShardLoad {
    /// Returns the demand divided by the weight, with the given additional demand.
    pub fn load_with(&self, request_rate: f64) -> f64 {
        (self.request_rate + request_rate) / self.weight.max(MIN_SHARD_WEIGHT)
    }
}

/// A shard for a proxy, and the load that the shard would have with it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Placement {
    /// Index of the shard; an index equal to the number of shards means all of them.
    pub shard: usize,
    /// Its demand divided by its weight, the proxy's demand included.
    pub load: f64,
}

/// The distribution of the demand over the shards.
#[derive(Debug)]
pub(super) struct ShardBalance {
    loads: BTreeMap<ZoneShard, ShardLoad>,
    /// Share of the demand of each group of zones.
    demand_shares: ByZone,
    /// Demand of all proxies, in requests per second.
    total_rate: f64,
}

impl ShardBalance {
    /// Computes the loads from the servers in service and the assigned proxies.
    pub fn new(registry: &Registry, proxies: &Proxies, groups: &ShardGroups) -> Self {
        let mut loads: BTreeMap<ZoneShard, ShardLoad> = BTreeMap::new();
        for (_, server) in registry.in_service() {
            let shard = ZoneShard {
                zone: groups.group(server.endpoint.zone),
                shard: server.ordinal % groups.shards,
            };
            loads.entry(shard).or_default().weight += server.weight;
        }
        for (_, proxy) in proxies.iter().filter(|(_, proxy)| proxy.is_assigned) {
            let shard = ZoneShard {
                zone: groups.group(proxy.zone),
                shard: proxy.shard,
            };
            loads.entry(shard).or_default().request_rate += proxy.request_rate();
        }
        ShardBalance {
            loads,
            demand_shares: proxies.demand_shares(|zone| groups.group(zone)),
            total_rate: proxies.request_rates().sum::<f64>(),
        }
    }

    /// Returns the demand of all proxies, in requests per second.
    pub fn total_rate(&self) -> f64 {
        self.total_rate
    }

    /// Returns the share of the demand of a group of zones; 1 if the group has none.
    pub fn demand_share(&self, group: ZoneId) -> f64 {
        self.demand_shares.get(&group).copied().unwrap_or(1.0)
    }

    /// Returns the load of a shard, and adds the shard if it is unknown.
    pub fn load(&mut self, shard: ZoneShard) -> ShardLoad {
        *self.loads.entry(shard).or_default()
    }

    /// Returns the known shard of a group that would have the least load with the given additional demand.
    pub fn least_loaded(&self, group: ZoneId, request_rate: f64) -> Placement {
        let first = ZoneShard {
            zone: group,
            shard: 0,
        };
        let last = ZoneShard {
            zone: group,
            shard: usize::MAX,
        };
        self.loads
            .range(first..=last)
            .map(|(shard, load)| Placement {
                shard: shard.shard,
                load: load.load_with(request_rate),
            })
            .min_by(|a, b| a.load.total_cmp(&b.load))
            .unwrap_or_default()
    }

    /// Adds demand to a shard; a negative rate removes demand.
    pub fn add(&mut self, shard: ZoneShard, request_rate: f64) {
        self.loads.entry(shard).or_default().request_rate += request_rate;
    }
}
