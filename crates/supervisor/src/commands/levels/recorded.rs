//! Signals from the metrics that a supervisor records once a second.

use std::sync::Arc;

use chutegrade_limits::{Observation, Signal, SignalWindow};
use chutegrade_records::pb;
use chutegrade_records::timeline::{gauge, Event};

const US_PER_MS: i64 = 1000;

/// Metrics recorded at one time.
pub struct RecordedMetrics<'a> {
    /// When they were recorded, in Unix microseconds.
    pub at_us: i64,
    /// The recorded metrics, with the signals and the level in force.
    pub gauge: &'a pb::Gauge,
}

/// Returns the metrics that one supervisor recorded, in the order of the events.
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

/// Adds recorded signals to a window. Metrics recorded without limits contain no signals; their saturation is used
/// instead.
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
