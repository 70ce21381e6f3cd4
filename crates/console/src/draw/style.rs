//! Styles, blocks and columns used by all panels.

use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Style};
use ratatui::widgets::{Block, Borders};

use crate::app::App;

/// Symbol that fills areas without data.
pub(super) const HATCH: &str = "░";
/// The name of the service level without restrictions.
pub(super) const FULL_SERVICE: &str = "full";
/// Maximum time for which a sample is shown if no other follows, in microseconds. Samples are recorded every second.
pub(super) const SAMPLE_HOLD_US: i64 = 4_000_000;
/// Minimum width of a supervisor's column, in terminal columns.
const MIN_COLUMN_WIDTH: u16 = 38;

pub(super) fn colored(color: Color) -> Style {
    Style::new().fg(color)
}

/// Returns the style of labels and secondary text.
pub(super) fn dimmed() -> Style {
    colored(Color::DarkGray)
}

/// Returns a block with a title in its upper border.
pub(super) fn titled_block(title: String) -> Block<'static> {
    Block::new()
        .borders(Borders::TOP)
        .border_style(dimmed())
        .title(title)
}

/// The layout of the supervisors side by side.
pub(super) struct Columns {
    /// The areas of the supervisors that are shown, in order.
    pub(super) areas: Vec<Rect>,
    /// The number of supervisors that do not fit.
    pub(super) hidden: usize,
}

impl Columns {
    /// Creates a column for each supervisor, as far as they fit into an area.
    pub(super) fn new(app: &App, area: Rect) -> Self {
        let supervisors = app.view.supervisors.len().max(1);
        let fitting = usize::from((area.width / MIN_COLUMN_WIDTH).max(1));
        let shown = fitting.min(supervisors);
        let width = Constraint::Ratio(1, u32::try_from(shown).unwrap_or(1));
        let layout = Layout::horizontal(vec![width; shown]).spacing(1);
        Columns {
            areas: layout.split(area).to_vec(),
            hidden: supervisors - shown,
        }
    }
}
