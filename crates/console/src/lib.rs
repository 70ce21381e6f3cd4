//! A terminal console over records: the fleet by zone and server, levels, charts and events of several supervisors side
//! by side, now or at any moment of the past. It only reads records, and shows what it last read when a directory goes
//! away. See `docs/console.md` for its keys.

mod app;
mod draw;
mod error;
mod terminal;
mod view;

pub use app::{App, KeyOutcome, Panel};
pub use draw::draw;
pub use error::ConsoleError;
pub use terminal::{frame_lines, print_frame, run};
pub use view::{Row, RowKind, Sample, SupervisorView, View};
