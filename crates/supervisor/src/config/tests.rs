use super::*;

const WHOLE: &str = r#"{"name":"n3","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
    "known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","status":"up"}]},
    "settings":{"zones":["a","b"],"kinds":["m"],"classes":[{"name":"lookup"}],"tickMs":4.0,
                "limits":{"connectTimeoutMs":250.0}}}"#;

fn read(text: &[u8], var: impl Fn(&str) -> Option<String>) -> Result<Config, Fault> {
    super::read(serde_json::from_slice(text)?, var)
}

fn file(text: &str) -> File {
    serde_json::from_str(text).expect("a file")
}

fn none(_: &str) -> Option<String> {
    None
}

#[test]
fn a_whole_configuration_is_read() {
    let config = read(WHOLE.as_bytes(), none).expect("a configuration");
    assert_eq!(
        (config.name.as_str(), config.seed, config.limits.sockets),
        ("n3", 0x8c1f_30d2_7a5b_e964, 512)
    );
    assert_eq!((config.tick_ms, config.connect_ms), (4.0, 250.0));
    assert_eq!(config.names.classes, ["lookup"]);
    let Some((41, Report::EndpointList(EndpointUpdateKind::CachedSnapshot, entries))) =
        config.known
    else {
        panic!("no known list")
    };
    assert_eq!(entries.len(), 1);
}

#[test]
fn the_environment_comes_first() {
    let var = |key: &str| (key == "LB_LISTEN").then(|| "127.0.0.9:1".to_string());
    let config = read(WHOLE.as_bytes(), var).expect("a configuration");
    assert_eq!(config.listen.to_string(), "127.0.0.9:1");
}

#[test]
fn what_is_wrong_is_said_in_one_sentence() {
    let changed = |from: &str, to: &str| read(WHOLE.replace(from, to).as_bytes(), none).map(|_| ());
    let says = |result: Result<(), Fault>, words: &str| {
        let said = result.expect_err(words).to_string();
        assert!(said.contains(words) && !said.contains('\n'), "{said}");
    };
    says(
        read(b"", none).map(|_| ()),
        "the configuration cannot be read",
    );
    says(
        changed("127.0.0.1:5000", "nowhere"),
        "LB_LISTEN is no address",
    );
    says(
        changed("\"discovery\"", "\"unused\""),
        "LB_DISCOVERY is not set",
    );
    says(
        changed("\"settings\":{", "\"settings\":7,\"unused\":{"),
        "the settings cannot be read",
    );
    says(
        changed("\"tickMs\":4.0", "\"familyInfo\":{\"shards\":8}"),
        "slices",
    );
}

#[test]
fn a_known_list_that_can_not_be_read_is_none() {
    let text = WHOLE.replace("\"index\":41", "\"index\":\"x\"");
    assert!(read(text.as_bytes(), none)
        .expect("a configuration")
        .known
        .is_none());
}

/// Danger: the environment names the address of the start for good; a supervisor that believes it after a reload asks
/// an agent that is gone.
#[test]
fn what_the_file_changed_comes_before_the_environment() {
    let started: SocketAddr = "127.0.0.8:8500".parse().expect("an address");
    let mut source = Source {
        path: String::new(),
        said: file(WHOLE),
        discovery: started,
    };
    // The file says what it said at the start: the environment's address stays.
    assert_eq!(source.take(file(WHOLE)).expect("a file").discovery, started);
    let moved = WHOLE.replace("127.0.0.1:8500", "127.0.0.2:8500");
    for _ in 0..2 {
        let reloaded = source.take(file(&moved)).expect("a file");
        assert_eq!(
            (
                reloaded.discovery.to_string().as_str(),
                reloaded.later.len()
            ),
            ("127.0.0.2:8500", 0)
        );
    }
    assert_eq!(
        source
            .take(file(WHOLE))
            .expect("a file")
            .discovery
            .to_string(),
        "127.0.0.1:8500"
    );
}

/// Danger: a reload that takes half of a file runs on what nobody wrote.
#[test]
fn a_reload_is_taken_whole_or_not_at_all() {
    let started: SocketAddr = "127.0.0.1:8500".parse().expect("an address");
    let mut source = Source {
        path: String::new(),
        said: file(WHOLE),
        discovery: started,
    };
    let moved = WHOLE.replace("127.0.0.1:8500", "127.0.0.2:8500");
    for (from, to) in [
        ("127.0.0.2:8500", "nowhere"),
        ("\"settings\":{", "\"settings\":7,\"unused\":{"),
    ] {
        assert!(source.take(file(&moved.replace(from, to))).is_err());
    }
    assert!(source.reload().is_err(), "there is no such file");
    assert_eq!(source.discovery, started);
    let more = moved
        .replace("\"sockets\":512", "\"sockets\":64")
        .replace("\"n3\"", "\"n4\"");
    for _ in 0..2 {
        let reloaded = source.take(file(&more)).expect("a file");
        assert_eq!(
            reloaded.later,
            ["name", "limits"],
            "said until the program starts anew"
        );
    }
}

/// Danger: what an entry that can't be read told came before the version that the list names, and would never be told.
#[test]
fn a_known_list_read_in_part_holds_from_the_first_version() {
    let text = WHOLE.replace(
        "{\"name\":\"s-1\"",
        "{\"name\":\"s-0\",\"status\":7},{\"name\":\"s-1\"",
    );
    let Some((0, Report::EndpointList(EndpointUpdateKind::CachedSnapshot, entries))) =
        read(text.as_bytes(), none).expect("a configuration").known
    else {
        panic!("no known list")
    };
    assert_eq!(entries.len(), 1);
}
