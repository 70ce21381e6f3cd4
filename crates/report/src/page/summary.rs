//! The summary of what happened, in sentences.

use std::collections::BTreeSet;

use chutegrade_records::incidents::{Incident, Reconstruction};
use chutegrade_records::{text, Window};
use maud::{html, Markup};

use super::short_time;
use crate::findings::{Findings, SupervisorClock};

/// Maximum number of names in a sentence; the others are counted.
const MAX_NAMES: usize = 6;

/// Summarizes incidents, extremes, drains, ended streams, gaps and clocks.
pub(super) fn summary(findings: &Findings) -> Markup {
    let reconstruction = &findings.reconstruction;
    html! {
        @match reconstruction.incidents.len() {
            0 => p { "No fault was recorded: no server lost weight, no request was refused, and no supervisor crashed or stalled." }
            1 => {}
            count => p { (count) " incidents overlap this interval." }
        }
        @for (index, incident) in reconstruction.incidents.iter().enumerate() {
            (incident_paragraph(index, incident, findings.window))
        }
        (extremes(reconstruction))
        (ends(reconstruction))
        @match findings.gaps.len() {
            0 => p { "The records have no gap." }
            1 => p.notice { "One interval is not fully known; it is hatched in the charts and listed below." }
            count => p.notice { (count) " intervals are not fully known; they are hatched in the charts and listed below." }
        }
        @for clock in findings.supervisors.iter().filter(|clock| clock.ahead_us != 0) {
            (clock_correction(clock))
        }
    }
}

/// Returns the first names and the number of the others.
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

fn incident_paragraph(index: usize, incident: &Incident, window: Window) -> Markup {
    let faults = incident.faults.iter();
    let kinds: BTreeSet<String> = faults.map(|begin| begin.fault.line()).collect();
    html! {
        p {
            @if incident.from_us < window.from_us { "An incident had begun before this interval, at " } @else { "An incident began at " }
            b { (text::time_of_day(incident.from_us)) }
            @if index > 0 { ", after the previous one" }
            ". First event: " (incident.first_event) ". "
            "Faults: " (list_names(kinds.iter().map(String::as_str))) ". "
            @if incident.withdrawn.is_empty() { "No server was withdrawn. " }
            @else { "Withdrawn for a time: " b { (list_names(incident.withdrawn.iter().map(String::as_str))) } ". " }
            @match incident.ended_us {
                Some(ended_us) => { "It ended at " b { (text::time_of_day(ended_us)) } ", after " (text::duration(ended_us - incident.from_us)) "." }
                None => b { "It had not ended by the end of this interval." }
            }
        }
    }
}

/// Describes the largest share of rejected requests, the lowest admission levels and the longest queue.
fn extremes(reconstruction: &Reconstruction) -> Markup {
    let lowered = lowered_levels(reconstruction);
    html! {
        @if let Some(refused) = &reconstruction.max_rejected {
            p { "At most " b { (percent(refused.value)) } " of all requests were refused, at " (short_time(refused.at_us)) " (" (refused.supervisor) ")." }
        }
        @if lowered.is_empty() { p { "No admission level fell." } } @else { p { "Admission levels fell: " (lowered.join(", ")) "." } }
        @if let Some(waiting) = reconstruction.max_waiting.as_ref().filter(|extreme| extreme.value > 0.0) {
            p { "At most " (format!("{:.0}", waiting.value)) " lines waited in a channel, at " (short_time(waiting.at_us)) " (" (waiting.supervisor) ")." }
        }
    }
}

/// Describes the lowest admission level of each class that was not fully admitted.
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

/// Describes the servers that were drained and the streams that ended.
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
            p { "Drained according to the endpoint list: " (list_names(drained)) "." }
        }
        @if !ended.is_empty() {
            p { "Streams that ended: " (ended.join(", ")) "." }
        }
    }
}

fn clock_correction(clock: &SupervisorClock) -> Markup {
    let direction = if clock.ahead_us > 0 {
        " ahead"
    } else {
        " behind"
    };
    html! {
        p.notice {
            "The clock of " (clock.name) " was " (text::duration(clock.ahead_us.abs())) (direction)
            ", according to " (clock.shared_events) " events that several supervisors recorded; its times are corrected on this page."
        }
    }
}
