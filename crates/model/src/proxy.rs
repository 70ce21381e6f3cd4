//! A proxy: its tables, server selection, local ejection of failing servers, and connections. It applies orders, and has no
//! knowledge of the fleet beyond the outcomes of its own attempts.

use std::rc::Rc;

use chutegrade_engine::AdmissionLevel;
use chutegrade_engine::Order;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::random::RandomSource;
use crate::scenario::Pick;

/// Draws of one selection, each of two servers for [`Pick::LeastOfTwo`]; if all hit ejected or excluded servers, the
/// table is searched in order.
const MAX_DRAWS: usize = 8;
/// Fractional part of the golden ratio: steps of this size are spread evenly over the unit interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// A table: servers, by number, with their weights.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<(u32, f64)>,
    /// Selectable servers with the cumulative sum of weights; rebuilt on the next selection after a change.
    cumulative_weights: Option<Vec<(u32, f64)>>,
}

impl Table {
    /// Creates a table from rows in any order.
    pub fn new(mut rows: Vec<(u32, f64)>) -> Self {
        rows.sort_unstable_by_key(|(server, _)| *server);
        Table {
            rows,
            cumulative_weights: None,
        }
    }

    fn set_weight(&mut self, server: u32, weight: f64) {
        let position = self.rows.binary_search_by_key(&server, |(entry, _)| *entry);
        match position {
            Ok(position) if weight > 0.0 => self.rows[position].1 = weight,
            Ok(position) => drop(self.rows.remove(position)),
            Err(position) if weight > 0.0 => self.rows.insert(position, (server, weight)),
            Err(_) => {}
        }
        self.cumulative_weights = None;
    }

    /// Returns the rows, sorted by server.
    pub fn rows(&self) -> &[(u32, f64)] {
        &self.rows
    }
}

/// A connection to a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connection {
    /// Requests in flight on the connection.
    pub inflight: u32,
    /// Time of the last start or end of an attempt.
    pub used_us: u64,
}

/// Health of a server according to the proxy's own attempts.
#[derive(Clone, Copy, Debug, Default)]
struct LocalHealth {
    consecutive_failures: u32,
    ejected_until_us: u64,
}

/// Requests of one class since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Requests that arrived, with those that the admission level rejected.
    pub arrivals: f64,
    /// Admitted requests that failed or timed out, or found no server.
    pub failed: f64,
}

/// A proxy of the simulated fleet.
pub struct Proxy {
    /// Index of the proxy's zone in the scenario.
    pub zone: usize,
    /// Whether the process runs.
    pub is_up: bool,
    /// The proxy processes no requests and no messages before this time.
    pub paused_until_us: u64,
    /// Supervisor, stream number and opening time of the control stream.
    pub control_stream: Option<(usize, u64, u64)>,
    /// Incremented when the control stream or the process ends; events of an earlier epoch are ignored.
    pub epoch: u32,
    /// Sending time of the last message that was applied.
    pub last_sent_us: u64,
    /// Arrival time of the last message that was sent to the proxy.
    pub last_arrival_us: u64,
    /// Time since which there is no server to select, by class; set while a control stream is open.
    pub no_server_since: Vec<Option<u64>>,
    /// Requests since the last report, by class.
    pub usage: Vec<Usage>,
    /// Whether a supervisor has replaced the initial table since the start.
    pub has_table: bool,
    /// Open connections by server.
    pub connections: FxHashMap<u32, Connection>,
    /// Sending times of the messages to the proxy in the last ten seconds.
    pub recent_messages: std::collections::VecDeque<u64>,
    tables: Vec<Rc<Table>>,
    admission_levels: Vec<Option<AdmissionLevel>>,
    suspended: FxHashSet<u32>,
    local_health: FxHashMap<u32, LocalHealth>,
    random: RandomSource,
    rotation: f64,
}

impl Proxy {
    /// Creates a running proxy with an initial table for all classes.
    pub fn new(zone: usize, classes: usize, initial_table: Table, random: RandomSource) -> Self {
        let initial_table = Rc::new(initial_table);
        Proxy {
            zone,
            is_up: true,
            paused_until_us: 0,
            control_stream: None,
            epoch: 0,
            last_sent_us: 0,
            last_arrival_us: 0,
            no_server_since: vec![None; classes],
            usage: vec![Usage::default(); classes],
            has_table: false,
            connections: FxHashMap::default(),
            recent_messages: std::collections::VecDeque::new(),
            tables: vec![initial_table; classes],
            admission_levels: vec![None; classes],
            suspended: FxHashSet::default(),
            local_health: FxHashMap::default(),
            random,
            rotation: 0.0,
        }
    }

    /// Restarts the process with an initial table and no other state.
    pub fn restart(&mut self, initial_table: Table) {
        let classes = self.tables.len();
        let random = self.random.clone();
        let epoch = self.epoch + 1;
        *self = Proxy::new(self.zone, classes, initial_table, random);
        self.epoch = epoch;
    }

    /// Applies an order. Unknown names of classes and servers are ignored.
    pub fn apply(
        &mut self,
        order: &Order,
        class_of: impl Fn(&str) -> Option<usize>,
        server_of: impl Fn(&str) -> Option<u32>,
    ) {
        for update in &order.updates {
            let classes: Vec<usize> = if update.classes.is_empty() {
                (0..self.tables.len()).collect()
            } else {
                update
                    .classes
                    .iter()
                    .filter_map(|name| class_of(name))
                    .collect()
            };
            let rows = || {
                update
                    .weights
                    .iter()
                    .filter_map(|row| Some((server_of(&row.server)?, row.weight)))
            };
            if update.replace {
                let table = Rc::new(Table::new(
                    rows().filter(|(_, weight)| *weight > 0.0).collect(),
                ));
                for class in &classes {
                    self.tables[*class] = Rc::clone(&table);
                    self.admission_levels[*class] = None;
                }
                self.has_table = true;
            } else if !update.weights.is_empty() {
                self.change_weights(&classes, rows);
            }
            if let Some(admission) = update.admission {
                classes
                    .iter()
                    .for_each(|class| self.admission_levels[*class] = Some(admission));
            }
        }
        let server_ids = |names: &[Rc<str>]| {
            names
                .iter()
                .filter_map(|name| server_of(name))
                .collect::<Vec<u32>>()
        };
        let (suspended_now, resumed_now) =
            (server_ids(&order.suspended), server_ids(&order.resumed));
        if !suspended_now.is_empty() || !resumed_now.is_empty() {
            self.suspended.extend(suspended_now);
            for server in &resumed_now {
                self.suspended.remove(server);
            }
            self.tables
                .iter_mut()
                .for_each(|table| Rc::make_mut(table).cumulative_weights = None);
            self.deduplicate_tables();
        }
    }

    /// Changes rows in the tables of some classes. Classes that shared a table share the changed one.
    fn change_weights<R: Iterator<Item = (u32, f64)>>(
        &mut self,
        classes: &[usize],
        rows: impl Fn() -> R,
    ) {
        let mut changed_tables: Vec<(Rc<Table>, Rc<Table>)> = Vec::new();
        for class in classes {
            let old = Rc::clone(&self.tables[*class]);
            let changed = changed_tables
                .iter()
                .find(|(before, _)| Rc::ptr_eq(before, &old))
                .map(|(_, new)| Rc::clone(new));
            let new = changed.unwrap_or_else(|| {
                let mut table = (*old).clone();
                rows().for_each(|(server, weight)| table.set_weight(server, weight));
                let new = Rc::new(table);
                changed_tables.push((Rc::clone(&old), Rc::clone(&new)));
                new
            });
            self.tables[*class] = new;
        }
    }

    /// Shares tables with equal rows between classes again.
    fn deduplicate_tables(&mut self) {
        for index in 1..self.tables.len() {
            let (earlier, others) = self.tables.split_at_mut(index);
            if let Some(equal) = earlier.iter().find(|table| table.rows == others[0].rows) {
                others[0] = Rc::clone(equal);
            }
        }
    }

    /// Returns the admission level and the retry policy of a class, if an order has set them.
    pub fn admission(&self, class: usize) -> Option<AdmissionLevel> {
        self.admission_levels.get(class).copied().flatten()
    }

    /// Returns the table of a class.
    pub fn table(&self, class: usize) -> &Table {
        &self.tables[class]
    }

    /// Returns whether a server can be selected for at least one class.
    pub fn can_pick(&self, server: u32) -> bool {
        let contains = |table: &Rc<Table>| {
            table
                .rows
                .binary_search_by_key(&server, |(entry, _)| *entry)
                .is_ok()
        };
        !self.suspended.contains(&server) && self.tables.iter().any(contains)
    }

    /// Returns whether any server can be selected for a class.
    pub fn has_servers(&self, class: usize) -> bool {
        match &self.tables[class].cumulative_weights {
            Some(cumulative) => !cumulative.is_empty(),
            None => self.tables[class]
                .rows
                .iter()
                .any(|(server, _)| !self.suspended.contains(server)),
        }
    }

    fn update_cumulative_weights(&mut self, class: usize) -> usize {
        if self.tables[class].cumulative_weights.is_none() {
            let mut sum = 0.0;
            let usable = self.tables[class]
                .rows
                .iter()
                .filter(|(server, _)| !self.suspended.contains(server));
            let cumulative: Vec<(u32, f64)> = usable
                .map(|(server, weight)| {
                    sum += weight;
                    (*server, sum)
                })
                .collect();
            let old = Rc::clone(&self.tables[class]);
            let new = Rc::new(Table {
                rows: old.rows.clone(),
                cumulative_weights: Some(cumulative),
            });
            for table in self
                .tables
                .iter_mut()
                .filter(|table| Rc::ptr_eq(table, &old))
            {
                *table = Rc::clone(&new);
            }
        }
        self.tables[class]
            .cumulative_weights
            .as_ref()
            .map_or(0, Vec::len)
    }

    fn draw(&mut self, class: usize, pick: Pick) -> u32 {
        let share = match pick {
            Pick::Rotate => {
                self.rotation = (self.rotation + GOLDEN_RATIO_FRACTION).fract();
                self.rotation
            }
            _ => self.random.uniform(),
        };
        let cumulative = self.tables[class]
            .cumulative_weights
            .as_deref()
            .unwrap_or_default();
        let total = cumulative.last().map_or(0.0, |(_, sum)| *sum);
        let index = cumulative
            .partition_point(|(_, sum)| *sum <= share * total)
            .min(cumulative.len().saturating_sub(1));
        cumulative.get(index).map_or(0, |(server, _)| *server)
    }

    /// Selects a server for a class other than the excluded one; `None` if there is no other.
    pub fn pick(
        &mut self,
        now_us: u64,
        class: usize,
        pick: Pick,
        excluded: Option<u32>,
    ) -> Option<u32> {
        let count = self.update_cumulative_weights(class);
        if count == 0
            || (count == 1
                && excluded.is_some_and(|excluded| {
                    self.tables[class]
                        .cumulative_weights
                        .iter()
                        .flatten()
                        .any(|(server, _)| *server == excluded)
                }))
        {
            return None;
        }
        let mut last = None;
        for _ in 0..MAX_DRAWS {
            let mut candidate = self.draw(class, pick);
            if pick == Pick::LeastOfTwo {
                let other = self.draw(class, pick);
                let inflight = |server: u32| {
                    self.connections
                        .get(&server)
                        .map_or(0, |connection| connection.inflight)
                };
                let rank = |server: u32| {
                    (
                        Some(server) == excluded,
                        self.is_ejected(now_us, server),
                        inflight(server),
                    )
                };
                if rank(other) < rank(candidate) {
                    candidate = other;
                }
            }
            if Some(candidate) != excluded {
                last = Some(candidate);
                if !self.is_ejected(now_us, candidate) {
                    return Some(candidate);
                }
            }
        }
        let cumulative = self.tables[class]
            .cumulative_weights
            .as_deref()
            .unwrap_or_default();
        let others = || {
            cumulative
                .iter()
                .map(|(server, _)| *server)
                .filter(|server| Some(*server) != excluded)
        };
        let healthy = others().find(|server| !self.is_ejected(now_us, *server));
        // If all servers are ejected, an ejected one is better than none.
        healthy.or(last).or_else(|| others().next())
    }

    fn is_ejected(&self, now_us: u64, server: u32) -> bool {
        self.local_health
            .get(&server)
            .is_some_and(|local_health| local_health.ejected_until_us > now_us)
    }

    /// Records the outcome of an attempt. A server is ejected after `threshold` consecutive failures; 0 disables ejection.
    pub fn record_attempt(
        &mut self,
        now_us: u64,
        server: u32,
        is_success: bool,
        (threshold, ejection_us): (u32, u64),
    ) {
        if is_success {
            self.local_health.remove(&server);
            return;
        }
        let local_health = self.local_health.entry(server).or_default();
        local_health.consecutive_failures += 1;
        if threshold > 0 && local_health.consecutive_failures >= threshold {
            *local_health = LocalHealth {
                consecutive_failures: 0,
                ejected_until_us: now_us + ejection_us,
            };
        }
    }

    /// Draws from the uniform distribution over [0, 1), from the proxy's own random source.
    pub fn draw_uniform(&mut self) -> f64 {
        self.random.uniform()
    }
}

#[cfg(test)]
mod tests;
