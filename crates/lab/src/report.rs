//! What an experiment says: a table for the terminal, CSV, and one HTML page with charts.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use chutegrade_records::text::cell;
use maud::{html, Markup, PreEscaped, DOCTYPE};

use crate::experiment::Plan;
use crate::run::{broken, compare, Comparison};
use crate::stats::{moments, Verdict};
use crate::store::{Result, Store};

const STYLE: &str = include_str!("report.css");
/// Width and height of charts, and the room for names beside them, in pixels.
const CHART: (f64, f64, f64) = (760.0, 180.0, 270.0);
/// Height of one bar of a chart of differences.
const ROW: f64 = 26.0;
/// Letters of a variant's name beside its bar; the table has the whole.
const NAME_MOST: usize = 44;
/// Beginnings of measures of which less is better.
const LESS_IS_BETTER: [&str; 12] = [
    "p50", "p90", "p99", "refused", "failed", "wasted", "backlog", "queue", "shut_out", "rules",
    "channel", "comings",
];
/// Lines of a chart at most: more can't be told apart.
const LINES_MOST: usize = 6;

/// Digits after the point so that the interval shows two.
fn digits(half: f64) -> usize {
    if !half.is_finite() || half <= 0.0 {
        return 4;
    }
    (1.0 - half.log10().floor()).clamp(0.0, 6.0) as usize
}

/// A difference with its bar.
fn difference(of: &Comparison) -> String {
    if !of.difference.half_width.is_finite() {
        return "too few runs".to_string();
    }
    let digits = digits(of.difference.half_width);
    format!(
        "{:+.digits$} ± {:.digits$}",
        of.difference.mean, of.difference.half_width
    )
}

/// Whether a difference is good, bad or neither: more service is good, a longer wait is not.
fn colour(of: &Comparison) -> &'static str {
    let less_is_better = LESS_IS_BETTER
        .iter()
        .any(|name| of.measure.starts_with(name));
    match (of.verdict, less_is_better) {
        (Verdict::More, false) | (Verdict::Less, true) => "good",
        (Verdict::More, true) | (Verdict::Less, false) => "bad",
        (Verdict::Alike, _) => "alike",
        (Verdict::Open, _) => "open",
    }
}

/// Runs that are needed, of the first measure.
fn wanted(of: &Comparison) -> String {
    of.needed
        .map_or_else(|| "-".to_string(), |runs| runs.to_string())
}

fn chance(p: f64) -> String {
    if p < 0.001 {
        "< 0.001".to_string()
    } else {
        format!("{p:.3}")
    }
}

/// A table for the terminal.
pub fn table(plan: &Plan, build: &str, store: &Store) -> String {
    let mut rows = vec![[
        "scenario",
        "measure",
        "variant",
        "first",
        "this",
        "difference",
        "p",
        "runs",
        "needed",
        "verdict",
    ]
    .map(String::from)];
    for of in compare(plan, build, store) {
        let digits = digits(of.difference.half_width).min(4);
        rows.push([
            of.case.clone(),
            of.measure.clone(),
            of.variant.clone(),
            format!("{:.digits$}", of.means.0),
            format!("{:.digits$}", of.means.1),
            difference(&of),
            chance(of.p),
            of.difference.runs.to_string(),
            wanted(&of),
            of.verdict.word().to_string(),
        ]);
    }
    let mut text = columns(&rows);
    if plan.variants.len() == 1 {
        text = alone(plan, build, store);
    }
    for (case, variant, rule, runs, seed, how) in broken(plan, build, store) {
        let _ = writeln!(
            text,
            "rule broken: {rule} in {runs} runs of {variant} on {case}, first with seed {seed}: {how}"
        );
    }
    text
}

/// Means of the measures where there is nothing to compare.
fn alone(plan: &Plan, build: &str, store: &Store) -> String {
    let mut rows = vec![["scenario", "measure", "mean", "sd", "runs"].map(String::from)];
    for arm in &plan.arms {
        let runs = store.of(&arm.digest, build);
        for measure in &plan.measures {
            let figures: Vec<f64> = runs
                .values()
                .map(|result| result.figures.get(measure).copied().unwrap_or(0.0))
                .collect();
            let (mean, sd) = moments(&figures);
            let row = [
                arm.case.clone(),
                measure.clone(),
                format!("{mean:.4}"),
                format!("{sd:.4}"),
                figures.len().to_string(),
            ];
            rows.push(row);
        }
    }
    columns(&rows)
}

fn columns<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| {
        rows.iter()
            .map(|row| row[column].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..N).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| {
            let room = width.saturating_sub(cell.chars().count());
            format!("{cell}{}", " ".repeat(room))
        });
        let line = cells.collect::<Vec<_>>().join("  ");
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}

/// All runs with all figures, as CSV: machine-independent, one row a run.
pub fn runs_csv(store: &Store) -> String {
    let names: std::collections::BTreeSet<&String> = store
        .results()
        .iter()
        .flat_map(|result| result.figures.keys())
        .collect();
    let head: Vec<String> = names.iter().map(|name| cell(name)).collect();
    let mut text = format!("scenario,variant,digest,build,seed,{}\n", head.join(","));
    let mut results: Vec<&Result> = store.results().iter().collect();
    results.sort_by_key(|result| (&result.case, &result.variant, &result.build, result.seed));
    for result in results {
        let figure = |name: &&String| {
            result
                .figures
                .get(*name)
                .map_or(String::new(), f64::to_string)
        };
        let figures: Vec<String> = names.iter().map(figure).collect();
        let (case, variant) = (cell(&result.case), cell(&result.variant));
        let _ = writeln!(
            text,
            "{case},{variant},{},{},{},{}",
            result.digest,
            result.build,
            result.seed,
            figures.join(",")
        );
    }
    text
}

/// All comparisons as CSV.
pub fn comparisons_csv(plan: &Plan, build: &str, store: &Store) -> String {
    let mut text = "scenario,measure,variant,first,this,difference,low,high,bootstrap_low,bootstrap_high,p,runs,needed,verdict\n".to_string();
    for of in compare(plan, build, store) {
        let ((low, high), (b_low, b_high)) = (of.difference.ends(), of.difference.bootstrap);
        let _ = writeln!(
            text,
            "{},{},{},{},{},{},{low},{high},{b_low},{b_high},{},{},{},{}",
            cell(&of.case),
            cell(&of.measure),
            cell(&of.variant),
            of.means.0,
            of.means.1,
            of.difference.mean,
            of.p,
            of.difference.runs,
            wanted(&of),
            of.verdict.word(),
        );
    }
    text
}

/// The page.
pub fn page(plan: &Plan, build: &str, store: &Store) -> String {
    let all = compare(plan, build, store);
    let found = broken(plan, build, store);
    let precision = plan.precision;
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                meta name="color-scheme" content="light dark";
                title { "chutegrade lab: " (plan.name) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                header {
                    p.over { "chutegrade · experiment on the fleet model, simulated" }
                    h1 { (plan.name) }
                    @if !plan.question.is_empty() { p.question { (plan.question) } }
                }
                main {
                    section { h2 { "What it says" } (sentences(&all, plan, &found)) }
                    @for measure in &plan.measures {
                        @let own: Vec<&Comparison> = all.iter().filter(|of| of.measure == *measure).collect();
                        @if !own.is_empty() {
                            section {
                                h2 { "Difference in " (measure) " against " (plan.variants[0].name) }
                                (forests(plan, measure, &own))
                            }
                        }
                    }
                    @for case in &plan.cases {
                        section { h2 { "Service over time, " (case) } (over_time(plan, case, build, store)) }
                    }
                    section { h2 { "Figures" } (figures(&all)) }
                }
                footer {
                    p {
                        "Bars hold the truth with " (format!("{:.0} %", 100.0 * precision.confidence))
                        " over all " (precision.looks()) " looks together (each at "
                        (format!("{:.2} %", 100.0 * precision.of_a_look())) "), by Student's t on paired differences of the same seeds; "
                        "chances are corrected for " (plan.comparisons()) " comparisons (Holm). "
                        "Asked for: ± " (precision.half_width) ", with " (precision.pilot) " to " (precision.most) " runs each. "
                        "Build " code { (build) } ", seeds from " (plan.seed) "."
                    }
                }
            }
        }
    }
    .into_string()
}

fn sentences(
    all: &[Comparison],
    plan: &Plan,
    found: &[(String, String, String, u64, u64, String)],
) -> Markup {
    // The first measure is what the experiment is about; the others are in the charts and the table.
    let first = plan.measures.first();
    let all: Vec<&Comparison> = all.iter().filter(|of| Some(&of.measure) == first).collect();
    let told = |of: &Comparison| {
        let sure = difference(of);
        match of.verdict {
            Verdict::More | Verdict::Less => {
                format!(
                    "{} has {} {} than the first on {}: {sure}.",
                    of.variant,
                    of.verdict.word(),
                    of.measure,
                    of.case
                )
            }
            Verdict::Alike => {
                format!(
                    "{} and the first are alike in {} on {}: {sure}.",
                    of.variant, of.measure, of.case
                )
            }
            Verdict::Open => format!(
                "{} and the first are not told apart in {} on {}: {sure}, after {} runs.",
                of.variant, of.measure, of.case, of.difference.runs
            ),
        }
    };
    html! {
        @if all.is_empty() { p { "There is one variant: nothing is compared." } }
        ul { @for of in &all { li class=(colour(of)) { (told(of)) } } }
        @if found.is_empty() {
            p { "No rule was broken in any run." }
        } @else {
            ul { @for (case, variant, rule, runs, seed, how) in found {
                li.broken { "The rule " b { (rule) } " was broken in " (runs) " runs of " (variant) " on " (case) ", first with seed " (seed) ": " (how) "." }
            } }
        }
    }
}

fn r(value: f64) -> String {
    format!("{value:.1}")
}

fn short(name: &str) -> String {
    if name.chars().count() <= NAME_MOST {
        return name.to_string();
    }
    let kept: String = name.chars().take(NAME_MOST - 1).collect();
    format!("{kept}…")
}

/// A chart for each scenario, all on one scale.
fn forests(plan: &Plan, measure: &str, all: &[&Comparison]) -> Markup {
    // What counts as alike is asked for in the units of the first measure.
    let is_first = plan.measures.first().is_some_and(|first| first == measure);
    let half_width = if is_first {
        plan.precision.half_width
    } else {
        0.0
    };
    let ends = all
        .iter()
        .flat_map(|of| [of.difference.ends().0, of.difference.ends().1]);
    let most = ends
        .filter(|end| end.is_finite())
        .map(f64::abs)
        .fold(half_width * 1.5, f64::max)
        .max(1e-9);
    html! {
        @for case in &plan.cases {
            @let own: Vec<&Comparison> = all.iter().copied().filter(|of| of.case == *case).collect();
            @if plan.cases.len() > 1 { h3 { (case) } }
            (forest(&own, half_width, most))
        }
    }
}

/// Differences with their bars, and the band within which they count as alike.
fn forest(all: &[&Comparison], half_width: f64, most: f64) -> Markup {
    let (width, _, names) = CHART;
    let x = |value: f64| {
        names + (value.clamp(-most, most) + most) / (2.0 * most) * (width - names - 40.0)
    };
    let height = ROW * all.len() as f64 + 24.0;
    html! {
        svg viewBox=(format!("0 0 {width} {height}")) role="img" aria-label="differences with their bars" {
            rect.band x=(r(x(-half_width))) y="0" width=(r(x(half_width) - x(-half_width))) height=(r(height - 20.0)) {}
            line.zero x1=(r(x(0.0))) x2=(r(x(0.0))) y1="0" y2=(r(height - 20.0)) {}
            @for (place, of) in all.iter().enumerate() {
                @let y = ROW * (place as f64 + 0.5);
                @let (low, high) = of.difference.ends();
                text.name x=(r(names - 8.0)) y=(r(y + 4.0)) text-anchor="end" { (short(&of.variant)) }
                line class=(format!("bar {}", colour(of))) x1=(r(x(low))) x2=(r(x(high))) y1=(r(y)) y2=(r(y)) {}
                circle class=(format!("dot {}", colour(of))) cx=(r(x(of.difference.mean))) cy=(r(y)) r="4" {
                    title { (difference(of)) ", " (of.difference.runs) " runs" }
                }
            }
            @for mark in [-most, -most / 2.0, 0.0, most / 2.0, most] {
                text.mark x=(r(x(mark))) y=(r(height - 4.0)) text-anchor="middle" { (format!("{mark:+.3}")) }
            }
        }
    }
}

/// Mean service by second, each variant a line, with the spread of the first in between.
fn over_time(plan: &Plan, case: &str, build: &str, store: &Store) -> Markup {
    let (width, height, _) = CHART;
    let left = 40.0;
    let mut lines: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
    for arm in plan.of_case(case).take(LINES_MOST) {
        let mut by_second: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for result in store.of(&arm.digest, build).values() {
            for (second, share) in result.seconds.iter().enumerate() {
                by_second.entry(second).or_default().push(f64::from(*share));
            }
        }
        lines.push((
            plan.variants[arm.variant].name.clone(),
            by_second.values().map(|of| moments(of)).collect(),
        ));
    }
    let seconds = lines.iter().map(|(_, line)| line.len()).max().unwrap_or(0);
    if seconds < 2 {
        return html! { p { "Too short to draw." } };
    }
    let x = |second: usize| left + (width - left - 8.0) * second as f64 / (seconds - 1) as f64;
    let y = |share: f64| 8.0 + (height - 30.0) * (1.0 - share.clamp(0.0, 1.0));
    let path = |line: &[(f64, f64)]| {
        let points = line
            .iter()
            .enumerate()
            .map(|(second, (mean, _))| format!("{},{}", r(x(second)), r(y(*mean))));
        points.collect::<Vec<_>>().join(" ")
    };
    let band = |line: &[(f64, f64)]| {
        let up = line
            .iter()
            .enumerate()
            .map(|(second, (mean, sd))| (second, mean + sd));
        let down = line
            .iter()
            .enumerate()
            .rev()
            .map(|(second, (mean, sd))| (second, mean - sd));
        let points = up
            .chain(down)
            .map(|(second, share)| format!("{},{}", r(x(second)), r(y(share))));
        points.collect::<Vec<_>>().join(" ")
    };
    let step = (seconds / 6).max(1);
    html! {
        svg viewBox=(format!("0 0 {width} {height}")) role="img" aria-label="service by second" {
            @for mark in [0.0, 0.5, 1.0] {
                line.grid x1=(r(left)) x2=(r(width - 8.0)) y1=(r(y(mark))) y2=(r(y(mark))) {}
                text.mark x=(r(left - 6.0)) y=(r(y(mark) + 4.0)) text-anchor="end" { (mark) }
            }
            @for second in (0..seconds).step_by(step) {
                text.mark x=(r(x(second))) y=(r(height - 6.0)) text-anchor="middle" { (second) " s" }
            }
            @if let Some((_, first)) = lines.first() { polygon.spread points=(band(first)) {} }
            @for (place, (_, line)) in lines.iter().enumerate() {
                polyline class=(format!("line l{place}")) points=(path(line)) {}
            }
        }
        p.key { @for (place, (name, _)) in lines.iter().enumerate() { span class=(format!("l{place}")) { (name) } " " } }
    }
}

fn figures(all: &[Comparison]) -> Markup {
    html! {
        table {
            thead { tr {
                @for head in ["scenario", "measure", "variant", "first", "this", "difference", "bootstrap", "p", "runs", "needed", "verdict"] {
                    th { (head) }
                }
            } }
            tbody { @for of in all { tr {
                td { (of.case) } td { (of.measure) } td { (of.variant) }
                td.n { (format!("{:.4}", of.means.0)) } td.n { (format!("{:.4}", of.means.1)) }
                td.n { (difference(of)) }
                td.n { (format!("{:+.4} to {:+.4}", of.difference.bootstrap.0, of.difference.bootstrap.1)) }
                td.n { (chance(of.p)) } td.n { (of.difference.runs) } td.n { (wanted(of)) }
                td class=(colour(of)) { (of.verdict.word()) }
            } } }
        }
    }
}
