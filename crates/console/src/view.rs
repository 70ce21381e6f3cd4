//! The data of one frame, read from the records: the state of each supervisor at the cursor, and the samples and events
//! before it.

use std::collections::BTreeMap;
use std::sync::Arc;

use chutegrade_records::index::{Query, STALLED_US};
use chutegrade_records::replay::{FleetState, LOOKBACK_US};
use chutegrade_records::text::printable;
use chutegrade_records::timeline::{gauge, is_discrete_event};
use chutegrade_records::{kind, pb, text, Event, Gap, Timeline, Window};

/// Maximum number of rows of events; the newest are shown.
const MAX_ROWS: usize = 2000;
/// Minimum delay between an event and its record that is shown, in microseconds.
const MIN_SHOWN_DELAY_US: i64 = 1_000_000;

/// Metrics of a supervisor at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The time, in Unix microseconds.
    pub at_us: i64,
    /// Number of lines queued in the channel.
    pub waiting: f64,
    /// Share of requests that were rejected, from 0 to 1.
    pub refused: f64,
    /// Lowest admitted share of any class, from 0 to 1.
    pub admitted: f64,
    /// The name of the service level, if any is configured.
    pub service_level: Option<String>,
}

impl Sample {
    fn new(at_us: i64, gauge: &pb::Gauge) -> Self {
        Sample {
            at_us,
            waiting: gauge.waiting,
            refused: gauge.refused,
            admitted: gauge.levels.iter().copied().fold(1.0, f64::min),
            service_level: gauge.service_level.clone(),
        }
    }
}

/// The data of one supervisor.
#[derive(Clone, Debug, Default)]
pub struct SupervisorView {
    /// The state of the fleet at the cursor according to its records.
    pub fleet_state: FleetState,
    /// The incarnation of its last record before the cursor; 0 if there is none.
    pub incarnation: u64,
    /// Its samples in the window, by time.
    pub samples: Vec<Sample>,
    /// The gap that contains the cursor, if any.
    pub gap: Option<Gap>,
}

/// One row of the list of events.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The time of the event or the start of the gap, in Unix microseconds.
    pub at_us: i64,
    /// The supervisor that recorded it.
    pub supervisor: Arc<str>,
    /// The description of the event or gap, without control characters.
    pub text: String,
    /// Determines the color of the row and whether it counts as a fault.
    pub kind: RowKind,
}

/// Whether a row shows a fault, a gap or another event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowKind {
    /// An event that is no fault.
    Event,
    /// An event that reports a fault.
    Fault,
    /// An interval with missing or unreliable records.
    Gap,
}

impl Row {
    fn of_event(event: &Event) -> Self {
        let is_fault = event.record.kind.as_ref().is_some_and(kind::is_fault);
        let delay_us = event.learned_us().saturating_sub(event.at_us);
        let mut text = printable(&event.line());
        if delay_us >= MIN_SHOWN_DELAY_US {
            text += &format!(" (learned {} later)", text::duration(delay_us));
        }
        Row {
            at_us: event.at_us,
            supervisor: Arc::clone(&event.supervisor),
            text,
            kind: if is_fault {
                RowKind::Fault
            } else {
                RowKind::Event
            },
        }
    }

    fn of_gap(gap: &Gap) -> Self {
        Row {
            at_us: gap.from_us,
            supervisor: Arc::clone(&gap.supervisor),
            text: format!("--- {}", printable(&gap.line())),
            kind: RowKind::Gap,
        }
    }

    /// Returns whether the time, the supervisor's name or the text contain all words, which must be in lower case.
    fn contains_all(&self, words: &[String]) -> bool {
        let time = text::time_of_day(self.at_us);
        let searched = format!("{time} {} {}", self.supervisor, self.text).to_lowercase();
        words.iter().all(|word| searched.contains(word.as_str()))
    }
}

/// The data of a frame.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The supervisors, by name.
    pub supervisors: BTreeMap<Arc<str>, SupervisorView>,
    /// Events and gaps before the cursor that match the filter, by time.
    pub rows: Vec<Row>,
}

impl View {
    /// Reads the state at the end of a window, and the samples and events in it. The filter is a list of words that a row
    /// must contain.
    pub fn read(timeline: &Timeline, window: Window, filter: &str) -> Self {
        let cursor_us = window.to_us;
        // The state at the cursor may depend on records before the window.
        let from_us = window.from_us.min(cursor_us.saturating_sub(LOOKBACK_US));
        let (events, gaps) = timeline.read(&Query::between(from_us, cursor_us));
        let mut view = View::default();
        for supervisor in &timeline.supervisors {
            let name = Arc::clone(&supervisor.name);
            view.supervisors.insert(name, SupervisorView::default());
        }
        for event in &events {
            view.add_event(event, window);
        }
        for gap in gaps {
            view.add_gap(gap, cursor_us);
        }
        view.finish_rows(filter);
        view
    }

    fn add_event(&mut self, event: &Event, window: Window) {
        let name = Arc::clone(&event.supervisor);
        let supervisor = self.supervisors.entry(name).or_default();
        supervisor.fleet_state.apply(&event.record);
        supervisor.incarnation = event.incarnation;
        if event.at_us < window.from_us {
            return;
        }
        if let Some(gauge) = gauge(event) {
            supervisor.samples.push(Sample::new(event.at_us, gauge));
        }
        if is_discrete_event(event) {
            self.rows.push(Row::of_event(event));
        }
    }

    /// Adds a row for a gap. The state of a supervisor is not shown if the cursor is in its gap.
    fn add_gap(&mut self, gap: Gap, cursor_us: i64) {
        self.rows.push(Row::of_gap(&gap));
        let Some(supervisor) = self.supervisors.get_mut(&gap.supervisor) else {
            return;
        };
        let is_long = cursor_us.saturating_sub(gap.from_us) > STALLED_US;
        if gap.to_us >= cursor_us && is_long {
            supervisor.gap = Some(gap);
        }
    }

    /// Filters and sorts the rows, and removes all but the newest.
    fn finish_rows(&mut self, filter: &str) {
        let words: Vec<String> = filter.split_whitespace().map(str::to_lowercase).collect();
        self.rows.retain(|row| row.contains_all(&words));
        self.rows.sort_by_key(|row| row.at_us);
        let excess = self.rows.len().saturating_sub(MAX_ROWS);
        self.rows.drain(..excess);
    }
}
