//! Plays the scripted incident against the program, and leaves records, ground truth and a comparison of both.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chutegrade_emulators::script::{EmulatedDeployment, SUPERVISORS};
use chutegrade_emulators::truth;
use chutegrade_records::index::Query;
use chutegrade_records::Timeline;
use clap::Parser;

/// Plays a scripted incident of some 75 seconds on loopback.
#[derive(Parser)]
struct Arguments {
    /// The program.
    #[arg(long, value_name = "FILE", default_value = "target/release/chutegrade")]
    program: PathBuf,
    /// Where records and ground truth go; what is there already is replaced.
    #[arg(long, value_name = "DIR", default_value = "target/incident")]
    out: PathBuf,
    /// For random numbers.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

/// An earlier run's directory is replaced; any other is left alone.
fn empty(out: &Path) -> Result<(), String> {
    let ours = out.join("operator.txtpb").exists();
    if !ours
        && out
            .read_dir()
            .is_ok_and(|mut entries| entries.next().is_some())
    {
        return Err(format!(
            "{} holds something else: give an empty directory",
            out.display()
        ));
    }
    if ours {
        std::fs::remove_dir_all(out).map_err(|fault| format!("{}: {fault}", out.display()))?;
    }
    Ok(())
}

async fn play(arguments: Arguments) -> Result<(), String> {
    if !arguments.program.exists() {
        return Err(format!(
            "{} is not there: build it with `make build`",
            arguments.program.display()
        ));
    }
    empty(&arguments.out)?;
    let mut deployment =
        EmulatedDeployment::start(&arguments.program, &arguments.out, arguments.seed).await;
    println!("playing for some 75 seconds");
    let codes = deployment.run_incident().await;
    let fault = |fault: chutegrade_records::timeline::Fault| fault.to_string();
    let timeline = Timeline::open(&[deployment.records()]).map_err(fault)?;
    let (events, gaps) = timeline.read(&Query::default());
    let faults = truth::compare(
        &deployment.ground_truth.entries(),
        &events,
        &gaps,
        &SUPERVISORS,
    );
    faults.iter().for_each(|fault| println!("{fault}"));
    println!(
        "{} events and {} gaps recorded, {} deeds",
        events.len(),
        gaps.len(),
        deployment.ground_truth.entries().len()
    );
    println!(
        "ended with codes {codes:?}; requests that ran twice: {}",
        deployment.fleet.duplicate_executions()
    );
    println!("records in {}", deployment.records().display());
    match faults.len() {
        0 => Ok(()),
        count => Err(format!(
            "{count} differences between records and ground truth"
        )),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match play(Arguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("incident: {fault}");
            ExitCode::FAILURE
        }
    }
}
