//! Key bindings.

use ratatui::crossterm::event::{KeyCode, KeyEvent, KeyModifiers};

use super::App;

/// Maximum length of the filter, in characters.
const MAX_FILTER_CHARACTERS: usize = 200;
/// Number of cursor steps in a span.
const STEPS_PER_SPAN: i64 = 20;
/// Factor by which shift enlarges a step.
const SHIFT_FACTOR: i64 = 10;
/// Rows by which page up and page down scroll.
const PAGE_ROWS: isize = 10;

/// What the caller must do after a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// Redraw the frame.
    Redraw,
    /// Refresh the records, then redraw the frame.
    Refresh,
    /// Exit the console.
    Quit,
}

impl App {
    /// Updates the state for a key and returns what the caller must do. Ignores keys without a binding.
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

    /// Returns how far a key moves the cursor, in microseconds.
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
