//! A proxy that applies its orders has the tables, admission levels and suspensions that the actions set.

use super::*;

/// Maximum number of updates that the protocol allows in one message.
const MAX_UPDATES: usize = 64;

/// Open streams by proxy.
type OpenStreams = BTreeMap<u32, u64>;

/// The expected state of the proxies after the actions executed so far.
#[derive(Clone, Default)]
struct ExpectedState {
    weights: BTreeMap<TableId, BTreeMap<String, f64>>,
    table_levels: BTreeMap<(TableId, usize), AdmissionLevel>,
    global_levels: BTreeMap<usize, AdmissionLevel>,
    suspended: BTreeSet<String>,
    /// Tables by proxy and class.
    assigned: BTreeMap<(u32, usize), TableId>,
    /// By proxy, the servers that were suspended while only some of its classes had a table of this supervisor. Its
    /// other tables are unknown here and may reference the server, so the suspension must be sent at once.
    ///
    /// A proxy without any table of this supervisor gets suspensions with its first tables instead: the many proxies
    /// that join during a rollout would otherwise fill the channel with suspensions that these tables make redundant.
    suspended_in_unknown_tables: BTreeMap<u32, BTreeSet<String>>,
}

impl ExpectedState {
    fn apply(&mut self, action: &Action, joined: &OpenStreams) {
        match action {
            Action::SetWeight {
                table,
                server,
                weight,
            } => self.set_weight(*table, *server, *weight),
            Action::ClearTable(table) => self.clear_table(*table),
            Action::SetSuspended { server, suspended } => {
                self.set_suspended(&format!("s{}", server.0), *suspended, joined);
            }
            Action::SetAdmission {
                table,
                classes,
                level,
                retry,
            } => {
                let level = AdmissionLevel {
                    level: *level,
                    retry: *retry,
                };
                self.set_admission(*table, *classes, level);
            }
            Action::AssignTable {
                proxy,
                table,
                classes,
            } if joined.contains_key(&proxy.0) => {
                for class in positions(*classes) {
                    self.assigned.insert((proxy.0, class), *table);
                }
            }
            _ => {}
        }
    }

    fn set_weight(&mut self, table: TableId, server: ServerId, weight: f64) {
        let weights = self.weights.entry(table).or_default();
        weights.insert(format!("s{}", server.0), weight);
        weights.retain(|_, weight| *weight > 0.0);
    }

    fn clear_table(&mut self, table: TableId) {
        self.weights.remove(&table);
        self.table_levels.retain(|(of, _), _| *of != table);
    }

    fn set_suspended(&mut self, name: &str, suspended: bool, joined: &OpenStreams) {
        for names in self.suspended_in_unknown_tables.values_mut() {
            names.remove(name);
        }
        if !suspended {
            self.suspended.remove(name);
            return;
        }
        for proxy in joined.keys() {
            if (1..CLASSES).contains(&self.assigned_count(*proxy)) {
                let names = self.suspended_in_unknown_tables.entry(*proxy).or_default();
                names.insert(name.to_string());
            }
        }
        self.suspended.insert(name.to_string());
    }

    /// Number of classes for which a proxy has a table.
    fn assigned_count(&self, proxy: u32) -> usize {
        let classes = 0..CLASSES;
        classes
            .filter(|class| self.assigned.contains_key(&(proxy, *class)))
            .count()
    }

    fn set_admission(&mut self, table: Option<TableId>, classes: ClassSet, level: AdmissionLevel) {
        for class in positions(classes) {
            match table {
                Some(table) => self.table_levels.insert((table, class), level),
                None => self.global_levels.insert(class, level),
            };
        }
    }

    /// Removes the tables of a proxy that joined or left.
    fn remove_assignments(&mut self, proxy: u32) {
        self.assigned.retain(|(of, _), _| *of != proxy);
    }

    /// Returns the weights of the servers that a user of a table may select.
    fn eligible(&self, table: TableId) -> BTreeMap<String, f64> {
        let weights = self.weights.get(&table).cloned().unwrap_or_default();
        weights
            .into_iter()
            .filter(|(name, _)| !self.suspended.contains(name))
            .collect()
    }

    fn admission_level(&self, table: TableId, class: usize) -> Option<AdmissionLevel> {
        let table_level = self.table_levels.get(&(table, class)).copied();
        let global_level = self.global_levels.get(&class).copied();
        match (table_level, global_level) {
            (Some(table_level), Some(global_level)) => Some(AdmissionLevel {
                level: table_level.level.min(global_level.level),
                retry: table_level.retry,
            }),
            (table_level, global_level) => table_level.or(global_level),
        }
    }
}

/// Returns the positions of a set of classes; the empty set means all classes.
fn positions(classes: ClassSet) -> impl Iterator<Item = usize> {
    (0..CLASSES).filter(move |class| classes == ClassSet::default() || classes.has(*class))
}

#[derive(Clone, Debug)]
enum Step {
    /// The engine executes a batch of actions.
    Execute(Vec<Action>),
    /// A proxy opens a stream, either without tables or with servers that another supervisor suspended.
    Join {
        proxy: u32,
        has_no_table: bool,
        suspended: BTreeSet<u32>,
    },
    /// The stream of a proxy ends.
    Leave(u32),
    /// The pending order of a proxy is written.
    Write(u32),
}

fn action() -> impl Strategy<Value = Action> {
    let table = || (0..3u16).prop_map(TableId);
    let server = || (0..6u32).prop_map(ServerId);
    let classes = || (0..8u32).prop_map(ClassSet);
    let level = || prop_oneof![Just(0.0), Just(0.5), Just(1.0)];
    let retry = || prop_oneof![Just(Retry::Never), Just(Retry::IfNotExecuted)];
    prop_oneof![
        6 => (table(), server(), prop_oneof![Just(0.0), Just(1.0), Just(2.5)])
            .prop_map(|(table, server, weight)| Action::SetWeight { table, server, weight }),
        1 => table().prop_map(Action::ClearTable),
        4 => ((0..3u32).prop_map(ProxyId), table(), classes())
            .prop_map(|(proxy, table, classes)| Action::AssignTable { proxy, table, classes }),
        3 => (server(), any::<bool>())
            .prop_map(|(server, suspended)| Action::SetSuspended { server, suspended }),
        2 => (0..3u32).prop_map(|proxy| Action::Reconcile(ProxyId(proxy))),
        2 => (proptest::option::of(table()), classes(), level(), retry())
            .prop_map(|(table, classes, level, retry)| Action::SetAdmission { table, classes, level, retry }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => proptest::collection::vec(action(), 1..5).prop_map(Step::Execute),
        2 => (0..3u32, any::<bool>(), proptest::collection::btree_set(0..6u32, 0..3))
            .prop_map(|(proxy, has_no_table, suspended)| Step::Join { proxy, has_no_table, suspended }),
        1 => (0..3u32).prop_map(Step::Leave),
        4 => (0..3u32).prop_map(Step::Write),
    ]
}

/// An engine, the state of its proxies after the orders written to them, and the expected state.
struct Comparison {
    engine: Engine,
    expected: ExpectedState,
    proxies: BTreeMap<u32, ProxyState>,
    joined: OpenStreams,
    /// Proxies that may have suspensions of another supervisor and were not reconciled yet.
    unreconciled: BTreeSet<u32>,
    /// The sequence number that each proxy must have received.
    expected_sequence: BTreeMap<u32, u16>,
    last_stream: u64,
    last_sequence: u16,
}

impl Comparison {
    fn new() -> Self {
        let mut engine = engine(CLASSES);
        let endpoints = (0..6).map(listed_endpoint).collect();
        report_endpoints(&mut engine, EndpointUpdateKind::CachedSnapshot, endpoints);
        Comparison {
            engine,
            expected: ExpectedState::default(),
            proxies: BTreeMap::new(),
            joined: BTreeMap::new(),
            unreconciled: BTreeSet::new(),
            expected_sequence: BTreeMap::new(),
            last_stream: 0,
            last_sequence: 0,
        }
    }

    fn run(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Execute(actions) => self.execute_actions(actions),
            Step::Join {
                proxy,
                has_no_table,
                suspended,
            } => self.join(proxy, has_no_table, &suspended)?,
            Step::Leave(proxy) => self.leave(proxy)?,
            Step::Write(proxy) => self.write(proxy)?,
        }
        Ok(())
    }

    fn execute_actions(&mut self, mut actions: Vec<Action>) {
        self.last_sequence += 1;
        actions.push(Action::RequestAcknowledgement {
            sequence: self.last_sequence,
            all_proxies: true,
        });
        for action in &actions {
            self.expected.apply(action, &self.joined);
            if let Action::Reconcile(proxy) = action {
                self.unreconciled.remove(&proxy.0);
            }
        }
        for proxy in self.joined.keys() {
            self.expected_sequence.insert(*proxy, self.last_sequence);
        }
        self.engine.execute_actions(Micros(0), actions);
    }

    fn join(
        &mut self,
        proxy: u32,
        has_no_table: bool,
        suspended: &BTreeSet<u32>,
    ) -> Result<(), TestCaseError> {
        self.last_stream += 1;
        let report = stream_opened(self.last_stream, proxy, has_no_table);
        prop_assert_eq!(self.engine.report(report), Ok(()));
        self.joined.insert(proxy, self.last_stream);
        self.expected.remove_assignments(proxy);
        self.expected.suspended_in_unknown_tables.remove(&proxy);
        self.expected_sequence.remove(&proxy);
        let state = self.proxies.entry(proxy).or_default();
        if has_no_table {
            *state = ProxyState::default();
            self.unreconciled.remove(&proxy);
        } else {
            self.unreconciled.insert(proxy);
            let names = suspended.iter().map(|server| format!("s{server}"));
            state.suspended.extend(names);
        }
        Ok(())
    }

    fn leave(&mut self, proxy: u32) -> Result<(), TestCaseError> {
        let Some(stream) = self.joined.remove(&proxy) else {
            return Ok(());
        };
        let report = Report::StreamLost(StreamId(stream));
        prop_assert_eq!(self.engine.report(report), Ok(()));
        self.expected.remove_assignments(proxy);
        self.expected_sequence.remove(&proxy);
        Ok(())
    }

    fn write(&mut self, proxy: u32) -> Result<(), TestCaseError> {
        let Some(stream) = self.joined.get(&proxy) else {
            return Ok(());
        };
        let stream = StreamId(*stream);
        let state = self.proxies.entry(proxy).or_default();
        if let Some(order) = self.engine.take_order(stream) {
            prop_assert!(order.updates.len() <= MAX_UPDATES);
            state.apply(&order, CLASSES);
        }
        prop_assert_eq!(self.engine.take_order(stream), None);
        self.check(proxy)
    }

    /// Compares the state of a proxy without a pending order with the expected state.
    fn check(&self, proxy: u32) -> Result<(), TestCaseError> {
        let state = &self.proxies[&proxy];
        if let Some(sequence) = self.expected_sequence.get(&proxy) {
            prop_assert_eq!(state.last_sequence, Some(*sequence));
        }
        let suspended = self.expected.suspended_in_unknown_tables.get(&proxy);
        for name in suspended.into_iter().flatten() {
            prop_assert!(
                state.suspended.contains(name),
                "{name} is suspended, and tables of another supervisor may reference it"
            );
        }
        for class in 0..CLASSES {
            if let Some(table) = self.expected.assigned.get(&(proxy, class)) {
                self.check_class(proxy, class, *table)?;
            }
        }
        Ok(())
    }

    fn check_class(&self, proxy: u32, class: usize, table: TableId) -> Result<(), TestCaseError> {
        let state = &self.proxies[&proxy];
        let actual = state.eligible(class);
        let expected = self.expected.eligible(table);
        let is_subset = actual
            .iter()
            .all(|(name, weight)| expected.get(name) == Some(weight));
        let may_lack_servers = self.unreconciled.contains(&proxy);
        prop_assert!(
            is_subset && (actual == expected || may_lack_servers),
            "{actual:?}, {expected:?}"
        );
        let level = state.admission_levels.get(&class).copied();
        prop_assert_eq!(level, self.expected.admission_level(table, class));
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Covers any sequence of actions, orders that were merged while a stream could not be written, and proxies with
    /// tables and suspensions of another supervisor.
    #[test]
    fn applied_orders_match_the_executed_actions(steps in proptest::collection::vec(step(), 1..40)) {
        let mut comparison = Comparison::new();
        for step in steps {
            comparison.run(step)?;
        }
    }
}
