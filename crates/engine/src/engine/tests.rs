//! The facade alone: what reports become, and that orders applied by a proxy leave it with what the actions say.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use chutegrade_policy::{
    Action, AdmissionLevel, AdmissionUnit, Class, ClassSet, DecisionEvent, EndpointUpdateKind,
    Event, HealthChangeCause, HealthCheckOutcome, HealthState, Idempotency, Lifecycle, LoadReport,
    Micros, ProxyId, Retry, ServerId, Settings, TableId, ZoneId,
};
use chutegrade_records::Kind;
use proptest::prelude::*;

use super::report_handling::MAX_QUEUED_EVENTS;
use super::*;
use crate::endpoint::NamedEndpoint;
use crate::report::Report;

const CLASSES: usize = 3;

fn settings(classes: usize) -> Settings {
    let class = Class {
        latency_objective: Micros(600_000),
        deadline: Micros(2_000_000),
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        zone_local: false,
    };
    Settings {
        instances: 2,
        zones: 2,
        classes: vec![class; classes],
        proxies: 4,
        admission_unit: AdmissionUnit::Share,
        health_checks_allowed: true,
        channel_backlog: 5000.0,
        channel_lines_per_second: 4000.0,
        message_overhead: 3.0,
        max_delivery_delay: Micros(600_000),
        report_period: Micros(1_000_000),
        slow_start_period: Micros(10_000_000),
        slow_start_share: 0.3,
        overload_multiple: 3.0,
        ..Settings::default()
    }
}

fn engine(classes: usize) -> Engine {
    let names = |of: &str, n: usize| (0..n).map(|k| format!("{of}{k}")).collect::<Vec<_>>();
    Engine::new(
        settings(classes),
        7,
        DeploymentNames {
            zones: names("z", 2),
            classes: names("c", classes),
            machine_kinds: names("k", 2),
        },
    )
}

fn listed(server: u32) -> NamedEndpoint {
    NamedEndpoint {
        name: format!("s{server}"),
        address: format!("127.0.0.1:{}", 1000 + server),
        zone: format!("z{}", server % 2),
        machine_kind: "k0".into(),
        weight: 4.0,
        ..NamedEndpoint::default()
    }
}

fn joined(stream: u64, proxy: u32, new: bool) -> Report {
    Report::StreamOpened {
        stream: StreamId(stream),
        proxy,
        zone: "z0".into(),
        request_rate: 10.0,
        has_no_table: new,
    }
}

fn serving() -> Engine {
    let mut engine = engine(CLASSES);
    assert_eq!(
        engine.report(Report::EndpointList(
            EndpointUpdateKind::CachedSnapshot,
            (0..4).map(listed).collect()
        )),
        Ok(())
    );
    engine.tick(Micros(0));
    engine
}

#[test]
fn a_joined_proxy_gets_its_whole_table_in_one_message_with_a_mark() {
    let mut engine = serving();
    assert_eq!(engine.report(joined(1, 0, true)), Ok(()));
    engine.tick(Micros(10_000));
    assert_eq!(
        engine.take_streams_with_orders(),
        BTreeSet::from([StreamId(1)])
    );
    let order = engine.take_order(StreamId(1)).expect("an order");
    let whole = order
        .updates
        .iter()
        .find(|part| part.replace)
        .expect("a whole table");
    assert!(whole.classes.is_empty(), "one table serves all classes");
    assert_eq!(whole.weights.len(), 4);
    assert!(whole.weights.iter().all(|entry| entry.weight > 0.0));
    assert!(order.acknowledge.is_some());
    assert!(
        order.suspended.is_empty() && order.resumed.is_empty(),
        "a new proxy holds nobody's withdrawals"
    );
    assert_eq!(engine.take_order(StreamId(1)), None);
}

#[test]
fn a_proxy_that_brings_tables_gets_back_what_is_not_shut_out_here() {
    let mut engine = serving();
    let names = |list: &[Rc<str>]| list.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    let shut = |out| Action::SetSuspended {
        server: ServerId(3),
        suspended: out,
    };
    engine.carry_out(Micros(0), vec![shut(true), shut(false)]);
    assert_eq!(engine.report(joined(1, 0, false)), Ok(()));
    engine.tick(Micros(10_000));
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert_eq!(
        names(&order.resumed),
        ["s3"],
        "of the others nobody here knows that they ever left"
    );
    let (stream, mark, took) = (
        StreamId(1),
        order.acknowledge.expect("a mark"),
        Micros(1000),
    );
    assert_eq!(
        engine.report(Report::Acknowledged {
            stream,
            sequence: mark,
            elapsed: took
        }),
        Ok(())
    );
    engine.tick(
        engine
            .timers
            .first()
            .expect("the module's own timer")
            .due_at,
    );
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert_eq!(
        names(&order.resumed),
        ["s0", "s1", "s2"],
        "the rest once the channel has room"
    );
    let drains = NamedEndpoint {
        lifecycle: Lifecycle::Draining,
        ..listed(2)
    };
    assert_eq!(
        engine.report(Report::EndpointList(
            EndpointUpdateKind::Delta,
            vec![drains]
        )),
        Ok(())
    );
    engine.tick(Micros(900_000));
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert_eq!(names(&order.suspended), ["s2"]);
    assert!(order.resumed.is_empty());
}

#[test]
fn timers_probes_and_addresses_go_round() {
    let mut engine = serving();
    let next = engine.tick(Micros(1)).expect("the module's own timer");
    assert!(next > Micros(1));
    assert_eq!(engine.take_health_check(), None, "nobody is joined");
    assert_eq!(engine.report(joined(1, 0, true)), Ok(()));
    engine.tick(Micros(10_000));
    let probe = engine.take_health_check().expect("a probe");
    assert_eq!(probe.address, "127.0.0.1:1000");
    let result = Report::HealthChecked {
        check: probe,
        outcome: HealthCheckOutcome::Passed,
        elapsed: Micros(3000),
        load: LoadReport::default(),
    };
    assert_eq!(engine.report(result), Ok(()));
    assert!(!engine.events.is_empty());
    let moved = NamedEndpoint {
        address: "127.0.0.1:9".into(),
        ..listed(1)
    };
    assert_eq!(
        engine.report(Report::EndpointList(EndpointUpdateKind::Delta, vec![moved])),
        Ok(())
    );
    engine.tick(next);
    assert!(engine.events.is_empty());
    assert!(engine.tick(next) > Some(next));
    let probes = std::iter::from_fn(|| engine.take_health_check());
    assert!(probes
        .map(|probe| probe.address)
        .any(|address| address == "127.0.0.1:9"));
}

#[test]
fn the_decisions_begin_without_a_list_too() {
    let mut engine = engine(CLASSES);
    assert!(engine.tick(Micros(0)).is_some());
    assert!(engine.take_subscription().watch);
}

#[test]
fn what_is_not_known_is_dropped() {
    let mut engine = serving();
    let outcomes = |zone: &str, server: &str| Report::ServerOutcomes {
        zone: zone.into(),
        server: server.into(),
        attempts: 1.0,
        failed: 0.0,
        mean_latency_ms: 1.0,
        period: Micros(1),
        load: LoadReport::default(),
    };
    let demand = |proxy, class: &str| Report::ProxyDemand {
        proxy,
        class: class.into(),
        arrivals: 1.0,
        failed: 0.0,
        period: Micros(1_000_000),
    };
    assert_eq!(
        engine.report(outcomes("z0", "nobody")),
        Err(ReportError::UnknownServer("nobody".into()))
    );
    assert_eq!(
        engine.report(outcomes("z9", "s0")),
        Err(ReportError::UnknownZone("z9".into()))
    );
    assert_eq!(
        engine.report(joined(1, 4, true)),
        Err(ReportError::UnknownProxy(4))
    );
    assert_eq!(
        engine.report(demand(0, "c0")),
        Err(ReportError::UnknownProxy(0))
    );
    assert_eq!(
        engine.report(demand(0, "c7")),
        Err(ReportError::UnknownClass("c7".into()))
    );
    assert_eq!(
        engine.report(Report::StreamLost(StreamId(5))),
        Err(ReportError::StreamReplaced)
    );
    assert!(engine.events.is_empty());
    assert_eq!(engine.report(joined(1, 0, true)), Ok(()));
    assert_eq!(engine.report(demand(0, "c0")), Ok(()));
    assert_eq!(engine.report(outcomes("z0", "s0")), Ok(()));
}

#[test]
fn a_flood_of_reports_is_bounded_and_keeps_out_nothing_else() {
    let mut engine = serving();
    assert_eq!(engine.report(joined(1, 0, true)), Ok(()));
    let demand = Report::ProxyDemand {
        proxy: 0,
        class: "c0".into(),
        arrivals: 1.0,
        failed: 0.0,
        period: Micros(1_000_000),
    };
    let taken = (0..2 * MAX_QUEUED_EVENTS)
        .filter(|_| engine.report(demand.clone()).is_ok())
        .count();
    assert!(taken < MAX_QUEUED_EVENTS);
    assert_eq!(engine.report(demand.clone()), Err(ReportError::QueueFull));
    assert_eq!(engine.report(joined(2, 1, true)), Ok(()));
    engine.tick(Micros(10_000));
    assert!(engine.take_order(StreamId(2)).is_some());
    assert_eq!(engine.report(demand), Ok(()));
}

/// Danger: where the list comes on request, a lost subscription that still counts as held is never renewed.
#[test]
fn a_lost_subscription_is_asked_for_anew() {
    let mut engine = Engine::new(
        Settings {
            endpoints_on_request: true,
            ..settings(1)
        },
        7,
        DeploymentNames {
            zones: vec!["z0".into()],
            classes: vec!["c0".into()],
            machine_kinds: vec![],
        },
    );
    assert!(!engine.take_subscription().watch);
    let mut next = engine.tick(Micros(0)).expect("a timer");
    assert!(engine.take_subscription().watch);
    assert_eq!(
        engine.report(Report::EndpointList(
            EndpointUpdateKind::Unavailable,
            vec![]
        )),
        Ok(())
    );
    engine.tick(Micros(10));
    assert!(!engine.take_subscription().watch);
    for _ in 0..6 {
        next = engine.tick(next).expect("a timer");
    }
    assert!(engine.take_subscription().watch);
}

/// A zone that only the list names is no zone of proxies, though servers may stand there.
#[test]
fn a_zone_of_the_list_alone_brings_no_reports() {
    let mut engine = serving();
    let far = NamedEndpoint {
        zone: "moon".into(),
        ..listed(9)
    };
    assert_eq!(
        engine.report(Report::EndpointList(EndpointUpdateKind::Delta, vec![far])),
        Ok(())
    );
    let hello = Report::StreamOpened {
        stream: StreamId(1),
        proxy: 0,
        zone: "moon".into(),
        request_rate: 1.0,
        has_no_table: true,
    };
    assert_eq!(
        engine.report(hello),
        Err(ReportError::UnknownZone("moon".into()))
    );
}

#[test]
fn the_late_end_of_a_replaced_stream_changes_nothing() {
    let mut engine = serving();
    assert_eq!(engine.report(joined(1, 0, true)), Ok(()));
    engine.tick(Micros(10_000));
    assert_eq!(engine.report(joined(2, 0, false)), Ok(()));
    engine.tick(Micros(20_000));
    let ack = Report::Acknowledged {
        stream: StreamId(1),
        sequence: 1,
        elapsed: Micros(1),
    };
    assert_eq!(engine.report(ack), Err(ReportError::StreamReplaced));
    assert_eq!(
        engine.report(Report::StreamLost(StreamId(1))),
        Err(ReportError::StreamReplaced)
    );
    assert_eq!(engine.take_order(StreamId(1)), None);
    assert!(engine
        .take_order(StreamId(2))
        .expect("bound anew")
        .updates
        .iter()
        .any(|part| part.replace));
}

#[test]
fn notes_name_servers_and_only_those_for_the_log_are_made_while_nobody_records() {
    let mut engine = serving();
    let state = DecisionEvent::HealthChanged {
        server: ServerId(2),
        zone: ZoneId(0),
        state: HealthState::Withdrawn,
        score: 0.1,
        errors: 0.0,
        latency: 1.0,
        cause: HealthChangeCause::Errors,
    };
    let line = Action::SetWeight {
        table: TableId(0),
        server: ServerId(1),
        weight: 1.0,
    };
    while engine.take_log_event(Micros(0)).is_some() {}
    engine.carry_out(Micros(7), vec![Action::Emit(state.clone()), line.clone()]);
    let noted = engine.take_log_event(Micros(8)).expect("a note");
    assert_eq!((noted.occurred_at, noted.logged), (Micros(7), true));
    let text = chutegrade_records::text::line(&noted.kind);
    assert_eq!(
        text,
        "s2 withdrawn, score 0.10: errors 0.00 latency 1.00, tries fail"
    );
    assert_eq!(engine.take_log_event(Micros(8)), None);
    engine.enable_recording();
    engine.carry_out(Micros(9), vec![line]);
    let noted = engine.take_log_event(Micros(9)).expect("a note");
    assert!(matches!(noted.kind, Kind::Published(of) if of.lines == 1) && !noted.logged);
}

/// Danger: a fleet that fails as a whole fills memory with what nobody picks.
#[test]
fn notes_that_wait_are_bounded_and_what_went_is_counted() {
    let mut engine = serving();
    while engine.take_log_event(Micros(0)).is_some() {}
    let parts = |n| {
        Action::Emit(DecisionEvent::Resharded {
            shards: n,
            narrowed: false,
        })
    };
    engine.carry_out(
        Micros(5),
        (0..crate::log_events::MAX_QUEUED_EVENTS + 10)
            .map(parts)
            .collect(),
    );
    let lost = engine.take_log_event(Micros(6)).expect("a note");
    assert!(
        matches!(&lost.kind, Kind::Lost(of) if of.count == 10),
        "{lost:?}"
    );
    assert_eq!(
        std::iter::from_fn(|| engine.take_log_event(Micros(6))).count(),
        crate::log_events::MAX_QUEUED_EVENTS
    );
}

/// A start and a failure are told with the time at which they began, not that at which they were learned.
#[test]
fn what_is_learned_late_keeps_its_time() {
    let mut engine = serving();
    engine.enable_recording();
    let again = NamedEndpoint {
        started_at: Some(Micros(40_000_000)),
        ..listed(1)
    };
    assert_eq!(
        engine.report(Report::EndpointList(EndpointUpdateKind::Delta, vec![again])),
        Ok(())
    );
    let outcomes = Report::ServerOutcomes {
        zone: "z1".into(),
        server: "s1".into(),
        attempts: 10.0,
        failed: 9.0,
        mean_latency_ms: 1.0,
        period: Micros(2_000_000),
        load: LoadReport::default(),
    };
    assert_eq!(engine.report(outcomes), Ok(()));
    let now = Micros(50_000_000);
    engine.tick(now);
    let noted: Vec<LogEvent> = std::iter::from_fn(|| engine.take_log_event(now)).collect();
    let at = |wanted: fn(&Kind) -> bool| {
        noted
            .iter()
            .find(|noted| wanted(&noted.kind))
            .map(|n| (n.occurred_at, n.observed_at))
    };
    assert_eq!(
        at(|kind| matches!(kind, Kind::ServerStarted(_))),
        Some((Micros(40_000_000), now))
    );
    assert_eq!(
        at(|kind| matches!(kind, Kind::Failing(_))),
        Some((Micros(48_000_000), now))
    );
    let fleet = engine.server_snapshot();
    assert!(fleet
        .servers
        .iter()
        .any(|server| server.name == "s1" && server.zone == "z1"));
    let gauge = engine.fleet_metrics();
    let counted = gauge.full + gauge.reduced + gauge.withdrawn + gauge.cold + gauge.leaving;
    assert_eq!(counted as usize, fleet.servers.len());
}

#[test]
fn an_order_never_has_more_parts_than_the_protocol_allows() {
    let mut engine = engine(32);
    assert_eq!(
        engine.report(Report::EndpointList(
            EndpointUpdateKind::CachedSnapshot,
            (0..40).map(listed).collect()
        )),
        Ok(())
    );
    assert_eq!(engine.report(joined(1, 0, true)), Ok(()));
    let mut actions = Vec::new();
    for k in 0..32u16 {
        let (table, classes) = (TableId(k), ClassSet::default().with(usize::from(k)));
        actions.push(Action::SetWeight {
            table,
            server: ServerId(u32::from(k)),
            weight: 1.0,
        });
        let level = f64::from(k + 1) / 40.0;
        actions.push(Action::SetAdmission {
            table: Some(table),
            classes,
            level,
            retry: Retry::Never,
        });
        actions.push(Action::AssignTable {
            proxy: ProxyId(0),
            table,
            classes,
        });
    }
    engine.carry_out(Micros(0), actions);
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert!(order.updates.len() <= 64);
    assert_eq!(order.updates.iter().filter(|part| part.replace).count(), 32);
}

/// A line taken out of a whole table that could not be written yet costs nothing.
#[test]
fn a_whole_table_never_names_what_it_leaves_out() {
    let mut engine = serving();
    assert_eq!(engine.report(joined(1, 0, true)), Ok(()));
    let (table, server) = (TableId(900), ServerId(1));
    let line = |server, weight| Action::SetWeight {
        table,
        server,
        weight,
    };
    let bind = Action::AssignTable {
        proxy: ProxyId(0),
        table,
        classes: ClassSet::default(),
    };
    engine.carry_out(
        Micros(0),
        vec![line(server, 1.0), line(ServerId(2), 1.0), bind],
    );
    engine.carry_out(Micros(0), vec![line(server, 0.0)]);
    let order = engine.take_order(StreamId(1)).expect("an order");
    let rows: Vec<_> = order.updates[0]
        .weights
        .iter()
        .map(|entry| (entry.server.to_string(), entry.weight))
        .collect();
    assert_eq!(rows, [("s2".to_string(), 1.0)]);
}

/// What a proxy holds by the orders written to it.
#[derive(Clone, Default)]
struct Holder {
    rows: BTreeMap<usize, BTreeMap<String, f64>>,
    levels: BTreeMap<usize, AdmissionLevel>,
    dropped: BTreeSet<String>,
    stamp: Option<u16>,
}

impl Holder {
    fn apply(&mut self, order: &Order, classes: usize) {
        for part in &order.updates {
            let all: Vec<usize> = (0..classes).collect();
            let named = part
                .classes
                .iter()
                .map(|name| name[1..].parse().expect("c and its position"))
                .collect();
            let concerned: &Vec<usize> = if part.classes.is_empty() {
                &all
            } else {
                &named
            };
            for class in concerned {
                let rows = self.rows.entry(*class).or_default();
                if part.replace {
                    rows.clear();
                    self.levels.remove(class);
                }
                for entry in &part.weights {
                    rows.insert(entry.server.to_string(), entry.weight);
                }
                rows.retain(|_, weight| *weight > 0.0);
                if let Some(level) = part.admission {
                    self.levels.insert(*class, level);
                }
            }
        }
        self.dropped
            .extend(order.suspended.iter().map(|name| name.to_string()));
        for name in &order.resumed {
            self.dropped.remove(&**name);
        }
        self.stamp = order.acknowledge.or(self.stamp);
    }

    fn picks(&self, class: usize) -> BTreeMap<String, f64> {
        let rows = self.rows.get(&class).cloned().unwrap_or_default();
        rows.into_iter()
            .filter(|(name, _)| !self.dropped.contains(name))
            .collect()
    }
}

/// What the same proxy holds by the simulator's words, applied action by action.
#[derive(Clone, Default)]
struct Truth {
    lines: BTreeMap<TableId, BTreeMap<String, f64>>,
    own: BTreeMap<(TableId, usize), AdmissionLevel>,
    all: BTreeMap<usize, AdmissionLevel>,
    withdrawn: BTreeSet<String>,
    bound: BTreeMap<(u32, usize), TableId>,
    /// Servers shut out while a joined proxy that has tables of ours still used others that nobody here knows. One that has
    /// none yet is told with its first ones: told at once, a whole fleet that joins while a release drains would fill the
    /// channel with what the tables on their way put right.
    unseen: BTreeMap<u32, BTreeSet<String>>,
}

impl Truth {
    fn apply(&mut self, action: &Action, joined: &BTreeMap<u32, u64>) {
        let each = |classes: &ClassSet| {
            let classes = *classes;
            (0..CLASSES).filter(move |class| classes == ClassSet::default() || classes.has(*class))
        };
        match action {
            Action::SetWeight {
                table,
                server,
                weight,
            } => {
                let lines = self.lines.entry(*table).or_default();
                lines.insert(format!("s{}", server.0), *weight);
                lines.retain(|_, weight| *weight > 0.0);
            }
            Action::ClearTable(table) => {
                self.lines.remove(table);
                self.own.retain(|(of, _), _| of != table);
            }
            Action::SetSuspended {
                server,
                suspended: out,
            } => {
                let name = format!("s{}", server.0);
                self.unseen.values_mut().for_each(|shut| {
                    shut.remove(&name);
                });
                if *out {
                    let bound = |proxy: u32| {
                        (0..CLASSES)
                            .filter(|c| self.bound.contains_key(&(proxy, *c)))
                            .count()
                    };
                    let strange = |proxy: &&u32| (1..CLASSES).contains(&bound(**proxy));
                    for proxy in joined.keys().filter(strange) {
                        self.unseen.entry(*proxy).or_default().insert(name.clone());
                    }
                    self.withdrawn.insert(name);
                } else {
                    self.withdrawn.remove(&name);
                }
            }
            Action::SetAdmission {
                table,
                classes,
                level,
                retry,
            } => {
                for class in each(classes) {
                    match table {
                        Some(table) => self.own.insert(
                            (*table, class),
                            AdmissionLevel {
                                level: *level,
                                retry: *retry,
                            },
                        ),
                        None => self.all.insert(
                            class,
                            AdmissionLevel {
                                level: *level,
                                retry: *retry,
                            },
                        ),
                    };
                }
            }
            Action::AssignTable {
                proxy,
                table,
                classes,
            } if joined.contains_key(&proxy.0) => {
                for class in each(classes) {
                    self.bound.insert((proxy.0, class), *table);
                }
            }
            _ => {}
        }
    }

    fn picks(&self, table: TableId) -> BTreeMap<String, f64> {
        let lines = self.lines.get(&table).cloned().unwrap_or_default();
        lines
            .into_iter()
            .filter(|(name, _)| !self.withdrawn.contains(name))
            .collect()
    }

    fn level(&self, table: TableId, class: usize) -> Option<AdmissionLevel> {
        match (self.own.get(&(table, class)), self.all.get(&class)) {
            (Some(own), Some(all)) => Some(AdmissionLevel {
                level: own.level.min(all.level),
                retry: own.retry,
            }),
            (own, all) => own.or(all).copied(),
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Turn(Vec<Action>),
    Join(u32, bool, BTreeSet<u32>),
    Leave(u32),
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
        3 => (server(), any::<bool>()).prop_map(|(server, out)| Action::SetSuspended { server, suspended: out }),
        2 => (0..3u32).prop_map(|proxy| Action::Reconcile(ProxyId(proxy))),
        2 => (proptest::option::of(table()), classes(), level(), retry())
            .prop_map(|(table, classes, level, retry)| Action::SetAdmission { table, classes, level, retry }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => proptest::collection::vec(action(), 1..5).prop_map(Step::Turn),
        2 => (0..3u32, any::<bool>(), proptest::collection::btree_set(0..6u32, 0..3))
            .prop_map(|(proxy, new, dropped)| Step::Join(proxy, new, dropped)),
        1 => (0..3u32).prop_map(Step::Leave),
        4 => (0..3u32).prop_map(Step::Write),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is ordered, merged while a stream could not be written, and brought along from other supervisors:
    /// once everything is written, a proxy picks by the tables, levels and withdrawals that the actions say.
    #[test]
    fn orders_leave_a_proxy_with_what_the_actions_say(steps in proptest::collection::vec(step(), 1..40)) {
        let mut engine = engine(CLASSES);
        prop_assert_eq!(engine.report(Report::EndpointList(EndpointUpdateKind::CachedSnapshot, (0..6).map(listed).collect())), Ok(()));
        let (mut truth, mut joined_now) = (Truth::default(), BTreeMap::<u32, u64>::new());
        let mut holders: BTreeMap<u32, Holder> = BTreeMap::new();
        let (mut streams, mut mark) = (0u64, 0u16);
        // Proxies that brought what they were not told of yet.
        let mut unsure = BTreeSet::new();
        let mut owed: BTreeMap<u32, u16> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Turn(mut actions) => {
                    mark += 1;
                    actions.push(Action::RequestAcknowledgement { sequence: mark, all_proxies: true });
                    for action in &actions {
                        truth.apply(action, &joined_now);
                        if let Action::Reconcile(proxy) = action {
                            unsure.remove(&proxy.0);
                        }
                    }
                    owed.extend(joined_now.keys().map(|proxy| (*proxy, mark)));
                    engine.carry_out(Micros(0), actions);
                }
                Step::Join(proxy, new, dropped) => {
                    streams += 1;
                    let hello = joined(streams, proxy, new);
                    prop_assert_eq!(engine.report(hello), Ok(()));
                    joined_now.insert(proxy, streams);
                    truth.bound.retain(|(of, _), _| *of != proxy);
                    truth.unseen.remove(&proxy);
                    owed.remove(&proxy);
                    let holder = holders.entry(proxy).or_default();
                    if new {
                        *holder = Holder::default();
                        unsure.remove(&proxy);
                    } else {
                        unsure.insert(proxy);
                        holder.dropped.extend(dropped.iter().map(|server| format!("s{server}")));
                    }
                }
                Step::Leave(proxy) => {
                    if let Some(stream) = joined_now.remove(&proxy) {
                        prop_assert_eq!(engine.report(Report::StreamLost(StreamId(stream))), Ok(()));
                        truth.bound.retain(|(of, _), _| *of != proxy);
                        owed.remove(&proxy);
                    }
                }
                Step::Write(proxy) => {
                    let Some(stream) = joined_now.get(&proxy) else { continue };
                    let holder = holders.entry(proxy).or_default();
                    if let Some(order) = engine.take_order(StreamId(*stream)) {
                        prop_assert!(order.updates.len() <= 64);
                        holder.apply(&order, CLASSES);
                    }
                    prop_assert_eq!(engine.take_order(StreamId(*stream)), None);
                    if let Some(mark) = owed.get(&proxy) {
                        prop_assert_eq!(holder.stamp, Some(*mark));
                    }
                    for name in truth.unseen.get(&proxy).into_iter().flatten() {
                        prop_assert!(holder.dropped.contains(name), "{name} drains, and tables from before name it");
                    }
                    for class in 0..CLASSES {
                        if let Some(table) = truth.bound.get(&(proxy, class)) {
                            let (held, meant) = (holder.picks(class), truth.picks(*table));
                            let within = held.iter().all(|(name, weight)| meant.get(name) == Some(weight));
                            prop_assert!(within && (held == meant || unsure.contains(&proxy)), "{held:?}, {meant:?}");
                            prop_assert_eq!(holder.levels.get(&class).copied(), truth.level(*table, class));
                        }
                    }
                }
            }
        }
    }
}

/// Servers replaced over and over, as over months: what is gone for long leaves nothing behind, and no number is used
/// again. One that returns under its name after that is let back by name at whoever may hold it as shut out.
#[test]
fn servers_long_gone_are_forgotten_and_one_that_returns_is_let_back() {
    let mut engine = serving();
    assert_eq!(engine.report(joined(1, 0, true)), Ok(()));
    let mut now = Micros(10_000);
    let mut turn = |engine: &mut Engine, events: Vec<NamedEndpoint>, seconds: i64| {
        assert_eq!(
            engine.report(Report::EndpointList(EndpointUpdateKind::Delta, events)),
            Ok(())
        );
        let mut told = (BTreeSet::new(), BTreeSet::new());
        for _ in 0..2 * seconds {
            now = now + Micros(500_000);
            engine.tick(now);
            if let Some(order) = engine.take_order(StreamId(1)) {
                told.0
                    .extend(order.suspended.iter().map(|name| name.to_string()));
                told.1
                    .extend(order.resumed.iter().map(|name| name.to_string()));
                let (stream, took) = (StreamId(1), Micros(1000));
                let mark = order.acknowledge.expect("a mark");
                assert_eq!(
                    engine.report(Report::Acknowledged {
                        stream,
                        sequence: mark,
                        elapsed: took
                    }),
                    Ok(())
                );
            }
        }
        told
    };
    let mut ids = BTreeSet::new();
    for round in 0..20 {
        let came = (4 + 4 * round..8 + 4 * round).map(listed).collect();
        turn(&mut engine, came, 30);
        ids.extend(
            (4 * round..4 + 4 * round).filter_map(|of| engine.names.server(&format!("s{of}"))),
        );
        let life = |life| {
            move |of| NamedEndpoint {
                lifecycle: life,
                ..listed(of)
            }
        };
        turn(
            &mut engine,
            (4 * round..4 + 4 * round)
                .map(life(Lifecycle::Draining))
                .collect(),
            3,
        );
        turn(
            &mut engine,
            (4 * round..4 + 4 * round)
                .map(life(Lifecycle::Removed))
                .collect(),
            90,
        );
    }
    assert_eq!(ids.len(), 80, "each has a number of its own");
    let known = (0..84)
        .filter(|of| engine.names.server(&format!("s{of}")).is_some())
        .count();
    assert_eq!(
        (
            known,
            engine.policy.server_statuses().len(),
            engine.forgotten_servers.len()
        ),
        (4, 4, 0)
    );
    assert!(
        (0..80).all(|of| !engine.tables.is_suspended(ServerId(of))),
        "nor as shut out"
    );
    let told = turn(&mut engine, vec![listed(3), listed(99)], 30);
    assert_eq!(
        told,
        (BTreeSet::new(), BTreeSet::from(["s3".to_string()])),
        "s99 is new to all"
    );
}

/// Danger: a stream that stands still would lose the line that takes a server out, with the server's name.
#[test]
fn what_waits_to_be_written_keeps_its_names() {
    let mut engine = serving();
    assert_eq!(engine.report(joined(1, 0, true)), Ok(()));
    engine.tick(Micros(10_000));
    assert!(engine.take_order(StreamId(1)).is_some());
    let out = Action::SetSuspended {
        server: ServerId(2),
        suspended: true,
    };
    engine.carry_out(Micros(20_000), vec![out, Action::ForgetServer(ServerId(2))]);
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert_eq!(
        order
            .suspended
            .iter()
            .map(|name| name.to_string())
            .collect::<Vec<_>>(),
        ["s2"]
    );
    let removed = |table| Action::SetWeight {
        table: TableId(table),
        server: ServerId(2),
        weight: 0.0,
    };
    engine.carry_out(Micros(30_000), vec![removed(0), removed(1)]);
    assert!(engine.take_order(StreamId(1)).is_some());
    engine.carry_out(Micros(40_000), vec![]);
    assert_eq!(engine.names.server("s2"), None);
}

/// As many servers and supervisors as anything here is made for: all proxies get tables, each server is in some, and one
/// more of either is taken too.
#[test]
fn a_thousand_servers_and_a_thousand_supervisors_are_served() {
    const MANY: u32 = 1024;
    let settings = Settings {
        instances: MANY as usize,
        proxies: MANY as usize,
        channel_backlog: 60_000.0,
        channel_lines_per_second: 9_000.0,
        drain_grace: Micros(2_000_000),
        ..settings(CLASSES)
    };
    let names = |of: &str, n: usize| (0..n).map(|k| format!("{of}{k}")).collect::<Vec<_>>();
    let mut engine = Engine::new(
        settings,
        7,
        DeploymentNames {
            zones: names("z", 2),
            classes: names("c", CLASSES),
            machine_kinds: names("k", 2),
        },
    );
    assert_eq!(
        engine.report(Report::EndpointList(
            EndpointUpdateKind::CachedSnapshot,
            (0..MANY).map(listed).collect()
        )),
        Ok(())
    );
    let mut now = Micros(0);
    engine.tick(now);
    for proxy in 0..MANY {
        assert_eq!(engine.report(joined(proxy.into(), proxy, true)), Ok(()));
    }
    let (mut holders, mut probes) = (BTreeMap::<StreamId, Holder>::new(), 0);
    for _ in 0..100 {
        now = now + Micros(100_000);
        engine.tick(now);
        for stream in engine.take_streams_with_orders() {
            let order = engine.take_order(stream).expect("an order");
            holders.entry(stream).or_default().apply(&order, CLASSES);
            let (mark, took) = (order.acknowledge.expect("a mark"), Micros(100_000));
            assert_eq!(
                engine.report(Report::Acknowledged {
                    stream,
                    sequence: mark,
                    elapsed: took
                }),
                Ok(())
            );
        }
        while let Some(probe) = engine.take_health_check() {
            probes += 1;
            let (end, took, load) = (
                HealthCheckOutcome::Passed,
                Micros(5000),
                LoadReport::default(),
            );
            assert_eq!(
                engine.report(Report::HealthChecked {
                    check: probe,
                    outcome: end,
                    elapsed: took,
                    load
                }),
                Ok(())
            );
        }
    }
    assert_eq!(holders.len(), MANY as usize);
    assert!(holders
        .values()
        .all(|holder| (0..CLASSES).all(|class| !holder.picks(class).is_empty())));
    let named: BTreeSet<String> = holders
        .values()
        .flat_map(|holder| holder.picks(0).into_keys())
        .collect();
    assert_eq!(named.len(), MANY as usize, "each server is in some table");
    assert!(
        probes >= 8 * MANY,
        "each server is probed every second: {probes}"
    );
    assert_eq!(engine.server_snapshot().servers.len(), MANY as usize);
    assert_eq!(
        engine.report(joined(MANY.into(), MANY, true)),
        Err(ReportError::UnknownProxy(MANY))
    );
}

/// What the decisions hear of probes, of all servers that the list names.
#[derive(Default)]
struct Hears(Rc<std::cell::RefCell<Vec<(ServerId, HealthCheckOutcome)>>>);

impl DecisionPolicy for Hears {
    fn handle_events(&mut self, _: Micros, events: &[Event]) -> Vec<Action> {
        let mut probes = Vec::new();
        for event in events {
            match event {
                Event::EndpointList(_, entries) => probes.extend(
                    entries
                        .iter()
                        .map(|entry| Action::HealthCheck(entry.server)),
                ),
                Event::HealthChecked {
                    server,
                    outcome: end,
                    ..
                } => self.0.borrow_mut().push((*server, *end)),
                _ => {}
            }
        }
        probes
    }
}

/// Danger: the end of a process that was probed, or of what else answers at its address now, would be held against the one
/// that has just started under its name.
#[test]
fn a_probe_of_a_former_process_says_nothing_of_the_next() {
    let hears = Hears::default();
    let heard = Rc::clone(&hears.0);
    let mut engine = Engine::with_policy(
        Box::new(hears),
        &settings(CLASSES),
        DeploymentNames {
            zones: vec!["z0".into()],
            ..DeploymentNames::default()
        },
    );
    let tell = |engine: &mut Engine, server: NamedEndpoint| {
        assert_eq!(
            engine.report(Report::EndpointList(
                EndpointUpdateKind::Delta,
                vec![server]
            )),
            Ok(())
        );
        engine.tick(Micros(0));
        engine.take_health_check().expect("a probe")
    };
    let ends = |engine: &mut Engine, probe: HealthCheck| {
        let (end, took, load) = (
            HealthCheckOutcome::Unreachable,
            Micros(1000),
            LoadReport::default(),
        );
        assert_eq!(
            engine.report(Report::HealthChecked {
                check: probe,
                outcome: end,
                elapsed: took,
                load
            }),
            Ok(())
        );
        engine.tick(Micros(0));
        heard.borrow_mut().pop().expect("an end").1
    };
    let first = tell(&mut engine, listed(0));
    let again = tell(&mut engine, listed(0));
    assert_eq!(
        ends(&mut engine, first),
        HealthCheckOutcome::Unreachable,
        "told again, but the same"
    );
    let moved = tell(
        &mut engine,
        NamedEndpoint {
            address: "127.0.0.1:9".into(),
            ..listed(0)
        },
    );
    assert_eq!(
        ends(&mut engine, again),
        HealthCheckOutcome::Inconclusive,
        "it listens elsewhere"
    );
    let anew = NamedEndpoint {
        address: "127.0.0.1:9".into(),
        started_at: Some(Micros(5)),
        ..listed(0)
    };
    let anew = tell(&mut engine, anew);
    assert_eq!(
        ends(&mut engine, moved),
        HealthCheckOutcome::Inconclusive,
        "it has started anew at the same address"
    );
    assert_eq!(ends(&mut engine, anew), HealthCheckOutcome::Unreachable);
}

/// One customer's fleet for a while: what comes by the second, and all orders in words.
struct Shop {
    engine: Engine,
    now: Micros,
    said: Vec<String>,
    class: String,
    zone: String,
}

impl Shop {
    fn new(prefix: &str, of: Settings) -> Shop {
        let names = |of: &str, n: usize| {
            (0..n)
                .map(|k| format!("{prefix}{of}{k}"))
                .collect::<Vec<_>>()
        };
        let (zones, classes) = (names("z", of.zones), names("c", of.classes.len()));
        let (class, zone) = (classes[0].clone(), zones[0].clone());
        let names = DeploymentNames {
            zones,
            classes,
            machine_kinds: names("k", 2),
        };
        let mut engine = Engine::new(of, 7, names);
        let list = (0..6)
            .map(|of| NamedEndpoint {
                zone: zone.clone(),
                ..listed(of)
            })
            .collect();
        assert_eq!(
            engine.report(Report::EndpointList(
                EndpointUpdateKind::CachedSnapshot,
                list
            )),
            Ok(())
        );
        Shop {
            engine,
            now: Micros(0),
            said: Vec::new(),
            class,
            zone,
        }
    }

    fn second(&mut self, second: u32) {
        let (class, zone) = (self.class.clone(), self.zone.clone());
        for proxy in 0..2 {
            let stream = StreamId(u64::from(10 * second + proxy));
            if second % 9 == proxy {
                let joined = Report::StreamOpened {
                    stream,
                    proxy,
                    zone: zone.clone(),
                    request_rate: 10.0,
                    has_no_table: second < 9,
                };
                assert_eq!(self.engine.report(joined), Ok(()));
            }
            let (class, came, failed) = (class.clone(), 30.0, 0.0);
            let demand = Report::ProxyDemand {
                proxy,
                class,
                arrivals: came,
                failed,
                period: Micros(1_000_000),
            };
            let _ = self.engine.report(demand);
        }
        for server in 0..6 {
            let (zone, server, tries, failed) = (
                zone.clone(),
                format!("s{server}"),
                10.0,
                f64::from(second * server % 7),
            );
            let load = LoadReport {
                queued: Some(f64::from(second % 5)),
                ..LoadReport::default()
            };
            let (mean_ms, period) = (50.0, Micros(1_000_000));
            let heard = Report::ServerOutcomes {
                zone,
                server,
                attempts: tries,
                failed,
                mean_latency_ms: mean_ms,
                period,
                load,
            };
            assert_eq!(self.engine.report(heard), Ok(()));
        }
        for _ in 0..4 {
            self.now = self.now + Micros(250_000);
            self.engine.tick(self.now);
            for stream in self.engine.take_streams_with_orders() {
                let order = self.engine.take_order(stream).expect("an order");
                self.said.push(format!("{stream:?} {order:?}"));
                if let Some(mark) = order.acknowledge {
                    let _ = self.engine.report(Report::Acknowledged {
                        stream,
                        sequence: mark,
                        elapsed: Micros(1000),
                    });
                }
            }
            while let Some(probe) = self.engine.take_health_check() {
                self.said.push(format!("{probe:?}"));
                let (end, took, load) = (
                    HealthCheckOutcome::Passed,
                    Micros(3000),
                    LoadReport::default(),
                );
                assert_eq!(
                    self.engine.report(Report::HealthChecked {
                        check: probe,
                        outcome: end,
                        elapsed: took,
                        load
                    }),
                    Ok(())
                );
            }
        }
    }
}

/// Danger: one customer's settings bleed into another's.
#[test]
fn two_engines_in_one_process_decide_as_each_alone_does() {
    let one = || Shop::new("a", settings(CLASSES));
    let other = || {
        let unsafe_class = Class {
            idempotency: Idempotency::NotIdempotent,
            zone_local: true,
            ..settings(1).classes[0]
        };
        let settings = Settings {
            classes: vec![unsafe_class; 2],
            zones: 1,
            admission_unit: AdmissionUnit::RequestsPerSecond,
            message_overhead: 9.0,
            slow_start_period: Micros(3_000_000),
            ..settings(2)
        };
        Shop::new("b", settings)
    };
    let alone = |mut shop: Shop| {
        (0..40).for_each(|second| shop.second(second));
        shop.said
    };
    let (mut first, mut second) = (one(), other());
    for of in 0..40 {
        first.second(of);
        second.second(of);
    }
    assert!(first.said.len() > 100 && first.said != second.said);
    assert_eq!((first.said, second.said), (alone(one()), alone(other())));
}
