//! The signals that conditions test, and the window of recent observations of each.
//!
//! An observation has the time that it describes, which differs from the time at which it is received; observations may
//! arrive late, in batches or twice.

use std::fmt;

use crate::pb;

/// Maximum number of retained observations of each signal: one each half second for a minute.
const WINDOW_CAPACITY: usize = 120;
/// Observations below this confidence are ignored.
const MIN_CONFIDENCE: f64 = 0.2;

/// A monitored signal. The order of the variants is the order of their numbers in the schema.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// Saturation of the fleet, 0 to 1.
    Saturation,
    /// Share of admitted requests without a response within the latency objective.
    LateResponses,
    /// Mean number of requests queued at a server.
    QueueLength,
    /// Share of arrivals that are repeats by clients.
    RepeatedArrivals,
    /// Ratio of the capacity of the warm servers to the work of new arrivals.
    Headroom,
    /// Share of the zones that are partitioned from this supervisor.
    PartitionedZones,
}

/// All signals, in the order of their numbers.
pub const SIGNALS: [Signal; 6] = [
    Signal::Saturation,
    Signal::LateResponses,
    Signal::QueueLength,
    Signal::RepeatedArrivals,
    Signal::Headroom,
    Signal::PartitionedZones,
];

/// The values that a signal can take, both ends included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalRange {
    /// Minimum value.
    pub min: f64,
    /// Maximum value.
    pub max: f64,
}

impl Signal {
    /// Returns the name in the operators' file and in records.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Saturation => "SATURATION",
            Signal::LateResponses => "LATE",
            Signal::QueueLength => "QUEUE",
            Signal::RepeatedArrivals => "AGAIN",
            Signal::Headroom => "ROOM",
            Signal::PartitionedZones => "CUT",
        }
    }

    /// Returns the signal with a name, which may be in upper or lower case.
    pub fn by_name(name: &str) -> Option<Signal> {
        SIGNALS
            .into_iter()
            .find(|signal| signal.name().eq_ignore_ascii_case(name))
    }

    /// Returns the range of its values.
    pub fn range(self) -> SignalRange {
        let max = match self {
            Signal::QueueLength => 1e6,
            Signal::Headroom => 1e3,
            Signal::Saturation
            | Signal::LateResponses
            | Signal::RepeatedArrivals
            | Signal::PartitionedZones => 1.0,
        };
        SignalRange { min: 0.0, max }
    }

    /// Returns whether it derives from the endpoint list, which may be stale, rather than from load reports.
    pub fn depends_on_endpoint_list(self) -> bool {
        matches!(self, Signal::Headroom | Signal::PartitionedZones)
    }

    /// Converts the signal from the schema; `None` if it is unspecified.
    pub fn from_schema(signal: pb::Signal) -> Option<Signal> {
        match signal {
            pb::Signal::Unspecified => None,
            pb::Signal::Saturation => Some(Signal::Saturation),
            pb::Signal::Late => Some(Signal::LateResponses),
            pb::Signal::Queue => Some(Signal::QueueLength),
            pb::Signal::Again => Some(Signal::RepeatedArrivals),
            pb::Signal::Room => Some(Signal::Headroom),
            pb::Signal::Cut => Some(Signal::PartitionedZones),
        }
    }
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One value of a signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Time that the value describes, in microseconds.
    pub at_us: i64,
    /// Value of the signal, within its range once it is in a window.
    pub value: f64,
    /// Confidence in the value, from 0 to 1, which grows with the number of requests that it derives from.
    pub confidence: f64,
}

/// The newest value of a signal and its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalReading {
    /// Signal that was read.
    pub signal: Signal,
    /// Newest value, of any age; `None` without observations.
    pub value: Option<f64>,
    /// Age of the value, in microseconds; 0 without observations.
    pub age_us: i64,
}

/// The recent observations of all signals, ordered by the times that they describe.
#[derive(Clone, Debug, Default)]
pub struct SignalWindow {
    observations: [Vec<Observation>; SIGNALS.len()],
}

impl SignalWindow {
    /// Inserts an observation by the time that it describes. Returns whether it was inserted: it is ignored if the
    /// window has one for the same time or is full of newer ones, if its value is not finite, or if its confidence is
    /// low.
    pub fn record(&mut self, signal: Signal, observation: Observation) -> bool {
        let is_confident = observation.confidence >= MIN_CONFIDENCE;
        if !observation.value.is_finite() || !is_confident {
            return false;
        }
        let range = signal.range();
        let observation = Observation {
            value: observation.value.clamp(range.min, range.max),
            ..observation
        };
        let observations = &mut self.observations[signal as usize];
        let position = observations.partition_point(|other| other.at_us < observation.at_us);
        let is_duplicate = observations
            .get(position)
            .is_some_and(|other| other.at_us == observation.at_us);
        if is_duplicate {
            return false;
        }
        if observations.len() < WINDOW_CAPACITY {
            observations.insert(position, observation);
            return true;
        }
        if position == 0 {
            return false;
        }
        observations.remove(0);
        observations.insert(position - 1, observation);
        true
    }

    /// Returns all observations of a signal, the oldest first.
    pub fn observations(&self, signal: Signal) -> &[Observation] {
        &self.observations[signal as usize]
    }

    /// Returns the newest observation of a signal, if its age is at most `max_age_us`.
    pub fn newest(&self, signal: Signal, now_us: i64, max_age_us: i64) -> Option<Observation> {
        let newest = self.observations(signal).last().copied()?;
        let age_us = now_us.saturating_sub(newest.at_us);
        (age_us <= max_age_us).then_some(newest)
    }

    /// Returns the newest value of a signal, of any age.
    pub fn reading(&self, signal: Signal, now_us: i64) -> SignalReading {
        let newest = self.observations(signal).last();
        SignalReading {
            signal,
            value: newest.map(|observation| observation.value),
            age_us: newest.map_or(0, |observation| now_us.saturating_sub(observation.at_us)),
        }
    }

    /// Returns for how long the values of a signal have met a predicate up to the newest observation, in microseconds;
    /// `None` if the newest value doesn't meet it. Uses the times that observations describe, so that batched
    /// observations count like single ones. A gap longer than `max_gap_us` ends the span.
    pub fn holding_time_us(
        &self,
        signal: Signal,
        max_gap_us: i64,
        is_met: impl Fn(f64) -> bool,
    ) -> Option<i64> {
        let observations = self.observations(signal);
        let newest = observations.last()?;
        if !is_met(newest.value) {
            return None;
        }
        let mut start_us = newest.at_us;
        for observation in observations.iter().rev().skip(1) {
            let gap_us = start_us.saturating_sub(observation.at_us);
            if !is_met(observation.value) || gap_us > max_gap_us {
                break;
            }
            start_us = observation.at_us;
        }
        Some(newest.at_us - start_us)
    }
}

#[cfg(test)]
mod tests;
