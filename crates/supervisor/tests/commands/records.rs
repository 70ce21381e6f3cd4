//! The `records` commands.

use crate::{run, utf8, write_records, Outcome};

#[test]
fn lists_and_exports_contain_the_selected_records() {
    let directory = tempfile::tempdir().expect("a directory");
    let records = utf8(directory.path());
    write_records(&directory.path().join("n0"), "n0", 0..10);
    write_records(&directory.path().join("n1"), "n1", 0..10);
    let Outcome { code, output, .. } = run(&[
        "records", "list", records, "--server", "s-1", "--from", "00:00:02", "--to", "00:00:08",
    ]);
    let lines: Vec<&str> = output
        .lines()
        .filter(|line| !line.contains("--- gap"))
        .collect();
    assert_eq!((code, lines.len()), (Some(0), 4), "{output}");
    assert!(
        lines[0].starts_with("1970-01-01T00:00:04.000Z  n0  s-1 withdrawn"),
        "{output}"
    );
    assert!(lines[0].ends_with("[learned 1.0 s later]"), "{output}");
    let Outcome { output: rows, .. } = run(&["records", "export", records, "--format", "jsonl"]);
    let parsed: Vec<serde_json::Value> = rows
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    let events: Vec<_> = parsed.iter().filter(|row| row["kind"] == "state").collect();
    assert_eq!(
        (
            events.len(),
            &events[0]["fields"]["server"],
            &events[0]["fields"]["zone"]
        ),
        (20, &"s-0".into(), &"a,\"b".into())
    );
    let Outcome { output: table, .. } = run(&[
        "records", "export", records, "--format", "csv", "--kind", "state",
    ]);
    assert!(
        table.starts_with("at,learned,supervisor,start,seq,kind,server,text\n"),
        "{table}"
    );
    assert!(
        table
            .lines()
            .nth(1)
            .is_some_and(|line| line.contains("\"s-0 withdrawn, score")),
        "{table}"
    );
    assert!(run(&["records", "export", records, "--kind", "joined"])
        .output
        .lines()
        .all(|line| line.contains("\"gap\"")));
}

#[test]
fn damage_is_found_and_reported() {
    let directory = tempfile::tempdir().expect("a directory");
    write_records(directory.path(), "n0", 0..50);
    assert_eq!(
        run(&["records", "verify", utf8(directory.path())]).code,
        Some(0)
    );
    let file = directory.path().join("00000001-000000.seg");
    let mut bytes = std::fs::read(&file).expect("its bytes");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&file, bytes).expect("the damage");
    let Outcome {
        code,
        output,
        error,
    } = run(&["records", "verify", utf8(directory.path())]);
    assert!(
        code == Some(1)
            && output.contains("1 records missing")
            && error.contains("1 of 1 directories"),
        "{output}{error}"
    );
}
