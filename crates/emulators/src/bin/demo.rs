//! A first look: a stand-in fleet and two supervisors on loopback with a small trouble now and then, and the console over
//! their records. Without a terminal it prints frames for a while and leaves a report. What it starts it ends.

use std::io::IsTerminal as _;
use std::path::{Path, PathBuf};
use std::process::{ExitCode, Stdio};
use std::time::Duration;

use chutegrade_emulators::script::EmulatedDeployment;
use clap::Parser;
use tokio::process::Command;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

/// Shows a small fleet with two supervisors; needs nothing but the program.
#[derive(Parser)]
struct Arguments {
    /// The program.
    #[arg(long, value_name = "FILE", default_value = "target/release/chutegrade")]
    program: PathBuf,
    /// Where records and the report go; an earlier run's are replaced.
    #[arg(long, value_name = "DIR", default_value = "target/demo")]
    out: PathBuf,
    /// Seconds until it ends by itself where there is no terminal.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

/// Time between two frames where there is no terminal.
const FRAME_EVERY: Duration = Duration::from_secs(10);

/// What the demonstration switches on beside records: one level of reduced service.
const LEVELS: &str =
    "limits { ladder { level { name: \"fewer lookups\" shed { class: \"lookup\" keep: 0.3 }\n\
    enter { all { signal: SATURATION above: 0.35 for_s: 1 } }\n\
    leave { all { signal: SATURATION below: 0.2 for_s: 2 } } least_stay_s: 4 tell: \"desk\" } } }";

async fn console(program: &Path, records: &Path, seconds: u64) -> std::io::Result<()> {
    let command = || {
        let mut command = Command::new(program);
        command.arg("console").arg(records).kill_on_drop(true);
        command
    };
    if std::io::stdout().is_terminal() && std::io::stdin().is_terminal() {
        command().status().await?;
        return Ok(());
    }
    let until = tokio::time::Instant::now() + Duration::from_secs(seconds);
    while tokio::time::Instant::now() + FRAME_EVERY <= until {
        sleep(FRAME_EVERY).await;
        command()
            .arg("--once")
            .stdin(Stdio::null())
            .status()
            .await?;
    }
    tokio::time::sleep_until(until).await;
    Ok(())
}

async fn show(arguments: &Arguments) -> Result<(), String> {
    if !arguments.program.exists() {
        return Err(format!(
            "{} is not there: build it with `make build`",
            arguments.program.display()
        ));
    }
    let out = &arguments.out;
    if out.join("operator.txtpb").exists() {
        std::fs::remove_dir_all(out).map_err(|fault| format!("{}: {fault}", out.display()))?;
    }
    let signals = |kind| signal(kind).map_err(|fault| format!("no signals: {fault}"));
    let (mut interrupt, mut terminate) = (
        signals(SignalKind::interrupt())?,
        signals(SignalKind::terminate())?,
    );
    println!("starting 10 servers, 8 front ends and 2 supervisors on loopback");
    let mut deployment =
        EmulatedDeployment::start_with_operator_config(&arguments.program, out, 11, LEVELS).await;
    let records = deployment.records();
    let ended = tokio::select! {
        ended = console(&arguments.program, &records, arguments.seconds) => ended.map_err(|fault| format!("the console: {fault}")),
        () = deployment.inject_recurring_faults() => Ok(()),
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
    };
    let codes = deployment.terminate().await;
    if codes.iter().any(|code| *code != Some(0)) {
        return Err(format!("supervisors ended with codes {codes:?}"));
    }
    let counters = deployment.fleet.counters();
    let count = |of: &std::sync::atomic::AtomicU64| of.load(std::sync::atomic::Ordering::Relaxed);
    println!(
        "{} requests came, {} answered, {} refused, {} failed",
        count(&counters.received),
        count(&counters.answered),
        count(&counters.rejected),
        count(&counters.failed)
    );
    let page = out.join("report.html");
    let mut report = Command::new(&arguments.program);
    report.arg("report").arg(&records).arg("--out").arg(&page);
    let told = report
        .status()
        .await
        .map_err(|fault| format!("the report: {fault}"))?;
    println!(
        "records in {}, report in {}",
        records.display(),
        page.display()
    );
    if told.success() {
        ended
    } else {
        Err("the report could not be written".to_string())
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match show(&Arguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("demo: {fault}");
            ExitCode::FAILURE
        }
    }
}
