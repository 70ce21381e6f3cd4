//! Records of what a supervisor did, typed and crash-safe. The ticking thread hands values to a [`Recorder`] and never
//! waits for a disk; a writer thread frames them into segments; readers merge the segments of several supervisors into
//! true order and mark every interval of which nothing is known. No sockets and no async here.
//!
//! The format and the ways weighed are in `docs/records.md`, the schema in `proto/records.proto`.

pub mod clock;
pub mod course;
pub mod frame;
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
