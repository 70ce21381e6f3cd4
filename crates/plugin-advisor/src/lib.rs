//! Between plug-ins and decisions: what plug-ins see of an engine or of a recorded moment, and their advice as a report
//! that names servers, classes and zones. No I/O, no clock, no decision: what becomes of advice the module says.

use std::sync::Arc;

use chutegrade_engine::{Engine, Micros, PluginAdvice, Report};
use chutegrade_engine::{NamedClassShare, NamedExclusion, NamedWeightFactor};
use chutegrade_plugins::host::{Refused, Taken, Word};
use chutegrade_plugins::inputs::{Class, Fleet, Inputs, Server};
use chutegrade_plugins::{Advice, Host};
use chutegrade_records::replay::{Picture, Server as Standing};
use chutegrade_records::{pb, text};

/// Time between two turns: reports come no oftener.
pub const EVALUATION_INTERVAL: Micros = Micros(1_000_000);
/// How long advice stands without being given again.
pub const ADVICE_LIFETIME: Micros = Micros(10_000_000);

/// The plug-ins of one supervisor: asked once a second, what they advise handed to the decisions.
#[derive(Default)]
pub struct PluginAdvisor {
    host: Host,
    due: Micros,
    standing: bool,
}

impl PluginAdvisor {
    /// Takes these texts in the place of those that are loaded, whole or not at all.
    pub fn load(&mut self, texts: &[(String, String)]) -> Result<Vec<Taken>, Vec<Refused>> {
        self.host.load(texts)
    }

    /// Asks all plug-ins if it is time, reports their advice, and gives back what is worth a record.
    pub fn evaluate(&mut self, now: Micros, engine: &mut Engine) -> Vec<(Arc<str>, Word)> {
        if now < self.due || (self.host.is_empty() && !self.standing) {
            return Vec::new();
        }
        self.due = now + EVALUATION_INTERVAL;
        let (advice, words) = if self.host.rests() {
            self.host.pass();
            (
                PluginAdvice {
                    expires_at: now,
                    ..PluginAdvice::default()
                },
                Vec::new(),
            )
        } else {
            let inputs = inputs_from_engine(engine);
            let turn = self.host.turn(&inputs);
            (advice_by_name(&turn.advice, &inputs, now), turn.words)
        };
        // Advice replaces the one before: nothing said in the place of nothing is no news.
        let says = advice
            != PluginAdvice {
                expires_at: advice.expires_at,
                ..PluginAdvice::default()
            };
        if says || self.standing {
            // The queue of reports drops outcomes and demand alone; advice is always taken.
            let _ = engine.report(Report::Advice(advice));
        }
        self.standing = says;
        words
    }
}

/// What plug-ins see of the engine.
pub fn inputs_from_engine(engine: &Engine) -> Inputs {
    let (gauge, fleet, names) = (
        engine.fleet_metrics(),
        engine.server_snapshot(),
        engine.deployment_names(),
    );
    let levels = gauge.levels.iter().copied().chain(std::iter::repeat(1.0));
    let class = |(of, level): (&chutegrade_engine::ClassInfo, f64)| Class {
        name: of.name.as_str().into(),
        effect: of.idempotency.into(),
        worth: of.class.priority_weight,
        level,
    };
    Inputs {
        servers: fleet.servers.iter().map(standing).collect(),
        classes: engine.classes().iter().zip(levels).map(class).collect(),
        zones: names
            .zones
            .iter()
            .map(|zone| zone.as_str().into())
            .collect(),
        fleet: fleet_in(&gauge, engine.fleet_status().request_rate),
    }
}

fn fleet_in(gauge: &pb::Gauge, demand: f64) -> Fleet {
    let streams = f64::from(gauge.streams);
    Fleet {
        strain: gauge.strain,
        refused: gauge.refused,
        waiting: gauge.waiting,
        streams,
        demand,
    }
}

fn server(name: &str, of: &Standing) -> Server {
    Server {
        name: name.into(),
        zone: of.zone.as_str().into(),
        state: text::state(of.state).into(),
        life: text::life(of.life).into(),
        score: of.score,
        errors: of.errors,
        latency: of.latency,
        weight: of.weight,
        warmth: of.warmth,
    }
}

fn standing(of: &pb::Server) -> Server {
    server(&of.name, &Standing::from(of))
}

/// What plug-ins would see of a recorded moment.
pub fn inputs_from_records(picture: &Picture, zones: &[String]) -> Inputs {
    let gauge = picture.gauge.clone().unwrap_or_default();
    let levels = gauge.levels.iter().copied().chain(std::iter::repeat(1.0));
    let class = |(name, level): (&String, f64)| Class {
        level,
        ..Class::plain(name)
    };
    Inputs {
        servers: picture
            .servers
            .iter()
            .map(|(name, of)| server(name, of))
            .collect(),
        classes: picture.classes.iter().zip(levels).map(class).collect(),
        zones: zones.iter().map(|zone| zone.as_str().into()).collect(),
        fleet: fleet_in(&gauge, 0.0),
    }
}

/// Advice by names.
pub fn advice_by_name(advice: &Advice, inputs: &Inputs, now: Micros) -> PluginAdvice {
    let server = |at: u32| {
        inputs
            .servers
            .get(at as usize)
            .map(|server| server.name.to_string())
    };
    let class = |at: u32| {
        inputs
            .classes
            .get(at as usize)
            .map(|class| class.name.to_string())
    };
    let zone = |at: u32| inputs.zones.get(at as usize).map(ToString::to_string);
    let factor = |((of, to, class_at), factor): (&(u32, u32, Option<u32>), &f64)| {
        Some(NamedWeightFactor {
            server: server(*of)?,
            zone: zone(*to)?,
            class: class_at.and_then(class),
            factor: *factor,
        })
    };
    let until = |seconds: f64| now + Micros::from_ms(seconds * 1000.0);
    PluginAdvice {
        factors: advice.factors.iter().filter_map(factor).collect(),
        caps: advice
            .caps
            .iter()
            .filter_map(|(of, cap)| {
                Some(NamedClassShare {
                    class: class(*of)?,
                    share: *cap,
                })
            })
            .collect(),
        no_retry: advice.never.iter().filter_map(|of| class(*of)).collect(),
        excluded: advice
            .excluded
            .iter()
            .filter_map(|(of, (_, seconds))| {
                Some(NamedExclusion {
                    server: server(*of)?,
                    until: until(*seconds),
                })
            })
            .collect(),
        separate_tables: advice.steered.iter().filter_map(|of| class(*of)).collect(),
        expires_at: now + ADVICE_LIFETIME,
    }
}
