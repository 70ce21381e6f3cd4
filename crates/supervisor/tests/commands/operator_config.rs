//! The operators' file: the faults that `check` finds, and its effect on the start.

use std::time::Duration;

use chutegrade_emulators::{config, until, Discovery, HealthCheckMode, Program, Proxy, Server};
use tokio::time::sleep;

use crate::{run, utf8, Outcome, PROGRAM};

#[tokio::test]
async fn check_finds_each_fault_with_its_position() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = |name: &str, text: &str| {
        let path = directory.path().join(name);
        std::fs::write(&path, text).expect("a file");
        utf8(&path).to_string()
    };
    let valid_config = config(&Discovery::start().await, None, 64).to_string();
    let valid_config = file("good.json", &valid_config);
    let repository = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.txtpb");
    let Outcome {
        code,
        output,
        error,
    } = run(&["check", "--config", &valid_config, "--operator", repository]);
    assert_eq!(
        (code, output.as_str(), error.as_str()),
        (Some(0), "no faults found\n", "")
    );
    let invalid_config = file(
        "bad.json",
        "{\"listen\": \"127.0.0.1:0\",\n \"discovery\" 7}",
    );
    let operator = file(
        "bad.txtpb",
        "records {\n  directory: \"here\"\n  keep_mib: 2\n}",
    );
    let Outcome {
        code,
        output,
        error,
    } = run(&[
        "check",
        "--config",
        &invalid_config,
        "--operator",
        &operator,
    ]);
    assert_eq!(
        (code, error.as_str()),
        (Some(1), "chutegrade: 3 faults\n"),
        "{output}"
    );
    assert!(
        output.contains("bad.json: ") && output.contains("line 2"),
        "{output}"
    );
    assert!(
        output.contains("bad.txtpb:2:3: ") && output.contains("bad.txtpb:3:3: "),
        "{output}"
    );
}

/// A missing disk must not prevent the start, which would leave proxies without a supervisor.
#[tokio::test]
async fn an_unusable_records_directory_is_logged_once_and_does_not_stop_serving() {
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
    let server = Server::start("s-1", HealthCheckMode::Healthy).await;
    discovery.set("s-1", server.address, "up");
    let program = Program::new(PROGRAM, directory.path()).with_operator(&operator);
    let mut supervisor = program
        .start(&config(&discovery, Some(discovery.list()), 1024))
        .await;
    let mut proxy = Proxy::join(&supervisor, 0, true).await;
    proxy
        .apply_until("a table", |proxy| proxy.picks("lookup") == ["s-1"])
        .await;
    supervisor
        .expect_log_lines(1, &["recording failed, serving continues without records"])
        .await;
    sleep(Duration::from_millis(2500)).await;
    supervisor
        .expect_log_lines(1, &["recording failed, serving continues without records"])
        .await;
    std::fs::remove_file(&blocked).expect("a removal");
    until("recording", || {
        supervisor.count_log_lines(&["recording directory"]) > 0
    })
    .await;
    assert_eq!(supervisor.terminate().await, Some(0));
    let Outcome { code, output, .. } = run(&["records", "list", utf8(&blocked)]);
    assert!(
        code == Some(0) && output.contains("records lost") && output.contains("stopped: SIGTERM"),
        "{output}"
    );
}

/// A supervisor with an invalid operators' file would run without the configured features.
#[tokio::test]
async fn an_invalid_operators_file_prevents_the_start() {
    let directory = tempfile::tempdir().expect("a directory");
    let operator = directory.path().join("o.txtpb");
    std::fs::write(&operator, "records { directry: \"/x\" }").expect("a file");
    let program = Program::new(PROGRAM, directory.path()).with_operator(&operator);
    let (code, error) = program
        .run_until_exit(&config(&Discovery::start().await, None, 64))
        .await;
    assert!(
        code == Some(1)
            && error.contains("chutegrade cannot run")
            && error.contains("o.txtpb:1:11"),
        "{error}"
    );
}

/// The JSON lines of the log have the same fields as the plain lines.
#[tokio::test]
async fn the_log_can_be_json() {
    let directory = tempfile::tempdir().expect("a directory");
    let operator = directory.path().join("o.txtpb");
    std::fs::write(&operator, "log { format: JSON }").expect("a file");
    let discovery = Discovery::start().await;
    let mut configuration = config(&discovery, None, 64);
    configuration["listen"] = "nowhere".into();
    let program = Program::new(PROGRAM, directory.path()).with_operator(&operator);
    let (code, error) = program.run_until_exit(&configuration).await;
    let line: serde_json::Value =
        serde_json::from_str(error.lines().next().expect("a line")).expect("JSON");
    assert_eq!(
        (code, line["level"].as_str()),
        (Some(1), Some("ERROR")),
        "{error}"
    );
}
