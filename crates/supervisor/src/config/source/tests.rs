use super::*;
use crate::config::tests::COMPLETE;

fn parse_file(text: &str) -> ConfigFile {
    serde_json::from_str(text).expect("a file")
}

/// Creates the source of a supervisor that was started with this discovery address.
fn source(discovery: &str) -> ConfigSource {
    let discovery = discovery.parse().expect("an address");
    ConfigSource::new(String::new(), parse_file(COMPLETE), discovery)
}

/// The environment keeps the discovery address of startup: if it took precedence after a reload, the supervisor would
/// connect to an agent that has been removed.
#[test]
fn what_the_file_changed_takes_precedence_over_the_environment() {
    let mut source = source("127.0.0.8:8500");
    let started = source.discovery;
    // The file has not changed since startup, so the environment's address stays in use.
    assert_eq!(
        source
            .update(parse_file(COMPLETE))
            .expect("a file")
            .discovery,
        started
    );
    let moved = COMPLETE.replace("127.0.0.1:8500", "127.0.0.2:8500");
    for _ in 0..2 {
        let reloaded = source.update(parse_file(&moved)).expect("a file");
        assert_eq!(
            (
                reloaded.discovery.to_string().as_str(),
                reloaded.restart_required_for.len()
            ),
            ("127.0.0.2:8500", 0)
        );
    }
    assert_eq!(
        source
            .update(parse_file(COMPLETE))
            .expect("a file")
            .discovery
            .to_string(),
        "127.0.0.1:8500"
    );
}

/// A partly applied file would leave the supervisor with a configuration that no file contains.
#[test]
fn a_reload_is_applied_completely_or_not_at_all() {
    let mut source = source("127.0.0.1:8500");
    let started = source.discovery;
    let moved = COMPLETE.replace("127.0.0.1:8500", "127.0.0.2:8500");
    for (from, to) in [
        ("127.0.0.2:8500", "nowhere"),
        ("\"settings\":{", "\"settings\":7,\"unused\":{"),
    ] {
        assert!(source.update(parse_file(&moved.replace(from, to))).is_err());
    }
    assert!(source.reload().is_err(), "there is no such file");
    assert_eq!(source.discovery, started);
    let more = moved
        .replace("\"sockets\":512", "\"sockets\":64")
        .replace("\"n3\"", "\"n4\"");
    for _ in 0..2 {
        let reloaded = source.update(parse_file(&more)).expect("a file");
        assert_eq!(
            reloaded.restart_required_for,
            ["name", "limits"],
            "listed until the next restart"
        );
    }
}
