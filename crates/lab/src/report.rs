//! Reports of an experiment: a table for the terminal, CSV files, and an HTML page with charts.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use chutegrade_records::text::csv_cell;
use maud::{html, Markup, PreEscaped, DOCTYPE};

use crate::experiment::Plan;
use crate::run::{broken_rules, compare, Comparison};
use crate::stats::{mean_and_deviation, Verdict};
use crate::store::{Result, Store};

const STYLE: &str = include_str!("report.css");
/// Width of all charts.
const CHART_WIDTH_PX: f64 = 760.0;
/// Height of a chart over time.
const CHART_HEIGHT_PX: f64 = 180.0;
/// Width of the column of names in a forest plot.
const NAME_WIDTH_PX: f64 = 270.0;
/// Height of a row of a forest plot.
const ROW_HEIGHT_PX: f64 = 26.0;
/// Maximum length of a variant's name in a forest plot; the table has the complete name.
const MAX_NAME_CHARS: usize = 44;
/// Prefixes of measures for which a lower value is better.
const LOWER_IS_BETTER: [&str; 12] = [
    "p50", "p90", "p99", "refused", "failed", "wasted", "backlog", "queue", "shut_out", "rules",
    "channel", "comings",
];
/// Maximum number of lines in a chart over time: more are hard to distinguish.
const MAX_CHART_LINES: usize = 6;

/// Returns the decimal places with which half the width of an interval shows two significant digits.
fn decimal_places(half_width: f64) -> usize {
    if !half_width.is_finite() || half_width <= 0.0 {
        return 4;
    }
    (1.0 - half_width.log10().floor()).clamp(0.0, 6.0) as usize
}

/// Formats a difference with its error bar.
fn format_difference(comparison: &Comparison) -> String {
    if !comparison.difference.half_width.is_finite() {
        return "too few runs".to_string();
    }
    let decimals = decimal_places(comparison.difference.half_width);
    format!(
        "{:+.decimals$} ± {:.decimals$}",
        comparison.difference.mean, comparison.difference.half_width
    )
}

/// Returns the CSS class of a comparison: whether the variant is better, worse or neither.
fn css_class(comparison: &Comparison) -> &'static str {
    let lower_is_better = LOWER_IS_BETTER
        .iter()
        .any(|prefix| comparison.measure.starts_with(prefix));
    match (comparison.verdict, lower_is_better) {
        (Verdict::More, false) | (Verdict::Less, true) => "good",
        (Verdict::More, true) | (Verdict::Less, false) => "bad",
        (Verdict::Equivalent, _) => "alike",
        (Verdict::Inconclusive, _) => "open",
    }
}

fn format_required_runs(comparison: &Comparison) -> String {
    comparison
        .required_runs
        .map_or_else(|| "-".to_string(), |runs| runs.to_string())
}

fn format_p_value(p_value: f64) -> String {
    if p_value < 0.001 {
        "< 0.001".to_string()
    } else {
        format!("{p_value:.3}")
    }
}

/// Returns the comparisons, or the means if there is only one variant, and the broken rules as text for the terminal.
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
    for comparison in compare(plan, build, store) {
        let decimals = decimal_places(comparison.difference.half_width).min(4);
        rows.push([
            comparison.case.clone(),
            comparison.measure.clone(),
            comparison.variant.clone(),
            format!("{:.decimals$}", comparison.base_mean),
            format!("{:.decimals$}", comparison.variant_mean),
            format_difference(&comparison),
            format_p_value(comparison.p_value),
            comparison.difference.runs.to_string(),
            format_required_runs(&comparison),
            comparison.verdict.as_str().to_string(),
        ]);
    }
    let mut text = align_columns(&rows);
    if plan.variants.len() == 1 {
        text = means_table(plan, build, store);
    }
    for (case, variant, rule, runs, seed, how) in broken_rules(plan, build, store) {
        let _ = writeln!(
            text,
            "rule broken: {rule} in {runs} runs of {variant} on {case}, first with seed {seed}: {how}"
        );
    }
    text
}

/// Returns the means of all measures, for an experiment with only one variant.
fn means_table(plan: &Plan, build: &str, store: &Store) -> String {
    let mut rows = vec![["scenario", "measure", "mean", "sd", "runs"].map(String::from)];
    for arm in &plan.arms {
        let runs = store.runs_of(&arm.digest, build);
        for measure in &plan.measures {
            let values: Vec<f64> = runs
                .values()
                .map(|result| result.figures.get(measure).copied().unwrap_or(0.0))
                .collect();
            let (mean, standard_deviation) = mean_and_deviation(&values);
            let row = [
                arm.case.clone(),
                measure.clone(),
                format!("{mean:.4}"),
                format!("{standard_deviation:.4}"),
                values.len().to_string(),
            ];
            rows.push(row);
        }
    }
    align_columns(&rows)
}

fn align_columns<const N: usize>(rows: &[[String; N]]) -> String {
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
            let padding = width.saturating_sub(cell.chars().count());
            format!("{cell}{}", " ".repeat(padding))
        });
        let line = cells.collect::<Vec<_>>().join("  ");
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}

/// Returns all runs with all figures as CSV, one row per run; the text does not depend on the machine.
pub fn runs_csv(store: &Store) -> String {
    let names: std::collections::BTreeSet<&String> = store
        .results()
        .iter()
        .flat_map(|result| result.figures.keys())
        .collect();
    let head: Vec<String> = names.iter().map(|name| csv_cell(name)).collect();
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
        let (case, variant) = (csv_cell(&result.case), csv_cell(&result.variant));
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

/// Returns all comparisons as CSV.
pub fn comparisons_csv(plan: &Plan, build: &str, store: &Store) -> String {
    let mut text = "scenario,measure,variant,first,this,difference,low,high,bootstrap_low,bootstrap_high,p,runs,needed,verdict\n".to_string();
    for comparison in compare(plan, build, store) {
        let (low, high) = comparison.difference.bounds();
        let _ = writeln!(
            text,
            "{},{},{},{},{},{},{low},{high},{},{},{},{},{},{}",
            csv_cell(&comparison.case),
            csv_cell(&comparison.measure),
            csv_cell(&comparison.variant),
            comparison.base_mean,
            comparison.variant_mean,
            comparison.difference.mean,
            comparison.difference.bootstrap_low,
            comparison.difference.bootstrap_high,
            comparison.p_value,
            comparison.difference.runs,
            format_required_runs(&comparison),
            comparison.verdict.as_str(),
        );
    }
    text
}

/// Returns the HTML report, complete with styles and charts.
pub fn page(plan: &Plan, build: &str, store: &Store) -> String {
    let comparisons = compare(plan, build, store);
    let broken = broken_rules(plan, build, store);
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
                    section { h2 { "Conclusions" } (conclusions(&comparisons, plan, &broken)) }
                    @for measure in &plan.measures {
                        @let of_measure: Vec<&Comparison> = comparisons
                            .iter()
                            .filter(|comparison| comparison.measure == *measure)
                            .collect();
                        @if !of_measure.is_empty() {
                            section {
                                h2 { "Difference in " (measure) " compared with " (plan.variants[0].name) }
                                (forest_plots(plan, measure, &of_measure))
                            }
                        }
                    }
                    @for case in &plan.cases {
                        section { h2 { "Service over time, " (case) } (chart_over_time(plan, case, build, store)) }
                    }
                    section { h2 { "Figures" } (comparison_table(&comparisons)) }
                }
                footer {
                    p {
                        "Error bars contain the true difference with a confidence of "
                        (format!("{:.0} %", 100.0 * precision.confidence))
                        " over all " (precision.max_looks()) " looks together (each at "
                        (format!("{:.2} %", 100.0 * precision.look_confidence()))
                        "), by Student's t on paired differences of runs with the same seed; "
                        "p-values are corrected for " (plan.comparisons()) " comparisons (Holm). "
                        "Requested precision: ± " (precision.half_width)
                        ", with " (precision.pilot_runs) " to " (precision.max_runs) " runs each. "
                        "Build " code { (build) } ", seeds from " (plan.seed) "."
                    }
                }
            }
        }
    }
    .into_string()
}

fn conclusions(
    comparisons: &[Comparison],
    plan: &Plan,
    broken: &[(String, String, String, u64, u64, String)],
) -> Markup {
    // Only the first measure, which the experiment is about; the others are in the charts and the table.
    let first_measure = plan.measures.first();
    let comparisons: Vec<&Comparison> = comparisons
        .iter()
        .filter(|comparison| Some(&comparison.measure) == first_measure)
        .collect();
    let sentence = |comparison: &Comparison| {
        let difference = format_difference(comparison);
        match comparison.verdict {
            Verdict::More | Verdict::Less => {
                format!(
                    "{} has {} {} than the first variant on {}: {difference}.",
                    comparison.variant,
                    comparison.verdict.as_str(),
                    comparison.measure,
                    comparison.case
                )
            }
            Verdict::Equivalent => {
                format!(
                    "{} and the first variant are alike in {} on {}: {difference}.",
                    comparison.variant, comparison.measure, comparison.case
                )
            }
            Verdict::Inconclusive => format!(
                "{} and the first variant cannot be told apart in {} on {}: {difference}, after {} runs.",
                comparison.variant, comparison.measure, comparison.case, comparison.difference.runs
            ),
        }
    };
    html! {
        @if comparisons.is_empty() { p { "There is only one variant, so nothing is compared." } }
        ul { @for comparison in &comparisons { li class=(css_class(comparison)) { (sentence(comparison)) } } }
        @if broken.is_empty() {
            p { "No rule was broken in any run." }
        } @else {
            ul { @for (case, variant, rule, runs, seed, how) in broken {
                li.broken { "The rule " b { (rule) } " was broken in " (runs) " runs of " (variant) " on " (case) ", first with seed " (seed) ": " (how) "." }
            } }
        }
    }
}

/// Formats a coordinate or length of a chart, in pixels.
fn px(value: f64) -> String {
    format!("{value:.1}")
}

fn truncate_name(name: &str) -> String {
    if name.chars().count() <= MAX_NAME_CHARS {
        return name.to_string();
    }
    let start: String = name.chars().take(MAX_NAME_CHARS - 1).collect();
    format!("{start}…")
}

/// Draws a forest plot for each scenario, all with the same scale.
fn forest_plots(plan: &Plan, measure: &str, comparisons: &[&Comparison]) -> Markup {
    // The requested half width is in the units of the first measure.
    let is_first = plan.measures.first().is_some_and(|first| first == measure);
    let half_width = if is_first {
        plan.precision.half_width
    } else {
        0.0
    };
    let bounds = comparisons.iter().flat_map(|comparison| {
        [
            comparison.difference.bounds().0,
            comparison.difference.bounds().1,
        ]
    });
    let max_abs = bounds
        .filter(|bound| bound.is_finite())
        .map(f64::abs)
        .fold(half_width * 1.5, f64::max)
        .max(1e-9);
    html! {
        @for case in &plan.cases {
            @let of_case: Vec<&Comparison> = comparisons
                .iter()
                .copied()
                .filter(|comparison| comparison.case == *case)
                .collect();
            @if plan.cases.len() > 1 { h3 { (case) } }
            (forest_plot(&of_case, half_width, max_abs))
        }
    }
}

/// Draws differences with their error bars, and the band of the requested half width around 0.
fn forest_plot(comparisons: &[&Comparison], half_width: f64, max_abs: f64) -> Markup {
    let (width, name_width) = (CHART_WIDTH_PX, NAME_WIDTH_PX);
    let x = |value: f64| {
        name_width
            + (value.clamp(-max_abs, max_abs) + max_abs) / (2.0 * max_abs)
                * (width - name_width - 40.0)
    };
    let height = ROW_HEIGHT_PX * comparisons.len() as f64 + 24.0;
    html! {
        svg viewBox=(format!("0 0 {width} {height}")) role="img" aria-label="differences with error bars" {
            rect.band x=(px(x(-half_width))) y="0" width=(px(x(half_width) - x(-half_width))) height=(px(height - 20.0)) {}
            line.zero x1=(px(x(0.0))) x2=(px(x(0.0))) y1="0" y2=(px(height - 20.0)) {}
            @for (index, comparison) in comparisons.iter().enumerate() {
                @let y = ROW_HEIGHT_PX * (index as f64 + 0.5);
                @let (low, high) = comparison.difference.bounds();
                text.name x=(px(name_width - 8.0)) y=(px(y + 4.0)) text-anchor="end" { (truncate_name(&comparison.variant)) }
                line class=(format!("bar {}", css_class(comparison))) x1=(px(x(low))) x2=(px(x(high))) y1=(px(y)) y2=(px(y)) {}
                circle class=(format!("dot {}", css_class(comparison))) cx=(px(x(comparison.difference.mean))) cy=(px(y)) r="4" {
                    title { (format_difference(comparison)) ", " (comparison.difference.runs) " runs" }
                }
            }
            @for mark in [-max_abs, -max_abs / 2.0, 0.0, max_abs / 2.0, max_abs] {
                text.mark x=(px(x(mark))) y=(px(height - 4.0)) text-anchor="middle" { (format!("{mark:+.3}")) }
            }
        }
    }
}

/// Draws the mean service in each second, with a line for each variant and the standard deviation of the first as a band.
fn chart_over_time(plan: &Plan, case: &str, build: &str, store: &Store) -> Markup {
    let (width, height) = (CHART_WIDTH_PX, CHART_HEIGHT_PX);
    let left_margin = 40.0;
    let mut lines: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
    for arm in plan.of_case(case).take(MAX_CHART_LINES) {
        let mut by_second: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for result in store.runs_of(&arm.digest, build).values() {
            for (second, service) in result.seconds.iter().enumerate() {
                by_second
                    .entry(second)
                    .or_default()
                    .push(f64::from(*service));
            }
        }
        lines.push((
            plan.variants[arm.variant].name.clone(),
            by_second
                .values()
                .map(|services| mean_and_deviation(services))
                .collect(),
        ));
    }
    let seconds = lines.iter().map(|(_, line)| line.len()).max().unwrap_or(0);
    if seconds < 2 {
        return html! { p { "The runs are too short for a chart." } };
    }
    let x = |second: usize| {
        left_margin + (width - left_margin - 8.0) * second as f64 / (seconds - 1) as f64
    };
    let y = |service: f64| 8.0 + (height - 30.0) * (1.0 - service.clamp(0.0, 1.0));
    let path = |line: &[(f64, f64)]| {
        let points = line
            .iter()
            .enumerate()
            .map(|(second, (mean, _))| format!("{},{}", px(x(second)), px(y(*mean))));
        points.collect::<Vec<_>>().join(" ")
    };
    let band = |line: &[(f64, f64)]| {
        let upper = line
            .iter()
            .enumerate()
            .map(|(second, (mean, deviation))| (second, mean + deviation));
        let lower = line
            .iter()
            .enumerate()
            .rev()
            .map(|(second, (mean, deviation))| (second, mean - deviation));
        let points = upper
            .chain(lower)
            .map(|(second, service)| format!("{},{}", px(x(second)), px(y(service))));
        points.collect::<Vec<_>>().join(" ")
    };
    let label_interval = (seconds / 6).max(1);
    html! {
        svg viewBox=(format!("0 0 {width} {height}")) role="img" aria-label="service by second" {
            @for mark in [0.0, 0.5, 1.0] {
                line.grid x1=(px(left_margin)) x2=(px(width - 8.0)) y1=(px(y(mark))) y2=(px(y(mark))) {}
                text.mark x=(px(left_margin - 6.0)) y=(px(y(mark) + 4.0)) text-anchor="end" { (mark) }
            }
            @for second in (0..seconds).step_by(label_interval) {
                text.mark x=(px(x(second))) y=(px(height - 6.0)) text-anchor="middle" { (second) " s" }
            }
            @if let Some((_, first)) = lines.first() { polygon.spread points=(band(first)) {} }
            @for (index, (_, line)) in lines.iter().enumerate() {
                polyline class=(format!("line l{index}")) points=(path(line)) {}
            }
        }
        p.key { @for (index, (name, _)) in lines.iter().enumerate() { span class=(format!("l{index}")) { (name) } " " } }
    }
}

fn comparison_table(comparisons: &[Comparison]) -> Markup {
    html! {
        table {
            thead { tr {
                @for head in ["scenario", "measure", "variant", "first", "this", "difference", "bootstrap", "p", "runs", "needed", "verdict"] {
                    th { (head) }
                }
            } }
            tbody { @for comparison in comparisons { tr {
                td { (comparison.case) } td { (comparison.measure) } td { (comparison.variant) }
                td.n { (format!("{:.4}", comparison.base_mean)) } td.n { (format!("{:.4}", comparison.variant_mean)) }
                td.n { (format_difference(comparison)) }
                td.n { (format!("{:+.4} to {:+.4}", comparison.difference.bootstrap_low, comparison.difference.bootstrap_high)) }
                td.n { (format_p_value(comparison.p_value)) } td.n { (comparison.difference.runs) } td.n { (format_required_runs(comparison)) }
                td class=(css_class(comparison)) { (comparison.verdict.as_str()) }
            } } }
        }
    }
}
