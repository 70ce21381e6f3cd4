//! Schedules background work on one thread: jobs run in small steps, by priority, within budgets of time and bytes that
//! hold over **any** interval of length [`WINDOW`].
//!
//! [`Scheduler`] selects jobs and has no clock or thread; [`run`] is the loop that runs jobs on the calling thread.

mod cost;
mod job;
mod runner;
mod scheduler;

pub use cost::Cost;
pub use job::{Job, JobState, Priority, StepReport};
pub use runner::run;
pub use scheduler::{Decision, JobId, Scheduler, WINDOW};
