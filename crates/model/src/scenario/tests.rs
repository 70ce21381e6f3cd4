use super::*;

const SMALL: &str =
        "name: 'small'\nzone: 'a' zone: 'b'\nkind { servers: 4 cores: 2 }\nclass { name: 'x' work_ms: 50 }";

#[test]
fn missing_fields_have_their_defaults() {
    let scenario = read(SMALL).expect("a scenario");
    assert_eq!(
        (
            scenario.servers(),
            scenario.zones.len(),
            scenario.supervisors
        ),
        (4, 2, 2)
    );
    // Half the capacity of eight cores, at 50 ms per request.
    assert!((scenario.rate - 80.0).abs() < 1e-9, "{}", scenario.rate);
    assert_eq!(scenario.demand(5), 1.0);
}

#[test]
fn demand_is_interpolated_linearly() {
    let text = format!(
        "{SMALL}\nload {{ point {{ at_s: 10 factor: 1 }} point {{ at_s: 20 factor: 3 }} }}"
    );
    let scenario = read(&text).expect("a scenario");
    let demand = |seconds: u64| scenario.demand(seconds * 1_000_000);
    assert_eq!(
        (demand(0), demand(15), demand(20), demand(99)),
        (1.0, 2.0, 3.0, 3.0)
    );
}

#[test]
fn all_errors_are_reported_with_their_positions() {
    let text = format!("{SMALL}\nrules {{\n  fall_multiple: 0.5\n}}\ntrouble {{ sort: WAY }}\nclients {{ try_share: nan }}");
    let errors: Vec<String> = read(&text)
        .expect_err("errors")
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(errors.len(), 3, "{errors:?}");
    assert!(
        errors
            .iter()
            .any(|error| error.starts_with("6:3: fall_multiple is 0.5")),
        "{errors:?}"
    );
    assert!(
        errors
            .iter()
            .any(|error| error.contains("WAY needs a zone")),
        "{errors:?}"
    );
    let syntax_errors = read("kind { cores: two }").expect_err("a syntax error");
    assert_eq!(
        syntax_errors[0].position.map(|position| position.line),
        Some(1)
    );
    assert!(read("").expect_err("no servers")[0]
        .message
        .contains("0 servers"));
}

#[test]
fn a_change_replaces_singular_fields_and_changes_the_digest() {
    let base = parse(SMALL).expect("a scenario");
    let change = parse("rules { drain_grace_s: 5 } front_ends { pick: ROTATE }").expect("a change");
    let combined = with_change(&base, &change);
    let scenario = Scenario::try_from(&combined).expect("a scenario");
    assert_eq!(
        (scenario.drain_grace_us, scenario.pick, scenario.servers()),
        (5_000_000, Pick::Rotate, 4)
    );
    assert_ne!(digest(&base), digest(&combined));
    assert_eq!(
        parse(&write(&combined)).expect("the written text is valid"),
        combined
    );
}
