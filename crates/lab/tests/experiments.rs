//! Complete experiments: results do not depend on the number of threads, runs resume after a kill, and real differences
//! are detected.

use std::path::Path;

use chutegrade_lab::experiment::{read, Plan};
use chutegrade_lab::run::{broken_rules, compare, play};
use chutegrade_lab::search::{default_objective, search, Objective};
use chutegrade_lab::stats::Verdict;
use chutegrade_lab::{report, Store};
use chutegrade_model::{scenario, Control, Scenario, Setup};

const FLEET: &str =
    "seconds: 12 zone: 'a' zone: 'b' kind { servers: 8 cores: 2 } front_ends { count: 4 avoids_after: 0 }\n\
    class { name: 'read' work_ms: 50 aim_ms: 400 deadline_ms: 1500 } load { level: 0.5 }";

fn plan(variants: &str) -> Plan {
    let text = format!("name: 'e' case {{ name: 'c' scenario {{ {FLEET} }} }} {variants}");
    read(&text, Path::new(".")).unwrap_or_else(|errors| panic!("{errors:?}"))
}

const FAILING_SERVERS: &str = "variant { name: 'module' change { trouble { sort: FAIL_FAST at_s: 3 part: 0.4 size: 1 } } }\n\
    variant { name: 'nobody' control: NOBODY change { trouble { sort: FAIL_FAST at_s: 3 part: 0.4 size: 1 } } }\n\
    variant { name: 'the same' change { trouble { sort: FAIL_FAST at_s: 3 part: 0.4 size: 1 } probes { timeout_ms: 301 } } }\n\
    measure: 'service' measure: 'failed' precision { pilot: 4 most: 8 half_width: 0.02 }";

/// Guards against results that depend on the number of threads.
#[test]
fn any_number_of_threads_gives_the_same_results() {
    let plan = plan(FAILING_SERVERS);
    let results = |threads: usize| {
        let directory = tempfile::tempdir().expect("a directory");
        let mut store = Store::open(directory.path()).expect("a store");
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build()
            .expect("threads");
        pool.install(|| play(&plan, "b", &mut store, |_| true))
            .expect("complete runs");
        (report::runs_csv(&store), report::page(&plan, "b", &store))
    };
    let single_threaded = results(1);
    assert!(single_threaded.0.lines().count() > 12);
    assert_eq!(single_threaded, results(3));
    assert_eq!(single_threaded, results(8));
}

#[test]
fn real_differences_are_detected() {
    let plan = plan(FAILING_SERVERS);
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = Store::open(directory.path()).expect("a store");
    play(&plan, "b", &mut store, |_| true).expect("complete runs");
    let comparisons = compare(&plan, "b", &store);
    let comparison = |variant: &str, measure: &str| {
        comparisons
            .iter()
            .find(|comparison| comparison.variant == variant && comparison.measure == measure)
            .expect("compared")
            .clone()
    };
    assert_eq!(
        comparison("nobody", "service").verdict,
        Verdict::Less,
        "{:?}",
        comparison("nobody", "service")
    );
    assert_eq!(comparison("nobody", "failed").verdict, Verdict::More);
    assert_eq!(
        comparison("the same", "service").verdict,
        Verdict::Equivalent,
        "{:?}",
        comparison("the same", "service")
    );
    assert!(broken_rules(&plan, "b", &store).is_empty());
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
        .all(|comparison| comparison.difference.runs == 0));
}

/// Guards against a kill that loses completed runs or lets a run count twice.
#[test]
fn a_stopped_experiment_resumes_where_it_stopped() {
    let plan = plan(FAILING_SERVERS);
    let directory = tempfile::tempdir().expect("a directory");
    let uninterrupted = {
        let other = tempfile::tempdir().expect("a directory");
        let mut store = Store::open(other.path()).expect("a store");
        play(&plan, "b", &mut store, |_| true).expect("complete runs");
        report::runs_csv(&store)
    };
    let mut stops = 0;
    loop {
        let mut store = Store::open(directory.path()).expect("a store");
        let mut calls = 0;
        let completed = play(&plan, "b", &mut store, |_| {
            calls += 1;
            calls < 3
        });
        if completed.expect("complete runs") {
            break;
        }
        stops += 1;
        // A kill leaves an incomplete last line.
        let path = directory.path().join("results.jsonl");
        let mut bytes = std::fs::read(&path).expect("results");
        bytes.extend_from_slice(b"{\"case\":\"c\",\"var");
        std::fs::write(&path, bytes).expect("an incomplete line");
        assert!(stops < 50, "the experiment does not end");
    }
    assert!(stops > 1, "the experiment was not stopped");
    let resumed = report::runs_csv(&Store::open(directory.path()).expect("a store"));
    for (resumed_line, uninterrupted_line) in resumed.lines().zip(uninterrupted.lines()) {
        assert_eq!(resumed_line, uninterrupted_line);
    }
    assert_eq!(resumed.len(), uninterrupted.len());
}

/// The search must find a deliberate error, an order to retry requests that may have been executed, and shrink the
/// scenario that reveals it.
#[test]
fn the_search_finds_a_deliberate_error_and_shrinks_the_scenario() {
    let text = FLEET
        .replace("name: 'read'", "name: 'order' effect: UNSAFE")
        .replace("front_ends {", "front_ends { usual_retry: ONCE");
    let base = scenario::parse(&text).expect("a scenario");
    let no_control = Setup {
        control: Control::Nobody,
        ..Setup::default()
    };
    let objective = Objective {
        setup: no_control,
        ..default_objective(true)
    };
    let found = search(&base, &objective, 60, 1, |_, _| true).expect("a finding");
    assert!(
        found
            .broken_rules
            .iter()
            .any(|description| description.starts_with("twice")),
        "{:?}",
        found.broken_rules
    );
    assert!(
        found.scenario.trouble.len() <= 1 && found.scenario.kind[0].servers() <= 4,
        "{}",
        scenario::write(&found.scenario)
    );
    let repeated = search(&base, &objective, 60, 1, |_, _| true);
    assert_eq!(repeated, Some(found), "results depend only on the seed");
}

/// Regression test for the findings of earlier searches: no stored scenario breaks a rule.
#[test]
fn stored_scenarios_break_no_rule() {
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
            scenario::read(&text).unwrap_or_else(|errors| panic!("{}: {errors:?}", file.display()));
        let outcome = chutegrade_model::run(&scenario, Control::Module, 1);
        assert!(
            outcome.broken_rules.is_empty(),
            "{}: {:?}",
            file.display(),
            outcome.broken_rules
        );
    }
}
