//! The rules of the tests over sockets, checked on encoded messages: random conditions and disturbances drive the
//! engine, its orders are encoded, and the backlog of the channel is computed from the text, independently of the
//! policy.

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

/// Conditions under which the channel can send complete tables to all proxies twice within the drain grace.
fn with_a_fast_channel(conditions: Conditions, rate_factor: f64) -> Conditions {
    Conditions {
        backlog: 3.0 + conditions.backlog,
        fleets_per_s: 2.0,
        rate_factor,
        lost_acknowledgements: 0.1 * conditions.lost_acknowledgements,
        stall_steps: 0,
        max_messages: 0,
        ..conditions
    }
}

/// Conditions under which the channel takes seconds to send complete tables to all proxies, but loses nothing.
fn slow_lossless_channel() -> Conditions {
    Conditions {
        seed: 3,
        proxies: 60,
        servers: 24,
        head_lines: 4,
        max_messages: 0,
        backlog: 3.0,
        fleets_per_s: 0.115,
        rate_factor: 1.0,
        lost_acknowledgements: 0.0,
        stall_steps: 0,
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

fn is_suspended(proxy: &ProxyState, server: &str) -> bool {
    proxy.tables.suspended.contains(server) && has_weight(proxy, server)
}

/// A restarted supervisor does not know servers that were removed before its start: only complete tables remove them
/// from proxies, so all must be sent within the grace. The channel sends 60 tables in 2.3 s, and takes 3.9 s if it also
/// resumes each server; grace and slack allow 2.8 s, so servers are resumed afterwards.
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
            .expect("an order of another supervisor");
    }
    simulation.conditions.disturbances = [
        Disturbance::BreakStreams {
            percent: 100,
            loses_state: false,
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
            !proxies.any(|proxy| is_suspended(proxy, server)),
            "{server} is resumed"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// With any settings, channel rate and lost acknowledgements, no message exceeds the backlog or the limit of one
    /// proxy.
    #[test]
    fn the_backlog_and_the_messages_per_proxy_stay_within_their_limits(conditions in any_conditions()) {
        Simulation::new(conditions).run(Checks::Channel)?;
    }

    /// If the channel can send complete tables to all proxies twice within the grace, proxies stop picking draining
    /// servers and always have servers, although the channel is slow and acknowledgements are lost.
    #[test]
    fn drains_take_effect_and_every_proxy_has_servers_on_a_slow_channel(
        conditions in any_conditions(),
        rate_factor in 0.2..1.0f64,
    ) {
        Simulation::new(with_a_fast_channel(conditions, rate_factor)).run(Checks::ChannelAndProxies)?;
    }

    /// The five rules must hold when events arrive in one tick in any order: replaced streams, drains and returns at
    /// other addresses, snapshots, old acknowledgements, health checks of former processes, and requests for unsafe
    /// retries.
    #[test]
    fn the_rules_hold_for_any_events_in_one_tick(
        conditions in any_conditions(),
        disturbances in any_crossing_disturbances(),
        rate_factor in 0.2..1.0f64,
    ) {
        // The channel is dimensioned for the grown fleet: no order of events helps if it cannot carry the tables within
        // the grace.
        let added_servers = disturbances.iter().map(ScheduledDisturbance::added_servers).sum();
        let conditions = with_a_fast_channel(conditions, rate_factor);
        let conditions = Conditions { added_servers, disturbances, ..conditions };
        Simulation::new(conditions).run(Checks::ChannelAndProxies)?;
    }
}
