//! What the decisions tell of themselves, by names: as records, and as lines for the log. What is only for the records is
//! not even made while nobody records.

use std::collections::{HashMap, VecDeque};

use chutegrade_policy::{
    DecisionEvent, FleetStatus, HealthChangeCause, HealthState, Lifecycle, Micros, Retry,
    ScoreTerms, ServerId, ServerStatus, ZoneId,
};
use chutegrade_records::observe::Observer;
use chutegrade_records::{pb, Kind};

use crate::names::NamedEndpoint;

/// Notes that wait to be picked; beyond it the oldest go and are counted.
pub(crate) const NOTES_MOST: usize = 16_384;

/// Something that happened, for the records.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEvent {
    /// When it happened.
    pub occurred_at: Micros,
    /// When that was learned.
    pub observed_at: Micros,
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
    waiting: VecDeque<LogEvent>,
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
                let (count, from, _) =
                    self.lost
                        .unwrap_or((0, oldest.occurred_at, oldest.occurred_at));
                self.lost = Some((count + 1, from, oldest.occurred_at));
            }
        }
        self.waiting.push_back(LogEvent {
            occurred_at: at,
            observed_at: learned,
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
    pub fn listed(&mut self, id: ServerId, listed: &NamedEndpoint) {
        if !self.recording || listed.lifecycle == Lifecycle::Removed {
            self.started.remove(&id);
            self.observer.forget(&listed.name);
            return;
        }
        let Some(at) = listed.started_at else { return };
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
    pub fn pick(&mut self, now: Micros) -> Option<LogEvent> {
        if let Some((count, from, to)) = self.lost.take() {
            let lost = pb::Lost {
                count,
                from_us: from.0,
                to_us: to.0,
                reason: "queue".to_string(),
            };
            return Some(LogEvent {
                occurred_at: from,
                observed_at: now,
                kind: Kind::Lost(lost),
                logged: false,
            });
        }
        self.waiting.pop_front()
    }
}

fn state(state: HealthState) -> pb::State {
    match state {
        HealthState::Full => pb::State::Full,
        HealthState::Reduced => pb::State::Reduced,
        HealthState::Withdrawn => pb::State::Withdrawn,
    }
}

fn life(life: Lifecycle) -> pb::Life {
    match life {
        Lifecycle::InService => pb::Life::InService,
        Lifecycle::Draining => pb::Life::Draining,
        Lifecycle::Removed => pb::Life::Gone,
    }
}

fn cause(cause: HealthChangeCause) -> pb::Cause {
    match cause {
        HealthChangeCause::Score => pb::Cause::Score,
        HealthChangeCause::Errors => pb::Cause::Errors,
        HealthChangeCause::Latency => pb::Cause::Latency,
        HealthChangeCause::HealthChecks => pb::Cause::Probes,
        HealthChangeCause::EjectionElapsed => pb::Cause::TriedAgain,
        HealthChangeCause::SustainedRecovery => pb::Cause::GoodTicks,
    }
}

/// A way of trying again as records number it.
pub(crate) fn retry(retry: Retry) -> u32 {
    retry as u32
}

/// What the decisions told, by the names of servers and zones.
pub fn decision_record(
    note: &DecisionEvent,
    server_name: impl Fn(ServerId) -> String,
    zone_name: impl Fn(ZoneId) -> String,
) -> Kind {
    match *note {
        DecisionEvent::HealthChanged {
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
        DecisionEvent::LifecycleChanged {
            server,
            zone,
            lifecycle: now,
        } => {
            let (server, zone) = (server_name(server), zone_name(zone));
            Kind::LifeChanged(pb::LifeChanged {
                server,
                zone,
                life: life(now).into(),
            })
        }
        DecisionEvent::WarmingWithheld {
            withheld: held,
            attempts_per_answer: tries,
        } => Kind::ColdHeld(pb::ColdHeld { held, tries }),
        DecisionEvent::ZonePartition {
            zone,
            partitioned: cut,
            unanswered_share: mute,
        } => Kind::ZoneCut(pb::ZoneCut {
            zone: zone_name(zone),
            cut,
            mute,
        }),
        DecisionEvent::Saturation {
            shed_share: refused,
            saturation: strain,
            queue_term: queues,
            latency_term: probes,
            unanswered_term: mute,
        } => Kind::Saturation(pb::Saturation {
            refused,
            strain,
            queues,
            probes,
            mute,
        }),
        DecisionEvent::AdviceOverruled {
            table,
            overruled: void,
        } => Kind::AdviceVoid(pb::AdviceVoid {
            table: u32::from(table.0),
            void,
        }),
        DecisionEvent::Resharded {
            shards: parts,
            narrowed,
        } => Kind::Parts(pb::Parts {
            parts: u32::try_from(parts).unwrap_or(u32::MAX),
            narrowed,
        }),
    }
}

/// A server as it stands, for the record of all.
pub(crate) fn server(name: String, zone: String, of: &ServerStatus) -> pb::Server {
    let ScoreTerms { errors, latency } = of.terms;
    let (state, life) = (state(of.state).into(), life(of.endpoint.lifecycle).into());
    let (score, weight, warmth, shut) = (of.score, of.weight, of.warm_up_share, of.suspended);
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
    figures: FleetStatus,
    streams: usize,
    standings: impl Iterator<Item = ServerStatus>,
) -> pb::Gauge {
    let FleetStatus {
        queued_lines: waiting,
        shed_share: refused,
        saturation: strain,
        admitted_shares: levels,
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
        let count = match (of.endpoint.lifecycle, of.state) {
            (Lifecycle::InService, HealthState::Withdrawn) => &mut gauge.withdrawn,
            (Lifecycle::InService, _) if of.warm_up_share < 1.0 => &mut gauge.cold,
            (Lifecycle::InService, HealthState::Reduced) => &mut gauge.reduced,
            (Lifecycle::InService, HealthState::Full) => &mut gauge.full,
            _ => &mut gauge.leaving,
        };
        *count += 1;
    }
    gauge
}
