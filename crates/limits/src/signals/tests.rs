use proptest::prelude::*;

use super::*;

fn observation(at_us: i64, value: f64) -> Observation {
    Observation {
        at_us,
        value,
        confidence: 1.0,
    }
}

#[test]
fn late_batched_and_duplicate_observations_are_ordered_by_their_own_times() {
    let mut signals = SignalWindow::default();
    for at_us in [3, 1, 2, 2, 3] {
        signals.record(Signal::LateResponses, observation(at_us, 0.5));
    }
    assert_eq!(signals.observations(Signal::LateResponses).len(), 3);
    assert_eq!(
        signals.holding_time_us(Signal::LateResponses, 10, |value| value > 0.4),
        Some(2)
    );
    assert_eq!(
        signals.holding_time_us(Signal::LateResponses, 10, |value| value > 0.6),
        None
    );
    assert!(
        !signals.record(Signal::LateResponses, observation(2, 0.9)),
        "there is an observation for this time"
    );
    assert!(!signals.record(Signal::LateResponses, observation(9, f64::NAN)));
    assert!(!signals.record(
        Signal::LateResponses,
        Observation {
            at_us: 9,
            value: 1.0,
            confidence: 0.1
        }
    ));
}

#[test]
fn a_gap_ends_the_holding_time() {
    let mut signals = SignalWindow::default();
    for at_us in [0, 1, 20, 21] {
        signals.record(Signal::QueueLength, observation(at_us, 3.0));
    }
    assert_eq!(
        signals.holding_time_us(Signal::QueueLength, 5, |value| value > 2.0),
        Some(1)
    );
    assert_eq!(signals.newest(Signal::QueueLength, 30, 5), None);
    assert_eq!(
        signals
            .newest(Signal::QueueLength, 24, 5)
            .map(|newest| newest.at_us),
        Some(21)
    );
}

#[test]
fn values_are_clamped_and_names_are_parsed() {
    let mut signals = SignalWindow::default();
    signals.record(Signal::Saturation, observation(1, 7.0));
    assert_eq!(signals.observations(Signal::Saturation)[0].value, 1.0);
    for signal in SIGNALS {
        assert_eq!(Signal::by_name(signal.name()), Some(signal));
    }
    assert_eq!(Signal::by_name("nothing"), None);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Many or old observations must not use unbounded memory or displace the newest ones.
    #[test]
    fn any_order_of_observations_keeps_the_newest_in_order(times in prop::collection::vec(0..400i64, 1..600)) {
        let mut signals = SignalWindow::default();
        for at_us in &times {
            signals.record(Signal::Headroom, observation(*at_us, 1.0));
        }
        let observations = signals.observations(Signal::Headroom);
        prop_assert!(observations.len() <= WINDOW_CAPACITY && observations.windows(2).all(|pair| pair[0].at_us < pair[1].at_us));
        prop_assert_eq!(observations.last().map(|newest| newest.at_us), times.iter().copied().max());
    }
}
