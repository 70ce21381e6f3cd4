//! Scheduling of background work on one thread: jobs run in small steps, by priority, within budgets of processor time and
//! bytes that hold over **any** interval of length [`WINDOW`].
//!
//! [`Scheduler`] decides, without a clock or a thread of its own; [`run`] is the loop that executes jobs on the calling thread.

mod cost;
mod job;
mod runner;
mod scheduler;

pub use cost::Cost;
pub use job::{Job, JobState, Priority, StepReport};
pub use runner::run;
pub use scheduler::{Decision, JobId, Scheduler, WINDOW};
