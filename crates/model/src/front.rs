//! A front end: the tables that it was given, how it picks from them, what it avoids, and its connections. It does as it is
//! told, and knows nothing of the fleet but its own failures.

use std::rc::Rc;

use chutegrade_engine::AdmissionLevel;
use chutegrade_engine::Order;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::chance::Chance;
use crate::scenario::Pick;

/// Draws after which a line that is not avoided is looked for one by one.
const DRAWS_MOST: usize = 8;
/// The golden ratio's fraction: steps of it cover a circle evenly.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// One table: servers with weights, by their numbers.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<(u32, f64)>,
    /// Servers that can be picked with the sum of weights up to them; made anew after a change.
    sums: Option<Vec<(u32, f64)>>,
}

impl Table {
    /// Rows in the order of their servers.
    pub fn new(mut rows: Vec<(u32, f64)>) -> Self {
        rows.sort_unstable_by_key(|(server, _)| *server);
        Table { rows, sums: None }
    }

    fn set(&mut self, server: u32, weight: f64) {
        let at = self.rows.binary_search_by_key(&server, |(known, _)| *known);
        match at {
            Ok(at) if weight > 0.0 => self.rows[at].1 = weight,
            Ok(at) => drop(self.rows.remove(at)),
            Err(at) if weight > 0.0 => self.rows.insert(at, (server, weight)),
            Err(_) => {}
        }
        self.sums = None;
    }

    /// The lines.
    pub fn rows(&self) -> &[(u32, f64)] {
        &self.rows
    }
}

/// A connection to a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connection {
    /// Requests on it.
    pub inflight: u32,
    /// When it was last used.
    pub used_us: u64,
}

/// What a front end makes of one server from its own tries.
#[derive(Clone, Copy, Debug, Default)]
struct Own {
    failures: u32,
    avoided_until: u64,
}

/// What came to a front end of one class since it last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Requests that came.
    pub came: f64,
    /// Admitted ones without an answer.
    pub failed: f64,
}

/// A front end.
pub struct Front {
    /// Its zone.
    pub zone: usize,
    /// It runs.
    pub up: bool,
    /// It stands still until then.
    pub still_until: u64,
    /// The supervisor and stream that it is joined to, and since when.
    pub joined: Option<(usize, u64, u64)>,
    /// Number of its current stream or dial; what belongs to an older one is void.
    pub epoch: u32,
    /// When its last message was sent by its supervisor.
    pub last_sent_us: u64,
    /// When its last message arrives.
    pub last_arrival_us: u64,
    /// Since when it has had nobody to pick, by class.
    pub bare_since: Vec<Option<u64>>,
    /// Usage by class.
    pub usage: Vec<Usage>,
    /// It has been given a table by a supervisor since it started.
    pub bound: bool,
    /// Connections by server.
    pub connections: FxHashMap<u32, Connection>,
    /// Times at which messages were written to it in the last ten seconds.
    pub messages: std::collections::VecDeque<u64>,
    tables: Vec<Rc<Table>>,
    levels: Vec<Option<AdmissionLevel>>,
    withdrawn: FxHashSet<u32>,
    own: FxHashMap<u32, Own>,
    chance: Chance,
    turn: f64,
}

impl Front {
    /// A front end with the table that it starts with.
    pub fn new(zone: usize, classes: usize, standing: Table, chance: Chance) -> Self {
        let standing = Rc::new(standing);
        Front {
            zone,
            up: true,
            still_until: 0,
            joined: None,
            epoch: 0,
            last_sent_us: 0,
            last_arrival_us: 0,
            bare_since: vec![None; classes],
            usage: vec![Usage::default(); classes],
            bound: false,
            connections: FxHashMap::default(),
            messages: std::collections::VecDeque::new(),
            tables: vec![standing; classes],
            levels: vec![None; classes],
            withdrawn: FxHashSet::default(),
            own: FxHashMap::default(),
            chance,
            turn: 0.0,
        }
    }

    /// It starts anew with a table to begin with, and knows nothing.
    pub fn restart(&mut self, standing: Table) {
        let classes = self.tables.len();
        let chance = self.chance.clone();
        let epoch = self.epoch + 1;
        *self = Front::new(self.zone, classes, standing, chance);
        self.epoch = epoch;
    }

    /// Carries out an order. Names that are not classes or servers are the caller's fault and are passed over.
    pub fn apply(
        &mut self,
        order: &Order,
        class_of: impl Fn(&str) -> Option<usize>,
        server_of: impl Fn(&str) -> Option<u32>,
    ) {
        for part in &order.updates {
            let classes: Vec<usize> = if part.classes.is_empty() {
                (0..self.tables.len()).collect()
            } else {
                part.classes
                    .iter()
                    .filter_map(|name| class_of(name))
                    .collect()
            };
            let rows = || {
                part.weights
                    .iter()
                    .filter_map(|of| Some((server_of(&of.server)?, of.weight)))
            };
            if part.replace {
                let table = Rc::new(Table::new(
                    rows().filter(|(_, weight)| *weight > 0.0).collect(),
                ));
                for class in &classes {
                    self.tables[*class] = Rc::clone(&table);
                    self.levels[*class] = None;
                }
                self.bound = true;
            } else if !part.weights.is_empty() {
                self.change(&classes, rows);
            }
            if let Some(gate) = part.admission {
                classes
                    .iter()
                    .for_each(|class| self.levels[*class] = Some(gate));
            }
        }
        let named = |names: &[Rc<str>]| {
            names
                .iter()
                .filter_map(|name| server_of(name))
                .collect::<Vec<u32>>()
        };
        let (out, back) = (named(&order.suspended), named(&order.resumed));
        if !out.is_empty() || !back.is_empty() {
            self.withdrawn.extend(out);
            for server in &back {
                self.withdrawn.remove(server);
            }
            self.tables
                .iter_mut()
                .for_each(|table| Rc::make_mut(table).sums = None);
            self.share_alike();
        }
    }

    /// Changes rows of some classes' tables; tables that classes share stay shared.
    fn change<R: Iterator<Item = (u32, f64)>>(&mut self, classes: &[usize], rows: impl Fn() -> R) {
        let mut made: Vec<(Rc<Table>, Rc<Table>)> = Vec::new();
        for class in classes {
            let old = Rc::clone(&self.tables[*class]);
            let known = made
                .iter()
                .find(|(before, _)| Rc::ptr_eq(before, &old))
                .map(|(_, new)| Rc::clone(new));
            let new = known.unwrap_or_else(|| {
                let mut table = (*old).clone();
                rows().for_each(|(server, weight)| table.set(server, weight));
                let new = Rc::new(table);
                made.push((Rc::clone(&old), Rc::clone(&new)));
                new
            });
            self.tables[*class] = new;
        }
    }

    /// After all tables were touched: those with the same rows are one again.
    fn share_alike(&mut self) {
        for at in 1..self.tables.len() {
            let (before, rest) = self.tables.split_at_mut(at);
            if let Some(same) = before.iter().find(|table| table.rows == rest[0].rows) {
                rest[0] = Rc::clone(same);
            }
        }
    }

    /// The level of a class and the way of trying again, if one was ordered.
    pub fn gate(&self, class: usize) -> Option<AdmissionLevel> {
        self.levels.get(class).copied().flatten()
    }

    /// Lines of a class's table.
    pub fn table(&self, class: usize) -> &Table {
        &self.tables[class]
    }

    /// Whether a server can be picked for some class.
    pub fn picks(&self, server: u32) -> bool {
        let names = |table: &Rc<Table>| {
            table
                .rows
                .binary_search_by_key(&server, |(known, _)| *known)
                .is_ok()
        };
        !self.withdrawn.contains(&server) && self.tables.iter().any(names)
    }

    /// Whether somebody can be picked for a class.
    pub fn has_lines(&self, class: usize) -> bool {
        match &self.tables[class].sums {
            Some(sums) => !sums.is_empty(),
            None => self.tables[class]
                .rows
                .iter()
                .any(|(server, _)| !self.withdrawn.contains(server)),
        }
    }

    fn sums(&mut self, class: usize) -> usize {
        if self.tables[class].sums.is_none() {
            let mut sum = 0.0;
            let usable = self.tables[class]
                .rows
                .iter()
                .filter(|(server, _)| !self.withdrawn.contains(server));
            let sums: Vec<(u32, f64)> = usable
                .map(|(server, weight)| {
                    sum += weight;
                    (*server, sum)
                })
                .collect();
            let old = Rc::clone(&self.tables[class]);
            let new = Rc::new(Table {
                rows: old.rows.clone(),
                sums: Some(sums),
            });
            for table in self
                .tables
                .iter_mut()
                .filter(|table| Rc::ptr_eq(table, &old))
            {
                *table = Rc::clone(&new);
            }
        }
        self.tables[class].sums.as_ref().map_or(0, Vec::len)
    }

    fn draw(&mut self, class: usize, pick: Pick) -> u32 {
        let share = match pick {
            Pick::Rotate => {
                self.turn = (self.turn + GOLDEN).fract();
                self.turn
            }
            _ => self.chance.share(),
        };
        let sums = self.tables[class].sums.as_deref().unwrap_or_default();
        let total = sums.last().map_or(0.0, |(_, sum)| *sum);
        let at = sums
            .partition_point(|(_, sum)| *sum <= share * total)
            .min(sums.len().saturating_sub(1));
        sums.get(at).map_or(0, |(server, _)| *server)
    }

    /// Picks a server for a class, another one than the last; none if there is none.
    pub fn pick(&mut self, now: u64, class: usize, pick: Pick, not: Option<u32>) -> Option<u32> {
        let lines = self.sums(class);
        if lines == 0
            || (lines == 1
                && not.is_some_and(|not| {
                    self.tables[class]
                        .sums
                        .iter()
                        .flatten()
                        .any(|(s, _)| *s == not)
                }))
        {
            return None;
        }
        let mut last = None;
        for _ in 0..DRAWS_MOST {
            let mut drawn = self.draw(class, pick);
            if pick == Pick::LeastOfTwo {
                let other = self.draw(class, pick);
                let held = |server: u32| self.connections.get(&server).map_or(0, |of| of.inflight);
                let worse =
                    |server: u32| (Some(server) == not, self.avoids(now, server), held(server));
                if worse(other) < worse(drawn) {
                    drawn = other;
                }
            }
            if Some(drawn) != not {
                last = Some(drawn);
                if !self.avoids(now, drawn) {
                    return Some(drawn);
                }
            }
        }
        let sums = self.tables[class].sums.as_deref().unwrap_or_default();
        let others = || {
            sums.iter()
                .map(|(server, _)| *server)
                .filter(|server| Some(*server) != not)
        };
        let free = others().find(|server| !self.avoids(now, *server));
        // Who avoids all is better served by any than by none.
        free.or(last).or_else(|| others().next())
    }

    fn avoids(&self, now: u64, server: u32) -> bool {
        self.own
            .get(&server)
            .is_some_and(|own| own.avoided_until > now)
    }

    /// A try at a server ended: a run of failures makes the front end avoid it.
    pub fn learn(&mut self, now: u64, server: u32, good: bool, (after, length): (u32, u64)) {
        if good {
            self.own.remove(&server);
            return;
        }
        let own = self.own.entry(server).or_default();
        own.failures += 1;
        if after > 0 && own.failures >= after {
            *own = Own {
                failures: 0,
                avoided_until: now + length,
            };
        }
    }

    /// Chance of this front end's own.
    pub fn chance(&mut self) -> f64 {
        self.chance.share()
    }
}

#[cfg(test)]
mod tests;
