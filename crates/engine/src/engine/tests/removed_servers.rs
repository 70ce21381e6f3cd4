//! Removal of servers that are no longer referenced.

use std::ops::Range;

use super::*;

/// Time between two ticks.
const TICK: Micros = Micros(500_000);
const TICKS_PER_SECOND: usize = 2;

/// Servers that are replaced at a time: all of [`engine_with_servers`].
const BATCH: u32 = 4;

/// Servers that the orders to the only proxy suspend and resume.
#[derive(Debug, Default, PartialEq)]
struct SuspensionChanges {
    suspended: BTreeSet<String>,
    resumed: BTreeSet<String>,
}

/// An engine with one proxy, which acknowledges all orders, and the simulated time.
struct Deployment {
    engine: Engine,
    now: Micros,
}

impl Deployment {
    fn new() -> Self {
        let mut engine = engine_with_servers();
        assert_eq!(engine.report(stream_opened(1, 0, true)), Ok(()));
        Deployment {
            engine,
            now: Micros(10_000),
        }
    }

    /// Reports endpoints, then ticks for some seconds; returns the suspension changes ordered in that time.
    fn update(&mut self, endpoints: Vec<NamedEndpoint>, seconds: usize) -> SuspensionChanges {
        report_endpoints(&mut self.engine, EndpointUpdateKind::Delta, endpoints);
        let mut ordered = SuspensionChanges::default();
        for _ in 0..TICKS_PER_SECOND * seconds {
            self.now = self.now + TICK;
            self.engine.tick(self.now);
            if let Some(order) = self.engine.take_order(StreamId(1)) {
                ordered.suspended.extend(to_strings(&order.suspended));
                ordered.resumed.extend(to_strings(&order.resumed));
                acknowledge(&mut self.engine, StreamId(1), &order, Micros(1000));
            }
        }
        ordered
    }

    /// Adds the servers with the next numbers, then drains and removes the given ones.
    fn replace(&mut self, servers: Range<u32>) {
        let next = servers.end..servers.end + BATCH;
        self.update(next.map(listed_endpoint).collect(), 30);
        let with_lifecycle = |lifecycle| {
            servers.clone().map(move |server| NamedEndpoint {
                lifecycle,
                ..listed_endpoint(server)
            })
        };
        self.update(with_lifecycle(Lifecycle::Draining).collect(), 3);
        self.update(with_lifecycle(Lifecycle::Removed).collect(), 90);
    }

    fn server(&self, server: u32) -> Option<ServerId> {
        self.engine.names.server(&format!("s{server}"))
    }
}

/// Servers are replaced many times: a removed one leaves no state, and no id is reused. One that returns under its name
/// is resumed at proxies, which may still have it suspended.
#[test]
fn a_removed_server_leaves_no_state_and_is_resumed_on_its_return() {
    let mut deployment = Deployment::new();
    let mut ids = BTreeSet::new();
    for round in 0..20 {
        let servers = BATCH * round..BATCH * (round + 1);
        ids.extend(
            servers
                .clone()
                .filter_map(|server| deployment.server(server)),
        );
        deployment.replace(servers);
    }
    assert_eq!(ids.len(), 80, "each has its own id");
    let known = (0..84).filter(|server| deployment.server(*server).is_some());
    assert_eq!(known.count(), 4);
    let engine = &deployment.engine;
    assert_eq!(engine.policy.server_statuses().len(), 4);
    assert_eq!(engine.servers_pending_removal.len(), 0);
    assert!(
        (0..80).all(|id| !engine.tables.is_suspended(ServerId(id))),
        "no removed server is suspended"
    );
    let ordered = deployment.update(vec![listed_endpoint(3), listed_endpoint(99)], 30);
    let expected = SuspensionChanges {
        suspended: BTreeSet::new(),
        resumed: BTreeSet::from(["s3".to_string()]),
    };
    assert_eq!(ordered, expected, "s99 was never listed before");
}

/// Without the server's name, the order of a stalled stream would lose the suspension.
#[test]
fn a_server_in_a_pending_order_is_not_removed() {
    let mut engine = engine_with_servers();
    assert_eq!(engine.report(stream_opened(1, 0, true)), Ok(()));
    engine.tick(Micros(10_000));
    assert!(engine.take_order(StreamId(1)).is_some());
    let server = ServerId(2);
    let suspend = Action::SetSuspended {
        server,
        suspended: true,
    };
    let actions = vec![suspend, Action::DropServerState(server)];
    engine.execute_actions(Micros(20_000), actions);
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert_eq!(to_strings(&order.suspended), ["s2"]);
    let remove_from = |table| Action::SetWeight {
        table: TableId(table),
        server,
        weight: 0.0,
    };
    let actions = vec![remove_from(0), remove_from(1)];
    engine.execute_actions(Micros(30_000), actions);
    assert!(engine.take_order(StreamId(1)).is_some());
    engine.execute_actions(Micros(40_000), vec![]);
    assert_eq!(engine.names.server("s2"), None);
}
