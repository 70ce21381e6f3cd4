//! Reads the content of the page in slices of time, so that a day of a million records takes no more memory than an hour.

use std::collections::BTreeMap;
use std::sync::Arc;

use chutegrade_records::incidents::Reconstructor;
use chutegrade_records::index::Query;
use chutegrade_records::replay::LOOKBACK_US;
use chutegrade_records::timeline::{is_discrete_event, sort_events};
use chutegrade_records::{kind, Event, Gap, Kind, Timeline, Window};

use crate::findings::{Findings, PageLimits, SupervisorClock};
use crate::samples::Samples;

/// Length of a slice, in microseconds. A slice of a large fleet has a few thousand records.
const SLICE_US: i64 = 300_000_000;
/// The number of [`Kind::Started`] in a record.
const STARTED_KIND: u32 = 10;
/// Prefix of the detail of gaps that appear only when records are read, and are not in the index.
const NEW_DAMAGE: &str = "damaged since";

/// Reads the content of the page for a window.
pub fn gather(timeline: &Timeline, window: Window, limits: PageLimits) -> Findings {
    let mut gaps = timeline.gaps(window);
    let mut gatherer = Gatherer::new(window, limits, &gaps);
    gatherer.add_starts(timeline);
    let mut from_us = window.from_us.saturating_sub(LOOKBACK_US);
    while from_us <= window.to_us {
        let to_us = from_us.saturating_add(SLICE_US - 1).min(window.to_us);
        let (events, slice_gaps) = timeline.read(&Query::between(from_us, to_us));
        let is_new = |gap: &Gap| gap.detail.starts_with(NEW_DAMAGE);
        gaps.extend(slice_gaps.into_iter().filter(is_new));
        for event in events {
            gatherer.add(event);
        }
        from_us = to_us.saturating_add(1);
    }
    gaps.sort_by_key(|gap| (gap.from_us, gap.to_us));
    gaps.dedup();
    gatherer.finish(timeline, gaps)
}

struct Gatherer {
    window: Window,
    limits: PageLimits,
    reconstructor: Reconstructor,
    samples: Samples,
    faults: Vec<Event>,
    other_events: Vec<Event>,
    omitted: BTreeMap<&'static str, u64>,
    versions: BTreeMap<Arc<str>, String>,
    classes: Vec<String>,
    records: u64,
}

impl Gatherer {
    fn new(window: Window, limits: PageLimits, gaps: &[Gap]) -> Self {
        Gatherer {
            window,
            limits,
            reconstructor: Reconstructor::new(gaps, window),
            samples: Samples::new(window),
            faults: Vec::new(),
            other_events: Vec::new(),
            omitted: BTreeMap::new(),
            versions: BTreeMap::new(),
            classes: Vec::new(),
            records: 0,
        }
    }

    /// Reads versions and classes from the start records up to the end of the window.
    fn add_starts(&mut self, timeline: &Timeline) {
        let starts = Query {
            kinds: vec![STARTED_KIND],
            to_us: Some(self.window.to_us),
            ..Query::default()
        };
        let (events, _) = timeline.read(&starts);
        for event in &events {
            let Some(Kind::Started(started)) = &event.record.kind else {
                continue;
            };
            let supervisor = Arc::clone(&event.supervisor);
            self.versions.insert(supervisor, started.version.clone());
            self.classes.clone_from(&started.classes);
        }
    }

    fn add(&mut self, event: Event) {
        self.reconstructor.process(&event);
        if event.at_us < self.window.from_us {
            return;
        }
        self.records += 1;
        if let Some(Kind::Gauge(gauge)) = &event.record.kind {
            self.samples.add(&event.supervisor, event.at_us, gauge);
        }
        if is_discrete_event(&event) {
            self.add_row(event);
        }
    }

    fn add_row(&mut self, event: Event) {
        let is_fault = event.record.kind.as_ref().is_some_and(kind::is_fault);
        let (rows, max_rows) = if is_fault {
            (&mut self.faults, self.limits.faults)
        } else {
            (&mut self.other_events, self.limits.other_events)
        };
        if rows.len() < max_rows {
            rows.push(event);
        } else {
            *self.omitted.entry(kind::name(event.number)).or_default() += 1;
        }
    }

    fn finish(self, timeline: &Timeline, gaps: Vec<Gap>) -> Findings {
        let mut events = self.faults;
        events.extend(self.other_events);
        sort_events(&mut events);
        let supervisors = timeline.supervisors.iter();
        Findings {
            window: self.window,
            supervisors: supervisors.map(SupervisorClock::from).collect(),
            versions: self.versions,
            reconstruction: self.reconstructor.finish(),
            samples: self.samples,
            classes: self.classes,
            events,
            omitted: self.omitted,
            gaps,
            records: self.records,
            limits: self.limits,
        }
    }
}
