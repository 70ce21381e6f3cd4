//! Keys and what they do.

use ratatui::crossterm::event::{KeyCode, KeyEvent, KeyModifiers};

use super::App;

/// Longest filter, in characters.
const MAX_FILTER_CHARACTERS: usize = 200;
/// Steps through time in a span.
const STEPS_PER_SPAN: i64 = 20;
/// How many times farther a step with shift is.
const SHIFT_FACTOR: i64 = 10;
/// Rows of a page of events.
const PAGE_ROWS: isize = 10;

/// What the caller does after a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// Draw again.
    Redraw,
    /// Read the records, then draw.
    Refresh,
    /// End the console.
    Quit,
}

impl App {
    /// Handles a key.
    pub fn handle_key(&mut self, key: KeyEvent) -> KeyOutcome {
        if key.modifiers.contains(KeyModifiers::CONTROL) && key.code == KeyCode::Char('c') {
            return KeyOutcome::Quit;
        }
        if self.is_editing_filter {
            return self.edit_filter(key.code);
        }
        if self.shows_help {
            self.shows_help = false;
            return KeyOutcome::Redraw;
        }
        match key.code {
            KeyCode::Char(character) => self.handle_character(character),
            KeyCode::Esc => KeyOutcome::Quit,
            KeyCode::Left => self.move_cursor(self.at_us.saturating_sub(self.step_us(key))),
            KeyCode::Right => self.move_cursor(self.at_us.saturating_add(self.step_us(key))),
            KeyCode::Home => self.move_cursor(i64::MIN),
            KeyCode::End => self.follow_present(),
            KeyCode::Tab => {
                self.panel = self.panel.next();
                KeyOutcome::Redraw
            }
            KeyCode::Up => self.scroll_by(1),
            KeyCode::Down => self.scroll_by(-1),
            KeyCode::PageUp => self.scroll_by(PAGE_ROWS),
            KeyCode::PageDown => self.scroll_by(-PAGE_ROWS),
            _ => KeyOutcome::Redraw,
        }
    }

    fn handle_character(&mut self, character: char) -> KeyOutcome {
        match character {
            'q' => KeyOutcome::Quit,
            '?' | 'h' => {
                self.shows_help = true;
                KeyOutcome::Redraw
            }
            '/' => {
                self.is_editing_filter = true;
                KeyOutcome::Redraw
            }
            'l' => self.follow_present(),
            ' ' => self.toggle_pause(),
            'n' => self.move_to_next_fault(),
            'p' => self.move_to_previous_fault(),
            '+' | '=' => self.shorten_span(),
            '-' => self.lengthen_span(),
            _ => KeyOutcome::Redraw,
        }
    }

    /// The step through time of a key, in microseconds.
    fn step_us(&self, key: KeyEvent) -> i64 {
        let step_us = self.span_us() / STEPS_PER_SPAN;
        if key.modifiers.contains(KeyModifiers::SHIFT) {
            step_us * SHIFT_FACTOR
        } else {
            step_us
        }
    }

    fn edit_filter(&mut self, code: KeyCode) -> KeyOutcome {
        match code {
            KeyCode::Enter => self.is_editing_filter = false,
            KeyCode::Esc => {
                self.is_editing_filter = false;
                self.filter.clear();
            }
            KeyCode::Backspace => {
                self.filter.pop();
            }
            KeyCode::Char(character) => self.extend_filter(character),
            _ => {}
        }
        self.scroll = 0;
        KeyOutcome::Refresh
    }

    fn extend_filter(&mut self, character: char) {
        if self.filter.chars().count() < MAX_FILTER_CHARACTERS {
            self.filter.push(character);
        }
    }
}
