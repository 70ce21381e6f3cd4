//! Runs the console on a terminal and prints single frames as text.

use std::io::{self, IsTerminal as _, Write};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ratatui::backend::TestBackend;
use ratatui::buffer::Buffer;
use ratatui::crossterm::event::{self, Event, KeyEvent, KeyEventKind};
use ratatui::{DefaultTerminal, Terminal};

use crate::{draw, App, ConsoleError, KeyOutcome};

/// Interval at which the records are read while following them.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time to wait for a key.
const KEY_TIMEOUT: Duration = Duration::from_millis(200);
/// Width of a printed frame if the output is not a terminal, in columns.
const DEFAULT_WIDTH: u16 = 110;
/// Height of a printed frame if the output is not a terminal, in lines.
const DEFAULT_HEIGHT: u16 = 40;

/// Follows records on the terminal until the user quits. Without `at_us`, in Unix microseconds, it shows the present.
///
/// # Errors
///
/// If there is no terminal, it cannot be used, or the records cannot be read.
pub fn run(directories: &[PathBuf], at_us: Option<i64>) -> Result<(), ConsoleError> {
    if !io::stdout().is_terminal() || !io::stdin().is_terminal() {
        return Err(ConsoleError::NoTerminal);
    }
    let mut app = App::open(directories, at_us)?;
    let mut terminal = ratatui::try_init()?;
    let result = follow(&mut app, &mut terminal);
    ratatui::restore();
    Ok(result?)
}

fn follow(app: &mut App, terminal: &mut DefaultTerminal) -> io::Result<()> {
    let mut refreshed_at: Option<Instant> = None;
    loop {
        if refreshed_at.is_none_or(|at| at.elapsed() >= REFRESH_INTERVAL) {
            refreshed_at = Some(Instant::now());
            app.refresh(now_us());
        }
        terminal.draw(|frame| draw(frame, app))?;
        let Some(key) = next_key()? else {
            continue;
        };
        match app.handle_key(key) {
            KeyOutcome::Redraw => {}
            KeyOutcome::Refresh => app.refresh(now_us()),
            KeyOutcome::Quit => return Ok(()),
        }
    }
}

/// Returns the next key that is pressed, if any before the timeout.
fn next_key() -> io::Result<Option<KeyEvent>> {
    if !event::poll(KEY_TIMEOUT)? {
        return Ok(None);
    }
    match event::read()? {
        Event::Key(key) if key.kind != KeyEventKind::Release => Ok(Some(key)),
        _ => Ok(None),
    }
}

/// Returns the current Unix time in microseconds.
fn now_us() -> i64 {
    let unix_time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    i64::try_from(unix_time.as_micros()).unwrap_or(i64::MAX)
}

/// Prints one frame as text. Without `at_us`, in Unix microseconds, it shows the present.
///
/// # Errors
///
/// If the records cannot be read or the output cannot be written.
pub fn print_frame(
    directories: &[PathBuf],
    at_us: Option<i64>,
    output: &mut impl Write,
) -> Result<(), ConsoleError> {
    let mut app = App::open(directories, at_us)?;
    app.refresh(now_us());
    let size = if io::stdout().is_terminal() {
        ratatui::crossterm::terminal::size().ok()
    } else {
        None
    };
    let (width, height) = size.unwrap_or((DEFAULT_WIDTH, DEFAULT_HEIGHT));
    for line in frame_lines(&app, width, height) {
        writeln!(output, "{line}")?;
    }
    Ok(())
}

/// Returns one frame as lines of text, without trailing blanks.
pub fn frame_lines(app: &App, width: u16, height: u16) -> Vec<String> {
    let Ok(mut terminal) = Terminal::new(TestBackend::new(width, height)) else {
        return Vec::new();
    };
    if terminal.draw(|frame| draw(frame, app)).is_err() {
        return Vec::new();
    }
    let buffer = terminal.backend().buffer();
    (0..buffer.area.height)
        .map(|y| buffer_line(buffer, y))
        .collect()
}

fn buffer_line(buffer: &Buffer, y: u16) -> String {
    let line: String = (0..buffer.area.width)
        .filter_map(|x| buffer.cell((x, y)))
        .map(|cell| cell.symbol())
        .collect();
    line.trim_end().to_string()
}
