//! Read-only figures of an instance.

use crate::interface::{AdmissionUnit, FleetStatus, Lifecycle, Micros, ServerId, ServerStatus};
use crate::statistics::clamp_to_unit;

use super::class_levels::UNLIMITED_RATE;
use super::server::Server;
use super::Policy;

impl Policy {
    /// Returns the status of each server in the endpoint list.
    pub fn server_statuses(&self) -> impl Iterator<Item = (ServerId, ServerStatus)> + '_ {
        self.registry
            .iter()
            .filter(|(_, server)| server.endpoint.lifecycle != Lifecycle::Removed)
            .map(|(id, server)| (*id, server_status(server)))
    }

    /// Returns the current figures of the fleet and of the channel.
    pub fn fleet_status(&self) -> FleetStatus {
        let queued_lines = self.channel.queued_lines();
        let send_rate = self.channel.send_rate().max(f64::MIN_POSITIVE);
        let zones = self.settings.zones.max(1) as f64;
        FleetStatus {
            queued_lines,
            queue_delay: Micros::from_ms(1000.0 * queued_lines / send_rate),
            shed_share: self.admission.shed_share,
            saturation: self.admission.saturation,
            request_rate: self.proxies.request_rates().sum(),
            warm_weight: self.warm_weight(),
            partitioned_share: self.links.partitioned_count() as f64 / zones,
            admitted_shares: self.admitted_shares(),
        }
    }

    /// Returns the number of joined proxies.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }

    fn warm_weight(&self) -> f64 {
        self.registry
            .in_service()
            .filter(|(_, server)| server.is_warm())
            .map(|(_, server)| server.weight)
            .sum()
    }

    /// Returns the lowest published level of each class, as a share.
    fn admitted_shares(&self) -> Vec<f64> {
        let busiest_rate = self.proxies.busiest_rate();
        let lowest = |class: usize| {
            self.tables
                .iter()
                .filter_map(|table| table.levels.get(&class))
                .map(|level| self.admitted_share(level.level, busiest_rate))
                .fold(1.0, f64::min)
        };
        (0..self.settings.classes.len()).map(lowest).collect()
    }

    /// Returns the share that a level admits at the busiest proxy.
    fn admitted_share(&self, level: f64, busiest_rate: f64) -> f64 {
        if self.settings.admission_unit != AdmissionUnit::RequestsPerSecond {
            return level;
        }
        if level >= UNLIMITED_RATE || busiest_rate <= 0.0 {
            return 1.0;
        }
        clamp_to_unit(level / busiest_rate)
    }
}

fn server_status(server: &Server) -> ServerStatus {
    ServerStatus {
        endpoint: server.endpoint,
        state: server.health.state,
        score: server.health.score,
        terms: server.health.terms,
        weight: server.weight,
        warm_up_share: server.warm_up_share,
        suspended: server.suspended,
    }
}
