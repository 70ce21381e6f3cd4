//! Samples over time in buckets of equal width, for charts.

use std::collections::BTreeMap;
use std::sync::Arc;

use chutegrade_records::index::STALLED_US;
use chutegrade_records::{pb, Window};

/// Maximum number of buckets in a window. More could not be distinguished on a page.
const MAX_BUCKETS: i64 = 720;
/// Minimum width of a bucket, in microseconds. Samples are recorded every second.
const MIN_BUCKET_US: i64 = 1_000_000;

/// The aggregated samples of one supervisor in one bucket.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bucket {
    /// Number of samples.
    pub count: u32,
    /// Maximum number of lines queued in the channel.
    pub waiting: f64,
    /// Largest share of requests that were rejected, from 0 to 1.
    pub refused: f64,
    /// Number of streams at the last sample.
    pub streams: u32,
    /// Maximum number of servers reduced or withdrawn.
    pub out: u32,
    /// Lowest admitted share of each class, from 0 to 1, by index of the class.
    pub levels: Vec<f64>,
    /// The service level at the last sample, if any is configured.
    pub service_level: Option<String>,
}

impl Bucket {
    fn add(&mut self, gauge: &pb::Gauge) {
        self.count += 1;
        self.waiting = self.waiting.max(gauge.waiting);
        self.refused = self.refused.max(gauge.refused);
        self.streams = gauge.streams;
        self.service_level.clone_from(&gauge.service_level);
        self.out = self.out.max(gauge.reduced + gauge.withdrawn);
        let classes = self.levels.len().max(gauge.levels.len());
        self.levels.resize(classes, 1.0);
        for (lowest, level) in self.levels.iter_mut().zip(&gauge.levels) {
            *lowest = lowest.min(*level);
        }
    }
}

/// A point of a line in a chart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Unix time in microseconds.
    pub at_us: i64,
    /// A count, or a share from 0 to 1, depending on the chart.
    pub value: f64,
}

/// Consecutive points without a gap between them.
pub type Run = Vec<Point>;

/// An interval with the same service level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LevelSpan {
    /// The start of the interval, in Unix microseconds.
    pub from_us: i64,
    /// The end of the interval, in Unix microseconds.
    pub to_us: i64,
    /// The name of the level.
    pub level: String,
}

/// Samples of all supervisors in a window, in buckets of equal width.
#[derive(Clone, Debug, PartialEq)]
pub struct Samples {
    window: Window,
    /// Width of a bucket, in microseconds.
    width_us: i64,
    /// Buckets by supervisor and index, counted from the start of the window.
    buckets: BTreeMap<Arc<str>, BTreeMap<i64, Bucket>>,
}

impl Samples {
    /// Creates empty samples for a window.
    pub(crate) fn new(window: Window) -> Self {
        let length_us = window.to_us.saturating_sub(window.from_us).max(1);
        Samples {
            window,
            width_us: (length_us / MAX_BUCKETS).max(MIN_BUCKET_US),
            buckets: BTreeMap::new(),
        }
    }

    /// Adds a sample at a time within the window.
    pub(crate) fn add(&mut self, supervisor: &Arc<str>, at_us: i64, gauge: &pb::Gauge) {
        let index = (at_us - self.window.from_us) / self.width_us;
        let buckets = self.buckets.entry(Arc::clone(supervisor)).or_default();
        buckets.entry(index).or_default().add(gauge);
    }

    /// Returns a supervisor's buckets with their start in Unix microseconds, by time.
    fn buckets_of(&self, supervisor: &str) -> impl Iterator<Item = (i64, &Bucket)> {
        let buckets = self.buckets.get(supervisor).into_iter().flatten();
        buckets.map(|(index, bucket)| (self.window.from_us + index * self.width_us, bucket))
    }

    /// Returns a value of a supervisor over time. A new run starts after each interval without samples.
    pub fn runs(&self, supervisor: &str, value: impl Fn(&Bucket) -> f64) -> Vec<Run> {
        let max_distance_us = STALLED_US.max(2 * self.width_us);
        let mut runs: Vec<Run> = Vec::new();
        let mut last_us: Option<i64> = None;
        for (at_us, bucket) in self.buckets_of(supervisor) {
            let point = Point {
                at_us,
                value: value(bucket),
            };
            let continues = last_us.is_some_and(|last_us| at_us - last_us <= max_distance_us);
            match runs.last_mut() {
                Some(run) if continues => run.push(point),
                _ => runs.push(vec![point]),
            }
            last_us = Some(at_us);
        }
        runs
    }

    /// Returns the service levels of a supervisor over time, without spans for intervals without samples.
    pub fn service_levels(&self, supervisor: &str) -> Vec<LevelSpan> {
        let mut spans: Vec<LevelSpan> = Vec::new();
        for (from_us, bucket) in self.buckets_of(supervisor) {
            let Some(level) = &bucket.service_level else {
                continue;
            };
            let to_us = (from_us + self.width_us).min(self.window.to_us);
            if let Some(last) = spans.last_mut() {
                let is_adjacent = from_us - last.to_us <= STALLED_US;
                if is_adjacent && last.level == *level {
                    last.to_us = to_us;
                    continue;
                }
                if is_adjacent {
                    last.to_us = from_us;
                }
            }
            spans.push(LevelSpan {
                from_us,
                to_us,
                level: level.clone(),
            });
        }
        spans
    }
}
