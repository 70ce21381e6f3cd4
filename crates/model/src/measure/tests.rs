use super::*;
use crate::scenario;

#[test]
fn service_is_counted_by_hand() {
    let text = "seconds: 20\nkind { servers: 1 }\nclass { name: 'x' worth: 2 aim_ms: 100 deadline_ms: 200 late_worth: 0.5 }\n\
            class { name: 'y' worth: 1 }";
    let scenario = scenario::read(text).expect("a scenario");
    let mut meter = Meter::new(&scenario);
    for second in 0..20u64 {
        let came = second * 1_000_000;
        meter.ended(
            &scenario,
            0,
            came,
            Ending::Answered(if second < 10 { 50_000 } else { 150_000 }),
        );
        meter.ended(
            &scenario,
            1,
            came,
            if second == 0 {
                Ending::Failed
            } else {
                Ending::Answered(1)
            },
        );
    }
    let outcome = meter.finish(&scenario, Vec::new(), 0);
    let close = |name: &str, value: f64| {
        assert!(
            (outcome.figure(name) - value).abs() < 1e-9,
            "{name}: {outcome:?}"
        )
    };
    // 60 asked for: 10 x 2 in time, 10 x 1 late, 19 x 1.
    close("whole", 49.0 / 60.0);
    close("worst_window", 20.0 / 30.0);
    close("worst_class", 30.0 / 40.0);
    let nines = |lost: f64| (-lost.log10() / 2.0).clamp(0.0, 1.0);
    close(
        "nines",
        (nines(1.0 / 15.0) + 1.0 + 2.0 * nines(5.0 / 15.0)) / 4.0,
    );
    close("failed", 1.0 / 40.0);
    assert_eq!(outcome.classes[1].requests, 20);
}

#[test]
fn nothing_asked_for_is_no_loss() {
    let scenario = scenario::read("kind { servers: 1 } class { }").expect("a scenario");
    let outcome = Meter::new(&scenario).finish(&scenario, Vec::new(), 0);
    assert_eq!(outcome.service(), 1.0);
}
