//! Sharding: into how many shards the fleet is divided, each with tables of its own, and the layout of those tables.
//!
//! A proxy that sends to few servers keeps its connections in use, and a change of a weight costs fewer lines.

use crate::interface::{ClassSet, DecisionEvent, Micros, Settings, TableId};

use super::orders::SUSPENSION_LINES;
use super::proxies::Proxies;
use super::registry::Registry;
use super::table_layout::{lay_out_tables, TablePlan};
use super::zone_affinity::prefers_own_zone;

/// Requests that a usual proxy should send to each server of its table before an idle connection closes.
const REQUESTS_PER_CONNECTION: f64 = 6.0;
/// Least number of servers in a shard: a fifth of them failing must leave enough.
const MIN_SERVERS: f64 = 16.0;
/// Share of failed attempts at servers with headroom from which tables are narrowed.
const NARROW_FROM_FAILED_SHARE: f64 = 0.3;
/// How long tables stay narrowed after attempts failed everywhere.
const NARROW_PERIOD: Micros = Micros(30_000_000);
/// Least number of proxies in a narrowed shard.
const MIN_NARROWED_PROXIES: f64 = 2.0;
/// Least number of servers in a narrowed shard.
const MIN_NARROWED_SERVERS: f64 = 5.0;
/// Lines of a complete table beside header, weights and levels.
const TABLE_LINES: f64 = 2.0;
/// Table numbers are used again after this one.
const TABLE_NUMBERS: u16 = u16::MAX / 2;

/// The shards and the layout of their tables.
#[derive(Clone, Debug, Default)]
pub(super) struct Sharding {
    /// Number of shards; 0 until the first proxies joined.
    pub shards: usize,
    /// The tables of the present layout.
    pub plans: Vec<TablePlan>,
    /// Number of shards while attempts don't fail everywhere; 0 until the first proxies joined.
    baseline_shards: usize,
    /// When attempts last failed everywhere although the servers had headroom.
    failures_seen_at: Option<Micros>,
}

/// What the number of shards depends on.
#[derive(Debug)]
pub(super) struct ShardingInputs<'a> {
    /// The settings.
    pub settings: &'a Settings,
    /// The known servers.
    pub registry: &'a Registry,
    /// The joined proxies.
    pub proxies: &'a Proxies,
    /// Classes with tables of their own.
    pub separate_classes: ClassSet,
    /// The time of the round.
    pub now: Micros,
    /// Whether the round is a tick.
    pub is_tick: bool,
}

/// Servers and proxies that shards are made of. Where zones have tables of their own these are the numbers of one zone.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    servers: f64,
    proxies: f64,
}

impl Sharding {
    /// Whether tables have their baseline width, which they lose while attempts fail everywhere.
    pub fn is_at_baseline(&self) -> bool {
        self.shards == self.baseline_shards
    }

    /// Whether each zone has shards of its own.
    pub fn isolates_zones(&self, settings: &Settings) -> bool {
        self.shards > 1 && prefers_own_zone(settings)
    }

    /// Whether a table belongs to the present layout.
    pub fn uses(&self, table: TableId) -> bool {
        self.plans.iter().any(|plan| plan.table == table)
    }

    /// Takes in the least share of attempts that fail over any link, at a tick at which the servers have headroom.
    pub fn record_failures(&mut self, now: Micros, failed_share: f64) {
        if failed_share > NARROW_FROM_FAILED_SHARE {
            self.failures_seen_at = Some(now);
        }
    }

    /// Updates the number of shards. If the layout changed, its tables have new numbers, which cost nothing while
    /// nobody uses them, and the event reports it.
    pub fn update(&mut self, inputs: &ShardingInputs) -> Option<DecisionEvent> {
        if !self.has_enough_proxies(inputs) {
            return None;
        }
        let size = inputs.fleet_size();
        if self.baseline_shards == 0 {
            self.baseline_shards = inputs.baseline_shards(size);
        }
        let narrowed = self
            .failures_seen_at
            .is_some_and(|at| inputs.now - at < NARROW_PERIOD);
        let shards = if narrowed {
            size.narrowed_shards().max(self.baseline_shards)
        } else {
            self.baseline_shards
        };
        let separate_classes = self.plans.first().map(|plan| plan.separate_classes);
        let has_other_classes =
            separate_classes.is_some_and(|classes| classes != inputs.separate_classes);
        if shards == self.shards && !has_other_classes {
            return None;
        }
        let first_table = self.next_table();
        self.plans = lay_out_tables(
            inputs.settings,
            shards,
            first_table,
            inputs.separate_classes,
        );
        self.shards = shards;
        Some(DecisionEvent::Resharded { shards, narrowed })
    }

    /// The first shards wait for the usual proxies of an instance, or for the next tick.
    fn has_enough_proxies(&self, inputs: &ShardingInputs) -> bool {
        let joined = inputs.proxies.len() as f64;
        let settings = inputs.settings;
        let min_joined = settings.proxies as f64 / (2 * settings.instances.max(1)) as f64;
        let is_complete = self.shards > 0 || joined >= min_joined || inputs.is_tick;
        joined >= 1.0 && is_complete
    }

    fn next_table(&self) -> u16 {
        self.plans
            .last()
            .map_or(0, |plan| (plan.table.0 + 1) % TABLE_NUMBERS)
    }
}

impl FleetSize {
    fn narrowed_shards(self) -> usize {
        let by_proxies = self.proxies / MIN_NARROWED_PROXIES;
        let by_servers = self.servers / MIN_NARROWED_SERVERS;
        by_proxies.min(by_servers) as usize
    }
}

impl ShardingInputs<'_> {
    fn has_zone_tables(&self) -> bool {
        let any_zone_local = self.settings.classes.iter().any(|class| class.zone_local);
        prefers_own_zone(self.settings) || any_zone_local
    }

    /// Number of sets of zones with tables of their own.
    fn table_sets(&self) -> f64 {
        if self.has_zone_tables() {
            self.settings.zones.max(1) as f64
        } else {
            1.0
        }
    }

    fn fleet_size(&self) -> FleetSize {
        let servers = self.registry.in_service().count() as f64;
        FleetSize {
            servers: servers / self.table_sets(),
            proxies: self.settings.proxies as f64 / self.table_sets(),
        }
    }

    /// Number of shards in which a usual proxy keeps its connections and tables arrive in time.
    fn baseline_shards(&self, size: FleetSize) -> usize {
        let joined = self.proxies.len() as f64;
        let rate = self.proxies.request_rates().sum::<f64>() / joined;
        let requests_per_timeout = rate * self.settings.idle_timeout.secs();
        let connected_servers = (requests_per_timeout / REQUESTS_PER_CONNECTION).max(MIN_SERVERS);
        let tables_per_proxy = self.table_sets() + f64::from(self.has_zone_tables());
        let rows = (self.rows_in_grace() / tables_per_proxy).max(MIN_NARROWED_SERVERS);
        // Rows are rounded down: half a row more at all proxies would be late.
        let min_shards = (size.servers / rows.floor()).ceil().max(1.0);
        (size.servers / connected_servers).round().max(min_shards) as usize
    }

    /// Rows of tables for each proxy of the fleet, if all join here at once and no table may be late: removed servers
    /// stay in old tables while new ones wait, and suspensions, which go first, hold up the last ones.
    fn rows_in_grace(&self) -> f64 {
        let settings = self.settings;
        let seconds = (settings.drain_grace - settings.max_delivery_delay).secs();
        let is_attainable = seconds > 0.0;
        if !is_attainable {
            return f64::INFINITY;
        }
        let lines_per_proxy =
            settings.channel_lines_per_second * seconds / settings.proxies.max(1) as f64;
        let first_table = settings.message_overhead + TABLE_LINES + settings.classes.len() as f64;
        let suspension = settings.message_overhead + SUSPENSION_LINES;
        lines_per_proxy - first_table - suspension
    }
}
