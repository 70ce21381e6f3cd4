use super::*;
use crate::scenario;

#[test]
fn service_figures_match_a_calculation_by_hand() {
    let text = "seconds: 20\nkind { servers: 1 }\nclass { name: 'x' worth: 2 aim_ms: 100 deadline_ms: 200 late_worth: 0.5 }\n\
            class { name: 'y' worth: 1 }";
    let scenario = scenario::read(text).expect("a scenario");
    let mut metrics = Metrics::new(&scenario);
    for second in 0..20u64 {
        let arrived_us = second * 1_000_000;
        metrics.record_request(
            &scenario,
            0,
            arrived_us,
            RequestOutcome::Answered(if second < 10 { 50_000 } else { 150_000 }),
        );
        metrics.record_request(
            &scenario,
            1,
            arrived_us,
            if second == 0 {
                RequestOutcome::Failed
            } else {
                RequestOutcome::Answered(1)
            },
        );
    }
    let outcome = metrics.finish(&scenario, Vec::new(), 0);
    let assert_close = |name: &str, value: f64| {
        assert!(
            (outcome.figure(name) - value).abs() < 1e-9,
            "{name}: {outcome:?}"
        )
    };
    // 60 offered; served: 10 requests of weight 2 in time, 10 late at half of that, 19 of weight 1.
    assert_close("whole", 49.0 / 60.0);
    assert_close("worst_window", 20.0 / 30.0);
    assert_close("worst_class", 30.0 / 40.0);
    let nines = |lost_share: f64| (-lost_share.log10() / 2.0).clamp(0.0, 1.0);
    assert_close(
        "nines",
        (nines(1.0 / 15.0) + 1.0 + 2.0 * nines(5.0 / 15.0)) / 4.0,
    );
    assert_close("failed", 1.0 / 40.0);
    assert_eq!(outcome.classes[1].requests, 20);
}

#[test]
fn without_requests_the_service_is_full() {
    let scenario = scenario::read("kind { servers: 1 } class { }").expect("a scenario");
    let outcome = Metrics::new(&scenario).finish(&scenario, Vec::new(), 0);
    assert_eq!(outcome.service(), 1.0);
}
