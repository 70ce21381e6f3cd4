//! Records written by an earlier build (4813afa, `make incident`) are still read correctly. The output of `records
//! verify` and `records export` is compared with that of the earlier build, except for the wording of events; the
//! expected output of `records list` has the current wording.

use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_chutegrade");

/// Returns the directory with the recorded incident and the expected output.
fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/incident")
}

fn expected(name: &str) -> String {
    std::fs::read_to_string(fixture().join(name)).expect("an expected output")
}

/// Copies the records, since reading may write index files next to them.
fn copied_records(target: &Path) {
    for supervisor in ["n0", "n1"] {
        let from = fixture().join("records").join(supervisor);
        let to = target.join("records").join(supervisor);
        std::fs::create_dir_all(&to).expect("a directory");
        for entry in from.read_dir().expect("the records") {
            let entry = entry.expect("an entry");
            std::fs::copy(entry.path(), to.join(entry.file_name())).expect("a copy");
        }
    }
}

/// Returns the output of `chutegrade records` on a fresh copy of the records.
fn records(arguments: &[&str]) -> String {
    let directory = tempfile::tempdir().expect("a directory");
    copied_records(directory.path());
    let output = Command::new(PROGRAM)
        .arg("records")
        .args(arguments)
        .current_dir(directory.path())
        .output()
        .expect("the program");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// Returns an exported row without its description, whose wording may change.
fn row_without_wording(line: &str) -> Value {
    let mut row: Value = serde_json::from_str(line).expect(line);
    let wording = row.as_object_mut().and_then(|fields| fields.remove("text"));
    assert!(wording.is_some_and(|text| text.is_string()), "{line}");
    row
}

#[test]
fn records_of_an_earlier_build_verify_without_faults() {
    assert_eq!(records(&["verify", "records"]), expected("verify.txt"));
}

#[test]
fn records_of_an_earlier_build_list_the_expected_events() {
    assert_eq!(records(&["list", "records"]), expected("list.txt"));
}

#[test]
fn records_of_an_earlier_build_export_the_same_rows() {
    let arguments = ["export", "--all", "--format", "jsonl", "records/n1"];
    let rows = |text: &str| -> Vec<Value> { text.lines().map(row_without_wording).collect() };
    assert_eq!(rows(&records(&arguments)), rows(&expected("export.jsonl")));
}

#[test]
fn records_of_an_earlier_build_export_the_same_cells() {
    let arguments = ["export", "--format", "csv", "--kind", "state", "records"];
    assert_eq!(records(&arguments), expected("states.csv"));
}
