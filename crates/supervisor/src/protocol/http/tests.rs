use super::*;

/// A supervisor without free descriptors must not report all of its servers as unreachable.
#[test]
fn a_local_resource_shortage_does_not_count_as_a_failure_of_the_peer() {
    assert_eq!(
        connect_failure(ErrorKind::ConnectionRefused),
        DisconnectReason::Refused
    );
    assert_eq!(
        connect_failure(ErrorKind::TimedOut),
        DisconnectReason::TimedOut
    );
    // Too many open files; no port left; no memory for buffers.
    for code in [24, 23, 99, 105] {
        assert_eq!(
            connect_failure(std::io::Error::from_raw_os_error(code).kind()),
            DisconnectReason::ResourcesExhausted,
            "{code}"
        );
    }
}
