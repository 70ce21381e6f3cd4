//! The panel of events.

use chutegrade_records::text;
use ratatui::layout::Rect;
use ratatui::style::{Color, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::Paragraph;
use ratatui::Frame;

use super::style::{colored, dimmed, titled_block};
use crate::app::App;
use crate::view::{Row, RowKind};

/// Minimum width at which times have fractions of a second, in columns.
const MIN_FRACTION_WIDTH: u16 = 60;
/// Length of a time without fractions of a second, in bytes.
const SHORT_TIME_LENGTH: usize = 8;

/// Draws the events, with the newest at the bottom unless scrolled.
pub(super) fn draw_events(frame: &mut Frame, app: &App, area: Rect) {
    let rows = &app.view.rows;
    let span = text::duration(app.span_us());
    let block = titled_block(format!(" events · {} in the last {span} ", rows.len()));
    let inner = block.inner(area);
    frame.render_widget(block, area);
    let end = rows.len().saturating_sub(app.scroll);
    let start = end.saturating_sub(inner.height.into());
    let is_narrow = area.width < MIN_FRACTION_WIDTH;
    let shown = rows.get(start..end).unwrap_or_default();
    let mut lines: Vec<Line> = shown.iter().map(|row| row_line(row, is_narrow)).collect();
    if lines.is_empty() {
        lines.push(Line::styled("no events in this interval", dimmed()));
    }
    frame.render_widget(Paragraph::new(lines), inner);
}

fn row_line(row: &Row, is_narrow: bool) -> Line<'static> {
    let style = match row.kind {
        RowKind::Event => Style::new(),
        RowKind::Fault => colored(Color::Red),
        RowKind::Gap => colored(Color::Yellow),
    };
    let mut time = text::time_of_day(row.at_us);
    if is_narrow {
        time = time
            .get(..SHORT_TIME_LENGTH)
            .unwrap_or_default()
            .to_string();
    }
    let label = format!("{time} {} ", row.supervisor);
    Line::from(vec![
        Span::styled(label, dimmed()),
        Span::styled(row.text.clone(), style),
    ])
}
