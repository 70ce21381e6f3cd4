//! The scripted incident against the program: records and report show exactly what happened, in the true order.

use std::path::Path;

use chutegrade_emulators::script::{EmulatedDeployment, SUPERVISORS};
use chutegrade_emulators::truth::{compare, shift_clock, GroundTruthEntry, InjectedEvent};
use chutegrade_emulators::Program;
use chutegrade_records::index::Query;
use chutegrade_records::{text, Timeline, Window};

fn utf8(path: &Path) -> &str {
    path.to_str().expect("a path in UTF-8")
}

fn span_of(timeline: &Timeline) -> Window {
    timeline.span().expect("records")
}

/// Returns the text with which the report should show an event, if it is checked.
fn report_text(entry: &GroundTruthEntry) -> Option<String> {
    match &entry.deed {
        InjectedEvent::Drains { server } => Some(format!("{server} draining")),
        InjectedEvent::Removed { server } => Some(format!("{server} gone")),
        InjectedEvent::Started { server } => Some(format!("{server} started")),
        InjectedEvent::Cut { zone, on: true } => Some(format!("zone {zone} partitioned")),
        InjectedEvent::Cut { zone, on: false } => Some(format!("zone {zone} reachable again")),
        InjectedEvent::Mute { on: true } => Some("discovery unavailable".to_string()),
        InjectedEvent::Mute { on: false } => Some("discovery available again".to_string()),
        InjectedEvent::Broken { proxy } => Some(format!("proxy {proxy}@")),
        _ => None,
    }
}

/// Asserts that the records agree with the ground truth, in the true order.
fn assert_agrees(timeline: &Timeline, truth: &[GroundTruthEntry]) {
    let (events, gaps) = timeline.read(&Query::default());
    let faults = compare(truth, &events, &gaps, &SUPERVISORS);
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Shifts the clock of one supervisor's records by 3 s, and asserts that the offset is found and the order stays true.
fn assert_agrees_with_a_shifted_clock(
    records: &Path,
    directory: &Path,
    truth: &[GroundTruthEntry],
) {
    let shifted = directory.join("shifted");
    std::fs::create_dir(&shifted).expect("a directory");
    shift_clock(&records.join("n0"), &shifted.join("n0"), 0).expect("a copy");
    shift_clock(&records.join("n1"), &shifted.join("n1"), 3_000_000).expect("a copy");
    let timeline = Timeline::open(&[shifted]).expect("records");
    let offset_us = timeline.supervisors[1].ahead_us;
    assert!(
        (2_900_000..3_100_000).contains(&offset_us),
        "{offset_us} of 3 s"
    );
    let (events, _) = timeline.read(&Query::default());
    let gaps = timeline.gaps(span_of(&timeline));
    let faults = compare(truth, &events, &gaps, &SUPERVISORS);
    assert!(faults.is_empty(), "{faults:#?}");
}

async fn assert_report_shows(
    tools: &Program,
    records: &Path,
    directory: &Path,
    truth: &[GroundTruthEntry],
) {
    let report = directory.join("report.html");
    let (code, output, error) = tools
        .run_command(&["report", utf8(records), "--out", utf8(&report)])
        .await;
    assert_eq!(code, Some(0), "{output}{error}");
    let report = std::fs::read_to_string(report).expect("the report");
    for expected in truth.iter().filter_map(report_text) {
        assert!(report.contains(&expected), "the report has no {expected:?}");
    }
    assert!(
        report.contains("<td>crash</td>"),
        "the report lists the crash as a gap"
    );
}

async fn assert_records_verify(tools: &Program, records: &Path) {
    let (code, output, _) = tools
        .run_command(&["records", "verify", utf8(records)])
        .await;
    assert_eq!(
        (code, output.matches(": sound").count()),
        (Some(0), 2),
        "{output}"
    );
}

async fn assert_console_shows_the_middle(tools: &Program, records: &Path, span: Window) {
    let middle = text::time((span.from_us + span.to_us) / 2);
    let (code, frame, _) = tools
        .run_command(&["console", utf8(records), "--at", &middle, "--once"])
        .await;
    assert!(
        code == Some(0) && frame.contains("PAST") && frame.contains("zone a"),
        "{frame}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_report_of_a_scripted_incident_agrees_with_the_ground_truth() {
    let directory = tempfile::tempdir().expect("a directory");
    let program = Path::new(env!("CARGO_BIN_EXE_chutegrade"));
    let mut deployment = EmulatedDeployment::start(program, directory.path(), 7).await;
    let codes = deployment.run_incident().await;
    assert_eq!(codes, [Some(0), Some(0)]);
    assert_eq!(
        deployment.fleet.duplicate_executions(),
        0,
        "a request that must not be executed twice was"
    );

    let records = deployment.records();
    let truth = deployment.ground_truth.entries();
    let timeline = Timeline::open(std::slice::from_ref(&records)).expect("records");
    assert_agrees(&timeline, &truth);
    assert_agrees_with_a_shifted_clock(&records, directory.path(), &truth);

    let tools = Program::new(program, directory.path());
    assert_report_shows(&tools, &records, directory.path(), &truth).await;
    assert_records_verify(&tools, &records).await;
    assert_console_shows_the_middle(&tools, &records, span_of(&timeline)).await;
}
