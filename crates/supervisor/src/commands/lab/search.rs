//! `lab hunt`: searches for the scenario that breaks a rule or loses the most service.

use std::io::Write;
use std::path::Path;

use chutegrade_lab::search::{self, Finding};
use chutegrade_model::{scenario, Scenario};
use indicatif::ProgressBar;

use super::progress::new_bar;
use crate::commands::arguments::HuntArguments;
use crate::commands::files::{read_text, write_atomically};
use crate::commands::CommandError;

/// Searches and writes the scenario that was found.
///
/// # Errors
///
/// If the scenario cannot be read or is invalid, or the found one cannot be written.
pub fn run(arguments: &HuntArguments, output: &mut impl Write) -> Result<(), CommandError> {
    let path = &arguments.scenario;
    let declaration = scenario::parse(&read_text(path)?)
        .map_err(|fault| CommandError::from_file_faults(path, &[fault]))?;
    if let Err(faults) = Scenario::try_from(&declaration) {
        let messages: Vec<String> = faults.into_iter().map(|(_, message)| message).collect();
        return Err(CommandError::Scenario(messages.join("; ")));
    }
    let bar = new_bar();
    bar.set_length(arguments.budget as u64);
    let on_progress = |runs: usize, worst: Option<&Finding>| {
        show_progress(&bar, runs, worst);
        true
    };
    let objective = search::default_objective(arguments.rules);
    let found = search::search(
        &declaration,
        &objective,
        arguments.budget,
        arguments.seed,
        on_progress,
    );
    bar.finish_and_clear();
    let Some(found) = found else {
        writeln!(output, "no scenario was found")?;
        return Ok(());
    };
    write_found(&found, arguments.seed, &arguments.out, output)
}

fn show_progress(bar: &ProgressBar, runs: usize, worst: Option<&Finding>) {
    bar.set_position(runs as u64);
    let Some(worst) = worst else {
        return;
    };
    let (service, ideal_service) = (worst.service, worst.baseline_service);
    let broken = worst.broken_rules.len();
    bar.set_message(format!(
        "worst {service:.3} of {ideal_service:.3}, {broken} rules broken"
    ));
}

fn write_found(
    found: &Finding,
    seed: u64,
    file: &Path,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let summary = summarize(found, seed);
    let comment: String = summary.iter().map(|line| format!("# {line}\n")).collect();
    let scenario = scenario::write(&found.scenario);
    write_atomically(file, &format!("{comment}{scenario}"))?;
    for line in &summary {
        writeln!(output, "{line}")?;
    }
    writeln!(output, "wrote {}", file.display())?;
    Ok(())
}

/// Returns sentences that describe the found scenario, one per line.
fn summarize(found: &Finding, seed: u64) -> Vec<String> {
    let runs = found.runs;
    let (service, ideal_service) = (found.service, found.baseline_service);
    let mut lines = vec![
        format!("Found by a search of {runs} runs with seed {seed}."),
        format!("Service {service:.3}; with the ideal control plane {ideal_service:.3}."),
    ];
    let broken = found.broken_rules.iter();
    lines.extend(broken.map(|rule| format!("Rule broken: {rule}.")));
    lines
}
