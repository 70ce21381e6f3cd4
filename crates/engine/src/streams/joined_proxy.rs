//! A joined proxy: its tables by class, the suspensions that were sent to it, and its pending order.

use std::collections::{BTreeMap, BTreeSet};

use chutegrade_policy::{ServerId, TableId};

use super::{AcknowledgementRequest, StreamId};
use crate::pending_order::PendingOrder;
use crate::tables::Tables;

/// A proxy with an open stream.
pub(super) struct JoinedProxy {
    /// The stream on which the proxy joined.
    pub stream: StreamId,
    /// Changes that were not written yet.
    pub pending: PendingOrder,
    /// Whether the proxy has tables from an earlier stream, and possibly suspensions of another supervisor.
    has_previous_table: bool,
    /// Whether reconciliation was ordered, which corrects stale suspensions of all servers in the proxy's tables.
    is_reconciled: bool,
    tables: BTreeMap<usize, TableId>,
    /// Servers that the proxy was ordered to suspend (`true`) or resume (`false`) on this stream.
    notified_suspensions: BTreeMap<ServerId, bool>,
}

impl JoinedProxy {
    /// Creates the state of a proxy that has just joined.
    pub fn new(stream: StreamId, has_previous_table: bool) -> Self {
        JoinedProxy {
            stream,
            pending: PendingOrder::default(),
            has_previous_table,
            is_reconciled: false,
            tables: BTreeMap::new(),
            notified_suspensions: BTreeMap::new(),
        }
    }

    /// Returns the table of each class that has one.
    pub fn assigned_tables(&self) -> impl Iterator<Item = TableId> + '_ {
        self.tables.values().copied()
    }

    /// Returns the tables of some classes.
    pub fn tables_of(&self, classes: &[usize]) -> Vec<TableId> {
        let assigned = classes.iter().filter_map(|class| self.tables.get(class));
        assigned.copied().collect()
    }

    /// Whether any class uses a table.
    pub fn uses(&self, table: TableId) -> bool {
        self.tables.values().any(|assigned| *assigned == table)
    }

    fn classes_of(&self, table: TableId) -> Vec<usize> {
        let assigned = self.tables.iter().filter(|(_, id)| **id == table);
        assigned.map(|(class, _)| *class).collect()
    }

    /// Orders the proxy to suspend or resume a server in one of its tables, unless it is known to be in that state.
    ///
    /// A proxy retains suspensions across streams. A stale one is corrected together with the first weight if this
    /// supervisor has ever suspended the server, and otherwise once reconciliation is ordered.
    fn notify_suspension(&mut self, server: ServerId, tables: &Tables) {
        let suspended = tables.is_suspended(server);
        if self.assumed_suspension(server, tables) != Some(suspended) {
            self.notified_suspensions.insert(server, suspended);
            self.pending.set_suspended(server, suspended);
        }
    }

    /// Returns whether the proxy has a server suspended; `None` if that is unknown and needs a correction now.
    fn assumed_suspension(&self, server: ServerId, tables: &Tables) -> Option<bool> {
        if let Some(notified) = self.notified_suspensions.get(&server) {
            return Some(*notified);
        }
        let is_correction_due = self.is_reconciled || tables.was_ever_suspended(server);
        let may_be_suspended = self.has_previous_table && is_correction_due;
        if may_be_suspended || tables.has_returned(server) {
            return None;
        }
        Some(false)
    }

    /// Sets the weight of a server in a table, for all classes that use it.
    pub fn set_weight(&mut self, table: TableId, server: ServerId, weight: f64, tables: &Tables) {
        let classes = self.classes_of(table);
        for class in &classes {
            self.pending.set_weight(*class, server, weight);
        }
        if weight > 0.0 && !classes.is_empty() {
            self.notify_suspension(server, tables);
        }
    }

    /// Assigns a table for some classes.
    pub fn assign_table(&mut self, table: TableId, classes: &[usize], tables: &Tables) {
        let no_weights = BTreeMap::new();
        let weights = match tables.get(table) {
            Some(table) => &table.weights,
            None => &no_weights,
        };
        for class in classes {
            self.tables.insert(*class, table);
            let admission = tables.admission_level(Some(table), *class);
            self.pending.replace_table(*class, weights, admission);
        }
        for server in weights.keys() {
            self.notify_suspension(*server, tables);
        }
    }

    /// Clears a table for all classes that use it.
    pub fn clear_table(&mut self, table: TableId, tables: &Tables) {
        for class in self.classes_of(table) {
            let admission = tables.admission_level(None, class);
            self.pending
                .replace_table(class, &BTreeMap::new(), admission);
        }
    }

    /// Corrects the suspension of each server in the proxy's tables where it may be stale.
    pub fn reconcile(&mut self, tables: &Tables) {
        self.is_reconciled = true;
        let assigned: BTreeSet<TableId> = self.assigned_tables().collect();
        for table in assigned.into_iter().filter_map(|id| tables.get(id)) {
            for server in table.weights.keys() {
                self.notify_suspension(*server, tables);
            }
        }
    }

    /// Updates the admission level of a class after a change in `table`, or of the global level if that is `None`.
    pub fn update_admission(&mut self, table: Option<TableId>, class: usize, tables: &Tables) {
        let assigned = self.tables.get(&class).copied();
        if table.is_some() && table != assigned {
            return;
        }
        if let Some(level) = tables.admission_level(assigned, class) {
            self.pending.set_admission(class, level);
        }
    }

    /// Suspends or resumes a server, if that affects the proxy; returns whether it does.
    ///
    /// It does if the server is in one of the proxy's tables. While only some classes have a table of this supervisor,
    /// the others may still use tables of another one, so a suspension affects the proxy in any case. A proxy without
    /// any table of this supervisor gets suspensions with its first weights instead.
    pub fn set_suspended(&mut self, server: ServerId, suspended: bool, tables: &Tables) -> bool {
        let may_have_foreign_table = self.is_partly_assigned(tables);
        let is_affected =
            self.references_server(server, tables) || (suspended && may_have_foreign_table);
        if is_affected {
            self.notified_suspensions.insert(server, suspended);
            self.pending.set_suspended(server, suspended);
        }
        is_affected
    }

    fn references_server(&self, server: ServerId, tables: &Tables) -> bool {
        let mut assigned = self.tables.values().filter_map(|id| tables.get(*id));
        assigned.any(|table| table.weights.contains_key(&server))
    }

    /// Whether some classes but not all have a table of this supervisor.
    fn is_partly_assigned(&self, tables: &Tables) -> bool {
        !self.tables.is_empty() && self.tables.len() < tables.class_count()
    }

    /// Ends a batch of actions: adds the request for an acknowledgement, if it includes the proxy.
    pub fn end_batch(&mut self, request: Option<AcknowledgementRequest>) {
        let has_changed = self.pending.take_changed_in_batch();
        let Some(request) = request else {
            return;
        };
        if has_changed || request.all_proxies {
            self.pending.request_acknowledgement(request.sequence);
        }
    }

    /// Removes the state of a server that no table and no order references.
    pub fn remove_server(&mut self, server: ServerId) {
        self.notified_suspensions.remove(&server);
    }
}
