//! Runs the scripted incident against the program, writes records and ground truth, and compares them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chutegrade_emulators::script::{EmulatedDeployment, SUPERVISORS};
use chutegrade_emulators::truth;
use chutegrade_records::index::Query;
use chutegrade_records::Timeline;
use clap::Parser;

/// Runs a scripted incident of about 80 seconds on loopback.
#[derive(Parser)]
struct Arguments {
    /// Path of the chutegrade executable.
    #[arg(long, value_name = "FILE", default_value = "target/release/chutegrade")]
    program: PathBuf,
    /// Output directory for records and ground truth; replaces those of an earlier run.
    #[arg(long, value_name = "DIR", default_value = "target/incident")]
    out: PathBuf,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

/// Removes the directory of an earlier run; returns an error for any other directory that is not empty.
fn remove_earlier_run(out: &Path) -> Result<(), String> {
    let is_earlier_run = out.join("operator.txtpb").exists();
    if !is_earlier_run
        && out
            .read_dir()
            .is_ok_and(|mut entries| entries.next().is_some())
    {
        return Err(format!(
            "{} is neither empty nor the output of an earlier run: give an empty directory",
            out.display()
        ));
    }
    if is_earlier_run {
        std::fs::remove_dir_all(out).map_err(|error| format!("{}: {error}", out.display()))?;
    }
    Ok(())
}

async fn run_incident(arguments: Arguments) -> Result<(), String> {
    if !arguments.program.exists() {
        return Err(format!(
            "{} does not exist: build it with `make build`",
            arguments.program.display()
        ));
    }
    remove_earlier_run(&arguments.out)?;
    let mut deployment =
        EmulatedDeployment::start(&arguments.program, &arguments.out, arguments.seed).await;
    println!("running the incident, about 80 seconds");
    let codes = deployment.run_incident().await;
    let to_text = |error: chutegrade_records::timeline::ReadError| error.to_string();
    let timeline = Timeline::open(&[deployment.records()]).map_err(to_text)?;
    let (events, gaps) = timeline.read(&Query::default());
    let differences = truth::compare(
        &deployment.ground_truth.entries(),
        &events,
        &gaps,
        &SUPERVISORS,
    );
    differences
        .iter()
        .for_each(|difference| println!("{difference}"));
    println!(
        "{} events and {} gaps recorded, {} events injected",
        events.len(),
        gaps.len(),
        deployment.ground_truth.entries().len()
    );
    println!(
        "exit codes {codes:?}; requests executed more than once: {}",
        deployment.fleet.duplicate_executions()
    );
    println!("records in {}", deployment.records().display());
    match differences.len() {
        0 => Ok(()),
        count => Err(format!(
            "{count} differences between records and ground truth"
        )),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match run_incident(Arguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("incident: {error}");
            ExitCode::FAILURE
        }
    }
}
