//! The tables, levels and withdrawals as the decisions ordered them.

use std::collections::{BTreeMap, BTreeSet};

use chutegrade_policy::{AdmissionLevel, ClassSet, Retry, ServerId, TableId};

/// One table: servers with weights, and levels by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub lines: BTreeMap<ServerId, f64>,
    levels: BTreeMap<usize, AdmissionLevel>,
}

/// All that holds now.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tables {
    tables: BTreeMap<TableId, Table>,
    for_all: BTreeMap<usize, AdmissionLevel>,
    withdrawn: BTreeSet<ServerId>,
    /// Servers that proxies may know from before, as shut out.
    returned: BTreeSet<ServerId>,
    /// Servers that were ever shut out here: proxies of another supervisor may hold them so.
    left: BTreeSet<ServerId>,
    classes: usize,
}

impl Tables {
    pub fn new(classes: usize) -> Self {
        Tables {
            classes,
            ..Tables::default()
        }
    }

    /// The positions of a set of classes; no class in the set stands for all of them.
    pub fn positions(&self, classes: ClassSet) -> Vec<usize> {
        (0..self.classes)
            .filter(|class| classes == ClassSet::default() || classes.has(*class))
            .collect()
    }

    pub fn classes(&self) -> usize {
        self.classes
    }

    pub fn get(&self, table: TableId) -> Option<&Table> {
        self.tables.get(&table)
    }

    pub fn line(&mut self, table: TableId, server: ServerId, weight: f64) {
        let lines = &mut self.tables.entry(table).or_default().lines;
        if weight > 0.0 {
            lines.insert(server, weight);
        } else {
            lines.remove(&server);
        }
    }

    pub fn clear(&mut self, table: TableId) {
        self.tables.remove(&table);
    }

    pub fn admit(&mut self, table: Option<TableId>, class: usize, level: f64, retry: Retry) {
        let levels = match table {
            Some(table) => &mut self.tables.entry(table).or_default().levels,
            None => &mut self.for_all,
        };
        levels.insert(class, AdmissionLevel { level, retry });
    }

    /// The level in force for a class: the lower of the table's and that for all, with the table's own way of
    /// trying again.
    pub fn level(&self, table: Option<TableId>, class: usize) -> Option<AdmissionLevel> {
        let own = table
            .and_then(|table| self.tables.get(&table)?.levels.get(&class))
            .copied();
        let for_all = self.for_all.get(&class).copied();
        match (own, for_all) {
            (Some(own), Some(all)) => Some(AdmissionLevel {
                level: own.level.min(all.level),
                retry: own.retry,
            }),
            (own, all) => own.or(all),
        }
    }

    /// Shuts a server out or lets it back; whether that is news.
    pub fn withdraw(&mut self, server: ServerId, out: bool) -> bool {
        if out {
            self.left.insert(server);
            self.withdrawn.insert(server)
        } else {
            self.withdrawn.remove(&server)
        }
    }

    /// Proxies may know the server from before, as shut out.
    pub fn returned(&mut self, server: ServerId) {
        self.returned.insert(server);
    }

    pub fn has_returned(&self, server: ServerId) -> bool {
        self.returned.contains(&server)
    }

    pub fn has_left(&self, server: ServerId) -> bool {
        self.left.contains(&server)
    }

    /// Whether any table has a line of the server.
    pub fn mention(&self, server: ServerId) -> bool {
        self.tables
            .values()
            .any(|table| table.lines.contains_key(&server))
    }

    pub fn forget(&mut self, server: ServerId) {
        self.withdrawn.remove(&server);
        self.returned.remove(&server);
        self.left.remove(&server);
    }

    pub fn is_withdrawn(&self, server: ServerId) -> bool {
        self.withdrawn.contains(&server)
    }
}
