//! Charts as inline SVG. They use the CSS colours of the page, which depend on light mode, dark mode and print.

mod axis;
mod levels;
mod lines;
mod servers;

pub(crate) use axis::Axis;
pub(crate) use levels::{level_chart, LevelRow};
pub(crate) use lines::{Line, LineChart};
pub(crate) use servers::{server_chart, ServerRow};

use chutegrade_records::{Gap, GapReason};

/// Width of a chart, in SVG user units like all lengths below.
const WIDTH: f64 = 1000.0;
/// Width of the labels before a chart.
const LABELS_WIDTH: f64 = 130.0;
/// Margin between a label and the chart.
const LABEL_MARGIN: f64 = 6.0;
/// Height of a row.
const ROW_HEIGHT: f64 = 15.0;
/// Height of the title.
const TITLE_HEIGHT: f64 = 16.0;
/// Height of the axis.
const AXIS_HEIGHT: f64 = 20.0;
/// Minimum width of a span, so that a short one is visible.
const MIN_SPAN_WIDTH: f64 = 0.5;

/// Formats a coordinate with one decimal.
fn coordinate(value: f64) -> String {
    format!("{value:.1}")
}

/// Returns the gaps of a supervisor with missing records, which excludes clock steps.
fn hidden_intervals<'a>(gaps: &'a [Gap], supervisor: &'a str) -> impl Iterator<Item = &'a Gap> {
    gaps.iter()
        .filter(|gap| gap.reason != GapReason::ClockStep)
        .filter(move |gap| *gap.supervisor == *supervisor)
}

/// Returns the vertical coordinate of the upper edge of a row.
fn row_top(index: usize) -> f64 {
    TITLE_HEIGHT + index as f64 * ROW_HEIGHT
}

#[cfg(test)]
mod tests;
