use super::*;

const MAX_AGE_US: i64 = 5_000_000;

fn above(signal: Signal, bound: f64, hold_seconds: i64) -> SignalTest {
    SignalTest {
        signal,
        comparison: Comparison::Above,
        bound,
        hold_us: hold_seconds * 1_000_000,
    }
}

fn below(signal: Signal, bound: f64) -> SignalTest {
    SignalTest {
        comparison: Comparison::Below,
        ..above(signal, bound, 0)
    }
}

fn signals(observations: &[(Signal, i64, f64)]) -> SignalWindow {
    let mut signals = SignalWindow::default();
    for (signal, at_us, value) in observations {
        signals.record(
            *signal,
            Observation {
                at_us: at_us * 1_000_000,
                value: *value,
                confidence: 1.0,
            },
        );
    }
    signals
}

#[test]
fn a_test_holds_by_the_times_that_observations_describe() {
    let is_saturated = above(Signal::Saturation, 0.5, 2);
    let signals = signals(&[
        (Signal::Saturation, 1, 0.6),
        (Signal::Saturation, 2, 0.7),
        (Signal::Saturation, 3, 0.6),
    ]);
    assert_eq!(
        is_saturated.state(&signals, 3_000_000, MAX_AGE_US),
        ConditionState::Met
    );
    assert_eq!(
        above(Signal::Saturation, 0.5, 3).state(&signals, 3_000_000, MAX_AGE_US),
        ConditionState::NotMet
    );
    assert_eq!(
        is_saturated.state(&signals, 9_000_000, MAX_AGE_US),
        ConditionState::Unknown,
        "too old"
    );
    assert_eq!(
        above(Signal::Headroom, 1.0, 0).state(&signals, 3_000_000, MAX_AGE_US),
        ConditionState::Unknown
    );
    let status = above(Signal::Saturation, 0.9, 2).status(&signals, 3_000_000, MAX_AGE_US);
    assert!(
        (status.shortfall.expect("known") - 0.3).abs() < 1e-9
            && status.remaining_hold_us == 2_000_000
    );
}

#[test]
fn a_condition_with_missing_signals_may_be_unknown() {
    let signals = signals(&[(Signal::Saturation, 1, 0.6)]);
    let (is_saturated, has_headroom) = (
        above(Signal::Saturation, 0.5, 0),
        above(Signal::Headroom, 1.0, 0),
    );
    let is_idle = below(Signal::Saturation, 0.2);
    let state = |all: &[SignalTest], any: &[SignalTest], exclude_list_signals: bool| {
        let condition = Condition {
            all: all.to_vec(),
            any: any.to_vec(),
        };
        condition.state(&signals, 1_000_000, MAX_AGE_US, |signal| {
            exclude_list_signals && signal.depends_on_endpoint_list()
        })
    };
    assert_eq!(
        state(&[is_saturated, has_headroom], &[], false),
        ConditionState::Unknown
    );
    assert_eq!(
        state(&[is_saturated, has_headroom], &[], true),
        ConditionState::Met
    );
    assert_eq!(
        state(&[is_idle, has_headroom], &[], false),
        ConditionState::NotMet
    );
    assert_eq!(
        state(&[], &[is_saturated, has_headroom], false),
        ConditionState::Met
    );
    assert_eq!(
        state(&[], &[is_idle, has_headroom], false),
        ConditionState::Unknown
    );
    assert_eq!(
        state(&[is_saturated], &[is_idle], false),
        ConditionState::NotMet
    );
    assert_eq!(
        state(&[has_headroom], &[], true),
        ConditionState::Unknown,
        "no test remains"
    );
}

#[test]
fn conditions_that_can_never_be_met_are_rejected() {
    let reachability_error = |all: &[SignalTest]| {
        Condition {
            all: all.to_vec(),
            any: vec![],
        }
        .check_reachable()
        .expect_err("an error")
    };
    assert!(reachability_error(&[]).to_string().contains("no test"));
    assert!(reachability_error(&[above(Signal::LateResponses, 1.0, 0)])
        .to_string()
        .contains("can never be met"));
    assert!(reachability_error(&[
        above(Signal::LateResponses, 0.5, 0),
        below(Signal::LateResponses, 0.4)
    ])
    .to_string()
    .contains("contradict"));
    let alternatives = Condition {
        all: vec![],
        any: vec![
            above(Signal::LateResponses, 0.5, 0),
            below(Signal::LateResponses, 0.4),
        ],
    };
    assert_eq!(alternatives.check_reachable(), Ok(()));
    assert_eq!(alternatives.to_string(), "LATE above 0.5 or LATE below 0.4");
}
