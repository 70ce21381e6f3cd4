//! Assignment of proxies to shards and their tables, as far as the channel takes them.

use std::collections::BTreeMap;

use crate::interface::{Action, ProxyId, Settings, ZoneId};

use super::orders::{Orders, JOIN_BUDGET, ORDINARY_BUDGET};
use super::proxies::{Proxies, Proxy};
use super::registry::{ByZone, Registry};
use super::server::Server;
use super::sharding::Sharding;
use super::table_layout::{TablePlan, ZoneShard};
use super::tables::{Table, Tables};
use super::zone_affinity::prefers_own_zone;

/// A proxy moves to another shard once the load of its own is this multiple of the other's with it.
const REBALANCE_RATIO: f64 = 1.3;
/// A proxy that uses all shards goes back to one below this share of the demand from which it uses all.
const HEAVY_HYSTERESIS: f64 = 0.5;
/// Lower bound on a shard's weight, by which its load is divided.
const MIN_SHARD_WEIGHT: f64 = 1e-6;

/// The load of a shard.
#[derive(Clone, Copy, Debug, Default)]
struct ShardLoad {
    /// Sum of its servers' weights.
    weight: f64,
    /// Demand of its proxies, in requests per second.
    request_rate: f64,
}

impl ShardLoad {
    /// Demand against weight, with so much more demand.
    fn with_more(&self, request_rate: f64) -> f64 {
        (self.request_rate + request_rate) / self.weight.max(MIN_SHARD_WEIGHT)
    }
}

/// A shard for a proxy, and the load that it would have.
#[derive(Clone, Copy, Debug, Default)]
struct Placement {
    shard: usize,
    load: f64,
}

/// How the demand is spread over the shards.
#[derive(Debug)]
struct ShardBalance {
    loads: BTreeMap<ZoneShard, ShardLoad>,
    /// Share of each group of zones in the demand.
    group_demand: ByZone,
    /// Demand of all proxies, in requests per second.
    total_rate: f64,
}

/// A proxy that may be assigned to a shard.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    proxy: ProxyId,
    has_tables: bool,
    is_assigned: bool,
    request_rate: f64,
}

/// What assignments depend on.
#[derive(Debug)]
pub(super) struct Assignment<'a> {
    /// The settings.
    pub settings: &'a Settings,
    /// The known servers.
    pub registry: &'a Registry,
    /// The shards and their tables.
    pub sharding: &'a Sharding,
    /// The published tables.
    pub tables: &'a Tables,
    /// Whether the round is a tick.
    pub is_tick: bool,
}

impl Assignment<'_> {
    /// Assigns new proxies to the shards with the least load, and moves others where that balances the load.
    pub fn assign(&self, proxies: &mut Proxies, orders: &mut Orders) {
        if self.sharding.shards == 0 {
            return;
        }
        let mut balance = self.balance(proxies);
        for candidate in self.candidates(proxies) {
            let Some(proxy) = proxies.get(candidate.proxy) else {
                continue;
            };
            let group = self.group(proxy.zone);
            let placement = self.choose_shard(proxy, group, &balance);
            let own_shard = ZoneShard {
                zone: group,
                shard: proxy.shard,
            };
            let own_load = *balance.loads.entry(own_shard).or_default();
            let stays = placement.shard == proxy.shard
                || own_load.with_more(0.0) < REBALANCE_RATIO * placement.load;
            if candidate.is_assigned && stays {
                self.reconcile(candidate.proxy, proxies, orders);
                continue;
            }
            if !self.assign_tables(&candidate, placement.shard, proxies, orders) {
                break;
            }
            if candidate.is_assigned {
                balance.add(own_shard, -candidate.request_rate);
            }
            let new_shard = ZoneShard {
                zone: group,
                shard: placement.shard,
            };
            balance.add(new_shard, candidate.request_rate);
        }
    }

    /// The group of zones that share shards.
    fn group(&self, zone: ZoneId) -> ZoneId {
        if prefers_own_zone(self.settings) {
            zone
        } else {
            ZoneId::default()
        }
    }

    fn balance(&self, proxies: &Proxies) -> ShardBalance {
        let mut loads: BTreeMap<ZoneShard, ShardLoad> = BTreeMap::new();
        for (_, server) in self.registry.in_service() {
            let shard = ZoneShard {
                zone: self.group(server.endpoint.zone),
                shard: server.ordinal % self.sharding.shards,
            };
            loads.entry(shard).or_default().weight += server.weight;
        }
        for (_, proxy) in proxies.iter().filter(|(_, proxy)| proxy.is_assigned) {
            let shard = ZoneShard {
                zone: self.group(proxy.zone),
                shard: proxy.shard,
            };
            loads.entry(shard).or_default().request_rate += proxy.request_rate();
        }
        ShardBalance {
            loads,
            group_demand: proxies.demand_shares(|zone| self.group(zone)),
            total_rate: proxies.request_rates().sum::<f64>(),
        }
    }

    /// The proxies to look at: new ones, then those on old tables, then, at ticks alone, those that are assigned; the
    /// busiest first. While a fleet joins, all proxies at each round would be too many.
    fn candidates(&self, proxies: &Proxies) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = proxies
            .iter()
            .filter(|(_, proxy)| !proxy.is_assigned || self.is_tick)
            .map(|(id, proxy)| Candidate {
                proxy: *id,
                has_tables: proxy.has_tables(),
                is_assigned: proxy.is_assigned,
                request_rate: proxy.request_rate(),
            })
            .collect();
        let stage = |candidate: &Candidate| (candidate.has_tables, candidate.is_assigned);
        candidates.sort_by(|a, b| {
            let by_stage = stage(a).cmp(&stage(b));
            by_stage.then(b.request_rate.total_cmp(&a.request_rate))
        });
        candidates
    }

    /// The best shard for a proxy. A heavy one uses all shards, or the servers of its shard would be overloaded.
    fn choose_shard(&self, proxy: &Proxy, group: ZoneId, balance: &ShardBalance) -> Placement {
        let all_shards = self.sharding.shards;
        let hysteresis = if proxy.shard == all_shards {
            HEAVY_HYSTERESIS
        } else {
            1.0
        };
        let is_sharded = all_shards > 1 && self.sharding.is_at_baseline();
        let request_rate = proxy.request_rate();
        let heavy_from = hysteresis * balance.group_demand.get(&group).unwrap_or(&1.0);
        let is_heavy =
            is_sharded && request_rate * all_shards as f64 > heavy_from * balance.total_rate;
        if is_heavy {
            Placement {
                shard: all_shards,
                load: 0.0,
            }
        } else {
            balance.least_loaded(group, request_rate)
        }
    }

    /// Corrects the suspensions that a proxy may hold from another instance, for all servers of its tables. That waits
    /// until the channel is free: with the first table it would double the time of a join.
    fn reconcile(&self, id: ProxyId, proxies: &mut Proxies, orders: &mut Orders) {
        let Some(proxy) = proxies.get(id).filter(|proxy| proxy.has_previous_table) else {
            return;
        };
        let lines = proxy
            .tables
            .iter()
            .filter_map(|table| self.tables.get(*table))
            .map(|table| table.weights.len())
            .sum::<usize>() as f64;
        if !orders.fits(proxies, &[id], lines, &ORDINARY_BUDGET) {
            return;
        }
        orders.push_to(&[id], lines, Action::Reconcile(id));
        if let Some(proxy) = proxies.get_mut(id) {
            proxy.has_previous_table = false;
        }
    }

    /// Assigns the tables of a shard to a proxy; whether the channel takes them.
    fn assign_tables(
        &self,
        candidate: &Candidate,
        shard: usize,
        proxies: &mut Proxies,
        orders: &mut Orders,
    ) -> bool {
        let id = candidate.proxy;
        let Some(zone) = proxies.get(id).map(|proxy| proxy.zone) else {
            return true;
        };
        let plans: Vec<&TablePlan> = self
            .sharding
            .plans
            .iter()
            .filter(|plan| plan.serves(zone, shard))
            .collect();
        let lines = plans
            .iter()
            .filter_map(|plan| self.tables.get(plan.table))
            .map(|table| self.lines_of(table, candidate.has_tables) as f64)
            .sum::<f64>();
        let budget = if candidate.has_tables {
            &ORDINARY_BUDGET
        } else {
            &JOIN_BUDGET
        };
        if !orders.fits(proxies, &[id], lines, budget) {
            return false;
        }
        orders.add_lines(id, lines);
        for plan in &plans {
            orders.push(Action::AssignTable {
                proxy: id,
                table: plan.table,
                classes: plan.classes,
            });
        }
        if let Some(proxy) = proxies.get_mut(id) {
            proxy.shard = shard;
            proxy.is_assigned = true;
            proxy.tables = plans.iter().map(|plan| plan.table).collect();
        }
        true
    }

    /// Lines of a complete table. With the first one a proxy is notified of the servers that left here, with a further
    /// one of all servers in it.
    fn lines_of(&self, table: &Table, has_tables: bool) -> usize {
        let notified = table
            .weights
            .keys()
            .filter(|id| has_tables || self.registry.get(**id).is_some_and(Server::has_left))
            .count();
        1 + table.weights.len() + table.levels.len() + notified
    }
}

impl ShardBalance {
    /// The shard of a group with the least load, with so much more demand.
    fn least_loaded(&self, group: ZoneId, request_rate: f64) -> Placement {
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
                load: load.with_more(request_rate),
            })
            .min_by(|a, b| a.load.total_cmp(&b.load))
            .unwrap_or_default()
    }

    fn add(&mut self, shard: ZoneShard, request_rate: f64) {
        self.loads.entry(shard).or_default().request_rate += request_rate;
    }
}
