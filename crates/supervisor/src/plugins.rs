//! Plug-ins at work: their texts read at the start and at SIGHUP, asked once a second, and what they advise handed to the
//! decisions as a report. A text that is wrong changes nothing; that the supervisor serves does not depend on any.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;

use chutegrade_engine::{Advised, Engine, Micros, Report};
use chutegrade_plugins::host::Word;
use chutegrade_plugins::inputs::{Class, Fleet, Inputs, Server};
use chutegrade_plugins::{Advice, Host};
use chutegrade_records::replay::Server as Standing;
use chutegrade_records::{pb, text, Kind};

use crate::hub::Hub;

/// Time between two turns: reports come no oftener.
const TURN_EVERY: Micros = Micros(1_000_000);
/// How long advice stands without being given again.
const STANDS: Micros = Micros(10_000_000);
/// Longest text that is read, in bytes; the language takes far shorter ones.
const TEXT_MOST: u64 = 1 << 20;

/// The plug-ins of the operators' file.
pub struct Plugins {
    files: Vec<PathBuf>,
    host: RefCell<Host>,
    due: Cell<Micros>,
}

/// Reads texts with the names of their files.
pub fn read(files: &[PathBuf]) -> Result<Vec<(String, String)>, String> {
    let read = |path: &PathBuf| {
        let shown = path.display();
        let length = std::fs::metadata(path).map_err(|fault| format!("{shown}: {fault}"))?.len();
        if length > TEXT_MOST {
            return Err(format!("{shown}: {length} bytes are too long"));
        }
        let text = std::fs::read_to_string(path).map_err(|fault| format!("{shown}: {fault}"))?;
        Ok((shown.to_string(), text))
    };
    files.iter().map(read).collect()
}

impl Plugins {
    /// Plug-ins from these files; none is loaded yet.
    pub fn new(files: Vec<PathBuf>) -> Self {
        Plugins { files, host: RefCell::default(), due: Cell::default() }
    }

    /// Whether the operators named none.
    pub fn is_none(&self) -> bool {
        self.files.is_empty()
    }

    /// Loads all texts anew, whole or not at all, and tells of each.
    pub fn load(&self, hub: &Hub) {
        let note = |name: &str, version, digest: String, refused: String| {
            hub.note(Kind::PluginLoaded(pb::PluginLoaded {
                name: name.to_string(),
                version,
                digest,
                refused,
            }));
        };
        let texts = match read(&self.files) {
            Ok(texts) => texts,
            Err(fault) => {
                tracing::error!(%fault, "plug-ins are not taken, those that were loaded stay");
                return note("all", 0, String::new(), fault);
            }
        };
        let loaded = self.host.borrow_mut().load(&texts);
        match loaded {
            Ok(all) => {
                for (name, version, digest) in all {
                    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
                    tracing::info!(plugin = name, version, digest, "plug-in loaded");
                    note(&name, version, digest, String::new());
                }
            }
            Err(refused) => {
                for one in refused {
                    for fault in &one.faults {
                        tracing::error!(plugin = one.name, %fault, "plug-ins are not taken, those that were loaded stay");
                    }
                    let first = one.faults.first().map(ToString::to_string).unwrap_or_default();
                    note(&one.name, 0, String::new(), first);
                }
            }
        }
    }

    /// Asks all plug-ins if it is time, and hands on what they advise.
    pub fn turn(&self, hub: &Hub) {
        let now = hub.clock.now();
        if self.host.borrow().is_empty() || now < self.due.get() {
            return;
        }
        self.due.set(now + TURN_EVERY);
        let inputs = inputs(&hub.engine());
        let turn = self.host.borrow_mut().turn(&inputs);
        for (name, word) in turn.words {
            let (what, text) = match word {
                Word::Noted(text) => ("note", text),
                Word::Faulted(stopped) => ("fault", stopped.to_string()),
                Word::Advises(text, line) => ("advises", format!("{text}, by line {line}")),
                Word::Ends(text) => ("ends", text),
                Word::Paused(turns) => ("paused", format!("left alone for {turns} turns after faults")),
                Word::Differs(text) => ("differs", text),
            };
            if what == "paused" {
                tracing::warn!(plugin = %name, "{text}");
            }
            hub.note(Kind::PluginSaid(pb::PluginSaid {
                name: name.to_string(),
                what: what.to_string(),
                text,
            }));
        }
        hub.report(Report::Advice(advised(&turn.advice, &inputs, now)));
    }
}

/// What plug-ins see of the engine.
fn inputs(engine: &Engine) -> Inputs {
    let (gauge, fleet, (zones, _)) = (engine.gauge(), engine.fleet(), engine.vocabulary());
    let levels = gauge.levels.iter().copied().chain(std::iter::repeat(1.0));
    let class = |(of, level): (&chutegrade_engine::ClassView, f64)| Class {
        name: of.name.as_str().into(),
        effect: of.effect.into(),
        worth: of.worth,
        level,
    };
    Inputs {
        servers: fleet.servers.iter().map(server).collect(),
        classes: engine.classes().iter().zip(levels).map(class).collect(),
        zones: zones.iter().map(|zone| zone.as_str().into()).collect(),
        fleet: fleet_in(&gauge, engine.demand()),
    }
}

fn fleet_in(gauge: &pb::Gauge, demand: f64) -> Fleet {
    let streams = f64::from(gauge.streams);
    Fleet { strain: gauge.strain, refused: gauge.refused, waiting: gauge.waiting, streams, demand }
}

fn server(of: &pb::Server) -> Server {
    Server {
        name: of.name.as_str().into(),
        zone: of.zone.as_str().into(),
        state: text::state(of.state()).into(),
        life: text::life(of.life()).into(),
        score: of.score,
        errors: of.errors,
        latency: of.latency,
        weight: of.weight,
        warmth: of.warmth,
    }
}

/// What plug-ins would see of a recorded moment.
pub fn recorded(picture: &chutegrade_records::replay::Picture, zones: &[String]) -> Inputs {
    let server = |(name, of): (&String, &Standing)| Server {
        name: name.as_str().into(),
        zone: of.zone.as_str().into(),
        state: text::state(of.state).into(),
        life: text::life(of.life).into(),
        score: of.score,
        errors: of.errors,
        latency: of.latency,
        weight: of.weight,
        warmth: of.warmth,
    };
    let gauge = picture.gauge.clone().unwrap_or_default();
    let levels = gauge.levels.iter().copied().chain(std::iter::repeat(1.0));
    let class = |(name, level): (&String, f64)| Class { level, ..Class::plain(name) };
    Inputs {
        servers: picture.servers.iter().map(server).collect(),
        classes: picture.classes.iter().zip(levels).map(class).collect(),
        zones: zones.iter().map(|zone| zone.as_str().into()).collect(),
        fleet: fleet_in(&gauge, 0.0),
    }
}

/// Advice by names.
pub fn advised(advice: &Advice, inputs: &Inputs, now: Micros) -> Advised {
    let server = |at: u32| inputs.servers.get(at as usize).map(|server| server.name.to_string());
    let class = |at: u32| inputs.classes.get(at as usize).map(|class| class.name.to_string());
    let zone = |at: u32| inputs.zones.get(at as usize).map(ToString::to_string);
    let factor = |((of, to, class_at), factor): (&(u32, u32, Option<u32>), &f64)| {
        Some((server(*of)?, zone(*to)?, class_at.and_then(class), *factor))
    };
    let until = |seconds: f64| now + Micros::from_ms(seconds * 1000.0);
    Advised {
        factors: advice.factors.iter().filter_map(factor).collect(),
        caps: advice.caps.iter().filter_map(|(of, cap)| Some((class(*of)?, *cap))).collect(),
        never: advice.never.iter().filter_map(|of| class(*of)).collect(),
        excluded: advice
            .excluded
            .iter()
            .filter_map(|(of, (_, seconds))| Some((server(*of)?, until(*seconds))))
            .collect(),
        apart: advice.steered.iter().filter_map(|of| class(*of)).collect(),
        until: now + STANDS,
    }
}
