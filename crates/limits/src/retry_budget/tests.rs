use proptest::prelude::*;

use super::*;

fn class(worth: f64, effect: Idempotency) -> Class {
    Class {
        name: format!("{worth}"),
        priority_weight: worth,
        latency_objective_seconds: 1.0,
        deadline_seconds: 5.0,
        idempotency: effect,
    }
}

fn classes() -> Vec<Class> {
    vec![
        class(3.0, Idempotency::NotIdempotent),
        class(1.0, Idempotency::Idempotent),
        class(5.0, Idempotency::Keyed(10.0)),
        class(4.0, Idempotency::Keyed(6.0)),
    ]
}

fn report(tries: f64, failed: f64, strain: f64) -> Tried {
    Tried {
        seconds: 1.0,
        tries,
        good: 100.0 - failed,
        let_in: vec![25.0; 4],
        failed: vec![failed / 4.0; 4],
        strain,
        room: Some(2.0),
    }
}

fn ways(repeats: &RetryBudget) -> Vec<RetryAllowance> {
    (0..4).map(|class| repeats.of(class)).collect()
}

#[test]
fn a_spent_budget_narrows_the_cheapest_first_and_widens_slowly() {
    let mut repeats = RetryBudget::new(RATIO, false, &classes());
    assert_eq!(ways(&repeats), [RetryAllowance::IfNotExecuted; 4]);
    for _ in 0..3 {
        repeats.learn(&report(140.0, 10.0, 0.5));
    }
    assert_eq!(
        ways(&repeats),
        [
            RetryAllowance::IfNotExecuted,
            RetryAllowance::Never,
            RetryAllowance::IfNotExecuted,
            RetryAllowance::IfNotExecuted
        ]
    );
    for _ in 0..10 {
        repeats.learn(&report(140.0, 10.0, 0.5));
    }
    assert_eq!(ways(&repeats), [RetryAllowance::Never; 4]);
    for _ in 0..120 {
        repeats.learn(&report(100.0, 0.0, 0.0));
    }
    assert_eq!(ways(&repeats), [RetryAllowance::IfNotExecuted; 4]);
}

#[test]
fn with_room_and_some_failures_what_may_run_twice_is_tried_once_more() {
    let mut repeats = RetryBudget::new(RATIO, true, &classes());
    for _ in 0..20 {
        repeats.learn(&report(100.0, 6.0, 0.0));
    }
    assert_eq!(
        ways(&repeats),
        [
            RetryAllowance::IfNotExecuted,
            RetryAllowance::Once,
            RetryAllowance::Once,
            RetryAllowance::IfNotExecuted
        ],
        "a window of 6 s is too short for 5 s"
    );
    // It gets busy: at once no more.
    repeats.learn(&report(104.0, 6.0, 0.3));
    assert_eq!(ways(&repeats), [RetryAllowance::IfNotExecuted; 4]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The rule: no order of a repeat that could run twice, whatever is reported.
    #[test]
    fn no_report_widens_what_could_run_twice(
        of in prop::collection::vec((prop::num::f64::ANY, prop::num::f64::ANY, 0.0..1.0f64, prop::option::of(prop::num::f64::ANY), 0.0..400.0f64), 0..80),
        window in 0.0..30.0f64, deadline in 0.1..20.0f64, ratio in 0.0..10.0f64,
    ) {
        let mut classes = classes();
        classes[2] = Class { deadline_seconds: deadline, ..class(5.0, Idempotency::Keyed(window)) };
        let mut repeats = RetryBudget::new(ratio, true, &classes);
        for (tries, failed, strain, room, let_in) in of {
            repeats.learn(&Tried { seconds: 1.0, tries, good: let_in, let_in: vec![let_in; 4], failed: vec![failed; 4], strain, room });
            prop_assert!(repeats.of(0) <= RetryAllowance::IfNotExecuted && repeats.of(3) <= RetryAllowance::IfNotExecuted);
            prop_assert!(repeats.of(2) <= RetryAllowance::IfNotExecuted || window >= deadline + CLOCKS);
        }
    }
}
