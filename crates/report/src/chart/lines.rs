//! Line charts of a value over time for each supervisor.

use chutegrade_records::{text, Gap};
use maud::{html, Markup};

use super::{
    coordinate, hidden_intervals, Axis, AXIS_HEIGHT, LABELS_WIDTH, LABEL_MARGIN, TITLE_HEIGHT,
    WIDTH,
};
use crate::samples::{Point, Run};

/// Height of the area for lines.
const HEIGHT: f64 = 110.0;
/// Vertical coordinate of the lower edge of the area for lines.
const BOTTOM: f64 = TITLE_HEIGHT + HEIGHT;
/// Height of a supervisor's strip of gaps below the lines.
const STRIP_HEIGHT: f64 = 7.0;
/// Number of line colours in the style sheet: classes `l0` to `l5`.
const COLORS: usize = 6;
/// Positions of the grid lines, as shares of the scale.
const GRID_SHARES: [f64; 3] = [0.0, 0.5, 1.0];

pub(crate) struct Line {
    pub(crate) label: String,
    pub(crate) supervisor: String,
    pub(crate) runs: Vec<Run>,
}

pub(crate) struct LineChart<'a> {
    pub(crate) axis: Axis,
    pub(crate) title: &'a str,
    pub(crate) lines: &'a [Line],
    pub(crate) supervisors: &'a [&'a str],
    /// The upper end of the scale; `None` derives it from the points.
    pub(crate) max: Option<f64>,
    /// The gaps of all supervisors.
    pub(crate) gaps: &'a [Gap],
}

impl LineChart<'_> {
    /// Draws the chart and its legend.
    pub(crate) fn draw(&self) -> Markup {
        let end = self.strip_top(self.supervisors.len());
        let view_box = format!("0 0 {WIDTH} {}", coordinate(end + AXIS_HEIGHT));
        let max = self.max.unwrap_or_else(|| self.max_of_points());
        html! {
            svg viewBox=(view_box) role="img" aria-label=(self.title) {
                (self.axis.draw_ticks(TITLE_HEIGHT, end))
                text.title x=(coordinate(LABELS_WIDTH)) y="11" { (self.title) }
                (draw_scale(max))
                @for (index, line) in self.lines.iter().enumerate() {
                    (self.draw_line(index, line, max))
                }
                @for (index, supervisor) in self.supervisors.iter().enumerate() {
                    (self.draw_gaps(supervisor, self.strip_top(index)))
                }
            }
            (self.draw_legend())
        }
    }

    /// Returns the vertical coordinate of the upper edge of a supervisor's strip.
    fn strip_top(&self, index: usize) -> f64 {
        BOTTOM + index as f64 * STRIP_HEIGHT
    }

    fn max_of_points(&self) -> f64 {
        let points = self
            .lines
            .iter()
            .flat_map(|line| line.runs.iter().flatten());
        let max = points.map(|point| point.value).fold(0.0, f64::max);
        round_up(max)
    }

    fn draw_line(&self, index: usize, line: &Line, max: f64) -> Markup {
        html! {
            @for run in &line.runs {
                polyline class=(format!("line {}", color_class(index))) points=(self.points(run, max)) {
                    title { (line.label) " · " (line.supervisor) }
                }
            }
        }
    }

    fn points(&self, run: &[Point], max: f64) -> String {
        let mut points = Vec::with_capacity(run.len());
        for point in run {
            let x = coordinate(self.axis.x(point.at_us));
            let y = coordinate(y(point.value, max));
            points.push(format!("{x},{y}"));
        }
        points.join(" ")
    }

    /// Draws a supervisor's gaps, in the chart and in its strip.
    fn draw_gaps(&self, supervisor: &str, top: f64) -> Markup {
        let strip_height = STRIP_HEIGHT - 2.0;
        html! {
            rect.strip x=(coordinate(LABELS_WIDTH)) y=(coordinate(top + 1.0))
                width=(coordinate(WIDTH - LABELS_WIDTH)) height=(coordinate(strip_height)) {}
            text.small x=(coordinate(LABELS_WIDTH - LABEL_MARGIN)) y=(coordinate(top + STRIP_HEIGHT - 0.5)) {
                (supervisor)
            }
            @for gap in hidden_intervals(self.gaps, supervisor) {
                (self.axis.draw_gap(gap, TITLE_HEIGHT, HEIGHT))
                (self.axis.draw_gap(gap, top + 1.0, strip_height))
            }
        }
    }

    fn draw_legend(&self) -> Markup {
        html! {
            p.legend {
                @for (index, line) in self.lines.iter().enumerate() {
                    span {
                        i class=(format!("key {}", color_class(index))) {}
                        (line.label) " · " (line.supervisor)
                    }
                }
            }
        }
    }
}

/// Returns the CSS class for the colour of a line.
fn color_class(index: usize) -> String {
    format!("l{}", index % COLORS)
}

/// Returns the vertical coordinate of a value.
fn y(value: f64, max: f64) -> f64 {
    TITLE_HEIGHT + HEIGHT * (1.0 - (value / max).clamp(0.0, 1.0))
}

fn draw_scale(max: f64) -> Markup {
    html! {
        @for share in GRID_SHARES {
            @let value = share * max;
            @let line_y = y(value, max);
            line.grid x1=(coordinate(LABELS_WIDTH)) x2=(coordinate(WIDTH)) y1=(coordinate(line_y)) y2=(coordinate(line_y)) {}
            text.label x=(coordinate(LABELS_WIDTH - LABEL_MARGIN)) y=(coordinate(line_y + 4.0 - 5.0 * (1.0 - share))) {
                (text::short_decimal(value))
            }
        }
    }
}

/// Rounds a value up to 1, 2, 5 or 10 times a power of ten.
pub(super) fn round_up(value: f64) -> f64 {
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
