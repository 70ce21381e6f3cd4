//! Which job runs next, and whether the budget permits it.
//!
//! A step is admitted only if the greatest cost of any step of its job so far (or the stated bound before the first one) still
//! fits, so that the budget is never exceeded. No priority class starves: one that was passed over often enough runs first
//! once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::cost::Cost;
use crate::job::{JobState, Priority};

/// Length of the interval over which budgets hold.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Decisions in a row that may pass over a job that is due before it runs first once. The lowest class thus gets at least one
/// step in nine even while another job never ends.
const MAX_TIMES_PASSED_OVER: u32 = 8;
/// Longest wait while nothing is due.
const IDLE_WAIT: Duration = Duration::from_secs(1);
/// Added to the wait for the budget, because an expense exactly as old as the window still counts.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1);
/// Most expenses that are stored. Further ones are merged with the newest, so that part of their cost counts for longer.
const MAX_EXPENSES: usize = 4096;

/// A job of the scheduler, numbered in the order in which jobs were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub usize);

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run a step of this job.
    Run(JobId),
    /// Call [`Scheduler::next`] again after this time at the latest.
    Wait(Duration),
}

#[derive(Debug)]
struct ScheduledJob {
    priority: Priority,
    due_at: Option<Instant>,
    /// The greatest cost of any of its steps, or the stated bound before the first.
    max_step_cost: Cost,
    /// The number of its last step among those of all jobs, for round robin within its class.
    last_step: u64,
    /// Decisions in a row that passed over it although it was due.
    times_passed_over: u32,
    is_stopped: bool,
}

impl ScheduledJob {
    fn is_due(&self, now: Instant) -> bool {
        !self.is_stopped && self.due_at.is_some_and(|due_at| due_at <= now)
    }

    /// The class by which it is ordered: `None`, the first of all, if it was passed over too often.
    fn effective_priority(&self) -> Option<Priority> {
        (self.times_passed_over < MAX_TIMES_PASSED_OVER).then_some(self.priority)
    }
}

/// The cost of a step, or of several that were merged.
#[derive(Clone, Copy, Debug)]
struct Expense {
    ended_at: Instant,
    cost: Cost,
}

/// Decides which job runs next.
#[derive(Debug)]
pub struct Scheduler {
    budget: Cost,
    jobs: Vec<ScheduledJob>,
    /// The expenses of the window, the oldest first.
    expenses: VecDeque<Expense>,
    steps: u64,
}

impl Scheduler {
    /// A scheduler whose jobs together cost no more than a budget in any interval of length [`WINDOW`].
    pub fn new(budget: Cost) -> Self {
        Scheduler {
            budget,
            jobs: Vec::new(),
            expenses: VecDeque::new(),
            steps: 0,
        }
    }

    /// Adds a job that is due now; `cost_bound` is the greatest cost of its first step. A job with a step that costs more than
    /// the whole budget never runs again.
    pub fn add(&mut self, priority: Priority, cost_bound: Cost, now: Instant) -> JobId {
        self.jobs.push(ScheduledJob {
            priority,
            due_at: Some(now),
            max_step_cost: cost_bound,
            last_step: 0,
            times_passed_over: 0,
            is_stopped: false,
        });
        JobId(self.jobs.len() - 1)
    }

    /// Stops a job for good.
    pub fn stop(&mut self, job: JobId) {
        if let Some(job) = self.jobs.get_mut(job.0) {
            job.is_stopped = true;
        }
    }

    /// Makes a job due now, whatever its state.
    pub fn wake(&mut self, job: JobId, now: Instant) {
        if let Some(job) = self.jobs.get_mut(job.0) {
            job.due_at = Some(now);
        }
    }

    /// The cost of all steps in the window that ends now.
    pub fn cost_in_window(&mut self, now: Instant) -> Cost {
        while let Some(oldest) = self.expenses.front() {
            if now.duration_since(oldest.ended_at) <= WINDOW {
                break;
            }
            self.expenses.pop_front();
        }
        let costs = self.expenses.iter().map(|expense| expense.cost);
        costs.fold(Cost::default(), Cost::plus)
    }

    /// The job whose step should run now, or how long to wait.
    pub fn next(&mut self, now: Instant) -> Decision {
        let spent = self.cost_in_window(now);
        let Some(index) = self.first_due(now) else {
            return Decision::Wait(self.wait_for_due_job(now));
        };
        // The first job in turn waits for the budget: smaller jobs of lower classes must not starve it.
        let expected = spent.plus(self.jobs[index].max_step_cost);
        if !expected.is_within(self.budget) {
            return Decision::Wait(self.wait_for_budget(now));
        }
        self.count_passed_over(index, now);
        Decision::Run(JobId(index))
    }

    /// Counts for each job that is due that the one at this index runs before it.
    fn count_passed_over(&mut self, running: usize, now: Instant) {
        for (index, job) in self.jobs.iter_mut().enumerate() {
            if index == running {
                job.times_passed_over = 0;
            } else if job.is_due(now) {
                job.times_passed_over += 1;
            }
        }
    }

    /// The first job in turn: by class, then by its last step, then by its number.
    fn first_due(&self, now: Instant) -> Option<usize> {
        let due = self
            .jobs
            .iter()
            .enumerate()
            .filter(|(_, job)| job.is_due(now));
        due.min_by_key(|(index, job)| (job.effective_priority(), job.last_step, *index))
            .map(|(index, _)| index)
    }

    fn wait_for_due_job(&self, now: Instant) -> Duration {
        let waiting = self.jobs.iter().filter(|job| !job.is_stopped);
        match waiting.filter_map(|job| job.due_at).min() {
            Some(due_at) => due_at.duration_since(now).min(IDLE_WAIT),
            None => IDLE_WAIT,
        }
    }

    /// How long until the oldest expense leaves the window.
    fn wait_for_budget(&self, now: Instant) -> Duration {
        let Some(oldest) = self.expenses.front() else {
            return IDLE_WAIT;
        };
        let expires_at = oldest.ended_at + WINDOW;
        let wait = expires_at.saturating_duration_since(now) + EXPIRY_MARGIN;
        wait.min(IDLE_WAIT)
    }

    /// Records a step that has ended now, its cost, and what remains to be done.
    pub fn record_step(&mut self, job: JobId, cost: Cost, state: JobState, now: Instant) {
        self.steps += 1;
        if let Some(job) = self.jobs.get_mut(job.0) {
            job.max_step_cost = job.max_step_cost.max(cost);
            job.last_step = self.steps;
            job.due_at = match state {
                JobState::Ready => Some(now),
                JobState::Delayed(delay) => Some(now + delay),
                JobState::Finished => None,
            };
        }
        self.add_expense(cost, now);
    }

    fn add_expense(&mut self, cost: Cost, now: Instant) {
        let mut expense = Expense {
            ended_at: now,
            cost,
        };
        if self.expenses.len() >= MAX_EXPENSES {
            if let Some(newest) = self.expenses.pop_back() {
                expense.cost = newest.cost.plus(cost);
            }
        }
        self.expenses.push_back(expense);
    }
}

#[cfg(test)]
mod tests;
