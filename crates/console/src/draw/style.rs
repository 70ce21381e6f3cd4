//! Styles, blocks and columns that all panels share.

use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Style};
use ratatui::widgets::{Block, Borders};

use crate::app::App;

/// What fills an area of which nothing is known.
pub(super) const HATCH: &str = "░";
/// The name of full service.
pub(super) const FULL_SERVICE: &str = "full";
/// Time that a sample is shown for, in microseconds, if no other follows: there is one a second.
pub(super) const SAMPLE_HOLD_US: i64 = 4_000_000;
/// Least width of a supervisor's column.
const MIN_COLUMN_WIDTH: u16 = 38;

/// The style of a color.
pub(super) fn colored(color: Color) -> Style {
    Style::new().fg(color)
}

/// The style of labels and of what matters less.
pub(super) fn dimmed() -> Style {
    colored(Color::DarkGray)
}

/// A block with a title in its upper border.
pub(super) fn titled_block(title: String) -> Block<'static> {
    Block::new()
        .borders(Borders::TOP)
        .border_style(dimmed())
        .title(title)
}

/// Columns of the supervisors.
pub(super) struct Columns {
    /// The area of each supervisor that is shown.
    pub(super) areas: Vec<Rect>,
    /// The number of supervisors for which there is no column.
    pub(super) hidden: usize,
}

impl Columns {
    /// As many columns as fit into an area.
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
