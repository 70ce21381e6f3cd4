//! Plug-ins at work over sockets: what they advise reaches front ends, and hostile ones harm nobody.

#[path = "../../plugins/tests/corpus/mod.rs"]
mod corpus;

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chutegrade_emulators::script::Stage;
use chutegrade_emulators::{until, Program};
use chutegrade_records::index::Query;
use chutegrade_records::{GapReason, Kind, Timeline};
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_chutegrade");

fn write(directory: &Path, name: &str, text: &str) -> PathBuf {
    let path = directory.join(format!("{name}.chute"));
    std::fs::write(&path, text).expect("a text");
    path
}

/// The part of the operators' file that names these texts.
fn named(files: &[PathBuf]) -> String {
    let mut part = "plugins {".to_string();
    files
        .iter()
        .for_each(|file| write!(part, " file: {:?}", file.display().to_string()).expect("room"));
    part + " }"
}

fn records(stage: &Stage) -> Vec<Kind> {
    let timeline = Timeline::open(&[stage.records()]).expect("records");
    timeline
        .read(&Query::default())
        .0
        .into_iter()
        .filter_map(|event| event.record.kind)
        .collect()
}

/// Whether every front end may pick a server for a class.
fn all_pick(stage: &Stage, class: &str, server: &str) -> bool {
    stage
        .fleet
        .picks(class)
        .iter()
        .all(|picks| picks.iter().any(|name| name == server))
}

fn none_picks(stage: &Stage, class: &str, server: &str) -> bool {
    stage
        .fleet
        .picks(class)
        .iter()
        .all(|picks| !picks.iter().any(|name| name == server))
}

const AUDIT: &str = "plugin \"audit\" version 1 host 1\nsteers \"order\"\n\
    hook factor(server, class, zone) { if class.name == \"order\" and server.name == \"s-a2\" { return 0 } return 1 }";

/// The rule that the operators asked for first: one class goes around a server, the others stay; a new text is taken at
/// SIGHUP, a wrong one is not. Servers are not probed here: advice on them is not taken while probes take so long that the
/// fleet passes for saturated, as they do now and then where the machine is shared.
#[tokio::test(flavor = "multi_thread")]
async fn a_class_is_steered_around_a_server_until_the_rule_is_replaced() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = write(directory.path(), "audit", AUDIT);
    let program = Path::new(PROGRAM);
    let mut stage = Stage::unprobed(
        program,
        directory.path(),
        3,
        &named(std::slice::from_ref(&file)),
    )
    .await;
    until("orders go around it", || {
        none_picks(&stage, "order", "s-a2")
    })
    .await;
    assert!(all_pick(&stage, "lookup", "s-a2"), "the other class stays");
    assert!(all_pick(&stage, "order", "s-a3"), "the other servers stay");

    write(
        directory.path(),
        "audit",
        &AUDIT.replace("return 0", "return speed"),
    );
    stage.reload().await;
    stage.logs(1, &["plug-ins rejected", "no name"]).await;
    sleep(Duration::from_secs(3)).await;
    assert!(none_picks(&stage, "order", "s-a2"), "the old rule holds");

    let other = AUDIT
        .replace("version 1", "version 2")
        .replace("s-a2", "s-b4");
    write(directory.path(), "audit", &other);
    stage.reload().await;
    until("the new rule", || {
        none_picks(&stage, "order", "s-b4") && all_pick(&stage, "order", "s-a2")
    })
    .await;

    assert_eq!(stage.end().await, [Some(0), Some(0)]);
    assert_eq!(stage.fleet.broken(20), Vec::<String>::new());
    let loaded: Vec<(u32, usize, bool)> = records(&stage)
        .iter()
        .filter_map(|kind| match kind {
            Kind::PluginLoaded(of) => Some((of.version, of.digest.len(), of.refused.is_empty())),
            _ => None,
        })
        .collect();
    let mut versions = loaded.clone();
    versions.sort_unstable();
    assert_eq!(
        versions,
        [
            (0, 0, false),
            (0, 0, false),
            (1, 64, true),
            (1, 64, true),
            (2, 64, true),
            (2, 64, true)
        ]
    );

    // What it would advise can be asked of the records, and tried without a supervisor.
    let tools = Program::new(PROGRAM, directory.path());
    let (file, kept) = (
        file.display().to_string(),
        stage.records().display().to_string(),
    );
    let (code, said, _) = tools
        .tool(&["plugin", "run", &file, "--records", &format!("{kept}/n0")])
        .await;
    assert!(
        code == Some(0) && said.contains("s-b4 keeps 0 % for order from a"),
        "{said}"
    );
    assert!(
        said.contains("audit says from now on, by line 3") && said.contains("operations"),
        "{said}"
    );
    let (code, said, _) = tools.tool(&["plugin", "explain", "s-b4", &kept]).await;
    assert!(
        code == Some(0) && said.contains("n1: s-b4 is in service, full"),
        "{said}"
    );
    assert!(
        said.contains("plug-in audit: s-b4 keeps 0 % for order, by line 3"),
        "{said}"
    );
    let (_, said, _) = tools.tool(&["plugin", "explain", "s-a2", &kept]).await;
    assert!(
        said.contains("s-a2 is in service") && !said.contains("plug-in"),
        "its advice has ended: {said}"
    );
    let (code, _, said) = tools.tool(&["plugin", "explain", "nobody", &kept]).await;
    assert!(
        code == Some(1) && said.contains("no supervisor knows a server \"nobody\""),
        "{said}"
    );
    let (code, said, _) = tools.tool(&["plugin", "check", &file]).await;
    assert!(
        code == Some(0) && said.contains("audit version 2"),
        "{said}"
    );
}

/// Every hostile rule that compiles, as many as can be loaded, in one supervisor: all rules hold, the program answers, its
/// ticks keep their pace, and nothing is lost.
#[tokio::test(flavor = "multi_thread")]
async fn hostile_plug_ins_break_no_rule() {
    let directory = tempfile::tempdir().expect("a directory");
    let bodies: Vec<&str> = corpus::ADVISED
        .iter()
        .chain(&corpus::STOPPED)
        .copied()
        .take(32)
        .collect();
    let files: Vec<PathBuf> = bodies
        .iter()
        .enumerate()
        .map(|(n, body)| {
            let body = body
                .replace("refund-order", "order")
                .replace("petition-file", "lookup");
            write(
                directory.path(),
                &format!("h{n}"),
                &corpus::text(&format!("h{n}"), &body),
            )
        })
        .collect();
    let mut stage = Stage::set_with(Path::new(PROGRAM), directory.path(), 5, &named(&files)).await;
    stage.logs(files.len(), &["plug-in loaded"]).await;
    for second in 0..24 {
        match second {
            4 => stage.fleet.drain("s-a1"),
            8 => stage.fleet.remove("s-a1"),
            9 => stage.fleet.fail("s-b2", true),
            15 => stage.fleet.fail("s-b2", false),
            16 => stage.fleet.restart("s-a1"),
            18 => stage.reload().await,
            _ => {}
        }
        assert!(stage.alive().await);
        sleep(Duration::from_secs(1)).await;
    }
    let served = stage.fleet.served();
    let done = served.done.load(std::sync::atomic::Ordering::Relaxed);
    assert_eq!(stage.end().await, [Some(0), Some(0)]);
    assert_eq!(stage.fleet.broken(20), Vec::<String>::new());
    assert!(done > 500, "only {done} requests were answered");
    let timeline = Timeline::open(&[stage.records()]).expect("records");
    let gaps = timeline.gaps(timeline.span().expect("records"));
    let stood_still = gaps
        .iter()
        .filter(|gap| matches!(gap.reason, GapReason::Stalled | GapReason::Lost));
    assert_eq!(stood_still.count(), 0, "{gaps:?}");
    let kinds = records(&stage);
    let said = |wanted: &str| {
        kinds
            .iter()
            .filter(|k| matches!(k, Kind::PluginSaid(of) if of.what == wanted))
            .count()
    };
    assert!(
        said("fault") >= 40 && said("paused") >= 20,
        "{} faults, {} pauses",
        said("fault"),
        said("paused")
    );
    assert!(
        kinds
            .iter()
            .any(|kind| matches!(kind, Kind::AdviceVoid(of) if of.void)),
        "a veto of all is void"
    );
    assert!(
        !kinds
            .iter()
            .any(|kind| matches!(kind, Kind::Level(of) if of.retry > 1)),
        "no try beyond proof"
    );
    assert!(
        !kinds
            .iter()
            .any(|kind| matches!(kind, Kind::ReportsDropped(_))),
        "no report was lost"
    );
}

#[tokio::test]
async fn the_tools_tell_what_is_wrong() {
    let directory = tempfile::tempdir().expect("a directory");
    let program = Program::new(PROGRAM, directory.path());
    let wrong = write(
        directory.path(),
        "wrong",
        "plugin \"w\" version 1 host 1\nhook cap(class) { return speed }\nhook turn() { x = 1 }\n",
    );
    let failing = "plugin \"f\" version 1 host 1\nhook cap(class) { return 0.5 }\ncase \"half\" { expect cap == 0.5 }\ncase \"all\" { expect cap == 1 }\n";
    let failing = write(directory.path(), "failing", failing);
    let (wrong, failing) = (wrong.display().to_string(), failing.display().to_string());
    let (code, out, said) = program.tool(&["plugin", "check", &wrong]).await;
    assert!(
        code == Some(1) && said == "chutegrade: 2 faults\n",
        "{said}"
    );
    assert!(
        out.contains("no name \"speed\"") && out.contains("no name \"x\"") && out.contains(":2:26"),
        "{out}"
    );
    let (code, out, said) = program.tool(&["plugin", "test", &failing]).await;
    assert!(
        code == Some(1) && said.contains("1 of 2 cases failed"),
        "{said}"
    );
    assert!(
        out.contains("half ... ok") && out.contains("all ... FAILED: cap answered 0.5, expected 1"),
        "{out}"
    );
    let (code, out, _) = program
        .tool(&["plugin", "format", "--check", &wrong, &failing])
        .await;
    assert!(code == Some(0) && out.is_empty(), "{out}");
    std::fs::write(
        &wrong,
        "plugin  \"w\" version 1 host 1\nhook turn(){\nnote(\"x\")\n}",
    )
    .expect("a text");
    assert_eq!(
        program
            .tool(&["plugin", "format", "--check", &wrong])
            .await
            .0,
        Some(1)
    );
    assert_eq!(program.tool(&["plugin", "format", &wrong]).await.0, Some(0));
    let formatted = std::fs::read_to_string(&wrong).expect("the text");
    assert_eq!(
        formatted,
        "plugin \"w\" version 1 host 1\nhook turn() {\n    note(\"x\")\n}\n"
    );
    let (code, _, said) = program.tool(&["plugin", "check", "/nowhere.chute"]).await;
    assert!(code == Some(1) && said.contains("/nowhere.chute"), "{said}");
}
