//! Liveness of a proxy's stream, which requires that demand reports and acknowledgements arrive in time.

use std::cell::Cell;
use std::time::Duration;

use chutegrade_engine::Micros;

use crate::shared::clock::to_micros;

/// The idle timeout of a stream, in report periods. The stream of a running proxy, even one that stalled for 2 s, is idle
/// for at most 1.7 periods, and closing it would cut the proxy off from new tables. Streams of proxies with few requests are
/// idle for longer: their timeout is this multiple of the longest interval between demand reports on the stream.
const IDLE_TIMEOUT_PERIODS: u32 = 10;
/// Minimum idle timeout, for short report periods.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the time after which an expected message is overdue at the earliest, by the interval between reports.
pub fn stream_idle_timeout(report_period: Duration) -> Duration {
    (report_period * IDLE_TIMEOUT_PERIODS).max(MIN_IDLE_TIMEOUT)
}

/// The expected messages of a stream, and when the last ones arrived.
pub struct StreamLiveness {
    idle_timeout: Micros,
    opened_at: Micros,
    demand: Cell<Option<DemandReports>>,
    unacknowledged: Cell<Option<UnacknowledgedOrders>>,
}

/// The demand reports that a stream has received.
#[derive(Clone, Copy)]
struct DemandReports {
    last_at: Micros,
    /// Longest interval before one of them, counted from the opening or the previous one.
    longest_interval: Micros,
}

/// Orders that were written and not acknowledged.
#[derive(Clone, Copy)]
struct UnacknowledgedOrders {
    newest_sequence: u16,
    waiting_since: Micros,
}

impl StreamLiveness {
    /// Creates the state of a stream that was just opened, on which no message is expected yet.
    pub fn new(opened_at: Micros, idle_timeout: Duration) -> Self {
        StreamLiveness {
            idle_timeout: to_micros(idle_timeout),
            opened_at,
            demand: Cell::new(None),
            unacknowledged: Cell::new(None),
        }
    }

    /// Records the arrival of a demand report.
    pub fn record_demand(&self, now: Micros) {
        let previous = self.demand.get().unwrap_or(DemandReports {
            last_at: self.opened_at,
            longest_interval: Micros(0),
        });
        self.demand.set(Some(DemandReports {
            last_at: now,
            longest_interval: previous.longest_interval.max(now - previous.last_at),
        }));
    }

    /// Returns whether a demand report is overdue. A proxy with few requests has nothing to report in most periods, and must
    /// not lose its stream for that.
    pub fn is_demand_overdue(&self, now: Micros) -> bool {
        let Some(demand) = self.demand.get() else {
            return false;
        };
        let interval_timeout = Micros(demand.longest_interval.0 * i64::from(IDLE_TIMEOUT_PERIODS));
        now - demand.last_at >= self.idle_timeout.max(interval_timeout)
    }

    /// Records that an order with this sequence number was written.
    pub fn record_order(&self, sequence: u16, now: Micros) {
        let waiting_since = match self.unacknowledged.get() {
            Some(earlier) => earlier.waiting_since,
            None => now,
        };
        self.unacknowledged.set(Some(UnacknowledgedOrders {
            newest_sequence: sequence,
            waiting_since,
        }));
    }

    /// Records an acknowledgement. If it is for an older order, the timeout for the newest one restarts.
    pub fn record_acknowledgement(&self, sequence: u16, now: Micros) {
        let Some(awaited) = self.unacknowledged.get() else {
            return;
        };
        let remaining = UnacknowledgedOrders {
            newest_sequence: awaited.newest_sequence,
            waiting_since: now,
        };
        let is_newest = awaited.newest_sequence == sequence;
        self.unacknowledged.set((!is_newest).then_some(remaining));
    }

    /// Returns whether an acknowledgement is overdue. Orders are queued in the channel, so the delay of the queue extends the
    /// timeout.
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
