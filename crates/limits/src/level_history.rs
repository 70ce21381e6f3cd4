//! The backoff of service levels that are entered again soon after they were left.

/// A level that is entered again within this time of being left was left too early, in microseconds.
const REENTRY_WINDOW_US: i64 = 60_000_000;
/// The least duration of a level grows by this factor at each early return.
const DURATION_BACKOFF_FACTOR: i64 = 2;
/// The least duration of a level grows to at most this multiple.
const MAX_DURATION_FACTOR: i64 = 8;

/// When a level was last left, and the backoff of its least duration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LevelHistory {
    /// When it was last left and has not been entered since, in microseconds.
    pub left_at_us: Option<i64>,
    /// The multiple of the declared least duration that holds now.
    pub duration_factor: i64,
}

impl LevelHistory {
    /// A level that was never left.
    pub const NEW: LevelHistory = LevelHistory {
        left_at_us: None,
        duration_factor: 1,
    };

    /// Lengthens the least duration if the level is entered soon after it was left, and resets it if much later.
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
