//! The sections with charts.

use chutegrade_records::incidents::{ObservedServer, ServerHistory, ServerStatus, Span};
use maud::{html, Markup};

use crate::chart::{level_chart, server_chart, Axis, LevelRow, Line, LineChart, ServerRow};
use crate::findings::Findings;
use crate::samples::Bucket;

/// The states in the legend of the chart of servers.
const LEGEND: [ServerStatus; 5] = [
    ServerStatus::Full,
    ServerStatus::Reduced,
    ServerStatus::Withdrawn,
    ServerStatus::Draining,
    ServerStatus::WarmingUp,
];

/// Returns the sections with charts of servers, of service levels if any are recorded, and of samples.
pub(super) fn charts(findings: &Findings) -> Markup {
    html! {
        (servers(findings))
        (service_levels(findings))
        (samples(findings))
    }
}

/// The rows of the chart of servers, as far as the limit allows.
struct ServerRows<'a> {
    rows: Vec<ServerRow<'a>>,
    /// Number of rows left out because the server was full as far as is known.
    full: usize,
    /// Number of rows left out because of the limit.
    hidden: usize,
}

impl<'a> ServerRows<'a> {
    fn new(findings: &'a Findings) -> Self {
        let mut rows = Vec::new();
        let mut full = 0;
        for (ObservedServer { supervisor, server }, ServerHistory { spans, .. }) in
            &findings.reconstruction.server_histories
        {
            if spans.iter().all(is_full_or_unknown) {
                full += 1;
            } else {
                rows.push(ServerRow {
                    server,
                    supervisor,
                    spans,
                });
            }
        }
        rows.sort_by_key(|row| (row.server, row.supervisor));
        let hidden = rows.len().saturating_sub(findings.limits.servers);
        rows.truncate(findings.limits.servers);
        ServerRows { rows, full, hidden }
    }
}

fn is_full_or_unknown(span: &Span) -> bool {
    matches!(span.status, ServerStatus::Full | ServerStatus::Unknown)
}

fn servers(findings: &Findings) -> Markup {
    let ServerRows { rows, full, hidden } = ServerRows::new(findings);
    let axis = Axis::new(findings.window);
    html! {
        section {
            h2 { "Servers" }
            @if rows.is_empty() { p { "All servers were full throughout, as far as is known." } }
            @else { (server_chart(axis, &rows, &findings.gaps)) }
            p.legend {
                @for state in LEGEND {
                    span { i class=(format!("key {}", state.as_str())) {} (state.as_str()) }
                }
                span { i class="key hatched" {} "not known" }
            }
            @if full > 0 { p.note { (full) " rows of servers that were full throughout are left out." } }
            @if hidden > 0 { p.note { (hidden) " more rows do not fit; `chutegrade records list` has them." } }
        }
    }
}

fn service_levels(findings: &Findings) -> Markup {
    let axis = Axis::new(findings.window);
    let mut rows = Vec::new();
    for supervisor in &findings.supervisors {
        rows.push(LevelRow {
            supervisor: &supervisor.name,
            spans: findings.samples.service_levels(&supervisor.name),
        });
    }
    let has_levels = rows.iter().any(|row| !row.spans.is_empty());
    html! {
        @if has_levels {
            section {
                h2 { "Levels of service" }
                (level_chart(axis, &rows, &findings.gaps))
                p.note { "A thin line is full service. Each change is listed in the events with its condition and signals." }
            }
        }
    }
}

fn samples(findings: &Findings) -> Markup {
    let out = lines(findings, "out", |bucket| f64::from(bucket.out));
    let refused = lines(findings, "refused", |bucket| bucket.refused);
    let admitted = admitted_lines(findings);
    let waiting = lines(findings, "waiting", |bucket| bucket.waiting);
    let streams = lines(findings, "streams", |bucket| f64::from(bucket.streams));
    let supervisors = findings.supervisors.iter();
    let names: Vec<&str> = supervisors.map(|supervisor| &*supervisor.name).collect();
    let draw = |title: &str, lines: &[Line], max: Option<f64>| {
        let chart = LineChart {
            axis: Axis::new(findings.window),
            title,
            lines,
            supervisors: &names,
            max,
            gaps: &findings.gaps,
        };
        chart.draw()
    };
    html! {
        section {
            h2 { "Figures" }
            (draw("servers reduced or withdrawn", &out, None))
            (draw("share of requests refused", &refused, Some(1.0)))
            @if !admitted.is_empty() { (draw("lowest level by class", &admitted, Some(1.0))) }
            (draw("lines waiting in the channel", &waiting, None))
            (draw("streams of proxies", &streams, None))
        }
    }
}

/// Returns a line for each supervisor.
fn lines(findings: &Findings, label: &str, value: impl Fn(&Bucket) -> f64) -> Vec<Line> {
    let mut lines = Vec::new();
    for supervisor in &findings.supervisors {
        lines.push(Line {
            label: label.to_string(),
            supervisor: supervisor.name.to_string(),
            runs: findings.samples.runs(&supervisor.name, &value),
        });
    }
    lines
}

/// Returns a line with the lowest admitted share for each class and supervisor.
fn admitted_lines(findings: &Findings) -> Vec<Line> {
    let mut admitted = Vec::new();
    for (index, class) in findings.classes.iter().enumerate() {
        let level = |bucket: &Bucket| bucket.levels.get(index).copied().unwrap_or(1.0);
        admitted.extend(lines(findings, class, level));
    }
    admitted
}
