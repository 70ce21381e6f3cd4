//! The joined proxies: the stream of each, its tables by class, what it was told of withdrawn servers, and
//! what waits to be written.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use chutegrade_policy::{Action, ProxyId, ServerId, TableId};

use crate::order::Draft;
use crate::tables::Tables;
use crate::StreamId;

/// A proxy that is joined.
pub(crate) struct Joined {
    pub stream: StreamId,
    /// It holds tables from before, and withdrawals that may be another supervisor's.
    brought: bool,
    /// It was told of each server that its tables name whether it is shut out.
    reconciled: bool,
    tables: BTreeMap<usize, TableId>,
    told: BTreeMap<ServerId, bool>,
    draft: Draft,
}

impl Joined {
    fn on(&self, table: TableId) -> Vec<usize> {
        self.tables
            .iter()
            .filter(|(_, own)| **own == table)
            .map(|(class, _)| *class)
            .collect()
    }

    /// The proxy must know of a server that its tables name whether it is shut out: withdrawals stay with a proxy across
    /// streams, so what it brings is put right with the first line that names a server that left here, and of all others
    /// once that is ordered.
    fn names(&mut self, server: ServerId, all: &Tables) {
        let out = all.is_withdrawn(server);
        let unsure = self.brought && (self.reconciled || all.has_left(server));
        let unknown = unsure || all.has_returned(server);
        let known = self
            .told
            .get(&server)
            .copied()
            .or((!unknown).then_some(false));
        if known != Some(out) {
            self.told.insert(server, out);
            self.draft.withdraw(server, out);
        }
    }

    fn line(&mut self, table: TableId, server: ServerId, weight: f64, all: &Tables) {
        let classes = self.on(table);
        for class in &classes {
            self.draft.row(*class, server, weight);
        }
        if weight > 0.0 && !classes.is_empty() {
            self.names(server, all);
        }
    }

    fn bind(&mut self, table: TableId, classes: &[usize], all: &Tables) {
        let (none, held) = (BTreeMap::new(), all.get(table));
        let lines = held.map_or(&none, |table| &table.lines);
        for class in classes {
            self.tables.insert(*class, table);
            self.draft
                .replace(*class, lines, all.level(Some(table), *class));
        }
        for server in lines.keys() {
            self.names(*server, all);
        }
    }

    fn reconcile(&mut self, all: &Tables) {
        self.reconciled = true;
        let tables: BTreeSet<TableId> = self.tables.values().copied().collect();
        for server in tables
            .into_iter()
            .filter_map(|table| all.get(table))
            .flat_map(|table| table.lines.keys())
        {
            self.names(*server, all);
        }
    }

    fn clear(&mut self, table: TableId, all: &Tables) {
        for class in self.on(table) {
            self.draft
                .replace(class, &BTreeMap::new(), all.level(None, class));
        }
    }

    fn level(&mut self, table: Option<TableId>, class: usize, all: &Tables) {
        let own = self.tables.get(&class).copied();
        if table.is_some() && table != own {
            return;
        }
        if let Some(level) = all.level(own, class) {
            self.draft.gate(class, level);
        }
    }

    /// A server is shut out or let back: of no concern to a proxy whose tables do not name it, nor to one that has none of
    /// ours yet. Whether it is. What its tables name later they put right with the line itself.
    fn withdraw(&mut self, server: ServerId, out: bool, all: &Tables) -> bool {
        let named = |table: &TableId| {
            all.get(*table)
                .is_some_and(|t| t.lines.contains_key(&server))
        };
        let concerned = self.tables.values().any(named) || (out && self.bound_in_part(all));
        if concerned {
            self.told.insert(server, out);
            self.draft.withdraw(server, out);
        }
        concerned
    }

    fn bound_in_part(&self, all: &Tables) -> bool {
        !self.tables.is_empty() && self.tables.len() < all.classes()
    }
}

/// All joined proxies.
#[derive(Default)]
pub(crate) struct Streams {
    proxies: BTreeMap<ProxyId, Joined>,
    by_stream: HashMap<StreamId, ProxyId>,
    /// Proxies that use a table: most orders concern one table, and few of many proxies use it.
    by_table: BTreeMap<TableId, BTreeSet<ProxyId>>,
    /// Proxies that this turn's orders concern.
    touched: BTreeSet<ProxyId>,
    reached: BTreeSet<StreamId>,
}

impl Streams {
    pub fn join(&mut self, proxy: ProxyId, stream: StreamId, brought: bool) {
        self.by_stream.insert(stream, proxy);
        let joined = Joined {
            stream,
            brought,
            reconciled: false,
            tables: BTreeMap::new(),
            told: BTreeMap::new(),
            draft: Draft::default(),
        };
        if let Some(old) = self.proxies.insert(proxy, joined) {
            self.by_stream.remove(&old.stream);
            self.reached.remove(&old.stream);
            self.unbind(proxy, &old);
        }
    }

    fn unbind(&mut self, proxy: ProxyId, joined: &Joined) {
        for table in joined.tables.values() {
            if let Some(users) = self.by_table.get_mut(table) {
                users.remove(&proxy);
            }
        }
    }

    /// The proxy whose stream this is, if no newer one has taken its place.
    pub fn proxy(&self, stream: StreamId) -> Option<ProxyId> {
        self.by_stream.get(&stream).copied()
    }

    /// The stream on which a proxy is joined.
    pub fn of(&self, proxy: ProxyId) -> Option<StreamId> {
        self.proxies.get(&proxy).map(|joined| joined.stream)
    }

    pub fn leave(&mut self, stream: StreamId) -> Option<ProxyId> {
        let proxy = self.by_stream.remove(&stream)?;
        self.reached.remove(&stream);
        if let Some(joined) = self.proxies.remove(&proxy) {
            self.unbind(proxy, &joined);
        }
        Some(proxy)
    }

    /// Carries one action to the streams it concerns; the tables hold it already. Tells how many a withdrawal concerns.
    pub fn apply(&mut self, action: &Action, all: &Tables) -> u32 {
        match action {
            Action::SetWeight {
                table,
                server,
                weight,
            } => {
                self.users(*table, |joined| joined.line(*table, *server, *weight, all));
            }
            Action::ClearTable(table) => self.users(*table, |joined| joined.clear(*table, all)),
            Action::AssignTable {
                proxy,
                table,
                classes,
            } => {
                self.bind(*proxy, *table, &all.positions(*classes), all);
            }
            Action::Reconcile(proxy) => {
                if let Some(joined) = self.proxies.get_mut(proxy) {
                    joined.reconcile(all);
                    self.touched.insert(*proxy);
                }
            }
            Action::SetSuspended {
                server,
                suspended: out,
            } => return self.withdraw(*server, *out, all),
            Action::SetAdmission { table, classes, .. } => {
                for class in all.positions(*classes) {
                    match table {
                        Some(of) => self.users(*of, |joined| joined.level(*table, class, all)),
                        None => self.each(|joined| joined.level(None, class, all)),
                    }
                }
            }
            _ => {}
        }
        0
    }

    fn bind(&mut self, proxy: ProxyId, table: TableId, classes: &[usize], all: &Tables) {
        let Some(joined) = self.proxies.get_mut(&proxy) else {
            return;
        };
        let before: Vec<TableId> = classes
            .iter()
            .filter_map(|class| joined.tables.get(class).copied())
            .collect();
        joined.bind(table, classes, all);
        for old in before.iter().filter(|old| joined.on(**old).is_empty()) {
            if let Some(users) = self.by_table.get_mut(old) {
                users.remove(&proxy);
            }
        }
        self.by_table.entry(table).or_default().insert(proxy);
        self.touched.insert(proxy);
    }

    fn withdraw(&mut self, server: ServerId, out: bool, all: &Tables) -> u32 {
        let mut concerned = 0;
        for (proxy, joined) in &mut self.proxies {
            if joined.withdraw(server, out, all) {
                self.touched.insert(*proxy);
                concerned += 1;
            }
        }
        concerned
    }

    /// Whether anything that waits to be written names the server.
    pub fn mention(&self, server: ServerId) -> bool {
        self.proxies
            .values()
            .any(|joined| joined.draft.mentions(server))
    }

    pub fn forget(&mut self, server: ServerId) {
        self.proxies.values_mut().for_each(|joined| {
            joined.told.remove(&server);
        });
    }

    /// How many streams have something to write.
    pub fn reached(&self) -> usize {
        self.reached.len()
    }

    fn each(&mut self, apply: impl FnMut(&mut Joined)) {
        self.touched.extend(self.proxies.keys());
        self.proxies.values_mut().for_each(apply);
    }

    fn users(&mut self, table: TableId, mut apply: impl FnMut(&mut Joined)) {
        let Some(users) = self.by_table.get(&table) else {
            return;
        };
        self.touched.extend(users);
        for proxy in users {
            if let Some(joined) = self.proxies.get_mut(proxy) {
                apply(joined);
            }
        }
    }

    /// Ends a turn: the proxies it reached, or all, get its mark, and their streams something to write.
    pub fn end_turn(&mut self, mark: Option<(u16, bool)>) {
        let mut concerned = std::mem::take(&mut self.touched);
        if mark.is_some_and(|(_, everyone)| everyone) {
            concerned.extend(self.proxies.keys());
        }
        for proxy in concerned {
            let Some(joined) = self.proxies.get_mut(&proxy) else {
                continue;
            };
            let touched = joined.draft.take_touched();
            if let Some((mark, _)) = mark.filter(|(_, everyone)| touched || *everyone) {
                joined.draft.stamp(mark);
            }
            if !joined.draft.is_empty() {
                self.reached.insert(joined.stream);
            }
        }
    }

    /// Streams with something to write since this was last asked.
    pub fn take_reached(&mut self) -> BTreeSet<StreamId> {
        std::mem::take(&mut self.reached)
    }

    pub fn take_draft(&mut self, stream: StreamId) -> Option<Draft> {
        let proxy = self.by_stream.get(&stream)?;
        let draft = std::mem::take(&mut self.proxies.get_mut(proxy)?.draft);
        (!draft.is_empty()).then_some(draft)
    }
}
