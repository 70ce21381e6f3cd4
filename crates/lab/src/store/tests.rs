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

/// Danger: a kill in the middle of a line loses what was there before, or counts a run twice.
#[test]
fn a_kill_at_any_byte_loses_only_the_line_under_way() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = Store::open(directory.path()).expect("a store");
    store.add((0..3).map(result).collect()).expect("written");
    let whole = std::fs::read(directory.path().join("results.jsonl")).expect("the file");
    let line = whole.len() / 3;
    for length in 0..=whole.len() {
        std::fs::write(directory.path().join("results.jsonl"), &whole[..length]).expect("cut");
        let mut store = Store::open(directory.path()).expect("a store");
        let lines = whole[..length]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count();
        assert_eq!(
            store.results().len(),
            lines,
            "{length} of {} bytes",
            whole.len()
        );
        store.add(vec![result(9)]).expect("written");
        assert_eq!(
            Store::open(directory.path())
                .expect("a store")
                .results()
                .len(),
            lines + 1,
            "{length} {line}"
        );
    }
}

#[test]
fn a_run_counts_once_and_figures_come_back_to_the_bit() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = Store::open(directory.path()).expect("a store");
    store.add(vec![result(1), result(1)]).expect("written");
    assert_eq!(
        (
            store.results().len(),
            store.has("d", "b", 1),
            store.has("d", "c", 1)
        ),
        (1, true, false)
    );
    let again = Store::open(directory.path()).expect("a store");
    assert_eq!(again.results(), [result(1)]);
    std::fs::write(directory.path().join("results.jsonl"), "{}\n").expect("spoilt");
    assert!(Store::open(directory.path())
        .expect_err("a fault")
        .to_string()
        .contains("jsonl:1: no result"));
}
