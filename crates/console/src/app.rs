//! The state of the console: the cursor in time, the span, the filter of events and the selected panel.

mod keys;

use std::path::PathBuf;

use chutegrade_records::timeline::{ReadError, Timeline};
use chutegrade_records::Window;

use crate::view::{RowKind, View};

pub use keys::KeyOutcome;

/// Selectable spans of time, in seconds.
const SPANS_S: [i64; 8] = [30, 60, 300, 900, 3600, 14_400, 43_200, 86_400];
/// Index of the initial span in `SPANS_S`.
const DEFAULT_SPAN_INDEX: usize = 2;
/// Microseconds in a second.
const US_PER_SECOND: i64 = 1_000_000;

/// A panel; a small terminal shows one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Panel {
    /// Service level, admitted shares and servers by zone.
    Fleet,
    /// Charts of samples over time.
    Charts,
    /// The list of events and gaps.
    Events,
}

impl Panel {
    fn next(self) -> Self {
        match self {
            Panel::Fleet => Panel::Charts,
            Panel::Charts => Panel::Events,
            Panel::Events => Panel::Fleet,
        }
    }
}

/// The state of the console.
pub struct App {
    timeline: Timeline,
    /// The data of the next frame, as of the last refresh.
    pub view: View,
    /// The selected time, in Unix microseconds; `None` follows the present.
    pub cursor: Option<i64>,
    /// The time of [`App::view`], in Unix microseconds.
    pub at_us: i64,
    /// Index into `SPANS_S`.
    span_index: usize,
    /// Words that a row of events must contain.
    pub filter: String,
    /// Whether the filter is being edited.
    pub is_editing_filter: bool,
    /// The panel that a small terminal shows.
    pub panel: Panel,
    /// Number of rows by which the events are scrolled back from the newest.
    pub scroll: usize,
    /// Whether the help covers the panels.
    pub shows_help: bool,
    /// The error of the last refresh, if it failed.
    pub refresh_error: Option<String>,
}

impl App {
    /// Opens records at a time in Unix microseconds, or at the present.
    ///
    /// # Errors
    ///
    /// If the records cannot be read.
    pub fn open(directories: &[PathBuf], at_us: Option<i64>) -> Result<Self, ReadError> {
        Ok(App {
            timeline: Timeline::open(directories)?,
            view: View::default(),
            cursor: at_us,
            at_us: at_us.unwrap_or_default(),
            span_index: DEFAULT_SPAN_INDEX,
            filter: String::new(),
            is_editing_filter: false,
            panel: Panel::Fleet,
            scroll: 0,
            shows_help: false,
            refresh_error: None,
        })
    }

    /// Returns the span of time that is shown, in microseconds.
    pub fn span_us(&self) -> i64 {
        let span_s = SPANS_S.get(self.span_index).copied().unwrap_or(300);
        span_s * US_PER_SECOND
    }

    /// Reads new records and updates the view. If a directory was removed, the records read before are retained.
    pub fn refresh(&mut self, now_us: i64) {
        let result = self.timeline.refresh();
        self.refresh_error = result.err().map(|error| error.to_string());
        // Not the time of the newest record, which would hide that a supervisor has stopped writing.
        self.at_us = self.cursor.unwrap_or(now_us);
        self.view = View::read(&self.timeline, self.window(), &self.filter);
        self.scroll = self.scroll.min(self.last_row());
    }

    fn window(&self) -> Window {
        Window {
            from_us: self.at_us.saturating_sub(self.span_us()),
            to_us: self.at_us,
        }
    }

    fn last_row(&self) -> usize {
        self.view.rows.len().saturating_sub(1)
    }

    /// Returns the interval that the records cover.
    fn recorded_window(&self) -> Window {
        self.timeline.span().unwrap_or(Window {
            from_us: self.at_us,
            to_us: self.at_us,
        })
    }

    fn move_cursor(&mut self, at_us: i64) -> KeyOutcome {
        let recorded = self.recorded_window();
        self.cursor = Some(at_us.clamp(recorded.from_us, recorded.to_us));
        self.scroll = 0;
        KeyOutcome::Refresh
    }

    fn follow_present(&mut self) -> KeyOutcome {
        self.cursor = None;
        self.scroll = 0;
        KeyOutcome::Refresh
    }

    fn toggle_pause(&mut self) -> KeyOutcome {
        self.cursor = match self.cursor {
            None => Some(self.at_us),
            Some(_) => None,
        };
        KeyOutcome::Refresh
    }

    /// Moves to the next fault or gap.
    fn move_to_next_fault(&mut self) -> KeyOutcome {
        let current_us = self.at_us;
        let window = Window {
            from_us: current_us,
            to_us: self.recorded_window().to_us,
        };
        let next_us = self
            .fault_times(window)
            .into_iter()
            .find(|at_us| *at_us > current_us);
        next_us.map_or(KeyOutcome::Redraw, |at_us| self.move_cursor(at_us))
    }

    /// Moves to the previous fault or gap.
    fn move_to_previous_fault(&mut self) -> KeyOutcome {
        let current_us = self.at_us;
        let to_us = current_us.saturating_sub(1);
        let span_us = current_us.saturating_sub(self.recorded_window().from_us);
        let window = Window {
            from_us: to_us.saturating_sub(span_us),
            to_us,
        };
        let previous_us = self
            .fault_times(window)
            .into_iter()
            .rfind(|at_us| *at_us < current_us);
        previous_us.map_or(KeyOutcome::Redraw, |at_us| self.move_cursor(at_us))
    }

    /// Returns the times of the faults and gaps in a window that match the filter.
    fn fault_times(&self, window: Window) -> Vec<i64> {
        let view = View::read(&self.timeline, window, &self.filter);
        let faults = view.rows.iter().filter(|row| row.kind != RowKind::Event);
        faults.map(|row| row.at_us).collect()
    }

    fn shorten_span(&mut self) -> KeyOutcome {
        self.span_index = self.span_index.saturating_sub(1);
        KeyOutcome::Refresh
    }

    fn lengthen_span(&mut self) -> KeyOutcome {
        self.span_index = (self.span_index + 1).min(SPANS_S.len() - 1);
        KeyOutcome::Refresh
    }

    fn scroll_by(&mut self, rows: isize) -> KeyOutcome {
        let scroll = self.scroll.saturating_add_signed(rows);
        self.scroll = scroll.min(self.last_row());
        KeyOutcome::Redraw
    }
}
