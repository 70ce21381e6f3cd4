//! The clock of the decisions: one tick at a fixed interval.

use crate::interface::Micros;

/// Interval between ticks.
pub(super) const TICK_INTERVAL: Micros = Micros(500_000);
/// Number of the tick's timer.
pub(super) const TICK_TIMER_ID: u32 = 1;

/// Delay of the first tick. It differs by seed, since instances that tick in step would act in step on the same reports.
pub(super) fn first_tick_delay(seed: u64) -> Micros {
    let spread = seed % (TICK_INTERVAL.0 as u64 / 2);
    Micros(TICK_INTERVAL.0 / 2 + spread as i64)
}
