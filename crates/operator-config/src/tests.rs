//! Configurations and errors from the text of a file.

use std::path::Path;

use proptest::prelude::*;

use super::*;

fn parse(text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
    super::parse(Path::new("o.txtpb"), text)
}

/// Asserts that a text has exactly these errors, each on one line that begins with the expected position and message.
fn assert_errors(text: &str, expected: &[&str]) {
    let errors = parse(text).expect_err(text);
    let messages: Vec<String> = errors.iter().map(ConfigError::to_string).collect();
    assert_eq!(messages.len(), expected.len(), "{messages:?}");
    for (message, expected) in messages.iter().zip(expected) {
        assert!(
            message.starts_with(&format!("o.txtpb:{expected}")) && !message.contains('\n'),
            "{message}"
        );
    }
}

#[test]
fn absent_sections_are_disabled() {
    assert_eq!(parse(""), Ok(OperatorConfig::default()));
    assert_eq!(parse("# nothing\n"), Ok(OperatorConfig::default()));
    let records = parse("records { directory: \"/var/lib/chutegrade\" }")
        .expect("a file")
        .records
        .expect("records");
    assert_eq!(
        (records.max_bytes, records.max_age.as_secs()),
        (1 << 30, 7 * 86_400)
    );
    assert_eq!(
        parse("log { format: JSON }").expect("a file").log,
        LogFormat::Json
    );
}

#[test]
fn the_repository_file_is_valid() {
    let text = include_str!("../../../deploy/operator.txtpb");
    assert!(parse(text).is_ok(), "{:?}", parse(text));
}

#[test]
fn each_error_has_its_position_and_states_what_is_valid() {
    assert_errors("records {\n  directry: \"/x\"\n}", &["2:3: "]);
    assert_errors("records {\n  directory: 7\n}", &["2:"]);
    assert_errors("records {\n", &["2:1: "]);
    assert_errors("log { format: XML }", &["1:"]);
    assert_errors(
        "# records come later\nrecords { keep_mib: 3 }",
        &["2:1: records has no directory"],
    );
    assert_errors(
            "records {\n directory: \"x\" # keep_mib\n keep_mib: 3\n background { cpu_ms: 3 mib: 1 }\n}",
            &[
                "2:2: \"x\" is a relative path",
                "3:2: keep_mib is 3, less than two segments",
                "4:15: cpu_ms is 3: must be from 200 to 10000 ms",
                "4:25: mib is 1: ",
            ],
        );
}

#[test]
fn limits_errors_have_their_positions() {
    assert_errors("limits {\n adaptive { target: 3 }\n ladder {\n  level { name: 'x' shed { class: 'a' keep: 0.5 } enter { all { signal: LATE above: 0.5 } } }\n }\n}", &["2:13: target is 3", "4:3: \"x\" can't be left"]);
    let valid = parse("limits { ladder { usual: true } }").expect("a file");
    assert!(valid
        .limits
        .expect("limits")
        .overload_config(Some(&[]))
        .is_ok());
}

#[test]
fn a_missing_file_is_one_error() {
    let error = load(Path::new("/nowhere/o.txtpb"))
        .expect_err("no file")
        .remove(0)
        .to_string();
    assert!(
        error.starts_with("/nowhere/o.txtpb: cannot be opened"),
        "{error}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The repository's file, truncated anywhere and followed by any text, must not cause a panic.
    #[test]
    fn any_text_yields_a_configuration_or_errors_of_one_line(text in "[a-z_{}:\"0-9 #\n\\\\é<>\\[\\],;.-]{0,80}", kept_blocks in 0..40usize) {
        let repository_file = include_str!("../../../deploy/operator.txtpb");
        let kept: String = repository_file.chars().take(kept_blocks * 20).collect();
        if let Err(errors) = parse(&format!("{kept}{text}")) {
            prop_assert!(!errors.is_empty() && errors.iter().all(|error| !error.to_string().contains('\n')));
        }
    }
}
