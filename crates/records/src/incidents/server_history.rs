//! The status of servers over time.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{ObservedServer, ServerHistory, ServerStatus, Span};
use crate::pb::{Life, State};
use crate::replay::{FleetState, ServerState};
use crate::timeline::Window;

/// The status of a server at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ObservedStatus {
    pub server: String,
    pub zone: String,
    pub status: ServerStatus,
}

impl ObservedStatus {
    /// Returns the status of a server, or `None` if the fleet does not contain it.
    pub fn of(fleet_state: &FleetState, server: &str) -> Option<Self> {
        let state = fleet_state.servers.get(server)?;
        Some(ObservedStatus {
            server: server.to_string(),
            zone: state.zone.clone(),
            status: status(state),
        })
    }

    /// Returns the status of all servers of a fleet.
    pub fn of_all(fleet_state: &FleetState) -> Vec<Self> {
        let names = fleet_state.servers.keys();
        names
            .filter_map(|name| ObservedStatus::of(fleet_state, name))
            .collect()
    }

    /// Returns the same server with unknown status.
    pub fn into_unknown(self) -> Self {
        ObservedStatus {
            status: ServerStatus::Unknown,
            ..self
        }
    }
}

fn status(server: &ServerState) -> ServerStatus {
    match (server.lifecycle, server.state) {
        (Life::Draining, _) => ServerStatus::Draining,
        (Life::Gone, _) => ServerStatus::Unknown,
        (_, State::Withdrawn) => ServerStatus::Withdrawn,
        _ if server.warmth < 1.0 => ServerStatus::WarmingUp,
        (_, State::Reduced) => ServerStatus::Reduced,
        (_, State::Full) => ServerStatus::Full,
    }
}

/// The status of all servers over the length of a window.
pub(super) struct ServerHistoryTracker {
    window: Window,
    histories: BTreeMap<ObservedServer, ServerHistory>,
}

impl ServerHistoryTracker {
    pub fn new(window: Window) -> Self {
        ServerHistoryTracker {
            window,
            histories: BTreeMap::new(),
        }
    }

    /// Sets the status of a server from a time on, clamped to the window.
    pub fn set(&mut self, at_us: i64, supervisor: &Arc<str>, status: ObservedStatus) {
        let at_us = at_us.clamp(self.window.from_us, self.window.to_us);
        let observed = ObservedServer {
            supervisor: Arc::clone(supervisor),
            server: status.server,
        };
        let history = self
            .histories
            .entry(observed)
            .or_insert_with(|| ServerHistory {
                zone: status.zone,
                spans: Vec::new(),
            });
        if let Some(last) = history.spans.last_mut() {
            if last.status == status.status {
                return;
            }
            last.to_us = at_us;
        }
        history.spans.push(Span {
            from_us: at_us,
            to_us: at_us,
            status: status.status,
        });
    }

    /// Sets all servers of a supervisor to unknown from a time on.
    pub fn set_unknown(&mut self, at_us: i64, supervisor: &Arc<str>) {
        let known: Vec<ObservedStatus> = self
            .histories
            .iter()
            .filter(|(observed, _)| observed.supervisor == *supervisor)
            .map(|(observed, history)| ObservedStatus {
                server: observed.server.clone(),
                zone: history.zone.clone(),
                status: ServerStatus::Unknown,
            })
            .collect();
        for status in known {
            self.set(at_us, supervisor, status);
        }
    }

    /// Returns the histories up to the end of the window, without empty intervals before it.
    pub fn finish(mut self) -> BTreeMap<ObservedServer, ServerHistory> {
        let to_us = self.window.to_us;
        for history in self.histories.values_mut() {
            if let Some(last) = history.spans.last_mut() {
                last.to_us = to_us;
            }
            history
                .spans
                .retain(|span| span.to_us > span.from_us || span.from_us == to_us);
        }
        self.histories
    }
}
