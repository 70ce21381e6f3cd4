//! The tables as published by this instance.

use std::collections::BTreeMap;

use crate::interface::{AdmissionLevel, ServerId, TableId};

use super::registry::Weights;

/// A published table.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    /// The weights of its servers, all above 0.
    pub weights: Weights,
    /// The admission levels, by class.
    pub levels: BTreeMap<usize, AdmissionLevel>,
    /// Whether advice on its servers is overruled.
    pub advice_overruled: bool,
}

/// All published tables.
#[derive(Clone, Debug, Default)]
pub(super) struct Tables {
    by_id: BTreeMap<TableId, Table>,
}

impl Tables {
    /// Returns a published table.
    pub fn get(&self, id: TableId) -> Option<&Table> {
        self.by_id.get(&id)
    }

    /// Returns a table, which is empty if it was not published yet.
    pub fn entry(&mut self, id: TableId) -> &mut Table {
        self.by_id.entry(id).or_default()
    }

    /// Empties a table.
    pub fn reset(&mut self, id: TableId) {
        self.by_id.insert(id, Table::default());
    }

    /// Records a weight that was published before this instance owned the table.
    pub fn record_published(&mut self, table: TableId, server: ServerId, weight: f64) {
        self.entry(table).weights.insert(server, weight);
    }

    /// Returns all published tables.
    pub fn iter(&self) -> impl Iterator<Item = &Table> {
        self.by_id.values()
    }

    /// Returns whether a table contains a server.
    pub fn contains(&self, table: TableId, server: ServerId) -> bool {
        self.get(table)
            .is_some_and(|table| table.weights.contains_key(&server))
    }

    /// Returns whether any table contains a server.
    pub fn any_contains(&self, server: ServerId) -> bool {
        self.iter().any(|table| table.weights.contains_key(&server))
    }

    /// Drops unused tables and returns their ids.
    pub fn drop_unused(&mut self, is_used: impl Fn(TableId) -> bool) -> Vec<TableId> {
        let unused: Vec<TableId> = self
            .by_id
            .keys()
            .copied()
            .filter(|table| !is_used(*table))
            .collect();
        for table in &unused {
            self.by_id.remove(table);
        }
        unused
    }

    /// Sets the weight of a server; weight 0 removes it.
    pub fn set_weight(&mut self, table: TableId, server: ServerId, weight: f64) {
        let weights = &mut self.entry(table).weights;
        weights.insert(server, weight);
        weights.retain(|_, weight| *weight > 0.0);
    }
}
