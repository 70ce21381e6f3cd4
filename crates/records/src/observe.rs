//! Which servers fail most attempts, as reports show before any state follows from them. It decides nothing; it is for whoever
//! asks later what came first.

use std::collections::BTreeSet;

use crate::pb::Failing;

/// Least attempts in a report that count.
const MIN_ATTEMPTS: f64 = 4.0;
/// Share of failed attempts from which a server is failing.
const FAILING_FROM: f64 = 0.5;
/// Share of failed attempts below which a failing server has recovered.
const RECOVERED_BELOW: f64 = 0.1;
/// Most failing servers that are remembered: all of a large fleet, seen from several zones.
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
    /// Takes in a report of the proxies of a zone on a server. Returns a record if the server begins or ceases to fail.
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

    /// Forgets a server that is gone.
    pub fn remove(&mut self, server: &str) {
        self.failing.retain(|observed| observed.server != server);
    }
}

#[cfg(test)]
mod tests;
