//! The command line as a person or a script uses it: exit codes, one sentence for each fault, and what comes out.

use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use chutegrade_emulators::{config, until, Discovery, Manner, Program, Proxy, Server};
use chutegrade_records::pb::{self, Record};
use chutegrade_records::store::Store;
use chutegrade_records::{frame, Kind};
use prost::Message;

const PROGRAM: &str = env!("CARGO_BIN_EXE_chutegrade");
const SECOND: i64 = 1_000_000;

fn tool(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(PROGRAM);
    command
        .args(arguments)
        .env_remove("LB_CONFIG")
        .env_remove("CHUTEGRADE_OPERATOR")
        .stdin(Stdio::null());
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().expect("the program");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (status.code(), text(stdout), text(stderr))
}

fn write(directory: &Path, name: &str, seconds: std::ops::Range<i64>) {
    let mut frames = Vec::new();
    for (second, seq) in seconds.zip(1..) {
        let server = format!("s-{}", second % 3);
        let of = pb::StateChanged {
            server,
            zone: "a,\"b".into(),
            state: 2,
            ..pb::StateChanged::default()
        };
        let at_us = second * SECOND;
        let record = Record {
            seq,
            at_us,
            learned_us: at_us + SECOND,
            kind: Some(Kind::StateChanged(of)),
        };
        assert!(frame::put(&mut frames, &record.encode_to_vec()));
    }
    let mut store = Store::open(directory, name).expect("a store");
    store.append(&frames, 1, 0).expect("an append");
}

fn path(of: &Path) -> &str {
    of.to_str().expect("a plain path")
}

#[test]
fn wrong_usage_is_2_a_fault_is_1_and_one_sentence() {
    for wrong in [
        &["nonsense"][..],
        &["records"],
        &["report", "/x"],
        &["records", "export", "/x", "--format", "xml"],
    ] {
        assert_eq!(tool(wrong).0, Some(2), "{wrong:?}");
    }
    let directory = tempfile::tempdir().expect("a directory");
    let there = path(directory.path());
    write(&directory.path().join("n0"), "n0", 0..5);
    let faults = [
        (
            vec!["records", "list", "/nowhere/at/all"],
            "/nowhere/at/all",
        ),
        (
            vec!["records", "list", there, "--from", "yesterday"],
            "\"yesterday\" is no time",
        ),
        (
            vec!["records", "list", there, "--kind", "stat"],
            "no kind \"stat\": give one of started,",
        ),
        (
            vec!["records", "list", there, "--from", "00:01", "--to", "00:00"],
            "--from is after --to",
        ),
        (vec!["console", there], "this is no terminal: give --once"),
        (
            vec!["report", there, "--out", "/nowhere/at/all.html"],
            "/nowhere/at/all.html cannot be written",
        ),
        (vec!["check"], "nothing to check"),
    ];
    for (arguments, words) in faults {
        let (code, out, said) = tool(&arguments);
        assert!(
            code == Some(1) && out.is_empty() && said.contains(words),
            "{arguments:?}: {code:?} {said}"
        );
        assert_eq!(said.trim_end().lines().count(), 1, "{said}");
    }
}

#[test]
fn lists_and_exports_hold_what_is_asked_for() {
    let directory = tempfile::tempdir().expect("a directory");
    let there = path(directory.path());
    write(&directory.path().join("n0"), "n0", 0..10);
    write(&directory.path().join("n1"), "n1", 0..10);
    let (code, out, _) = tool(&[
        "records", "list", there, "--server", "s-1", "--from", "00:00:02", "--to", "00:00:08",
    ]);
    let lines: Vec<&str> = out
        .lines()
        .filter(|line| !line.contains("--- gap"))
        .collect();
    assert_eq!((code, lines.len()), (Some(0), 4), "{out}");
    assert!(
        lines[0].starts_with("1970-01-01T00:00:04.000Z  n0  s-1 withdrawn"),
        "{out}"
    );
    assert!(lines[0].ends_with("[learned 1.0 s later]"), "{out}");
    let (_, rows, _) = tool(&["records", "export", there, "--format", "jsonl"]);
    let parsed: Vec<serde_json::Value> = rows
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    let events: Vec<_> = parsed.iter().filter(|row| row["kind"] == "state").collect();
    assert_eq!(
        (
            events.len(),
            &events[0]["fields"]["server"],
            &events[0]["fields"]["zone"]
        ),
        (20, &"s-0".into(), &"a,\"b".into())
    );
    let (_, table, _) = tool(&[
        "records", "export", there, "--format", "csv", "--kind", "state",
    ]);
    assert!(
        table.starts_with("at,learned,supervisor,start,seq,kind,server,text\n"),
        "{table}"
    );
    assert!(
        table
            .lines()
            .nth(1)
            .is_some_and(|line| line.contains("\"s-0 withdrawn, score")),
        "{table}"
    );
    assert!(tool(&["records", "export", there, "--kind", "joined"])
        .1
        .lines()
        .all(|line| line.contains("\"gap\"")));
}

#[test]
fn damage_is_found_and_named() {
    let directory = tempfile::tempdir().expect("a directory");
    write(directory.path(), "n0", 0..50);
    assert_eq!(
        tool(&["records", "verify", path(directory.path())]).0,
        Some(0)
    );
    let file = directory.path().join("00000001-000000.seg");
    let mut bytes = std::fs::read(&file).expect("its bytes");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&file, bytes).expect("the damage");
    let (code, out, said) = tool(&["records", "verify", path(directory.path())]);
    assert!(
        code == Some(1) && out.contains("1 records missing") && said.contains("1 of 1 directories"),
        "{out}{said}"
    );
}

/// A reader that has seen enough is no fault.
#[test]
fn a_closed_pipe_is_no_fault() {
    let directory = tempfile::tempdir().expect("a directory");
    write(directory.path(), "n0", 0..20_000);
    let line = format!(
        "{PROGRAM} records list {} | head -1; exit ${{PIPESTATUS[0]}}",
        directory.path().display()
    );
    let output = Command::new("bash")
        .args(["-c", &line])
        .output()
        .expect("a shell");
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.code() == Some(0) && said.is_empty(),
        "{:?} {said}",
        output.status
    );
}

#[tokio::test]
async fn check_finds_each_fault_with_its_place() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = |name: &str, text: &str| {
        let at = directory.path().join(name);
        std::fs::write(&at, text).expect("a file");
        path(&at).to_string()
    };
    let good = config(&Discovery::start().await, None, 64).to_string();
    let good = file("good.json", &good);
    let repository = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.txtpb");
    let (code, out, said) = tool(&["check", "--config", &good, "--operator", repository]);
    assert_eq!(
        (code, out.as_str(), said.as_str()),
        (Some(0), "nothing is wrong\n", "")
    );
    let bad = file(
        "bad.json",
        "{\"listen\": \"127.0.0.1:0\",\n \"discovery\" 7}",
    );
    let operator = file(
        "bad.txtpb",
        "records {\n  directory: \"here\"\n  keep_mib: 2\n}",
    );
    let (code, out, said) = tool(&["check", "--config", &bad, "--operator", &operator]);
    assert_eq!(
        (code, said.as_str()),
        (Some(1), "chutegrade: 3 faults\n"),
        "{out}"
    );
    assert!(
        out.contains("bad.json: ") && out.contains("line 2"),
        "{out}"
    );
    assert!(
        out.contains("bad.txtpb:2:3: ") && out.contains("bad.txtpb:3:3: "),
        "{out}"
    );
}

/// Danger: a start that fails for want of a disk leaves proxies without a supervisor.
#[tokio::test]
async fn without_a_usable_directory_it_serves_and_says_so_once() {
    let directory = tempfile::tempdir().expect("a directory");
    let blocked = directory.path().join("file");
    std::fs::write(&blocked, "").expect("a file in the way");
    let operator = directory.path().join("o.txtpb");
    std::fs::write(
        &operator,
        format!("records {{ directory: \"{}\" }}\n", blocked.display()),
    )
    .expect("a file");
    let discovery = Discovery::start().await;
    let server = Server::start("s-1", Manner::Well).await;
    discovery.set("s-1", server.address, "up");
    let program = Program::new(PROGRAM, directory.path()).with_operator(&operator);
    let mut supervisor = program
        .start(&config(&discovery, Some(discovery.list()), 1024))
        .await;
    let mut proxy = Proxy::join(&supervisor, 0, true).await;
    proxy
        .applies("a table", |proxy| proxy.picks("lookup") == ["s-1"])
        .await;
    supervisor
        .logs(1, &["recording stops, serving goes on"])
        .await;
    tokio::time::sleep(Duration::from_millis(2500)).await;
    supervisor
        .logs(1, &["recording stops, serving goes on"])
        .await;
    std::fs::remove_file(&blocked).expect("its end");
    until("recording", || {
        supervisor.logged(&["recording directory"]) > 0
    })
    .await;
    assert_eq!(supervisor.terminate().await, Some(0));
    let (code, out, _) = tool(&["records", "list", path(&blocked)]);
    assert!(
        code == Some(0) && out.contains("records lost") && out.contains("stopped: SIGTERM"),
        "{out}"
    );
}

/// Danger: with a wrong operators' file it would start without what they asked for.
#[tokio::test]
async fn a_wrong_operators_file_ends_it_at_once() {
    let directory = tempfile::tempdir().expect("a directory");
    let operator = directory.path().join("o.txtpb");
    std::fs::write(&operator, "records { directry: \"/x\" }").expect("a file");
    let program = Program::new(PROGRAM, directory.path()).with_operator(&operator);
    let (code, said) = program
        .fails_to_start(&config(&Discovery::start().await, None, 64))
        .await;
    assert!(
        code == Some(1) && said.contains("chutegrade cannot run") && said.contains("o.txtpb:1:11"),
        "{said}"
    );
}

/// The log as JSON lines, with the fields that plain lines have.
#[tokio::test]
async fn the_log_can_be_json() {
    let directory = tempfile::tempdir().expect("a directory");
    let operator = directory.path().join("o.txtpb");
    std::fs::write(&operator, "log { format: JSON }").expect("a file");
    let discovery = Discovery::start().await;
    let mut told = config(&discovery, None, 64);
    told["listen"] = "nowhere".into();
    let program = Program::new(PROGRAM, directory.path()).with_operator(&operator);
    let (code, said) = program.fails_to_start(&told).await;
    let line: serde_json::Value =
        serde_json::from_str(said.lines().next().expect("a line")).expect("JSON");
    assert_eq!(
        (code, line["level"].as_str()),
        (Some(1), Some("ERROR")),
        "{said}"
    );
}

/// Experiments from the command line: a scenario once, faults with their places, an experiment that is not played twice.
#[tokio::test]
async fn the_laboratory_plays_compares_and_tells_faults() {
    let directory = tempfile::tempdir().expect("a directory");
    let program = Program::new(PROGRAM, directory.path());
    let file = |name: &str, text: &str| {
        let path = directory.path().join(name);
        std::fs::write(&path, text).expect("a text");
        path.display().to_string()
    };
    let scenario = file(
        "s.txtpb",
        "name: 'small' seconds: 8\nkind { servers: 4 }\nclass { name: 'read' work_ms: 40 }\ntrouble { sort: SLOW at_s: 2 part: 0.5 size: 6 }\n",
    );
    let (code, out, said) = program
        .tool(&["lab", "play", &scenario, "--seed", "3"])
        .await;
    assert!(code == Some(0) && said.is_empty(), "{said}");
    assert!(
        out.contains("small: 4 servers") && out.contains("service") && !out.contains("RULE"),
        "{out}"
    );
    let wrong = file(
        "w.txtpb",
        "kind { servers: 4 }\nclass { }\nclients { try_share: 7 }\nrules { fall_multiple: 0 }\n",
    );
    let (code, _, said) = program.tool(&["lab", "play", &wrong]).await;
    assert!(
        code == Some(1) && said.contains("w.txtpb:3:11: try_share is 7"),
        "{said}"
    );
    assert!(
        said.contains("w.txtpb:4:9: fall_multiple is 0"),
        "all faults at once: {said}"
    );
    let experiment = file(
        "e.txtpb",
        "name: 'e' case { file: 's.txtpb' }\nvariant { name: 'module' } variant { name: 'fixed' control: FIXED }\n\
         precision { pilot: 3 most: 3 half_width: 0.5 }\n",
    );
    let results = directory.path().join("out").display().to_string();
    let (code, out, said) = program
        .tool(&[
            "lab",
            "run",
            &experiment,
            "--out",
            &results,
            "--threads",
            "2",
        ])
        .await;
    assert!(
        code == Some(0) && out.contains("fixed") && out.contains("report.html"),
        "{out} {said}"
    );
    let lines = || {
        std::fs::read_to_string(directory.path().join("out/results.jsonl"))
            .expect("results")
            .lines()
            .count()
    };
    assert_eq!(lines(), 6);
    let (_, again, _) = program
        .tool(&["lab", "run", &experiment, "--out", &results])
        .await;
    assert!(
        again.contains("6 runs are there already") && lines() == 6,
        "{again}"
    );
    let (code, compared, _) = program
        .tool(&["lab", "compare", &experiment, "--out", &results])
        .await;
    assert!(
        code == Some(0) && again.contains(compared.trim_end()),
        "{compared}"
    );
    let page =
        std::fs::read_to_string(directory.path().join("out/report.html")).expect("the report");
    assert!(
        page.contains("<svg") && !page.contains("http"),
        "the page needs nothing from elsewhere"
    );
}
