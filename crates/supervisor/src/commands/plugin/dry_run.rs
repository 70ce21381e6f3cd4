//! `plugin run`: evaluates plug-ins on a recorded fleet, once for each second, and prints their advice without applying
//! it.

use std::io::Write;

use chutegrade_engine::{Micros, PluginAdvice};
use chutegrade_plugin_advisor::{advice_by_name, inputs_from_records};
use chutegrade_plugins::host::{Evaluation, Host, PluginEvent, RejectedPlugin};
use chutegrade_plugins::Inputs;
use chutegrade_records::index::Query;
use chutegrade_records::replay::{FleetState, LOOKBACK_US};
use chutegrade_records::text::{self, printable};
use chutegrade_records::timeline::Timeline;

use super::recorded_fleet::replay;
use crate::commands::arguments::DryRunArguments;
use crate::commands::files::read_plugins;
use crate::commands::time_window::resolve_time;
use crate::commands::CommandError;

/// Time between two evaluations, in microseconds.
const EVALUATION_INTERVAL_US: i64 = 1_000_000;

/// Evaluates the plug-ins at each second and writes the results.
///
/// # Errors
///
/// If a plug-in or records cannot be read, the time cannot be parsed, or the server to trace is not recorded.
pub fn run(arguments: &DryRunArguments, output: &mut impl Write) -> Result<(), CommandError> {
    let mut host = load_host(arguments)?;
    let timeline = Timeline::open(std::slice::from_ref(&arguments.records))?;
    let start_us = resolve_time(&timeline, arguments.at.as_deref())?;
    for evaluation in 0..i64::from(arguments.turns) {
        let now_us = start_us.saturating_add(evaluation * EVALUATION_INTERVAL_US);
        let fleet = fleet_at(&timeline, now_us);
        let inputs = inputs_from_records(&fleet, &zones(&fleet));
        check_traced_server(arguments.trace.as_deref(), &fleet, now_us)?;
        let result = host.evaluate(&inputs);
        write_evaluation(now_us, &inputs, &result, output)?;
    }
    Ok(())
}

fn load_host(arguments: &DryRunArguments) -> Result<Host, CommandError> {
    let mut host = Host::default();
    if let Some(server) = &arguments.trace {
        host.trace_server(server);
    }
    host.load(&read_plugins(&arguments.files)?)
        .map_err(|rejected| load_error(&rejected))?;
    Ok(host)
}

fn load_error(rejected: &[RejectedPlugin]) -> CommandError {
    let Some(plugin) = rejected.first() else {
        return CommandError::PluginsNotLoaded;
    };
    let diagnostic = plugin.diagnostics.first().map(ToString::to_string);
    CommandError::PluginRejected {
        file: plugin.name.clone(),
        diagnostic: diagnostic.unwrap_or_default(),
    }
}

fn fleet_at(timeline: &Timeline, now_us: i64) -> FleetState {
    let query = Query::between(now_us.saturating_sub(LOOKBACK_US), now_us);
    let (events, _) = timeline.read(&query);
    replay(&events)
}

/// Returns the zones of all servers, sorted and without duplicates.
fn zones(fleet: &FleetState) -> Vec<String> {
    let servers = fleet.servers.values();
    let mut zones: Vec<String> = servers.map(|server| server.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

fn check_traced_server(
    traced: Option<&str>,
    fleet: &FleetState,
    now_us: i64,
) -> Result<(), CommandError> {
    match traced {
        Some(server) if !fleet.servers.contains_key(server) => {
            Err(CommandError::TracedServerUnknown {
                server: server.to_string(),
                at: text::time(now_us),
            })
        }
        _ => Ok(()),
    }
}

fn write_evaluation(
    now_us: i64,
    inputs: &Inputs,
    result: &Evaluation,
    output: &mut impl Write,
) -> std::io::Result<()> {
    let server_count = inputs.servers.len();
    writeln!(output, "{} {server_count} servers", text::time(now_us))?;
    write_advice(
        &advice_by_name(&result.advice, inputs, Micros(now_us)),
        output,
    )?;
    write_exclusions(inputs, result, output)?;
    write_traces(result, output)?;
    write_events(result, output)
}

fn write_advice(advice: &PluginAdvice, output: &mut impl Write) -> std::io::Result<()> {
    for advised in &advice.factors {
        let server = printable(&advised.server);
        let percent = 100.0 * advised.factor;
        let class = advised.class.as_deref().unwrap_or("all classes");
        let zone = &advised.zone;
        writeln!(
            output,
            "  {server} keeps {percent:.0} % for {class} from {zone}"
        )?;
    }
    for cap in &advice.caps {
        let percent = 100.0 * cap.share;
        writeln!(output, "  {} is capped at {percent:.0} %", cap.class)?;
    }
    for class in &advice.no_retry {
        writeln!(output, "  {class} is not retried")?;
    }
    Ok(())
}

fn write_exclusions(
    inputs: &Inputs,
    result: &Evaluation,
    output: &mut impl Write,
) -> std::io::Result<()> {
    for (position, (reason, seconds)) in &result.advice.excluded {
        let server = inputs.servers.get(*position as usize);
        let name = server.map_or("", |server| &*server.name);
        let (name, reason) = (printable(name), printable(reason));
        writeln!(output, "  {name} is excluded for {seconds} s: {reason}")?;
    }
    Ok(())
}

fn write_traces(result: &Evaluation, output: &mut impl Write) -> std::io::Result<()> {
    for (plugin, lines) in &result.traces {
        for line in lines {
            writeln!(output, "  {plugin} | {}", printable(line))?;
        }
    }
    for (plugin, operations) in &result.fuel_used {
        writeln!(output, "  {plugin} used {operations} operations")?;
    }
    Ok(())
}

fn write_events(result: &Evaluation, output: &mut impl Write) -> std::io::Result<()> {
    for (plugin, event) in &result.events {
        let text = printable(&event_text(event));
        writeln!(output, "  {plugin} {text}")?;
    }
    Ok(())
}

fn event_text(event: &PluginEvent) -> String {
    match event {
        PluginEvent::AdviceStarted(text, line) => {
            format!("advises, by line {line}: {text}")
        }
        PluginEvent::AdviceEnded(text) => format!("ends its advice: {text}"),
        PluginEvent::Noted(text) => format!("notes: {text}"),
        PluginEvent::Faulted(fault) => format!("faulted: {fault}"),
        PluginEvent::Suspended(evaluations) => {
            format!("is paused for {evaluations} evaluations after faults")
        }
        PluginEvent::Conflicted(text) => format!("conflicts: {text}"),
    }
}
