//! The help over the panels.

use ratatui::layout::Rect;
use ratatui::text::Line;
use ratatui::widgets::{Block, Clear, Paragraph};
use ratatui::Frame;

/// Greatest width of the help.
const MAX_WIDTH: u16 = 78;
/// Lines of the upper and the lower border.
const BORDER_LINES: u16 = 2;

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

/// Draws the help in the middle of an area.
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
