//! The scripted incident against the program: records and report tell what was done, in true order, and nothing else.

use std::path::Path;

use chutegrade_emulators::script::{Stage, SUPERVISORS};
use chutegrade_emulators::truth::{compare, shift, Deed, Truth};
use chutegrade_emulators::Program;
use chutegrade_records::index::Query;
use chutegrade_records::{text, Timeline, Window};

fn path(of: &Path) -> &str {
    of.to_str().expect("a plain path")
}

fn span_of(timeline: &Timeline) -> Window {
    timeline.span().expect("records")
}

/// What was done, as the report should show it.
fn shown(truth: &Truth) -> Option<String> {
    match &truth.deed {
        Deed::Drains { server } => Some(format!("{server} draining")),
        Deed::Removed { server } => Some(format!("{server} gone")),
        Deed::Started { server } => Some(format!("{server} started")),
        Deed::Cut { zone, on: true } => Some(format!("zone {zone} cut off")),
        Deed::Cut { zone, on: false } => Some(format!("zone {zone} answers again")),
        Deed::Mute { on: true } => Some("discovery does not tell".to_string()),
        Deed::Mute { on: false } => Some("discovery tells again".to_string()),
        Deed::Broken { proxy } => Some(format!("proxy {proxy}@")),
        _ => None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_report_of_a_scripted_incident_agrees_with_the_ground_truth() {
    let directory = tempfile::tempdir().expect("a directory");
    let program = Path::new(env!("CARGO_BIN_EXE_chutegrade"));
    let mut stage = Stage::set(program, directory.path(), 7).await;
    let codes = stage.incident().await;
    assert_eq!(codes, [Some(0), Some(0)]);
    assert_eq!(
        stage.fleet.ran_twice(),
        0,
        "a request that must not run twice did"
    );

    let timeline = Timeline::open(&[stage.records()]).expect("records");
    let (events, gaps) = timeline.read(&Query::default());
    let truth = stage.diary.deeds();
    let faults = compare(&truth, &events, &gaps, &SUPERVISORS);
    assert!(faults.is_empty(), "{faults:#?}");

    // The same records with one clock 3 s ahead: it is told, and the order stays true.
    let shifted = directory.path().join("shifted");
    std::fs::create_dir(&shifted).expect("a directory");
    shift(&stage.records().join("n0"), &shifted.join("n0"), 0).expect("a copy");
    shift(&stage.records().join("n1"), &shifted.join("n1"), 3_000_000).expect("a copy");
    let ahead = Timeline::open(&[shifted]).expect("records");
    let told = ahead.supervisors[1].ahead_us;
    assert!((2_900_000..3_100_000).contains(&told), "{told} of 3 s");
    let faults = compare(
        &truth,
        &ahead.read(&Query::default()).0,
        &ahead.gaps(span_of(&ahead)),
        &SUPERVISORS,
    );
    assert!(faults.is_empty(), "{faults:#?}");

    // The page lists the same, and the tools agree that the records are sound.
    let tools = Program::new(program, directory.path());
    let (page, records) = (directory.path().join("report.html"), stage.records());
    let (code, said, fault) = tools
        .tool(&["report", path(&records), "--out", path(&page)])
        .await;
    assert_eq!(code, Some(0), "{said}{fault}");
    let page = std::fs::read_to_string(page).expect("the page");
    for wanted in truth.iter().filter_map(shown) {
        assert!(page.contains(&wanted), "the page has no {wanted:?}");
    }
    assert!(
        page.contains("<td>crash</td>"),
        "the death is in the list of what is not known"
    );
    let (code, said, _) = tools.tool(&["records", "verify", path(&records)]).await;
    assert_eq!(
        (code, said.matches(": sound").count()),
        (Some(0), 2),
        "{said}"
    );
    let span = span_of(&timeline);
    let middle = text::time((span.from_us + span.to_us) / 2);
    let (code, frame, _) = tools
        .tool(&["console", path(&records), "--at", &middle, "--once"])
        .await;
    assert!(
        code == Some(0) && frame.contains("PAST") && frame.contains("zone a"),
        "{frame}"
    );
}
