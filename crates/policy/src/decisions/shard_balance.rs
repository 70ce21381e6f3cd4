//! The balance of load over shards: which shard has capacity for a proxy.

use std::collections::BTreeMap;

use crate::interface::ZoneId;

use super::proxies::Proxies;
use super::registry::{ByZone, Registry};
use super::table_layout::ZoneShard;

/// Lower bound on a shard's weight, by which its load is divided.
const MIN_SHARD_WEIGHT: f64 = 1e-6;

/// How zones share shards.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardGroups {
    /// Number of shards.
    pub shards: usize,
    /// Whether each zone has shards of its own.
    pub by_zone: bool,
}

impl ShardGroups {
    /// The group of a zone, named by its first zone.
    pub fn group(&self, zone: ZoneId) -> ZoneId {
        if self.by_zone {
            zone
        } else {
            ZoneId::default()
        }
    }
}

/// The load of a shard.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShardLoad {
    /// Sum of its servers' weights.
    weight: f64,
    /// Demand of its proxies, in requests per second.
    request_rate: f64,
}

impl ShardLoad {
    /// Demand over weight, with so much more demand.
    pub fn load_with(&self, request_rate: f64) -> f64 {
        (self.request_rate + request_rate) / self.weight.max(MIN_SHARD_WEIGHT)
    }
}

/// A shard for a proxy, and the load that it would have.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Placement {
    /// The shard.
    pub shard: usize,
    /// Its demand over its weight, the proxy's demand included.
    pub load: f64,
}

/// How the demand is spread over the shards.
#[derive(Debug)]
pub(super) struct ShardBalance {
    loads: BTreeMap<ZoneShard, ShardLoad>,
    /// Share of each group of zones in the demand.
    demand_shares: ByZone,
    /// Demand of all proxies, in requests per second.
    total_rate: f64,
}

impl ShardBalance {
    /// The balance of the servers in service and the assigned proxies.
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

    /// Demand of all proxies, in requests per second.
    pub fn total_rate(&self) -> f64 {
        self.total_rate
    }

    /// Share of a group of zones in the demand; all of it while there is none.
    pub fn demand_share(&self, group: ZoneId) -> f64 {
        self.demand_shares.get(&group).copied().unwrap_or(1.0)
    }

    /// The load of a shard, which is known from now on.
    pub fn load(&mut self, shard: ZoneShard) -> ShardLoad {
        *self.loads.entry(shard).or_default()
    }

    /// The known shard of a group with the least load, with so much more demand.
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

    /// Adds demand to a shard, or takes it away.
    pub fn add(&mut self, shard: ZoneShard, request_rate: f64) {
        self.loads.entry(shard).or_default().request_rate += request_rate;
    }
}
