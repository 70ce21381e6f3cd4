//! `levels explain`: shows the level in force at a given time, and how far each condition was from being met.

use std::io::Write;

use chutegrade_limits::condition::{ConditionState, TestStatus};
use chutegrade_limits::service_levels::FULL_SERVICE;
use chutegrade_limits::transitions::{ConditionStatus, LevelTransitions};
use chutegrade_limits::{ServiceLevels, SignalWindow};
use chutegrade_records::index::Query;
use chutegrade_records::pb;
use chutegrade_records::text::{self, duration, printable, short_decimal};
use chutegrade_records::timeline::{Event, Supervisor, Timeline};

use super::recorded::{metrics_of, observe, RecordedMetrics};
use super::source::load;
use crate::commands::arguments::ExplainLevelArguments;
use crate::commands::time_window::resolve_time;
use crate::commands::CommandError;

/// How far back signals are read, in microseconds: more than twice the maximum `for_s` of a condition, which is 30 s.
const LOOK_BACK_US: i64 = 70_000_000;

/// Explains the level in force at each supervisor.
///
/// # Errors
///
/// If records or the levels cannot be read, the time cannot be parsed, or no supervisor recorded metrics up to it.
pub fn run(arguments: &ExplainLevelArguments, output: &mut impl Write) -> Result<(), CommandError> {
    let timeline = Timeline::open(&arguments.directories)?;
    let at_us = resolve_time(&timeline, arguments.at.as_deref())?;
    let levels = load(&arguments.source)?;
    let (events, _) = timeline.read(&Query::between(at_us.saturating_sub(LOOK_BACK_US), at_us));
    let mut has_metrics = false;
    for supervisor in &timeline.supervisors {
        has_metrics |= explain_supervisor(&levels, supervisor, &events, output)?;
    }
    if !has_metrics {
        return Err(CommandError::NoMetricsBefore(text::time(at_us)));
    }
    Ok(())
}

/// Explains the level of one supervisor from its metrics. Returns whether it recorded any.
fn explain_supervisor(
    levels: &ServiceLevels,
    supervisor: &Supervisor,
    events: &[Event],
    output: &mut impl Write,
) -> std::io::Result<bool> {
    let metrics = metrics_of(events, &supervisor.name);
    let Some(last) = metrics.last() else {
        return Ok(false);
    };
    let level = level_in_force(last.gauge);
    let name = printable(&supervisor.name);
    let duration = time_in_force(last);
    writeln!(output, "{name}: {} is in force{duration}", printable(level))?;
    let mut transitions = LevelTransitions::new(levels.clone());
    if !transitions.resume(level, last.gauge.level_since_us) {
        writeln!(
            output,
            "  the given service levels have no level of this name"
        )?;
        return Ok(true);
    }
    let mut window = SignalWindow::default();
    for moment in &metrics {
        observe(&mut window, moment);
    }
    for status in transitions.explain(last.at_us, &window) {
        write_condition(&status, output)?;
    }
    Ok(true)
}

fn level_in_force(gauge: &pb::Gauge) -> &str {
    gauge.service_level.as_deref().unwrap_or(FULL_SERVICE)
}

/// Formats how long the level has been in force; empty if that was not recorded.
fn time_in_force(metrics: &RecordedMetrics) -> String {
    let since_us = metrics.gauge.level_since_us;
    if since_us <= 0 {
        return String::new();
    }
    format!(", for {}", duration(metrics.at_us.saturating_sub(since_us)))
}

fn write_condition(status: &ConditionStatus, output: &mut impl Write) -> std::io::Result<()> {
    let direction = if status.is_escalation {
        "up to"
    } else {
        "down to"
    };
    let level = printable(&status.to);
    let condition = &status.condition;
    let state = match status.state {
        ConditionState::Met => "holds",
        ConditionState::NotMet => "does not hold",
        ConditionState::Unknown => "is unknown",
    };
    let min_duration = if status.remaining_duration_us > 0 {
        format!(
            "; the level stays in force for at least {} more",
            duration(status.remaining_duration_us)
        )
    } else {
        String::new()
    };
    writeln!(
        output,
        "  {direction} {level}: {condition} {state}{min_duration}"
    )?;
    for test_status in &status.tests {
        write_test_status(test_status, output)?;
    }
    Ok(())
}

fn write_test_status(status: &TestStatus, output: &mut impl Write) -> std::io::Result<()> {
    let test = &status.test;
    let signal = test.signal.name();
    let value = status.newest.map_or_else(
        || "unknown".to_string(),
        |observation| short_decimal(observation.value),
    );
    let distance = match status.shortfall {
        None => "its signal is missing".to_string(),
        Some(short) if short > 0.0 => format!("{} short of it", short_decimal(short)),
        Some(_) if status.remaining_hold_us > 0 => {
            format!(
                "met, must stay met for {} more",
                duration(status.remaining_hold_us)
            )
        }
        Some(_) => "met".to_string(),
    };
    writeln!(output, "      {test}: {signal} is {value}, {distance}")
}
