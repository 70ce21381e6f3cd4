//! Processes events one by one, so that a day of events does not have to fit in memory.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::faults::FaultTracker;
use super::server_history::{ObservedStatus, ServerHistoryTracker};
use super::{extremes, Fault, Reconstruction};
use crate::kind;
use crate::pb::{self, record::Kind, Life, State};
use crate::replay::FleetState;
use crate::timeline::{Event, Gap, GapReason, Window};

/// Reconstructs incidents from the events of several supervisors and the gaps in their records.
pub struct Reconstructor {
    window: Window,
    /// The state of the fleet according to each supervisor.
    fleet_states: BTreeMap<Arc<str>, FleetState>,
    /// Intervals in which supervisors recorded nothing, the earliest last.
    absences: Vec<Gap>,
    incidents: FaultTracker,
    server_histories: ServerHistoryTracker,
    reconstruction: Reconstruction,
}

/// Reconstructs the incidents in a window. The events should start some time before it
/// ([`crate::replay::LOOKBACK_US`]), so that the state at its begin is known.
pub fn reconstruct(events: &[Event], gaps: &[Gap], window: Window) -> Reconstruction {
    let mut reconstructor = Reconstructor::new(gaps, window);
    for event in events {
        reconstructor.process(event);
    }
    reconstructor.finish()
}

impl Reconstructor {
    /// Creates a reconstructor for a window and the gaps in it.
    pub fn new(gaps: &[Gap], window: Window) -> Self {
        let mut absences: Vec<Gap> = gaps.iter().filter(|gap| is_absence(gap)).cloned().collect();
        absences.sort_by_key(|gap| Reverse(gap.from_us));
        Reconstructor {
            window,
            fleet_states: BTreeMap::new(),
            absences,
            incidents: FaultTracker::default(),
            server_histories: ServerHistoryTracker::new(window),
            reconstruction: Reconstruction::default(),
        }
    }

    /// Returns the state of the fleet after the events so far, as recorded by one supervisor; `None` without its
    /// events.
    pub fn fleet_state(&self, supervisor: &str) -> Option<&FleetState> {
        self.fleet_states.get(supervisor)
    }

    /// Processes the next event. Events must be in order, as [`crate::timeline::sort_events`] sorts them.
    pub fn process(&mut self, event: &Event) {
        while let Some(gap) = self.absences.pop_if(|gap| gap.from_us <= event.at_us) {
            self.process_absence(&gap);
        }
        let supervisor = Arc::clone(&event.supervisor);
        let fleet_state = self.fleet_states.entry(supervisor).or_default();
        let server = event.record.kind.as_ref().and_then(kind::server);
        let before = server.and_then(|server| ObservedStatus::of(fleet_state, server));
        fleet_state.apply(&event.record);
        let after = server.and_then(|server| ObservedStatus::of(fleet_state, server));
        let changed_servers = match &event.record.kind {
            Some(Kind::Fleet(_) | Kind::Started(_)) => ObservedStatus::of_all(fleet_state),
            _ if before == after => Vec::new(),
            _ => {
                let status = after.or_else(|| before.map(ObservedStatus::into_unknown));
                status.into_iter().collect()
            }
        };
        for status in changed_servers {
            self.server_histories
                .set(event.at_us, &event.supervisor, status);
        }
        if (self.window.from_us..=self.window.to_us).contains(&event.at_us) {
            extremes::add(&mut self.reconstruction, event, &fleet_state.classes);
        }
        self.update_faults(event);
    }

    /// Sets the servers of an absent supervisor to unknown. Its absence is a fault unless it was shut down.
    fn process_absence(&mut self, gap: &Gap) {
        let supervisor = &gap.supervisor;
        self.server_histories.set_unknown(gap.from_us, supervisor);
        if gap.reason == GapReason::Stopped {
            return;
        }
        let fault = Fault::Supervisor(Arc::clone(supervisor));
        let description = gap.line();
        self.incidents
            .begin(gap.from_us, supervisor, fault.clone(), &description);
        self.incidents.end(gap.to_us, supervisor, fault);
    }

    fn update_faults(&mut self, event: &Event) {
        let Some(kind) = &event.record.kind else {
            return;
        };
        match kind {
            Kind::StateChanged(change) => self.update_server_fault(event, change),
            Kind::LifeChanged(change) if change.life() != Life::InService => {
                // A server that drains or is removed is no longer a fault.
                self.set_fault(event, false, Fault::Server(change.server.clone()));
                self.set_fault(event, false, Fault::Failing(change.server.clone()));
            }
            Kind::Failing(change) => {
                self.set_fault(event, change.failing, Fault::Failing(change.server.clone()));
            }
            Kind::ZoneCut(partition) => {
                self.set_fault(event, partition.cut, Fault::Zone(partition.zone.clone()));
            }
            Kind::Saturation(sample) => {
                self.set_fault(event, sample.refused > 0.0, Fault::LoadShedding);
            }
            Kind::Gauge(gauge) if gauge.refused <= 0.0 => {
                self.set_fault(event, false, Fault::LoadShedding);
            }
            Kind::ServiceLevel(transition) => {
                self.set_fault(
                    event,
                    transition.number > 0,
                    Fault::ReducedServiceLevel(transition.to.clone()),
                );
                self.set_fault(
                    event,
                    false,
                    Fault::ReducedServiceLevel(transition.from.clone()),
                );
            }
            Kind::Discovery(change) => self.set_fault(event, !change.tells, Fault::Discovery),
            Kind::Fleet(fleet) => self.end_faults_of_healthy(event, fleet),
            // A new incarnation starts without known faults.
            Kind::Started(_) => self.incidents.end_all(event.at_us, &event.supervisor),
            _ => {}
        }
    }

    fn update_server_fault(&mut self, event: &Event, change: &pb::StateChanged) {
        let fault = Fault::Server(change.server.clone());
        self.set_fault(event, change.state() != State::Full, fault);
        if change.state() == State::Withdrawn {
            self.incidents.add_withdrawn(&change.server);
        }
    }

    /// Ends the faults of servers that a record of the whole fleet shows as healthy, in case an event was lost.
    fn end_faults_of_healthy(&mut self, event: &Event, fleet: &pb::Fleet) {
        for server in &fleet.servers {
            if server.state() == State::Full {
                self.set_fault(event, false, Fault::Server(server.name.clone()));
            }
        }
    }

    /// Begins or ends a fault at the time of an event.
    fn set_fault(&mut self, event: &Event, is_present: bool, fault: Fault) {
        let (at_us, supervisor) = (event.at_us, &event.supervisor);
        if is_present {
            self.incidents
                .begin(at_us, supervisor, fault, &event.line());
        } else {
            self.incidents.end(at_us, supervisor, fault);
        }
    }

    /// Returns the reconstruction of the window.
    pub fn finish(mut self) -> Reconstruction {
        while let Some(gap) = self.absences.pop() {
            self.process_absence(&gap);
        }
        Reconstruction {
            incidents: self.incidents.finish(self.window),
            server_histories: self.server_histories.finish(),
            ..self.reconstruction
        }
    }
}

/// Returns whether the servers of the supervisor are in an unknown state during a gap.
fn is_absence(gap: &Gap) -> bool {
    matches!(
        gap.reason,
        GapReason::Crashed | GapReason::Stalled | GapReason::Stopped
    )
}
