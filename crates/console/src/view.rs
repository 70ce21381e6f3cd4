//! What one frame shows, read from the records: each supervisor's picture at the cursor, its figures before, the events.

use std::collections::BTreeMap;
use std::sync::Arc;

use chutegrade_records::index::{Query, STALLED_US};
use chutegrade_records::replay::{Picture, LOOK_BACK_US};
use chutegrade_records::text::printable;
use chutegrade_records::timeline::{gauge, is_event};
use chutegrade_records::{kind, text, Event, Gap, Timeline, Window};

/// Events that a frame may show, newest last.
const EVENTS_MOST: usize = 2000;

/// What was measured at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// When.
    pub at_us: i64,
    /// Lines waiting in the channel.
    pub waiting: f64,
    /// Share of requests refused.
    pub refused: f64,
    /// Lowest level of any class.
    pub admitted: f64,
    /// The level of service, where there are levels.
    pub service_level: Option<String>,
}

/// One supervisor at the cursor.
#[derive(Clone, Debug, Default)]
pub struct Side {
    /// Its picture.
    pub picture: Picture,
    /// Its start.
    pub incarnation: u64,
    /// Its figures.
    pub figures: Vec<Figure>,
    /// The gap in which the cursor lies, if it lies in one.
    pub gap: Option<Gap>,
}

/// One row of the list of events.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// When it happened.
    pub at_us: i64,
    /// Whose record it is.
    pub supervisor: Arc<str>,
    /// What happened.
    pub text: String,
    /// What it is: an event, trouble, or a gap.
    pub sort: Sort,
}

/// What a row is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// An event.
    Plain,
    /// An event that is trouble.
    Trouble,
    /// An interval of which not all is known.
    Gap,
}

/// All that a frame shows.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The supervisors, by name.
    pub sides: BTreeMap<Arc<str>, Side>,
    /// Events before the cursor that pass the filter, in true order.
    pub rows: Vec<Row>,
    /// Gaps before the cursor.
    pub gaps: Vec<Gap>,
}

fn row(event: &Event) -> Row {
    let trouble = event.record.kind.as_ref().is_some_and(kind::is_trouble);
    let late = event.learned_us().saturating_sub(event.at_us);
    let mut text = printable(&event.line());
    if late >= 1_000_000 {
        text += &format!(" (learned {} later)", text::length(late));
    }
    let sort = if trouble { Sort::Trouble } else { Sort::Plain };
    Row {
        at_us: event.at_us,
        supervisor: Arc::clone(&event.supervisor),
        text,
        sort,
    }
}

impl View {
    /// Reads what lies before a moment, as far as the span, and lets pass the events that hold the filter's words.
    pub fn read(timeline: &Timeline, at_us: i64, span_us: i64, filter: &str) -> Self {
        let window = Window {
            from_us: at_us.saturating_sub(span_us),
            to_us: at_us,
        };
        let from = window.from_us.min(at_us.saturating_sub(LOOK_BACK_US));
        let (events, gaps) = timeline.read(&Query::between(from, at_us));
        let mut view = View {
            gaps,
            ..View::default()
        };
        for supervisor in &timeline.supervisors {
            view.sides
                .insert(Arc::clone(&supervisor.name), Side::default());
        }
        let words: Vec<String> = filter.split_whitespace().map(str::to_lowercase).collect();
        for event in &events {
            let side = view.sides.entry(Arc::clone(&event.supervisor)).or_default();
            side.picture.apply(&event.record);
            side.incarnation = event.incarnation;
            if event.at_us < window.from_us {
                continue;
            }
            if let Some(gauge) = gauge(event) {
                let lowest = gauge.levels.iter().copied().fold(1.0, f64::min);
                let (at_us, waiting, refused) = (event.at_us, gauge.waiting, gauge.refused);
                let service_level = gauge.service_level.clone();
                side.figures.push(Figure {
                    at_us,
                    waiting,
                    refused,
                    admitted: lowest,
                    service_level,
                });
            }
            if is_event(event) {
                view.rows.push(row(event));
            }
        }
        for gap in view.gaps.clone() {
            view.mark(gap, at_us);
        }
        view.rows.retain(|row| passes(row, &words));
        view.rows.sort_by_key(|row| row.at_us);
        let excess = view.rows.len().saturating_sub(EVENTS_MOST);
        view.rows.drain(..excess);
        view
    }

    /// A gap is a row of its own, and where the cursor lies in it nothing is shown as if it were known.
    fn mark(&mut self, gap: Gap, at_us: i64) {
        let text = format!("--- {}", printable(&gap.line()));
        let supervisor = Arc::clone(&gap.supervisor);
        self.rows.push(Row {
            at_us: gap.from_us,
            supervisor,
            text,
            sort: Sort::Gap,
        });
        if let Some(side) = self.sides.get_mut(&gap.supervisor) {
            if gap.to_us >= at_us && at_us.saturating_sub(gap.from_us) > STALLED_US {
                side.gap = Some(gap);
            }
        }
    }
}

/// Whether a row holds all words, in its time, its supervisor's name or its text.
fn passes(row: &Row, words: &[String]) -> bool {
    let whole =
        format!("{} {} {}", text::clock(row.at_us), row.supervisor, row.text).to_lowercase();
    words.iter().all(|word| whole.contains(word.as_str()))
}
