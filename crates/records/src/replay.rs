//! The state of a fleet at one moment as recorded by one supervisor, replayed from its records.

use std::collections::{BTreeMap, BTreeSet};

use crate::pb::{self, record::Kind, Life, Record, State};

/// How far before a moment records must be read to know the state of the fleet at that moment, in microseconds. A
/// little more than the interval between two records of the whole fleet.
pub const LOOKBACK_US: i64 = 25_000_000;

/// The health, lifecycle, score and weight of one server at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerState {
    /// The name of its zone; empty if no record has named it yet.
    pub zone: String,
    /// The health state.
    pub state: State,
    /// The lifecycle according to the endpoint list.
    pub lifecycle: Life,
    /// The smoothed score; 1 for a healthy server.
    pub score: f64,
    /// The error term of the score; 1 without errors.
    pub errors: f64,
    /// The latency term of the score; 1 at the normal latency.
    pub latency: f64,
    /// The weight in the tables; 0 until a record of the whole fleet contains the server after its start.
    pub weight: f64,
    /// The share of its capacity that it has reached during slow start; 1 after it.
    pub warmth: f64,
    /// Whether it is suspended from all tables.
    pub is_suspended: bool,
    /// Whether most attempts fail according to load reports.
    pub failing: bool,
    /// The time of the last change of its state or lifecycle, in Unix microseconds; 0 if that was before the records.
    pub since_us: i64,
}

impl Default for ServerState {
    fn default() -> Self {
        ServerState {
            zone: String::new(),
            state: State::Full,
            lifecycle: Life::InService,
            score: 1.0,
            errors: 1.0,
            latency: 1.0,
            weight: 0.0,
            warmth: 1.0,
            is_suspended: false,
            failing: false,
            since_us: 0,
        }
    }
}

impl From<&pb::Server> for ServerState {
    fn from(server: &pb::Server) -> Self {
        ServerState {
            zone: server.zone.clone(),
            state: server.state(),
            lifecycle: server.life(),
            score: server.score,
            errors: server.errors,
            latency: server.latency,
            weight: server.weight,
            warmth: server.warmth,
            is_suspended: server.shut,
            failing: false,
            since_us: 0,
        }
    }
}

impl ServerState {
    /// Returns whether it serves requests without restrictions.
    pub fn is_healthy(&self) -> bool {
        self.state == State::Full && self.lifecycle == Life::InService && !self.failing
    }
}

/// The state of a fleet at one moment as recorded by one supervisor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetState {
    /// The servers, by name.
    pub servers: BTreeMap<String, ServerState>,
    /// The zones that are partitioned.
    pub partitioned_zones: BTreeSet<String>,
    /// The names of the classes, in the order of the recorded levels; empty until a record lists them.
    pub classes: Vec<String>,
    /// The last sample of metrics.
    pub gauge: Option<pb::Gauge>,
    /// The name of the service level in force; `None` if none is recorded.
    pub service_level: Option<String>,
    /// The last recorded change of the share of rejected requests.
    pub saturation: Option<pb::Saturation>,
    /// The number of the retry policy by class, as [`crate::text::retry`] prints it.
    pub retry_policies: BTreeMap<String, u32>,
    /// Whether servers that are warming up are withheld.
    pub are_warming_servers_withheld: bool,
    /// Whether the last record about discovery reported an outage.
    pub is_discovery_unavailable: bool,
    /// The numbers of the connected proxies, as far as their streams are recorded.
    pub proxies: BTreeSet<u32>,
    /// Whether the supervisor was shut down.
    pub is_stopped: bool,
    /// The time at which the last record was learned, in Unix microseconds.
    pub learned_us: i64,
}

impl FleetState {
    /// Updates the state by the next record. Records must be in order.
    pub fn apply(&mut self, record: &Record) {
        self.learned_us = record.learned_us;
        let Some(kind) = &record.kind else { return };
        match kind {
            Kind::Started(start) => self.restart(start),
            Kind::Stopped(_) => self.is_stopped = true,
            Kind::StateChanged(change) => self.change_state(change, record.at_us),
            Kind::LifeChanged(change) => self.change_lifecycle(change, record.at_us),
            Kind::ServerStarted(start) => self.start_server(start, record.at_us),
            Kind::Withdrawn(withdrawal) => {
                self.update_server(&withdrawal.server, |server| {
                    server.is_suspended = withdrawal.out;
                });
            }
            Kind::Failing(change) => {
                self.update_server(&change.server, |server| server.failing = change.failing);
            }
            Kind::ColdHeld(withholding) => self.are_warming_servers_withheld = withholding.held,
            Kind::ZoneCut(partition) => self.change_partition(partition),
            Kind::Saturation(sample) => self.saturation = Some(*sample),
            Kind::Level(change) => {
                self.retry_policies
                    .insert(change.class.clone(), change.retry);
            }
            Kind::StreamJoined(stream) => {
                self.proxies.insert(stream.proxy);
            }
            Kind::StreamLeft(stream) => {
                self.proxies.remove(&stream.proxy);
            }
            Kind::ServiceLevel(transition) => self.service_level = Some(transition.to.clone()),
            Kind::Gauge(gauge) => self.sample(gauge),
            Kind::Discovery(change) => self.is_discovery_unavailable = !change.tells,
            Kind::Fleet(fleet) => self.replace_servers(fleet, record.at_us),
            _ => {}
        }
    }

    /// Resets the state for a new incarnation; only the classes are known at its start.
    fn restart(&mut self, start: &pb::Started) {
        *self = FleetState {
            classes: start.classes.clone(),
            learned_us: self.learned_us,
            ..FleetState::default()
        };
    }

    fn change_state(&mut self, change: &pb::StateChanged, at_us: i64) {
        let server = self.server_mut(&change.server, &change.zone);
        server.state = change.state();
        server.score = change.score;
        server.errors = change.errors;
        server.latency = change.latency;
        server.since_us = at_us;
    }

    fn change_lifecycle(&mut self, change: &pb::LifeChanged, at_us: i64) {
        if change.life() == Life::Gone {
            self.servers.remove(&change.server);
            return;
        }
        let server = self.server_mut(&change.server, &change.zone);
        server.lifecycle = change.life();
        server.since_us = at_us;
    }

    fn start_server(&mut self, start: &pb::ServerStarted, at_us: i64) {
        let server = ServerState {
            zone: start.zone.clone(),
            warmth: 0.0,
            since_us: at_us,
            ..ServerState::default()
        };
        self.servers.insert(start.server.clone(), server);
    }

    fn change_partition(&mut self, partition: &pb::ZoneCut) {
        if partition.cut {
            self.partitioned_zones.insert(partition.zone.clone());
        } else {
            self.partitioned_zones.remove(&partition.zone);
        }
    }

    /// Stores a sample of metrics, which corrects the service level if levels were disabled or a change was lost.
    fn sample(&mut self, gauge: &pb::Gauge) {
        self.service_level.clone_from(&gauge.service_level);
        self.gauge = Some(gauge.clone());
    }

    fn update_server(&mut self, name: &str, update: impl FnOnce(&mut ServerState)) {
        if let Some(server) = self.servers.get_mut(name) {
            update(server);
        }
    }

    /// Returns a server, which is added if it is not known.
    fn server_mut(&mut self, name: &str, zone: &str) -> &mut ServerState {
        let server = self.servers.entry(name.to_string()).or_default();
        if server.zone.is_empty() {
            server.zone = zone.to_string();
        }
        server
    }

    /// Replaces all servers by a record of the whole fleet, which corrects the state if an event was lost.
    fn replace_servers(&mut self, fleet: &pb::Fleet, at_us: i64) {
        if !fleet.classes.is_empty() {
            self.classes.clone_from(&fleet.classes);
        }
        let old = std::mem::take(&mut self.servers);
        for recorded in &fleet.servers {
            let server = recorded_server(recorded, old.get(&recorded.name), at_us);
            self.servers.insert(recorded.name.clone(), server);
        }
    }
}

/// Returns a server from a record of the whole fleet. Fields that the record does not contain come from the former
/// state.
fn recorded_server(recorded: &pb::Server, old: Option<&ServerState>, at_us: i64) -> ServerState {
    let server = ServerState::from(recorded);
    let Some(old) = old else {
        return server;
    };
    let is_unchanged = old.state == server.state && old.lifecycle == server.lifecycle;
    ServerState {
        failing: old.failing,
        since_us: if is_unchanged { old.since_us } else { at_us },
        ..server
    }
}

#[cfg(test)]
mod tests;
