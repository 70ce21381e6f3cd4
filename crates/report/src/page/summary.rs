//! The sentences that say what happened.

use std::collections::BTreeSet;

use chutegrade_records::incidents::{Incident, Reconstruction};
use chutegrade_records::{text, Window};
use maud::{html, Markup};

use super::short_time;
use crate::findings::{Findings, SupervisorClock};

/// Most names in a sentence; the others are counted.
const MAX_NAMES: usize = 6;

/// Incidents, extremes, drains, ended streams, gaps and clocks.
pub(super) fn summary(findings: &Findings) -> Markup {
    let reconstruction = &findings.reconstruction;
    html! {
        @match reconstruction.incidents.len() {
            0 => p { "No trouble was recorded: no server lost weight, nothing was refused, and no supervisor was away." }
            1 => {}
            count => p { (count) " stretches of trouble lie in this time." }
        }
        @for (index, incident) in reconstruction.incidents.iter().enumerate() {
            (incident_sentences(index, incident, findings.window))
        }
        (extremes(reconstruction))
        (ends(reconstruction))
        @match findings.gaps.len() {
            0 => p { "The records have no gap." }
            1 => p.mind { "One interval is not fully known; it is hatched in the charts and listed below." }
            count => p.mind { (count) " intervals are not fully known; they are hatched in the charts and listed below." }
        }
        @for clock in findings.supervisors.iter().filter(|clock| clock.ahead_us != 0) {
            (clock_sentence(clock))
        }
    }
}

/// The first names, and the number of the others.
fn list_names<'a>(names: impl IntoIterator<Item = &'a str>) -> String {
    let names: Vec<&str> = names.into_iter().collect();
    let shown = names.len().min(MAX_NAMES);
    let list = names[..shown].join(", ");
    match names.len() - shown {
        0 => list,
        others => format!("{list} and {others} more"),
    }
}

fn percent(share: f64) -> String {
    format!("{:.0} %", 100.0 * share)
}

fn incident_sentences(index: usize, incident: &Incident, window: Window) -> Markup {
    let faults = incident.faults.iter();
    let kinds: BTreeSet<String> = faults.map(|begin| begin.fault.line()).collect();
    html! {
        p {
            @if incident.from_us < window.from_us { "Trouble had begun before, at " } @else { "Trouble began at " }
            b { (text::time_of_day(incident.from_us)) }
            @if index > 0 { " again" }
            ". First was: " (incident.first_event) ". "
            "In all: " (list_names(kinds.iter().map(String::as_str))) ". "
            @if incident.withdrawn.is_empty() { "No server was shut out for its failures. " }
            @else { "Shut out for a time: " b { (list_names(incident.withdrawn.iter().map(String::as_str))) } ". " }
            @match incident.ended_us {
                Some(over_us) => { "It was over at " b { (text::time_of_day(over_us)) } ", after " (text::duration(over_us - incident.from_us)) "." }
                None => b { "It was not over at the end of this time." }
            }
        }
    }
}

/// The largest rejected share, the lowest levels, and the longest queue.
fn extremes(reconstruction: &Reconstruction) -> Markup {
    let lowered = lowered_levels(reconstruction);
    html! {
        @if let Some(refused) = &reconstruction.max_rejected {
            p { "At most " b { (percent(refused.value)) } " of all requests were refused, at " (short_time(refused.at_us)) " (" (refused.supervisor) ")." }
        }
        @if lowered.is_empty() { p { "No level fell." } } @else { p { "Levels fell: " (lowered.join(", ")) "." } }
        @if let Some(waiting) = reconstruction.max_waiting.as_ref().filter(|most| most.value > 0.0) {
            p { "At most " (format!("{:.0}", waiting.value)) " lines waited in a channel, at " (short_time(waiting.at_us)) " (" (waiting.supervisor) ")." }
        }
    }
}

/// The lowest level of each class that was not fully admitted.
fn lowered_levels(reconstruction: &Reconstruction) -> Vec<String> {
    let mut lowered = Vec::new();
    for (class, lowest) in &reconstruction.lowest_levels {
        if lowest.value < 1.0 {
            let level = percent(lowest.value);
            let time = short_time(lowest.at_us);
            let supervisor = &lowest.supervisor;
            lowered.push(format!("{class} to {level} at {time} ({supervisor})"));
        }
    }
    lowered
}

/// Servers that were drained, and streams that ended.
fn ends(reconstruction: &Reconstruction) -> Markup {
    let drained = reconstruction
        .drains
        .iter()
        .map(|drain| drain.server.as_str());
    let mut ended = Vec::new();
    for (reason, count) in &reconstruction.ended_streams {
        ended.push(format!("{count} {reason}"));
    }
    html! {
        @if !reconstruction.drains.is_empty() {
            p { "The list took out " (list_names(drained)) ", as drains that were meant." }
        }
        @if !ended.is_empty() {
            p { "Streams that ended: " (ended.join(", ")) "." }
        }
    }
}

fn clock_sentence(clock: &SupervisorClock) -> Markup {
    let direction = if clock.ahead_us > 0 {
        " ahead"
    } else {
        " behind"
    };
    html! {
        p.mind {
            "The clock of " (clock.name) " was " (text::duration(clock.ahead_us.abs())) (direction)
            ", by " (clock.shared_events) " pieces of news that all supervisors learn alike; its times are put right here."
        }
    }
}
