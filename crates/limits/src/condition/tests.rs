use super::*;

const AGE: i64 = 5_000_000;

fn test(signal: Signal, above: bool, bound: f64, seconds: i64) -> Test {
    Test {
        signal,
        above,
        bound,
        hold: seconds * 1_000_000,
    }
}

fn board(of: &[(Signal, i64, f64)]) -> SignalWindow {
    let mut board = SignalWindow::default();
    for (signal, at, value) in of {
        board.learn(
            *signal,
            Observation {
                at: at * 1_000_000,
                value: *value,
                sure: 1.0,
            },
        );
    }
    board
}

#[test]
fn a_test_holds_by_its_signals_own_times() {
    let busy = test(Signal::Saturation, true, 0.5, 2);
    let board = board(&[
        (Signal::Saturation, 1, 0.6),
        (Signal::Saturation, 2, 0.7),
        (Signal::Saturation, 3, 0.6),
    ]);
    assert_eq!(busy.known(&board, 3_000_000, AGE), Known::Yes);
    assert_eq!(
        test(Signal::Saturation, true, 0.5, 3).known(&board, 3_000_000, AGE),
        Known::No
    );
    assert_eq!(
        busy.known(&board, 9_000_000, AGE),
        Known::Unknown,
        "too old"
    );
    assert_eq!(
        test(Signal::Room, true, 1.0, 0).known(&board, 3_000_000, AGE),
        Known::Unknown
    );
    let far = test(Signal::Saturation, true, 0.9, 2).distance(&board, 3_000_000, AGE);
    assert!((far.short.expect("known") - 0.3).abs() < 1e-9 && far.wait == 2_000_000);
}

#[test]
fn what_is_unknown_is_neither_met_nor_not() {
    let board = board(&[(Signal::Saturation, 1, 0.6)]);
    let (busy, room) = (
        test(Signal::Saturation, true, 0.5, 0),
        test(Signal::Room, true, 1.0, 0),
    );
    let calm = test(Signal::Saturation, false, 0.2, 0);
    let known = |all: &[Test], any: &[Test], out: bool| {
        let condition = Condition {
            all: all.to_vec(),
            any: any.to_vec(),
        };
        condition.known(&board, 1_000_000, AGE, |signal| out && signal.by_list())
    };
    assert_eq!(known(&[busy, room], &[], false), Known::Unknown);
    assert_eq!(known(&[busy, room], &[], true), Known::Yes);
    assert_eq!(known(&[calm, room], &[], false), Known::No);
    assert_eq!(known(&[], &[busy, room], false), Known::Yes);
    assert_eq!(known(&[], &[calm, room], false), Known::Unknown);
    assert_eq!(known(&[busy], &[calm], false), Known::No);
    assert_eq!(known(&[room], &[], true), Known::Unknown, "no test is left");
}

#[test]
fn conditions_that_can_never_hold_are_faults() {
    let impossible = |all: &[Test]| {
        Condition {
            all: all.to_vec(),
            any: vec![],
        }
        .possible()
        .expect_err("a fault")
    };
    assert!(impossible(&[]).contains("no test"));
    assert!(impossible(&[test(Signal::Late, true, 1.0, 0)]).contains("never so"));
    assert!(impossible(&[
        test(Signal::Late, true, 0.5, 0),
        test(Signal::Late, false, 0.4, 0)
    ])
    .contains("contradict"));
    let either = Condition {
        all: vec![],
        any: vec![
            test(Signal::Late, true, 0.5, 0),
            test(Signal::Late, false, 0.4, 0),
        ],
    };
    assert_eq!(either.possible(), Ok(()));
    assert_eq!(either.to_string(), "LATE above 0.5 or LATE below 0.4");
}
