//! The unit of time.

/// A point in time or a length of time, in microseconds. Points in time count from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub i64);

impl Micros {
    /// A length of time in milliseconds; NaN counts as 0.
    pub fn from_ms(ms: f64) -> Self {
        Micros((ms * 1000.0) as i64)
    }

    /// The length of time in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl std::ops::Add for Micros {
    type Output = Micros;

    /// The sum, which saturates.
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl std::ops::Sub for Micros {
    type Output = Micros;

    /// The difference, which saturates.
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}
