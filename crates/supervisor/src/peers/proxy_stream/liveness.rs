//! Whether a proxy's stream still lives: its reports on demand and its acknowledgements arrive in time.

use std::cell::Cell;
use std::time::Duration;

use chutegrade_engine::Micros;

use crate::shared::clock::to_micros;

/// Report periods after which a quiet stream counts as dead. A live one, of a proxy that stood still for 2 s too, is never
/// quiet for over 1.7 periods, and closing one that lives takes its proxy off its newest tables. Where few requests
/// arrive at each proxy, streams are quiet for longer: then it is so many times the longest pause on the stream.
const IDLE_TIMEOUT_PERIODS: u32 = 10;
/// The shortest idle timeout, where reports are gathered more often.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a proxy that is due to send something may be quiet, by the period of its reports.
pub fn stream_idle_timeout(report_period: Duration) -> Duration {
    (report_period * IDLE_TIMEOUT_PERIODS).max(MIN_IDLE_TIMEOUT)
}

/// What a stream is expected to bring.
pub struct StreamLiveness {
    idle_timeout: Micros,
    opened_at: Micros,
    demand: Cell<Option<DemandReports>>,
    unacknowledged: Cell<Option<Unacknowledged>>,
}

/// The reports on demand that a stream has brought.
#[derive(Clone, Copy)]
struct DemandReports {
    last_at: Micros,
    /// The longest time without one, up to the last one.
    longest_pause: Micros,
}

/// Orders that were written and are not acknowledged.
#[derive(Clone, Copy)]
struct Unacknowledged {
    newest_sequence: u16,
    waiting_since: Micros,
}

impl StreamLiveness {
    /// Nothing is expected yet of a stream that was opened at this time.
    pub fn new(opened_at: Micros, idle_timeout: Duration) -> Self {
        StreamLiveness {
            idle_timeout: to_micros(idle_timeout),
            opened_at,
            demand: Cell::new(None),
            unacknowledged: Cell::new(None),
        }
    }

    /// A report on demand has arrived.
    pub fn record_demand(&self, now: Micros) {
        let previous = self.demand.get().unwrap_or(DemandReports {
            last_at: self.opened_at,
            longest_pause: Micros(0),
        });
        self.demand.set(Some(DemandReports {
            last_at: now,
            longest_pause: previous.longest_pause.max(now - previous.last_at),
        }));
    }

    /// Whether a report on demand is overdue. A proxy at which few requests arrive has none in most periods, and must not
    /// lose its stream for it.
    pub fn is_demand_overdue(&self, now: Micros) -> bool {
        let Some(demand) = self.demand.get() else {
            return false;
        };
        let many_pauses = Micros(demand.longest_pause.0 * i64::from(IDLE_TIMEOUT_PERIODS));
        now - demand.last_at >= self.idle_timeout.max(many_pauses)
    }

    /// An order with this sequence number has been written.
    pub fn record_order(&self, sequence: u16, now: Micros) {
        let waiting_since = match self.unacknowledged.get() {
            Some(earlier) => earlier.waiting_since,
            None => now,
        };
        self.unacknowledged.set(Some(Unacknowledged {
            newest_sequence: sequence,
            waiting_since,
        }));
    }

    /// An order is acknowledged. The acknowledgement of an older order says nothing of the newest one, which is awaited
    /// from here on.
    pub fn record_acknowledgement(&self, sequence: u16, now: Micros) {
        let Some(awaited) = self.unacknowledged.get() else {
            return;
        };
        let remaining = Unacknowledged {
            newest_sequence: awaited.newest_sequence,
            waiting_since: now,
        };
        let is_newest = awaited.newest_sequence == sequence;
        self.unacknowledged.set((!is_newest).then_some(remaining));
    }

    /// Whether an acknowledgement is overdue. An order reaches the proxy after all that waits in the channel: one whose
    /// table waits behind those of many others must not lose its stream before it has any.
    pub fn is_acknowledgement_overdue(
        &self,
        now: Micros,
        queue_delay: impl FnOnce() -> Micros,
    ) -> bool {
        let Some(awaited) = self.unacknowledged.get() else {
            return false;
        };
        let waited = now - awaited.waiting_since;
        waited >= self.idle_timeout && waited >= self.idle_timeout + queue_delay()
    }
}
