use super::*;

fn result(seed: u64) -> Result {
    let figures = BTreeMap::from([("service".to_string(), 0.1 + seed as f64)]);
    Result {
        digest: "d".into(),
        build: "b".into(),
        seed,
        figures,
        ..Result::default()
    }
}

/// Guards against a kill in the middle of a line that loses earlier results or lets a run count twice.
#[test]
fn a_kill_at_any_byte_loses_only_the_incomplete_line() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = Store::open(directory.path()).expect("a store");
    store.append((0..3).map(result).collect()).expect("written");
    let contents = std::fs::read(directory.path().join("results.jsonl")).expect("the file");
    let line_length = contents.len() / 3;
    for length in 0..=contents.len() {
        std::fs::write(directory.path().join("results.jsonl"), &contents[..length])
            .expect("truncated");
        let mut store = Store::open(directory.path()).expect("a store");
        let lines = contents[..length]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count();
        assert_eq!(
            store.results().len(),
            lines,
            "{length} of {} bytes",
            contents.len()
        );
        store.append(vec![result(9)]).expect("written");
        assert_eq!(
            Store::open(directory.path())
                .expect("a store")
                .results()
                .len(),
            lines + 1,
            "{length} {line_length}"
        );
    }
}

#[test]
fn a_run_is_stored_once_and_figures_are_read_back_exactly() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = Store::open(directory.path()).expect("a store");
    store.append(vec![result(1), result(1)]).expect("written");
    assert_eq!(
        (
            store.results().len(),
            store.contains("d", "b", 1),
            store.contains("d", "c", 1)
        ),
        (1, true, false)
    );
    let reopened = Store::open(directory.path()).expect("a store");
    assert_eq!(reopened.results(), [result(1)]);
    std::fs::write(directory.path().join("results.jsonl"), "{}\n").expect("overwritten");
    assert!(Store::open(directory.path())
        .expect_err("an invalid line")
        .to_string()
        .contains("jsonl:1: invalid result"));
}
