//! The rules on sockets, judged from the bytes alone: random conditions and disturbances drive the engine, its orders are
//! encoded as they would be written, and an account of the channel is kept from the text, independent of the policy's own.

mod channel;
mod checks;
mod conditions;
mod disturbances;
mod simulation;

use chutegrade_emulators::tables::CLASSES;
use proptest::prelude::*;

use channel::ProxyState;
use conditions::{
    any_conditions, any_crossing_disturbances, Conditions, Disturbance, ScheduledDisturbance,
};
use simulation::{Checks, Simulation};

/// Conditions under which the channel could carry two complete fleets of tables within the drain grace.
fn with_a_fast_channel(conditions: Conditions, pace: f64) -> Conditions {
    Conditions {
        backlog: 3.0 + conditions.backlog,
        fleets_per_s: 2.0,
        pace,
        lost_acknowledgements: 0.1 * conditions.lost_acknowledgements,
        max_stall_steps: 0,
        max_messages: 0,
        ..conditions
    }
}

/// Conditions under which the channel takes seconds for a complete fleet of tables, but loses nothing.
fn slow_lossless_channel() -> Conditions {
    Conditions {
        seed: 3,
        proxies: 60,
        servers: 24,
        head_lines: 4,
        max_messages: 0,
        backlog: 3.0,
        fleets_per_s: 0.115,
        pace: 1.0,
        lost_acknowledgements: 0.0,
        max_stall_steps: 0,
        added_servers: 0,
        disturbances: vec![],
    }
}

/// Whether a proxy's tables have a weight for a server.
fn has_weight(proxy: &ProxyState, server: &str) -> bool {
    proxy
        .tables
        .rows
        .get(CLASSES[0])
        .is_some_and(|rows| rows.contains_key(server))
}

fn is_withheld(proxy: &ProxyState, server: &str) -> bool {
    proxy.tables.suspended.contains(server) && has_weight(proxy, server)
}

/// A restarted supervisor does not know servers that were removed before its start: only complete tables remove them from
/// the proxies that join it at once, so all tables must be sent within the grace. The channel here sends 60 of them in
/// 2.3 s, with each server resumed in 3.9 s; the grace and the slack allow 2.8. The rest follows as capacity allows.
#[test]
fn all_proxies_of_another_supervisor_join_within_the_grace() {
    let mut simulation = Simulation::new(slow_lossless_channel());
    simulation
        .run(Checks::ChannelAndProxies)
        .expect("the rules");
    for proxy in &mut simulation.proxies {
        proxy
            .tables
            .apply("push drop=s20,s21")
            .expect("another supervisor's order");
    }
    simulation.conditions.disturbances = [
        Disturbance::BreakStreams {
            percent: 100,
            as_new: false,
        },
        Disturbance::Drain(4),
    ]
    .map(|disturbance| ScheduledDisturbance {
        pause_steps: 1,
        disturbance,
    })
    .to_vec();
    simulation
        .run(Checks::ChannelAndProxies)
        .expect("the rules");
    for server in ["s20", "s21"] {
        let mut proxies = simulation.proxies.iter();
        assert!(
            proxies.any(|proxy| has_weight(proxy, server)),
            "{server} is in use"
        );
        let mut proxies = simulation.proxies.iter();
        assert!(
            !proxies.any(|proxy| is_withheld(proxy, server)),
            "{server} is resumed"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the settings, the pace of the channel, and the acknowledgements that are lost: no message goes beyond what
    /// may wait, nor beyond what one proxy may get.
    #[test]
    fn the_channel_never_holds_more_than_it_may(conditions in any_conditions()) {
        Simulation::new(conditions).run(Checks::Channel)?;
    }

    /// Where the channel could carry two complete fleets of tables within the grace, drains are kept and no proxy is left
    /// without a server, though the channel is slow and acknowledgements are lost.
    #[test]
    fn drains_are_kept_and_no_proxy_is_without_servers_in_a_short_queue(
        conditions in any_conditions(),
        pace in 0.2..1.0f64,
    ) {
        Simulation::new(with_a_fast_channel(conditions, pace)).run(Checks::ChannelAndProxies)?;
    }

    /// The five rules, whatever happens in one turn and in whatever order: streams that replace one another, drains and
    /// returns under other addresses, snapshots, acknowledgements long past, health checks of processes that are gone, and
    /// retries requested that would run twice.
    #[test]
    fn the_rules_are_kept_whatever_happens_in_one_turn(
        conditions in any_conditions(),
        disturbances in any_crossing_disturbances(),
        pace in 0.2..1.0f64,
    ) {
        // A channel made for the fleet as it grows: what it cannot carry within the grace no order of events mends.
        let added_servers = disturbances.iter().map(ScheduledDisturbance::added_servers).sum();
        let conditions = with_a_fast_channel(conditions, pace);
        let conditions = Conditions { added_servers, disturbances, ..conditions };
        Simulation::new(conditions).run(Checks::ChannelAndProxies)?;
    }
}
