//! A deterministic discrete event simulator of a fleet: clients with timeouts and retries, proxies with tables, servers with
//! cores and queues, network links, collectors, discovery, and the channels of the supervisors. It runs the real engine and
//! decision module in virtual time, much faster than real time. Equal scenarios and seeds give bit-identical results. It does
//! no I/O and reads no clock.
//!
//! docs/model.md describes what is modelled and the sources of the figures.

mod fault;
pub mod measure;
pub mod proxy;
pub mod queue;
pub mod random;
pub mod rules;
pub mod scenario;
pub mod server;
pub mod sim;
pub mod supervisor;

pub use measure::Outcome;
pub use scenario::Scenario;
pub use sim::{play, run, Control, Run, Setup};
pub use supervisor::{AlternativePolicy, DEFAULT_IDEAL_DELAY_MS};
