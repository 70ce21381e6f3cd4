//! Aggregates of the records of ten seconds.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::pb::{record::Kind, Gauge, Record, Rollup};

/// Maximum number of queued lines that the histogram can represent.
const MAX_WAITING: u64 = 10_000_000;
/// Significant decimal digits of the histogram, more than a chart shows.
const WAITING_DIGITS: u8 = 2;

/// The minimum and maximum number of streams.
#[derive(Clone, Copy)]
struct StreamRange {
    min: u32,
    max: u32,
}

/// A rollup to which records are being added.
pub(super) struct RollupBuilder {
    /// The begin of the rollup, in Unix microseconds.
    pub from_us: i64,
    counts: BTreeMap<u32, u32>,
    waiting: Histogram<u64>,
    refused_sum: f64,
    refused_max: f64,
    samples: u32,
    streams: Option<StreamRange>,
    withdrawn_max: u32,
    /// The lowest admission level of each class.
    levels: Vec<f64>,
}

impl RollupBuilder {
    /// Creates an empty rollup, or returns `None` if its histogram can't be created.
    pub fn new(from_us: i64) -> Option<Self> {
        let waiting = Histogram::new_with_max(MAX_WAITING, WAITING_DIGITS).ok()?;
        Some(RollupBuilder {
            from_us,
            counts: BTreeMap::new(),
            waiting,
            refused_sum: 0.0,
            refused_max: 0.0,
            samples: 0,
            streams: None,
            withdrawn_max: 0,
            levels: Vec::new(),
        })
    }

    /// Adds a record. `number` is the number of its kind.
    pub fn add(&mut self, number: u32, record: &Record) {
        *self.counts.entry(number).or_default() += 1;
        if let Some(Kind::Gauge(gauge)) = &record.kind {
            self.add_sample(gauge);
        }
    }

    fn add_sample(&mut self, gauge: &Gauge) {
        self.waiting
            .saturating_record(gauge.waiting.max(0.0) as u64);
        self.refused_sum += gauge.refused;
        self.refused_max = self.refused_max.max(gauge.refused);
        self.samples += 1;
        self.withdrawn_max = self.withdrawn_max.max(gauge.withdrawn);
        let streams = self.streams.unwrap_or(StreamRange {
            min: gauge.streams,
            max: gauge.streams,
        });
        self.streams = Some(StreamRange {
            min: streams.min.min(gauge.streams),
            max: streams.max.max(gauge.streams),
        });
        let classes = self.levels.len().max(gauge.levels.len());
        self.levels.resize(classes, 1.0);
        for (lowest, level) in self.levels.iter_mut().zip(&gauge.levels) {
            *lowest = lowest.min(*level);
        }
    }

    /// Returns the rollup; its quantiles and means are 0 without samples of metrics.
    pub fn finish(self) -> Rollup {
        let streams = self.streams.unwrap_or(StreamRange { min: 0, max: 0 });
        let quantile = |share: f64| self.waiting.value_at_quantile(share) as f64;
        Rollup {
            from_us: self.from_us,
            waiting_p50: quantile(0.5),
            waiting_p95: quantile(0.95),
            waiting_most: self.waiting.max() as f64,
            refused_mean: self.refused_sum / f64::from(self.samples.max(1)),
            refused_most: self.refused_max,
            streams_least: streams.min,
            streams_most: streams.max,
            withdrawn_most: self.withdrawn_max,
            counts: self.counts,
            levels: self.levels,
        }
    }
}
