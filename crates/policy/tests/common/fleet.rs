//! A small fleet around one instance.

use std::collections::{BTreeMap, BTreeSet};

use chutegrade_policy::*;

use super::{endpoint, health_checked_after, ms, proxy_joined};

/// A small fleet around one instance. It delivers timers, answers health checks and records the tables, levels and
/// suspensions of its proxies.
pub struct Fleet {
    pub policy: Policy,
    pub now: Micros,
    timers: BTreeMap<Micros, Vec<u32>>,
    pub tables: BTreeMap<TableId, BTreeMap<ServerId, f64>>,
    pub retries: BTreeMap<usize, Retry>,
    pub levels: BTreeMap<usize, f64>,
    pub suspended: BTreeSet<ServerId>,
    pub assigned_tables: BTreeMap<ProxyId, Vec<(TableId, ClassSet)>>,
    pub actions: Vec<Action>,
    /// Servers that answer no health check.
    pub unresponsive: BTreeSet<u32>,
    /// Servers at which a health check takes `slowness` times as long.
    pub slow_health_checks: BTreeSet<u32>,
    pub slowness: i64,
    pending_health_checks: Vec<ServerId>,
    /// Times at which messages were written to each proxy since it joined.
    pub messages: BTreeMap<ProxyId, Vec<Micros>>,
    /// Whether proxies acknowledge messages, at the next timer.
    pub acknowledges: bool,
    unacknowledged: Vec<u16>,
}

impl Fleet {
    /// A fleet of `servers` long-running servers and `proxies` joined proxies.
    pub fn new(settings: Settings, servers: u32, proxies: u32) -> Fleet {
        let mut fleet = Fleet {
            policy: Policy::new(settings, 7),
            now: ms(1_000_000),
            timers: BTreeMap::new(),
            tables: BTreeMap::new(),
            retries: BTreeMap::new(),
            levels: BTreeMap::new(),
            suspended: BTreeSet::new(),
            assigned_tables: BTreeMap::new(),
            actions: Vec::new(),
            unresponsive: BTreeSet::new(),
            slow_health_checks: BTreeSet::new(),
            slowness: 2,
            pending_health_checks: Vec::new(),
            messages: BTreeMap::new(),
            acknowledges: true,
            unacknowledged: Vec::new(),
        };
        let mut events = vec![Event::EndpointList(
            EndpointUpdateKind::CachedSnapshot,
            (0..servers).map(endpoint).collect(),
        )];
        events.extend((0..proxies).map(proxy_joined));
        fleet.send(&events);
        fleet
    }

    pub fn send(&mut self, events: &[Event]) -> Vec<Action> {
        for event in events {
            if let Event::ProxyJoined { proxy, .. } | Event::ProxyLeft(proxy) = event {
                self.messages.remove(proxy);
            }
        }
        let actions = self.policy.handle_events(self.now, events);
        let mut reached = BTreeSet::new();
        for action in &actions {
            self.collect_recipients(action, &mut reached);
            self.apply(action);
        }
        for proxy in reached {
            self.messages.entry(proxy).or_default().push(self.now);
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Adds the proxies that get a message for an action.
    fn collect_recipients(&self, action: &Action, reached: &mut BTreeSet<ProxyId>) {
        let users = |table: &TableId| {
            self.assigned_tables
                .iter()
                .filter(|(_, assigned)| assigned.iter().any(|(id, _)| id == table))
                .map(|(proxy, _)| *proxy)
                .collect::<Vec<ProxyId>>()
        };
        match action {
            Action::SetWeight { table, .. }
            | Action::ClearTable(table)
            | Action::SetAdmission {
                table: Some(table), ..
            } => {
                reached.extend(users(table));
            }
            Action::AssignTable { proxy, .. } => {
                reached.insert(*proxy);
            }
            Action::SetSuspended { server, .. } => {
                let contains_server = |table: &TableId| {
                    self.tables
                        .get(table)
                        .is_some_and(|weights| weights.contains_key(server))
                };
                reached.extend(
                    self.tables
                        .keys()
                        .filter(|table| contains_server(table))
                        .flat_map(users),
                );
            }
            _ => {}
        }
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::SetWeight {
                table,
                server,
                weight,
            } => self.set_weight(*table, *server, *weight),
            Action::ClearTable(table) => {
                self.tables.remove(table);
            }
            Action::AssignTable {
                proxy,
                table,
                classes,
            } => {
                let assigned = self.assigned_tables.entry(*proxy).or_default();
                assigned.push((*table, *classes));
            }
            Action::SetSuspended { server, suspended } => {
                if *suspended {
                    self.suspended.insert(*server);
                } else {
                    self.suspended.remove(server);
                }
            }
            Action::SetAdmission {
                classes,
                retry,
                level,
                ..
            } => {
                for class in (0..32).filter(|class| classes.has(*class)) {
                    self.retries.insert(class, *retry);
                    self.levels.insert(class, *level);
                }
            }
            Action::SetTimer { id, delay } => {
                let due_at = self.now + *delay;
                self.timers.entry(due_at).or_default().push(*id);
            }
            Action::RequestAcknowledgement { sequence, .. } => self.unacknowledged.push(*sequence),
            Action::HealthCheck(server) => self.pending_health_checks.push(*server),
            _ => {}
        }
    }

    fn set_weight(&mut self, table: TableId, server: ServerId, weight: f64) {
        let weights = self.tables.entry(table).or_default();
        if weight > 0.0 {
            weights.insert(server, weight);
        } else {
            weights.remove(&server);
        }
    }

    /// Advances the time and delivers `each_second` every second.
    pub fn run(&mut self, seconds: u32, each_second: &[Event]) {
        for _ in 0..seconds {
            let end = self.now + ms(1000);
            self.send(each_second);
            while let Some((at, ids)) = self.timers.pop_first() {
                if at > end {
                    self.timers.insert(at, ids);
                    break;
                }
                self.now = self.now.max(at);
                let mut events: Vec<Event> = ids.into_iter().map(Event::Timer).collect();
                events.extend(self.acknowledgements());
                events.extend(self.health_check_results());
                self.send(&events);
            }
            self.now = end;
        }
    }

    /// The acknowledgements of all proxies for the rounds of orders since the last call.
    fn acknowledgements(&mut self) -> Vec<Event> {
        let sequences = std::mem::take(&mut self.unacknowledged);
        if !self.acknowledges {
            return Vec::new();
        }
        let mut events = Vec::new();
        for sequence in sequences {
            let acknowledgement = |proxy: &ProxyId| Event::Acknowledged {
                proxy: *proxy,
                sequence,
                elapsed: ms(200),
            };
            events.extend(self.assigned_tables.keys().map(acknowledgement));
        }
        events
    }

    fn health_check_results(&mut self) -> Vec<Event> {
        let servers = std::mem::take(&mut self.pending_health_checks);
        servers
            .into_iter()
            .map(|server| {
                let outcome = if self.unresponsive.contains(&server.0) {
                    HealthCheckOutcome::TimedOut
                } else {
                    HealthCheckOutcome::Passed
                };
                let slowness = if self.slow_health_checks.contains(&server.0) {
                    self.slowness
                } else {
                    1
                };
                health_checked_after(server, outcome, Micros(5000 * slowness))
            })
            .collect()
    }

    pub fn weight(&self, server: u32) -> f64 {
        if self.suspended.contains(&ServerId(server)) {
            return 0.0;
        }
        self.tables
            .get(&TableId(0))
            .and_then(|table| table.get(&ServerId(server)))
            .copied()
            .unwrap_or(0.0)
    }
}
