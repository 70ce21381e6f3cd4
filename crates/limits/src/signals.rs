//! Signals: what conditions are made of. Each has the time of which it tells, which is not the time at which it is learned;
//! samples may come late, together or twice.

use crate::pb;

/// How many samples of a signal are kept: a minute of one each half second.
const KEPT: usize = 120;

/// What is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// How far the fleet is saturated, 0 to 1.
    Saturation,
    /// Share of admitted requests that get no answer, or one beyond the aim.
    Late,
    /// Requests that wait at a server, in the mean.
    Queue,
    /// Share of what comes that came before.
    Again,
    /// What warm servers can do over what comes for the first time.
    Room,
    /// Share of the zones that are cut off from here.
    Cut,
}

/// All signals, in the order of their numbers.
pub const SIGNALS: [Signal; 6] = [
    Signal::Saturation,
    Signal::Late,
    Signal::Queue,
    Signal::Again,
    Signal::Room,
    Signal::Cut,
];

impl Signal {
    /// Its name as the text format has it.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Saturation => "SATURATION",
            Signal::Late => "LATE",
            Signal::Queue => "QUEUE",
            Signal::Again => "AGAIN",
            Signal::Room => "ROOM",
            Signal::Cut => "CUT",
        }
    }

    /// A signal by its name.
    pub fn by_name(name: &str) -> Option<Signal> {
        SIGNALS
            .into_iter()
            .find(|signal| signal.name().eq_ignore_ascii_case(name))
    }

    /// Least and greatest value.
    pub fn range(self) -> (f64, f64) {
        match self {
            Signal::Saturation | Signal::Late | Signal::Again | Signal::Cut => (0.0, 1.0),
            Signal::Queue => (0.0, 1e6),
            Signal::Room => (0.0, 1e3),
        }
    }

    /// Whether more of it is worse.
    pub fn worse_up(self) -> bool {
        self != Signal::Room
    }

    /// Whether it follows from the list of servers, which may be late, rather than from what is measured.
    pub fn by_list(self) -> bool {
        matches!(self, Signal::Room | Signal::Cut)
    }

    /// The signal that a schema's number means.
    pub fn of(signal: pb::Signal) -> Option<Signal> {
        match signal {
            pb::Signal::Unspecified => None,
            pb::Signal::Saturation => Some(Signal::Saturation),
            pb::Signal::Late => Some(Signal::Late),
            pb::Signal::Queue => Some(Signal::Queue),
            pb::Signal::Again => Some(Signal::Again),
            pb::Signal::Room => Some(Signal::Room),
            pb::Signal::Cut => Some(Signal::Cut),
        }
    }
}

/// One value of a signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The time of which it tells, in microseconds.
    pub at: i64,
    /// The value.
    pub value: f64,
    /// How sure it is, from 0 to 1: by how much it rests on.
    pub sure: f64,
}

/// What a signal shows at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalReading {
    /// The signal.
    pub signal: Signal,
    /// Its newest value, whatever its age; nothing if it never told.
    pub value: Option<f64>,
    /// The age of that value, in microseconds.
    pub age: i64,
}

/// Samples below this are passed over: they rest on next to nothing.
const SURE_LEAST: f64 = 0.2;

/// The samples of all signals, by their own times.
#[derive(Clone, Debug, Default)]
pub struct SignalWindow {
    samples: [Vec<Observation>; SIGNALS.len()],
}

impl SignalWindow {
    /// Takes a sample in. One that tells of a time that is known already, as one that comes twice, changes nothing; one
    /// that comes late takes its place in time. What is no number, or rests on too little, is passed over.
    pub fn learn(&mut self, signal: Signal, sample: Observation) -> bool {
        if !sample.value.is_finite() || sample.sure.is_nan() || sample.sure < SURE_LEAST {
            return false;
        }
        let (least, most) = signal.range();
        let sample = Observation {
            value: sample.value.clamp(least, most),
            ..sample
        };
        let samples = &mut self.samples[signal as usize];
        let place = samples.partition_point(|known| known.at < sample.at);
        if samples
            .get(place)
            .is_some_and(|known| known.at == sample.at)
        {
            return false;
        }
        if samples.len() >= KEPT {
            if place == 0 {
                return false;
            }
            samples.remove(0);
            samples.insert(place - 1, sample);
        } else {
            samples.insert(place, sample);
        }
        true
    }

    /// All samples of a signal, the oldest first.
    pub fn of(&self, signal: Signal) -> &[Observation] {
        &self.samples[signal as usize]
    }

    /// The newest sample, if it is no older than so long, in microseconds.
    pub fn newest(&self, signal: Signal, now: i64, most_age: i64) -> Option<Observation> {
        let newest = self.of(signal).last().copied()?;
        (now.saturating_sub(newest.at) <= most_age).then_some(newest)
    }

    /// What a signal shows, whatever the age of its newest value.
    pub fn shown(&self, signal: Signal, now: i64) -> SignalReading {
        let newest = self.of(signal).last();
        SignalReading {
            signal,
            value: newest.map(|of| of.value),
            age: newest.map_or(0, |of| now.saturating_sub(of.at)),
        }
    }

    /// For how long a signal has told that something holds, in microseconds by its own times, up to the newest sample:
    /// samples that arrive together count as much as they would have one by one. Nothing while the newest tells otherwise;
    /// a hole longer than `most_hole` ends what was before it.
    pub fn held(&self, signal: Signal, most_hole: i64, holds: impl Fn(f64) -> bool) -> Option<i64> {
        let samples = self.of(signal);
        let newest = samples.last().filter(|newest| holds(newest.value))?;
        let mut since = newest.at;
        for sample in samples.iter().rev().skip(1) {
            if !holds(sample.value) || since.saturating_sub(sample.at) > most_hole {
                break;
            }
            since = sample.at;
        }
        Some(newest.at - since)
    }
}

#[cfg(test)]
mod tests;
