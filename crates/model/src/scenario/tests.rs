use super::*;

const SMALL: &str =
        "name: 'small'\nzone: 'a' zone: 'b'\nkind { servers: 4 cores: 2 }\nclass { name: 'x' work_ms: 50 }";

#[test]
fn what_is_not_said_has_its_usual_figure() {
    let scenario = read(SMALL).expect("a scenario");
    assert_eq!(
        (
            scenario.servers(),
            scenario.zones.len(),
            scenario.supervisors
        ),
        (4, 2, 2)
    );
    // Half of eight cores at 50 ms a request.
    assert!((scenario.rate - 80.0).abs() < 1e-9, "{}", scenario.rate);
    assert_eq!(scenario.demand(5), 1.0);
}

#[test]
fn demand_moves_on_straight_lines() {
    let text = format!(
        "{SMALL}\nload {{ point {{ at_s: 10 factor: 1 }} point {{ at_s: 20 factor: 3 }} }}"
    );
    let scenario = read(&text).expect("a scenario");
    let demand = |s: u64| scenario.demand(s * 1_000_000);
    assert_eq!(
        (demand(0), demand(15), demand(20), demand(99)),
        (1.0, 2.0, 3.0, 3.0)
    );
}

#[test]
fn all_faults_are_told_with_their_lines() {
    let text = format!("{SMALL}\nrules {{\n  fall_multiple: 0.5\n}}\ntrouble {{ sort: WAY }}\nclients {{ try_share: nan }}");
    let faults: Vec<String> = read(&text)
        .expect_err("faults")
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(faults.len(), 3, "{faults:?}");
    assert!(
        faults
            .iter()
            .any(|said| said.starts_with("6:3: fall_multiple is 0.5")),
        "{faults:?}"
    );
    assert!(
        faults.iter().any(|said| said.contains("WAY needs a zone")),
        "{faults:?}"
    );
    let wrong = read("kind { cores: two }").expect_err("a fault");
    assert_eq!(wrong[0].position.map(|place| place.line), Some(1));
    assert!(read("").expect_err("nothing")[0]
        .message
        .contains("0 servers"));
}

#[test]
fn a_change_replaces_single_figures_and_is_another_scenario() {
    let base = parse(SMALL).expect("a scenario");
    let change = parse("rules { drain_grace_s: 5 } front_ends { pick: ROTATE }").expect("a change");
    let both = with_change(&base, &change);
    let scenario = Scenario::try_from(&both).expect("a scenario");
    assert_eq!(
        (scenario.drain_grace_us, scenario.pick, scenario.servers()),
        (5_000_000, Pick::Rotate, 4)
    );
    assert_ne!(digest(&base), digest(&both));
    assert_eq!(parse(&write(&both)).expect("its own text"), both);
}
