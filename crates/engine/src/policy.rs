//! The interface of the decision module to the engine.

use chutegrade_policy::{Action, Event, FleetStatus, Micros, Policy, ServerId, ServerStatus};

/// The decision module of an engine: the one of this build, or an alternative for comparison on the fleet model.
pub trait DecisionPolicy {
    /// Handles one batch of events and returns the actions to execute, in order.
    fn handle_events(&mut self, now: Micros, events: &[Event]) -> Vec<Action>;

    /// Returns the status of the fleet after the last batch; the default if the module does not provide it.
    fn fleet_status(&self) -> FleetStatus {
        FleetStatus::default()
    }

    /// Returns the number of proxies with an open stream.
    fn proxy_count(&self) -> usize {
        0
    }

    /// Returns the status of each server in the endpoint list after the last batch.
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
