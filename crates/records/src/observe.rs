//! What reports tell at once, before any state follows from it: at which servers most tries fail, and since when. It
//! steers nothing; it is for whoever asks later what came first.

use std::collections::BTreeSet;

use crate::pb::Failing;

/// Tries in one report from which it says something.
const TRIES_LEAST: f64 = 4.0;
/// Share of failed tries at which a server counts as failing, and below which it does no more.
const FAILS: (f64, f64) = (0.5, 0.1);
/// Ways that are remembered as failing at most: all servers of a large fleet, from several zones.
const FAILING_MOST: usize = 20_000;

/// Which servers fail most tries, by zone of those who try.
#[derive(Debug, Default)]
pub struct Observer {
    failing: BTreeSet<(String, String)>,
}

impl Observer {
    /// Takes in what the proxies of a zone met at a server; tells where that is news.
    pub fn heard(&mut self, zone: &str, server: &str, tries: f64, failed: f64) -> Option<Failing> {
        if tries < TRIES_LEAST {
            return None;
        }
        let share = failed / tries;
        let way = (server.to_string(), zone.to_string());
        let failing = if share >= FAILS.0
            && !self.failing.contains(&way)
            && self.failing.len() < FAILING_MOST
        {
            self.failing.insert(way);
            true
        } else if share < FAILS.1 && self.failing.remove(&way) {
            false
        } else {
            return None;
        };
        Some(Failing {
            server: server.to_string(),
            zone: zone.to_string(),
            failing,
            tries,
            failed,
        })
    }

    /// The server is gone, whatever it was.
    pub fn forget(&mut self, server: &str) {
        self.failing.retain(|(known, _)| known != server);
    }
}

#[cfg(test)]
mod tests;
