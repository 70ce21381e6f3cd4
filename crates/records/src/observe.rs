//! Detects servers that fail most attempts from load reports, before their health state changes. Used only for records,
//! to show later how an incident began; no decision depends on it.

use std::collections::BTreeSet;

use crate::pb::Failing;

/// Minimum number of attempts in a report that is evaluated.
const MIN_ATTEMPTS: f64 = 4.0;
/// Minimum share of failed attempts at which a server is failing.
const FAILING_FROM: f64 = 0.5;
/// Share of failed attempts below which a failing server has recovered.
const RECOVERED_BELOW: f64 = 0.1;
/// Maximum number of failing servers that are tracked: all of a large fleet, as seen from several zones.
const MAX_FAILING: usize = 20_000;

/// A server as the proxies of a zone see it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ObservedServer {
    server: String,
    proxy_zone: String,
}

/// The servers that fail most attempts, by the zone of the proxies.
#[derive(Debug, Default)]
pub struct FailingServers {
    failing: BTreeSet<ObservedServer>,
}

impl FailingServers {
    /// Evaluates a load report of the proxies of a zone on a server. Returns a record if the server starts or stops
    /// failing.
    pub fn record_report(
        &mut self,
        zone: &str,
        server: &str,
        attempts: f64,
        failed: f64,
    ) -> Option<Failing> {
        if attempts < MIN_ATTEMPTS {
            return None;
        }
        let observed = ObservedServer {
            server: server.to_string(),
            proxy_zone: zone.to_string(),
        };
        let failed_share = failed / attempts;
        let was_failing = self.failing.contains(&observed);
        let has_capacity = self.failing.len() < MAX_FAILING;
        let failing = if failed_share >= FAILING_FROM && !was_failing && has_capacity {
            self.failing.insert(observed);
            true
        } else if failed_share < RECOVERED_BELOW && was_failing {
            self.failing.remove(&observed);
            false
        } else {
            return None;
        };
        Some(Failing {
            server: server.to_string(),
            zone: zone.to_string(),
            failing,
            tries: attempts,
            failed,
        })
    }

    /// Stops tracking a server, as when it leaves the endpoint list.
    pub fn remove(&mut self, server: &str) {
        self.failing.retain(|observed| observed.server != server);
    }
}

#[cfg(test)]
mod tests;
