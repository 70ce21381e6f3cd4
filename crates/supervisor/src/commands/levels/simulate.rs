//! `levels simulate`: prints the transitions that service levels would have made over recorded signals.

use std::collections::BTreeMap;
use std::io::Write;

use chutegrade_limits::transitions::LevelTransitions;
use chutegrade_limits::{LevelTransition, ServiceLevels, SignalWindow};
use chutegrade_records::index::Query;
use chutegrade_records::text::{self, duration, printable};
use chutegrade_records::timeline::{Event, Supervisor, Timeline};

use super::recorded::{metrics_of, observe, RecordedMetrics};
use super::source::load;
use crate::commands::arguments::SimulateArguments;
use crate::commands::time_window::resolve_window;
use crate::commands::CommandError;

const US_PER_HOUR: f64 = 3.6e9;
/// Minimum duration for computing a rate, in hours; avoids a division by zero for a single record.
const MIN_HOURS: f64 = 1e-9;

/// Simulates the levels over what each supervisor recorded.
///
/// # Errors
///
/// If records or the levels cannot be read, a time cannot be parsed, or no supervisor recorded metrics in the window.
pub fn run(arguments: &SimulateArguments, output: &mut impl Write) -> Result<(), CommandError> {
    let timeline = Timeline::open(&arguments.directories)?;
    let window = resolve_window(
        &timeline,
        arguments.from.as_deref(),
        arguments.to.as_deref(),
    )?;
    let levels = load(&arguments.source)?;
    let (events, _) = timeline.read(&Query::between(window.from_us, window.to_us));
    let mut has_metrics = false;
    for supervisor in &timeline.supervisors {
        has_metrics |= simulate_supervisor(&levels, supervisor, &events, output)?;
    }
    if !has_metrics {
        return Err(CommandError::NoMetricsInWindow);
    }
    writeln!(
        output,
        "(the signals are as recorded: the effect of other levels on them is not simulated)"
    )?;
    Ok(())
}

/// Simulates the levels over the metrics of one supervisor. Returns whether it recorded any.
fn simulate_supervisor(
    levels: &ServiceLevels,
    supervisor: &Supervisor,
    events: &[Event],
    output: &mut impl Write,
) -> std::io::Result<bool> {
    let metrics = metrics_of(events, &supervisor.name);
    let (Some(first), Some(last)) = (metrics.first(), metrics.last()) else {
        return Ok(false);
    };
    let span_us = last.at_us - first.at_us;
    let name = printable(&supervisor.name);
    let duration = duration(span_us);
    let start = text::time(first.at_us);
    writeln!(output, "{name}: {duration} of signals from {start}")?;
    let simulation = simulate(levels, &metrics);
    write_simulation(levels, &simulation, span_us, output)?;
    Ok(true)
}

/// The result of a simulation over the signals of one supervisor.
struct Simulation {
    transitions: Vec<TimedTransition>,
    /// Time at each level in microseconds, by the number of the level.
    time_at_level_us: BTreeMap<usize, i64>,
}

struct TimedTransition {
    at_us: i64,
    transition: LevelTransition,
}

fn simulate(levels: &ServiceLevels, metrics: &[RecordedMetrics]) -> Simulation {
    let mut level_transitions = LevelTransitions::new(levels.clone());
    let mut window = SignalWindow::default();
    let mut transitions = Vec::new();
    let mut time_at_level_us = BTreeMap::new();
    let mut previous_us = metrics.first().map_or(0, |first| first.at_us);
    for moment in metrics {
        let at_us = moment.at_us;
        let time_us = time_at_level_us
            .entry(level_transitions.level())
            .or_insert(0);
        *time_us += at_us - previous_us;
        previous_us = at_us;
        observe(&mut window, moment);
        if let Some(transition) = level_transitions.evaluate(at_us, &window) {
            transitions.push(TimedTransition { at_us, transition });
        }
    }
    Simulation {
        transitions,
        time_at_level_us,
    }
}

fn write_simulation(
    levels: &ServiceLevels,
    simulation: &Simulation,
    span_us: i64,
    output: &mut impl Write,
) -> std::io::Result<()> {
    for timed in &simulation.transitions {
        let record = chutegrade_overload_control::transition_record(&timed.transition);
        let line = printable(&text::line(&record));
        writeln!(output, "  {} {line}", text::time_of_day(timed.at_us))?;
    }
    let count = simulation.transitions.len();
    let hours = (span_us as f64 / US_PER_HOUR).max(MIN_HOURS);
    let per_hour = count as f64 / hours;
    let shares = level_shares(levels, simulation, span_us).join(", ");
    writeln!(
        output,
        "  {count} changes, {per_hour:.1} per hour; {shares}"
    )
}

/// Formats the share of time at each level, in percent.
fn level_shares(levels: &ServiceLevels, simulation: &Simulation, span_us: i64) -> Vec<String> {
    let span_us = span_us.max(1) as f64;
    simulation
        .time_at_level_us
        .iter()
        .map(|(number, time_us)| {
            let name = levels.name(*number);
            let percent = 100.0 * *time_us as f64 / span_us;
            format!("{name} {percent:.1} %")
        })
        .collect()
}
