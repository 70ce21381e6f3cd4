use proptest::prelude::*;

use super::*;

fn class(priority_weight: f64, idempotency: Idempotency) -> Class {
    Class {
        name: format!("{priority_weight}"),
        priority_weight,
        latency_objective_seconds: 1.0,
        deadline_seconds: 5.0,
        idempotency,
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

fn budget(ratio: f64, retry_with_headroom: bool, classes: &[Class]) -> RetryBudget {
    let config = RetryBudgetConfig {
        ratio,
        retry_with_headroom,
    };
    RetryBudget::new(config, classes)
}

fn report(attempts: f64, unanswered: f64, saturation: f64) -> RetrySample {
    RetrySample {
        seconds: 1.0,
        attempts,
        successes: 100.0 - unanswered,
        admitted: vec![25.0; 4],
        unanswered: vec![unanswered / 4.0; 4],
        saturation,
        headroom: Some(2.0),
    }
}

fn allowances(budget: &RetryBudget) -> Vec<RetryAllowance> {
    (0..4).map(|class| budget.allowance(class)).collect()
}

#[test]
fn an_exhausted_budget_suspends_the_lowest_priority_first_and_resumes_slowly() {
    let mut budget = budget(DEFAULT_RETRY_RATIO, false, &classes());
    assert_eq!(allowances(&budget), [RetryAllowance::IfNotExecuted; 4]);
    for _ in 0..3 {
        budget.record(&report(140.0, 10.0, 0.5));
    }
    assert_eq!(
        allowances(&budget),
        [
            RetryAllowance::IfNotExecuted,
            RetryAllowance::Never,
            RetryAllowance::IfNotExecuted,
            RetryAllowance::IfNotExecuted
        ]
    );
    for _ in 0..10 {
        budget.record(&report(140.0, 10.0, 0.5));
    }
    assert_eq!(allowances(&budget), [RetryAllowance::Never; 4]);
    for _ in 0..120 {
        budget.record(&report(100.0, 0.0, 0.0));
    }
    assert_eq!(allowances(&budget), [RetryAllowance::IfNotExecuted; 4]);
}

#[test]
fn with_headroom_and_some_failures_safe_requests_are_retried_once() {
    let mut budget = budget(DEFAULT_RETRY_RATIO, true, &classes());
    for _ in 0..20 {
        budget.record(&report(100.0, 6.0, 0.0));
    }
    assert_eq!(
        allowances(&budget),
        [
            RetryAllowance::IfNotExecuted,
            RetryAllowance::Once,
            RetryAllowance::Once,
            RetryAllowance::IfNotExecuted
        ],
        "a window of 6 s is too short for 5 s"
    );
    // Rising saturation ends these retries immediately.
    budget.record(&report(104.0, 6.0, 0.3));
    assert_eq!(allowances(&budget), [RetryAllowance::IfNotExecuted; 4]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// No report may permit a retry whose effect could be repeated.
    #[test]
    fn no_report_permits_a_retry_that_is_not_safe(
        samples in prop::collection::vec((prop::num::f64::ANY, prop::num::f64::ANY, 0.0..1.0f64, prop::option::of(prop::num::f64::ANY), 0.0..400.0f64), 0..80),
        window_seconds in 0.0..30.0f64, deadline_seconds in 0.1..20.0f64, ratio in 0.0..10.0f64,
    ) {
        let mut classes = classes();
        classes[2] = Class { deadline_seconds, ..class(5.0, Idempotency::Keyed(window_seconds)) };
        let mut budget = budget(ratio, true, &classes);
        for (attempts, unanswered, saturation, headroom, admitted) in samples {
            budget.record(&RetrySample { seconds: 1.0, attempts, successes: admitted, admitted: vec![admitted; 4], unanswered: vec![unanswered; 4], saturation, headroom });
            prop_assert!(budget.allowance(0) <= RetryAllowance::IfNotExecuted && budget.allowance(3) <= RetryAllowance::IfNotExecuted);
            prop_assert!(budget.allowance(2) <= RetryAllowance::IfNotExecuted || window_seconds >= deadline_seconds + CLOCK_SKEW_SECONDS);
        }
    }
}
