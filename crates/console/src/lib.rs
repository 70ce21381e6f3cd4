//! A terminal console over records: the fleet by zone and server, levels, charts and events of several supervisors side
//! by side, at present or at any time in the past. It only reads records. If a directory is removed, it shows the records
//! that it has read. See `docs/console.md` for its keys.

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
