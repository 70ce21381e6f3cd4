//! Emulators of a supervisor's peers (discovery, servers, proxies, collectors) on loopback addresses with ephemeral
//! ports, and a harness that starts the supervisor program. Tests start them one by one; [`fleet`] emulates a small
//! fleet with injected faults, [`script`] runs fault scripts against it and records the ground truth.
//!
//! They follow the protocol in `docs/architecture.md` and are meant for tests and demonstrations: an emulator panics on
//! an unexpected error.

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
