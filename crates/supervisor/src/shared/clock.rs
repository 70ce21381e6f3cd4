//! The clock that all decisions use, and conversions between the engine's and the runtime's units of time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chutegrade_engine::Micros;

/// Unix time at startup, advanced by the monotonic clock so that it never steps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Micros,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the time of the system clock.
    pub fn start() -> Self {
        Clock {
            started_at: system_time(),
            start: Instant::now(),
        }
    }

    /// Returns the current Unix time.
    pub fn now(&self) -> Micros {
        self.started_at + to_micros(self.start.elapsed())
    }

    /// Returns how far the system clock is ahead of this one.
    pub fn system_offset(&self) -> Micros {
        system_time() - self.now()
    }
}

/// Returns the Unix time of the system clock, which may step.
fn system_time() -> Micros {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    to_micros(since_epoch)
}

/// Converts a duration to microseconds; saturates at the largest value.
pub fn to_micros(duration: Duration) -> Micros {
    Micros(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}

/// Converts microseconds to a duration; a negative value becomes zero.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros.0).unwrap_or_default())
}
