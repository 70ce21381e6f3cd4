use super::*;

#[test]
fn the_oldest_connection_is_evicted_first_and_a_released_slot_is_free() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let slots = ConnectionSlots::new(2);
        let (first, second) = (slots.acquire(), slots.acquire());
        drop(first);
        let third = slots.acquire();
        let fourth = slots.acquire();
        second.evicted().await;
        assert_eq!(slots.occupied.borrow().len(), 2);
        drop((second, third, fourth));
        assert!(slots.occupied.borrow().is_empty());
    });
}
