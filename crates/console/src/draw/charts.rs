//! The panel of charts: sparklines of a supervisor's samples over the span.

use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::Color;
use ratatui::text::Line;
use ratatui::widgets::{Sparkline, SparklineBar};
use ratatui::Frame;

use super::style::{colored, dimmed, titled_block, Columns, HATCH, SAMPLE_HOLD_US};
use crate::app::App;
use crate::view::{Sample, SupervisorView};

/// Width of the label before a sparkline, in columns.
const LABEL_WIDTH: u16 = 15;
/// Minimum width of a sparkline, in columns.
const MIN_SPARKLINE_WIDTH: u16 = 4;
/// Resolution of the height of a bar.
const BAR_STEPS: f64 = 1000.0;

/// A quantity over time.
struct Chart {
    label: String,
    /// Returns the quantity in a sample.
    value: fn(&Sample) -> f64,
    /// The value of a bar of full height.
    max: f64,
}

/// Draws the charts of each supervisor.
pub(super) fn draw_charts(frame: &mut Frame, app: &App, area: Rect) {
    let columns = Columns::new(app, area);
    for (area, (name, supervisor)) in columns.areas.iter().zip(&app.view.supervisors) {
        let block = titled_block(format!(" {name} · figures "));
        let inner = block.inner(*area);
        frame.render_widget(block, *area);
        let rows = Layout::vertical([Constraint::Fill(1); 3]).split(inner);
        for (row, chart) in rows.iter().zip(charts(supervisor)) {
            draw_chart(frame, *row, app, supervisor, chart);
        }
    }
}

fn charts(supervisor: &SupervisorView) -> [Chart; 3] {
    let samples = || supervisor.samples.iter();
    let max_waiting = samples().map(|sample| sample.waiting).fold(0.0, f64::max);
    let max_refused = samples().map(|sample| sample.refused).fold(0.0, f64::max);
    let min_admitted = samples().map(|sample| sample.admitted).fold(1.0, f64::min);
    [
        Chart {
            label: format!("queue ≤{max_waiting:.0}"),
            value: |sample| sample.waiting,
            max: max_waiting.max(1.0),
        },
        Chart {
            label: format!("refused ≤{:.0}%", 100.0 * max_refused),
            value: |sample| sample.refused,
            max: 1.0,
        },
        Chart {
            label: format!("admitted ≥{:.0}%", 100.0 * min_admitted),
            value: |sample| sample.admitted,
            max: 1.0,
        },
    ]
}

fn draw_chart(frame: &mut Frame, area: Rect, app: &App, supervisor: &SupervisorView, chart: Chart) {
    let columns = [
        Constraint::Length(LABEL_WIDTH),
        Constraint::Min(MIN_SPARKLINE_WIDTH),
    ];
    let [label_area, chart_area] = Layout::horizontal(columns).areas(area);
    let step_us = (app.span_us() / i64::from(chart_area.width.max(1))).max(1);
    let from_us = app.at_us.saturating_sub(app.span_us());
    let mut heights = vec![None; chart_area.width.into()];
    for sample in &supervisor.samples {
        let column = usize::try_from((sample.at_us - from_us) / step_us).unwrap_or(0);
        let last_column = heights.len().saturating_sub(1);
        if let Some(height) = heights.get_mut(column.min(last_column)) {
            let value = ((chart.value)(sample) / chart.max * BAR_STEPS) as u64;
            *height = Some(height.unwrap_or(0).max(value));
        }
    }
    let sparkline = Sparkline::default()
        .data(hold_values(&heights, step_us))
        .max(BAR_STEPS as u64)
        .absent_value_symbol(HATCH)
        .absent_value_style(dimmed())
        .style(colored(Color::Blue));
    frame.render_widget(Line::styled(chart.label, dimmed()), label_area);
    frame.render_widget(sparkline, chart_area);
}

/// Repeats a bar in the columns after it for [`SAMPLE_HOLD_US`]. Later columns without a sample are absent.
fn hold_values(heights: &[Option<u64>], step_us: i64) -> Vec<SparklineBar> {
    let hold_columns = usize::try_from(SAMPLE_HOLD_US / step_us).unwrap_or(0);
    let mut last_column = 0;
    let mut last_height = None;
    let mut bars = Vec::with_capacity(heights.len());
    for (column, height) in heights.iter().enumerate() {
        if height.is_some() {
            last_column = column;
            last_height = *height;
        } else if column - last_column > hold_columns {
            last_height = None;
        }
        bars.push(SparklineBar::from(last_height));
    }
    bars
}
