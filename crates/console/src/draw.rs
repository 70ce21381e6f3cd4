//! Draws a frame. Large terminals show all panels, small ones the selected panel.

mod charts;
mod events;
mod fleet;
mod help;
mod level_band;
mod style;

use chutegrade_records::text;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier};
use ratatui::text::{Line, Span};
use ratatui::Frame;

use crate::app::{App, Panel};
use charts::draw_charts;
use events::draw_events;
use fleet::draw_fleet;
use help::draw_help;
use style::{colored, dimmed};

/// Minimum width at which all panels are shown, in columns.
const MIN_LARGE_WIDTH: u16 = 84;
/// Minimum height at which all panels are shown, in lines.
const MIN_LARGE_HEIGHT: u16 = 26;
/// Minimum width at which the time has its date, in columns.
const MIN_DATE_WIDTH: u16 = 60;
/// Height of the charts, in lines. Leaves at least two lines for each of the three sparklines below the border.
const CHARTS_HEIGHT: u16 = 8;
/// Minimum height of the events, in lines.
const MIN_EVENTS_HEIGHT: u16 = 3;

/// Draws the panels, the header and the footer, and the help if it is open.
pub fn draw(frame: &mut Frame, app: &App) {
    let area = frame.area();
    let rows = [
        Constraint::Length(1),
        Constraint::Min(1),
        Constraint::Length(1),
    ];
    let [header, body, footer] = Layout::vertical(rows).areas(area);
    draw_header(frame, app, header);
    if area.width >= MIN_LARGE_WIDTH && area.height >= MIN_LARGE_HEIGHT {
        draw_all_panels(frame, app, body);
    } else {
        draw_selected_panel(frame, app, body);
    }
    draw_footer(frame, app, footer);
    if app.shows_help {
        draw_help(frame, area);
    }
}

fn draw_all_panels(frame: &mut Frame, app: &App, area: Rect) {
    let fleet_height = (area.height - CHARTS_HEIGHT) * 3 / 5;
    let rows = [
        Constraint::Length(fleet_height),
        Constraint::Length(CHARTS_HEIGHT),
        Constraint::Min(MIN_EVENTS_HEIGHT),
    ];
    let [fleet, charts, events] = Layout::vertical(rows).areas(area);
    draw_fleet(frame, app, fleet);
    draw_charts(frame, app, charts);
    draw_events(frame, app, events);
}

fn draw_selected_panel(frame: &mut Frame, app: &App, area: Rect) {
    match app.panel {
        Panel::Fleet => draw_fleet(frame, app, area),
        Panel::Charts => draw_charts(frame, app, area),
        Panel::Events => draw_events(frame, app, area),
    }
}

fn draw_header(frame: &mut Frame, app: &App, area: Rect) {
    let (mode, background) = match app.cursor {
        None => (" LIVE ", Color::Green),
        Some(_) => (" PAST ", Color::Yellow),
    };
    let mode_style = colored(Color::Black)
        .bg(background)
        .add_modifier(Modifier::BOLD);
    let time = if area.width < MIN_DATE_WIDTH {
        text::time_of_day(app.at_us)
    } else {
        text::time(app.at_us)
    };
    let span = text::duration(app.span_us());
    let header = Line::from(vec![
        Span::styled(mode, mode_style),
        Span::raw(format!(" {time} ")),
        Span::styled(format!("last {span}"), dimmed()),
    ]);
    frame.render_widget(header, area);
}

fn draw_footer(frame: &mut Frame, app: &App, area: Rect) {
    let footer = if app.is_editing_filter {
        Line::from(vec![
            Span::raw("/"),
            Span::raw(app.filter.clone()),
            Span::styled("_", dimmed()),
        ])
    } else if let Some(error) = &app.refresh_error {
        Line::styled(error.clone(), colored(Color::Red))
    } else {
        Line::styled(key_summary(&app.filter), dimmed())
    };
    frame.render_widget(footer, area);
}

fn key_summary(filter: &str) -> String {
    let keys = "? help  space pause  ←→ time  n p fault  / filter  q quit";
    if filter.is_empty() {
        keys.to_string()
    } else {
        format!("{keys}  filter: {filter}")
    }
}
