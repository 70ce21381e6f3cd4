//! Decisions while discovery has yet to answer: at the start, with a list that may be out of date, and later.

mod common;

use chutegrade_policy::*;
use common::large_fleet::sparse_settings;
use common::*;
use proptest::prelude::*;

const SERVERS: u32 = 6;
const PROXY: ProxyId = ProxyId(0);
/// Id of the timer that triggers ticks.
const TICK_TIMER: u32 = 1;

/// Settings of an instance whose only proxy is [`PROXY`].
fn one_proxy() -> Settings {
    Settings {
        instances: 1,
        proxies: 1,
        ..settings()
    }
}

fn endpoint_list(kind: EndpointUpdateKind, servers: std::ops::Range<u32>) -> Event {
    Event::EndpointList(kind, servers.map(endpoint).collect())
}

fn pending() -> Event {
    Event::EndpointList(EndpointUpdateKind::Pending, Vec::new())
}

fn unchanged() -> Event {
    Event::EndpointList(EndpointUpdateKind::Delta, Vec::new())
}

fn joined(has_previous_table: bool) -> Event {
    proxy_joined_with(PROXY, has_previous_table)
}

fn proxy_joined_with(proxy: ProxyId, has_previous_table: bool) -> Event {
    Event::ProxyJoined {
        proxy,
        zone: ZoneId(0),
        request_rate: 10.0,
        has_previous_table,
    }
}

fn demand(arrivals: f64, failed: f64) -> Event {
    Event::ProxyDemand {
        proxy: PROXY,
        class: ClassId(0),
        arrivals,
        failed,
        period: ms(1000),
    }
}

fn assigns(actions: &[Action]) -> bool {
    let is_assignment = |action: &Action| matches!(action, Action::AssignTable { .. });
    actions.iter().any(is_assignment)
}

fn reconciles(actions: &[Action]) -> bool {
    actions.contains(&Action::Reconcile(PROXY))
}

/// An instance after a restart, with the time of its last events.
struct Restarted {
    policy: Policy,
    now: Micros,
}

impl Restarted {
    /// Starts while discovery has yet to answer, with a cached list of this many servers.
    fn new(settings: Settings, servers: u32) -> Self {
        let mut restarted = Restarted {
            policy: Policy::new(settings, 1),
            now: ms(0),
        };
        restarted.send(&[
            pending(),
            endpoint_list(EndpointUpdateKind::CachedSnapshot, 0..servers),
        ]);
        restarted
    }

    fn send(&mut self, events: &[Event]) -> Vec<Action> {
        self.now = self.now + ms(10);
        self.policy.handle_events(self.now, events)
    }

    /// Ticks for some seconds. The proxy acknowledges all orders.
    fn run(&mut self, seconds: i64) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..2 * seconds {
            self.now = self.now + ms(480);
            let ordered = self.send(&[Event::Timer(TICK_TIMER)]);
            if let Some(sequence) = requested_sequence(&ordered) {
                self.send(&[Event::Acknowledged {
                    proxy: PROXY,
                    sequence,
                    elapsed: ms(10),
                }]);
            }
            actions.extend(ordered);
        }
        actions
    }
}

/// Guards against requests to servers that have left: a list of an earlier start has them in service, and the tables and
/// suspensions that the proxy brought are more recent (`docs/incidents/review-5-restart-without-discovery.md`).
#[test]
fn a_proxy_keeps_what_it_brought_until_discovery_has_answered() {
    for answer in [
        unchanged(),
        endpoint_list(EndpointUpdateKind::Snapshot, 2..8),
    ] {
        let mut restarted = Restarted::new(one_proxy(), SERVERS);
        let mut actions = restarted.send(&[joined(true)]);
        actions.extend(restarted.run(30));
        assert!(!assigns(&actions) && !reconciles(&actions));
        let mut actions = restarted.send(&[answer]);
        assert!(assigns(&actions), "at once");
        actions.extend(restarted.run(5));
        assert!(reconciles(&actions));
    }
}

/// The endpoints on request are requested at the start, and the answer may be late or a failure.
#[test]
fn an_instance_that_requests_the_list_waits_for_the_answer() {
    let on_request = Settings {
        endpoints_on_request: true,
        ..one_proxy()
    };
    let mut restarted = Restarted {
        policy: Policy::new(on_request, 1),
        now: ms(0),
    };
    restarted.send(&[endpoint_list(
        EndpointUpdateKind::CachedSnapshot,
        0..SERVERS,
    )]);
    let mut actions = restarted.send(&[joined(true)]);
    let failure = Event::EndpointList(EndpointUpdateKind::Unavailable, Vec::new());
    actions.extend(restarted.send(&[failure]));
    actions.extend(restarted.run(10));
    assert!(!assigns(&actions) && !reconciles(&actions));
    assert!(assigns(&restarted.send(&[unchanged()])));
}

/// A proxy without ordered tables has none to keep, and needs some.
#[test]
fn a_new_proxy_gets_the_cached_servers_before_discovery_has_answered() {
    let mut restarted = Restarted::new(one_proxy(), SERVERS);
    assert!(assigns(&restarted.send(&[joined(false)])));
}

/// An empty table would leave the proxy without a server, whatever it holds.
#[test]
fn no_proxy_gets_an_empty_table_before_discovery_has_answered() {
    for has_previous_table in [false, true] {
        let mut restarted = Restarted::new(one_proxy(), 0);
        let mut actions = restarted.send(&[joined(has_previous_table)]);
        actions.extend(restarted.run(30));
        assert!(!assigns(&actions));
        let list = endpoint_list(EndpointUpdateKind::Snapshot, 0..SERVERS);
        assert!(assigns(&restarted.send(&[list])), "at once");
    }
}

/// A proxy whose servers have all left while no supervisor could tell it has nothing to lose.
#[test]
fn a_proxy_that_serves_nothing_gets_the_cached_servers_but_no_suspension_ends() {
    let mut restarted = Restarted::new(one_proxy(), SERVERS);
    restarted.send(&[joined(true)]);
    restarted.send(&[demand(4.0, 4.0)]);
    assert!(!assigns(&restarted.run(1)), "one report may be chance");
    restarted.send(&[demand(4.0, 1.0)]);
    restarted.send(&[demand(4.0, 4.0)]);
    assert!(!assigns(&restarted.run(1)), "it served in between");
    restarted.send(&[demand(4.0, 4.0)]);
    let actions = restarted.run(10);
    assert!(assigns(&actions));
    assert!(!reconciles(&actions));
    restarted.send(&[unchanged()]);
    assert!(reconciles(&restarted.run(5)));
}

/// While discovery is silent, another supervisor may have been notified of servers that left.
#[test]
fn suspensions_of_another_instance_stay_while_discovery_is_silent() {
    let mut restarted = Restarted::new(one_proxy(), SERVERS);
    restarted.send(&[unchanged()]);
    restarted.send(&[pending()]);
    let mut actions = restarted.send(&[joined(true)]);
    assert!(assigns(&actions), "the list is that of this start");
    actions.extend(restarted.run(10));
    assert!(!reconciles(&actions));
    restarted.send(&[unchanged()]);
    assert!(reconciles(&restarted.run(5)));
}

/// Returns the numbers of shards into which a large sparse fleet is divided, one after the other.
fn shards_of_large_fleet(first_list: &[Event], answer: &Event) -> Vec<usize> {
    let settings = sparse_settings();
    let proxies = settings.proxies as u32;
    let mut policy = Policy::new(settings, 1);
    let joins: Vec<Event> = (0..proxies)
        .map(|id| proxy_joined_with(ProxyId(id), true))
        .collect();
    let mut actions = policy.handle_events(ms(0), first_list);
    actions.extend(policy.handle_events(ms(10), &joins));
    actions.extend(policy.handle_events(ms(500), &[Event::Timer(TICK_TIMER)]));
    actions.extend(policy.handle_events(ms(600), std::slice::from_ref(answer)));
    let shards = |action: &Action| match action {
        Action::Emit(DecisionEvent::Resharded { shards, .. }) => Some(*shards),
        _ => None,
    };
    actions.iter().filter_map(shards).collect()
}

/// Proxies that join before there is a list must not fix the width of the tables for all servers that follow.
#[test]
fn the_layout_of_tables_waits_for_the_list() {
    let list = endpoint_list(EndpointUpdateKind::Snapshot, 0..100);
    let with_known_list = shards_of_large_fleet(&[pending(), list.clone()], &unchanged());
    assert!(with_known_list[0] > 1, "{with_known_list:?}");
    let with_late_list = shards_of_large_fleet(&[pending()], &list);
    assert_eq!(with_late_list, with_known_list);
}

/// Something that happens to a restarted instance.
#[derive(Clone, Debug)]
enum Step {
    Pending,
    Unchanged,
    Listed(u32),
    Joined { has_previous_table: bool },
    Left,
    Reported { failed: f64 },
    Ticked,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        Just(Step::Pending),
        Just(Step::Unchanged),
        (0..SERVERS).prop_map(Step::Listed),
        any::<bool>().prop_map(|has_previous_table| Step::Joined { has_previous_table }),
        Just(Step::Left),
        (0..=4).prop_map(|failed| Step::Reported {
            failed: f64::from(failed)
        }),
        Just(Step::Ticked),
    ];
    proptest::collection::vec(step, 1..60)
}

/// What the proxy may be ordered, by the steps so far.
#[derive(Default)]
struct Expected {
    is_heard: bool,
    is_answer_pending: bool,
    has_previous_table: bool,
    failed_reports: usize,
}

impl Expected {
    fn observe(&mut self, step: &Step) {
        match step {
            Step::Pending => self.is_answer_pending = true,
            Step::Unchanged | Step::Listed(_) => {
                self.is_heard = true;
                self.is_answer_pending = false;
            }
            Step::Joined { has_previous_table } => {
                self.has_previous_table = *has_previous_table;
                self.failed_reports = 0;
            }
            Step::Reported { failed } if *failed >= 4.0 => self.failed_reports += 1,
            Step::Reported { .. } => self.failed_reports = 0,
            Step::Left | Step::Ticked => {}
        }
    }

    fn must_keep_tables(&self) -> bool {
        self.has_previous_table && !self.is_heard && self.failed_reports < 2
    }
}

proptest! {
    /// In any order of joins, reports, answers and outages, an old list replaces and resumes nothing.
    #[test]
    fn an_old_list_replaces_and_resumes_nothing(steps in steps(), cached_servers in 0..=SERVERS) {
        let mut restarted = Restarted::new(one_proxy(), cached_servers);
        let mut expected = Expected {
            is_answer_pending: true,
            ..Expected::default()
        };
        for step in &steps {
            expected.observe(step);
            let actions = match step {
                Step::Pending => restarted.send(&[pending()]),
                Step::Unchanged => restarted.send(&[unchanged()]),
                Step::Listed(servers) => {
                    restarted.send(&[endpoint_list(EndpointUpdateKind::Snapshot, 0..*servers)])
                }
                Step::Joined { has_previous_table } => {
                    restarted.send(&[Event::ProxyLeft(PROXY), joined(*has_previous_table)])
                }
                Step::Left => restarted.send(&[Event::ProxyLeft(PROXY)]),
                Step::Reported { failed } => restarted.send(&[demand(4.0, *failed)]),
                Step::Ticked => restarted.run(1),
            };
            prop_assert!(!(assigns(&actions) && expected.must_keep_tables()));
            prop_assert!(!(reconciles(&actions) && expected.is_answer_pending));
        }
    }
}
