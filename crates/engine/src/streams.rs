//! The joined proxies with their streams and pending orders.

mod joined_proxy;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use chutegrade_policy::{ProxyId, ServerId, TableId};

use crate::pending_order::PendingOrder;
use crate::tables::Tables;
use joined_proxy::JoinedProxy;

/// Id of a stream of a proxy, assigned by the caller that accepts the stream and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// A request for acknowledgements at the end of a batch of actions.
#[derive(Clone, Copy)]
pub(crate) struct AcknowledgementRequest {
    /// The sequence number that the acknowledgements must contain.
    pub sequence: u16,
    /// Whether all joined proxies are included, rather than only those whose orders the batch changed.
    pub all_proxies: bool,
}

/// All joined proxies.
#[derive(Default)]
pub(crate) struct Streams {
    proxies: BTreeMap<ProxyId, JoinedProxy>,
    by_stream: HashMap<StreamId, ProxyId>,
    /// Proxies by table: most changes are to one table, which only a few of the proxies use.
    by_table: BTreeMap<TableId, BTreeSet<ProxyId>>,
    /// Proxies whose orders the current batch of actions may have changed.
    changed_in_batch: BTreeSet<ProxyId>,
    /// Streams with a new order to write, until they are taken.
    streams_with_orders: BTreeSet<StreamId>,
}

impl Streams {
    /// Joins a proxy on a stream, which replaces any older stream of that proxy.
    pub fn join(&mut self, proxy: ProxyId, stream: StreamId, has_previous_table: bool) {
        self.by_stream.insert(stream, proxy);
        let joined = JoinedProxy::new(stream, has_previous_table);
        if let Some(previous) = self.proxies.insert(proxy, joined) {
            self.by_stream.remove(&previous.stream);
            self.streams_with_orders.remove(&previous.stream);
            self.unassign_tables(proxy, &previous);
        }
    }

    /// Removes a stream; returns its proxy, or `None` if the stream was replaced or has ended.
    pub fn leave(&mut self, stream: StreamId) -> Option<ProxyId> {
        let proxy = self.by_stream.remove(&stream)?;
        self.streams_with_orders.remove(&stream);
        if let Some(joined) = self.proxies.remove(&proxy) {
            self.unassign_tables(proxy, &joined);
        }
        Some(proxy)
    }

    fn unassign_tables(&mut self, proxy: ProxyId, joined: &JoinedProxy) {
        for table in joined.assigned_tables() {
            if let Some(users) = self.by_table.get_mut(&table) {
                users.remove(&proxy);
            }
        }
    }

    /// Returns the proxy of a stream; `None` if the stream was replaced or has ended.
    pub fn proxy(&self, stream: StreamId) -> Option<ProxyId> {
        self.by_stream.get(&stream).copied()
    }

    /// Returns the current stream of a proxy; `None` if it has no open stream.
    pub fn stream_of(&self, proxy: ProxyId) -> Option<StreamId> {
        self.proxies.get(&proxy).map(|joined| joined.stream)
    }

    /// Sets the weight of a server at all proxies that use a table. `tables` already has the new weight.
    pub fn set_weight(&mut self, table: TableId, server: ServerId, weight: f64, tables: &Tables) {
        self.for_each_user_of(table, |joined| {
            joined.set_weight(table, server, weight, tables);
        });
    }

    /// Clears a table at all proxies that use it.
    pub fn clear_table(&mut self, table: TableId, tables: &Tables) {
        self.for_each_user_of(table, |joined| joined.clear_table(table, tables));
    }

    /// Assigns a table to a proxy for some classes.
    pub fn assign_table(
        &mut self,
        proxy: ProxyId,
        table: TableId,
        classes: &[usize],
        tables: &Tables,
    ) {
        let Some(joined) = self.proxies.get_mut(&proxy) else {
            return;
        };
        let previous = joined.tables_of(classes);
        joined.assign_table(table, classes, tables);
        for unused in previous.iter().filter(|table| !joined.uses(**table)) {
            if let Some(users) = self.by_table.get_mut(unused) {
                users.remove(&proxy);
            }
        }
        self.by_table.entry(table).or_default().insert(proxy);
        self.changed_in_batch.insert(proxy);
    }

    /// Corrects the suspension of each server in a proxy's tables where it may be stale.
    pub fn reconcile(&mut self, proxy: ProxyId, tables: &Tables) {
        if let Some(joined) = self.proxies.get_mut(&proxy) {
            joined.reconcile(tables);
            self.changed_in_batch.insert(proxy);
        }
    }

    /// Sends a proxy a message at the end of the batch, whether or not anything changed.
    pub fn require_message(&mut self, proxy: ProxyId) {
        if let Some(joined) = self.proxies.get_mut(&proxy) {
            joined.pending.require_message();
            self.changed_in_batch.insert(proxy);
        }
    }

    /// Updates the admission level of some classes at the users of `table`, or at all proxies if that is `None`.
    pub fn set_admission(&mut self, table: Option<TableId>, classes: &[usize], tables: &Tables) {
        for class in classes {
            match table {
                Some(id) => self.for_each_user_of(id, |joined| {
                    joined.update_admission(table, *class, tables);
                }),
                None => self.for_each_proxy(|joined| joined.update_admission(None, *class, tables)),
            }
        }
    }

    /// Suspends or resumes a server at the affected proxies; returns their number.
    pub fn set_suspended(&mut self, server: ServerId, suspended: bool, tables: &Tables) -> u32 {
        let mut affected = 0;
        for (proxy, joined) in &mut self.proxies {
            if joined.set_suspended(server, suspended, tables) {
                self.changed_in_batch.insert(*proxy);
                affected += 1;
            }
        }
        affected
    }

    /// Whether any pending order references a server.
    pub fn references_server(&self, server: ServerId) -> bool {
        let mut proxies = self.proxies.values();
        proxies.any(|joined| joined.pending.references_server(server))
    }

    /// Removes the state of a server that no order references.
    pub fn remove_server(&mut self, server: ServerId) {
        for joined in self.proxies.values_mut() {
            joined.remove_server(server);
        }
    }

    fn for_each_proxy(&mut self, apply: impl FnMut(&mut JoinedProxy)) {
        self.changed_in_batch.extend(self.proxies.keys());
        self.proxies.values_mut().for_each(apply);
    }

    fn for_each_user_of(&mut self, table: TableId, mut apply: impl FnMut(&mut JoinedProxy)) {
        let Some(users) = self.by_table.get(&table) else {
            return;
        };
        self.changed_in_batch.extend(users);
        for proxy in users {
            if let Some(joined) = self.proxies.get_mut(proxy) {
                apply(joined);
            }
        }
    }

    /// Ends a batch of actions: requests acknowledgements, and marks the streams that have an order to write.
    pub fn end_batch(&mut self, request: Option<AcknowledgementRequest>) {
        let mut affected = std::mem::take(&mut self.changed_in_batch);
        if request.is_some_and(|request| request.all_proxies) {
            affected.extend(self.proxies.keys());
        }
        for proxy in affected {
            let Some(joined) = self.proxies.get_mut(&proxy) else {
                continue;
            };
            joined.end_batch(request);
            if !joined.pending.is_empty() {
                self.streams_with_orders.insert(joined.stream);
            }
        }
    }

    /// Returns the number of streams with a new order to write that were not taken yet.
    pub fn streams_with_orders_count(&self) -> usize {
        self.streams_with_orders.len()
    }

    /// Returns the streams with a new order to write since the last call.
    pub fn take_streams_with_orders(&mut self) -> BTreeSet<StreamId> {
        std::mem::take(&mut self.streams_with_orders)
    }

    /// Returns the pending order of a stream, if there is one, and starts a new one.
    pub fn take_pending_order(&mut self, stream: StreamId) -> Option<PendingOrder> {
        let proxy = self.by_stream.get(&stream)?;
        let joined = self.proxies.get_mut(proxy)?;
        let pending = std::mem::take(&mut joined.pending);
        (!pending.is_empty()).then_some(pending)
    }
}
