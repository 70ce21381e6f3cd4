//! Tests of fairness between jobs and of the budget.

use proptest::prelude::*;

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn cost(millis: u64, bytes: u64) -> Cost {
    Cost {
        time: ms(millis),
        bytes,
    }
}

/// A step that ran in a simulation.
struct Step {
    ended_at: Instant,
    job: usize,
    cost: Cost,
}

/// Simulates jobs that never end, each with steps of a fixed cost. Returns the steps in order.
fn simulate(budget: Cost, jobs: &[(Priority, Cost)], length: Duration) -> Vec<Step> {
    let started_at = Instant::now();
    let mut now = started_at;
    let mut scheduler = Scheduler::new(budget);
    let mut steps = Vec::new();
    for (priority, cost) in jobs {
        scheduler.add(*priority, *cost, now);
    }
    while now - started_at < length {
        match scheduler.next(now) {
            Decision::Run(JobId(job)) => {
                let (_, cost) = jobs[job];
                now += cost.time;
                scheduler.record_step(JobId(job), cost, JobState::Ready, now);
                steps.push(Step {
                    ended_at: now,
                    job,
                    cost,
                });
            }
            Decision::Wait(delay) => now += delay.max(ms(1)),
        }
    }
    steps
}

/// A job that never ends must not starve the others; otherwise, retention might never run and the disk would fill.
#[test]
fn the_lowest_class_is_not_starved() {
    let jobs = [
        (Priority::Urgent, cost(2, 10)),
        (Priority::Normal, cost(2, 10)),
        (Priority::Idle, cost(2, 10)),
    ];
    let steps = simulate(cost(1000, 1_000_000), &jobs, Duration::from_secs(30));
    let steps_of = |job: usize| steps.iter().filter(|step| step.job == job).count();
    for job in 0..3 {
        let share = steps_of(job) as f64 / steps.len() as f64;
        assert!(share > 0.08, "job {job} has {share:.3} of the steps");
    }
    assert!(
        steps_of(0) * 2 > steps.len(),
        "the first class has most of the steps"
    );
}

/// Small steps of lower classes must not use up the budget that a large step waits for.
#[test]
fn a_large_step_is_not_starved_by_small_ones_of_lower_classes() {
    let jobs = [
        (Priority::Normal, cost(800, 0)),
        (Priority::Idle, cost(10, 0)),
    ];
    let steps = simulate(cost(1000, 0), &jobs, Duration::from_secs(60));
    assert!(steps.iter().filter(|step| step.job == 0).count() >= 3);
}

#[test]
fn a_job_that_is_stopped_or_finished_does_not_run() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(cost(1000, 1000));
    let (first, second) = (
        scheduler.add(Priority::Urgent, cost(1, 1), now),
        scheduler.add(Priority::Idle, cost(1, 1), now),
    );
    scheduler.stop(first);
    assert_eq!(scheduler.next(now), Decision::Run(second));
    scheduler.record_step(second, cost(1, 1), JobState::Finished, now);
    assert!(matches!(scheduler.next(now), Decision::Wait(_)));
    scheduler.wake(second, now);
    assert_eq!(scheduler.next(now), Decision::Run(second));
    scheduler.record_step(second, cost(1, 1), JobState::Delayed(ms(300)), now);
    assert_eq!(scheduler.next(now), Decision::Wait(ms(300)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// The steps of arbitrary jobs cost no more than the budget in any window.
    #[test]
    fn the_budget_holds_over_any_window(
        jobs in proptest::collection::vec((0..3u8, 1..400u64, 0..5000u64), 1..6),
        budget in (400..3000u64, 5000..40_000u64),
    ) {
        let priority = |class| [Priority::Urgent, Priority::Normal, Priority::Idle][usize::from(class)];
        let jobs: Vec<_> = jobs
            .into_iter()
            .map(|(class, millis, bytes)| (priority(class), cost(millis, bytes)))
            .collect();
        let budget = cost(budget.0, budget.1);
        let steps = simulate(budget, &jobs, Duration::from_secs(60));
        prop_assert!(!steps.is_empty());
        for (index, last) in steps.iter().enumerate() {
            let window = steps[..=index]
                .iter()
                .filter(|step| last.ended_at - step.ended_at <= WINDOW);
            let spent = window.fold(Cost::default(), |sum, step| sum.plus(step.cost));
            prop_assert!(spent.is_within(budget), "{spent:?} of {budget:?}");
        }
    }
}
