//! Simulations and experiments from the command line.

use std::path::Path;

use chutegrade_emulators::Program;

use crate::PROGRAM;

const SCENARIO: &str =
    "name: 'small' seconds: 8\nkind { servers: 4 }\nclass { name: 'read' work_ms: 40 }\n\
    trouble { sort: SLOW at_s: 2 part: 0.5 size: 6 }\n";
const INVALID_SCENARIO: &str =
    "kind { servers: 4 }\nclass { }\nclients { try_share: 7 }\nrules { fall_multiple: 0 }\n";
const EXPERIMENT: &str = "name: 'e' case { file: 's.txtpb' }\n\
    variant { name: 'module' } variant { name: 'fixed' control: FIXED }\n\
    precision { pilot: 3 most: 3 half_width: 0.5 }\n";

fn write_file(directory: &Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    std::fs::write(&path, text).expect("a text");
    path.display().to_string()
}

#[tokio::test]
async fn a_scenario_is_simulated_and_an_invalid_one_is_reported() {
    let directory = tempfile::tempdir().expect("a directory");
    let program = Program::new(PROGRAM, directory.path());
    let scenario = write_file(directory.path(), "s.txtpb", SCENARIO);
    let (code, output, error) = program
        .run_command(&["lab", "play", &scenario, "--seed", "3"])
        .await;
    assert!(code == Some(0) && error.is_empty(), "{error}");
    assert!(
        output.contains("small: 4 servers")
            && output.contains("service")
            && !output.contains("RULE"),
        "{output}"
    );
    let wrong = write_file(directory.path(), "w.txtpb", INVALID_SCENARIO);
    let (code, _, error) = program.run_command(&["lab", "play", &wrong]).await;
    assert!(
        code == Some(1) && error.contains("w.txtpb:3:11: try_share is 7"),
        "{error}"
    );
    assert!(
        error.contains("w.txtpb:4:9: fall_multiple is 0"),
        "all faults at once: {error}"
    );
}

#[tokio::test]
async fn an_experiment_is_run_once_and_compared() {
    let directory = tempfile::tempdir().expect("a directory");
    let program = Program::new(PROGRAM, directory.path());
    write_file(directory.path(), "s.txtpb", SCENARIO);
    let experiment = write_file(directory.path(), "e.txtpb", EXPERIMENT);
    let results = directory.path().join("out").display().to_string();
    let run = ["lab", "run", &experiment, "--out", &results];
    let (code, output, error) = program
        .run_command(&[&run[..], &["--threads", "2"]].concat())
        .await;
    assert!(
        code == Some(0) && output.contains("fixed") && output.contains("report.html"),
        "{output} {error}"
    );
    let count_results = || {
        let results = std::fs::read_to_string(directory.path().join("out/results.jsonl"));
        results.expect("results").lines().count()
    };
    assert_eq!(count_results(), 6);
    let (_, second_output, _) = program.run_command(&run).await;
    assert!(
        second_output.contains("6 runs are already stored") && count_results() == 6,
        "{second_output}"
    );
    let (code, comparison, _) = program
        .run_command(&["lab", "compare", &experiment, "--out", &results])
        .await;
    assert!(
        code == Some(0) && second_output.contains(comparison.trim_end()),
        "{comparison}"
    );
    let report = directory.path().join("out/report.html");
    let report = std::fs::read_to_string(report).expect("the report");
    assert!(
        report.contains("<svg") && !report.contains("http"),
        "the report loads no external resources"
    );
}
