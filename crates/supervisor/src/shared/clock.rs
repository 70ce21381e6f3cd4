//! The time base of all decisions, and conversions between the engine's unit of time and the runtime's.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chutegrade_engine::Micros;

/// Unix time at the start, carried on by a monotonic clock that never steps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the system's time.
    pub fn start() -> Self {
        Clock {
            started_at: system_time(),
            start: Instant::now(),
        }
    }

    /// Unix time now.
    pub fn now(&self) -> Micros {
        self.started_at + to_micros(self.start.elapsed())
    }

    /// How far the system's clock is ahead of this one.
    pub fn system_offset(&self) -> Micros {
        system_time() - self.now()
    }
}

/// Unix time by the system's clock, which may step.
fn system_time() -> Micros {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    to_micros(since_epoch)
}

/// A duration in the engine's unit; one beyond its range becomes the longest.
pub fn to_micros(duration: Duration) -> Micros {
    Micros(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}

/// A duration in the runtime's unit; a negative one becomes zero.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros.0).unwrap_or_default())
}
