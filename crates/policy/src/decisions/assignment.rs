//! Assignment of proxies to shards and their tables, within the budgets of the channel.

use crate::interface::{Action, ProxyId, Settings, ZoneId};

use super::orders::{Orders, JOIN_BUDGET, ORDINARY_BUDGET};
use super::proxies::{Proxies, Proxy};
use super::registry::Registry;
use super::server::Server;
use super::shard_balance::{Placement, ShardBalance, ShardGroups};
use super::sharding::Sharding;
use super::table_layout::{TablePlan, ZoneShard};
use super::tables::{Table, Tables};
use super::zone_affinity::prefers_own_zone;

/// A proxy migrates once the load of its shard is this multiple of the load that the other shard would have with it.
const REBALANCE_RATIO: f64 = 1.3;
/// A proxy that uses all shards returns to a single one below this share of the demand from which it uses all.
const HEAVY_HYSTERESIS: f64 = 0.5;

/// The migration of a proxy to another shard, or its first assignment.
#[derive(Clone, Copy, Debug)]
struct Migration {
    from: ZoneShard,
    to: ZoneShard,
    /// Whether it balances the load enough to migrate an assigned proxy.
    is_worthwhile: bool,
}

/// A proxy that may be assigned to a shard.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    proxy: ProxyId,
    has_tables: bool,
    is_assigned: bool,
    request_rate: f64,
}

/// Inputs of assignments.
#[derive(Debug)]
pub(super) struct Assignment<'a> {
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
    /// Assigns new proxies to the shards with the least load, and migrates others where that balances the load.
    pub fn assign(&self, proxies: &mut Proxies, orders: &mut Orders) {
        if self.sharding.shards == 0 {
            return;
        }
        let mut balance = ShardBalance::new(self.registry, proxies, &self.groups());
        for candidate in self.candidates(proxies) {
            let Some(proxy) = proxies.get(candidate.proxy) else {
                continue;
            };
            let zone = proxy.zone;
            let migration = self.plan_migration(proxy, &mut balance);
            if candidate.is_assigned && !migration.is_worthwhile {
                self.reconcile(candidate.proxy, proxies, orders);
                continue;
            }
            let plans = self.plans_of(zone, migration.to.shard);
            if self.registry.awaits_first_answer() && plans.iter().any(|plan| self.is_empty(plan)) {
                // An empty table could replace one with servers that the list does not have yet.
                continue;
            }
            if !self.assign_tables(&candidate, migration.to.shard, &plans, proxies, orders) {
                break;
            }
            if candidate.is_assigned {
                balance.add(migration.from, -candidate.request_rate);
            }
            balance.add(migration.to, candidate.request_rate);
        }
    }

    fn groups(&self) -> ShardGroups {
        ShardGroups {
            shards: self.sharding.shards,
            by_zone: prefers_own_zone(self.settings),
        }
    }

    /// Returns the proxies to consider: new ones, then those on tables of an earlier layout, then, only at ticks,
    /// assigned ones; the busiest first. Considering all proxies in each round would take too long while a fleet joins.
    fn candidates(&self, proxies: &Proxies) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = proxies
            .iter()
            .filter(|(_, proxy)| !proxy.is_assigned || self.is_tick)
            .filter(|(_, proxy)| !self.must_keep_tables(proxy))
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

    /// Returns whether a proxy must keep the tables that it brought. Until discovery has answered in this start, the list
    /// is older than these tables: it may lack servers that have started and contain ones that have left, which the proxy
    /// need not have suspended. A proxy that serves nothing has nothing to lose.
    fn must_keep_tables(&self, proxy: &Proxy) -> bool {
        let holds_newer_tables = proxy.has_previous_table && !proxy.has_tables();
        holds_newer_tables && self.registry.awaits_first_answer() && !proxy.serves_nothing()
    }

    /// Returns the best shard for a proxy, and whether it should migrate there.
    fn plan_migration(&self, proxy: &Proxy, balance: &mut ShardBalance) -> Migration {
        let group = self.groups().group(proxy.zone);
        let placement = self.best_placement(proxy, group, balance);
        let from = ZoneShard {
            zone: group,
            shard: proxy.shard,
        };
        let to = ZoneShard {
            zone: group,
            shard: placement.shard,
        };
        let own_load = balance.load(from).load_with(0.0);
        let should_stay = from == to || own_load < REBALANCE_RATIO * placement.load;
        Migration {
            from,
            to,
            is_worthwhile: !should_stay,
        }
    }

    /// Returns the best shard for a proxy. A heavy proxy uses all shards, since it would overload the servers of one.
    fn best_placement(&self, proxy: &Proxy, group: ZoneId, balance: &ShardBalance) -> Placement {
        if self.is_heavy(proxy, group, balance) {
            Placement {
                shard: self.sharding.shards,
                load: 0.0,
            }
        } else {
            balance.least_loaded(group, proxy.request_rate())
        }
    }

    /// Returns whether the demand of a proxy exceeds the mean demand of a shard in its group. An unsharded fleet and
    /// narrowed tables have no heavy proxies.
    fn is_heavy(&self, proxy: &Proxy, group: ZoneId, balance: &ShardBalance) -> bool {
        let shards = self.sharding.shards;
        if shards <= 1 || !self.sharding.is_at_baseline() {
            return false;
        }
        let hysteresis = if proxy.shard == shards {
            HEAVY_HYSTERESIS
        } else {
            1.0
        };
        let heavy_from = hysteresis * balance.demand_share(group);
        proxy.request_rate() * shards as f64 > heavy_from * balance.total_rate()
    }

    /// Corrects the suspensions that a proxy may hold from another instance, for all servers of its tables. This waits
    /// for free capacity in the channel: together with the first table it would double the time of a join.
    fn reconcile(&self, id: ProxyId, proxies: &mut Proxies, orders: &mut Orders) {
        if self.registry.awaits_discovery() {
            // A server that has left must not be resumed by a list that still has it in service.
            return;
        }
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

    /// Assigns the tables of a shard to a proxy. Returns whether they fit the channel's budget.
    fn assign_tables(
        &self,
        candidate: &Candidate,
        shard: usize,
        plans: &[&TablePlan],
        proxies: &mut Proxies,
        orders: &mut Orders,
    ) -> bool {
        let id = candidate.proxy;
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
        for plan in plans {
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

    /// Returns the tables of a shard for the proxies of a zone, one for each group of classes.
    fn plans_of(&self, zone: ZoneId, shard: usize) -> Vec<&TablePlan> {
        let plans = self.sharding.plans.iter();
        plans.filter(|plan| plan.serves(zone, shard)).collect()
    }

    fn is_empty(&self, plan: &TablePlan) -> bool {
        let table = self.tables.get(plan.table);
        table.is_none_or(|table| table.weights.is_empty())
    }

    /// Returns the lines of a complete table. The first table of a proxy includes the suspension states of the servers
    /// that left service here, a later one those of all its servers.
    fn lines_of(&self, table: &Table, has_tables: bool) -> usize {
        let notified = table
            .weights
            .keys()
            .filter(|id| has_tables || self.registry.get(**id).is_some_and(Server::has_left))
            .count();
        1 + table.weights.len() + table.levels.len() + notified
    }
}
