//! A terminal console over records: the fleet by zone and server, levels, figures and events of several supervisors side
//! by side, now or at any moment of the past. It reads records only; a directory that grows, is trimmed or goes away is
//! shown as what it is. See `docs/console.md` for its keys.

mod app;
mod draw;
mod view;

use std::io::{IsTerminal as _, Write};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ratatui::backend::TestBackend;
use ratatui::crossterm::event::{self, Event, KeyEventKind};
use ratatui::Terminal;

pub use app::{App, Flow};
pub use draw::draw;
pub use view::View;

/// Time between two looks at the records while following them.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Longest wait for a key before the next look.
const KEY_WAIT: Duration = Duration::from_millis(200);
/// Size of a frame that is printed where no terminal tells its own.
const FRAME: (u16, u16) = (110, 40);

/// Why the console ends.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The records can't be read.
    #[error(transparent)]
    Records(#[from] chutegrade_records::timeline::Fault),
    /// The terminal can't be used.
    #[error("the terminal cannot be used: {0}")]
    Terminal(#[from] std::io::Error),
    /// There is none.
    #[error("this is no terminal: give --once for one frame as text")]
    NoTerminal,
}

fn now_us() -> i64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    i64::try_from(unix.as_micros()).unwrap_or(i64::MAX)
}

/// Follows records on the terminal until the user ends it.
pub fn run(directories: &[PathBuf], at_us: Option<i64>) -> Result<(), Fault> {
    if !std::io::stdout().is_terminal() || !std::io::stdin().is_terminal() {
        return Err(Fault::NoTerminal);
    }
    let mut app = App::open(directories, at_us)?;
    let mut terminal = ratatui::try_init()?;
    let ended = follow(&mut app, &mut terminal);
    ratatui::restore();
    Ok(ended?)
}

fn follow(app: &mut App, terminal: &mut ratatui::DefaultTerminal) -> std::io::Result<()> {
    let mut looked: Option<Instant> = None;
    loop {
        if looked.is_none_or(|looked| looked.elapsed() >= LOOK_EVERY) {
            looked = Some(Instant::now());
            app.look(now_us());
        }
        terminal.draw(|frame| draw(frame, app))?;
        if !event::poll(KEY_WAIT)? {
            continue;
        }
        if let Event::Key(key) = event::read()? {
            if key.kind == KeyEventKind::Release {
                continue;
            }
            match app.key(key) {
                Flow::On => {}
                Flow::Changed => app.look(now_us()),
                Flow::End => return Ok(()),
            }
        }
    }
}

/// Prints one frame as text.
pub fn once(
    directories: &[PathBuf],
    at_us: Option<i64>,
    out: &mut impl Write,
) -> Result<(), Fault> {
    let mut app = App::open(directories, at_us)?;
    app.look(now_us());
    let size = if std::io::stdout().is_terminal() {
        ratatui::crossterm::terminal::size().ok()
    } else {
        None
    };
    let (width, height) = size.unwrap_or(FRAME);
    for line in frame(&app, width, height) {
        writeln!(out, "{line}")?;
    }
    Ok(())
}

/// One frame as lines of text.
pub fn frame(app: &App, width: u16, height: u16) -> Vec<String> {
    let Ok(mut terminal) = Terminal::new(TestBackend::new(width, height)) else {
        return Vec::new();
    };
    if terminal.draw(|frame| draw(frame, app)).is_err() {
        return Vec::new();
    }
    let buffer = terminal.backend().buffer().clone();
    let line = |y: u16| {
        let cells = (0..buffer.area.width).filter_map(|x| buffer.cell((x, y)));
        cells
            .map(|cell| cell.symbol())
            .collect::<String>()
            .trim_end()
            .to_string()
    };
    (0..buffer.area.height).map(line).collect()
}
