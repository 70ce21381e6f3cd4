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
    /// The weight in the tables; 0 until a record of the whole fleet contains the server.
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
    fn from(of: &pb::Server) -> Self {
        ServerState {
            zone: of.zone.clone(),
            state: of.state(),
            lifecycle: of.life(),
            score: of.score,
            errors: of.errors,
            latency: of.latency,
            weight: of.weight,
            warmth: of.warmth,
            is_suspended: of.shut,
            failing: false,
            since_us: 0,
        }
    }
}

impl ServerState {
    /// Whether it serves requests without restrictions.
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
            Kind::Started(of) => self.restart(of),
            Kind::Stopped(_) => self.is_stopped = true,
            Kind::StateChanged(of) => self.change_state(of, record.at_us),
            Kind::LifeChanged(of) => self.change_lifecycle(of, record.at_us),
            Kind::ServerStarted(of) => self.start_server(of, record.at_us),
            Kind::Withdrawn(of) => {
                self.update_server(&of.server, |server| server.is_suspended = of.out);
            }
            Kind::Failing(of) => {
                self.update_server(&of.server, |server| server.failing = of.failing);
            }
            Kind::ColdHeld(of) => self.are_warming_servers_withheld = of.held,
            Kind::ZoneCut(of) => self.change_partition(of),
            Kind::Saturation(of) => self.saturation = Some(*of),
            Kind::Level(of) => {
                self.retry_policies.insert(of.class.clone(), of.retry);
            }
            Kind::StreamJoined(of) => {
                self.proxies.insert(of.proxy);
            }
            Kind::StreamLeft(of) => {
                self.proxies.remove(&of.proxy);
            }
            Kind::ServiceLevel(of) => self.service_level = Some(of.to.clone()),
            Kind::Gauge(of) => self.sample(of),
            Kind::Discovery(of) => self.is_discovery_unavailable = !of.tells,
            Kind::Fleet(of) => self.replace_servers(of, record.at_us),
            _ => {}
        }
    }

    /// Resets the state for a new incarnation; only the classes are known at its start.
    fn restart(&mut self, of: &pb::Started) {
        *self = FleetState {
            classes: of.classes.clone(),
            learned_us: self.learned_us,
            ..FleetState::default()
        };
    }

    fn change_state(&mut self, of: &pb::StateChanged, at_us: i64) {
        let server = self.server_mut(&of.server, &of.zone);
        server.state = of.state();
        server.score = of.score;
        server.errors = of.errors;
        server.latency = of.latency;
        server.since_us = at_us;
    }

    fn change_lifecycle(&mut self, of: &pb::LifeChanged, at_us: i64) {
        if of.life() == Life::Gone {
            self.servers.remove(&of.server);
            return;
        }
        let server = self.server_mut(&of.server, &of.zone);
        server.lifecycle = of.life();
        server.since_us = at_us;
    }

    fn start_server(&mut self, of: &pb::ServerStarted, at_us: i64) {
        let server = ServerState {
            zone: of.zone.clone(),
            warmth: 0.0,
            since_us: at_us,
            ..ServerState::default()
        };
        self.servers.insert(of.server.clone(), server);
    }

    fn change_partition(&mut self, of: &pb::ZoneCut) {
        if of.cut {
            self.partitioned_zones.insert(of.zone.clone());
        } else {
            self.partitioned_zones.remove(&of.zone);
        }
    }

    /// Stores a sample of metrics, which corrects the service level if levels were disabled or a change was lost.
    fn sample(&mut self, of: &pb::Gauge) {
        self.service_level.clone_from(&of.service_level);
        self.gauge = Some(of.clone());
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
        for of in &fleet.servers {
            let server = recorded_server(of, old.get(&of.name), at_us);
            self.servers.insert(of.name.clone(), server);
        }
    }
}

/// Returns a server from a record of the whole fleet. Fields that the record does not contain come from the former
/// state.
fn recorded_server(of: &pb::Server, old: Option<&ServerState>, at_us: i64) -> ServerState {
    let server = ServerState::from(of);
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
