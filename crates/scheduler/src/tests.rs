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

/// Runs jobs of fixed steps that never end for so long; when each step ended, and which.
fn play(budget: Cost, steps: &[(Priority, Cost)], length: Duration) -> Vec<(Instant, usize, Cost)> {
    let begun = Instant::now();
    let (mut now, mut scheduler, mut log) = (begun, Scheduler::new(budget), Vec::new());
    for (priority, step) in steps {
        scheduler.add(*priority, *step, now);
    }
    while now - begun < length {
        match scheduler.next(now) {
            Next::Run(JobId(at)) => {
                now += steps[at].1.time;
                scheduler.took(JobId(at), steps[at].1, Left::More, now);
                log.push((now, at, steps[at].1));
            }
            Next::Wait(wait) => now += wait.max(ms(1)),
        }
    }
    log
}

/// Danger: a job without an end takes all turns, and retention never runs: the disk fills.
#[test]
fn the_lowest_class_is_not_starved_for_good() {
    let steps = [
        (Priority::Urgent, cost(2, 10)),
        (Priority::Normal, cost(2, 10)),
        (Priority::Idle, cost(2, 10)),
    ];
    let log = play(cost(1000, 1_000_000), &steps, Duration::from_secs(30));
    for at in 0..3 {
        let share = log.iter().filter(|step| step.1 == at).count() as f64 / log.len() as f64;
        assert!(share > 0.08, "job {at} has {share:.3} of the steps");
    }
    let urgent = log.iter().filter(|step| step.1 == 0).count();
    assert!(
        urgent * 2 > log.len(),
        "the first class has most of the turns"
    );
}

/// Danger: a large step waits while small ones of lower classes use up the room it needs, for good.
#[test]
fn a_large_step_is_not_slipped_past() {
    let steps = [
        (Priority::Normal, cost(800, 0)),
        (Priority::Idle, cost(10, 0)),
    ];
    let log = play(cost(1000, 0), &steps, Duration::from_secs(60));
    assert!(log.iter().filter(|step| step.1 == 0).count() >= 3);
}

#[test]
fn a_job_that_is_stopped_or_done_does_not_run() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(cost(1000, 1000));
    let (first, second) = (
        scheduler.add(Priority::Urgent, cost(1, 1), now),
        scheduler.add(Priority::Idle, cost(1, 1), now),
    );
    scheduler.stop(first);
    assert_eq!(scheduler.next(now), Next::Run(second));
    scheduler.took(second, cost(1, 1), Left::Nothing, now);
    assert!(matches!(scheduler.next(now), Next::Wait(_)));
    scheduler.wake(second, now);
    assert_eq!(scheduler.next(now), Next::Run(second));
    scheduler.took(second, cost(1, 1), Left::After(ms(300)), now);
    assert_eq!(scheduler.next(now), Next::Wait(ms(300)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Over any window, whatever the jobs, no more than the budget is spent.
    #[test]
    fn the_budget_holds_over_any_window(
        steps in proptest::collection::vec((0..3u8, 1..400u64, 0..5000u64), 1..6),
        budget in (400..3000u64, 5000..40_000u64),
    ) {
        let class = |class| [Priority::Urgent, Priority::Normal, Priority::Idle][usize::from(class)];
        let steps: Vec<_> = steps.into_iter().map(|(c, ms, bytes)| (class(c), cost(ms, bytes))).collect();
        let budget = cost(budget.0, budget.1);
        let log = play(budget, &steps, Duration::from_secs(60));
        prop_assert!(!log.is_empty());
        for (at, (end, _, _)) in log.iter().enumerate() {
            let window = log[..=at].iter().filter(|(then, _, _)| *end - *then <= WINDOW);
            let spent = window.fold(Cost::default(), |sum, step| sum.plus(step.2));
            prop_assert!(spent.within(budget), "{spent:?} of {budget:?}");
        }
    }
}
