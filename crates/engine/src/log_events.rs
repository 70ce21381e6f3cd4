//! The queue of events that the decision module and the engine emit for the log and for the records.
//!
//! Events for the records alone are created only while recording is enabled.

use std::collections::{HashMap, VecDeque};

use chutegrade_policy::{Lifecycle, Micros, ServerId};
use chutegrade_records::observe::FailingServers;
use chutegrade_records::Kind;

use crate::endpoint::NamedEndpoint;
use crate::records::{self, DroppedEvents};
use crate::report::OutcomeReport;

/// Maximum length of the queue; beyond it, the oldest events are dropped and counted.
pub(crate) const MAX_QUEUED_EVENTS: usize = 16_384;

/// An event for the log or the records.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEvent {
    /// Time of the event.
    pub occurred_at: Micros,
    /// Time at which the engine observed the event.
    pub observed_at: Micros,
    /// Kind and content of the event, as stored in the records.
    pub kind: Kind,
    /// Whether the event is for both the log and the records, rather than for the records alone.
    pub logged: bool,
}

/// Start time of an observed condition.
enum ObservationStart {
    /// An absolute time.
    At(Micros),
    /// A duration before the tick that processes the observation.
    Before(Micros),
}

/// An observation that the next tick converts to an event.
struct Observation {
    start: ObservationStart,
    kind: Kind,
}

/// The queue of log events.
#[derive(Default)]
pub(crate) struct LogEvents {
    queue: VecDeque<LogEvent>,
    /// Events that were dropped since the last call of [`LogEvents::take`].
    dropped: Option<DroppedEvents>,
    /// Observations since the last tick.
    observations: Vec<Observation>,
    is_recording: bool,
    failing_servers: FailingServers,
    /// Latest start of each server whose endpoint has one.
    latest_starts: HashMap<ServerId, Micros>,
}

impl LogEvents {
    /// Enables events for the records.
    pub fn enable_recording(&mut self) {
        self.is_recording = true;
    }

    /// Whether events for the records are created.
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

    /// Records when a server starts or stops failing most attempts, according to its outcomes.
    pub fn observe_outcomes(&mut self, outcomes: &OutcomeReport) {
        if !self.is_recording {
            return;
        }
        let failing = self.failing_servers.record_report(
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

    /// Records a new start of a server, if an entry of the endpoint list has one. Removes the server's state instead if
    /// the entry lists it as removed, or while recording is disabled.
    pub fn observe_endpoint(&mut self, server: ServerId, endpoint: &NamedEndpoint) {
        if !self.is_recording || endpoint.lifecycle == Lifecycle::Removed {
            self.remove_server(server, &endpoint.name);
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

    /// Removes the state of a server that is no longer referenced.
    pub fn remove_server(&mut self, server: ServerId, name: &str) {
        self.latest_starts.remove(&server);
        self.failing_servers.remove(name);
    }

    /// Converts the observations since the last tick to events.
    pub fn tick(&mut self, now: Micros) {
        for observation in std::mem::take(&mut self.observations) {
            let started_at = match observation.start {
                ObservationStart::At(time) => time,
                ObservationStart::Before(length) => now - length,
            };
            self.record_occurrence(started_at.min(now), now, observation.kind);
        }
    }

    /// Returns the next event. If events were dropped, one with their number comes first.
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
