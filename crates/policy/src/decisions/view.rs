//! What the decisions show of themselves. Nothing here decides or changes anything.

use crate::interface::*;
use crate::state::{clamp01, Server};

use super::{Policy, ADMIT};

impl Policy {
    /// All servers of the list, as they stand.
    pub fn server_statuses(&self) -> impl Iterator<Item = (ServerId, ServerStatus)> + '_ {
        let listed = self
            .servers
            .iter()
            .filter(|(_, server)| server.entry.lifecycle != Lifecycle::Removed);
        listed.map(|(id, server)| {
            let (entry, state, score, terms) =
                (server.entry, server.state, server.score, server.terms);
            let (weight, warmth, shut) = (server.weight, server.warmth, server.shut);
            (
                *id,
                ServerStatus {
                    endpoint: entry,
                    state,
                    score,
                    terms,
                    weight,
                    warm_up_share: warmth,
                    suspended: shut,
                },
            )
        })
    }

    /// The fleet in figures.
    pub fn fleet_status(&self) -> FleetStatus {
        let highest = if self.settings.admission_unit == AdmissionUnit::RequestsPerSecond {
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
        FleetStatus {
            queued_lines: self.channel.waiting(),
            queue_delay: Micros::from_ms(
                1000.0 * self.channel.waiting() / self.channel.pace.max(f64::MIN_POSITIVE),
            ),
            shed_share: self.admission.refused,
            saturation: self.admission.strain,
            warm_weight: self
                .open()
                .filter(|(_, server)| server.warmth >= 1.0)
                .map(|(_, server)| server.weight)
                .sum(),
            partitioned_share: self.cut.len() as f64 / self.settings.zones.max(1) as f64,
            request_rate: self.proxies.values().map(|proxy| proxy.rate()).sum(),
            admitted_shares: levels.collect(),
        }
    }

    /// Who is joined, and where.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }
}

/// What a change from this state comes from.
pub(super) fn cause(server: &Server, before: HealthState) -> HealthChangeCause {
    let ScoreTerms { errors, latency } = server.terms;
    match (before, server.state) {
        (HealthState::Withdrawn, _) => HealthChangeCause::EjectionElapsed,
        (_, HealthState::Full) => HealthChangeCause::SustainedRecovery,
        _ if latency < errors => HealthChangeCause::Latency,
        _ if server.probing.failing > 0 => HealthChangeCause::HealthChecks,
        _ if errors < latency => HealthChangeCause::Errors,
        _ => HealthChangeCause::Score,
    }
}
