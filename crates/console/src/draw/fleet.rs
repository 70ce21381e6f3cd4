//! The panel of the fleet: service level, admitted shares, servers by zone, and those in the worst state.

use std::cmp::Ordering;
use std::sync::Arc;

use chutegrade_records::pb::{Life, State};
use chutegrade_records::replay::{FleetState, ServerState};
use chutegrade_records::{text, Gap, GapReason};
use ratatui::layout::Rect;
use ratatui::style::{Color, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::Paragraph;
use ratatui::Frame;

use super::level_band::service_level_lines;
use super::style::{colored, dimmed, titled_block, Columns, HATCH};
use crate::app::App;
use crate::view::SupervisorView;

/// Columns of a zone's line that are not available for its servers.
const ZONE_LABEL_WIDTH: usize = 14;
/// Maximum length of the name of a server, in characters; longer ones are truncated.
const MAX_NAME_LENGTH: usize = 12;
/// Lines of the first hatching, the reason and the start of a gap.
const GAP_LINES: u16 = 3;

/// Draws the state of the fleet according to each supervisor.
pub(super) fn draw_fleet(frame: &mut Frame, app: &App, area: Rect) {
    let columns = Columns::new(app, area);
    let last = columns.areas.len().saturating_sub(1);
    let supervisors = columns.areas.iter().zip(&app.view.supervisors);
    for (index, (area, (name, supervisor))) in supervisors.enumerate() {
        let hidden = if index == last { columns.hidden } else { 0 };
        let block = titled_block(title(name, supervisor, hidden));
        let inner = block.inner(*area);
        frame.render_widget(block, *area);
        let lines = match &supervisor.gap {
            Some(gap) => gap_lines(gap, inner),
            None => fleet_lines(app, supervisor, inner),
        };
        frame.render_widget(Paragraph::new(lines), inner);
    }
}

fn title(name: &Arc<str>, supervisor: &SupervisorView, hidden: usize) -> String {
    let incarnation = supervisor.incarnation;
    if hidden > 0 {
        format!(" {name} · start {incarnation} (and {hidden} more) ")
    } else {
        format!(" {name} · start {incarnation} ")
    }
}

/// Returns the reason and the start of a gap between lines of hatching.
fn gap_lines(gap: &Gap, area: Rect) -> Vec<Line<'static>> {
    let reason = match gap.reason {
        GapReason::Stopped => "shut down on request".to_string(),
        reason => format!("not known: {}", reason.as_str()),
    };
    let start = if gap.from_us == i64::MIN {
        String::new()
    } else {
        format!("since {}", text::time_of_day(gap.from_us))
    };
    let hatching = Line::styled(HATCH.repeat(area.width.into()), dimmed());
    let mut lines = vec![
        hatching.clone(),
        Line::styled(reason, colored(Color::Yellow)),
        Line::raw(start),
    ];
    lines.extend((GAP_LINES..area.height).map(|_| hatching.clone()));
    lines
}

fn fleet_lines(app: &App, supervisor: &SupervisorView, area: Rect) -> Vec<Line<'static>> {
    let fleet_state = &supervisor.fleet_state;
    let mut lines = notices(fleet_state);
    lines.extend(service_level_lines(app, supervisor, area.width));
    lines.push(admitted_line(fleet_state));
    lines.extend(zone_lines(fleet_state, area.width));
    let free_lines = usize::from(area.height).saturating_sub(lines.len() + 1);
    if free_lines > 0 && !fleet_state.servers.is_empty() {
        lines.push(Line::styled(
            "server         state      score err lat weight warm",
            dimmed(),
        ));
        lines.extend(worst_server_lines(fleet_state, free_lines));
    }
    lines
}

fn notices(fleet_state: &FleetState) -> Vec<Line<'static>> {
    let mut lines = Vec::new();
    if fleet_state.is_stopped {
        lines.push(Line::styled("shut down on request", colored(Color::Yellow)));
    }
    if fleet_state.is_discovery_unavailable {
        let notice = "discovery unavailable: list may be stale";
        lines.push(Line::styled(notice, colored(Color::Red)));
    }
    if fleet_state.are_warming_servers_withheld {
        let notice = "cold servers are withheld from tables";
        lines.push(Line::styled(notice, colored(Color::Yellow)));
    }
    lines
}

/// Returns the number of streams and the admitted share of each class.
fn admitted_line(fleet_state: &FleetState) -> Line<'static> {
    let Some(gauge) = &fleet_state.gauge else {
        return Line::styled("no figures yet", dimmed());
    };
    let mut spans = vec![Span::raw(format!("{} streams  ", gauge.streams))];
    for (index, level) in gauge.levels.iter().enumerate() {
        let name = fleet_state.classes.get(index).cloned();
        let class = name.unwrap_or_else(|| format!("class {index}"));
        let style = if *level < 1.0 {
            colored(Color::Yellow)
        } else {
            dimmed()
        };
        let admitted = format!("{class} {:.0}%  ", 100.0 * level);
        spans.push(Span::styled(admitted, style));
    }
    Line::from(spans)
}

fn zone_lines(fleet_state: &FleetState, width: u16) -> Vec<Line<'static>> {
    let servers = fleet_state.servers.values();
    let mut zones: Vec<&str> = servers.map(|server| server.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    let max_servers = usize::from(width).saturating_sub(ZONE_LABEL_WIDTH).max(1);
    zones
        .into_iter()
        .map(|zone| zone_line(fleet_state, zone, max_servers))
        .collect()
}

/// Returns the label of a zone, a symbol for each server, and the number of servers beyond `max_servers`.
fn zone_line(fleet_state: &FleetState, zone: &str, max_servers: usize) -> Line<'static> {
    let (label, style) = if fleet_state.partitioned_zones.contains(zone) {
        (format!("zone {zone} CUT"), colored(Color::Red))
    } else {
        (format!("zone {zone}"), Style::new())
    };
    let mut spans = vec![Span::styled(format!("{label:<12} "), style)];
    let mut count = 0;
    for server in fleet_state
        .servers
        .values()
        .filter(|server| server.zone == zone)
    {
        if count < max_servers {
            spans.push(symbol(server));
        }
        count += 1;
    }
    if count > max_servers {
        let hidden = format!("+{}", count - max_servers);
        spans.push(Span::styled(hidden, dimmed()));
    }
    Line::from(spans)
}

fn symbol(server: &ServerState) -> Span<'static> {
    let (symbol, color) = match (server.lifecycle, server.state) {
        (Life::Draining | Life::Gone, _) => ("▷", Color::Blue),
        (_, State::Withdrawn) => ("✕", Color::Red),
        _ if server.failing => ("!", Color::Red),
        _ if server.warmth < 1.0 => ("❄", Color::Cyan),
        (_, State::Reduced) => ("▼", Color::Yellow),
        (_, State::Full) => ("■", Color::Green),
    };
    Span::styled(symbol, colored(color))
}

/// Returns a line for each of the `max_lines` servers in the worst state.
fn worst_server_lines(fleet_state: &FleetState, max_lines: usize) -> Vec<Line<'static>> {
    let mut servers: Vec<(&String, &ServerState)> = fleet_state.servers.iter().collect();
    servers.sort_by(|(name, server), (other_name, other)| {
        compare_state(server, other).then(name.cmp(other_name))
    });
    servers
        .into_iter()
        .take(max_lines)
        .map(|(name, server)| server_line(name, server))
        .collect()
}

/// Orders unhealthy servers before healthy ones, then by score.
fn compare_state(server: &ServerState, other: &ServerState) -> Ordering {
    let state = (server.is_healthy(), server.score);
    let other_state = (other.is_healthy(), other.score);
    state.partial_cmp(&other_state).unwrap_or(Ordering::Equal)
}

fn server_line(name: &str, server: &ServerState) -> Line<'static> {
    let printable = name.chars().filter(|character| !character.is_control());
    let name: String = printable.take(MAX_NAME_LENGTH).collect();
    let state = state_label(server);
    let score = server.score;
    let errors = server.errors;
    let latency = server.latency;
    let weight = server.weight;
    Line::from(vec![
        symbol(server),
        Span::raw(format!(" {name:<12} {state:<10} {score:>5.2} ")),
        Span::raw(format!("{errors:>3.1} {latency:>3.1} {weight:>6.2} ")),
        Span::styled(format!("{:>3.0}%", 100.0 * server.warmth), dimmed()),
    ])
}

fn state_label(server: &ServerState) -> &'static str {
    match (server.lifecycle, server.state) {
        (Life::InService, State::Full) if server.warmth < 1.0 => "cold",
        (Life::InService, state) => text::state(state),
        (lifecycle, _) => text::lifecycle(lifecycle),
    }
}
