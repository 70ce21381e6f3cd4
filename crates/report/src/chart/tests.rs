use chutegrade_records::Window;

use super::axis::{Axis, MAX_TICKS};
use super::lines::round_up;

const MINUTE: i64 = 60_000_000;

#[test]
fn ticks_are_few_and_round_for_all_windows() {
    for length in [
        0,
        1_000,
        3_000_000,
        8 * MINUTE,
        26 * 60 * MINUTE,
        400 * 24 * 60 * MINUTE,
    ] {
        let ticks = Axis::new(Window {
            from_us: 7 * MINUTE + 1,
            to_us: 7 * MINUTE + 1 + length,
        })
        .ticks();
        assert!(ticks.len() as i64 <= MAX_TICKS + 2, "{length}: {ticks:?}");
        assert!(ticks.iter().all(|tick| tick % 1_000_000 == 0));
    }
    let eight = Axis::new(Window {
        from_us: 0,
        to_us: 8 * MINUTE,
    })
    .ticks();
    assert_eq!(eight, (0..=8).map(|n| n * MINUTE).collect::<Vec<_>>());
}

#[test]
fn scales_are_round_and_not_below_the_value() {
    assert_eq!(
        [0.0, 0.3, 1.0, 7.0, 1234.0].map(round_up),
        [1.0, 0.5, 1.0, 10.0, 2000.0]
    );
}
