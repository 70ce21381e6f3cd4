//! The page: sentences first, then charts, gaps, and every event.

use std::collections::BTreeSet;

use chutegrade_records::incidents::{
    Incident, ObservedServer, Reconstruction, ServerHistory, ServerStatus,
};
use chutegrade_records::{kind, text, Event, Gap, Kind, Window};
use maud::{html, Markup, PreEscaped, DOCTYPE};

use crate::chart::{self, Axis, Line, Row};
use crate::gather::{Column, Findings};

const STYLE: &str = include_str!("page.css");
/// Names in a sentence at most; the rest are counted.
const NAMES_MOST: usize = 6;
/// A difference between event and knowledge of it that is shown, in microseconds.
const LATE_LEAST_US: i64 = 100_000;

/// The whole page.
pub fn page(found: &Findings) -> Markup {
    let Window { from_us, to_us } = found.window;
    let day = text::time(from_us)
        .get(..10)
        .unwrap_or_default()
        .to_string();
    let title = format!("{day} {} to {}", short(from_us), short(to_us));
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                meta name="color-scheme" content="light dark";
                title { "chutegrade: " (title) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                (hatching())
                header {
                    p.over { "chutegrade · course of events, from the supervisors' own records" }
                    h1 { (title) " " small { "UTC" } }
                }
                main {
                    section { h2 { "What happened" } (summary(found)) }
                    (charts(found))
                    (gaps(found))
                    (events(found))
                }
                footer { (footer(found)) }
            }
        }
    }
}

fn short(us: i64) -> String {
    text::clock(us).get(..8).unwrap_or_default().to_string()
}

/// The pattern that marks what is not known, once for all charts.
fn hatching() -> Markup {
    html! {
        svg.defs width="0" height="0" aria-hidden="true" {
            defs {
                pattern id="hatching" width="6" height="6" patternUnits="userSpaceOnUse" patternTransform="rotate(45)" {
                    rect.hatchback width="6" height="6" {}
                    line.hatchline x1="0" y1="0" x2="0" y2="6" {}
                }
            }
        }
    }
}

/// Names in a sentence.
fn names<'a>(all: impl IntoIterator<Item = &'a str>) -> String {
    let all: Vec<&str> = all.into_iter().collect();
    let shown = all
        .iter()
        .take(NAMES_MOST)
        .copied()
        .collect::<Vec<_>>()
        .join(", ");
    match all.len().saturating_sub(NAMES_MOST) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}

fn percent(share: f64) -> String {
    format!("{:.0} %", 100.0 * share)
}

fn summary(found: &Findings) -> Markup {
    let incidents = &found.incidents;
    html! {
        @match incidents.incidents.len() {
            0 => p { "No trouble was recorded: no server lost weight, nothing was refused, and no supervisor was away." }
            1 => {}
            more => p { (more) " stretches of trouble lie in this time." }
        }
        @for (number, incident) in incidents.incidents.iter().enumerate() {
            (one(number, incident, found.window))
        }
        (extremes(incidents))
        @if !incidents.drains.is_empty() {
            p { "The list took out " (names(incidents.drains.iter().map(|drain| drain.server.as_str()))) ", as drains that were meant." }
        }
        @if !incidents.ended_streams.is_empty() {
            @let ended: Vec<String> = incidents.ended_streams.iter().map(|(why, count)| format!("{count} {why}")).collect();
            p { "Streams that ended: " (ended.join(", ")) "." }
        }
        @match found.gaps.len() {
            0 => p { "The records have no gap." }
            1 => p.mind { "One interval is not fully known; it is hatched in the charts and listed below." }
            more => p.mind { (more) " intervals are not fully known; they are hatched in the charts and listed below." }
        }
        @for (name, ahead_us, by) in found.supervisors.iter().filter(|clock| clock.1 != 0) {
            p.mind {
                "The clock of " (name) " was " (text::length(ahead_us.abs())) (if *ahead_us > 0 { " ahead" } else { " behind" })
                ", by " (by) " pieces of news that all supervisors learn alike; its times are put right here."
            }
        }
    }
}

fn one(number: usize, incident: &Incident, window: Window) -> Markup {
    let kinds: BTreeSet<String> = incident
        .faults
        .iter()
        .map(|begin| begin.fault.line())
        .collect();
    html! {
        p {
            @if incident.from_us < window.from_us { "Trouble had begun before, at " } @else { "Trouble began at " }
            b { (text::clock(incident.from_us)) }
            @if number > 0 { " again" }
            ". First was: " (incident.first_event) ". "
            "In all: " (names(kinds.iter().map(String::as_str))) ". "
            @if incident.withdrawn.is_empty() { "No server was shut out for its failures. " }
            @else { "Shut out for a time: " b { (names(incident.withdrawn.iter().map(String::as_str))) } ". " }
            @match incident.ended_us {
                Some(over) => { "It was over at " b { (text::clock(over)) } ", after " (text::length(over - incident.from_us)) "." }
                None => b { "It was not over at the end of this time." }
            }
        }
    }
}

fn extremes(incidents: &Reconstruction) -> Markup {
    let lowered = incidents
        .lowest_levels
        .iter()
        .filter(|(_, lowest)| lowest.value < 1.0);
    let lowered: Vec<String> = lowered
        .map(|(class, lowest)| {
            let (level, time) = (percent(lowest.value), short(lowest.at_us));
            format!("{class} to {level} at {time} ({})", lowest.supervisor)
        })
        .collect();
    html! {
        @if let Some(refused) = &incidents.most_refused {
            p { "At most " b { (percent(refused.value)) } " of all requests were refused, at " (short(refused.at_us)) " (" (refused.supervisor) ")." }
        }
        @if lowered.is_empty() { p { "No level fell." } } @else { p { "Levels fell: " (lowered.join(", ")) "." } }
        @if let Some(waiting) = incidents.most_waiting.as_ref().filter(|waiting| waiting.value > 0.0) {
            p { "At most " (format!("{:.0}", waiting.value)) " lines waited in a channel, at " (short(waiting.at_us)) " (" (waiting.supervisor) ")." }
        }
    }
}

/// Lines of one figure, a line a supervisor.
fn by_supervisor(
    found: &Findings,
    label: &str,
    figure: impl Fn(&Column) -> f64 + Copy,
) -> Vec<Line> {
    let line = |(name, _, _): &(std::sync::Arc<str>, i64, usize)| Line {
        label: label.to_string(),
        supervisor: name.to_string(),
        runs: found.columns.runs(name, found.window, figure),
    };
    found.supervisors.iter().map(line).collect()
}

fn charts(found: &Findings) -> Markup {
    let axis = Axis::new(found.window);
    let names: Vec<&str> = found
        .supervisors
        .iter()
        .map(|(name, _, _)| &**name)
        .collect();
    let mut rows = Vec::new();
    let mut full = 0;
    for (ObservedServer { supervisor, server }, ServerHistory { spans, .. }) in
        &found.incidents.server_histories
    {
        if spans
            .iter()
            .all(|span| matches!(span.status, ServerStatus::Full | ServerStatus::Unknown))
        {
            full += 1;
        } else {
            rows.push(Row {
                label: server,
                supervisor,
                spans,
            });
        }
    }
    rows.sort_by(|a, b| (a.label, a.supervisor).cmp(&(b.label, b.supervisor)));
    let hidden = rows.len().saturating_sub(found.limits.servers);
    rows.truncate(found.limits.servers);
    let levels: Vec<Line> = found
        .classes
        .iter()
        .enumerate()
        .flat_map(|(at, class)| {
            by_supervisor(found, class, move |c| {
                c.levels.get(at).copied().unwrap_or(1.0)
            })
        })
        .collect();
    let bands: Vec<(&str, Vec<crate::gather::Served>)> = names
        .iter()
        .map(|name| (*name, found.columns.served(name, found.window)))
        .collect();
    let draw = |title: &str, lines: &[Line], most| {
        chart::lines(axis, title, lines, &names, most, &found.gaps)
    };
    html! {
        section {
            h2 { "Servers" }
            @if rows.is_empty() { p { "Every server was full all the time, as far as is known." } }
            @else { (chart::servers(axis, &rows, &found.gaps)) }
            p.legend {
                @for status in [ServerStatus::Full, ServerStatus::Reduced, ServerStatus::Withdrawn, ServerStatus::Draining, ServerStatus::Cold] {
                    span { i class=(format!("key {}", status.as_str())) {} (status.as_str()) }
                }
                span { i class="key hatched" {} "not known" }
            }
            @if full > 0 { p.note { (full) " rows of servers that were full all the time are left out." } }
            @if hidden > 0 { p.note { (hidden) " more rows do not fit; `chutegrade records list` has them." } }
        }
        @if bands.iter().any(|(_, served)| !served.is_empty()) {
            section {
                h2 { "Levels of service" }
                (chart::bands(axis, &bands, &found.gaps))
                p.note { "A thin line is full service; each change stands among the events, with its condition and what signals showed." }
            }
        }
        section {
            h2 { "Figures" }
            (draw("servers reduced or withdrawn", &by_supervisor(found, "out", |c| f64::from(c.out)), None))
            (draw("share of requests refused", &by_supervisor(found, "refused", |c| c.refused), Some(1.0)))
            @if !levels.is_empty() { (draw("lowest level by class", &levels, Some(1.0))) }
            (draw("lines waiting in the channel", &by_supervisor(found, "waiting", |c| c.waiting), None))
            (draw("streams of front ends", &by_supervisor(found, "streams", |c| f64::from(c.streams)), None))
        }
    }
}

fn gaps(found: &Findings) -> Markup {
    let row = |gap: &Gap| {
        html! {
            tr {
                td { (text::clock(gap.from_us)) }
                td { (text::clock(gap.to_us)) }
                td.number { (text::length(gap.to_us.saturating_sub(gap.from_us))) }
                td { (gap.supervisor) }
                td { (gap.reason.word()) }
                td { @if gap.missing > 0 { (gap.missing) " records missing. " } (gap.detail) }
            }
        }
    };
    html! {
        section {
            h2 { "What is not known" }
            @if found.gaps.is_empty() { p { "Nothing is missing." } }
            @else {
                table {
                    thead { tr { th { "from" } th { "to" } th { "length" } th { "supervisor" } th { "reason" } th { "what more is known" } } }
                    tbody { @for gap in &found.gaps { (row(gap)) } }
                }
            }
        }
    }
}

/// What a row's colour tells.
fn severity(event: &Event) -> &'static str {
    match &event.record.kind {
        None => "newer",
        Some(Kind::Started(_) | Kind::Stopped(_) | Kind::Recovered(_)) => "mark",
        Some(known) if kind::is_trouble(known) => "trouble",
        Some(_) => "plain",
    }
}

fn events(found: &Findings) -> Markup {
    let row = |event: &Event| {
        let late = event.learned_us().saturating_sub(event.at_us);
        html! {
            tr class=(severity(event)) {
                td { (text::clock(event.at_us)) }
                td.number { @if late >= LATE_LEAST_US { "+" (text::length(late)) } }
                td { (event.supervisor) }
                td { (kind::name(event.number)) }
                td { (event.line()) }
            }
        }
    };
    let gap = |gap: &Gap| {
        html! {
            tr.gap {
                td { (text::clock(gap.from_us)) }
                td {}
                td { (gap.supervisor) }
                td { "gap" }
                td { (gap.line()) }
            }
        }
    };
    let mut gaps = found.gaps.iter().peekable();
    html! {
        section {
            h2 { "Every event, in true order" }
            @if !found.left_out.is_empty() {
                @let left: Vec<String> = found.left_out.iter().map(|(kind, count)| format!("{count} {kind}")).collect();
                p.mind { "Left out, for a page that opens: " (left.join(", ")) ". The records themselves have all of them; see the end of this page." }
            }
            table.events {
                thead { tr { th { "time" } th { "learned" } th { "supervisor" } th { "kind" } th { "what" } } }
                tbody {
                    @for event in &found.events {
                        @while let Some(before) = gaps.next_if(|gap| gap.from_us <= event.at_us) { (gap(before)) }
                        (row(event))
                    }
                    @for rest in gaps { (gap(rest)) }
                }
            }
        }
    }
}

fn footer(found: &Findings) -> Markup {
    let Window { from_us, to_us } = found.window;
    let versions = found
        .versions
        .iter()
        .map(|(name, version)| format!("{name} {version}"));
    html! {
        p {
            (found.records) " records of " (found.supervisors.len()) " supervisors ("
            (versions.collect::<Vec<_>>().join(", ")) "). All of them, as JSON lines or a table:"
        }
        pre { "chutegrade records export DIR --from " (text::time(from_us)) " --to " (text::time(to_us)) " --all --format jsonl" }
        p { "Times are those of the event, UTC; “learned” is how much later the supervisor knew." }
    }
}
