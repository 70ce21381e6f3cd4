//! One frame. Large terminals show everything side by side, small ones the panel in front.

use chutegrade_records::pb::{Life, State};
use chutegrade_records::replay::Server;
use chutegrade_records::{text, Gap, GapReason};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Borders, Clear, Paragraph, Sparkline, SparklineBar};
use ratatui::Frame;

use crate::app::{App, Panel};
use crate::view::{Figure, Side, Sort};

/// From this size on all panels fit side by side.
const LARGE: (u16, u16) = (84, 26);
/// Least width of one supervisor's column.
const COLUMN_LEAST: u16 = 38;
/// Height of the figures: three sparklines a supervisor and a frame.
const FIGURES: u16 = 8;

const HELP: [&str; 14] = [
    "space     stop at this moment, or follow live again",
    "left      back by a twentieth of the span; with shift ten times as far",
    "right     forth, likewise",
    "home      the first record",
    "end, l    live",
    "n, p      to the next, to the previous trouble or gap",
    "+, -      a shorter, a longer span",
    "up, down  through the events; page up and page down by ten",
    "/         filter events by words; enter keeps it, escape drops it",
    "tab       the next panel, where not all fit",
    "q         end",
    "",
    "Squares: ■ full  ▼ reduced  ✕ withdrawn  ▷ draining  ❄ cold  ! tries fail",
    "Hatched ░: not known. Nothing is shown as known in a gap.",
];

/// Draws the state of the console.
pub fn draw(frame: &mut Frame, app: &App) {
    let area = frame.area();
    let [head, body, foot] = Layout::vertical([
        Constraint::Length(1),
        Constraint::Min(1),
        Constraint::Length(1),
    ])
    .areas(area);
    draw_head(frame, app, head);
    if area.width >= LARGE.0 && area.height >= LARGE.1 {
        let fleet = (body.height - FIGURES) * 3 / 5;
        let parts = [
            Constraint::Length(fleet),
            Constraint::Length(FIGURES),
            Constraint::Min(3),
        ];
        let [fleet, figures, events] = Layout::vertical(parts).areas(body);
        draw_fleet(frame, app, fleet);
        draw_figures(frame, app, figures);
        draw_events(frame, app, events);
    } else {
        match app.panel {
            Panel::Fleet => draw_fleet(frame, app, body),
            Panel::Figures => draw_figures(frame, app, body),
            Panel::Events => draw_events(frame, app, body),
        }
    }
    draw_foot(frame, app, foot);
    if app.help {
        draw_help(frame, area);
    }
}

fn soft() -> Style {
    Style::new().fg(Color::DarkGray)
}

fn draw_head(frame: &mut Frame, app: &App, area: Rect) {
    let (mode, style) = match app.cursor {
        None => (" LIVE ", Style::new().fg(Color::Black).bg(Color::Green)),
        Some(_) => (" PAST ", Style::new().fg(Color::Black).bg(Color::Yellow)),
    };
    let time = text::time(app.at_us);
    let time = if area.width < 60 {
        text::clock(app.at_us)
    } else {
        time
    };
    let line = vec![
        Span::styled(mode, style.add_modifier(Modifier::BOLD)),
        Span::raw(format!(" {time} ")),
        Span::styled(format!("last {}", text::length(app.span_us())), soft()),
    ];
    frame.render_widget(Line::from(line), area);
}

fn draw_foot(frame: &mut Frame, app: &App, area: Rect) {
    let line = if app.typing {
        Line::from(vec![
            Span::raw("/"),
            Span::raw(app.filter.clone()),
            Span::styled("_", soft()),
        ])
    } else if let Some(fault) = &app.fault {
        Line::styled(fault.clone(), Style::new().fg(Color::Red))
    } else {
        let filter = if app.filter.is_empty() {
            String::new()
        } else {
            format!("  filter: {}", app.filter)
        };
        Line::styled(
            format!("? help  space stop  ←→ time  n p trouble  / filter  q end{filter}"),
            soft(),
        )
    };
    frame.render_widget(line, area);
}

fn block(title: String) -> Block<'static> {
    Block::new()
        .borders(Borders::TOP)
        .border_style(soft())
        .title(title)
}

/// Columns for supervisors; those that do not fit are told in the last one's title.
fn columns(app: &App, area: Rect) -> (Vec<Rect>, usize) {
    let count = app.view.sides.len().max(1);
    let fit = usize::from((area.width / COLUMN_LEAST).max(1)).min(count);
    let parts = vec![Constraint::Ratio(1, u32::try_from(fit).unwrap_or(1)); fit];
    (
        Layout::horizontal(parts).spacing(1).split(area).to_vec(),
        count - fit,
    )
}

fn draw_fleet(frame: &mut Frame, app: &App, area: Rect) {
    let (areas, hidden) = columns(app, area);
    let last = areas.len().saturating_sub(1);
    for (at, (area, (name, side))) in areas.iter().zip(&app.view.sides).enumerate() {
        let more = if at == last && hidden > 0 {
            format!(" (and {hidden} more)")
        } else {
            String::new()
        };
        let title = format!(" {name} · start {}{more} ", side.incarnation);
        let block = block(title);
        let inner = block.inner(*area);
        frame.render_widget(block, *area);
        let lines = if let Some(gap) = &side.gap {
            not_known(gap, inner)
        } else {
            fleet(app, side, inner)
        };
        frame.render_widget(Paragraph::new(lines), inner);
    }
}

/// A gap is seen as a gap.
fn not_known(gap: &Gap, area: Rect) -> Vec<Line<'static>> {
    let words = match gap.reason {
        GapReason::Stopped => "stopped as asked".to_string(),
        reason => format!("not known: {}", reason.word()),
    };
    let hatch = || Line::styled("░".repeat(area.width.into()), soft());
    let mut lines = vec![hatch()];
    let since = if gap.from_us == i64::MIN {
        String::new()
    } else {
        format!("since {}", text::clock(gap.from_us))
    };
    lines.push(Line::styled(words, Style::new().fg(Color::Yellow)));
    lines.push(Line::raw(since));
    lines.extend((3..area.height).map(|_| hatch()));
    lines
}

fn mark(server: &Server) -> (&'static str, Color) {
    match (server.life, server.state) {
        (Life::Draining | Life::Gone, _) => ("▷", Color::Blue),
        (_, State::Withdrawn) => ("✕", Color::Red),
        _ if server.failing => ("!", Color::Red),
        _ if server.warmth < 1.0 => ("❄", Color::Cyan),
        (_, State::Reduced) => ("▼", Color::Yellow),
        (_, State::Full) => ("■", Color::Green),
    }
}

fn word(server: &Server) -> &'static str {
    match (server.life, server.state) {
        (Life::InService, State::Full) if server.warmth < 1.0 => "cold",
        (Life::InService, state) => text::state(state),
        (life, _) => text::life(life),
    }
}

fn fleet(app: &App, side: &Side, area: Rect) -> Vec<Line<'static>> {
    let picture = &side.picture;
    let mut lines = Vec::new();
    if picture.stopped {
        lines.push(Line::styled(
            "stopped as asked",
            Style::new().fg(Color::Yellow),
        ));
    }
    if picture.discovery_silent {
        lines.push(Line::styled(
            "discovery is silent: the list may be old",
            Style::new().fg(Color::Red),
        ));
    }
    if picture.cold_held {
        lines.push(Line::styled(
            "cold servers are held out of tables",
            Style::new().fg(Color::Yellow),
        ));
    }
    lines.extend(service(side, area.width, (app.at_us, app.span_us())));
    lines.push(levels(side));
    let mut zones: Vec<&str> = picture
        .servers
        .values()
        .map(|server| server.zone.as_str())
        .collect();
    zones.sort_unstable();
    zones.dedup();
    let width = usize::from(area.width).saturating_sub(14).max(1);
    for zone in zones {
        let of = || {
            picture
                .servers
                .values()
                .filter(|server| server.zone == zone)
        };
        let cut = picture.cut.contains(zone);
        let style = if cut {
            Style::new().fg(Color::Red)
        } else {
            Style::new()
        };
        let label = if cut {
            format!("zone {zone} CUT")
        } else {
            format!("zone {zone}")
        };
        let mut spans = vec![Span::styled(format!("{label:<12} "), style)];
        spans.extend(of().take(width).map(|server| {
            let (mark, color) = mark(server);
            Span::styled(mark, Style::new().fg(color))
        }));
        let count = of().count();
        if count > width {
            spans.push(Span::styled(format!("+{}", count - width), soft()));
        }
        lines.push(Line::from(spans));
    }
    let room = usize::from(area.height).saturating_sub(lines.len() + 1);
    if room > 0 && !picture.servers.is_empty() {
        lines.push(Line::styled(
            "server         state      score err lat weight warm",
            soft(),
        ));
        lines.extend(worst(side, room));
    }
    lines
}

/// The servers that are least well, as many as fit.
fn worst(side: &Side, room: usize) -> Vec<Line<'static>> {
    let mut servers: Vec<(&String, &Server)> = side.picture.servers.iter().collect();
    servers.sort_by(|a, b| {
        (a.1.is_well(), a.1.score)
            .partial_cmp(&(b.1.is_well(), b.1.score))
            .unwrap_or(std::cmp::Ordering::Equal)
            .then(a.0.cmp(b.0))
    });
    let line = |(name, server): (&String, &Server)| {
        let (mark, color) = mark(server);
        let short: String = name.chars().filter(|c| !c.is_control()).take(12).collect();
        Line::from(vec![
            Span::styled(mark, Style::new().fg(color)),
            Span::raw(format!(
                " {short:<12} {:<10} {:>5.2} ",
                word(server),
                server.score
            )),
            Span::raw(format!(
                "{:>3.1} {:>3.1} {:>6.2} ",
                server.errors, server.latency, server.weight
            )),
            Span::styled(format!("{:>3.0}%", 100.0 * server.warmth), soft()),
        ])
    };
    servers.into_iter().take(room).map(line).collect()
}

/// The level of service with its time and signals, and below it a band over the span: a letter for each change.
fn service(side: &Side, width: u16, span: (i64, i64)) -> Vec<Line<'static>> {
    let Some(level) = &side.picture.service_level else {
        return Vec::new();
    };
    let full = level == "full";
    let style = if full {
        Style::new().fg(Color::Green)
    } else {
        Style::new().fg(Color::Yellow).add_modifier(Modifier::BOLD)
    };
    let mut spans = vec![
        Span::raw("service "),
        Span::styled(text::printable(level), style),
    ];
    if let Some(gauge) = &side.picture.gauge {
        let since = side.picture.learned_us.saturating_sub(gauge.level_since_us);
        if gauge.level_since_us > 0 {
            spans.push(Span::styled(
                format!(" for {}", text::length(since)),
                soft(),
            ));
        }
        let shown: Vec<String> = gauge.signals.iter().map(text::signal).collect();
        let shown = format!("  {}", shown.join(" "));
        let room = usize::from(width)
            .saturating_sub(spans.iter().map(|span| span.content.chars().count()).sum());
        spans.push(Span::styled(
            shown.chars().take(room).collect::<String>(),
            soft(),
        ));
    }
    let mut lines = vec![Line::from(spans)];
    let names: Vec<&str> = side
        .figures
        .iter()
        .filter_map(|figure| figure.service_level.as_deref())
        .collect();
    if names.windows(2).any(|two| two[0] != two[1]) {
        lines.push(band(side, width, span));
    }
    lines
}

/// Levels over the span: a line where service was full, the level's name where it was not, hatched where nothing is known.
fn band(side: &Side, width: u16, (at_us, span_us): (i64, i64)) -> Line<'static> {
    let width = usize::from(width).saturating_sub(8).max(1);
    let from = at_us.saturating_sub(span_us);
    let step = (span_us / width as i64).max(1);
    // Figures come each second: columns narrower than that hold the one before.
    let reach = usize::try_from(4_000_000 / step).unwrap_or(0);
    let mut cells: Vec<Option<&str>> = vec![None; width];
    for figure in &side.figures {
        let at = usize::try_from((figure.at_us - from) / step)
            .unwrap_or(0)
            .min(width - 1);
        let level = figure.service_level.as_deref();
        cells
            .iter_mut()
            .skip(at)
            .take(reach + 1)
            .for_each(|cell| *cell = level);
    }
    let mut spans = vec![Span::styled("levels  ", soft())];
    for run in cells.chunk_by(|one, other| one == other) {
        match run.first().copied().flatten() {
            None => spans.push(Span::styled("░".repeat(run.len()), soft())),
            Some("full") => spans.push(Span::styled("─".repeat(run.len()), soft())),
            Some(level) => {
                let name: String = text::printable(level).chars().take(run.len()).collect();
                let pad = run.len().saturating_sub(name.chars().count());
                let style = Style::new().fg(Color::Black).bg(Color::Yellow);
                spans.push(Span::styled(format!("{name}{}", " ".repeat(pad)), style));
            }
        }
    }
    Line::from(spans)
}

fn levels(side: &Side) -> Line<'static> {
    let Some(gauge) = &side.picture.gauge else {
        return Line::styled("no figures yet", soft());
    };
    let mut spans = vec![Span::raw(format!("{} streams  ", gauge.streams))];
    for (at, level) in gauge.levels.iter().enumerate() {
        let class = side
            .picture
            .classes
            .get(at)
            .cloned()
            .unwrap_or_else(|| format!("class {at}"));
        let style = if *level < 1.0 {
            Style::new().fg(Color::Yellow)
        } else {
            soft()
        };
        spans.push(Span::styled(
            format!("{class} {:.0}%  ", 100.0 * level),
            style,
        ));
    }
    Line::from(spans)
}

/// One of the figures.
type Of = fn(&Figure) -> f64;

fn draw_figures(frame: &mut Frame, app: &App, area: Rect) {
    let (areas, _) = columns(app, area);
    for (area, (name, side)) in areas.iter().zip(&app.view.sides) {
        let block = block(format!(" {name} · figures "));
        let inner = block.inner(*area);
        frame.render_widget(block, *area);
        let rows = Layout::vertical([Constraint::Fill(1); 3]).split(inner);
        let most = |of: Of| side.figures.iter().map(of).fold(0.0, f64::max);
        let queue = most(|figure| figure.waiting);
        let refused = most(|figure| figure.refused);
        let lowest = side
            .figures
            .iter()
            .map(|figure| figure.admitted)
            .fold(1.0, f64::min);
        let figures: [(String, Of, f64); 3] = [
            (
                format!("queue ≤{queue:.0}"),
                |figure| figure.waiting,
                queue.max(1.0),
            ),
            (
                format!("refused ≤{:.0}%", 100.0 * refused),
                |figure| figure.refused,
                1.0,
            ),
            (
                format!("admitted ≥{:.0}%", 100.0 * lowest),
                |figure| figure.admitted,
                1.0,
            ),
        ];
        for (row, (label, of, most)) in rows.iter().zip(figures) {
            let parts = [Constraint::Length(15), Constraint::Min(4)];
            let [left, right] = Layout::horizontal(parts).areas(*row);
            frame.render_widget(Line::styled(label, soft()), left);
            sparkline(frame, right, app, side, of, most);
        }
    }
}

/// A figure over the span; columns of which nothing is known are hatched.
fn sparkline(frame: &mut Frame, area: Rect, app: &App, side: &Side, of: Of, most: f64) {
    /// Resolution of the bars.
    const STEPS: f64 = 1000.0;
    let width = i64::from(area.width.max(1));
    let from = app.at_us.saturating_sub(app.span_us());
    let step = (app.span_us() / width).max(1);
    let mut bars: Vec<Option<u64>> = vec![None; area.width.into()];
    for figure in &side.figures {
        let at = usize::try_from((figure.at_us - from) / step)
            .unwrap_or(0)
            .min(bars.len().saturating_sub(1));
        if let Some(bar) = bars.get_mut(at) {
            let value = (of(figure) / most * STEPS) as u64;
            *bar = Some(bar.unwrap_or(0).max(value));
        }
    }
    // Figures come each second: columns narrower than that hold the one before.
    let reach = usize::try_from(4_000_000 / step).unwrap_or(0);
    let mut last: Option<(usize, u64)> = None;
    let filled: Vec<SparklineBar> = bars
        .iter()
        .enumerate()
        .map(|(at, bar)| {
            last = bar
                .map(|value| (at, value))
                .or(last.filter(|(seen, _)| at - seen <= reach));
            SparklineBar::from(last.map(|(_, value)| value))
        })
        .collect();
    let chart = Sparkline::default()
        .data(filled)
        .max(STEPS as u64)
        .absent_value_symbol("░")
        .absent_value_style(soft())
        .style(Style::new().fg(Color::Blue));
    frame.render_widget(chart, area);
}

fn draw_events(frame: &mut Frame, app: &App, area: Rect) {
    let rows = &app.view.rows;
    let block = block(format!(
        " events · {} in the last {} ",
        rows.len(),
        text::length(app.span_us())
    ));
    let inner = block.inner(area);
    frame.render_widget(block, area);
    let end = rows.len().saturating_sub(app.scroll);
    let begin = end.saturating_sub(inner.height.into());
    let narrow = area.width < 60;
    let line = |row: &crate::view::Row| {
        let style = match row.sort {
            Sort::Plain => Style::new(),
            Sort::Trouble => Style::new().fg(Color::Red),
            Sort::Gap => Style::new().fg(Color::Yellow),
        };
        let time = text::clock(row.at_us);
        let time = if narrow {
            time.get(..8).unwrap_or_default().to_string()
        } else {
            time
        };
        let lead = Span::styled(format!("{time} {} ", row.supervisor), soft());
        Line::from(vec![lead, Span::styled(row.text.clone(), style)])
    };
    let lines: Vec<Line> = rows
        .get(begin..end)
        .unwrap_or_default()
        .iter()
        .map(line)
        .collect();
    let none = || vec![Line::styled("nothing in this time", soft())];
    frame.render_widget(
        Paragraph::new(if lines.is_empty() { none() } else { lines }),
        inner,
    );
}

fn draw_help(frame: &mut Frame, area: Rect) {
    let width = area.width.min(78);
    let height = area.height.min(HELP.len() as u16 + 2);
    let place = Rect {
        x: area.x + (area.width - width) / 2,
        y: area.y + (area.height - height) / 2,
        width,
        height,
    };
    frame.render_widget(Clear, place);
    let lines: Vec<Line> = HELP.iter().map(|line| Line::raw(*line)).collect();
    let block = Block::bordered().title(" keys · any key closes ");
    frame.render_widget(Paragraph::new(lines).block(block), place);
}
