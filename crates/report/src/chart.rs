//! Charts as inline SVG. They use the colours of the page, and so follow light mode, dark mode and print.

mod axis;
mod levels;
mod lines;
mod servers;

pub(crate) use axis::Axis;
pub(crate) use levels::{level_chart, LevelRow};
pub(crate) use lines::{Line, LineChart};
pub(crate) use servers::{server_chart, ServerRow};

use chutegrade_records::{Gap, GapReason};

/// Width of a chart, in units of the drawing.
const WIDTH: f64 = 1000.0;
/// Width of the labels before a chart.
const LABELS_WIDTH: f64 = 130.0;
/// Distance between a label and the chart.
const LABEL_MARGIN: f64 = 6.0;
/// Height of a row.
const ROW_HEIGHT: f64 = 15.0;
/// Height of the title.
const TITLE_HEIGHT: f64 = 16.0;
/// Height of the axis.
const AXIS_HEIGHT: f64 = 20.0;
/// Least width of a span.
const MIN_SPAN_WIDTH: f64 = 0.5;

/// A coordinate to a tenth.
fn coordinate(value: f64) -> String {
    format!("{value:.1}")
}

/// The gaps of a supervisor that hide records; a step of the clock hides none.
fn hidden_intervals<'a>(gaps: &'a [Gap], supervisor: &'a str) -> impl Iterator<Item = &'a Gap> {
    gaps.iter()
        .filter(|gap| gap.reason != GapReason::ClockStep)
        .filter(move |gap| *gap.supervisor == *supervisor)
}

/// The upper edge of a row.
fn row_top(index: usize) -> f64 {
    TITLE_HEIGHT + index as f64 * ROW_HEIGHT
}

#[cfg(test)]
mod tests;
