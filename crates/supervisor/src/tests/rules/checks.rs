//! The rules, checked on the backlog of the channel and the tables of the proxies.

use std::collections::{BTreeMap, VecDeque};

use chutegrade_emulators::tables::CLASSES;
use chutegrade_engine::{Lifecycle, Micros};
use proptest::prelude::*;

use super::channel::ProxyState;
use super::simulation::{
    request_rate, Simulation, CHECK_INTERVAL, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, UNSERVED_LIMIT,
    UPDATE_WINDOW, WARM_UP_START, WARM_UP_TIME,
};

/// Tolerance of the time limits: that of the rules in the tests over sockets, and one tick of the engine.
const SLACK: Micros = Micros(800_000);

/// Work that arrives at a warming server and its capacity, at one check.
pub struct WarmUpSample {
    at: Micros,
    work: f64,
    capacity: f64,
}

impl Simulation {
    /// Checks the limits on the backlog of the channel and on the messages to one proxy.
    pub fn check_channel(&mut self, proxy: usize) -> Result<(), TestCaseError> {
        let queued_lines: f64 = self.channel.iter().map(|message| message.lines).sum();
        prop_assert!(
            queued_lines <= self.backlog,
            "{queued_lines} lines are queued, above the maximum of {}, at {:?}",
            self.backlog,
            self.now
        );
        let now = self.now;
        let written_at = &mut self.proxies[proxy].written_at;
        written_at.push_back(now);
        written_at.retain(|at| now - *at < UPDATE_WINDOW);
        let max_messages = self.conditions.max_messages as usize;
        prop_assert!(
            max_messages == 0 || written_at.len() <= max_messages,
            "{} messages to {proxy}",
            written_at.len()
        );
        Ok(())
    }

    /// Checks that proxies stop picking draining servers, get no unsafe retries and have servers to pick. Time limits
    /// are scaled to the rate of the channel.
    pub fn check_proxies(&self) -> Result<(), TestCaseError> {
        let warm_server_since = self.warm_server_since();
        for (id, proxy) in self.joined_proxies() {
            for class in CLASSES {
                self.check_drains(id, proxy, class)?;
                check_retries(id, proxy, class)?;
                if proxy.tables.picks(class).is_empty() {
                    let unserved = warm_server_since.map_or(Micros(0), |since| {
                        self.known_for(proxy, since.max(proxy.last_served_at))
                    });
                    prop_assert!(
                        unserved <= self.scaled_limit(UNSERVED_LIMIT),
                        "{id} has had no server for {unserved:?}"
                    );
                }
            }
        }
        Ok(())
    }

    /// Checks that a proxy picks no draining server for longer than the grace.
    fn check_drains(
        &self,
        id: usize,
        proxy: &ProxyState,
        class: &str,
    ) -> Result<(), TestCaseError> {
        for name in proxy.tables.picks(class) {
            let server = &self.servers[name];
            let known_for = self.known_for(proxy, server.reported_at);
            let is_allowed = server.lifecycle == Lifecycle::InService
                || known_for <= self.scaled_limit(self.drain_grace);
            prop_assert!(
                is_allowed,
                "{id} picks {name}, {:?} for {known_for:?}",
                server.lifecycle
            );
        }
        Ok(())
    }

    /// Checks that no warming server is overloaded: the work that arrives at it over any window, by the tables of the
    /// proxies, stays below [`OVERLOAD_MULTIPLE`] times its capacity. Checked from the time at which all proxies must
    /// know of its start, and while the servers in service have at least a third of the capacity that the demand needs.
    pub fn check_warming_servers(&mut self) -> Result<(), TestCaseError> {
        let known_after = self.scaled_limit(self.drain_grace);
        let in_service = self
            .servers
            .values()
            .filter(|server| server.in_service())
            .count();
        let has_enough_servers = 3.0 * (in_service as f64) >= self.demand;
        let work = self.work_by_server();
        for (name, server) in &self.servers {
            let age = server
                .started_at
                .map_or(WARM_UP_TIME, |started_at| self.now - started_at);
            let is_warming = server.in_service()
                && age < WARM_UP_TIME
                && self.now - server.reported_at >= known_after;
            if !is_warming || !has_enough_servers {
                self.warm_up_samples.remove(name);
                continue;
            }
            let samples = self.warm_up_samples.entry(name.clone()).or_default();
            samples.push_back(WarmUpSample {
                at: self.now,
                work: work.get(name).copied().unwrap_or_default(),
                capacity: WARM_UP_START + (1.0 - WARM_UP_START) * age.secs() / WARM_UP_TIME.secs(),
            });
            check_warm_up_window(name, self.now, samples)?;
        }
        Ok(())
    }

    /// Returns the work that arrives at each server, by the tables of the proxies.
    fn work_by_server(&self) -> BTreeMap<String, f64> {
        let total_rate: f64 = self.joined_proxies().map(|(id, _)| request_rate(id)).sum();
        let mut work: BTreeMap<String, f64> = BTreeMap::new();
        for (id, proxy) in self.joined_proxies() {
            let weights = proxy.tables.weights(CLASSES[0]);
            let sum: f64 = weights.clone().map(|(_, weight)| weight).sum();
            for (server, weight) in weights {
                *work.entry(server.to_string()).or_default() +=
                    self.demand * request_rate(id) / total_rate * weight / sum;
            }
        }
        work
    }

    /// Returns the earliest time from which a server in service has been reported and fully warmed up.
    fn warm_server_since(&self) -> Option<Micros> {
        let in_service = self.servers.values().filter(|server| server.in_service());
        in_service
            .map(|server| {
                let warm_at = server
                    .started_at
                    .map(|started_at| started_at + WARM_UP_TIME);
                warm_at.map_or(server.reported_at, |at| at.max(server.reported_at))
            })
            .min()
    }

    /// Returns for how long a joined proxy could have known of a report made at this time.
    fn known_for(&self, proxy: &ProxyState, reported_at: Micros) -> Micros {
        self.now - reported_at.max(proxy.joined_at)
    }

    /// Scales a time limit to the rate of the channel, and adds the tolerance.
    fn scaled_limit(&self, time: Micros) -> Micros {
        Micros((time.0 as f64 / self.conditions.rate_factor) as i64) + SLACK
    }
}

/// Checks that only the idempotent class may be retried without proof that the request was not executed.
fn check_retries(id: usize, proxy: &ProxyState, class: &str) -> Result<(), TestCaseError> {
    let retry = proxy.tables.retries.get(class).map(String::as_str);
    let is_safe =
        class == CLASSES[0] || proxy.first_table_at.is_none() || matches!(retry, Some("0" | "1"));
    prop_assert!(is_safe, "{id} may retry {class} with policy {retry:?}");
    Ok(())
}

/// Checks the samples of one window, if it is complete.
fn check_warm_up_window(
    name: &str,
    now: Micros,
    samples: &mut VecDeque<WarmUpSample>,
) -> Result<(), TestCaseError> {
    while samples
        .front()
        .is_some_and(|sample| now - sample.at > OVERLOAD_WINDOW)
    {
        samples.pop_front();
    }
    let work = samples.iter().fold(0.0, |sum, sample| sum + sample.work);
    let capacity = samples
        .iter()
        .fold(0.0, |sum, sample| sum + sample.capacity);
    let is_complete = samples
        .front()
        .is_some_and(|sample| now - sample.at >= OVERLOAD_WINDOW - CHECK_INTERVAL);
    prop_assert!(
        !is_complete || work <= OVERLOAD_MULTIPLE * capacity,
        "{name} receives {work} with a capacity of {capacity}"
    );
    Ok(())
}
