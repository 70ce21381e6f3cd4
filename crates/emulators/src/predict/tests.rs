use super::*;

#[test]
fn a_bar_is_for_one_more_run() {
    let runs: Vec<Figures> = [0.90, 0.92, 0.94]
        .iter()
        .map(|share| vec![("refused", Some(*share))])
        .collect();
    let rows = |came| compare(&runs, &vec![("refused", came)]);
    let half = rows(Some(0.92))[0].half;
    // t of 2 degrees is 4.303; the standard deviation 0.02; one more run: root of 1 + 1/3.
    assert!(
        (half - (4.303 * 0.02 * (4.0f64 / 3.0).sqrt() + 0.003)).abs() < 1e-3,
        "{half}"
    );
    assert!(rows(Some(0.95))[0].holds() && !rows(Some(0.70))[0].holds());
    assert!(!rows(None)[0].holds(), "what the model says must come up");
}

#[test]
fn every_day_can_be_modelled() {
    for day in days() {
        let scenario = day
            .scenario()
            .unwrap_or_else(|fault| panic!("{}: {fault}", day.name));
        let outcome = run(&scenario, Control::Module, 1);
        assert!(
            outcome.broken_rules.is_empty() && outcome.figure("came") > 3000.0,
            "{}: {:?}",
            day.name,
            outcome.broken_rules
        );
    }
}
