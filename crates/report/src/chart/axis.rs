//! The time axis.

use chutegrade_records::{text, Gap, Window};
use maud::{html, Markup};

use super::{coordinate, LABELS_WIDTH, WIDTH};

/// Maximum number of ticks, apart from those at the ends.
pub(super) const MAX_TICKS: i64 = 9;
/// Possible distances between ticks, in seconds.
const TICK_STEPS_S: [i64; 17] = [
    1, 2, 5, 10, 15, 30, 60, 120, 300, 600, 900, 1800, 3600, 7200, 10_800, 21_600, 86_400,
];
/// Microseconds in a second.
const US_PER_SECOND: i64 = 1_000_000;
/// Distance of the labels of ticks from the lower edge of the chart.
const TIME_OFFSET: f64 = 14.0;
/// Length of a time without fractions of a second, in bytes.
const SHORT_TIME_LENGTH: usize = 8;
/// Minimum width of hatching, so that a short gap is visible.
const MIN_HATCH_WIDTH: f64 = 2.0;

/// Maps times to horizontal coordinates.
#[derive(Clone, Copy)]
pub(crate) struct Axis {
    window: Window,
}

impl Axis {
    pub(crate) fn new(window: Window) -> Self {
        Axis { window }
    }

    /// Returns the horizontal coordinate of a time, clamped to the window.
    pub(super) fn x(self, at_us: i64) -> f64 {
        let Window { from_us, to_us } = self.window;
        let elapsed_us = at_us.clamp(from_us, to_us) - from_us;
        let length_us = (to_us - from_us).max(1);
        let share = elapsed_us as f64 / length_us as f64;
        LABELS_WIDTH + share * (WIDTH - LABELS_WIDTH)
    }

    /// Returns the times of the ticks, in Unix microseconds.
    pub(super) fn ticks(self) -> Vec<i64> {
        let Window { from_us, to_us } = self.window;
        let length_s = (to_us - from_us) / US_PER_SECOND;
        let step_s = TICK_STEPS_S
            .into_iter()
            .find(|step_s| length_s / step_s <= MAX_TICKS)
            .unwrap_or(length_s / MAX_TICKS + 1);
        let step_us = step_s.saturating_mul(US_PER_SECOND);
        let first_us = from_us.div_euclid(step_us) * step_us;
        (0..=MAX_TICKS + 2)
            .map(|number| first_us.saturating_add(number.saturating_mul(step_us)))
            .filter(|tick_us| (from_us..=to_us).contains(tick_us))
            .collect()
    }

    /// Draws the ticks as lines between two vertical coordinates, with times below.
    pub(super) fn draw_ticks(self, top: f64, bottom: f64) -> Markup {
        html! {
            @for tick_us in self.ticks() {
                @let x = coordinate(self.x(tick_us));
                @let time = text::time_of_day(tick_us);
                line.grid x1=(x) x2=(x) y1=(coordinate(top)) y2=(coordinate(bottom)) {}
                text.tick x=(x) y=(coordinate(bottom + TIME_OFFSET)) {
                    (time.get(..SHORT_TIME_LENGTH).unwrap_or_default())
                }
            }
        }
    }

    /// Draws a gap as a hatched rectangle.
    pub(super) fn draw_gap(self, gap: &Gap, top: f64, height: f64) -> Markup {
        let from = self.x(gap.from_us);
        let width = (self.x(gap.to_us) - from).max(MIN_HATCH_WIDTH);
        let left = from.min(WIDTH - MIN_HATCH_WIDTH);
        html! {
            rect.hatch x=(coordinate(left)) y=(coordinate(top))
                width=(coordinate(width)) height=(coordinate(height)) {
                title { (gap.supervisor) ": " (gap.line()) }
            }
        }
    }
}
