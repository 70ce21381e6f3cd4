//! `plugin explain`: explains the weight of a server from the records of each supervisor.

use std::collections::BTreeSet;
use std::io::Write;

use chutegrade_records::index::Query;
use chutegrade_records::replay::ServerState;
use chutegrade_records::text::printable;
use chutegrade_records::timeline::{Event, Timeline};
use chutegrade_records::{kind, pb, text, Kind};

use super::recorded_fleet::replay;
use crate::commands::arguments::ExplainServerArguments;
use crate::commands::time_window::resolve_time;
use crate::commands::CommandError;

/// How far back records are read for advice that is still in force, in microseconds: 24 hours.
const LOOK_BACK_US: i64 = 86_400_000_000;

/// Explains the server as each supervisor recorded it.
///
/// # Errors
///
/// If records cannot be read, the time cannot be parsed, or no supervisor has a record of the server.
pub fn run(
    arguments: &ExplainServerArguments,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let timeline = Timeline::open(&arguments.directories)?;
    let at_us = resolve_time(&timeline, arguments.at.as_deref())?;
    let (events, _) = timeline.read(&Query::between(at_us.saturating_sub(LOOK_BACK_US), at_us));
    let mut is_recorded = false;
    for supervisor in &timeline.supervisors {
        let own_events: Vec<&Event> = events
            .iter()
            .filter(|event| event.supervisor == supervisor.name)
            .collect();
        let fleet = replay(own_events.iter().copied());
        let Some(status) = fleet.servers.get(&arguments.server) else {
            continue;
        };
        is_recorded = true;
        write_status(&supervisor.name, &arguments.server, status, output)?;
        write_causes(&own_events, &arguments.server, output)?;
    }
    if !is_recorded {
        return Err(CommandError::ServerNotRecorded {
            server: arguments.server.clone(),
            at: text::time(at_us),
        });
    }
    Ok(())
}

fn write_status(
    supervisor: &str,
    name: &str,
    status: &ServerState,
    output: &mut impl Write,
) -> std::io::Result<()> {
    let (supervisor, name) = (printable(supervisor), printable(name));
    let (lifecycle, state) = (text::lifecycle(status.lifecycle), text::state(status.state));
    write!(output, "{supervisor}: {name} is {lifecycle}, {state}: ")?;
    write!(
        output,
        "score {:.2}, errors {:.2}, latency {:.2}, weight {:.2}, warmth {:.0} %",
        status.score,
        status.errors,
        status.latency,
        status.weight,
        100.0 * status.warmth,
    )?;
    let suspended = if status.is_suspended {
        ", excluded from all tables"
    } else {
        ""
    };
    writeln!(output, "{suspended}")
}

/// Writes the last event about the server, the advice of plug-ins on it, and the tables for which advice is void.
fn write_causes(events: &[&Event], server: &str, output: &mut impl Write) -> std::io::Result<()> {
    if let Some(event) = last_event_about(events, server) {
        let at = text::time(event.at_us);
        let line = printable(&event.line());
        writeln!(output, "  last: {at} {line}")?;
    }
    for advice in advice_in_force(events, server) {
        let plugin = printable(advice.plugin);
        let text = printable(advice.text);
        writeln!(output, "  plug-in {plugin}: {text}")?;
    }
    for table in tables_with_void_advice(events) {
        writeln!(
            output,
            "  advice on table {table} is void: it would leave too little capacity"
        )?;
    }
    Ok(())
}

fn last_event_about<'a>(events: &[&'a Event], server: &str) -> Option<&'a Event> {
    let mut newest_first = events.iter().rev().copied();
    newest_first.find(|event| server_of(event) == Some(server))
}

/// Returns the server that an event is about, if any.
fn server_of(event: &Event) -> Option<&str> {
    let kind = event.record.kind.as_ref()?;
    kind::server(kind)
}

/// One piece of advice from a plug-in.
struct GivenAdvice<'a> {
    plugin: &'a str,
    text: &'a str,
}

impl GivenAdvice<'_> {
    /// Compares by prefix: the text that starts advice ends with the line number of the rule, which the text that ends
    /// advice lacks.
    fn is_ended_by(&self, message: &pb::PluginSaid) -> bool {
        self.plugin == message.name && self.text.starts_with(&message.text)
    }
}

/// Returns the advice on a server that is in force. A restart of the supervisor ends all advice, a reload of a plug-in
/// ends its own.
fn advice_in_force<'a>(events: &[&'a Event], server: &str) -> Vec<GivenAdvice<'a>> {
    let server_prefix = format!("{server} ");
    let mut advice: Vec<GivenAdvice> = Vec::new();
    for event in events {
        match &event.record.kind {
            Some(Kind::Started(_)) => advice.clear(),
            Some(Kind::PluginLoaded(loaded)) => {
                advice.retain(|given| given.plugin != loaded.name);
            }
            Some(Kind::PluginSaid(message)) if message.text.starts_with(&server_prefix) => {
                apply_message(&mut advice, message);
            }
            _ => {}
        }
    }
    advice
}

fn apply_message<'a>(advice: &mut Vec<GivenAdvice<'a>>, message: &'a pb::PluginSaid) {
    match message.what.as_str() {
        "advises" => advice.push(GivenAdvice {
            plugin: &message.name,
            text: &message.text,
        }),
        "ends" => advice.retain(|given| !given.is_ended_by(message)),
        _ => {}
    }
}

fn tables_with_void_advice(events: &[&Event]) -> BTreeSet<u32> {
    let mut tables = BTreeSet::new();
    for event in events {
        match &event.record.kind {
            Some(Kind::Started(_)) => tables.clear(),
            Some(Kind::AdviceVoid(change)) if change.void => {
                tables.insert(change.table);
            }
            Some(Kind::AdviceVoid(change)) => {
                tables.remove(&change.table);
            }
            _ => {}
        }
    }
    tables
}
