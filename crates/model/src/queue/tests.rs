use proptest::prelude::*;

use super::*;

/// Delays that end in each part of the wheel queue: now, the current slot, the near wheel, the far wheel, the overflow heap.
fn delay_us() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        0..64u64,
        0..70_000u64,
        0..80_000_000u64,
        60_000_000..900_000_000u64
    ]
}

proptest! {
    /// Guards against events that are popped too early, too late or never, or out of insertion order at the same time.
    #[test]
    fn both_queues_pop_in_the_same_order(steps in proptest::collection::vec((delay_us(), 0..3u8), 1..400)) {
        let (mut heap, mut wheel) = (HeapQueue::default(), WheelQueue::default());
        let mut now = 0;
        for (event, (delay_us, pops)) in steps.into_iter().enumerate() {
            heap.push(now + delay_us, event);
            wheel.push(now + delay_us, event);
            for _ in 0..pops {
                let (expected, actual) = (heap.pop(), wheel.pop());
                prop_assert_eq!(expected, actual);
                now = expected.map_or(now, |(at, _)| at);
            }
            prop_assert_eq!(heap.len(), wheel.len());
        }
        while let Some(expected) = heap.pop() {
            prop_assert_eq!(Some(expected), wheel.pop());
        }
        prop_assert!(wheel.pop().is_none() && wheel.is_empty());
    }
}

#[test]
fn an_event_in_the_past_is_due_at_the_current_time() {
    let mut wheel = WheelQueue::default();
    wheel.push(1_000_000, 'a');
    assert_eq!(wheel.pop(), Some((1_000_000, 'a')));
    wheel.push(5, 'b');
    assert_eq!(wheel.pop(), Some((1_000_000, 'b')));
}
