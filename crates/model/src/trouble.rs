//! What goes wrong: whom a trouble strikes, when, and what it does to them.

use chutegrade_engine::Lifecycle;

use crate::chance::{Chance, Source};
use crate::queue::Queue;
use crate::scenario::{Sort, Trouble};
use crate::server::{Effects, Life};
use crate::sim::{Event, Sim};

/// Time between two steps of a size that grows, and of troubles that go on and off, in microseconds.
const STEP_US: u64 = 100_000;
/// Waves of a mass replacement.
const WAVES: usize = 3;

/// A trouble under way, or to come.
#[derive(Clone, Debug, Default)]
pub struct Struck {
    /// It is under way.
    pub on: bool,
    /// Servers, front ends or supervisors that it strikes, by number.
    pub whom: Vec<usize>,
}

impl Trouble {
    /// Its size at a moment: it may grow to its full.
    pub fn size_at(&self, now: u64) -> f64 {
        let neutral = if matches!(
            self.sort,
            Sort::Slow | Sort::Burst | Sort::Heavy | Sort::Handshake
        ) {
            1.0
        } else {
            0.0
        };
        if self.ramp_us == 0 {
            return self.size;
        }
        let share = (now.saturating_sub(self.from_us) as f64 / self.ramp_us as f64).min(1.0);
        neutral + (self.size - neutral) * share
    }

    /// Whether one that goes on and off is on.
    fn is_on(&self, now: u64) -> bool {
        let half = (self.extra * 1e6) as u64;
        half == 0 || (now.saturating_sub(self.from_us) / half).is_multiple_of(2)
    }

    fn moves(&self) -> bool {
        self.ramp_us > 0 || matches!(self.sort, Sort::Neighbour | Sort::FrontEndsStand)
    }
}

impl<Q: Queue<Event>> Sim<'_, Q> {
    pub(crate) fn trouble_begins(&mut self, number: usize) {
        let scenario = self.scenario;
        let trouble = &scenario.troubles[number];
        let mut chance = Chance::new(self.seed, Source::Troubles, number);
        let here = |zone: usize| trouble.zone.is_none_or(|of| of == zone);
        let candidates: Vec<usize> = match trouble.sort {
            Sort::Streams => (0..self.fronts.len())
                .filter(|at| self.fronts[*at].joined.is_some() && here(self.fronts[*at].zone))
                .collect(),
            Sort::FrontEndsStand | Sort::FrontEndsDie => (0..self.fronts.len())
                .filter(|at| here(self.fronts[*at].zone))
                .collect(),
            Sort::SupervisorsStand | Sort::SupervisorsDie => (0..self.supervisors.len())
                .filter(|at| here(self.supervisors[*at].zone))
                .collect(),
            _ => (0..self.servers.len())
                .filter(|at| self.servers[*at].life == Life::Up && here(self.servers[*at].zone))
                .collect(),
        };
        let part = if trouble.sort == Sort::ZoneLost {
            1.0
        } else {
            trouble.part
        };
        let least = usize::from(part > 0.0 && !candidates.is_empty());
        let count = ((candidates.len() as f64 * part).round() as usize).max(least);
        let whom: Vec<usize> = chance
            .some(candidates.len(), count)
            .into_iter()
            .map(|at| candidates[at])
            .collect();
        self.struck[number] = Struck {
            on: true,
            whom: whom.clone(),
        };
        match trouble.sort {
            Sort::Way if trouble.extra >= 1.0 => self.streams_are_cut(trouble),
            Sort::Crash => whom.iter().for_each(|at| self.server_dies(*at, false)),
            Sort::ZoneLost => {
                whom.iter().for_each(|at| self.server_dies(*at, true));
                if trouble.extra > 0.0 {
                    self.others_of_zone(trouble, false);
                }
            }
            Sort::Streams => whom.iter().for_each(|at| self.stream_breaks(*at)),
            Sort::FrontEndsDie => whom.iter().for_each(|at| self.front_dies(*at)),
            Sort::SupervisorsStand => {
                whom.iter()
                    .for_each(|at| self.supervisors[*at].still_until = trouble.to_us);
            }
            Sort::SupervisorsDie => whom.iter().for_each(|at| self.supervisor_dies(*at)),
            Sort::Replace => {
                let wave = (trouble.to_us - trouble.from_us) / WAVES as u64;
                for (place, at) in whom.iter().enumerate() {
                    let due = self.now + wave * (place % WAVES) as u64;
                    self.push(
                        due,
                        Event::Drains {
                            server: *at as u32,
                            trouble: number as u32,
                        },
                    );
                }
            }
            _ => self.trouble_moves(number),
        }
        if matches!(
            trouble.sort,
            Sort::Crash | Sort::Hang | Sort::FailFast | Sort::ZoneLost
        ) {
            self.watch_struck(number);
        }
        if trouble.moves() {
            self.push(self.now + STEP_US, Event::TroubleMoves(number as u32));
        }
    }

    /// Nothing passes between a zone and the others: streams across break.
    fn streams_are_cut(&mut self, trouble: &Trouble) {
        let beyond = |zone: usize| trouble.zone == Some(zone);
        let crosses = |at: &usize| {
            let front = &self.fronts[*at];
            let joined = front
                .joined
                .map(|(supervisor, ..)| self.supervisors[supervisor].zone);
            joined.is_some_and(|zone| beyond(zone) != beyond(front.zone))
        };
        let cut: Vec<usize> = (0..self.fronts.len()).filter(crosses).collect();
        cut.iter().for_each(|at| self.stream_breaks(*at));
    }

    fn others_of_zone(&mut self, trouble: &Trouble, back: bool) {
        let zone = trouble.zone.unwrap_or(0);
        for at in (0..self.fronts.len())
            .filter(|at| self.fronts[*at].zone == zone)
            .collect::<Vec<_>>()
        {
            if back {
                self.front_starts(at);
            } else {
                self.front_dies(at);
            }
        }
        for at in (0..self.supervisors.len())
            .filter(|at| self.supervisors[*at].zone == zone)
            .collect::<Vec<_>>()
        {
            if back {
                self.supervisor_starts(at);
            } else {
                self.supervisor_dies(at);
            }
        }
    }

    pub(crate) fn trouble_ends(&mut self, number: usize) {
        let scenario = self.scenario;
        let trouble = &scenario.troubles[number];
        self.struck[number].on = false;
        let whom = self.struck[number].whom.clone();
        if matches!(trouble.sort, Sort::Hang | Sort::FailFast) {
            self.watch_healed(number);
        }
        match trouble.sort {
            Sort::Crash | Sort::ZoneLost => {
                whom.iter().for_each(|at| self.server_starts(*at));
                if trouble.sort == Sort::ZoneLost && trouble.extra > 0.0 {
                    self.others_of_zone(trouble, true);
                }
            }
            Sort::FrontEndsDie => whom.iter().for_each(|at| self.front_starts(*at)),
            Sort::SupervisorsDie => whom.iter().for_each(|at| self.supervisor_starts(*at)),
            Sort::Hang | Sort::FailFast | Sort::Slow | Sort::Neighbour | Sort::Handshake => {
                whom.iter().for_each(|at| self.refresh_effects(*at));
            }
            _ => {}
        }
    }

    /// A size that grows, or one that goes on and off, has another value.
    pub(crate) fn trouble_moves(&mut self, number: usize) {
        if !self.struck[number].on {
            return;
        }
        let scenario = self.scenario;
        let trouble = &scenario.troubles[number];
        let whom = self.struck[number].whom.clone();
        match trouble.sort {
            Sort::Hang | Sort::FailFast | Sort::Slow | Sort::Neighbour | Sort::Handshake => {
                whom.iter().for_each(|at| self.refresh_effects(*at));
            }
            Sort::FrontEndsStand => {
                // For a part of each second.
                let within = (self.now - trouble.from_us) % 1_000_000;
                let still = (trouble.size_at(self.now) * 1e3) as u64;
                if within < STEP_US {
                    whom.iter()
                        .for_each(|at| self.fronts[*at].still_until = self.now + still);
                }
            }
            _ => {}
        }
        if trouble.moves() {
            self.push(self.now + STEP_US, Event::TroubleMoves(number as u32));
        }
    }

    /// What all troubles under way do to a server together.
    fn refresh_effects(&mut self, server: usize) {
        let now = self.now;
        let mut effects = Effects::default();
        for (trouble, struck) in self.scenario.troubles.iter().zip(&self.struck) {
            if !struck.on || struck.whom.binary_search(&server).is_err() {
                continue;
            }
            let size = trouble.size_at(now);
            match trouble.sort {
                Sort::Hang => effects.hangs = true,
                Sort::FailFast => effects.fails = 1.0 - (1.0 - effects.fails) * (1.0 - size),
                Sort::Slow => effects.slow *= size.max(0.01),
                Sort::Neighbour if trouble.is_on(now) => {
                    effects.taken = 1.0 - (1.0 - effects.taken) * (1.0 - size.min(0.99));
                }
                Sort::Handshake => {
                    effects.handshake = (
                        effects.handshake.0 * size.max(1.0),
                        (trouble.extra * 1e3) as u64,
                    );
                }
                _ => {}
            }
        }
        if self.servers[server].effects != effects {
            self.servers[server].advance(now);
            self.servers[server].effects = effects;
            self.reschedule(server);
        }
    }

    /// A server that is replaced: it drains, dies, and another one comes.
    pub(crate) fn drains(&mut self, server: usize, number: usize) {
        if self.servers[server].life != Life::Up {
            return;
        }
        let (size, extra) = (
            self.scenario.troubles[number].size,
            self.scenario.troubles[number].extra,
        );
        self.servers[server].life = Life::Draining;
        self.tell(server, Lifecycle::Draining, false);
        self.push(
            self.now + (size * 1e6) as u64,
            Event::Removed {
                server: server as u32,
            },
        );
        self.push(
            self.now + (extra * 1e6) as u64,
            Event::Replacement {
                server: server as u32,
            },
        );
    }

    /// How much more comes, by troubles, and which share is how many times as heavy.
    pub(crate) fn pressure(&self) -> (f64, f64, f64) {
        let (mut more, mut share, mut heavier) = (1.0, 0.0, 1.0);
        for (trouble, _) in self
            .scenario
            .troubles
            .iter()
            .zip(&self.struck)
            .filter(|(_, struck)| struck.on)
        {
            match trouble.sort {
                Sort::Burst => more *= trouble.size_at(self.now),
                Sort::Heavy => {
                    (share, heavier) = (trouble.extra.min(1.0), trouble.size_at(self.now))
                }
                _ => {}
            }
        }
        (more, share, heavier)
    }

    /// What troubles add to a way between two zones: microseconds, and the share that is lost.
    pub(crate) fn way_troubles(&self, from: usize, to: usize) -> (f64, f64) {
        if from == to || !self.ways_troubled {
            return (0.0, 0.0);
        }
        let (mut more, mut kept) = (0.0, 1.0);
        for (trouble, _) in self
            .scenario
            .troubles
            .iter()
            .zip(&self.struck)
            .filter(|(_, struck)| struck.on)
        {
            if trouble.sort == Sort::Way
                && trouble.zone.is_some_and(|zone| zone == from || zone == to)
            {
                more += trouble.size_at(self.now) * 1e3;
                kept *= 1.0 - trouble.extra.min(1.0);
            }
        }
        (more, 1.0 - kept)
    }

    /// How much later reports come, in microseconds.
    pub(crate) fn reports_later(&self) -> u64 {
        let late = self.scenario.troubles.iter().zip(&self.struck);
        late.filter(|(trouble, struck)| struck.on && trouble.sort == Sort::ReportsLate)
            .map(|(trouble, _)| (trouble.size_at(self.now) * 1e6) as u64)
            .sum()
    }
}
