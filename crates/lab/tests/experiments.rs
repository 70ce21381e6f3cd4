//! Whole experiments: the same whatever the number of threads, resumed after a kill, and right about what differs.

use std::path::Path;

use chutegrade_lab::experiment::{read, Plan};
use chutegrade_lab::run::{broken, compare, play};
use chutegrade_lab::search::{default_objective, search, Objective};
use chutegrade_lab::stats::Verdict;
use chutegrade_lab::{report, Store};
use chutegrade_model::{scenario, Control, Scenario, Setup};

const FLEET: &str =
    "seconds: 12 zone: 'a' zone: 'b' kind { servers: 8 cores: 2 } front_ends { count: 4 avoids_after: 0 }\n\
    class { name: 'read' work_ms: 50 aim_ms: 400 deadline_ms: 1500 } load { level: 0.5 }";

fn plan(more: &str) -> Plan {
    let text = format!("name: 'e' case {{ name: 'c' scenario {{ {FLEET} }} }} {more}");
    read(&text, Path::new(".")).unwrap_or_else(|faults| panic!("{faults:?}"))
}

const FAILING: &str = "variant { name: 'module' change { trouble { sort: FAIL_FAST at_s: 3 part: 0.4 size: 1 } } }\n\
    variant { name: 'nobody' control: NOBODY change { trouble { sort: FAIL_FAST at_s: 3 part: 0.4 size: 1 } } }\n\
    variant { name: 'the same' change { trouble { sort: FAIL_FAST at_s: 3 part: 0.4 size: 1 } probes { timeout_ms: 301 } } }\n\
    measure: 'service' measure: 'failed' precision { pilot: 4 most: 8 half_width: 0.02 }";

/// Danger: results that depend on how many threads played them.
#[test]
fn any_number_of_threads_gives_the_same_results() {
    let plan = plan(FAILING);
    let results = |threads: usize| {
        let directory = tempfile::tempdir().expect("a directory");
        let mut store = Store::open(directory.path()).expect("a store");
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build()
            .expect("threads");
        pool.install(|| play(&plan, "b", &mut store, |_| true))
            .expect("played");
        (report::runs_csv(&store), report::page(&plan, "b", &store))
    };
    let one = results(1);
    assert!(one.0.lines().count() > 12);
    assert_eq!(one, results(3));
    assert_eq!(one, results(8));
}

#[test]
fn differences_are_found_where_there_are_some() {
    let plan = plan(FAILING);
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = Store::open(directory.path()).expect("a store");
    play(&plan, "b", &mut store, |_| true).expect("played");
    let all = compare(&plan, "b", &store);
    let of = |variant: &str, measure: &str| {
        all.iter()
            .find(|of| of.variant == variant && of.measure == measure)
            .expect("compared")
            .clone()
    };
    assert_eq!(
        of("nobody", "service").verdict,
        Verdict::Less,
        "{:?}",
        of("nobody", "service")
    );
    assert_eq!(of("nobody", "failed").verdict, Verdict::More);
    assert_eq!(
        of("the same", "service").verdict,
        Verdict::Alike,
        "{:?}",
        of("the same", "service")
    );
    assert!(broken(&plan, "b", &store).is_empty());
    let table = report::table(&plan, "b", &store);
    assert!(
        table.contains("nobody") && table.contains("less") && table.contains("alike"),
        "{table}"
    );
    let page = report::page(&plan, "b", &store);
    assert!(
        page.contains("No rule was broken") && page.matches("<svg").count() == 3,
        "{}",
        page.len()
    );
    assert!(compare(&plan, "another build", &store)
        .iter()
        .all(|of| of.difference.runs == 0));
}

/// Danger: a kill loses what was played, or a run counts twice.
#[test]
fn a_stopped_experiment_goes_on_where_it_was() {
    let plan = plan(FAILING);
    let directory = tempfile::tempdir().expect("a directory");
    let whole = {
        let other = tempfile::tempdir().expect("a directory");
        let mut store = Store::open(other.path()).expect("a store");
        play(&plan, "b", &mut store, |_| true).expect("played");
        report::runs_csv(&store)
    };
    let mut stops = 0;
    loop {
        let mut store = Store::open(directory.path()).expect("a store");
        let mut lots = 0;
        let ended = play(&plan, "b", &mut store, |_| {
            lots += 1;
            lots < 3
        });
        if ended.expect("played") {
            break;
        }
        stops += 1;
        // As a kill leaves it: the last line is torn.
        let path = directory.path().join("results.jsonl");
        let mut bytes = std::fs::read(&path).expect("results");
        bytes.extend_from_slice(b"{\"case\":\"c\",\"var");
        std::fs::write(&path, bytes).expect("torn");
        assert!(stops < 50, "it never ends");
    }
    assert!(stops > 1, "it was never stopped");
    let again = report::runs_csv(&Store::open(directory.path()).expect("a store"));
    for (one, other) in again.lines().zip(whole.lines()) {
        assert_eq!(one, other);
    }
    assert_eq!(again.len(), whole.len());
}

/// A fault that is planted, an order to send again whatever may have run, is found by the search for broken rules, and made
/// small.
#[test]
fn the_hunt_finds_a_planted_fault_and_makes_it_small() {
    let text = FLEET
        .replace("name: 'read'", "name: 'order' effect: UNSAFE")
        .replace("front_ends {", "front_ends { usual_retry: ONCE");
    let base = scenario::parse(&text).expect("a scenario");
    let nobody = Setup {
        control: Control::Nobody,
        ..Setup::default()
    };
    let objective = Objective {
        setup: nobody,
        ..default_objective(true)
    };
    let found = search(&base, &objective, 60, 1, |_, _| true).expect("something");
    assert!(
        found
            .broken_rules
            .iter()
            .any(|said| said.starts_with("twice")),
        "{:?}",
        found.broken_rules
    );
    assert!(
        found.scenario.trouble.len() <= 1 && found.scenario.kind[0].servers() <= 4,
        "{}",
        scenario::write(&found.scenario)
    );
    let again = search(&base, &objective, 60, 1, |_, _| true);
    assert_eq!(again, Some(found), "the same seed finds the same");
}

/// What searches found stays found: each scenario is played, and no rule breaks.
#[test]
fn the_kept_scenarios_break_no_rule() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut files: Vec<_> = [folder.to_string(), format!("{folder}/kept")]
        .iter()
        .flat_map(|folder| std::fs::read_dir(folder).expect("scenarios"))
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.extension().is_some_and(|end| end == "txtpb"))
        .collect();
    files.sort();
    assert!(!files.is_empty());
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a text");
        let scenario: Scenario =
            scenario::read(&text).unwrap_or_else(|faults| panic!("{}: {faults:?}", file.display()));
        let outcome = chutegrade_model::run(&scenario, Control::Module, 1);
        assert!(
            outcome.broken_rules.is_empty(),
            "{}: {:?}",
            file.display(),
            outcome.broken_rules
        );
    }
}
