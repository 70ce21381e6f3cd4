//! The content of orders.

use super::*;

/// Maximum number of updates that the protocol allows in one message.
const MAX_UPDATES: usize = 64;

#[test]
fn a_joined_proxy_gets_its_complete_table_in_one_message_with_an_acknowledgement_request() {
    let mut engine = engine_with_servers();
    assert_eq!(engine.report(stream_opened(1, 0, true)), Ok(()));
    engine.tick(Micros(10_000));
    assert_eq!(
        engine.take_streams_with_orders(),
        BTreeSet::from([StreamId(1)])
    );
    let order = engine.take_order(StreamId(1)).expect("an order");
    let mut updates = order.updates.iter();
    let complete = updates
        .find(|update| update.replace)
        .expect("a complete table");
    assert!(complete.classes.is_empty(), "one table serves all classes");
    assert_eq!(complete.weights.len(), 4);
    assert!(complete.weights.iter().all(|entry| entry.weight > 0.0));
    assert!(order.acknowledge.is_some());
    assert!(
        order.suspended.is_empty() && order.resumed.is_empty(),
        "a new proxy has no suspensions"
    );
    assert_eq!(engine.take_order(StreamId(1)), None);
}

#[test]
fn a_proxy_with_a_previous_table_is_ordered_to_resume_servers_that_are_not_suspended() {
    let mut engine = engine_with_servers();
    let set_suspended = |suspended| Action::SetSuspended {
        server: ServerId(3),
        suspended,
    };
    let actions = vec![set_suspended(true), set_suspended(false)];
    engine.execute_actions(Micros(0), actions);
    assert_eq!(engine.report(stream_opened(1, 0, false)), Ok(()));
    engine.tick(Micros(10_000));
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert_eq!(
        to_strings(&order.resumed),
        ["s3"],
        "the other servers were never suspended here"
    );
    acknowledge(&mut engine, StreamId(1), &order, Micros(1000));
    let timer = *engine.timers.first().expect("the module's own timer");
    engine.tick(timer.due_at);
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert_eq!(
        to_strings(&order.resumed),
        ["s0", "s1", "s2"],
        "the other servers follow once the channel has capacity"
    );
    let draining = NamedEndpoint {
        lifecycle: Lifecycle::Draining,
        ..listed_endpoint(2)
    };
    report_endpoints(&mut engine, EndpointUpdateKind::Delta, vec![draining]);
    engine.tick(Micros(900_000));
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert_eq!(to_strings(&order.suspended), ["s2"]);
    assert!(order.resumed.is_empty());
}

#[test]
fn reports_of_a_replaced_stream_are_rejected() {
    let mut engine = engine_with_servers();
    assert_eq!(engine.report(stream_opened(1, 0, true)), Ok(()));
    engine.tick(Micros(10_000));
    assert_eq!(engine.report(stream_opened(2, 0, false)), Ok(()));
    engine.tick(Micros(20_000));
    let acknowledgement = Report::Acknowledged {
        stream: StreamId(1),
        sequence: 1,
        elapsed: Micros(1),
    };
    assert_eq!(
        engine.report(acknowledgement),
        Err(ReportError::StreamReplaced)
    );
    assert_eq!(
        engine.report(Report::StreamLost(StreamId(1))),
        Err(ReportError::StreamReplaced)
    );
    assert_eq!(engine.take_order(StreamId(1)), None);
    let order = engine
        .take_order(StreamId(2))
        .expect("an order on the new stream");
    assert!(order.updates.iter().any(|update| update.replace));
}

#[test]
fn an_order_never_has_more_updates_than_the_protocol_allows() {
    let mut engine = engine(32);
    let endpoints = (0..40).map(listed_endpoint).collect();
    report_endpoints(&mut engine, EndpointUpdateKind::CachedSnapshot, endpoints);
    assert_eq!(engine.report(stream_opened(1, 0, true)), Ok(()));
    let actions = (0..32).flat_map(separate_table).collect();
    engine.execute_actions(Micros(0), actions);
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert!(order.updates.len() <= MAX_UPDATES);
    let replaced = order.updates.iter().filter(|update| update.replace);
    assert_eq!(replaced.count(), 32);
}

/// Creates a separate table for one class, with a weight and an admission level that differ from all others.
fn separate_table(class: u16) -> [Action; 3] {
    let table = TableId(class);
    let classes = ClassSet::default().with(usize::from(class));
    [
        Action::SetWeight {
            table,
            server: ServerId(u32::from(class)),
            weight: 1.0,
        },
        Action::SetAdmission {
            table: Some(table),
            classes,
            level: f64::from(class + 1) / 40.0,
            retry: Retry::Never,
        },
        Action::AssignTable {
            proxy: ProxyId(0),
            table,
            classes,
        },
    ]
}

/// A server that is removed from a complete table before the table is written adds no line to the message.
#[test]
fn a_complete_table_never_contains_a_removed_server() {
    let mut engine = engine_with_servers();
    assert_eq!(engine.report(stream_opened(1, 0, true)), Ok(()));
    let table = TableId(900);
    let set_weight = |server, weight| Action::SetWeight {
        table,
        server: ServerId(server),
        weight,
    };
    let assign = Action::AssignTable {
        proxy: ProxyId(0),
        table,
        classes: ClassSet::default(),
    };
    let actions = vec![set_weight(1, 1.0), set_weight(2, 1.0), assign];
    engine.execute_actions(Micros(0), actions);
    engine.execute_actions(Micros(0), vec![set_weight(1, 0.0)]);
    let order = engine.take_order(StreamId(1)).expect("an order");
    assert_eq!(order.updates[0].weights, [ServerWeight::new("s2", 1.0)]);
}

/// A check has no other change, and reaches the one proxy alone.
#[test]
fn a_liveness_check_is_an_acknowledgement_request_alone() {
    let mut engine = engine_with_servers();
    for proxy in 0..2 {
        let opened = stream_opened(u64::from(proxy) + 1, proxy, true);
        assert_eq!(engine.report(opened), Ok(()));
    }
    engine.tick(Micros(10));
    while engine.take_order(StreamId(1)).is_some() {}
    while engine.take_order(StreamId(2)).is_some() {}
    let actions = vec![
        Action::CheckLiveness(ProxyId(0)),
        Action::RequestAcknowledgement {
            sequence: 9,
            all_proxies: false,
        },
    ];
    engine.execute_actions(Micros(20), actions);
    let check = Order {
        acknowledge: Some(9),
        ..Order::default()
    };
    assert_eq!(engine.take_order(StreamId(1)), Some(check));
    assert_eq!(engine.take_order(StreamId(2)), None);
}

#[test]
fn a_liveness_check_of_a_replaced_stream_is_rejected() {
    let mut engine = engine_with_servers();
    assert_eq!(engine.report(stream_opened(1, 0, true)), Ok(()));
    assert_eq!(engine.report(stream_opened(2, 0, false)), Ok(()));
    assert_eq!(
        engine.report(Report::LivenessCheckDue(StreamId(1))),
        Err(ReportError::StreamReplaced)
    );
}
