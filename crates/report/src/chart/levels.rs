//! The chart of service levels, with a band for each supervisor.

use chutegrade_records::{text, Gap};
use maud::{html, Markup};

use super::{
    coordinate, hidden_intervals, row_top, Axis, AXIS_HEIGHT, LABELS_WIDTH, LABEL_MARGIN,
    MIN_SPAN_WIDTH, ROW_HEIGHT, WIDTH,
};
use crate::samples::LevelSpan;

/// The name of the service level without restrictions.
const FULL_SERVICE: &str = "full";
/// Height of the line for full service.
const FULL_SERVICE_HEIGHT: f64 = 2.0;
/// Estimated width of a character, to determine whether a name fits.
const CHARACTER_WIDTH: f64 = 6.0;

/// The band of a supervisor.
pub(crate) struct LevelRow<'a> {
    pub(crate) supervisor: &'a str,
    pub(crate) spans: Vec<LevelSpan>,
}

/// Draws service levels over time; full service is a thin line.
pub(crate) fn level_chart(axis: Axis, rows: &[LevelRow], gaps: &[Gap]) -> Markup {
    let bottom = row_top(rows.len());
    let view_box = format!("0 0 {WIDTH} {}", coordinate(bottom + AXIS_HEIGHT));
    html! {
        svg viewBox=(view_box) role="img" aria-label="levels of service over time" {
            (axis.draw_ticks(row_top(0), bottom))
            @for (index, row) in rows.iter().enumerate() {
                (draw_row(axis, row, row_top(index), gaps))
            }
        }
    }
}

fn draw_row(axis: Axis, row: &LevelRow, top: f64, gaps: &[Gap]) -> Markup {
    html! {
        text.label x=(coordinate(LABELS_WIDTH - LABEL_MARGIN)) y=(coordinate(top + ROW_HEIGHT - 4.0)) {
            (row.supervisor)
        }
        @for span in &row.spans {
            (draw_span(axis, span, top))
        }
        @for gap in hidden_intervals(gaps, row.supervisor) {
            (axis.draw_gap(gap, top + 1.0, ROW_HEIGHT - 2.0))
        }
    }
}

fn draw_span(axis: Axis, span: &LevelSpan, top: f64) -> Markup {
    let left = axis.x(span.from_us);
    let width = axis.x(span.to_us) - left;
    let is_full = span.level == FULL_SERVICE;
    let (class, y, height) = if is_full {
        let y = top + ROW_HEIGHT / 2.0 - 1.0;
        ("state full", y, FULL_SERVICE_HEIGHT)
    } else {
        ("state reduced", top + 2.0, ROW_HEIGHT - 4.0)
    };
    let name_fits = width > CHARACTER_WIDTH * span.level.chars().count() as f64;
    html! {
        rect class=(class) x=(coordinate(left)) y=(coordinate(y))
            width=(coordinate(width.max(MIN_SPAN_WIDTH))) height=(coordinate(height)) {
            title { (span.level) " from " (text::time_of_day(span.from_us)) " to " (text::time_of_day(span.to_us)) }
        }
        @if !is_full && name_fits {
            text.within x=(coordinate(left + 3.0)) y=(coordinate(top + ROW_HEIGHT - 5.0)) { (span.level) }
        }
    }
}
