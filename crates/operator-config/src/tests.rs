use proptest::prelude::*;

use super::*;

fn parse(text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
    super::parse(Path::new("o.txtpb"), text)
}

fn says(text: &str, wanted: &[&str]) {
    let faults = parse(text).expect_err(text);
    let said: Vec<String> = faults.iter().map(ConfigError::to_string).collect();
    assert_eq!(said.len(), wanted.len(), "{said:?}");
    for (said, wanted) in said.iter().zip(wanted) {
        assert!(
            said.starts_with(&format!("o.txtpb:{wanted}")) && !said.contains('\n'),
            "{said}"
        );
    }
}

#[test]
fn what_is_not_said_is_off() {
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
fn the_file_in_the_repository_is_right() {
    let text = include_str!("../../../deploy/operator.txtpb");
    assert!(parse(text).is_ok(), "{:?}", parse(text));
}

#[test]
fn each_fault_has_its_line_and_says_what_is_right() {
    says("records {\n  directry: \"/x\"\n}", &["2:3: "]);
    says("records {\n  directory: 7\n}", &["2:"]);
    says("records {\n", &["2:1: "]);
    says("log { format: XML }", &["1:"]);
    says(
        "# records come later\nrecords { keep_mib: 3 }",
        &["2:1: records without a directory"],
    );
    says(
            "records {\n directory: \"x\" # keep_mib\n keep_mib: 3\n background { cpu_ms: 3 mib: 1 }\n}",
            &[
                "2:2: \"x\" depends on where",
                "3:2: 3 MiB hold less",
                "4:15: 3 ms in any ten seconds: give 200 to 10000",
                "4:25: 1 MiB",
            ],
        );
}

#[test]
fn limits_are_checked_with_their_lines() {
    says("limits {\n adaptive { target: 3 }\n ladder {\n  level { name: 'x' shed { class: 'a' keep: 0.5 } enter { all { signal: LATE above: 0.5 } } }\n }\n}", &["2:13: target is 3", "4:3: \"x\" can't be left"]);
    let right = parse("limits { ladder { usual: true } }").expect("a file");
    assert!(right
        .limits
        .expect("limits")
        .overload_config(Some(&[]))
        .is_ok());
}

#[test]
fn a_file_that_is_not_there_is_one_sentence() {
    let fault = load(Path::new("/nowhere/o.txtpb"))
        .expect_err("no file")
        .remove(0)
        .to_string();
    assert!(
        fault.starts_with("/nowhere/o.txtpb: cannot be opened"),
        "{fault}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is written there: a file or faults of one line each, and no end of the program.
    #[test]
    fn any_text_is_read(text in "[a-z_{}:\"0-9 #\n\\\\é<>\\[\\],;.-]{0,80}", kept in 0..40usize) {
        let whole = include_str!("../../../deploy/operator.txtpb");
        let kept: String = whole.chars().take(kept * 20).collect();
        if let Err(faults) = parse(&format!("{kept}{text}")) {
            prop_assert!(!faults.is_empty() && faults.iter().all(|fault| !fault.to_string().contains('\n')));
        }
    }
}
