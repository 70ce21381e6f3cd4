//! Groups faults that overlap or follow each other closely into incidents.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Fault, FaultBegin, Incident};
use crate::timeline::Window;

/// Shortest time without faults between two incidents, in microseconds. Ejected servers return within 12 seconds, so
/// that a server that keeps failing is one incident.
const MIN_INCIDENT_GAP_US: i64 = 30_000_000;

/// A fault of which a supervisor recorded the begin, but not the end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OpenFault {
    supervisor: Arc<str>,
    fault: Fault,
}

/// The incidents so far and the faults that are present.
#[derive(Default)]
pub(super) struct FaultTracker {
    incidents: Vec<Incident>,
    open: BTreeSet<OpenFault>,
}

impl FaultTracker {
    /// Begins a fault as recorded by a supervisor. `description` is the text of the event.
    pub fn begin(&mut self, at_us: i64, supervisor: &Arc<str>, fault: Fault, description: &str) {
        let begin = FaultBegin {
            at_us,
            fault: fault.clone(),
        };
        let is_new = self.open.insert(OpenFault {
            supervisor: Arc::clone(supervisor),
            fault,
        });
        if !is_new {
            return;
        }
        let Some(incident) = self.continuing_incident(at_us) else {
            self.incidents.push(Incident {
                from_us: at_us,
                ended_us: None,
                first_event: format!("{supervisor}: {description}"),
                faults: vec![begin],
                withdrawn: BTreeSet::new(),
            });
            return;
        };
        incident.ended_us = None;
        let mut known = incident.faults.iter();
        if !known.any(|known| known.fault == begin.fault) {
            incident.faults.push(begin);
        }
    }

    /// Returns the last incident if it continues or has ended less than [`MIN_INCIDENT_GAP_US`] before.
    fn continuing_incident(&mut self, at_us: i64) -> Option<&mut Incident> {
        let last = self.incidents.last_mut()?;
        let is_continuing = last
            .ended_us
            .is_none_or(|ended_us| at_us.saturating_sub(ended_us) < MIN_INCIDENT_GAP_US);
        is_continuing.then_some(last)
    }

    /// Ends a fault as recorded by a supervisor.
    pub fn end(&mut self, at_us: i64, supervisor: &Arc<str>, fault: Fault) {
        let was_open = self.open.remove(&OpenFault {
            supervisor: Arc::clone(supervisor),
            fault,
        });
        if !was_open || !self.open.is_empty() {
            return;
        }
        if let Some(last) = self.incidents.last_mut() {
            last.ended_us = Some(at_us.max(last.from_us));
        }
    }

    /// Ends all faults of a supervisor.
    pub fn end_all(&mut self, at_us: i64, supervisor: &Arc<str>) {
        let open = self.open.iter();
        let faults: Vec<Fault> = open
            .filter(|open| open.supervisor == *supervisor)
            .map(|open| open.fault.clone())
            .collect();
        for fault in faults {
            self.end(at_us, supervisor, fault);
        }
    }

    /// Adds a withdrawn server to the last incident.
    pub fn add_withdrawn(&mut self, server: &str) {
        if let Some(incident) = self.incidents.last_mut() {
            incident.withdrawn.insert(server.to_string());
        }
    }

    /// Returns the incidents that overlap a window.
    pub fn finish(mut self, window: Window) -> Vec<Incident> {
        self.incidents.retain(|incident| {
            let ends_late_enough = incident
                .ended_us
                .is_none_or(|ended_us| ended_us >= window.from_us);
            ends_late_enough && incident.from_us <= window.to_us
        });
        self.incidents
    }
}
