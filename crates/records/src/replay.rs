//! The state of a fleet at one moment, as one supervisor saw it, replayed from its records.

use std::collections::{BTreeMap, BTreeSet};

use crate::pb::{self, record::Kind, Life, Record, State};

/// How long before a moment its records must be read to know the fleet at that moment, in microseconds: a little more than the
/// interval between two records of all servers.
pub const LOOKBACK_US: i64 = 25_000_000;

/// The state of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerState {
    /// The zone.
    pub zone: String,
    /// The health state.
    pub state: State,
    /// The lifecycle, as the endpoint list has it.
    pub lifecycle: Life,
    /// The smoothed score, 1 for a healthy server.
    pub score: f64,
    /// The error term of the score; 1 without errors.
    pub errors: f64,
    /// The latency term of the score; 1 at the usual latency.
    pub latency: f64,
    /// The weight in the tables.
    pub weight: f64,
    /// The share of its capacity that it has reached since its start.
    pub warmth: f64,
    /// Whether it is suspended from all tables.
    pub is_suspended: bool,
    /// Whether reports show that most attempts fail.
    pub failing: bool,
    /// When its state or lifecycle last changed, in Unix microseconds; 0 if that was before the records.
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

/// The state of a fleet at one moment, as one supervisor saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetState {
    /// The servers, by name.
    pub servers: BTreeMap<String, ServerState>,
    /// The zones that are partitioned.
    pub partitioned_zones: BTreeSet<String>,
    /// The names of the classes, as far as they are recorded.
    pub classes: Vec<String>,
    /// The last sample of metrics.
    pub gauge: Option<pb::Gauge>,
    /// The service level in force, where there are levels.
    pub service_level: Option<String>,
    /// The last change of the saturation.
    pub saturation: Option<pb::Saturation>,
    /// The retry policy, by class.
    pub retry_policies: BTreeMap<String, u32>,
    /// Whether servers that are warming up are withheld.
    pub are_warming_servers_withheld: bool,
    /// Whether discovery is unavailable.
    pub is_discovery_unavailable: bool,
    /// The proxies that are connected, as far as that is recorded.
    pub proxies: BTreeSet<u32>,
    /// Whether the supervisor was shut down.
    pub is_stopped: bool,
    /// When the last record was learned, in Unix microseconds.
    pub learned_us: i64,
}

impl FleetState {
    /// Applies the next record.
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

    /// A new incarnation knows nothing but the classes.
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

    /// A sample corrects the service level where levels were disabled or a change was lost.
    fn sample(&mut self, of: &pb::Gauge) {
        self.service_level.clone_from(&of.service_level);
        self.gauge = Some(of.clone());
    }

    fn update_server(&mut self, name: &str, update: impl FnOnce(&mut ServerState)) {
        if let Some(server) = self.servers.get_mut(name) {
            update(server);
        }
    }

    /// A server, which is added if it is not known.
    fn server_mut(&mut self, name: &str, zone: &str) -> &mut ServerState {
        let server = self.servers.entry(name.to_string()).or_default();
        if server.zone.is_empty() {
            server.zone = zone.to_string();
        }
        server
    }

    /// A record of all servers corrects the state where an event was lost.
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

/// A server of a record of all servers. What the record doesn't hold comes from the state before it.
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
