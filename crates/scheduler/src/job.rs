//! What a job is.

use std::time::Duration;

use crate::cost::Cost;

/// The priority class of a job; lower values run first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Other work depends on it.
    Urgent,
    /// Maintenance.
    Normal,
    /// May be late.
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

/// Work in steps of a few milliseconds. Any step may be the last one: what it did must be of use, or repeatable without harm.
pub trait Job {
    /// Runs one step.
    fn step(&mut self) -> StepReport;
    /// The priority class.
    fn priority(&self) -> Priority;
    /// The greatest cost of the first step.
    fn cost_bound(&self) -> Cost;
}
