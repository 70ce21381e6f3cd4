use super::*;

/// With a fixed share, unidentified connections and a complete fleet that connects to one supervisor would need more
/// descriptors than there are.
#[test]
fn unidentified_connections_get_half_of_the_descriptors_that_peers_leave() {
    for (descriptors, proxies) in [(256, 150), (512, 400), (1024, 150), (1024, 240)] {
        let unidentified = max_unidentified_connections(descriptors, proxies, 3);
        let for_servers = descriptors
            - unidentified
            - RESERVED_DESCRIPTORS
            - proxies
            - 3 * MAX_COLLECTORS_PER_ZONE;
        assert!(
            (MIN_UNIDENTIFIED_CONNECTIONS..=descriptors / 2).contains(&unidentified)
                && for_servers >= 30,
            "{descriptors}: {unidentified}, {for_servers}"
        );
    }
    assert_eq!(
        max_unidentified_connections(64, 150, 3),
        MIN_UNIDENTIFIED_CONNECTIONS
    );
}
