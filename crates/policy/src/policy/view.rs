//! What the decisions show of themselves. Nothing here decides or changes anything.

use crate::interface::*;
use crate::state::{clamp01, Server};

use super::{Policy, ADMIT};

impl Policy {
    /// All servers of the list, as they stand.
    pub fn standings(&self) -> impl Iterator<Item = (ServerId, Standing)> + '_ {
        let listed = self
            .servers
            .iter()
            .filter(|(_, server)| server.entry.life != Lifecycle::Gone);
        listed.map(|(id, server)| {
            let (entry, state, score, terms) =
                (server.entry, server.state, server.score, server.terms);
            let (weight, warmth, shut) = (server.weight, server.warmth, server.shut);
            (
                *id,
                Standing {
                    entry,
                    state,
                    score,
                    terms,
                    weight,
                    warmth,
                    shut,
                },
            )
        })
    }

    /// The fleet in figures.
    pub fn figures(&self) -> Figures {
        let highest = if self.settings.levels == LevelKind::PerSecond {
            ADMIT.1
        } else {
            1.0
        };
        let busiest = self
            .proxies
            .values()
            .map(|proxy| proxy.rate())
            .fold(0.0, f64::max);
        let share = |level: f64| match level {
            _ if highest <= 1.0 => level,
            rate if rate >= highest || busiest <= 0.0 => 1.0,
            rate => clamp01(rate / busiest),
        };
        let levels = (0..self.settings.classes.len()).map(|class| {
            let standing = self
                .tables
                .values()
                .filter_map(|table| table.levels.get(&class));
            standing.map(|(level, _)| share(*level)).fold(1.0, f64::min)
        });
        Figures {
            waiting: self.channel.waiting(),
            wait: Micros::from_ms(
                1000.0 * self.channel.waiting() / self.channel.pace.max(f64::MIN_POSITIVE),
            ),
            refused: self.admission.refused,
            strain: self.admission.strain,
            warm: self
                .open()
                .filter(|(_, server)| server.warmth >= 1.0)
                .map(|(_, server)| server.weight)
                .sum(),
            cut: self.cut.len() as f64 / self.settings.zones.max(1) as f64,
            demand: self.proxies.values().map(|proxy| proxy.rate()).sum(),
            levels: levels.collect(),
        }
    }

    /// Who is joined, and where.
    pub fn joined(&self) -> usize {
        self.proxies.len()
    }
}

/// What a change from this state comes from.
pub(super) fn cause(server: &Server, before: State) -> Cause {
    let (errors, latency) = server.terms;
    match (before, server.state) {
        (State::Withdrawn, _) => Cause::TriedAgain,
        (_, State::Full) => Cause::GoodTicks,
        _ if latency < errors => Cause::Latency,
        _ if server.probing.failing > 0 => Cause::Probes,
        _ if errors < latency => Cause::Errors,
        _ => Cause::Score,
    }
}
