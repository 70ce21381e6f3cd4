//! Runs scheduled jobs on the calling thread.

use std::time::{Duration, Instant};

use crate::cost::Cost;
use crate::job::Job;
use crate::scheduler::{Decision, Scheduler};

/// Maximum time between two checks for a stop request.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs jobs on this thread until `is_stopped` returns true. It is called before every step, and at least
/// every 50 ms while waiting.
pub fn run(mut jobs: Vec<Box<dyn Job + Send>>, budget: Cost, is_stopped: impl Fn() -> bool) {
    let mut scheduler = Scheduler::new(budget);
    let started_at = Instant::now();
    for job in &jobs {
        scheduler.add(job.priority(), job.cost_bound(), started_at);
    }
    while !is_stopped() {
        let now = Instant::now();
        let id = match scheduler.next(now) {
            Decision::Run(id) => id,
            Decision::Wait(delay) => {
                std::thread::sleep(delay.min(STOP_CHECK_INTERVAL));
                continue;
            }
        };
        let Some(job) = jobs.get_mut(id.0) else {
            return;
        };
        let report = job.step();
        let ended_at = Instant::now();
        let cost = Cost {
            time: ended_at - now,
            bytes: report.bytes,
        };
        scheduler.record_step(id, cost, report.state, ended_at);
    }
}
