//! Sharding: the number of shards of the fleet, each with separate tables, and the layout of those tables.
//!
//! A proxy that sends to few servers reuses its connections, and a weight change takes fewer lines.

use crate::interface::{ClassSet, DecisionEvent, Micros, Settings, TableId};

use super::orders::SUSPENSION_LINES;
use super::proxies::Proxies;
use super::registry::Registry;
use super::table_layout::{lay_out_tables, TablePlan};
use super::zone_affinity::prefers_own_zone;

/// Number of requests that an average proxy should send to each server of its table within the idle timeout.
const REQUESTS_PER_CONNECTION: f64 = 6.0;
/// Least number of servers in a shard: enough must remain if a fifth of them fails.
const MIN_SERVERS: f64 = 16.0;
/// Share of failed attempts at servers with headroom above which tables are narrowed.
const NARROW_FROM_FAILED_SHARE: f64 = 0.3;
/// Time for which tables stay narrowed after attempts failed everywhere.
const NARROW_PERIOD: Micros = Micros(30_000_000);
/// Least number of proxies in a narrowed shard.
const MIN_NARROWED_PROXIES: f64 = 2.0;
/// Least number of servers to which failures or the drain grace may narrow a shard, before rounding.
const MIN_NARROWED_SERVERS: f64 = 5.0;
/// Number of lines of a complete table in addition to the message overhead, weights and levels: the line of the table
/// and the acknowledgement request.
const TABLE_LINES: f64 = 2.0;
/// Table numbers wrap around: the first number of each layout is below this one.
const TABLE_NUMBERS: u16 = u16::MAX / 2;

/// The shards and the layout of their tables.
#[derive(Clone, Debug, Default)]
pub(super) struct Sharding {
    /// Number of shards; 0 until enough proxies joined.
    pub shards: usize,
    /// The tables of the current layout.
    pub plans: Vec<TablePlan>,
    /// Number of shards while attempts do not fail everywhere; 0 until enough proxies joined.
    baseline_shards: usize,
    /// Time at which attempts last failed everywhere although the servers had headroom.
    failures_seen_at: Option<Micros>,
}

/// Inputs of the number of shards.
#[derive(Debug)]
pub(super) struct ShardingInputs<'a> {
    pub settings: &'a Settings,
    /// The known servers.
    pub registry: &'a Registry,
    /// The joined proxies.
    pub proxies: &'a Proxies,
    /// Classes with separate tables.
    pub separate_classes: ClassSet,
    /// The time of the round.
    pub now: Micros,
    /// Whether the round is a tick.
    pub is_tick: bool,
}

/// Number of servers and proxies that are divided into shards: those of one zone if zones have separate tables.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    servers: f64,
    proxies: f64,
}

impl Sharding {
    /// Returns whether tables have their baseline width, which is reduced while attempts fail everywhere.
    pub fn is_at_baseline(&self) -> bool {
        self.shards == self.baseline_shards
    }

    /// Returns whether each zone has separate shards.
    pub fn isolates_zones(&self, settings: &Settings) -> bool {
        self.shards > 1 && prefers_own_zone(settings)
    }

    /// Returns whether a table belongs to the current layout.
    pub fn uses(&self, table: TableId) -> bool {
        self.plans.iter().any(|plan| plan.table == table)
    }

    /// Records the least share of failed attempts over all links, at a tick at which the servers have headroom.
    pub fn record_failures(&mut self, now: Micros, failed_share: f64) {
        if failed_share > NARROW_FROM_FAILED_SHARE {
            self.failures_seen_at = Some(now);
        }
    }

    /// Updates the number of shards and returns an event if the layout changed. The tables of a new layout have new
    /// numbers; they take no lines of the channel until a proxy uses them.
    pub fn update(&mut self, inputs: &ShardingInputs) -> Option<DecisionEvent> {
        if !self.can_form_shards(inputs) {
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

    /// Returns whether shards can be formed: initially when at least half of this instance's share of the proxies
    /// joined, or at the first tick with a joined proxy. Their number follows from that of the servers, so that an empty
    /// list that discovery has yet to fill must not determine it.
    fn can_form_shards(&self, inputs: &ShardingInputs) -> bool {
        let registry = inputs.registry;
        let has_servers = registry.in_service().next().is_some();
        let is_list_expected = registry.awaits_first_answer() && !has_servers;
        !is_list_expected && self.has_enough_proxies(inputs)
    }

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

    /// Returns the number of sets of tables: one for each zone if zones have separate tables, otherwise one.
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

    /// Returns the number of shards with which an average proxy reuses its connections and tables arrive in time.
    fn baseline_shards(&self, size: FleetSize) -> usize {
        let joined = self.proxies.len() as f64;
        let rate = self.proxies.request_rates().sum::<f64>() / joined;
        let requests_per_timeout = rate * self.settings.idle_timeout.secs();
        let connected_servers = (requests_per_timeout / REQUESTS_PER_CONNECTION).max(MIN_SERVERS);
        let tables_per_proxy = self.table_sets() + f64::from(self.has_zone_tables());
        let rows = (self.rows_in_grace() / tables_per_proxy).max(MIN_NARROWED_SERVERS);
        // Rows are rounded down: half a row more at each proxy would be late.
        let min_shards = (size.servers / rows.floor()).ceil().max(1.0);
        (size.servers / connected_servers).round().max(min_shards) as usize
    }

    /// Returns the number of table rows for each proxy of the fleet with which all proxies can join here at once and
    /// get their tables within the drain grace. Removed servers stay in old tables until new ones arrive, and
    /// suspensions, which take precedence, delay the last tables. Infinite if the delivery delay alone takes the grace,
    /// since no number of rows would be small enough.
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
