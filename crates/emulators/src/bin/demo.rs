//! Demo: runs an emulated fleet and two supervisors on loopback, injects small faults, and shows the console on their
//! records. Without a terminal it prints frames for a limited time. It writes a report, and stops all that it started.

use std::io::IsTerminal as _;
use std::path::{Path, PathBuf};
use std::process::{ExitCode, Stdio};
use std::time::Duration;

use chutegrade_emulators::script::EmulatedDeployment;
use clap::Parser;
use tokio::process::Command;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

/// Runs an emulated fleet with two supervisors, and shows the console.
#[derive(Parser)]
struct Arguments {
    /// Path of the chutegrade executable.
    #[arg(long, value_name = "FILE", default_value = "target/release/chutegrade")]
    program: PathBuf,
    /// Output directory for the records and the report; replaces those of an earlier run.
    #[arg(long, value_name = "DIR", default_value = "target/demo")]
    out: PathBuf,
    /// Duration in seconds if there is no terminal.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

/// Interval between frames if there is no terminal.
const FRAME_INTERVAL: Duration = Duration::from_secs(10);

/// Operator configuration besides the records: one reduced service level.
const OPERATOR_CONFIG: &str =
    "limits { ladder { level { name: \"fewer lookups\" shed { class: \"lookup\" keep: 0.3 }\n\
    enter { all { signal: SATURATION above: 0.35 for_s: 1 } }\n\
    leave { all { signal: SATURATION below: 0.2 for_s: 2 } } least_stay_s: 4 tell: \"desk\" } } }";

async fn run_console(program: &Path, records: &Path, seconds: u64) -> std::io::Result<()> {
    let command = || {
        let mut command = Command::new(program);
        command.arg("console").arg(records).kill_on_drop(true);
        command
    };
    if std::io::stdout().is_terminal() && std::io::stdin().is_terminal() {
        command().status().await?;
        return Ok(());
    }
    let deadline = tokio::time::Instant::now() + Duration::from_secs(seconds);
    while tokio::time::Instant::now() + FRAME_INTERVAL <= deadline {
        sleep(FRAME_INTERVAL).await;
        command()
            .arg("--once")
            .stdin(Stdio::null())
            .status()
            .await?;
    }
    tokio::time::sleep_until(deadline).await;
    Ok(())
}

async fn run_demo(arguments: &Arguments) -> Result<(), String> {
    if !arguments.program.exists() {
        return Err(format!(
            "{} does not exist: build it with `make build`",
            arguments.program.display()
        ));
    }
    let out = &arguments.out;
    if out.join("operator.txtpb").exists() {
        std::fs::remove_dir_all(out).map_err(|error| format!("{}: {error}", out.display()))?;
    }
    let subscribe = |kind| signal(kind).map_err(|error| format!("cannot handle signals: {error}"));
    let (mut interrupt, mut terminate) = (
        subscribe(SignalKind::interrupt())?,
        subscribe(SignalKind::terminate())?,
    );
    println!("starting 10 servers, 8 proxies and 2 supervisors on loopback");
    let mut deployment = EmulatedDeployment::start_with_operator_config(
        &arguments.program,
        out,
        11,
        OPERATOR_CONFIG,
    )
    .await;
    let records = deployment.records();
    let result = tokio::select! {
        ended = run_console(&arguments.program, &records, arguments.seconds) => ended.map_err(|error| format!("cannot run the console: {error}")),
        () = deployment.inject_recurring_faults() => Ok(()),
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
    };
    let codes = deployment.terminate().await;
    if codes.iter().any(|code| *code != Some(0)) {
        return Err(format!("supervisors exited with codes {codes:?}"));
    }
    let counters = deployment.fleet.counters();
    let count =
        |counter: &std::sync::atomic::AtomicU64| counter.load(std::sync::atomic::Ordering::Relaxed);
    println!(
        "{} requests received, {} answered, {} rejected, {} failed",
        count(&counters.received),
        count(&counters.answered),
        count(&counters.rejected),
        count(&counters.failed)
    );
    let report_path = out.join("report.html");
    let mut report = Command::new(&arguments.program);
    report
        .arg("report")
        .arg(&records)
        .arg("--out")
        .arg(&report_path);
    let status = report
        .status()
        .await
        .map_err(|error| format!("cannot run the report: {error}"))?;
    println!(
        "records in {}, report in {}",
        records.display(),
        report_path.display()
    );
    if status.success() {
        result
    } else {
        Err("cannot write the report".to_string())
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match run_demo(&Arguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}
