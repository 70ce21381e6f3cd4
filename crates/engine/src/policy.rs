//! The decision module as the engine uses it.

use chutegrade_policy::{Action, Event, FleetStatus, Micros, Policy, ServerId, ServerStatus};

/// The decision module of an engine: that of this build, or an alternative one for comparison on the fleet model.
pub trait DecisionPolicy {
    /// Handles one batch of events and returns the actions to carry out, in order.
    fn handle_events(&mut self, now: Micros, events: &[Event]) -> Vec<Action>;

    /// Status of the fleet; the default for a module that can't report one.
    fn fleet_status(&self) -> FleetStatus {
        FleetStatus::default()
    }

    /// Number of proxies with an open stream.
    fn proxy_count(&self) -> usize {
        0
    }

    /// Status of each known server.
    fn server_statuses(&self) -> Vec<(ServerId, ServerStatus)> {
        Vec::new()
    }
}

impl DecisionPolicy for Policy {
    fn handle_events(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        Policy::handle_events(self, now, events)
    }

    fn fleet_status(&self) -> FleetStatus {
        Policy::fleet_status(self)
    }

    fn proxy_count(&self) -> usize {
        Policy::proxy_count(self)
    }

    fn server_statuses(&self) -> Vec<(ServerId, ServerStatus)> {
        Policy::server_statuses(self).collect()
    }
}
