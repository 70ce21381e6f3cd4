//! The binary over its standard input and output, and the library with malformed input.

use std::io::Write;
use std::process::{Command, Stdio};

use chutegrade_adapter::host::Host;
use proptest::prelude::*;

const SETTINGS: &str = r#"{"classes":[{"aimMs":500,"hardLimitMs":2000,"worth":1,"effect":"read_like"}],"zones":["x"],
"locality":0,"peersTotal":1,"familyInfo":{"backlog":3000,"linesPerS":2000,"fixedCost":4,"messagesMost":20,
"updateWindowMs":10000,"proxies":2,"levelKind":"fraction"},"guarantees":{"coldFrom":0.2,"coldMs":9000,
"fallMultiple":3},"limits":{"probes":true},"weights":"rough"}"#;

/// Returns the lines that start an instance with two servers and one proxy.
fn start_lines(instance: u32) -> Vec<String> {
    let settings = SETTINGS.replace('\n', " ");
    [
        format!("at\tsupervisor={instance}"),
        format!("begin\tnonce64=5\tenv={settings}"),
        "discovery\tgen=1\thow=warm_copy\trows=2".to_string(),
        "row\tserver=70\tlocality=0\tfamilyType=0\tcluster=0\tlifecycle=in_service\tweight=2"
            .to_string(),
        "row\tserver=71\tlocality=0\tfamilyType=0\tcluster=0\tlifecycle=in_service\tweight=2"
            .to_string(),
        "joined\tclientLb=0\tlocality=0\tweight=4\tactive=1".to_string(),
    ]
    .to_vec()
}

/// Returns a complete batch with these lines.
fn batch(frame: u64, lines: &[String]) -> String {
    format!(
        "frame\tatTimeMs={}\tframe={frame}\n{}\nyour_turn\n",
        100 * frame,
        lines.join("\n")
    )
}

struct RunOutput {
    stdout: String,
    stderr: String,
    success: bool,
}

fn run_binary(input: &str) -> RunOutput {
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
    RunOutput {
        stdout: text(output.stdout),
        stderr: text(output.stderr),
        success: output.status.success(),
    }
}

/// Returns the lines of a reply that begin with a tag.
fn lines_with_tag<'a>(reply: &'a str, tag: &str) -> Vec<&'a str> {
    let lines = reply.lines();
    lines.filter(|line| line.starts_with(tag)).collect()
}

#[test]
fn every_batch_gets_one_reply_and_the_end_of_input_ends_the_process() {
    let empty = batch(1, &[]);
    let start = batch(2, &start_lines(3));
    let unknown_instance = batch(3, &["at\tsupervisor=9".to_string()]);
    let output = run_binary(&(empty + &start + &unknown_instance));
    let (reply, errors) = (&output.stdout, &output.stderr);
    assert!(output.success && errors.is_empty(), "{errors}");
    assert_eq!(
        lines_with_tag(reply, "end\t"),
        ["end\tframe=1", "end\tframe=2", "end\tframe=3"]
    );
    assert_eq!(lines_with_tag(reply, "source"), ["source\tsupervisor=3"]);
    assert!(reply.contains("point\tclientLb=0\tmapId=0"), "{reply}");
}

#[test]
fn a_malformed_line_is_reported_and_the_rest_of_the_batch_handled() {
    let mut lines = start_lines(0);
    lines.insert(2, "joined\tclientLb=oops\tlocality=0".to_string());
    let output = run_binary(&batch(1, &lines));
    let (reply, errors) = (&output.stdout, &output.stderr);
    assert!(output.success && errors.contains("clientLb"), "{errors}");
    assert!(reply.contains("point\tclientLb=0"), "{reply}");
}

#[test]
fn a_complete_list_with_a_malformed_row_removes_no_server() {
    let mut host = Host::default();
    let mut handle_text = |text: String| {
        text.lines()
            .filter_map(|line| host.handle_line(line).ok().flatten())
            .collect::<String>()
    };
    handle_text(batch(1, &start_lines(0)));
    let list = [
        "at\tsupervisor=0".to_string(),
        "discovery\tgen=2\thow=total\trows=2".to_string(),
        "row\tserver=70\tlocality=0\tlifecycle=in_service\tweight=2".to_string(),
        "row\tserver=71\tlocality=0\tlifecycle=in_servi\tweight=2".to_string(),
    ];
    let reply = handle_text(batch(2, &list));
    assert!(!reply.contains("suspend"), "{reply}");
}

/// Returns the reply of instance 1, which must be the last one in the output.
fn reply_of_instance_1(input: &str) -> Option<String> {
    let reply = run_binary(input).stdout;
    let (_, of_instance) = reply.split_once("source\tsupervisor=1\n")?;
    Some(of_instance.to_string())
}

#[test]
fn instances_in_one_process_are_independent_and_a_stopped_one_sends_nothing() {
    let both = [start_lines(0), start_lines(1)].concat();
    assert_eq!(
        reply_of_instance_1(&batch(1, &both)),
        reply_of_instance_1(&batch(1, &start_lines(1)))
    );
    let mut stopped = start_lines(0);
    stopped.push("teardown".to_string());
    stopped.push("ring\thandle=1".to_string());
    let output = run_binary(&batch(1, &stopped));
    assert_eq!(output.stdout, "end\tframe=1\n");
}

/// Replaces a range of text, extended to character boundaries.
fn splice(text: &mut String, start: usize, length: usize, replacement: &str) {
    let mut start = start.min(text.len());
    while !text.is_char_boundary(start) {
        start -= 1;
    }
    let mut end = (start + length).min(text.len());
    while !text.is_char_boundary(end) {
        end += 1;
    }
    text.replace_range(start..end, replacement);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_corrupted_batch_never_causes_a_panic(
        cuts in prop::collection::vec((0usize..4000, 0usize..40, "\\PC{0,6}"), 0..12),
        extra in prop::collection::vec("(tally|health|row|held|receipt|usage|tenure)(\t[a-zA-Z]{1,9}=[-0-9.e]{0,6}){0,6}", 0..8),
    ) {
        let mut lines = start_lines(0);
        lines.extend(extra);
        lines.push("tally\tlocality=0\tserver=70\ttotal=4\tbad=1\tcostTimeMs=9\tperiodLenMs=1000".to_string());
        let mut text = batch(1, &lines) + &batch(2, &lines[2..]);
        for (start, length, replacement) in cuts {
            splice(&mut text, start, length, &replacement);
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
