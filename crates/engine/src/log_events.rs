//! The queue of log events: what the decisions and the engine report of themselves, for the log and for the records.
//!
//! Events that are only for the records are not made while nobody records.

use std::collections::{HashMap, VecDeque};

use chutegrade_policy::{Lifecycle, Micros, ServerId};
use chutegrade_records::observe::FailingServers;
use chutegrade_records::Kind;

use crate::endpoint::NamedEndpoint;
use crate::records::{self, DroppedEvents};
use crate::report::OutcomeReport;

/// Most events that wait to be taken; beyond that, the oldest are dropped and counted.
pub(crate) const MAX_QUEUED_EVENTS: usize = 16_384;

/// Something that happened, for the log or the records.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEvent {
    /// When it happened.
    pub occurred_at: Micros,
    /// When the engine learned of it.
    pub observed_at: Micros,
    /// What happened.
    pub kind: Kind,
    /// Whether it is for the log as well as for the records, or for the records alone.
    pub logged: bool,
}

/// When something that is observed began.
enum ObservationStart {
    /// At this time.
    At(Micros),
    /// This long before the tick that learns of it.
    Before(Micros),
}

/// Something that the next tick learns of.
struct Observation {
    start: ObservationStart,
    kind: Kind,
}

/// Log events that wait to be taken.
#[derive(Default)]
pub(crate) struct LogEvents {
    queue: VecDeque<LogEvent>,
    /// Events that were dropped since the last call of [`LogEvents::take`].
    dropped: Option<DroppedEvents>,
    /// What the next tick learns of.
    observations: Vec<Observation>,
    is_recording: bool,
    observer: FailingServers,
    /// The latest start of each server that the endpoint list named one for.
    latest_starts: HashMap<ServerId, Micros>,
}

impl LogEvents {
    /// Makes events for the records too from now on.
    pub fn enable_recording(&mut self) {
        self.is_recording = true;
    }

    /// Whether events for the records are made.
    pub fn is_recording(&self) -> bool {
        self.is_recording
    }

    /// Adds an event for the log and the records.
    pub fn log(&mut self, now: Micros, kind: Kind) {
        self.push(LogEvent {
            occurred_at: now,
            observed_at: now,
            kind,
            logged: true,
        });
    }

    /// Adds an event for the records alone.
    pub fn record(&mut self, now: Micros, kind: Kind) {
        self.record_occurrence(now, now, kind);
    }

    fn record_occurrence(&mut self, occurred_at: Micros, observed_at: Micros, kind: Kind) {
        if !self.is_recording {
            return;
        }
        self.push(LogEvent {
            occurred_at,
            observed_at,
            kind,
            logged: false,
        });
    }

    fn push(&mut self, event: LogEvent) {
        if self.queue.len() >= MAX_QUEUED_EVENTS {
            self.drop_oldest();
        }
        self.queue.push_back(event);
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.queue.pop_front() else {
            return;
        };
        let dropped = self.dropped.get_or_insert(DroppedEvents {
            count: 0,
            first_at: oldest.occurred_at,
            last_at: oldest.occurred_at,
        });
        dropped.count += 1;
        dropped.last_at = oldest.occurred_at;
    }

    /// Observes the outcomes at a server, for the records.
    pub fn observe_outcomes(&mut self, outcomes: &OutcomeReport) {
        if !self.is_recording {
            return;
        }
        let failing = self.observer.record_report(
            &outcomes.zone,
            &outcomes.server,
            outcomes.attempts,
            outcomes.failed,
        );
        if let Some(failing) = failing {
            self.observations.push(Observation {
                start: ObservationStart::Before(outcomes.period),
                kind: Kind::Failing(failing),
            });
        }
    }

    /// Observes an entry of the endpoint list, which may name a new start of the server.
    pub fn observe_endpoint(&mut self, server: ServerId, endpoint: &NamedEndpoint) {
        if !self.is_recording || endpoint.lifecycle == Lifecycle::Removed {
            self.forget(server, &endpoint.name);
            return;
        }
        let Some(started_at) = endpoint.started_at else {
            return;
        };
        let previous = self.latest_starts.insert(server, started_at);
        if previous.is_some_and(|previous| previous >= started_at) {
            return;
        }
        self.observations.push(Observation {
            start: ObservationStart::At(started_at),
            kind: records::server_started_record(&endpoint.name, &endpoint.zone),
        });
    }

    /// Removes a server that nothing refers to any more.
    pub fn forget(&mut self, server: ServerId, name: &str) {
        self.latest_starts.remove(&server);
        self.observer.remove(name);
    }

    /// Turns the observations since the last tick into events.
    pub fn tick(&mut self, now: Micros) {
        for observation in std::mem::take(&mut self.observations) {
            let started_at = match observation.start {
                ObservationStart::At(time) => time,
                ObservationStart::Before(length) => now - length,
            };
            self.record_occurrence(started_at.min(now), now, observation.kind);
        }
    }

    /// The next event. If some were dropped, an event with their number comes first.
    pub fn take(&mut self, now: Micros) -> Option<LogEvent> {
        if let Some(dropped) = self.dropped.take() {
            return Some(LogEvent {
                occurred_at: dropped.first_at,
                observed_at: now,
                kind: records::dropped_record(&dropped),
                logged: false,
            });
        }
        self.queue.pop_front()
    }
}
