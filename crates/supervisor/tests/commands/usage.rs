//! Wrong usage, invalid arguments, and output that is closed early.

use std::process::Command;

use crate::{run, utf8, write_records, Outcome, PROGRAM};

#[test]
fn wrong_usage_exits_with_2_and_a_fault_with_1_and_one_line() {
    for wrong in [
        &["nonsense"][..],
        &["records"],
        &["report", "/x"],
        &["records", "export", "/x", "--format", "xml"],
    ] {
        assert_eq!(run(wrong).code, Some(2), "{wrong:?}");
    }
    let directory = tempfile::tempdir().expect("a directory");
    let path = utf8(directory.path());
    write_records(&directory.path().join("n0"), "n0", 0..5);
    let faults = [
        (
            vec!["records", "list", "/nowhere/at/all"],
            "/nowhere/at/all",
        ),
        (
            vec!["records", "list", path, "--from", "yesterday"],
            "\"yesterday\" is not a valid time",
        ),
        (
            vec!["records", "list", path, "--kind", "stat"],
            "unknown kind \"stat\": give one of started,",
        ),
        (
            vec!["records", "list", path, "--from", "00:01", "--to", "00:00"],
            "--from is after --to",
        ),
        (
            vec!["console", path],
            "standard input or output is not a terminal: use --once",
        ),
        (
            vec!["report", path, "--out", "/nowhere/at/all.html"],
            "/nowhere/at/all.html cannot be written",
        ),
        (vec!["check"], "nothing to check"),
    ];
    for (arguments, text) in faults {
        let Outcome {
            code,
            output,
            error,
        } = run(&arguments);
        assert!(
            code == Some(1) && output.is_empty() && error.contains(text),
            "{arguments:?}: {code:?} {error}"
        );
        assert_eq!(error.trim_end().lines().count(), 1, "{error}");
    }
}

#[test]
fn a_closed_pipe_is_not_an_error() {
    let directory = tempfile::tempdir().expect("a directory");
    write_records(directory.path(), "n0", 0..20_000);
    let line = format!(
        "{PROGRAM} records list {} | head -1; exit ${{PIPESTATUS[0]}}",
        directory.path().display()
    );
    let output = Command::new("bash")
        .args(["-c", &line])
        .output()
        .expect("a shell");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.code() == Some(0) && error.is_empty(),
        "{:?} {error}",
        output.status
    );
}
