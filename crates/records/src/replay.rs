//! The state of things at one moment, folded from records: what the console shows and the report's charts are drawn from.

use std::collections::{BTreeMap, BTreeSet};

use crate::pb::{self, record::Kind, Life, Record, State};

/// How far before a moment its records must be read to know the whole fleet then, in microseconds: a little more than the
/// time between two records of all servers.
pub const LOOK_BACK_US: i64 = 25_000_000;

/// A server as it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its zone.
    pub zone: String,
    /// Its state.
    pub state: State,
    /// What the list says of its life.
    pub life: Life,
    /// Its smoothed score.
    pub score: f64,
    /// The error term, 1 being free.
    pub errors: f64,
    /// The latency term.
    pub latency: f64,
    /// Its weight.
    pub weight: f64,
    /// Share of its capacity that it is sure to have since its start.
    pub warmth: f64,
    /// It is shut out of all tables.
    pub shut: bool,
    /// Reports tell that most tries fail.
    pub failing: bool,
    /// When its state or life last changed, in Unix microseconds; 0 if that was before what is known.
    pub since_us: i64,
}

impl Default for Server {
    fn default() -> Self {
        Server {
            zone: String::new(),
            state: State::Full,
            life: Life::InService,
            score: 1.0,
            errors: 1.0,
            latency: 1.0,
            weight: 0.0,
            warmth: 1.0,
            shut: false,
            failing: false,
            since_us: 0,
        }
    }
}

impl From<&pb::Server> for Server {
    fn from(of: &pb::Server) -> Self {
        Server {
            zone: of.zone.clone(),
            state: of.state(),
            life: of.life(),
            score: of.score,
            errors: of.errors,
            latency: of.latency,
            weight: of.weight,
            warmth: of.warmth,
            shut: of.shut,
            failing: false,
            since_us: 0,
        }
    }
}

impl Server {
    /// Whether requests go there as usual.
    pub fn is_well(&self) -> bool {
        self.state == State::Full && self.life == Life::InService && !self.failing
    }
}

/// One supervisor's view at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Picture {
    /// Servers by name; those that are gone leave.
    pub servers: BTreeMap<String, Server>,
    /// Zones that are cut off.
    pub cut: BTreeSet<String>,
    /// Names of the classes, as far as a start told.
    pub classes: Vec<String>,
    /// The last figures.
    pub gauge: Option<pb::Gauge>,
    /// The level of service in force, where there are levels.
    pub service_level: Option<String>,
    /// The last word on saturation.
    pub saturation: Option<pb::Saturation>,
    /// Way of trying again by class.
    pub retries: BTreeMap<String, u32>,
    /// Cold servers are held out.
    pub cold_held: bool,
    /// Discovery is silent.
    pub discovery_silent: bool,
    /// Proxies whose streams stand, as far as joins were seen.
    pub proxies: BTreeSet<u32>,
    /// The supervisor has stopped as asked.
    pub stopped: bool,
    /// When the last record was learned, in Unix microseconds.
    pub learned_us: i64,
}

impl Picture {
    /// Carries the picture on by one record.
    pub fn apply(&mut self, record: &Record) {
        self.learned_us = record.learned_us;
        let Some(kind) = &record.kind else { return };
        match kind {
            Kind::Started(of) => {
                *self = Picture {
                    classes: of.classes.clone(),
                    learned_us: record.learned_us,
                    ..Picture::default()
                };
            }
            Kind::Stopped(_) => self.stopped = true,
            Kind::StateChanged(of) => {
                let state = of.state();
                let server = self.server(&of.server, &of.zone);
                (server.state, server.score) = (state, of.score);
                (server.errors, server.latency) = (of.errors, of.latency);
                server.since_us = record.at_us;
            }
            Kind::LifeChanged(of) => {
                let life = of.life();
                if life == Life::Gone {
                    self.servers.remove(&of.server);
                    return;
                }
                let server = self.server(&of.server, &of.zone);
                (server.life, server.since_us) = (life, record.at_us);
            }
            Kind::ServerStarted(of) => {
                let zone = of.zone.clone();
                self.servers.insert(
                    of.server.clone(),
                    Server {
                        zone,
                        warmth: 0.0,
                        since_us: record.at_us,
                        ..Server::default()
                    },
                );
            }
            Kind::Withdrawn(of) => {
                if let Some(server) = self.servers.get_mut(&of.server) {
                    server.shut = of.out;
                }
            }
            Kind::Failing(of) => {
                if let Some(server) = self.servers.get_mut(&of.server) {
                    server.failing = of.failing;
                }
            }
            Kind::ColdHeld(of) => self.cold_held = of.held,
            Kind::ZoneCut(of) if of.cut => {
                self.cut.insert(of.zone.clone());
            }
            Kind::ZoneCut(of) => {
                self.cut.remove(&of.zone);
            }
            Kind::Saturation(of) => self.saturation = Some(*of),
            Kind::Level(of) => {
                self.retries.insert(of.class.clone(), of.retry);
            }
            Kind::StreamJoined(of) => {
                self.proxies.insert(of.proxy);
            }
            Kind::StreamLeft(of) => {
                self.proxies.remove(&of.proxy);
            }
            Kind::ServiceLevel(of) => self.service_level = Some(of.to.clone()),
            Kind::Gauge(of) => {
                // Where levels were switched off, or a change was lost, the figures put it right.
                self.service_level.clone_from(&of.service_level);
                self.gauge = Some(of.clone());
            }
            Kind::Discovery(of) => self.discovery_silent = !of.tells,
            Kind::Fleet(of) => self.fleet(of, record.at_us),
            _ => {}
        }
    }

    fn server(&mut self, name: &str, zone: &str) -> &mut Server {
        let known = self.servers.entry(name.to_string()).or_default();
        if known.zone.is_empty() {
            known.zone = zone.to_string();
        }
        known
    }

    /// A record of all servers tells how things stand, also those of which an event was lost.
    fn fleet(&mut self, fleet: &pb::Fleet, at_us: i64) {
        let before = std::mem::take(&mut self.servers);
        if !fleet.classes.is_empty() {
            self.classes.clone_from(&fleet.classes);
        }
        for of in &fleet.servers {
            let known = before.get(&of.name);
            let (state, life) = (of.state(), of.life());
            let same = known.filter(|known| (known.state, known.life) == (state, life));
            let since_us = same.map_or(if known.is_some() { at_us } else { 0 }, |known| {
                known.since_us
            });
            let failing = known.is_some_and(|known| known.failing);
            let server = Server {
                failing,
                since_us,
                ..Server::from(of)
            };
            self.servers.insert(of.name.clone(), server);
        }
    }
}

#[cfg(test)]
mod tests;
