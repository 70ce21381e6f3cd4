//! Background work on one thread: jobs in small steps, by priority, within budgets of processor time and bytes that hold
//! over **any** window of [`WINDOW`]. The decisions are here, without a clock or a thread of their own: whoever runs the
//! jobs says what time it is and what a step took ([`Scheduler::next`], [`Scheduler::took`]); [`run`] is that loop.
//!
//! A step is admitted only if the most that a step of its job has ever taken (or the stated bound of one that has not
//! run yet) still fits, so that the budget is kept beforehand and not repaired afterwards. The lowest class is never
//! starved for good: a class that was passed over often enough goes first once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of the window over which budgets hold.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Picks in a row that may pass over a class with work before it goes first once: even beside a job without an end, the
/// lowest class then gets one step in nine of its turns.
const PASSED_MOST: u32 = 8;
/// Pause while nothing is due and no job has named an earlier time.
const IDLE: Duration = Duration::from_secs(1);
/// Steps remembered for the window at most; older ones within it are merged, which counts them as later than they were.
const SPENT_MOST: usize = 4096;

/// The class of a job; lower ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Others wait for it.
    Urgent,
    /// Keeps the store in order.
    Normal,
    /// May be late.
    Idle,
}

/// What steps cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Processor time.
    pub time: Duration,
    /// Bytes read and written.
    pub bytes: u64,
}

impl Cost {
    fn plus(self, other: Cost) -> Cost {
        Cost {
            time: self.time + other.time,
            bytes: self.bytes.saturating_add(other.bytes),
        }
    }
    fn most(self, other: Cost) -> Cost {
        Cost {
            time: self.time.max(other.time),
            bytes: self.bytes.max(other.bytes),
        }
    }
    fn within(self, budget: Cost) -> bool {
        self.time <= budget.time && self.bytes <= budget.bytes
    }
}

/// What a step leaves to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// More at once.
    More,
    /// Nothing before so much time has gone by.
    After(Duration),
    /// Nothing any more.
    Nothing,
}

/// A job of the scheduler: its number, in the order in which jobs were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub usize);

#[derive(Debug)]
struct Entry {
    priority: Priority,
    due: Option<Instant>,
    /// The most that one of its steps took, or its stated bound before the first.
    step: Cost,
    /// When it last ran, for turns within its class.
    ran: u64,
    /// Picks that passed over it although it was due and would have fitted.
    passed: u32,
    stopped: bool,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Run a step of this job.
    Run(JobId),
    /// Nothing before then.
    Wait(Duration),
}

/// Which job runs next, and whether it may.
#[derive(Debug)]
pub struct Scheduler {
    budget: Cost,
    jobs: Vec<Entry>,
    spent: VecDeque<(Instant, Cost)>,
    turns: u64,
}

impl Scheduler {
    /// A scheduler that lets steps take no more than this together in any window of [`WINDOW`].
    pub fn new(budget: Cost) -> Self {
        Scheduler {
            budget,
            jobs: Vec::new(),
            spent: VecDeque::new(),
            turns: 0,
        }
    }

    /// Adds a job that is due now; `bound` is the most that its first step may take. A job whose steps turn out larger
    /// than the whole budget never runs again: a budget that cannot be kept is not exceeded.
    pub fn add(&mut self, priority: Priority, bound: Cost, now: Instant) -> JobId {
        let entry = Entry {
            priority,
            due: Some(now),
            step: bound,
            ran: 0,
            passed: 0,
            stopped: false,
        };
        self.jobs.push(entry);
        JobId(self.jobs.len() - 1)
    }

    /// The job is not run any more.
    pub fn stop(&mut self, job: JobId) {
        if let Some(entry) = self.jobs.get_mut(job.0) {
            entry.stopped = true;
        }
    }

    /// The job has something to do now, whatever it said before.
    pub fn wake(&mut self, job: JobId, now: Instant) {
        if let Some(entry) = self.jobs.get_mut(job.0) {
            entry.due = Some(now);
        }
    }

    /// What was spent in the window that ends now.
    pub fn spent(&mut self, now: Instant) -> Cost {
        while self
            .spent
            .front()
            .is_some_and(|(at, _)| now.duration_since(*at) > WINDOW)
        {
            self.spent.pop_front();
        }
        self.spent
            .iter()
            .fold(Cost::default(), |sum, (_, cost)| sum.plus(*cost))
    }

    /// The job whose step should run now, or how long to wait.
    pub fn next(&mut self, now: Instant) -> Next {
        let spent = self.spent(now);
        let budget = self.budget;
        let due = |entry: &Entry| !entry.stopped && entry.due.is_some_and(|due| due <= now);
        let fits = |entry: &Entry| spent.plus(entry.step).within(budget);
        let order = |(at, entry): &(usize, &Entry)| {
            let class = if entry.passed >= PASSED_MOST {
                None
            } else {
                Some(entry.priority)
            };
            (class, entry.ran, *at)
        };
        let all = self.jobs.iter().enumerate();
        let picked = all
            .filter(|(_, entry)| due(entry))
            .min_by_key(order)
            .map(|(at, _)| at);
        let Some(picked) = picked else {
            let coming = self
                .jobs
                .iter()
                .filter(|entry| !entry.stopped)
                .filter_map(|entry| entry.due)
                .min();
            return Next::Wait(coming.map_or(IDLE, |due| due.duration_since(now)).min(IDLE));
        };
        // The first in turn waits for room; a smaller one of a lower class does not slip past and starve it.
        if !self.jobs.get(picked).is_some_and(fits) {
            let oldest = self.spent.front().map_or(IDLE, |(at, _)| {
                (*at + WINDOW).saturating_duration_since(now) + Duration::from_millis(1)
            });
            return Next::Wait(oldest.min(IDLE));
        }
        for (at, entry) in self.jobs.iter_mut().enumerate() {
            entry.passed = if at == picked {
                0
            } else {
                entry.passed + u32::from(due(entry))
            };
        }
        Next::Run(JobId(picked))
    }

    /// A step has ended now, took so much, and left this.
    pub fn took(&mut self, job: JobId, cost: Cost, left: Left, now: Instant) {
        self.turns += 1;
        let turns = self.turns;
        if let Some(entry) = self.jobs.get_mut(job.0) {
            entry.step = entry.step.most(cost);
            entry.ran = turns;
            entry.due = match left {
                Left::More => Some(now),
                Left::After(wait) => Some(now + wait),
                Left::Nothing => None,
            };
        }
        let full = self.spent.len() >= SPENT_MOST;
        let merged = if full { self.spent.pop_back() } else { None };
        self.spent
            .push_back((now, merged.map_or(cost, |(_, last)| last.plus(cost))));
    }
}

/// Work in steps of a few milliseconds. After each step all that it did must be of use, or be done anew without harm: it
/// may be the last one.
pub trait Job {
    /// Does one step; tells the bytes it read and wrote, and what is left.
    fn step(&mut self) -> (u64, Left);
    /// Its class.
    fn priority(&self) -> Priority;
    /// The most that its first step may take.
    fn bound(&self) -> Cost;
}

/// Runs jobs on this thread until `stopped` says so, which is asked before every step and at least every 50 ms.
pub fn run(mut jobs: Vec<Box<dyn Job + Send>>, budget: Cost, stopped: impl Fn() -> bool) {
    /// Longest sleep between two looks at `stopped`.
    const NAP: Duration = Duration::from_millis(50);
    let mut scheduler = Scheduler::new(budget);
    let begun = Instant::now();
    for job in &jobs {
        scheduler.add(job.priority(), job.bound(), begun);
    }
    while !stopped() {
        let now = Instant::now();
        match scheduler.next(now) {
            Next::Wait(wait) => std::thread::sleep(wait.min(NAP)),
            Next::Run(id) => {
                let Some(job) = jobs.get_mut(id.0) else {
                    return;
                };
                let (bytes, left) = job.step();
                let ended = Instant::now();
                scheduler.took(
                    id,
                    Cost {
                        time: ended - now,
                        bytes,
                    },
                    left,
                    ended,
                );
            }
        }
    }
}

#[cfg(test)]
mod tests;
