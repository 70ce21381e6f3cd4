//! Liveness of a proxy's stream: messages must arrive, and orders must be acknowledged, in time. Before a stream counts as
//! dead, its proxy is asked for an acknowledgement.

use std::cell::Cell;
use std::time::Duration;

use chutegrade_engine::Micros;

use crate::shared::clock::{to_duration, to_micros};

/// The idle timeout of a stream, in report periods. The stream of a running proxy, even one that stalled for 2 s, is idle
/// for at most 1.7 periods, and closing it would cut the proxy off from new tables. Streams of proxies with few requests are
/// idle for longer: their timeout is this multiple of the longest interval between demand reports on the stream.
const IDLE_TIMEOUT_PERIODS: u32 = 10;
/// Minimum idle timeout, for short report periods.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of intervals into which a timeout is divided: the check is requested after the first, and must be answered within
/// the second.
const CHECK_INTERVALS: i64 = 2;
/// Minimum time between two looks at a stream without messages.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Returns the time after which an expected message is overdue at the earliest, by the interval between reports.
pub fn stream_idle_timeout(report_period: Duration) -> Duration {
    (report_period * IDLE_TIMEOUT_PERIODS).max(MIN_IDLE_TIMEOUT)
}

/// The expected messages of a stream, and when the last ones arrived.
pub struct StreamLiveness {
    idle_timeout: Micros,
    opened_at: Micros,
    last_message_at: Cell<Micros>,
    demand: Cell<Option<DemandReports>>,
    unacknowledged: Cell<Option<UnacknowledgedOrders>>,
    /// When the last check was requested.
    check_requested_at: Cell<Option<Micros>>,
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
    /// When the first of them was written, or the last acknowledgement of any order arrived, even an unreadable one.
    waiting_since: Micros,
}

impl StreamLiveness {
    /// Creates the state of a stream that was just opened, on which no message is expected yet.
    pub fn new(opened_at: Micros, idle_timeout: Duration) -> Self {
        StreamLiveness {
            idle_timeout: to_micros(idle_timeout),
            opened_at,
            last_message_at: Cell::new(opened_at),
            demand: Cell::new(None),
            unacknowledged: Cell::new(None),
            check_requested_at: Cell::new(None),
        }
    }

    /// Records the arrival of a message of any kind, even an unreadable one.
    pub fn record_message(&self, now: Micros) {
        self.last_message_at.set(now);
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

    /// Records that an acknowledgement arrived, of whichever order, even an unreadable one: the proxy applies orders, so the
    /// timeout for the newest one restarts.
    pub fn record_answer(&self, now: Micros) {
        let restarted = |awaited: UnacknowledgedOrders| UnacknowledgedOrders {
            waiting_since: now,
            ..awaited
        };
        self.unacknowledged
            .set(self.unacknowledged.get().map(restarted));
    }

    /// Records the acknowledgement of the order with this sequence number. Only that of the newest order ends the wait.
    pub fn record_acknowledgement(&self, sequence: u16) {
        let remaining = self
            .unacknowledged
            .get()
            .filter(|awaited| awaited.newest_sequence != sequence);
        self.unacknowledged.set(remaining);
    }

    /// Records that a check was requested.
    pub fn record_check(&self, now: Micros) {
        self.check_requested_at.set(Some(now));
    }

    /// Returns whether nothing arrived for too long on a stream that has had demand reports, although its proxy was asked. A
    /// proxy with few requests has nothing to report in most periods, and must not lose its stream for that.
    pub fn is_silent(&self, now: Micros) -> bool {
        let last_at = self.last_message_at.get();
        self.silence_timeout().is_some_and(|timeout| {
            now - last_at >= timeout && self.has_failed_check(now, last_at, timeout)
        })
    }

    /// Returns whether an acknowledgement is overdue although the proxy was asked again. Orders are queued in the channel, so
    /// the delay of the queue extends the timeout.
    pub fn is_acknowledgement_overdue(
        &self,
        now: Micros,
        queue_delay: impl FnOnce() -> Micros,
    ) -> bool {
        let Some(awaited) = self.unacknowledged.get() else {
            return false;
        };
        let since = awaited.waiting_since;
        let waited = now - since;
        waited >= self.idle_timeout
            && self.has_failed_check(now, since, self.idle_timeout)
            && waited >= self.idle_timeout + queue_delay()
    }

    /// Returns whether the proxy should be asked for an acknowledgement, because one is late or nothing has arrived for a
    /// while.
    pub fn is_check_due(&self, now: Micros, queue_delay: impl FnOnce() -> Micros) -> bool {
        let is_silence_late = self.silence_timeout().is_some_and(|timeout| {
            self.idle_time(now, self.last_message_at.get()) >= check_interval(timeout)
        });
        let is_acknowledgement_late = || {
            let Some(awaited) = self.unacknowledged.get() else {
                return false;
            };
            let idle_time = self.idle_time(now, awaited.waiting_since);
            let late_after = check_interval(self.idle_timeout);
            idle_time >= late_after && idle_time >= late_after + queue_delay()
        };
        is_silence_late || is_acknowledgement_late()
    }

    /// Returns how long to wait for a message before the next look at the stream.
    pub fn until_next_check(&self, now: Micros) -> Duration {
        let idle_interval = check_interval(self.idle_timeout);
        let until_silence_check = self.silence_timeout().map(|timeout| {
            check_interval(timeout) - self.idle_time(now, self.last_message_at.get())
        });
        let until_acknowledgement_check = self
            .unacknowledged
            .get()
            .map(|awaited| idle_interval - self.idle_time(now, awaited.waiting_since));
        let wait = until_silence_check
            .into_iter()
            .chain(until_acknowledgement_check)
            .fold(idle_interval, Micros::min);
        to_duration(wait).max(MIN_WAIT)
    }

    /// Returns the time without any message after which the stream is silent; `None` before its first demand report.
    fn silence_timeout(&self) -> Option<Micros> {
        let demand = self.demand.get()?;
        let interval_timeout = Micros(demand.longest_interval.0 * i64::from(IDLE_TIMEOUT_PERIODS));
        Some(self.idle_timeout.max(interval_timeout))
    }

    /// Returns the time since a sign of life, or since the check after it.
    fn idle_time(&self, now: Micros, sign_of_life: Micros) -> Micros {
        let checked_at = self.check_requested_at.get();
        now - checked_at.map_or(sign_of_life, |checked_at| checked_at.max(sign_of_life))
    }

    /// Returns whether a check was requested after the last sign of life, and not answered in its part of the timeout.
    fn has_failed_check(&self, now: Micros, sign_of_life: Micros, timeout: Micros) -> bool {
        let checked_at = self.check_requested_at.get();
        checked_at.is_some_and(|checked_at| {
            checked_at >= sign_of_life && now - checked_at >= check_interval(timeout)
        })
    }
}

/// Returns the time without a sign of life after which a check is requested, and then within which it must be answered.
fn check_interval(timeout: Micros) -> Micros {
    Micros(timeout.0 / CHECK_INTERVALS)
}

#[cfg(test)]
mod tests;
