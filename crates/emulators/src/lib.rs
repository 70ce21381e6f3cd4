//! Stand-ins for those a supervisor speaks to - discovery, servers, front ends, collectors - on loopback addresses with
//! ports that the system chooses, and the program itself. Tests start them one by one; [`fleet`] is a whole small fleet
//! that works and can be troubled, [`script`] a scripted day of it that keeps its own ground truth.
//!
//! They follow the words of the protocol as `docs/architecture.md` has them and are meant for tests and demonstrations:
//! where a stand-in cannot go on it panics.

pub mod discovery;
pub mod fleet;
pub mod http;
pub mod peer;
pub mod predict;
pub mod program;
pub mod script;
pub mod scripted;
pub mod server;
pub mod tables;
pub mod truth;
pub mod wait;

pub use discovery::Discovery;
pub use peer::{Peer, Proxy};
pub use program::{config, PausedProgram, Program, Supervisor};
pub use scripted::{delivery, entry, ScriptedListener};
pub use server::{HealthCheckMode, Server};
pub use wait::{until, wait_for};
