//! Typed, crash-safe records of the events and decisions of a supervisor.
//!
//! The decision thread passes records to a [`Recorder`] and never waits for the disk; a writer thread appends them to
//! segments as frames. Readers merge the segments of several supervisors by time and mark every gap. This crate uses no
//! sockets and no async code.
//!
//! `docs/records.md` describes the format and its alternatives; `proto/records.proto` is the schema.

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

/// The types generated from the schema `proto/records.proto`.
#[allow(missing_docs, clippy::all, clippy::doc_markdown)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/chutegrade.records.v1.rs"));
}

pub use pb::record::Kind;
pub use pb::Record;
pub use recorder::{Recorder, Recording};
pub use timeline::{Event, Gap, GapReason, Timeline, Window};
