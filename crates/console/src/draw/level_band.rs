//! The service level of a supervisor: its name and signals, and a band over the span.

use chutegrade_records::{pb, text};
use ratatui::style::{Color, Modifier};
use ratatui::text::{Line, Span};

use super::style::{colored, dimmed, FULL_SERVICE, HATCH, SAMPLE_HOLD_US};
use crate::app::App;
use crate::view::SupervisorView;

const BAND_LABEL: &str = "levels  ";
/// Symbol for full service in the band.
const FULL_SERVICE_LINE: &str = "─";

/// Returns the service level with its age and signals, and a band if the level changed within the span. Empty if no
/// service level is recorded.
pub(super) fn service_level_lines(
    app: &App,
    supervisor: &SupervisorView,
    width: u16,
) -> Vec<Line<'static>> {
    let Some(level) = &supervisor.fleet_state.service_level else {
        return Vec::new();
    };
    let width = usize::from(width);
    let mut lines = vec![level_line(level, supervisor, width)];
    if has_level_change(supervisor) {
        lines.push(level_band(app, supervisor, width));
    }
    lines
}

fn level_line(level: &str, supervisor: &SupervisorView, width: usize) -> Line<'static> {
    let style = if level == FULL_SERVICE {
        colored(Color::Green)
    } else {
        colored(Color::Yellow).add_modifier(Modifier::BOLD)
    };
    let mut spans = vec![
        Span::raw("service "),
        Span::styled(text::printable(level), style),
    ];
    let Some(gauge) = &supervisor.fleet_state.gauge else {
        return Line::from(spans);
    };
    if gauge.level_since_us > 0 {
        let now_us = supervisor.fleet_state.learned_us;
        let age = text::duration(now_us.saturating_sub(gauge.level_since_us));
        spans.push(Span::styled(format!(" for {age}"), dimmed()));
    }
    let used: usize = spans.iter().map(|span| span.content.chars().count()).sum();
    let signals = signals_text(gauge, width.saturating_sub(used));
    spans.push(Span::styled(signals, dimmed()));
    Line::from(spans)
}

/// Returns the signals of a gauge, truncated to a length in characters.
fn signals_text(gauge: &pb::Gauge, max_length: usize) -> String {
    let signals: Vec<String> = gauge.signals.iter().map(text::signal).collect();
    let all = format!("  {}", signals.join(" "));
    all.chars().take(max_length).collect()
}

fn has_level_change(supervisor: &SupervisorView) -> bool {
    let mut levels = supervisor
        .samples
        .iter()
        .filter_map(|sample| sample.service_level.as_deref());
    let first = levels.next();
    levels.any(|level| Some(level) != first)
}

/// Returns the levels over the span: a line for full service, the names of other levels, and hatching where the level is
/// not known.
fn level_band(app: &App, supervisor: &SupervisorView, width: usize) -> Line<'static> {
    let band_width = width.saturating_sub(BAND_LABEL.len()).max(1);
    let mut spans = vec![Span::styled(BAND_LABEL, dimmed())];
    let cells = level_cells(app, supervisor, band_width);
    for run in cells.chunk_by(|level, next| level == next) {
        let level = run.first().copied().flatten();
        spans.push(level_run(level, run.len()));
    }
    Line::from(spans)
}

/// Returns the level in each cell of the band. A sample is valid for [`SAMPLE_HOLD_US`].
fn level_cells<'a>(
    app: &App,
    supervisor: &'a SupervisorView,
    width: usize,
) -> Vec<Option<&'a str>> {
    let from_us = app.at_us.saturating_sub(app.span_us());
    let step_us = (app.span_us() / width as i64).max(1);
    let hold_cells = usize::try_from(SAMPLE_HOLD_US / step_us).unwrap_or(0);
    let mut cells = vec![None; width];
    for sample in &supervisor.samples {
        let cell = usize::try_from((sample.at_us - from_us) / step_us).unwrap_or(0);
        let first = cell.min(width - 1);
        let end = (first + hold_cells + 1).min(width);
        cells[first..end].fill(sample.service_level.as_deref());
    }
    cells
}

fn level_run(level: Option<&str>, length: usize) -> Span<'static> {
    match level {
        None => Span::styled(HATCH.repeat(length), dimmed()),
        Some(FULL_SERVICE) => Span::styled(FULL_SERVICE_LINE.repeat(length), dimmed()),
        Some(level) => {
            let name: String = text::printable(level).chars().take(length).collect();
            let style = colored(Color::Black).bg(Color::Yellow);
            Span::styled(format!("{name:<length$}"), style)
        }
    }
}
