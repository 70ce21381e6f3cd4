//! The servers of the endpoint list: their lifecycle, incarnations and ordinals, and the retry of a failed
//! subscription.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{
    Action, DecisionEvent, Endpoint, EndpointUpdateKind, Lifecycle, Micros, ServerId, Settings,
    ZoneId,
};
use crate::statistics::median;

use super::health::Health;
use super::server::Server;

/// A value for each server.
pub(super) type Weights = BTreeMap<ServerId, f64>;
/// A value for each zone.
pub(super) type ByZone = BTreeMap<ZoneId, f64>;

/// Delay before the retry of a failed subscription.
const RESUBSCRIBE_DELAY: Micros = Micros(1_000_000);
/// Number of servers of a zone that must have a value for the zone to have its own median.
const MIN_SERVERS_PER_ZONE: usize = 8;

/// The known servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Registry {
    servers: BTreeMap<ServerId, Server>,
    /// Number of servers that were listed so far, including dropped ones.
    listed_count: usize,
    resubscribe_at: Option<Micros>,
    answers: DiscoveryAnswers,
}

/// What discovery has answered since this instance started.
#[derive(Clone, Copy, Debug, Default)]
struct DiscoveryAnswers {
    /// Whether an answer is outstanding.
    is_awaited: bool,
    /// Whether there was any.
    is_heard: bool,
}

impl Registry {
    /// Applies an update of the endpoint list.
    pub fn apply_update(
        &mut self,
        now: Micros,
        settings: &Settings,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
    ) {
        match kind {
            EndpointUpdateKind::Unavailable => {
                self.resubscribe_at = Some(now + RESUBSCRIBE_DELAY);
                self.expect_answer();
                return;
            }
            EndpointUpdateKind::Pending => {
                self.expect_answer();
                return;
            }
            EndpointUpdateKind::CachedSnapshot => self.remove_unlisted(endpoints),
            EndpointUpdateKind::Snapshot => {
                self.record_answer();
                self.remove_unlisted(endpoints);
            }
            EndpointUpdateKind::Delta => self.record_answer(),
        }
        let is_first_list = self.servers.is_empty();
        // Ordinals are assigned by zone and machine kind, so that each shard gets its share of both.
        let mut ordered: Vec<&Endpoint> = endpoints.iter().collect();
        ordered.sort_by_key(|endpoint| (endpoint.zone, endpoint.machine_kind, endpoint.server));
        for endpoint in ordered {
            let is_warming_up = endpoint
                .started_at
                .is_some_and(|started| now - started < settings.slow_start_period);
            if let Some(known) = self.servers.get_mut(&endpoint.server) {
                update_known(known, *endpoint, is_warming_up);
            } else {
                self.add(*endpoint, is_warming_up, is_first_list);
            }
        }
    }

    /// Returns whether the retry of a failed subscription is due, and clears it. The caller then sends the retry.
    pub fn take_due_resubscription(&mut self, now: Micros) -> bool {
        self.resubscribe_at.take_if(|at| *at <= now).is_some()
    }

    /// Returns whether the list may be out of date because discovery has yet to answer. A server that it has in service
    /// may then have left.
    pub fn awaits_discovery(&self) -> bool {
        self.answers.is_awaited
    }

    /// Returns whether the list is that of an earlier start, or empty, because discovery has yet to answer for the first
    /// time. What proxies hold is then more recent.
    pub fn awaits_first_answer(&self) -> bool {
        self.answers.is_awaited && !self.answers.is_heard
    }

    /// Returns all known servers, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &Server)> + Clone {
        self.servers.iter()
    }

    /// Returns all known servers, by id.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&ServerId, &mut Server)> {
        self.servers.iter_mut()
    }

    /// Returns the servers that may receive requests.
    pub fn in_service(&self) -> impl Iterator<Item = (&ServerId, &Server)> + Clone {
        self.iter().filter(|(_, server)| server.is_in_service())
    }

    /// Returns the servers that may receive requests.
    pub fn in_service_mut(&mut self) -> impl Iterator<Item = (&ServerId, &mut Server)> {
        self.iter_mut().filter(|(_, server)| server.is_in_service())
    }

    /// Returns a known server.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// Returns a known server.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// Returns whether a server is known and has its full capacity.
    pub fn is_warm(&self, id: ServerId) -> bool {
        self.get(id).is_some_and(Server::is_warm)
    }

    /// Drops the state of a server.
    pub fn remove(&mut self, id: ServerId) {
        self.servers.remove(&id);
    }

    /// Returns the median of a value over the servers in service of a zone; over all zones if none is given or too few
    /// servers of the zone have a value.
    pub fn median(
        &self,
        zone: Option<ZoneId>,
        value_of: impl Fn(&Server) -> Option<f64>,
    ) -> Option<f64> {
        if let Some(zone) = zone {
            let of_zone: Vec<f64> = self
                .in_service()
                .filter(|(_, server)| server.endpoint.zone == zone)
                .filter_map(|(_, server)| value_of(server))
                .collect();
            if of_zone.len() >= MIN_SERVERS_PER_ZONE {
                return median(of_zone.into_iter());
            }
        }
        median(self.in_service().filter_map(|(_, server)| value_of(server)))
    }

    /// Reports lifecycle changes since the last call.
    pub fn report_lifecycle_changes(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for server in self.servers.values_mut() {
            let Endpoint {
                server: id,
                zone,
                lifecycle,
                ..
            } = server.endpoint;
            if server.reported_lifecycle == lifecycle {
                continue;
            }
            server.reported_lifecycle = lifecycle;
            server.lifecycle_changed_at = now;
            actions.push(Action::Emit(DecisionEvent::LifecycleChanged {
                server: id,
                zone,
                lifecycle,
            }));
        }
    }

    /// Records that an answer of discovery is outstanding.
    pub fn expect_answer(&mut self) {
        self.answers.is_awaited = true;
    }

    fn record_answer(&mut self) {
        self.answers = DiscoveryAnswers {
            is_awaited: false,
            is_heard: true,
        };
    }

    /// Marks the servers that a snapshot does not list as removed.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        for (id, server) in &mut self.servers {
            if !listed.contains(id) {
                server.endpoint.lifecycle = Lifecycle::Removed;
            }
        }
    }

    fn add(&mut self, endpoint: Endpoint, is_warming_up: bool, is_first_list: bool) {
        let health = if is_first_list && !is_warming_up {
            Health::full()
        } else {
            Health::warming_up()
        };
        // Proxies may still hold the suspension of a server whose state was dropped, so a new server in service counts
        // as suspended until it is resumed. A new server that is already leaving is suspended with all leaving servers.
        let suspended = !is_first_list && endpoint.lifecycle == Lifecycle::InService;
        let server = Server {
            suspended,
            ordinal: self.listed_count,
            ..Server::new(endpoint, health)
        };
        self.servers.insert(endpoint.server, server);
        self.listed_count += 1;
    }
}

/// Returns the zones of the deployment.
pub(super) fn zones(settings: &Settings) -> impl Iterator<Item = ZoneId> + Clone {
    (0..settings.zones.max(1) as u16).map(ZoneId)
}

/// Updates a known server by its entry. A newer start means another incarnation, which has no evidence yet.
fn update_known(known: &mut Server, endpoint: Endpoint, is_warming_up: bool) {
    let is_new_incarnation = endpoint.started_at > known.endpoint.started_at;
    if !is_new_incarnation {
        known.endpoint = endpoint;
        return;
    }
    let health = if is_warming_up {
        Health::warming_up()
    } else {
        Health::full()
    };
    *known = Server {
        suspended: known.suspended,
        ordinal: known.ordinal,
        reported_lifecycle: known.reported_lifecycle,
        ..Server::new(endpoint, health)
    };
}
