//! What the page shows, taken from records in slices of time, so that a day of a million records needs no more memory than
//! an hour of it.

use std::collections::BTreeMap;
use std::sync::Arc;

use chutegrade_records::incidents::{Reconstruction, Reconstructor};
use chutegrade_records::index::{Query, STALLED_US};
use chutegrade_records::replay::LOOK_BACK_US;
use chutegrade_records::timeline::{in_order, is_event};
use chutegrade_records::{kind, pb, Event, Gap, Kind, Timeline, Window};

/// Length of the slices in which records are read, in microseconds: a few thousand records of a large fleet.
const SLICE_US: i64 = 300_000_000;
/// Columns of a chart at most: what can be told apart on a page.
const COLUMNS_MOST: i64 = 720;
/// Least width of a column, in microseconds: figures come each second.
const COLUMN_LEAST_US: i64 = 1_000_000;

/// How much the page may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Rows for events that are trouble.
    pub troubles: usize,
    /// Rows for other events, as streams that join.
    pub others: usize,
    /// Rows of the chart of servers.
    pub servers: usize,
}

impl Default for Limits {
    /// A page of some 3 MiB at most, which browsers open in a second.
    fn default() -> Self {
        Limits {
            troubles: 5000,
            others: 5000,
            servers: 80,
        }
    }
}

/// One supervisor's figures over one column of the charts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Column {
    /// Records of figures in it.
    pub count: u32,
    /// Most lines waiting.
    pub waiting: f64,
    /// Largest share refused.
    pub refused: f64,
    /// Streams at the end of it.
    pub streams: u32,
    /// Most servers without weight, or with less.
    pub out: u32,
    /// Lowest level of each class.
    pub levels: Vec<f64>,
    /// The level of service at its end, where there are levels.
    pub service: Option<String>,
}

impl Column {
    fn add(&mut self, gauge: &pb::Gauge) {
        self.count += 1;
        self.waiting = self.waiting.max(gauge.waiting);
        self.refused = self.refused.max(gauge.refused);
        self.streams = gauge.streams;
        self.service.clone_from(&gauge.service_level);
        self.out = self.out.max(gauge.reduced + gauge.withdrawn);
        self.levels
            .resize(self.levels.len().max(gauge.levels.len()), 1.0);
        for (known, level) in self.levels.iter_mut().zip(&gauge.levels) {
            *known = known.min(*level);
        }
    }
}

/// Figures of all supervisors in columns of equal width.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Columns {
    /// Width of a column, in microseconds.
    pub width_us: i64,
    /// By supervisor and number of the column.
    pub of: BTreeMap<Arc<str>, BTreeMap<i64, Column>>,
}

/// One line of a chart: runs of points, each run without a gap.
pub type Runs = Vec<Vec<(i64, f64)>>;

impl Columns {
    fn new(window: Window) -> Self {
        let length = window.to_us.saturating_sub(window.from_us).max(1);
        Columns {
            width_us: (length / COLUMNS_MOST).max(COLUMN_LEAST_US),
            of: BTreeMap::new(),
        }
    }

    /// A figure of one supervisor as points in time; where nothing is known for too long, the line breaks.
    pub fn runs(&self, supervisor: &str, window: Window, figure: impl Fn(&Column) -> f64) -> Runs {
        let mut runs: Runs = Vec::new();
        for (number, column) in self.of.get(supervisor).into_iter().flatten() {
            let at_us = window.from_us + number * self.width_us;
            let last = runs.last().and_then(|run| run.last()).map(|(at, _)| *at);
            let breaks = last.is_none_or(|last| at_us - last > STALLED_US.max(2 * self.width_us));
            if breaks {
                runs.push(Vec::new());
            }
            if let Some(run) = runs.last_mut() {
                run.push((at_us, figure(column)));
            }
        }
        runs
    }
}

/// A level of service in force from one time to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Served {
    /// Its begin, in Unix microseconds.
    pub from_us: i64,
    /// Its end.
    pub to_us: i64,
    /// Its name.
    pub level: String,
}

impl Columns {
    /// The levels of one supervisor over time; where nothing is known for too long there is none.
    pub fn served(&self, supervisor: &str, window: Window) -> Vec<Served> {
        let mut served: Vec<Served> = Vec::new();
        for (number, column) in self.of.get(supervisor).into_iter().flatten() {
            let Some(level) = &column.service else {
                continue;
            };
            let from_us = window.from_us + number * self.width_us;
            let to_us = (from_us + self.width_us).min(window.to_us);
            match served.last_mut() {
                Some(last) if from_us - last.to_us <= STALLED_US && last.level == *level => {
                    last.to_us = to_us
                }
                Some(last) => {
                    if from_us - last.to_us <= STALLED_US {
                        last.to_us = from_us;
                    }
                    served.push(Served {
                        from_us,
                        to_us,
                        level: level.clone(),
                    });
                }
                None => served.push(Served {
                    from_us,
                    to_us,
                    level: level.clone(),
                }),
            }
        }
        served
    }
}

/// All that the page shows.
pub struct Findings {
    /// The window.
    pub window: Window,
    /// Supervisors with how far their clocks were ahead, in microseconds, and by how many pieces of shared news.
    pub supervisors: Vec<(Arc<str>, i64, usize)>,
    /// Versions that were started, by supervisor.
    pub versions: BTreeMap<Arc<str>, String>,
    /// The incidents, and what else happened.
    pub incidents: Reconstruction,
    /// Figures.
    pub columns: Columns,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Events in true order.
    pub events: Vec<Event>,
    /// Events that were left out, by kind.
    pub left_out: BTreeMap<&'static str, u64>,
    /// Intervals of which not all is known.
    pub gaps: Vec<Gap>,
    /// Records that were read.
    pub records: u64,
    /// How much the page may hold.
    pub limits: Limits,
}

struct Gatherer {
    window: Window,
    limits: Limits,
    reconstructor: Reconstructor,
    columns: Columns,
    troubles: Vec<Event>,
    others: Vec<Event>,
    left_out: BTreeMap<&'static str, u64>,
    versions: BTreeMap<Arc<str>, String>,
    classes: Vec<String>,
    records: u64,
}

/// Reads what a page about a window shows.
pub fn gather(timeline: &Timeline, window: Window, limits: Limits) -> Findings {
    let gaps = timeline.gaps(window);
    let mut gatherer = Gatherer {
        window,
        limits,
        reconstructor: Reconstructor::new(&gaps, window),
        columns: Columns::new(window),
        troubles: Vec::new(),
        others: Vec::new(),
        left_out: BTreeMap::new(),
        versions: BTreeMap::new(),
        classes: Vec::new(),
        records: 0,
    };
    // Starts tell names that hold for long after.
    let started = Query {
        kinds: vec![10],
        to_us: Some(window.to_us),
        ..Query::default()
    };
    timeline
        .read(&started)
        .0
        .iter()
        .for_each(|event| gatherer.started(event));
    let mut found = Vec::new();
    let mut from_us = window.from_us.saturating_sub(LOOK_BACK_US);
    while from_us <= window.to_us {
        let to_us = from_us.saturating_add(SLICE_US - 1).min(window.to_us);
        let (events, gaps) = timeline.read(&Query::between(from_us, to_us));
        // What only reading shows: damage since the index was made.
        found.extend(
            gaps.into_iter()
                .filter(|gap| gap.detail.starts_with("damaged since")),
        );
        events.into_iter().for_each(|event| gatherer.take(event));
        from_us = to_us.saturating_add(1);
    }
    gatherer.finish(timeline, gaps, found)
}

impl Gatherer {
    fn started(&mut self, event: &Event) {
        if let Some(Kind::Started(of)) = &event.record.kind {
            self.versions
                .insert(Arc::clone(&event.supervisor), of.version.clone());
            self.classes.clone_from(&of.classes);
        }
    }

    fn take(&mut self, event: Event) {
        self.reconstructor.follow(&event);
        if event.at_us < self.window.from_us {
            return;
        }
        self.records += 1;
        if let Some(Kind::Gauge(gauge)) = &event.record.kind {
            let number = (event.at_us - self.window.from_us) / self.columns.width_us;
            let of = self
                .columns
                .of
                .entry(Arc::clone(&event.supervisor))
                .or_default();
            of.entry(number).or_default().add(gauge);
        }
        if !is_event(&event) {
            return;
        }
        let trouble = event.record.kind.as_ref().is_some_and(kind::is_trouble);
        let (rows, most) = if trouble {
            (&mut self.troubles, self.limits.troubles)
        } else {
            (&mut self.others, self.limits.others)
        };
        if rows.len() < most {
            rows.push(event);
        } else {
            *self.left_out.entry(kind::name(event.number)).or_default() += 1;
        }
    }

    fn finish(self, timeline: &Timeline, gaps: Vec<Gap>, found: Vec<Gap>) -> Findings {
        let (mut events, mut gaps) = (self.troubles, gaps);
        events.extend(self.others);
        in_order(&mut events);
        gaps.extend(found);
        gaps.sort_by_key(|gap| (gap.from_us, gap.to_us));
        gaps.dedup();
        let clock = |s: &chutegrade_records::timeline::Supervisor| {
            (Arc::clone(&s.name), s.ahead_us, s.ahead_by)
        };
        Findings {
            window: self.window,
            supervisors: timeline.supervisors.iter().map(clock).collect(),
            versions: self.versions,
            incidents: self.reconstructor.finish(),
            columns: self.columns,
            classes: self.classes,
            events,
            left_out: self.left_out,
            gaps,
            records: self.records,
            limits: self.limits,
        }
    }
}
