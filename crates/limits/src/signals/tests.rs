use proptest::prelude::*;

use super::*;

fn sample(at: i64, value: f64) -> Observation {
    Observation {
        at,
        value,
        sure: 1.0,
    }
}

#[test]
fn what_comes_late_together_or_twice_is_read_by_its_own_times() {
    let mut board = SignalWindow::default();
    for at in [3, 1, 2, 2, 3] {
        board.learn(Signal::Late, sample(at, 0.5));
    }
    assert_eq!(board.of(Signal::Late).len(), 3);
    assert_eq!(board.held(Signal::Late, 10, |value| value > 0.4), Some(2));
    assert_eq!(board.held(Signal::Late, 10, |value| value > 0.6), None);
    assert!(!board.learn(Signal::Late, sample(2, 0.9)), "known already");
    assert!(!board.learn(Signal::Late, sample(9, f64::NAN)));
    assert!(!board.learn(
        Signal::Late,
        Observation {
            at: 9,
            value: 1.0,
            sure: 0.1
        }
    ));
}

#[test]
fn a_hole_ends_what_was_before_it() {
    let mut board = SignalWindow::default();
    for at in [0, 1, 20, 21] {
        board.learn(Signal::Queue, sample(at, 3.0));
    }
    assert_eq!(board.held(Signal::Queue, 5, |value| value > 2.0), Some(1));
    assert_eq!(board.newest(Signal::Queue, 30, 5), None);
    assert_eq!(
        board.newest(Signal::Queue, 24, 5).map(|newest| newest.at),
        Some(21)
    );
}

#[test]
fn values_stay_in_their_range_and_names_are_read_back() {
    let mut board = SignalWindow::default();
    board.learn(Signal::Saturation, sample(1, 7.0));
    assert_eq!(board.of(Signal::Saturation)[0].value, 1.0);
    for signal in SIGNALS {
        assert_eq!(Signal::by_name(signal.name()), Some(signal));
    }
    assert_eq!(Signal::by_name("nothing"), None);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: a flood of samples, or old ones, uses memory without bound or hides the newest.
    #[test]
    fn any_order_leaves_the_newest_in_order(times in prop::collection::vec(0..400i64, 1..600)) {
        let mut board = SignalWindow::default();
        for at in &times {
            board.learn(Signal::Room, sample(*at, 1.0));
        }
        let kept = board.of(Signal::Room);
        prop_assert!(kept.len() <= KEPT && kept.windows(2).all(|two| two[0].at < two[1].at));
        prop_assert_eq!(kept.last().map(|newest| newest.at), times.iter().copied().max());
    }
}
