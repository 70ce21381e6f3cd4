//! The backoff of service levels that are re-entered soon after they were left.

/// Time after a level was left within which entering it again lengthens its minimum duration, in microseconds.
const REENTRY_WINDOW_US: i64 = 60_000_000;
/// Factor by which the minimum duration of a level grows at each early re-entry.
const DURATION_BACKOFF_FACTOR: i64 = 2;
/// Maximum multiple of the minimum duration.
const MAX_DURATION_FACTOR: i64 = 8;

/// When a level was last left, and the backoff of its minimum duration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LevelHistory {
    /// When it was last left, in microseconds; `None` if it was entered since or never left.
    pub left_at_us: Option<i64>,
    /// Current multiple of the declared minimum duration.
    pub duration_factor: i64,
}

impl LevelHistory {
    /// A level that was never left.
    pub const NEW: LevelHistory = LevelHistory {
        left_at_us: None,
        duration_factor: 1,
    };

    /// Lengthens the minimum duration if the level is entered soon after it was left, and resets it otherwise.
    pub fn enter(&mut self, now_us: i64) {
        let Some(left_at_us) = self.left_at_us.take() else {
            return;
        };
        self.duration_factor = if now_us.saturating_sub(left_at_us) < REENTRY_WINDOW_US {
            (self.duration_factor * DURATION_BACKOFF_FACTOR).min(MAX_DURATION_FACTOR)
        } else {
            1
        };
    }
}
