//! The real binary on its standard input and output, and its library on mangled input.

use std::io::Write;
use std::process::{Command, Stdio};

use chutegrade_adapter::host::Host;
use proptest::prelude::*;

const ENV: &str = r#"{"classes":[{"aimMs":500,"hardLimitMs":2000,"worth":1,"effect":"read_like"}],"zones":["x"],
"locality":0,"peersTotal":1,"familyInfo":{"backlog":3000,"linesPerS":2000,"fixedCost":4,"messagesMost":20,
"updateWindowMs":10000,"proxies":2,"levelKind":"fraction"},"guarantees":{"coldFrom":0.2,"coldMs":9000,
"fallMultiple":3},"limits":{"probes":true},"weights":"rough"}"#;

/// Lines that start an instance with two servers and one proxy.
fn start_lines(instance: u32) -> Vec<String> {
    let env = ENV.replace('\n', " ");
    [
        format!("at\tsupervisor={instance}"),
        format!("begin\tnonce64=5\tenv={env}"),
        "discovery\tgen=1\thow=warm_copy\trows=2".to_string(),
        "row\tserver=70\tlocality=0\tfamilyType=0\tcluster=0\tlifecycle=in_service\tweight=2"
            .to_string(),
        "row\tserver=71\tlocality=0\tfamilyType=0\tcluster=0\tlifecycle=in_service\tweight=2"
            .to_string(),
        "joined\tclientLb=0\tlocality=0\tweight=4\tactive=1".to_string(),
    ]
    .to_vec()
}

fn batch(frame: u64, lines: &[String]) -> String {
    format!(
        "frame\tatTimeMs={}\tframe={frame}\n{}\nyour_turn\n",
        100 * frame,
        lines.join("\n")
    )
}

fn run_binary(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_chutegrade-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes())
        .expect("it reads its input");
    let output = child.wait_with_output().expect("it ends with its input");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (
        text(output.stdout),
        text(output.stderr),
        output.status.success(),
    )
}

#[test]
fn every_batch_gets_one_reply_and_the_end_of_input_ends_the_process() {
    let input =
        batch(1, &[]) + &batch(2, &start_lines(3)) + &batch(3, &["at\tsupervisor=9".to_string()]);
    let (out, err, success) = run_binary(&input);
    assert!(success && err.is_empty(), "{err}");
    let ends: Vec<&str> = out
        .lines()
        .filter(|line| line.starts_with("end\t"))
        .collect();
    assert_eq!(ends, ["end\tframe=1", "end\tframe=2", "end\tframe=3"]);
    let sources: Vec<&str> = out
        .lines()
        .filter(|line| line.starts_with("source"))
        .collect();
    assert_eq!(sources, ["source\tsupervisor=3"]);
    assert!(out.contains("point\tclientLb=0\tmapId=0"), "{out}");
}

#[test]
fn a_malformed_line_is_reported_and_the_rest_of_the_batch_handled() {
    let mut lines = start_lines(0);
    lines.insert(2, "joined\tclientLb=oops\tlocality=0".to_string());
    let (out, err, success) = run_binary(&batch(1, &lines));
    assert!(success && err.contains("clientLb"), "{err}");
    assert!(out.contains("point\tclientLb=0"), "{out}");
}

#[test]
fn a_complete_list_with_a_malformed_row_removes_no_server() {
    let mut host = Host::default();
    let mut feed = |text: String| {
        text.lines()
            .filter_map(|line| host.handle_line(line).ok().flatten())
            .collect::<String>()
    };
    feed(batch(1, &start_lines(0)));
    let list = [
        "at\tsupervisor=0".to_string(),
        "discovery\tgen=2\thow=total\trows=2".to_string(),
        "row\tserver=70\tlocality=0\tlifecycle=in_service\tweight=2".to_string(),
        "row\tserver=71\tlocality=0\tlifecycle=in_servi\tweight=2".to_string(),
    ];
    let reply = feed(batch(2, &list));
    assert!(!reply.contains("suspend"), "{reply}");
}

#[test]
fn instances_in_one_process_act_as_alone_and_a_stopped_one_is_silent() {
    let both = [start_lines(0), start_lines(1)].concat();
    let together = run_binary(&batch(1, &both)).0;
    let alone = run_binary(&batch(1, &start_lines(1))).0;
    let of_one = |out: &str| {
        out.split("source\tsupervisor=1\n")
            .nth(1)
            .map(str::to_string)
    };
    assert_eq!(of_one(&together), of_one(&alone));
    let killed = [
        start_lines(0),
        vec!["teardown".to_string(), "ring\thandle=1".to_string()],
    ]
    .concat();
    assert_eq!(run_binary(&batch(1, &killed)).0, "end\tframe=1\n");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_mangled_batch_never_causes_a_panic(
        cuts in prop::collection::vec((0usize..4000, 0usize..40, "\\PC{0,6}"), 0..12),
        extra in prop::collection::vec("(tally|health|row|held|receipt|usage|tenure)(\t[a-zA-Z]{1,9}=[-0-9.e]{0,6}){0,6}", 0..8),
    ) {
        let mut lines = start_lines(0);
        lines.extend(extra);
        lines.push("tally\tlocality=0\tserver=70\ttotal=4\tbad=1\tcostTimeMs=9\tperiodLenMs=1000".to_string());
        let mut text = batch(1, &lines) + &batch(2, &lines[2..]);
        for (at, len, with) in cuts {
            let at = (0..=at.min(text.len())).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
            let to = (at + len).min(text.len());
            let to = (to..=text.len()).find(|to| text.is_char_boundary(*to)).unwrap_or(text.len());
            text.replace_range(at..to, &with);
        }
        let mut host = Host::default();
        let mut replies = String::new();
        for line in text.lines() {
            replies.extend(host.handle_line(line).ok().flatten());
        }
        replies.extend(host.handle_line("your_turn").ok().flatten());
        prop_assert!(replies.contains("end\tframe="));
        prop_assert!(!replies.contains("NaN") && !replies.contains("inf") && !replies.contains("=-"));
    }
}
