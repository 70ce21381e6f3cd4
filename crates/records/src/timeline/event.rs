//! Records with their origin, and their order in a timeline.

use std::sync::Arc;

use crate::kind;
use crate::pb::{self, record::Kind, Record};

/// A record with the supervisor and the incarnation that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The name of the supervisor.
    pub supervisor: Arc<str>,
    /// The incarnation of the supervisor that wrote it, from 1.
    pub incarnation: u64,
    /// The record, with times by the supervisor's own clock.
    pub record: Record,
    /// The number of its kind.
    pub number: u32,
    /// The encoded record if it contains more than this version can decode.
    pub newer: Option<Vec<u8>>,
    /// The time of the event by the common clock, in Unix microseconds.
    pub at_us: i64,
    /// How far the supervisor's clock was ahead of the common one, in microseconds.
    pub ahead_us: i64,
}

impl Event {
    /// Describes the event in one line, without its time.
    pub fn line(&self) -> String {
        let Some(kind) = &self.record.kind else {
            let bytes = self.newer.as_ref().map_or(0, Vec::len);
            let number = self.number;
            return format!("unknown kind {number} of a newer version, {bytes} bytes");
        };
        crate::text::line(kind)
    }

    /// Returns the time at which it was learned by the common clock, in Unix microseconds.
    pub fn learned_us(&self) -> i64 {
        self.record.learned_us.saturating_sub(self.ahead_us)
    }
}

/// Sorts events by their time on the common clock, then by the time at which they were learned, then by the order of
/// writing, then by supervisor.
pub fn sort_events(events: &mut [Event]) {
    let key = |event: &Event| {
        (
            event.at_us,
            event.learned_us(),
            event.incarnation,
            event.record.seq,
        )
    };
    events.sort_by(|a, b| {
        let by_time = key(a).cmp(&key(b));
        by_time.then_with(|| a.supervisor.cmp(&b.supervisor))
    });
}

/// Returns whether an event is a single occurrence rather than a sample of a time series.
pub fn is_discrete_event(event: &Event) -> bool {
    !event.record.kind.as_ref().is_some_and(kind::is_series)
}

/// Returns the metrics of the fleet if the event is a sample of them.
pub fn gauge(event: &Event) -> Option<&pb::Gauge> {
    match &event.record.kind {
        Some(Kind::Gauge(gauge)) => Some(gauge),
        _ => None,
    }
}
