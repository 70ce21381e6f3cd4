//! The page: a summary, charts, gaps and events.

mod charts;
mod events;
mod gaps;
mod summary;

use chutegrade_records::{text, Window};
use maud::{html, Markup, PreEscaped, DOCTYPE};

use crate::findings::Findings;

const STYLE: &str = include_str!("page.css");
/// Length of the date at the start of a formatted time, in bytes.
const DATE_LENGTH: usize = 10;
/// Length of a time of day without fractions of a second, in bytes.
const SHORT_TIME_LENGTH: usize = 8;

/// Renders the complete page.
pub(crate) fn page(findings: &Findings) -> Markup {
    let title = title(findings.window);
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
                (hatch_pattern())
                header {
                    p.over { "chutegrade · incident report from the records of the supervisors" }
                    h1 { (title) " " small { "UTC" } }
                }
                main {
                    section { h2 { "What happened" } (summary::summary(findings)) }
                    (charts::charts(findings))
                    (gaps::gaps(&findings.gaps))
                    (events::events(findings))
                }
                footer { (footer(findings)) }
            }
        }
    }
}

fn title(window: Window) -> String {
    let start = text::time(window.from_us);
    let date = start.get(..DATE_LENGTH).unwrap_or_default();
    let from = short_time(window.from_us);
    let to = short_time(window.to_us);
    format!("{date} {from} to {to}")
}

/// Formats the time of day to the second.
fn short_time(at_us: i64) -> String {
    let time = text::time_of_day(at_us);
    time.get(..SHORT_TIME_LENGTH)
        .unwrap_or_default()
        .to_string()
}

/// Returns the SVG pattern for gaps, which all charts reference.
fn hatch_pattern() -> Markup {
    html! {
        svg.defs width="0" height="0" aria-hidden="true" {
            defs {
                pattern id="hatching" width="6" height="6" patternUnits="userSpaceOnUse" patternTransform="rotate(45)" {
                    rect.hatch-background width="6" height="6" {}
                    line.hatch-line x1="0" y1="0" x2="0" y2="6" {}
                }
            }
        }
    }
}

fn footer(findings: &Findings) -> Markup {
    let Window { from_us, to_us } = findings.window;
    let mut versions = Vec::new();
    for (supervisor, version) in &findings.versions {
        versions.push(format!("{supervisor} {version}"));
    }
    html! {
        p {
            (findings.records) " records of " (findings.supervisors.len()) " supervisors ("
            (versions.join(", ")) "). All of them, as JSON lines or a table:"
        }
        pre { "chutegrade records export DIR --from " (text::time(from_us)) " --to " (text::time(to_us)) " --all --format jsonl" }
        p { "Times are in UTC and are those at which events occurred; “learned” is the delay until the supervisor observed them." }
    }
}
