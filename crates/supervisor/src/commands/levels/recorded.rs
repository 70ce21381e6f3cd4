//! The signals that a supervisor recorded, once a second with its metrics.

use std::sync::Arc;

use chutegrade_limits::{Observation, Signal, SignalWindow};
use chutegrade_records::pb;
use chutegrade_records::timeline::{gauge, Event};

const US_PER_MS: i64 = 1000;

/// Metrics of one moment.
pub struct RecordedMetrics<'a> {
    /// When, in Unix microseconds.
    pub at_us: i64,
    /// The metrics.
    pub gauge: &'a pb::Gauge,
}

/// The metrics among events that one supervisor recorded.
pub fn metrics_of<'a>(events: &'a [Event], supervisor: &Arc<str>) -> Vec<RecordedMetrics<'a>> {
    events
        .iter()
        .filter(|event| event.supervisor == *supervisor)
        .filter_map(|event| {
            Some(RecordedMetrics {
                at_us: event.at_us,
                gauge: gauge(event)?,
            })
        })
        .collect()
}

/// Adds the signals of one moment to a window. Records made without limits hold no signals; their saturation is one.
pub fn observe(window: &mut SignalWindow, metrics: &RecordedMetrics) {
    let gauge = metrics.gauge;
    if gauge.signals.is_empty() {
        let saturation = certain_observation(metrics.at_us, gauge.strain);
        window.record(Signal::Saturation, saturation);
    }
    for recorded in &gauge.signals {
        let (Some(signal), Some(value)) = (Signal::by_name(&recorded.name), recorded.value) else {
            continue;
        };
        let age_ms = i64::try_from(recorded.age_ms).unwrap_or(i64::MAX);
        let observed_us = metrics
            .at_us
            .saturating_sub(age_ms.saturating_mul(US_PER_MS));
        window.record(signal, certain_observation(observed_us, value));
    }
}

fn certain_observation(at_us: i64, value: f64) -> Observation {
    Observation {
        at_us,
        value,
        confidence: 1.0,
    }
}
