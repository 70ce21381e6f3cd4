use super::*;

#[test]
fn prediction_interval_covers_one_more_run() {
    let runs: Vec<Metrics> = [0.90, 0.92, 0.94]
        .iter()
        .map(|share| vec![("refused", Some(*share))])
        .collect();
    let rows = |measured| compare(&runs, &vec![("refused", measured)]);
    let half_width = rows(Some(0.92))[0].half_width;
    // Student's t for 2 degrees of freedom is 4.303, the standard deviation is 0.02. The factor for one more run is
    // sqrt(1 + 1/3).
    assert!(
        (half_width - (4.303 * 0.02 * (4.0f64 / 3.0).sqrt() + 0.003)).abs() < 1e-3,
        "{half_width}"
    );
    assert!(rows(Some(0.95))[0].is_within_interval() && !rows(Some(0.70))[0].is_within_interval());
    assert!(
        !rows(None)[0].is_within_interval(),
        "a predicted metric must be measured"
    );
}

#[test]
fn every_case_has_a_valid_scenario() {
    for case in comparison_cases() {
        let scenario = case
            .scenario()
            .unwrap_or_else(|error| panic!("{}: {error}", case.name));
        let outcome = run(&scenario, Control::Module, 1);
        assert!(
            outcome.broken_rules.is_empty() && outcome.figure("came") > 3000.0,
            "{}: {:?}",
            case.name,
            outcome.broken_rules
        );
    }
}
