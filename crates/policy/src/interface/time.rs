//! The unit of time.

/// A point in time or a length of time, in microseconds. Points in time count from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub i64);

impl Micros {
    /// Converts milliseconds; NaN counts as 0.
    pub fn from_ms(ms: f64) -> Self {
        Micros((ms * 1000.0) as i64)
    }

    /// Returns the time in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl std::ops::Add for Micros {
    type Output = Micros;

    /// Returns the sum, saturating at the bounds.
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl std::ops::Sub for Micros {
    type Output = Micros;

    /// Returns the difference, saturating at the bounds.
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}
