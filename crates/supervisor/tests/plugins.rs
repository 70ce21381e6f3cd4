//! Plug-ins over sockets: their advice reaches proxies, and hostile ones affect neither supervisors nor proxies.

#[path = "../../plugins/tests/corpus/mod.rs"]
mod corpus;

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::Duration;

use chutegrade_emulators::script::EmulatedDeployment;
use chutegrade_emulators::{until, Program};
use chutegrade_records::index::Query;
use chutegrade_records::{GapReason, Kind, Timeline};
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_chutegrade");
/// Maximum number of plug-ins that can be loaded.
const MAX_PLUGINS: usize = 32;

fn write_plugin(directory: &Path, name: &str, text: &str) -> PathBuf {
    let path = directory.join(format!("{name}.chute"));
    std::fs::write(&path, text).expect("a text");
    path
}

/// Returns the section of the operators' file that loads these files.
fn plugins_section(files: &[PathBuf]) -> String {
    let mut section = "plugins {".to_string();
    for file in files {
        write!(section, " file: {:?}", file.display().to_string()).expect("a string grows");
    }
    section + " }"
}

/// Returns what all supervisors have recorded.
fn recorded_kinds(deployment: &EmulatedDeployment) -> Vec<Kind> {
    let timeline = Timeline::open(&[deployment.records()]).expect("records");
    let (events, _) = timeline.read(&Query::default());
    events
        .into_iter()
        .filter_map(|event| event.record.kind)
        .collect()
}

/// Whether every proxy may pick a server for a class.
fn all_pick(deployment: &EmulatedDeployment, class: &str, server: &str) -> bool {
    deployment
        .fleet
        .picks(class)
        .iter()
        .all(|picks| picks.iter().any(|name| name == server))
}

/// Whether no proxy may pick a server for a class.
fn none_picks(deployment: &EmulatedDeployment, class: &str, server: &str) -> bool {
    deployment
        .fleet
        .picks(class)
        .iter()
        .all(|picks| !picks.iter().any(|name| name == server))
}

const AUDIT: &str = "plugin \"audit\" version 1 host 1\nsteers \"order\"\n\
    hook factor(server, class, zone) { if class.name == \"order\" and server.name == \"s-a2\" { return 0 } return 1 }";

/// One class is routed around a server and the others are not, until the plug-in is replaced at SIGHUP; an invalid one
/// is rejected. Health checks are off: on a loaded machine they may be so slow that the fleet counts as saturated,
/// which makes advice on servers void.
#[tokio::test(flavor = "multi_thread")]
async fn a_class_is_routed_around_a_server_until_the_plugin_is_replaced() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = write_plugin(directory.path(), "audit", AUDIT);
    let section = plugins_section(std::slice::from_ref(&file));
    let program = Path::new(PROGRAM);
    let mut deployment =
        EmulatedDeployment::start_without_health_checks(program, directory.path(), 3, &section)
            .await;
    until("orders are routed around it", || {
        none_picks(&deployment, "order", "s-a2")
    })
    .await;
    assert!(
        all_pick(&deployment, "lookup", "s-a2"),
        "the other class stays"
    );
    assert!(
        all_pick(&deployment, "order", "s-a3"),
        "the other servers stay"
    );

    let wrong = AUDIT.replace("return 0", "return speed");
    write_plugin(directory.path(), "audit", &wrong);
    deployment.reload().await;
    deployment
        .wait_for_log_lines(1, &["plug-ins rejected", "no name"])
        .await;
    sleep(Duration::from_secs(3)).await;
    assert!(
        none_picks(&deployment, "order", "s-a2"),
        "the old rule stays in force"
    );

    let replacement = AUDIT
        .replace("version 1", "version 2")
        .replace("s-a2", "s-b4");
    write_plugin(directory.path(), "audit", &replacement);
    deployment.reload().await;
    until("the new rule", || {
        none_picks(&deployment, "order", "s-b4") && all_pick(&deployment, "order", "s-a2")
    })
    .await;

    assert_eq!(deployment.terminate().await, [Some(0), Some(0)]);
    assert_eq!(deployment.fleet.rule_violations(20), Vec::<String>::new());
    assert_loads_are_recorded(&deployment);
    assert_commands_show_the_advice(directory.path(), &deployment, &file).await;
}

/// Asserts that each of the two supervisors has loaded both versions and rejected the invalid text.
fn assert_loads_are_recorded(deployment: &EmulatedDeployment) {
    let load = |kind| match kind {
        Kind::PluginLoaded(load) => {
            Some((load.version, load.digest.len(), load.refused.is_empty()))
        }
        _ => None,
    };
    let mut loads: Vec<(u32, usize, bool)> = recorded_kinds(deployment)
        .into_iter()
        .filter_map(load)
        .collect();
    loads.sort_unstable();
    assert_eq!(
        loads,
        [
            (0, 0, false),
            (0, 0, false),
            (1, 64, true),
            (1, 64, true),
            (2, 64, true),
            (2, 64, true)
        ]
    );
}

/// Asserts that the commands find the advice in the records, and run the plug-in without a supervisor.
async fn assert_commands_show_the_advice(
    directory: &Path,
    deployment: &EmulatedDeployment,
    file: &Path,
) {
    let tools = Program::new(PROGRAM, directory);
    let file = file.display().to_string();
    let records = deployment.records().display().to_string();
    let records_of_one = format!("{records}/n0");
    let (code, output, _) = tools
        .run_command(&["plugin", "run", &file, "--records", &records_of_one])
        .await;
    assert_eq!(code, Some(0), "{output}");
    assert!(
        output.contains("s-b4 keeps 0 % for order from a"),
        "{output}"
    );
    assert!(
        output.contains("audit advises, by line 3") && output.contains("operations"),
        "{output}"
    );
    let (code, output, _) = tools
        .run_command(&["plugin", "explain", "s-b4", &records])
        .await;
    assert_eq!(code, Some(0), "{output}");
    assert!(output.contains("n1: s-b4 is in service, full"), "{output}");
    assert!(
        output.contains("plug-in audit: s-b4 keeps 0 % for order, by line 3"),
        "{output}"
    );
    let (_, output, _) = tools
        .run_command(&["plugin", "explain", "s-a2", &records])
        .await;
    assert!(
        output.contains("s-a2 is in service") && !output.contains("plug-in"),
        "its advice has ended: {output}"
    );
    let (code, _, error) = tools
        .run_command(&["plugin", "explain", "s-none", &records])
        .await;
    assert!(
        code == Some(1) && error.contains("no supervisor has a record of server \"s-none\""),
        "{error}"
    );
    let (code, output, _) = tools.run_command(&["plugin", "check", &file]).await;
    assert!(
        code == Some(0) && output.contains("audit version 2"),
        "{output}"
    );
}

/// Writes hostile plug-ins that compile, up to the maximum that can be loaded.
fn write_hostile_plugins(directory: &Path) -> Vec<PathBuf> {
    let bodies = corpus::ADVISED.iter().chain(&corpus::STOPPED);
    bodies
        .take(MAX_PLUGINS)
        .enumerate()
        .map(|(number, body)| {
            let name = format!("h{number}");
            let body = body
                .replace("refund-order", "order")
                .replace("petition-file", "lookup");
            write_plugin(directory, &name, &corpus::text(&name, &body))
        })
        .collect()
}

/// Drains, fails and restarts servers and reloads, and checks each second that the supervisors respond.
async fn disturb_the_fleet(deployment: &EmulatedDeployment) {
    for second in 0..24 {
        match second {
            4 => deployment.fleet.drain("s-a1"),
            8 => deployment.fleet.remove("s-a1"),
            9 => deployment.fleet.set_failing("s-b2", true),
            15 => deployment.fleet.set_failing("s-b2", false),
            16 => deployment.fleet.restart("s-a1"),
            18 => deployment.reload().await,
            _ => {}
        }
        assert!(deployment.is_responsive().await);
        sleep(Duration::from_secs(1)).await;
    }
}

fn assert_no_supervisor_stalled(deployment: &EmulatedDeployment) {
    let timeline = Timeline::open(&[deployment.records()]).expect("records");
    let gaps = timeline.gaps(timeline.span().expect("records"));
    let stalls = gaps
        .iter()
        .filter(|gap| matches!(gap.reason, GapReason::Stalled | GapReason::Lost));
    assert_eq!(stalls.count(), 0, "{gaps:?}");
}

fn assert_hostile_plugins_were_contained(kinds: &[Kind]) {
    let count_events = |what: &str| {
        let is_match = |kind: &&Kind| matches!(kind, Kind::PluginSaid(event) if event.what == what);
        kinds.iter().filter(is_match).count()
    };
    let (faults, pauses) = (count_events("fault"), count_events("paused"));
    assert!(
        faults >= 40 && pauses >= 20,
        "{faults} faults, {pauses} pauses"
    );
    let any = |predicate: fn(&Kind) -> bool| kinds.iter().any(predicate);
    assert!(
        any(|kind| matches!(kind, Kind::AdviceVoid(advice) if advice.void)),
        "advice against all servers is void"
    );
    assert!(
        !any(|kind| matches!(kind, Kind::Level(level) if level.retry > 1)),
        "no retry without proof that the request was not executed"
    );
    assert!(
        !any(|kind| matches!(kind, Kind::ReportsDropped(_))),
        "no report was lost"
    );
}

/// With hostile plug-ins loaded, all rules hold, supervisors respond and tick in time, and no report is lost.
#[tokio::test(flavor = "multi_thread")]
async fn hostile_plugins_break_no_rule() {
    let directory = tempfile::tempdir().expect("a directory");
    let files = write_hostile_plugins(directory.path());
    let section = plugins_section(&files);
    let mut deployment = EmulatedDeployment::start_with_operator_config(
        Path::new(PROGRAM),
        directory.path(),
        5,
        &section,
    )
    .await;
    deployment
        .wait_for_log_lines(files.len(), &["plug-in loaded"])
        .await;
    disturb_the_fleet(&deployment).await;
    let answered = deployment.fleet.counters().answered.load(Ordering::Relaxed);
    assert_eq!(deployment.terminate().await, [Some(0), Some(0)]);
    assert_eq!(deployment.fleet.rule_violations(20), Vec::<String>::new());
    assert!(answered > 500, "only {answered} requests were answered");
    assert_no_supervisor_stalled(&deployment);
    assert_hostile_plugins_were_contained(&recorded_kinds(&deployment));
}

const INVALID_PLUGIN: &str =
    "plugin \"w\" version 1 host 1\nhook cap(class) { return speed }\nhook turn() { x = 1 }\n";
const WITH_A_FAILING_CASE: &str = "plugin \"f\" version 1 host 1\nhook cap(class) { return 0.5 }\n\
    case \"half\" { expect cap == 0.5 }\ncase \"all\" { expect cap == 1 }\n";
const UNFORMATTED: &str = "plugin  \"w\" version 1 host 1\nhook turn(){\nnote(\"x\")\n}";
const FORMATTED: &str = "plugin \"w\" version 1 host 1\nhook turn() {\n    note(\"x\")\n}\n";

#[tokio::test]
async fn the_commands_report_faults() {
    let directory = tempfile::tempdir().expect("a directory");
    let program = Program::new(PROGRAM, directory.path());
    let wrong = write_plugin(directory.path(), "wrong", INVALID_PLUGIN);
    let failing = write_plugin(directory.path(), "failing", WITH_A_FAILING_CASE);
    let (wrong, failing) = (wrong.display().to_string(), failing.display().to_string());
    let (code, output, error) = program.run_command(&["plugin", "check", &wrong]).await;
    assert!(
        code == Some(1) && error == "chutegrade: 2 faults\n",
        "{error}"
    );
    for fault in ["no name \"speed\"", "no name \"x\"", ":2:26"] {
        assert!(output.contains(fault), "{output}");
    }
    let (code, output, error) = program.run_command(&["plugin", "test", &failing]).await;
    assert!(
        code == Some(1) && error.contains("1 of 2 cases failed"),
        "{error}"
    );
    assert!(
        output.contains("half ... ok")
            && output.contains("all ... FAILED: cap answered 0.5, expected 1"),
        "{output}"
    );
    let (code, _, error) = program
        .run_command(&["plugin", "check", "/nowhere.chute"])
        .await;
    assert!(
        code == Some(1) && error.contains("/nowhere.chute"),
        "{error}"
    );
}

#[tokio::test]
async fn the_format_command_checks_and_formats() {
    let directory = tempfile::tempdir().expect("a directory");
    let program = Program::new(PROGRAM, directory.path());
    let file = write_plugin(directory.path(), "wrong", INVALID_PLUGIN);
    let failing = write_plugin(directory.path(), "failing", WITH_A_FAILING_CASE);
    let (path, failing) = (file.display().to_string(), failing.display().to_string());
    let (code, output, _) = program
        .run_command(&["plugin", "format", "--check", &path, &failing])
        .await;
    assert!(code == Some(0) && output.is_empty(), "{output}");
    std::fs::write(&file, UNFORMATTED).expect("a text");
    let (code, _, _) = program
        .run_command(&["plugin", "format", "--check", &path])
        .await;
    assert_eq!(code, Some(1));
    let (code, _, _) = program.run_command(&["plugin", "format", &path]).await;
    assert_eq!(code, Some(0));
    let formatted = std::fs::read_to_string(&file).expect("the text");
    assert_eq!(formatted, FORMATTED);
}
