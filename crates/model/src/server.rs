//! A server: cores shared among the requests in work, a waiting room, connections, a cold start, and what troubles do to it.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::scenario::{Cancel, Kind};
use crate::sim::AttemptKey;

/// Time over which the recent service time is smoothed: weight of the newest.
const NEWEST: f64 = 0.2;

/// Whether a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It runs.
    Up,
    /// It has died; it may come back.
    Down,
    /// It runs until it dies, and should get nothing new.
    Draining,
    /// It is gone for good.
    Gone,
}

/// What troubles do to a server at the moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Effects {
    /// It answers nothing.
    pub hangs: bool,
    /// Share that it fails at once.
    pub fails: f64,
    /// So many times slower.
    pub slow: f64,
    /// Share of the machine that others take.
    pub taken: f64,
    /// So many times the usual work for a new connection, and so many microseconds more.
    pub handshake: (f64, u64),
}

impl Default for Effects {
    fn default() -> Self {
        Effects {
            hangs: false,
            fails: 0.0,
            slow: 1.0,
            taken: 0.0,
            handshake: (1.0, 0),
        }
    }
}

/// Where an attempt is within a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    /// Not there, or not any more.
    Away,
    /// It waits.
    Waiting,
    /// It is in work, at this place among those in work.
    Working((u64, u64)),
}

/// What a server does with an attempt that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It is in work or waits.
    In(Place),
    /// The server is full.
    Full,
    /// It failed at once.
    Failed,
}

/// A server.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub name: Rc<str>,
    /// Its zone.
    pub zone: usize,
    /// Its kind.
    pub kind: usize,
    /// Whether it runs.
    pub life: Life,
    /// Its listed weight.
    pub listed: f64,
    /// Its last start, if it did not run from the beginning.
    pub started_us: Option<u64>,
    /// What troubles do to it.
    pub effects: Effects,
    /// Open connections.
    pub connections: u32,
    /// Probes that it is answering.
    pub probes: u32,
    /// Number of the standing completion event; older ones are void.
    pub version: u32,
    /// When that comes.
    pub due_us: Option<u64>,
    /// Work sent to it while it is cold: when, how much, and whether with knowledge of its start.
    pub sent_cold: VecDeque<(u64, f64, bool)>,
    /// It fell over while cold, and stays down.
    pub fallen: bool,
    /// What it last reported, and when: waiting requests and recent service time.
    pub told: (u64, f64, f64),
    cores: f64,
    speed: f64,
    slots: usize,
    queue: usize,
    cold: (f64, u64),
    thrash: (f64, f64),
    /// Connections at most, and what is lost when all are open.
    full: (f64, f64),
    /// Work done for each request since the server was last idle, in milliseconds.
    done: f64,
    at_us: u64,
    working: BTreeMap<(u64, u64), (AttemptKey, u64)>,
    waiting: VecDeque<(AttemptKey, f64)>,
    seq: u64,
    service_ms: f64,
}

impl Server {
    /// A server of a kind, so many times as fast as usual.
    pub fn new(name: Rc<str>, zone: usize, number: usize, kind: &Kind, faster: f64) -> Self {
        Server {
            name,
            zone,
            kind: number,
            life: Life::Up,
            listed: kind.cores * kind.speed,
            started_us: None,
            effects: Effects::default(),
            connections: 0,
            probes: 0,
            version: 0,
            due_us: None,
            sent_cold: VecDeque::new(),
            fallen: false,
            told: (0, 0.0, 0.0),
            cores: kind.cores,
            speed: kind.speed * faster,
            slots: kind.slots,
            queue: kind.queue,
            cold: (kind.cold_from, kind.cold_us),
            thrash: (kind.thrash, kind.thrash_at),
            full: (f64::from(kind.connections), kind.full_tax),
            done: 0.0,
            at_us: 0,
            working: BTreeMap::new(),
            waiting: VecDeque::new(),
            seq: 0,
            service_ms: 0.0,
        }
    }

    /// Whether it takes requests.
    pub fn runs(&self) -> bool {
        matches!(self.life, Life::Up | Life::Draining)
    }

    /// Share of its capacity that it has after its start.
    pub fn warmth(&self, now: u64) -> f64 {
        let (from, length) = self.cold;
        match self.started_us {
            Some(started) if now < started + length => {
                from + (1.0 - from) * (now.saturating_sub(started)) as f64 / length as f64
            }
            _ => 1.0,
        }
    }

    /// Whether it is still cold.
    pub fn is_cold(&self, now: u64) -> bool {
        self.started_us
            .is_some_and(|started| now < started + self.cold.1)
    }

    /// Work that it can do in a second, in seconds; nothing while it hangs or is down.
    pub fn capacity(&self, now: u64) -> f64 {
        if !self.runs() || self.effects.hangs {
            return 0.0;
        }
        let (most, tax) = self.full;
        let open = 1.0 - tax * (f64::from(self.connections) / most).min(1.0);
        self.cores * self.speed * open * self.warmth(now) * (1.0 - self.effects.taken)
            / self.effects.slow
    }

    /// Work that it can do in a second as far as its start goes, troubles aside: nobody is blamed for a cold server that a
    /// trouble strikes.
    pub fn cold_capacity(&self, now: u64) -> f64 {
        self.cores * self.speed * self.warmth(now)
    }

    /// Work done in a millisecond for each of the requests in work, in milliseconds.
    fn pace(&self, now: u64) -> f64 {
        let (working, cores) = (self.working.len() as f64, self.cores);
        if working == 0.0 {
            return 0.0;
        }
        let (loss, from) = self.thrash;
        let held = (working + self.waiting.len() as f64) / cores;
        let thrash = 1.0 + loss * (held - from).max(0.0) / from.max(1.0);
        self.capacity(now) / cores * (cores / working).min(1.0) / thrash
    }

    /// Brings the work in hand up to a moment; before anything changes that its pace depends on.
    pub fn advance(&mut self, now: u64) {
        let ms = now.saturating_sub(self.at_us) as f64 / 1e3;
        self.done += ms * self.pace(self.at_us);
        self.at_us = now;
        if self.working.is_empty() {
            self.done = 0.0;
        }
    }

    /// When the next request in work is done, if nothing changes.
    pub fn next_us(&self, now: u64) -> Option<u64> {
        let (first, _) = self.working.first_key_value()?;
        let (left, pace) = (f64::from_bits(first.0) - self.done, self.pace(now));
        (pace > 0.0).then(|| now + ((left.max(0.0) / pace) * 1e3).ceil() as u64)
    }

    /// An attempt with so much work arrives.
    pub fn take(&mut self, now: u64, attempt: AttemptKey, work_ms: f64, chance: f64) -> Taken {
        self.advance(now);
        if chance < self.effects.fails {
            return Taken::Failed;
        }
        if self.working.len() < self.slots {
            return Taken::In(self.work(now, attempt, work_ms));
        }
        if self.waiting.len() >= self.queue {
            return Taken::Full;
        }
        self.waiting.push_back((attempt, work_ms));
        Taken::In(Place::Waiting)
    }

    fn work(&mut self, now: u64, attempt: AttemptKey, work_ms: f64) -> Place {
        self.seq += 1;
        // Positive figures are ordered as their bits are.
        let place = ((self.done + work_ms).to_bits(), self.seq);
        self.working.insert(place, (attempt, now));
        Place::Working(place)
    }

    /// The requests that are done by now, and those that came to work in their places.
    pub fn finish(&mut self, now: u64) -> (Vec<AttemptKey>, Vec<(AttemptKey, Place)>) {
        self.advance(now);
        let (mut done, mut begun) = (Vec::new(), Vec::new());
        while let Some((place, (attempt, since))) =
            self.working.first_key_value().map(|(p, a)| (*p, *a))
        {
            // A microsecond's work at the fastest is the least that can be told.
            if f64::from_bits(place.0) > self.done + 1e-6 * self.done.max(1.0) {
                break;
            }
            self.working.remove(&place);
            done.push(attempt);
            let took = (now - since) as f64 / 1e3;
            self.service_ms += NEWEST * (took - self.service_ms);
            begun.extend(self.follow(now));
        }
        (done, begun)
    }

    fn follow(&mut self, now: u64) -> Option<(AttemptKey, Place)> {
        if self.working.len() >= self.slots {
            return None;
        }
        let (attempt, work_ms) = self.waiting.pop_front()?;
        Some((attempt, self.work(now, attempt, work_ms)))
    }

    /// An attempt is given up: whether the server stops it, and who comes to work in its place.
    pub fn cancel(
        &mut self,
        now: u64,
        attempt: AttemptKey,
        place: Place,
        cancel: Cancel,
    ) -> (bool, Option<(AttemptKey, Place)>) {
        self.advance(now);
        match place {
            Place::Waiting if cancel != Cancel::Nothing => {
                let before = self.waiting.len();
                self.waiting.retain(|(known, _)| *known != attempt);
                (self.waiting.len() < before, None)
            }
            Place::Working(place)
                if cancel == Cancel::All && self.working.remove(&place).is_some() =>
            {
                (true, self.follow(now))
            }
            _ => (false, None),
        }
    }

    /// It dies: everything in hand is lost.
    pub fn die(&mut self, now: u64, life: Life) -> Vec<AttemptKey> {
        self.advance(now);
        self.life = life;
        self.connections = 0;
        let working = std::mem::take(&mut self.working)
            .into_values()
            .map(|(attempt, _)| attempt);
        let waiting = std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|(attempt, _)| attempt);
        working.chain(waiting).collect()
    }

    /// It starts anew, cold.
    pub fn start(&mut self, now: u64) {
        self.advance(now);
        self.life = Life::Up;
        self.started_us = Some(now);
        self.sent_cold.clear();
        (self.service_ms, self.told) = (0.0, (0, 0.0, 0.0));
    }

    /// Requests that wait.
    pub fn queue(&self) -> usize {
        self.waiting.len()
    }

    /// Requests in work.
    pub fn working(&self) -> usize {
        self.working.len()
    }

    /// Recent service time, in milliseconds.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// How long one more request would wait, by what waits now and the recent service time, in milliseconds.
    pub fn wait_ms(&self) -> f64 {
        if self.working.len() < self.slots {
            return 0.0;
        }
        (self.waiting.len() as f64 + 1.0) * self.service_ms / self.slots as f64
    }

    /// How long a probe with so much work takes there, in milliseconds; nothing if it is never answered.
    pub fn probe_ms(&self, now: u64, work_ms: f64) -> Option<f64> {
        let capacity = self.capacity(now);
        if capacity <= 0.0 {
            return None;
        }
        let core = capacity / self.cores;
        // It is answered beside the queue, as one more request on the cores.
        let sharing = ((self.working.len() + 1) as f64 / self.cores).max(1.0);
        Some(work_ms / core * sharing)
    }
}

#[cfg(test)]
mod tests;
