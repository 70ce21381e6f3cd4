//! The table of events, with the gaps between them.

use chutegrade_records::{kind, text, Event, Gap, Kind};
use maud::{html, Markup};

use crate::findings::Findings;

/// Minimum delay between an event and its record that is shown, in microseconds.
const MIN_SHOWN_DELAY_US: i64 = 100_000;

/// Returns the section that lists events and gaps by time.
pub(super) fn events(findings: &Findings) -> Markup {
    let mut gaps = findings.gaps.iter().peekable();
    html! {
        section {
            h2 { "Events, by time of occurrence" }
            (omitted(findings))
            table.events {
                thead { tr { th { "time" } th { "learned" } th { "supervisor" } th { "kind" } th { "what" } } }
                tbody {
                    @for event in &findings.events {
                        @while let Some(gap) = gaps.next_if(|gap| gap.from_us <= event.at_us) { (gap_row(gap)) }
                        (event_row(event))
                    }
                    @for gap in gaps { (gap_row(gap)) }
                }
            }
        }
    }
}

fn omitted(findings: &Findings) -> Markup {
    let mut counts = Vec::new();
    for (kind, count) in &findings.omitted {
        counts.push(format!("{count} {kind}"));
    }
    html! {
        @if !counts.is_empty() {
            p.notice { "Left out to limit the size of this page: " (counts.join(", ")) ". The records contain all of them; see the end of this page." }
        }
    }
}

fn event_row(event: &Event) -> Markup {
    let delay_us = event.learned_us().saturating_sub(event.at_us);
    html! {
        tr class=(row_class(event)) {
            td { (text::time_of_day(event.at_us)) }
            td.number { @if delay_us >= MIN_SHOWN_DELAY_US { "+" (text::duration(delay_us)) } }
            td { (event.supervisor) }
            td { (kind::name(event.number)) }
            td { (event.line()) }
        }
    }
}

/// Returns the CSS class of an event's row. `newer` is an event of a kind that this version does not know.
fn row_class(event: &Event) -> &'static str {
    match &event.record.kind {
        None => "newer",
        Some(Kind::Started(_) | Kind::Stopped(_) | Kind::Recovered(_)) => "mark",
        Some(known) if kind::is_fault(known) => "trouble",
        Some(_) => "plain",
    }
}

fn gap_row(gap: &Gap) -> Markup {
    html! {
        tr.gap {
            td { (text::time_of_day(gap.from_us)) }
            td {}
            td { (gap.supervisor) }
            td { "gap" }
            td { (gap.line()) }
        }
    }
}
