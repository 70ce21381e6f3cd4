use chutegrade_engine::{EndpointUpdateKind, Report};

use super::*;

pub(super) const COMPLETE: &str = r#"{"name":"n3","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
    "known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","status":"up"}]},
    "settings":{"zones":["a","b"],"kinds":["m"],"classes":[{"name":"lookup"}],"tickMs":4.0,
                "limits":{"connectTimeoutMs":250.0}}}"#;

fn read(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    Config::new(serde_json::from_slice(text)?, variable)
}

fn empty_environment(_: &str) -> Option<String> {
    None
}

#[test]
fn a_complete_configuration_is_read() {
    let config = read(COMPLETE.as_bytes(), empty_environment).expect("a configuration");
    assert_eq!(
        (config.name.as_str(), config.seed, config.limits.sockets),
        ("n3", 0x8c1f_30d2_7a5b_e964, 512)
    );
    assert_eq!(
        (config.min_tick_interval_ms, config.connect_timeout_ms),
        (4.0, 250.0)
    );
    assert_eq!(config.names.classes, ["lookup"]);
    let cached = config.cached_endpoints.expect("a cached endpoint list");
    assert_eq!(cached.version, 41);
    let Report::EndpointList(EndpointUpdateKind::CachedSnapshot, endpoints) = cached.to_report()
    else {
        panic!("no cached list")
    };
    assert_eq!(endpoints.len(), 1);
}

#[test]
fn the_environment_takes_precedence_at_the_start() {
    let variable = |key: &str| (key == "LB_LISTEN").then(|| "127.0.0.9:1".to_string());
    let config = read(COMPLETE.as_bytes(), variable).expect("a configuration");
    assert_eq!(config.listen.to_string(), "127.0.0.9:1");
}

#[test]
fn each_fault_is_described_in_one_sentence() {
    let changed = |from: &str, to: &str| {
        read(COMPLETE.replace(from, to).as_bytes(), empty_environment).map(|_| ())
    };
    let assert_described = |result: Result<(), ConfigError>, words: &str| {
        let message = result.expect_err(words).to_string();
        assert!(
            message.contains(words) && !message.contains('\n'),
            "{message}"
        );
    };
    assert_described(
        read(b"", empty_environment).map(|_| ()),
        "the configuration cannot be read",
    );
    assert_described(
        changed("127.0.0.1:5000", "nowhere"),
        "LB_LISTEN is not an address",
    );
    assert_described(
        changed("\"discovery\"", "\"unused\""),
        "LB_DISCOVERY is not set",
    );
    assert_described(
        changed("\"settings\":{", "\"settings\":7,\"unused\":{"),
        "the settings cannot be read",
    );
    assert_described(
        changed("\"tickMs\":4.0", "\"familyInfo\":{\"shards\":8}"),
        "slices",
    );
}

#[test]
fn a_known_list_that_cannot_be_read_is_ignored() {
    let text = COMPLETE.replace("\"index\":41", "\"index\":\"x\"");
    assert!(read(text.as_bytes(), empty_environment)
        .expect("a configuration")
        .cached_endpoints
        .is_none());
}

/// Discovery delivers only changes after the list's version, so the state of an unreadable endpoint would stay unknown.
#[test]
fn a_known_list_with_an_unreadable_endpoint_has_the_first_version() {
    let text = COMPLETE.replace(
        "{\"name\":\"s-1\"",
        "{\"name\":\"s-0\",\"status\":7},{\"name\":\"s-1\"",
    );
    let config = read(text.as_bytes(), empty_environment).expect("a configuration");
    let cached = config.cached_endpoints.expect("a cached endpoint list");
    assert_eq!(cached.version, 0);
    let Report::EndpointList(EndpointUpdateKind::CachedSnapshot, endpoints) = cached.to_report()
    else {
        panic!("no cached list")
    };
    assert_eq!(endpoints.len(), 1);
}
