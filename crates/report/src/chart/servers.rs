//! The chart of servers, with a row for the state of each server over time.

use chutegrade_records::incidents::{ServerStatus, Span};
use chutegrade_records::{text, Gap};
use maud::{html, Markup};

use super::{
    coordinate, hidden_intervals, row_top, Axis, AXIS_HEIGHT, LABELS_WIDTH, LABEL_MARGIN,
    MIN_SPAN_WIDTH, ROW_HEIGHT, WIDTH,
};

/// The state of a server according to one supervisor.
pub(crate) struct ServerRow<'a> {
    pub(crate) server: &'a str,
    pub(crate) supervisor: &'a str,
    pub(crate) spans: &'a [Span],
}

/// Draws the state of servers over time.
pub(crate) fn server_chart(axis: Axis, rows: &[ServerRow], gaps: &[Gap]) -> Markup {
    let bottom = row_top(rows.len());
    let view_box = format!("0 0 {WIDTH} {}", coordinate(bottom + AXIS_HEIGHT));
    html! {
        svg viewBox=(view_box) role="img" aria-label="states of servers over time" {
            (axis.draw_ticks(row_top(0), bottom))
            @for (index, row) in rows.iter().enumerate() {
                (draw_row(axis, row, row_top(index), gaps))
            }
        }
    }
}

fn draw_row(axis: Axis, row: &ServerRow, top: f64, gaps: &[Gap]) -> Markup {
    let is_known = |span: &&Span| span.status != ServerStatus::Unknown;
    html! {
        text.label x=(coordinate(LABELS_WIDTH - LABEL_MARGIN)) y=(coordinate(top + ROW_HEIGHT - 4.0)) {
            (row.server) " · " (row.supervisor)
        }
        @for span in row.spans.iter().filter(is_known) {
            (draw_span(axis, row.server, span, top))
        }
        @for gap in hidden_intervals(gaps, row.supervisor) {
            (axis.draw_gap(gap, top + 1.0, ROW_HEIGHT - 2.0))
        }
    }
}

fn draw_span(axis: Axis, server: &str, span: &Span, top: f64) -> Markup {
    let left = axis.x(span.from_us);
    let width = (axis.x(span.to_us) - left).max(MIN_SPAN_WIDTH);
    let status = span.status.as_str();
    html! {
        rect class=(format!("state {status}")) x=(coordinate(left)) y=(coordinate(top + 2.0))
            width=(coordinate(width)) height=(coordinate(ROW_HEIGHT - 4.0)) {
            title { (server) " " (status) " from " (text::time_of_day(span.from_us)) " to " (text::time_of_day(span.to_us)) }
        }
    }
}
