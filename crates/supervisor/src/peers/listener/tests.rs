use super::*;

/// Danger: with a fixed share, strangers and a whole fleet that comes to one supervisor need more than there is.
#[test]
fn strangers_get_what_peers_leave() {
    for (sockets, proxies) in [(256, 150), (512, 400), (1024, 150), (1024, 240)] {
        let most = strangers(sockets, proxies, 3);
        let rest = sockets - most - OWN_DESCRIPTORS - proxies - 3 * PER_ZONE;
        assert!(
            (STRANGERS_LEAST..=sockets / 2).contains(&most) && rest >= 30,
            "{sockets}: {most}, {rest}"
        );
    }
    assert_eq!(strangers(64, 150, 3), STRANGERS_LEAST);
}

#[test]
fn the_oldest_place_is_needed_first_and_a_place_given_up_is_free() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let places = Places::new(2);
        let (first, second) = (places.take(), places.take());
        drop(first);
        let third = places.take();
        let fourth = places.take();
        second.needed().await;
        assert_eq!(places.taken.borrow().len(), 2);
        drop((second, third, fourth));
        assert!(places.taken.borrow().is_empty());
    });
}
