//! The interface between jobs and the scheduler.

use std::time::Duration;

use crate::cost::Cost;

/// The priority class of a job. Lower values run first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Work that other work depends on.
    Urgent,
    /// Ordinary maintenance.
    Normal,
    /// Work that may be delayed.
    Idle,
}

/// When a job has to run again after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// The next step is due immediately.
    Ready,
    /// The next step is due after this time.
    Delayed(Duration),
    /// There are no further steps.
    Finished,
}

/// The result of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepReport {
    /// Bytes read and written.
    pub bytes: u64,
    /// When the next step is due, if there is one.
    pub state: JobState,
}

/// Work that runs in steps of a few milliseconds. The program may stop after any step, so the result of a step must be
/// useful by itself or safe to repeat.
pub trait Job {
    /// Runs one step.
    fn step(&mut self) -> StepReport;
    /// Returns the class that decides which due job runs first.
    fn priority(&self) -> Priority;
    /// Returns an upper bound of the cost of the first step.
    fn cost_bound(&self) -> Cost;
}
