//! The conditions of a simulation, drawn by proptest so that they shrink.

use proptest::prelude::*;

/// What a simulation is made of.
#[derive(Clone, Debug)]
pub struct Conditions {
    pub seed: u64,
    pub proxies: u32,
    pub servers: u32,
    /// Lines that each message costs the channel beyond its own.
    pub head_lines: u32,
    /// Messages that one proxy may get in the update window; 0 for any number.
    pub max_messages: u32,
    /// The backlog as a multiple of the least that any order needs.
    pub backlog: f64,
    /// Complete fleets of tables that the channel can send in a second.
    pub fleets_per_s: f64,
    /// The share of that rate that the channel keeps.
    pub pace: f64,
    /// Share of acknowledgements that are lost.
    pub lost_acknowledgements: f64,
    /// Maximum number of steps for which the channel stalls.
    pub max_stall_steps: u32,
    /// Servers beyond the first ones that the channel is made for.
    pub added_servers: u32,
    /// What happens, one after another.
    pub disturbances: Vec<ScheduledDisturbance>,
}

/// A disturbance, and the pause after it.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledDisturbance {
    pub pause_steps: u32,
    pub disturbance: Disturbance,
}

impl ScheduledDisturbance {
    /// How many servers it adds to the fleet.
    pub fn added_servers(&self) -> u32 {
        match self.disturbance {
            Disturbance::AddServers(count) => count,
            _ => 0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// So many servers drain; those that drained before are removed.
    Drain(u32),
    /// So many of those that drain or are removed restart, and are back in service.
    ReturnToService(u32),
    /// So many servers are new.
    AddServers(u32),
    /// A share of the streams breaks; the proxies dial again, with what they hold or as new ones.
    BreakStreams { percent: u32, as_new: bool },
    /// This side closes a stream that lives.
    CloseStream(u32),
    /// Every server has a queue of so many requests.
    SetQueues(u32),
    /// The channel stalls.
    Stall,
    /// A proxy joins on two further streams in one turn, before its older one's end is seen, or after it.
    Rejoin(u32),
    /// So many servers in service restart at other addresses, in one delivery.
    Restart(u32),
    /// The complete current list is delivered.
    Snapshot,
    /// A proxy acknowledges a sequence number that it was never sent, and one that is long past.
    StaleAcknowledgement(u32),
    /// Health checks are held back from now on; or, if they are already, all that were held back fail.
    HoldHealthChecks,
    /// Overload limits ask for two more attempts of every class.
    RequestRetries,
}

fn any_disturbance() -> impl Strategy<Value = Disturbance> {
    prop_oneof![
        3 => (1..12u32).prop_map(Disturbance::Drain),
        2 => (1..12u32).prop_map(Disturbance::ReturnToService),
        2 => (1..12u32).prop_map(Disturbance::AddServers),
        3 => (10..101u32, any::<bool>())
            .prop_map(|(percent, as_new)| Disturbance::BreakStreams { percent, as_new }),
        1 => any::<u32>().prop_map(Disturbance::CloseStream),
        4 => (0..6u32).prop_map(Disturbance::SetQueues),
        1 => Just(Disturbance::Stall),
    ]
}

/// All that can happen.
fn any_crossing_disturbance() -> impl Strategy<Value = Disturbance> {
    prop_oneof![
        4 => any_disturbance(),
        2 => any::<u32>().prop_map(Disturbance::Rejoin),
        2 => (1..6u32).prop_map(Disturbance::Restart),
        1 => Just(Disturbance::Snapshot),
        1 => any::<u32>().prop_map(Disturbance::StaleAcknowledgement),
        2 => Just(Disturbance::HoldHealthChecks),
        1 => Just(Disturbance::RequestRetries),
    ]
}

fn scheduled((pause_steps, disturbance): (u32, Disturbance)) -> ScheduledDisturbance {
    ScheduledDisturbance {
        pause_steps,
        disturbance,
    }
}

/// Disturbances in any order, most of them in one turn.
pub fn any_crossing_disturbances() -> impl Strategy<Value = Vec<ScheduledDisturbance>> {
    let pause_steps = prop_oneof![3 => Just(0u32), 1 => 1..120u32];
    let disturbance = (pause_steps, any_crossing_disturbance()).prop_map(scheduled);
    prop::collection::vec(disturbance, 10..60)
}

/// Conditions with disturbances some steps apart.
pub fn any_conditions() -> impl Strategy<Value = Conditions> {
    let fleet = (
        any::<u64>(),
        2..60u32,
        2..24u32,
        0..9u32,
        prop_oneof![Just(0u32), 12..40u32],
    );
    let channel = (
        1.0..3.0f64,
        0.05..2.0f64,
        0.05..1.0f64,
        prop_oneof![Just(0.0), 0.0..0.9f64],
        0..150u32,
    );
    let disturbance = (1..120u32, any_disturbance()).prop_map(scheduled);
    let disturbances = prop::collection::vec(disturbance, 1..30);
    (fleet, channel, disturbances).prop_map(|(fleet, channel, disturbances)| {
        let (seed, proxies, servers, head_lines, max_messages) = fleet;
        let (backlog, fleets_per_s, pace, lost_acknowledgements, max_stall_steps) = channel;
        Conditions {
            seed,
            proxies,
            servers,
            head_lines,
            max_messages,
            backlog,
            fleets_per_s,
            pace,
            lost_acknowledgements,
            max_stall_steps,
            added_servers: 0,
            disturbances,
        }
    })
}
