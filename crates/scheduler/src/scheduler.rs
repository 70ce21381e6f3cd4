//! Selects the next job and checks the budget.
//!
//! A step is admitted only if the greatest cost of a step of its job so far (or the stated bound before the first step)
//! fits into the remaining budget. To prevent starvation of lower priority classes, a job that was passed over often
//! enough runs first once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::cost::Cost;
use crate::job::{JobState, Priority};

/// Length of the sliding window over which budgets hold.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Consecutive decisions that may pass over a due job before it runs first once. A job of the lowest class thus gets at
/// least one step in nine while another job never ends.
const MAX_TIMES_PASSED_OVER: u32 = 8;
/// Maximum wait returned by [`Scheduler::next`].
const IDLE_WAIT: Duration = Duration::from_secs(1);
/// Added to the wait for the budget, since an expense exactly as old as the window still counts.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1);
/// Maximum number of expenses that are stored. Further ones are merged with the newest, so that older costs count for
/// longer.
const MAX_EXPENSES: usize = 4096;

/// Identifies a job by the order in which jobs were added, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub usize);

/// The next action of the caller of [`Scheduler::next`].
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
    /// The maximum cost of any of its steps, or the stated bound before the first.
    max_step_cost: Cost,
    /// The number of its last step among those of all jobs, for round robin within its class.
    last_step: u64,
    /// Consecutive decisions that passed over it while it was due.
    times_passed_over: u32,
    is_stopped: bool,
}

impl ScheduledJob {
    fn is_due(&self, now: Instant) -> bool {
        !self.is_stopped && self.due_at.is_some_and(|due_at| due_at <= now)
    }

    /// Returns the class by which due jobs are ordered; `None`, which sorts first, if it was passed over too often.
    fn effective_priority(&self) -> Option<Priority> {
        (self.times_passed_over < MAX_TIMES_PASSED_OVER).then_some(self.priority)
    }
}

/// The cost of a step or of several merged steps.
#[derive(Clone, Copy, Debug)]
struct Expense {
    ended_at: Instant,
    cost: Cost,
}

/// Selects the job that runs next.
#[derive(Debug)]
pub struct Scheduler {
    budget: Cost,
    jobs: Vec<ScheduledJob>,
    /// The expenses within the window, the oldest first.
    expenses: VecDeque<Expense>,
    steps: u64,
}

impl Scheduler {
    /// Creates a scheduler whose jobs together cost no more than a budget in any interval of length [`WINDOW`], unless
    /// a step costs more than the earlier ones of its job and its stated bound.
    pub fn new(budget: Cost) -> Self {
        Scheduler {
            budget,
            jobs: Vec::new(),
            expenses: VecDeque::new(),
            steps: 0,
        }
    }

    /// Adds a job that is due now. `cost_bound` is an upper bound of the cost of its first step. A job whose bound
    /// or step costs more than the whole budget does not run from then on; while it is due, jobs that are ordered after it wait
    /// as well.
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

    /// Stops a job permanently.
    pub fn stop(&mut self, job: JobId) {
        if let Some(job) = self.jobs.get_mut(job.0) {
            job.is_stopped = true;
        }
    }

    /// Makes a job due now, also a finished one. A stopped job stays stopped.
    pub fn wake(&mut self, job: JobId, now: Instant) {
        if let Some(job) = self.jobs.get_mut(job.0) {
            job.due_at = Some(now);
        }
    }

    /// Returns the cost of all steps that ended within the window before now.
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

    /// Returns the job whose step should run now, or the time to wait.
    pub fn next(&mut self, now: Instant) -> Decision {
        let spent = self.cost_in_window(now);
        let Some(index) = self.first_due(now) else {
            return Decision::Wait(self.wait_for_due_job(now));
        };
        // The selected job waits for the budget; otherwise smaller jobs of lower classes would use it up repeatedly.
        let expected = spent.plus(self.jobs[index].max_step_cost);
        if !expected.is_within(self.budget) {
            return Decision::Wait(self.wait_for_budget(now));
        }
        self.count_passed_over(index, now);
        Decision::Run(JobId(index))
    }

    /// Counts for each other due job that it was passed over, and resets the count of the running job.
    fn count_passed_over(&mut self, running: usize, now: Instant) {
        for (index, job) in self.jobs.iter_mut().enumerate() {
            if index == running {
                job.times_passed_over = 0;
            } else if job.is_due(now) {
                job.times_passed_over += 1;
            }
        }
    }

    /// Returns the index of the due job that is first by effective class, then by its last step, then by its index.
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
        let active = self.jobs.iter().filter(|job| !job.is_stopped);
        match active.filter_map(|job| job.due_at).min() {
            Some(due_at) => due_at.duration_since(now).min(IDLE_WAIT),
            None => IDLE_WAIT,
        }
    }

    /// Returns the time until the oldest expense leaves the window.
    fn wait_for_budget(&self, now: Instant) -> Duration {
        let Some(oldest) = self.expenses.front() else {
            return IDLE_WAIT;
        };
        let expires_at = oldest.ended_at + WINDOW;
        let wait = expires_at.saturating_duration_since(now) + EXPIRY_MARGIN;
        wait.min(IDLE_WAIT)
    }

    /// Records the cost of a step that has ended now, and when the job has to run again.
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
