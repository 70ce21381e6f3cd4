//! A model of the fleet: clients that give up and come again, front ends with tables, servers with cores and queues, ways,
//! collectors, discovery, the supervisors' channels. It drives the real engine and decision module in virtual time, many
//! times faster than the clock; the same scenario and seed give the same run to the bit. No I/O, no clock.
//!
//! What it models and where its figures come from is told in docs/model.md.

pub mod chance;
pub mod front;
pub mod measure;
pub mod queue;
pub mod rules;
pub mod scenario;
pub mod server;
pub mod sim;
pub mod supervisor;
mod trouble;

pub use measure::Outcome;
pub use scenario::Scenario;
pub use sim::{play, run, Control, Run, Setup};
pub use supervisor::{AlternativePolicy, DEFAULT_IDEAL_DELAY_MS};
