//! The tables, admission levels and suspensions that the decision module has set.

use std::collections::{BTreeMap, BTreeSet};

use chutegrade_policy::{AdmissionLevel, ClassSet, ServerId, TableId};

/// One table: weights by server, and admission levels by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    /// Weights by server, all above 0.
    pub weights: BTreeMap<ServerId, f64>,
    admission_levels: BTreeMap<usize, AdmissionLevel>,
}

/// All tables, admission levels and suspensions in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tables {
    tables: BTreeMap<TableId, Table>,
    /// Admission levels by class for all joined proxies.
    global_admission_levels: BTreeMap<usize, AdmissionLevel>,
    suspended: BTreeSet<ServerId>,
    /// Servers that were removed and listed again: proxies may still have them suspended.
    returned: BTreeSet<ServerId>,
    /// Servers that this supervisor has ever suspended: proxies that were joined to another supervisor may still have
    /// them suspended.
    ever_suspended: BTreeSet<ServerId>,
    class_count: usize,
}

impl Tables {
    /// Creates an empty state for a number of classes.
    pub fn new(class_count: usize) -> Self {
        Tables {
            class_count,
            ..Tables::default()
        }
    }

    /// Returns the positions of a set of classes; the empty set means all classes.
    pub fn class_positions(&self, classes: ClassSet) -> Vec<usize> {
        let positions = 0..self.class_count;
        if classes == ClassSet::default() {
            return positions.collect();
        }
        positions.filter(|class| classes.has(*class)).collect()
    }

    /// Number of classes in the settings.
    pub fn class_count(&self) -> usize {
        self.class_count
    }

    /// Returns a table; `None` before its first weight or admission level, and after it was cleared.
    pub fn get(&self, table: TableId) -> Option<&Table> {
        self.tables.get(&table)
    }

    /// Sets the weight of a server in a table; 0 removes it.
    pub fn set_weight(&mut self, table: TableId, server: ServerId, weight: f64) {
        let weights = &mut self.tables.entry(table).or_default().weights;
        if weight > 0.0 {
            weights.insert(server, weight);
        } else {
            weights.remove(&server);
        }
    }

    /// Removes all weights and admission levels of a table.
    pub fn clear(&mut self, table: TableId) {
        self.tables.remove(&table);
    }

    /// Sets the admission level of a class in a table, or for all joined proxies if `table` is `None`.
    pub fn set_admission(&mut self, table: Option<TableId>, class: usize, level: AdmissionLevel) {
        let levels = match table {
            Some(table) => &mut self.tables.entry(table).or_default().admission_levels,
            None => &mut self.global_admission_levels,
        };
        levels.insert(class, level);
    }

    /// Returns the effective admission level of a class: the lower of the table's and the global level, with the table's
    /// retry policy if it has one.
    pub fn admission_level(&self, table: Option<TableId>, class: usize) -> Option<AdmissionLevel> {
        let table_level = table
            .and_then(|table| self.tables.get(&table)?.admission_levels.get(&class))
            .copied();
        let global_level = self.global_admission_levels.get(&class).copied();
        match (table_level, global_level) {
            (Some(table_level), Some(global_level)) => Some(AdmissionLevel {
                level: table_level.level.min(global_level.level),
                retry: table_level.retry,
            }),
            (table_level, global_level) => table_level.or(global_level),
        }
    }

    /// Suspends or resumes a server; returns whether its state changed.
    pub fn set_suspended(&mut self, server: ServerId, suspended: bool) -> bool {
        if suspended {
            self.ever_suspended.insert(server);
            self.suspended.insert(server)
        } else {
            self.suspended.remove(&server)
        }
    }

    /// Whether a server is suspended.
    pub fn is_suspended(&self, server: ServerId) -> bool {
        self.suspended.contains(&server)
    }

    /// Marks a server that was removed and is listed again: proxies may still have it suspended.
    pub fn mark_returned(&mut self, server: ServerId) {
        self.returned.insert(server);
    }

    /// Whether a server was removed and is listed again.
    pub fn has_returned(&self, server: ServerId) -> bool {
        self.returned.contains(&server)
    }

    /// Whether this supervisor has ever suspended a server.
    pub fn was_ever_suspended(&self, server: ServerId) -> bool {
        self.ever_suspended.contains(&server)
    }

    /// Whether any table has a weight for a server.
    pub fn references_server(&self, server: ServerId) -> bool {
        let mut tables = self.tables.values();
        tables.any(|table| table.weights.contains_key(&server))
    }

    /// Removes the state of a server that no table references.
    pub fn remove_server(&mut self, server: ServerId) {
        self.suspended.remove(&server);
        self.returned.remove(&server);
        self.ever_suspended.remove(&server);
    }
}
