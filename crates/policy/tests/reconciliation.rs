//! Suspensions that proxies hold from another instance.

mod common;
use std::collections::BTreeSet;

use chutegrade_policy::*;
use common::*;

fn reconciles(action: &Action) -> Option<ProxyId> {
    match action {
        Action::Reconcile(proxy) => Some(*proxy),
        _ => None,
    }
}

const PROXIES: u32 = 200;
const SERVERS: u32 = 20;
const BACKLOG: f64 = 2000.0;

fn endpoint_update(lifecycle: Lifecycle, servers: std::ops::Range<u32>) -> Event {
    let endpoints = servers
        .map(|id| Endpoint {
            lifecycle,
            ..endpoint(id)
        })
        .collect();
    Event::EndpointList(EndpointUpdateKind::Delta, endpoints)
}

/// An instance all of whose proxies have just joined, and the number of tables that it assigned at once.
struct Joined {
    policy: Policy,
    assigned: usize,
}

/// Joins all proxies after the first servers have left and returned.
fn join_after_returns(returned_servers: u32, has_previous_table: bool) -> Joined {
    let settings = Settings {
        proxies: PROXIES as usize,
        channel_backlog: BACKLOG,
        ..settings()
    };
    let mut policy = Policy::new(settings, 1);
    policy.handle_events(
        ms(0),
        &[Event::EndpointList(
            EndpointUpdateKind::CachedSnapshot,
            (0..SERVERS).map(endpoint).collect(),
        )],
    );
    policy.handle_events(
        ms(10),
        &[endpoint_update(Lifecycle::Draining, 0..returned_servers)],
    );
    policy.handle_events(
        ms(20),
        &[endpoint_update(Lifecycle::InService, 0..returned_servers)],
    );
    let joined = |id: u32| Event::ProxyJoined {
        proxy: ProxyId(id),
        zone: ZoneId(0),
        request_rate: 10.0,
        has_previous_table,
    };
    let joins: Vec<Event> = (0..PROXIES).map(joined).collect();
    let actions = policy.handle_events(ms(100), &joins);
    let assigned = actions
        .iter()
        .filter(|action| matches!(action, Action::AssignTable { .. }))
        .count();
    Joined { policy, assigned }
}

/// Proxies retain suspensions when they change instances. The first table corrects those of servers that left here, and
/// the rest is corrected once the channel is free. After the loss of an instance, uncounted lines would fill the
/// channel, and correcting all servers at once would delay the first tables of the last proxies.
#[test]
fn reconciliation_of_joining_proxies_counts_against_the_channel_backlog() {
    let new = join_after_returns(0, false).assigned;
    let left = join_after_returns(SERVERS, true).assigned;
    let Joined {
        mut policy,
        assigned: with_previous_table,
    } = join_after_returns(0, true);
    // Twenty weights, two levels, the line of the complete table and the header; one more line for each server that
    // left.
    assert!(
        new as f64 * (20.0 + 3.0 + 6.0) <= BACKLOG && new > 30,
        "{new}"
    );
    assert!(
        left as f64 * (40.0 + 3.0 + 6.0) <= BACKLOG && left > 15 && left < new,
        "{left}"
    );
    assert_eq!(
        with_previous_table, new,
        "servers that never left here are corrected later"
    );

    let mut reconciled = BTreeSet::new();
    for second in 1..60 {
        let actions = policy.handle_events(ms(1000 * second), &[Event::Timer(1)]);
        let reconciled_now: Vec<ProxyId> = actions.iter().filter_map(reconciles).collect();
        // Twenty lines each, and the header.
        assert!(
            reconciled_now.len() as f64 * (20.0 + 6.0) <= BACKLOG,
            "{}",
            reconciled_now.len()
        );
        reconciled.extend(reconciled_now);
        let sequence = requested_sequence(&actions).unwrap_or_default();
        let acknowledgement = |id| Event::Acknowledged {
            proxy: ProxyId(id),
            sequence,
            elapsed: ms(10),
        };
        let acknowledgements: Vec<Event> = (0..PROXIES).map(acknowledgement).collect();
        policy.handle_events(ms(1000 * second + 100), &acknowledgements);
    }
    assert_eq!(
        reconciled.len(),
        200,
        "each proxy is corrected once there is capacity"
    );
}
