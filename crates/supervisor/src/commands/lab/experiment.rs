//! `lab run`, `lab compare` and `lab report`: run an experiment and evaluate its results.

use std::io::Write;
use std::path::Path;

use chutegrade_lab::experiment::{self, Plan};
use chutegrade_lab::{report, run as lab_run, Progress, Store};
use indicatif::ProgressBar;

use super::progress::new_bar;
use crate::commands::arguments::{ExperimentArguments, ResultsArguments};
use crate::commands::files::{read_text, write_atomically};
use crate::commands::CommandError;

/// Hexadecimal digits of the hash that identifies a build.
const BUILD_ID_DIGITS: usize = 12;

/// Runs an experiment, resuming where it was stopped, and writes its comparisons and report.
///
/// # Errors
///
/// If the experiment is invalid, threads cannot be started, or results cannot be read or written.
pub fn run(arguments: &ExperimentArguments, output: &mut impl Write) -> Result<(), CommandError> {
    rayon::ThreadPoolBuilder::new()
        .num_threads(arguments.threads)
        .build_global()?;
    let plan = load_plan(&arguments.experiment)?;
    let build = build_id()?;
    let directory = &arguments.out;
    let mut store = Store::open(directory)?;
    let existing = store.results().len();
    if existing > 0 {
        writeln!(output, "{existing} runs are already stored")?;
    }
    run_missing(&plan, &build, &mut store)?;
    write!(output, "{}", report::table(&plan, &build, &store))?;
    write_report(&plan, &build, &store, directory, output)
}

/// Writes the comparisons that the results allow so far.
///
/// # Errors
///
/// If the experiment is invalid, or results cannot be read.
pub fn compare(arguments: &ResultsArguments, output: &mut impl Write) -> Result<(), CommandError> {
    let plan = load_plan(&arguments.experiment)?;
    let store = Store::open(&arguments.out)?;
    let table = report::table(&plan, &build_id()?, &store);
    write!(output, "{table}")?;
    Ok(())
}

/// Rewrites the report.
///
/// # Errors
///
/// If the experiment is invalid, or results cannot be read or the report written.
pub fn report(arguments: &ResultsArguments, output: &mut impl Write) -> Result<(), CommandError> {
    let plan = load_plan(&arguments.experiment)?;
    let store = Store::open(&arguments.out)?;
    write_report(&plan, &build_id()?, &store, &arguments.out, output)
}

fn load_plan(path: &Path) -> Result<Plan, CommandError> {
    let directory = path.parent().unwrap_or(Path::new("."));
    experiment::read(&read_text(path)?, directory)
        .map_err(|faults| CommandError::from_file_faults(path, &faults))
}

/// Returns an identifier of this build, which keeps its results apart from those of other builds.
fn build_id() -> Result<String, CommandError> {
    let program = std::env::current_exe()
        .and_then(std::fs::read)
        .map_err(CommandError::ReadProgram)?;
    let hash = blake3::hash(&program).to_hex();
    let id = hash.as_str().get(..BUILD_ID_DIGITS);
    Ok(id.unwrap_or_default().to_string())
}

/// Runs the simulations whose results the store lacks, with a progress bar.
fn run_missing(plan: &Plan, build: &str, store: &mut Store) -> Result<(), CommandError> {
    let bar = new_bar();
    let mut shown_analysis = 0;
    let on_progress = |progress: Progress| {
        show_progress(&bar, progress, &mut shown_analysis);
        true
    };
    lab_run::play(plan, build, store, on_progress)?;
    bar.finish_and_clear();
    Ok(())
}

/// Shows the progress. Each interim analysis requests more runs, which restarts the estimate of the remaining time.
fn show_progress(bar: &ProgressBar, progress: Progress, shown_analysis: &mut usize) {
    let (analysis, max_analyses) = (progress.look, progress.max_looks);
    if analysis != *shown_analysis {
        *shown_analysis = analysis;
        bar.reset_eta();
    }
    bar.set_length(progress.requested as u64);
    bar.set_position(progress.done as u64);
    bar.set_message(format!("analysis {analysis} of at most {max_analyses}"));
}

fn write_report(
    plan: &Plan,
    build: &str,
    store: &Store,
    directory: &Path,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let runs = report::runs_csv(store);
    let comparisons = report::comparisons_csv(plan, build, store);
    let page = report::page(plan, build, store);
    write_atomically(&directory.join("runs.csv"), &runs)?;
    write_atomically(&directory.join("comparisons.csv"), &comparisons)?;
    write_atomically(&directory.join("report.html"), &page)?;
    writeln!(
        output,
        "{}: wrote runs.csv, comparisons.csv and report.html",
        directory.display()
    )?;
    Ok(())
}
