use proptest::prelude::*;

use super::*;

/// Times ahead in every part of the queue: now, this slot, this wheel, the far one, beyond it.
fn ahead() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        0..64u64,
        0..70_000u64,
        0..80_000_000u64,
        60_000_000..900_000_000u64
    ]
}

proptest! {
    /// Danger: an event that comes too early, too late, never, or before one of the same time that was put in first.
    #[test]
    fn both_queues_give_the_same_order(steps in proptest::collection::vec((ahead(), 0..3u8), 1..400)) {
        let (mut plain, mut wheel) = (Plain::default(), Wheel::default());
        let mut now = 0;
        for (number, (ahead, pops)) in steps.into_iter().enumerate() {
            plain.push(now + ahead, number);
            wheel.push(now + ahead, number);
            for _ in 0..pops {
                let (one, other) = (plain.pop(), wheel.pop());
                prop_assert_eq!(one, other);
                now = one.map_or(now, |(at, _)| at);
            }
            prop_assert_eq!(plain.len(), wheel.len());
        }
        while let Some(one) = plain.pop() {
            prop_assert_eq!(Some(one), wheel.pop());
        }
        prop_assert!(wheel.pop().is_none() && wheel.is_empty());
    }
}

#[test]
fn a_time_that_has_passed_counts_as_now() {
    let mut wheel = Wheel::default();
    wheel.push(1_000_000, 'a');
    assert_eq!(wheel.pop(), Some((1_000_000, 'a')));
    wheel.push(5, 'b');
    assert_eq!(wheel.pop(), Some((1_000_000, 'b')));
}
