//! Records with their origin, and their order.

use std::sync::Arc;

use crate::kind;
use crate::pb::{self, record::Kind, Record};

/// A record with its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The name of the supervisor.
    pub supervisor: Arc<str>,
    /// The incarnation of the supervisor.
    pub incarnation: u64,
    /// The record, its times by the supervisor's own clock.
    pub record: Record,
    /// The number of its kind.
    pub number: u32,
    /// Its bytes, if they contain more than this version can decode.
    pub newer: Option<Vec<u8>>,
    /// When it happened by the common clock, in Unix microseconds.
    pub at_us: i64,
    /// How far its supervisor's clock was ahead of the common one, in microseconds.
    pub ahead_us: i64,
}

impl Event {
    /// The event in one line, without its time.
    pub fn line(&self) -> String {
        let Some(kind) = &self.record.kind else {
            let bytes = self.newer.as_ref().map_or(0, Vec::len);
            let number = self.number;
            return format!("unknown kind {number} of a newer version, {bytes} bytes");
        };
        crate::text::line(kind)
    }

    /// When it was learned by the common clock, in Unix microseconds.
    pub fn learned_us(&self) -> i64 {
        self.record.learned_us.saturating_sub(self.ahead_us)
    }
}

/// Sorts events: by when they happened on the common clock, then as learned, then as written, then by supervisor.
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

/// Whether an event is of interest by itself, and no sample of a time series.
pub fn is_discrete_event(event: &Event) -> bool {
    !event.record.kind.as_ref().is_some_and(kind::is_series)
}

/// The metrics of the fleet, if an event is a sample of them.
pub fn gauge(event: &Event) -> Option<&pb::Gauge> {
    match &event.record.kind {
        Some(Kind::Gauge(gauge)) => Some(gauge),
        _ => None,
    }
}
