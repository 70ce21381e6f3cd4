//! The help, drawn over the panels.

use ratatui::layout::Rect;
use ratatui::text::Line;
use ratatui::widgets::{Block, Clear, Paragraph};
use ratatui::Frame;

/// Maximum width of the help, in columns.
const MAX_WIDTH: u16 = 78;
/// Lines that the upper and the lower border occupy.
const BORDER_LINES: u16 = 2;

const HELP: [&str; 14] = [
    "space     pause at this moment, or follow live again",
    "left      back by a twentieth of the span; with shift ten times as far",
    "right     forward, likewise",
    "home      the first record",
    "end, l    live",
    "n, p      to the next, to the previous fault or gap",
    "+, -      a shorter, a longer span",
    "up, down  through the events; page up and page down by ten",
    "/         filter events by words; enter applies it, escape clears it",
    "tab       the next panel, if they do not all fit",
    "q         quit",
    "",
    "Symbols: ■ full  ▼ reduced  ✕ withdrawn  ▷ draining  ❄ cold  ! attempts fail",
    "Hatched ░: not known. No state is shown in a gap of the records.",
];

/// Draws the help at the center of an area.
pub(super) fn draw_help(frame: &mut Frame, area: Rect) {
    let width = area.width.min(MAX_WIDTH);
    let height = area.height.min(HELP.len() as u16 + BORDER_LINES);
    let help_area = Rect {
        x: area.x + (area.width - width) / 2,
        y: area.y + (area.height - height) / 2,
        width,
        height,
    };
    let lines: Vec<Line> = HELP.iter().map(|line| Line::raw(*line)).collect();
    let block = Block::bordered().title(" keys · any key closes ");
    frame.render_widget(Clear, help_area);
    frame.render_widget(Paragraph::new(lines).block(block), help_area);
}
