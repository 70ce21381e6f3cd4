//! The joined proxies: their demand, their tables and the messages written to them.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{ClassId, Micros, ProxyId, TableId, ZoneId};
use crate::statistics::{shares, DecayingMean};

use super::evidence::RATE_HALF_LIFE_SECONDS;
use super::registry::ByZone;
use super::table_layout::ZoneShard;

/// Number of consecutive reports of a class in which all requests failed, from which its proxy counts as serving nothing.
const MIN_FAILED_REPORTS: usize = 2;

/// A proxy's report on the requests of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassDemand {
    pub class: ClassId,
    pub arrivals: f64,
    /// Admitted requests that failed.
    pub failed: f64,
    pub period: Micros,
}

impl ClassDemand {
    fn has_failed_completely(&self) -> bool {
        self.arrivals > 0.0 && self.failed >= self.arrivals
    }
}

/// A joined proxy.
#[derive(Clone, Debug, Default)]
pub(super) struct Proxy {
    pub zone: ZoneId,
    /// Whether it may hold suspensions of another instance.
    pub has_previous_table: bool,
    /// Whether it is assigned to tables of the current layout.
    pub is_assigned: bool,
    /// Whether it should get a message to acknowledge, because its stream may be dead.
    pub is_check_due: bool,
    /// The shard that it is assigned to.
    pub shard: usize,
    /// Its tables, of the current or of an earlier layout.
    pub tables: Vec<TableId>,
    arrivals: DecayingMean,
    /// Number of its latest consecutive reports of a class in which all requests failed.
    failed_reports: BTreeMap<ClassId, usize>,
    /// Times at which messages were written to it, within the window of the message limit.
    written_at: VecDeque<Micros>,
}

impl Proxy {
    /// Returns a proxy that has just joined, with its typical demand in requests per second.
    pub fn joined(zone: ZoneId, request_rate: f64, has_previous_table: bool) -> Self {
        Proxy {
            zone,
            has_previous_table,
            arrivals: DecayingMean {
                sum: request_rate,
                weight: 1.0,
            },
            ..Proxy::default()
        }
    }

    /// Returns whether it has tables of this instance.
    pub fn has_tables(&self) -> bool {
        !self.tables.is_empty()
    }

    /// Returns its demand, in requests per second.
    pub fn request_rate(&self) -> f64 {
        self.arrivals.positive_mean().unwrap_or(0.0)
    }

    /// Records the demand for one of `class_count` classes. Each class is reported separately.
    pub fn record_demand(&mut self, demand: &ClassDemand, class_count: f64) {
        let class_seconds = demand.period.secs() / class_count;
        self.arrivals.add(demand.arrivals, class_seconds);
        if demand.has_failed_completely() {
            *self.failed_reports.entry(demand.class).or_default() += 1;
        } else {
            self.failed_reports.remove(&demand.class);
        }
    }

    /// Returns whether it has reported for a while that it serves no request of a class.
    pub fn serves_nothing(&self) -> bool {
        let mut failed_reports = self.failed_reports.values();
        failed_reports.any(|reports| *reports >= MIN_FAILED_REPORTS)
    }
}

/// All joined proxies.
#[derive(Clone, Debug, Default)]
pub(super) struct Proxies {
    joined: BTreeMap<ProxyId, Proxy>,
}

impl Proxies {
    /// Adds a proxy; replaces its earlier stream if there was one.
    pub fn join(&mut self, id: ProxyId, proxy: Proxy) {
        self.joined.insert(id, proxy);
    }

    /// Removes a proxy whose stream ended.
    pub fn leave(&mut self, id: ProxyId) {
        self.joined.remove(&id);
    }

    /// Returns all joined proxies, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&ProxyId, &Proxy)> {
        self.joined.iter()
    }

    /// Returns the ids of all joined proxies.
    pub fn ids(&self) -> impl Iterator<Item = ProxyId> + '_ {
        self.joined.keys().copied()
    }

    /// Returns a joined proxy.
    pub fn get(&self, id: ProxyId) -> Option<&Proxy> {
        self.joined.get(&id)
    }

    /// Returns a joined proxy.
    pub fn get_mut(&mut self, id: ProxyId) -> Option<&mut Proxy> {
        self.joined.get_mut(&id)
    }

    /// Returns the number of joined proxies.
    pub fn len(&self) -> usize {
        self.joined.len()
    }

    /// Returns whether no proxy is joined.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty()
    }

    /// Returns the demand of each proxy, in requests per second.
    pub fn request_rates(&self) -> impl Iterator<Item = f64> + '_ {
        self.joined.values().map(Proxy::request_rate)
    }

    /// Returns the demand of the busiest proxy, in requests per second; 0 without proxies.
    pub fn busiest_rate(&self) -> f64 {
        self.request_rates().fold(0.0, f64::max)
    }

    /// Returns the share of each group of zones in the demand.
    pub fn demand_shares(&self, group_of: impl Fn(ZoneId) -> ZoneId) -> ByZone {
        let demand = self
            .joined
            .values()
            .map(|proxy| (group_of(proxy.zone), proxy.request_rate()));
        shares(demand)
    }

    /// Returns the assigned proxies by zone and shard.
    pub fn assigned_by_shard(&self) -> BTreeMap<ZoneShard, Vec<ProxyId>> {
        let mut by_shard: BTreeMap<ZoneShard, Vec<ProxyId>> = BTreeMap::new();
        for (id, proxy) in self.joined.iter().filter(|(_, proxy)| proxy.is_assigned) {
            let shard = ZoneShard {
                zone: proxy.zone,
                shard: proxy.shard,
            };
            by_shard.entry(shard).or_default().push(*id);
        }
        by_shard
    }

    /// Returns whether all proxies are on tables of the current layout.
    pub fn all_assigned(&self) -> bool {
        self.joined.values().all(|proxy| proxy.is_assigned)
    }

    /// Marks all proxies as unassigned after a change of the layout. They retain their tables until they are
    /// reassigned.
    pub fn unassign_all(&mut self) {
        for proxy in self.joined.values_mut() {
            proxy.is_assigned = false;
        }
    }

    /// Decays the demand by the elapsed time.
    pub fn decay(&mut self, elapsed_seconds: f64) {
        for proxy in self.joined.values_mut() {
            proxy
                .arrivals
                .decay(elapsed_seconds, RATE_HALF_LIFE_SECONDS);
        }
    }

    /// Drops the times of messages that were written before the window of the message limit.
    pub fn drop_written_before(&mut self, window_start: Micros) {
        for proxy in self.joined.values_mut() {
            proxy.written_at.retain(|at| *at >= window_start);
        }
    }

    /// Records that a message was written to a proxy.
    pub fn record_written(&mut self, id: ProxyId, now: Micros) {
        if let Some(proxy) = self.joined.get_mut(&id) {
            proxy.written_at.push_back(now);
        }
    }

    /// Returns the largest number of messages within the window at any of these proxies, one more message to each
    /// included; 1 if none of them is joined.
    pub fn max_messages_with_next(&self, ids: &[ProxyId]) -> usize {
        ids.iter()
            .filter_map(|id| self.get(*id))
            .map(|proxy| proxy.written_at.len() + 1)
            .max()
            .unwrap_or(1)
    }
}
