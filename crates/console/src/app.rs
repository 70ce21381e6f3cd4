//! What the user has chosen: where the cursor is, how far back is shown, which events pass, which panel is in front.

use std::path::PathBuf;

use chutegrade_records::timeline::{Fault, Timeline};
use ratatui::crossterm::event::{KeyCode, KeyEvent, KeyModifiers};

use crate::view::{Sort, View};

/// Spans of time that can be shown, in seconds.
const SPANS: [i64; 8] = [30, 60, 300, 900, 3600, 14_400, 43_200, 86_400];
/// Characters of a filter at most.
const FILTER_MOST: usize = 200;

/// What follows from a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Draw again.
    On,
    /// Read again, then draw.
    Changed,
    /// End.
    End,
}

/// Panels, of which a small terminal shows one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Panel {
    /// Servers by zone.
    Fleet,
    /// Figures over time.
    Figures,
    /// Events.
    Events,
}

/// The console's state.
pub struct App {
    timeline: Timeline,
    /// What is shown.
    pub view: View,
    /// The moment that is shown; none: the newest.
    pub cursor: Option<i64>,
    /// The moment that was read last.
    pub at_us: i64,
    /// How far back is shown, as a place in the list of spans.
    span: usize,
    /// Words that events must hold.
    pub filter: String,
    /// The filter is being typed.
    pub typing: bool,
    /// The panel in front.
    pub panel: Panel,
    /// Rows of events passed, counted from the newest.
    pub scroll: usize,
    /// The help page is shown.
    pub help: bool,
    /// What can't be read now.
    pub fault: Option<String>,
}

impl App {
    /// Opens records at a moment, or at the newest.
    pub fn open(directories: &[PathBuf], at_us: Option<i64>) -> Result<Self, Fault> {
        let timeline = Timeline::open(directories)?;
        Ok(App {
            timeline,
            view: View::default(),
            cursor: at_us,
            at_us: at_us.unwrap_or_default(),
            span: 2,
            filter: String::new(),
            typing: false,
            panel: Panel::Fleet,
            scroll: 0,
            help: false,
            fault: None,
        })
    }

    /// How far back is shown, in microseconds.
    pub fn span_us(&self) -> i64 {
        SPANS.get(self.span).copied().unwrap_or(300) * 1_000_000
    }

    /// Reads what was written since, and what is to be shown. A directory that is gone leaves what was known.
    pub fn look(&mut self, now_us: i64) {
        self.fault = self.timeline.refresh().err().map(|fault| fault.to_string());
        // Live is now, so that a supervisor that says nothing any more is seen to say nothing.
        self.at_us = self.cursor.unwrap_or(now_us);
        self.view = View::read(&self.timeline, self.at_us, self.span_us(), &self.filter);
        self.scroll = self.scroll.min(self.view.rows.len().saturating_sub(1));
    }

    fn span_all(&self) -> (i64, i64) {
        self.timeline
            .span()
            .map_or((self.at_us, self.at_us), |span| (span.from_us, span.to_us))
    }

    fn move_to(&mut self, at_us: i64) -> Flow {
        let (first, last) = self.span_all();
        self.cursor = Some(at_us.clamp(first, last));
        self.scroll = 0;
        Flow::Changed
    }

    /// Moves to the next or the last trouble or gap that is shown or lies before.
    fn jump(&mut self, forward: bool) -> Flow {
        let from = self.at_us;
        let (first, last) = self.span_all();
        let (window, span) = if forward {
            (last, last.saturating_sub(from))
        } else {
            (from.saturating_sub(1), from.saturating_sub(first))
        };
        let found = View::read(&self.timeline, window, span, &self.filter);
        let mut wanted = found
            .rows
            .iter()
            .filter(|row| row.sort != Sort::Plain)
            .map(|row| row.at_us);
        let at = if forward {
            wanted.find(|at| *at > from)
        } else {
            wanted.rfind(|at| *at < from)
        };
        at.map_or(Flow::On, |at| self.move_to(at))
    }

    /// Takes a key.
    pub fn key(&mut self, key: KeyEvent) -> Flow {
        if key.modifiers.contains(KeyModifiers::CONTROL) && key.code == KeyCode::Char('c') {
            return Flow::End;
        }
        if self.typing {
            return self.type_key(key.code);
        }
        if self.help {
            self.help = false;
            return Flow::On;
        }
        let step = self.span_us() / 20;
        let far = key.modifiers.contains(KeyModifiers::SHIFT);
        let step = if far { step * 10 } else { step };
        match key.code {
            KeyCode::Char('q') | KeyCode::Esc => Flow::End,
            KeyCode::Char('?' | 'h') => {
                self.help = true;
                Flow::On
            }
            KeyCode::Left => self.move_to(self.at_us.saturating_sub(step)),
            KeyCode::Right => self.move_to(self.at_us.saturating_add(step)),
            KeyCode::Home => self.move_to(i64::MIN),
            KeyCode::End | KeyCode::Char('l') => {
                (self.cursor, self.scroll) = (None, 0);
                Flow::Changed
            }
            KeyCode::Char(' ') => {
                self.cursor = if self.cursor.is_none() {
                    Some(self.at_us)
                } else {
                    None
                };
                Flow::Changed
            }
            KeyCode::Char('n') => self.jump(true),
            KeyCode::Char('p') => self.jump(false),
            KeyCode::Char('+' | '=') => {
                self.span = self.span.saturating_sub(1);
                Flow::Changed
            }
            KeyCode::Char('-') => {
                self.span = (self.span + 1).min(SPANS.len() - 1);
                Flow::Changed
            }
            KeyCode::Char('/') => {
                self.typing = true;
                Flow::On
            }
            KeyCode::Tab => {
                self.panel = match self.panel {
                    Panel::Fleet => Panel::Figures,
                    Panel::Figures => Panel::Events,
                    Panel::Events => Panel::Fleet,
                };
                Flow::On
            }
            KeyCode::Up => self.scroll_by(1),
            KeyCode::Down => self.scroll_by(-1),
            KeyCode::PageUp => self.scroll_by(10),
            KeyCode::PageDown => self.scroll_by(-10),
            _ => Flow::On,
        }
    }

    fn scroll_by(&mut self, rows: isize) -> Flow {
        let most = self.view.rows.len().saturating_sub(1);
        self.scroll = self.scroll.saturating_add_signed(rows).min(most);
        Flow::On
    }

    fn type_key(&mut self, code: KeyCode) -> Flow {
        match code {
            KeyCode::Enter => self.typing = false,
            KeyCode::Esc => {
                (self.typing, self.filter) = (false, String::new());
            }
            KeyCode::Backspace => {
                self.filter.pop();
            }
            KeyCode::Char(c) if self.filter.chars().count() < FILTER_MOST => self.filter.push(c),
            _ => {}
        }
        self.scroll = 0;
        Flow::Changed
    }
}
