//! The tick of the decisions, at a fixed interval.

use crate::interface::Micros;

/// Interval between ticks.
pub(super) const TICK_INTERVAL: Micros = Micros(500_000);
/// Id of the timer that triggers ticks.
pub(super) const TICK_TIMER_ID: u32 = 1;

/// Returns the delay of the first tick. It depends on the seed: instances that tick simultaneously would react
/// simultaneously to the same reports.
pub(super) fn first_tick_delay(seed: u64) -> Micros {
    let spread = seed % (TICK_INTERVAL.0 as u64 / 2);
    Micros(TICK_INTERVAL.0 / 2 + spread as i64)
}
