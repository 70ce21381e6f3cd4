//! Typed, crash-safe records of what a supervisor did.
//!
//! The thread that makes decisions passes records to a [`Recorder`] and never waits for a disk; a writer thread frames them into
//! segments. Readers merge the segments of several supervisors by time, and mark every interval of which not everything is
//! known. No sockets and no async here.
//!
//! `docs/records.md` describes the format and its alternatives, `proto/records.proto` is the schema.

pub mod clock;
pub mod frame;
pub mod incidents;
pub mod index;
pub mod kind;
pub mod maintenance;
pub mod observe;
pub mod recorder;
pub mod replay;
pub mod segment;
pub mod store;
pub mod text;
pub mod timeline;

/// The types of the schema `proto/records.proto`, as generated.
#[allow(missing_docs, clippy::all, clippy::doc_markdown)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/chutegrade.records.v1.rs"));
}

pub use pb::record::Kind;
pub use pb::Record;
pub use recorder::{Recorder, Recording};
pub use timeline::{Event, Gap, GapReason, Timeline, Window};
