//! What the decisions tell of themselves, by names: as records, and as lines for the log. What is only for the records is
//! not even made while nobody records.

use std::collections::{HashMap, VecDeque};

use chutegrade_policy::interface::{
    Cause, Figures, Lifecycle, Micros, Note, Retry, ServerId, Standing, State, ZoneId,
};
use chutegrade_records::observe::Observer;
use chutegrade_records::{pb, Kind};

use crate::names::Listed;

/// Notes that wait to be picked; beyond it the oldest go and are counted.
pub(crate) const NOTES_MOST: usize = 16_384;

/// Something that happened, for the records.
#[derive(Clone, Debug, PartialEq)]
pub struct Noted {
    /// When it happened.
    pub at: Micros,
    /// When that was learned.
    pub learned: Micros,
    /// What it was.
    pub kind: Kind,
    /// It is a line of the log too.
    pub logged: bool,
}

/// When news began.
enum Begun {
    /// At this time.
    At(Micros),
    /// So long before it is learned.
    Before(Micros),
}

/// Notes that wait.
#[derive(Default)]
pub(crate) struct Notes {
    waiting: VecDeque<Noted>,
    lost: Option<(u64, Micros, Micros)>,
    /// News that the next tick learns of: what it is, and when it began.
    fresh: Vec<(Begun, Kind)>,
    pub recording: bool,
    observer: Observer,
    started: HashMap<ServerId, Micros>,
}

impl Notes {
    /// Notes what happened, for the log as well or for the records alone.
    pub fn add(&mut self, at: Micros, learned: Micros, kind: Kind, logged: bool) {
        if !logged && !self.recording {
            return;
        }
        if self.waiting.len() >= NOTES_MOST {
            if let Some(oldest) = self.waiting.pop_front() {
                let (count, from, _) = self.lost.unwrap_or((0, oldest.at, oldest.at));
                self.lost = Some((count + 1, from, oldest.at));
            }
        }
        self.waiting.push_back(Noted {
            at,
            learned,
            kind,
            logged,
        });
    }

    /// What proxies met at a server over a period that ends about now.
    pub fn heard(&mut self, (zone, server): (&str, &str), tries: f64, failed: f64, period: Micros) {
        if self.recording {
            let news = self.observer.heard(zone, server, tries, failed);
            self.fresh
                .extend(news.map(|news| (Begun::Before(period), Kind::Failing(news))));
        }
    }

    /// The list tells of a server, and perhaps of its start.
    pub fn listed(&mut self, id: ServerId, listed: &Listed) {
        if !self.recording || listed.life == Lifecycle::Gone {
            self.started.remove(&id);
            self.observer.forget(&listed.name);
            return;
        }
        let Some(at) = listed.started else { return };
        if self.started.insert(id, at).is_none_or(|known| known < at) {
            let of = pb::ServerStarted {
                server: listed.name.clone(),
                zone: listed.zone.clone(),
            };
            self.fresh.push((Begun::At(at), Kind::ServerStarted(of)));
        }
    }

    /// Nothing names the server any more.
    pub fn forget(&mut self, id: ServerId, name: &str) {
        self.started.remove(&id);
        self.observer.forget(name);
    }

    /// Gives what is new its times, as a tick learns of it.
    pub fn learn(&mut self, now: Micros) {
        for (begun, kind) in std::mem::take(&mut self.fresh) {
            let at = match begun {
                Begun::At(at) => at,
                Begun::Before(length) => now - length,
            };
            self.add(at.min(now), now, kind, false);
        }
    }

    /// The next note; first of all how many were lost.
    pub fn pick(&mut self, now: Micros) -> Option<Noted> {
        if let Some((count, from, to)) = self.lost.take() {
            let lost = pb::Lost {
                count,
                from_us: from.0,
                to_us: to.0,
                reason: "queue".to_string(),
            };
            return Some(Noted {
                at: from,
                learned: now,
                kind: Kind::Lost(lost),
                logged: false,
            });
        }
        self.waiting.pop_front()
    }
}

fn state(state: State) -> pb::State {
    match state {
        State::Full => pb::State::Full,
        State::Reduced => pb::State::Reduced,
        State::Withdrawn => pb::State::Withdrawn,
    }
}

fn life(life: Lifecycle) -> pb::Life {
    match life {
        Lifecycle::InService => pb::Life::InService,
        Lifecycle::Draining => pb::Life::Draining,
        Lifecycle::Gone => pb::Life::Gone,
    }
}

fn cause(cause: Cause) -> pb::Cause {
    match cause {
        Cause::Score => pb::Cause::Score,
        Cause::Errors => pb::Cause::Errors,
        Cause::Latency => pb::Cause::Latency,
        Cause::Probes => pb::Cause::Probes,
        Cause::TriedAgain => pb::Cause::TriedAgain,
        Cause::GoodTicks => pb::Cause::GoodTicks,
    }
}

/// A way of trying again as records number it.
pub(crate) fn retry(retry: Retry) -> u32 {
    retry as u32
}

/// What the decisions told, by the names of servers and zones.
pub fn told(
    note: &Note,
    server_name: impl Fn(ServerId) -> String,
    zone_name: impl Fn(ZoneId) -> String,
) -> Kind {
    match *note {
        Note::State {
            server,
            zone,
            state: now,
            score,
            errors,
            latency,
            cause: by,
        } => {
            let (server, zone) = (server_name(server), zone_name(zone));
            let (state, cause) = (state(now).into(), cause(by).into());
            Kind::StateChanged(pb::StateChanged {
                server,
                zone,
                state,
                score,
                errors,
                latency,
                cause,
            })
        }
        Note::Life {
            server,
            zone,
            life: now,
        } => {
            let (server, zone) = (server_name(server), zone_name(zone));
            Kind::LifeChanged(pb::LifeChanged {
                server,
                zone,
                life: life(now).into(),
            })
        }
        Note::Cold { held, tries } => Kind::ColdHeld(pb::ColdHeld { held, tries }),
        Note::Cut { zone, cut, mute } => Kind::ZoneCut(pb::ZoneCut {
            zone: zone_name(zone),
            cut,
            mute,
        }),
        Note::Saturation {
            refused,
            strain,
            queues,
            probes,
            mute,
        } => Kind::Saturation(pb::Saturation {
            refused,
            strain,
            queues,
            probes,
            mute,
        }),
        Note::Void { table, void } => Kind::AdviceVoid(pb::AdviceVoid {
            table: u32::from(table.0),
            void,
        }),
        Note::Parts { parts, narrowed } => Kind::Parts(pb::Parts {
            parts: u32::try_from(parts).unwrap_or(u32::MAX),
            narrowed,
        }),
    }
}

/// A server as it stands, for the record of all.
pub(crate) fn server(name: String, zone: String, of: &Standing) -> pb::Server {
    let (errors, latency) = of.terms;
    let (state, life) = (state(of.state).into(), life(of.entry.life).into());
    let (score, weight, warmth, shut) = (of.score, of.weight, of.warmth, of.shut);
    pb::Server {
        name,
        zone,
        state,
        life,
        score,
        errors,
        latency,
        weight,
        warmth,
        shut,
    }
}

/// The figures of one moment.
pub(crate) fn gauge(
    figures: Figures,
    streams: usize,
    standings: impl Iterator<Item = Standing>,
) -> pb::Gauge {
    let Figures {
        waiting,
        refused,
        strain,
        levels,
        ..
    } = figures;
    let streams = u32::try_from(streams).unwrap_or(u32::MAX);
    let mut gauge = pb::Gauge {
        waiting,
        refused,
        strain,
        streams,
        levels,
        ..pb::Gauge::default()
    };
    for of in standings {
        let count = match (of.entry.life, of.state) {
            (Lifecycle::InService, State::Withdrawn) => &mut gauge.withdrawn,
            (Lifecycle::InService, _) if of.warmth < 1.0 => &mut gauge.cold,
            (Lifecycle::InService, State::Reduced) => &mut gauge.reduced,
            (Lifecycle::InService, State::Full) => &mut gauge.full,
            _ => &mut gauge.leaving,
        };
        *count += 1;
    }
    gauge
}
