//! Jobs, and what the scheduler has to know of them.

use std::time::Duration;

use crate::cost::Cost;

/// The priority class of a job; lower values run first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Work that other work depends on.
    Urgent,
    /// Maintenance.
    Normal,
    /// Work that may be delayed.
    Idle,
}

/// What remains to be done after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// The next step is due at once.
    Ready,
    /// The next step is due after this time.
    Delayed(Duration),
    /// No step remains.
    Finished,
}

/// The result of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepReport {
    /// Bytes read and written.
    pub bytes: u64,
    /// What remains to be done.
    pub state: JobState,
}

/// Work in steps of a few milliseconds. The program may stop after any step, so what a step did must be of use by itself, or
/// harmless to repeat.
pub trait Job {
    /// Runs one step.
    fn step(&mut self) -> StepReport;
    /// The priority class.
    fn priority(&self) -> Priority;
    /// The greatest cost of the first step.
    fn cost_bound(&self) -> Cost;
}
