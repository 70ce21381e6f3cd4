//! Charts as inline SVG, drawn with the page's own colours so that they follow light, dark and print. A library draws
//! with colours of its own and knows no hatching over another series; these are three forms with one axis.

use chutegrade_records::incidents::{ServerStatus, Span};
use chutegrade_records::{text, Gap, GapReason, Window};
use maud::{html, Markup};

use crate::gather::{Runs, Served};

/// Width of a chart and of the column of labels before it, in units of the drawing.
const WIDTH: f64 = 1000.0;
const LABELS: f64 = 130.0;
/// Height of a row of the chart of servers, and of a chart of lines.
const ROW: f64 = 15.0;
const HEIGHT: f64 = 110.0;
/// Room below for the axis, and above for the title.
const AXIS: f64 = 20.0;
const TITLE: f64 = 16.0;
/// Marks of the axis at most.
const TICKS_MOST: i64 = 9;
/// Distances between marks, in seconds.
const STEPS: [i64; 17] = [
    1, 2, 5, 10, 15, 30, 60, 120, 300, 600, 900, 1800, 3600, 7200, 10_800, 21_600, 86_400,
];
/// The name of full service.
const FULL: &str = "full";
/// Width of a letter, for names that must fit.
const LETTER: f64 = 6.0;
/// Least width of a hatch, so that a short gap is seen.
const HATCH_LEAST: f64 = 2.0;

/// Where times lie on a chart.
#[derive(Clone, Copy)]
pub struct Axis {
    window: Window,
}

impl Axis {
    /// An axis for a window.
    pub fn new(window: Window) -> Self {
        Axis { window }
    }

    fn x(self, at_us: i64) -> f64 {
        let Window { from_us, to_us } = self.window;
        let share =
            (at_us.clamp(from_us, to_us) - from_us) as f64 / (to_us - from_us).max(1) as f64;
        LABELS + share * (WIDTH - LABELS)
    }

    /// Times of the marks, in Unix microseconds.
    fn ticks(self) -> Vec<i64> {
        let Window { from_us, to_us } = self.window;
        let seconds = (to_us - from_us) / 1_000_000;
        let step = STEPS
            .into_iter()
            .find(|step| seconds / step <= TICKS_MOST)
            .unwrap_or(seconds / TICKS_MOST + 1);
        let step = step.saturating_mul(1_000_000);
        let first = from_us.div_euclid(step) * step;
        let all = (0..=TICKS_MOST + 2).map(|n| first.saturating_add(n.saturating_mul(step)));
        all.filter(|at| (from_us..=to_us).contains(at)).collect()
    }

    fn draw(self, top: f64, bottom: f64) -> Markup {
        html! {
            @for at in self.ticks() {
                line.grid x1=(r(self.x(at))) x2=(r(self.x(at))) y1=(r(top)) y2=(r(bottom)) {}
                text.tick x=(r(self.x(at))) y=(r(bottom + 14.0)) { (text::clock(at).get(..8).unwrap_or_default()) }
            }
        }
    }

    fn hatch(self, gap: &Gap, top: f64, height: f64) -> Markup {
        let (from, to) = (self.x(gap.from_us), self.x(gap.to_us));
        html! {
            rect.hatch x=(r(from.min(WIDTH - HATCH_LEAST))) y=(r(top)) width=(r((to - from).max(HATCH_LEAST))) height=(r(height)) {
                title { (gap.supervisor) ": " (gap.line()) }
            }
        }
    }
}

/// A coordinate to a tenth.
fn r(value: f64) -> String {
    format!("{value:.1}")
}

/// Whether a gap hides what a chart would show; a step of the clock hides nothing, and is a line in the list.
fn hides(gap: &&Gap) -> bool {
    gap.reason != GapReason::ClockStep
}

/// One server's row.
pub struct Row<'a> {
    /// Its name.
    pub label: &'a str,
    /// Whose view it is.
    pub supervisor: &'a str,
    /// What it was when.
    pub spans: &'a [Span],
}

/// What servers were over time.
pub fn servers(axis: Axis, rows: &[Row], gaps: &[Gap]) -> Markup {
    let bottom = TITLE + rows.len() as f64 * ROW;
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {}", r(bottom + AXIS))) role="img" aria-label="states of servers over time" {
            (axis.draw(TITLE, bottom))
            @for (at, row) in rows.iter().enumerate() {
                @let top = TITLE + at as f64 * ROW;
                text.label x=(r(LABELS - 6.0)) y=(r(top + ROW - 4.0)) { (row.label) " · " (row.supervisor) }
                @for span in row.spans.iter().filter(|span| span.status != ServerStatus::Unknown) {
                    @let (from, to) = (axis.x(span.from_us), axis.x(span.to_us));
                    rect class=(format!("state {}", span.status.as_str())) x=(r(from)) y=(r(top + 2.0))
                        width=(r((to - from).max(0.5))) height=(r(ROW - 4.0)) {
                        title { (row.label) " " (span.status.as_str()) " from " (text::clock(span.from_us)) " to " (text::clock(span.to_us)) }
                    }
                }
                @for gap in gaps.iter().filter(hides).filter(|gap| *gap.supervisor == *row.supervisor) {
                    (axis.hatch(gap, top + 1.0, ROW - 2.0))
                }
            }
        }
    }
}

/// Which level of service was in force when, a band a supervisor; full service is a thin line.
pub fn bands(axis: Axis, rows: &[(&str, Vec<Served>)], gaps: &[Gap]) -> Markup {
    let bottom = TITLE + rows.len() as f64 * ROW;
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {}", r(bottom + AXIS))) role="img" aria-label="levels of service over time" {
            (axis.draw(TITLE, bottom))
            @for (at, (supervisor, served)) in rows.iter().enumerate() {
                @let top = TITLE + at as f64 * ROW;
                text.label x=(r(LABELS - 6.0)) y=(r(top + ROW - 4.0)) { (supervisor) }
                @for of in served {
                    @let (from, to) = (axis.x(of.from_us), axis.x(of.to_us));
                    @let full = of.level == FULL;
                    @let (y, height) = if full { (top + ROW / 2.0 - 1.0, 2.0) } else { (top + 2.0, ROW - 4.0) };
                    rect class=(if full { "state full" } else { "state reduced" }) x=(r(from)) y=(r(y))
                        width=(r((to - from).max(0.5))) height=(r(height)) {
                        title { (of.level) " from " (text::clock(of.from_us)) " to " (text::clock(of.to_us)) }
                    }
                    @if !full && to - from > LETTER * of.level.chars().count() as f64 {
                        text.within x=(r(from + 3.0)) y=(r(top + ROW - 5.0)) { (of.level) }
                    }
                }
                @for gap in gaps.iter().filter(hides).filter(|gap| *gap.supervisor == **supervisor) {
                    (axis.hatch(gap, top + 1.0, ROW - 2.0))
                }
            }
        }
    }
}

/// One line of a chart.
pub struct Line {
    /// What it is.
    pub label: String,
    /// Whose figures they are.
    pub supervisor: String,
    /// Its points.
    pub runs: Runs,
}

/// A round figure that is no smaller.
fn round_up(value: f64) -> f64 {
    if value <= 0.0 {
        return 1.0;
    }
    let power = 10f64.powf(value.log10().floor());
    [1.0, 2.0, 5.0, 10.0]
        .map(|step| step * power)
        .into_iter()
        .find(|step| *step >= value)
        .unwrap_or(value)
}

/// Figures over time, each supervisor's gaps hatched in a strip of its own at the foot.
pub fn lines(
    axis: Axis,
    title: &str,
    lines: &[Line],
    supervisors: &[&str],
    most: Option<f64>,
    gaps: &[Gap],
) -> Markup {
    let values = lines
        .iter()
        .flat_map(|line| line.runs.iter().flatten().map(|point| point.1));
    let most = most.unwrap_or_else(|| round_up(values.fold(0.0, f64::max)));
    let strip = 7.0;
    let bottom = TITLE + HEIGHT;
    let end = bottom + supervisors.len() as f64 * strip;
    let y = |value: f64| TITLE + HEIGHT * (1.0 - (value / most).clamp(0.0, 1.0));
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {}", r(end + AXIS))) role="img" aria-label=(title) {
            (axis.draw(TITLE, end))
            text.title x=(r(LABELS)) y="11" { (title) }
            @for share in [0.0, 0.5, 1.0] {
                line.grid x1=(r(LABELS)) x2=(r(WIDTH)) y1=(r(y(share * most))) y2=(r(y(share * most))) {}
                text.label x=(r(LABELS - 6.0)) y=(r(y(share * most) + 4.0 - 5.0 * (1.0 - share))) { (text::figure(share * most)) }
            }
            @for (at, line) in lines.iter().enumerate() {
                @for run in &line.runs {
                    @let points: Vec<String> = run.iter().map(|(at, value)| format!("{},{}", r(axis.x(*at)), r(y(*value)))).collect();
                    polyline class=(format!("line l{}", at % 6)) points=(points.join(" ")) {
                        title { (line.label) " · " (line.supervisor) }
                    }
                }
            }
            @for (at, supervisor) in supervisors.iter().enumerate() {
                @let top = bottom + at as f64 * strip;
                rect.strip x=(r(LABELS)) y=(r(top + 1.0)) width=(r(WIDTH - LABELS)) height=(r(strip - 2.0)) {}
                text.small x=(r(LABELS - 6.0)) y=(r(top + strip - 0.5)) { (supervisor) }
                @for gap in gaps.iter().filter(hides).filter(|gap| *gap.supervisor == **supervisor) {
                    (axis.hatch(gap, TITLE, HEIGHT))
                    (axis.hatch(gap, top + 1.0, strip - 2.0))
                }
            }
        }
        p.legend {
            @for (at, line) in lines.iter().enumerate() {
                span { i class=(format!("key l{}", at % 6)) {} (line.label) " · " (line.supervisor) }
            }
        }
    }
}

#[cfg(test)]
mod tests;
