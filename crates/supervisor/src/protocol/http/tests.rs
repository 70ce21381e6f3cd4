use super::*;

/// Danger: a supervisor without descriptors would take all its servers for dead.
#[test]
fn a_lack_on_this_machine_is_not_the_peers() {
    assert_eq!(unopened(ErrorKind::ConnectionRefused), Ending::Refused);
    assert_eq!(unopened(ErrorKind::TimedOut), Ending::TimedOut);
    // Too many open files; no port left; no memory for buffers.
    for code in [24, 23, 99, 105] {
        assert_eq!(
            unopened(std::io::Error::from_raw_os_error(code).kind()),
            Ending::NoRoom,
            "{code}"
        );
    }
}
