//! `lab play`: simulates one scenario once.

use std::fmt::Display;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use chutegrade_limits::pb;
use chutegrade_model::{play, scenario, Control, Outcome, Scenario, Setup, DEFAULT_IDEAL_DELAY_MS};
use chutegrade_records::text;
use chutegrade_traffic::Traffic;

use crate::commands::arguments::{ControlPlane, PlayArguments};
use crate::commands::files::{read_plugins, read_text};
use crate::commands::CommandError;

const US_PER_SECOND: f64 = 1e6;
/// Minimum duration for computing a speed, in seconds; avoids a division by zero.
const MIN_SECONDS: f64 = 1e-9;

/// Figures of the whole run, in output order.
const FIGURES: [&str; 16] = [
    "service",
    "whole",
    "worst_window",
    "worst_class",
    "nines",
    "refused",
    "failed",
    "tries",
    "comings",
    "wasted",
    "channel",
    "backlog",
    "connections",
    "queue",
    "crossing",
    "shut_out_s",
];

/// Simulates the scenario and writes its outcome.
///
/// # Errors
///
/// If a file cannot be read, or the setup is invalid or does not fit the scenario.
pub fn run(arguments: &PlayArguments, output: &mut impl Write) -> Result<(), CommandError> {
    let path = &arguments.scenario;
    let scenario = scenario::read(&read_text(path)?)
        .map_err(|faults| CommandError::from_file_faults(path, &faults))?;
    let setup = load_setup(arguments)?;
    setup.validate_plugins().map_err(setup_error)?;
    setup.validate_for(&scenario).map_err(setup_error)?;
    let start = Instant::now();
    let outcome = play(&scenario, &setup, arguments.seed);
    write_outcome(&scenario, &outcome, output)?;
    let seconds = start.elapsed().as_secs_f64();
    let speed = simulated_seconds(&scenario) / seconds.max(MIN_SECONDS);
    writeln!(
        output,
        "{} events in {seconds:.2} s, {speed:.0} times real time",
        outcome.events
    )?;
    Ok(())
}

fn setup_error(error: impl Display) -> CommandError {
    CommandError::SimulationSetup(error.to_string())
}

fn load_setup(arguments: &PlayArguments) -> Result<Setup, CommandError> {
    let limits = match &arguments.limits {
        Some(path) => load_limits(path)?,
        None => None,
    };
    let traffic = match &arguments.traffic {
        Some(path) => Some(Arc::new(load_traffic(path)?)),
        None => None,
    };
    Ok(Setup {
        control: arguments.control.into(),
        plugins: read_plugins(&arguments.plugins)?,
        alternative_policy: None,
        limits,
        traffic,
    })
}

impl From<ControlPlane> for Control {
    fn from(control_plane: ControlPlane) -> Self {
        match control_plane {
            ControlPlane::Module => Control::Module,
            ControlPlane::Fixed => Control::Fixed,
            ControlPlane::Nobody => Control::Nobody,
            ControlPlane::Ideal => Control::Ideal(DEFAULT_IDEAL_DELAY_MS),
        }
    }
}

fn load_limits(path: &Path) -> Result<Option<pb::Limits>, CommandError> {
    let operator = chutegrade_operator_config::load(path)
        .map_err(|errors| CommandError::from_faults(&errors))?;
    let limits = operator.limits;
    Ok(limits.map(|limits| limits.declaration().clone()))
}

fn load_traffic(path: &Path) -> Result<Traffic, CommandError> {
    let traffic_error = |reason: &dyn Display| CommandError::Traffic {
        path: path.to_path_buf(),
        reason: reason.to_string(),
    };
    let file = std::fs::File::open(path).map_err(|error| traffic_error(&error))?;
    chutegrade_traffic::read(file).map_err(|error| traffic_error(&error))
}

fn simulated_seconds(scenario: &Scenario) -> f64 {
    scenario.duration_us as f64 / US_PER_SECOND
}

fn write_outcome(
    scenario: &Scenario,
    outcome: &Outcome,
    output: &mut impl Write,
) -> std::io::Result<()> {
    writeln!(
        output,
        "{}: {} servers, {} proxies, {} supervisors, {:.0} requests/s for {:.0} s (simulated)",
        scenario.name,
        scenario.servers(),
        scenario.proxies,
        scenario.supervisors,
        scenario.rate,
        simulated_seconds(scenario)
    )?;
    for name in FIGURES {
        writeln!(output, "  {name:13} {:.4}", outcome.figure(name))?;
    }
    write_classes(outcome, output)?;
    write_level_transitions(outcome, output)?;
    write_broken_rules(outcome, output)
}

fn write_classes(outcome: &Outcome, output: &mut impl Write) -> std::io::Result<()> {
    for class in &outcome.classes {
        write!(
            output,
            "  {}: {} requests, service {:.4}, refused {:.4}, failed {:.4}, ",
            class.name, class.requests, class.service, class.refused, class.failed
        )?;
        let [p50, p90, p99, p99_9] = class.quantiles_ms;
        writeln!(
            output,
            "answered within {p50:.0} / {p90:.0} / {p99:.0} / {p99_9:.0} ms (50, 90, 99, 99.9 %)"
        )?;
    }
    Ok(())
}

fn write_level_transitions(outcome: &Outcome, output: &mut impl Write) -> std::io::Result<()> {
    for level_change in &outcome.level_changes {
        let record = chutegrade_overload_control::transition_record(&level_change.change);
        let line = text::line(&record);
        let supervisor = level_change.supervisor + 1;
        writeln!(
            output,
            "  {:6.1} s, supervisor {supervisor}: {line}",
            level_change.at_s
        )?;
    }
    Ok(())
}

fn write_broken_rules(outcome: &Outcome, output: &mut impl Write) -> std::io::Result<()> {
    for broken in &outcome.broken_rules {
        writeln!(
            output,
            "  RULE BROKEN: {} {} times, first at {:.1} s: {}",
            broken.rule.name(),
            broken.times,
            broken.at_s,
            broken.description
        )?;
    }
    Ok(())
}
