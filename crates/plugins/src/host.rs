//! The host: runs all plug-ins over a turn and composes what they advise, in their order. What it gives is advice; what
//! becomes of it the decision module says. One that faults gives nothing for that turn; one that faults again and again
//! is left alone for pauses that grow.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::code::{Program, Value};
use crate::compile::compile;
use crate::diagnostics::Diagnostic;
use crate::inputs::Inputs;
use crate::machine::{Context, Fault, Machine, Memory};

/// Plug-ins that may be loaded at once.
pub const PLUGINS_MOST: usize = 32;
/// Operations of one call of `factor`, `cap`, `retry` or `exclude`, and of `turn`.
const FUEL: (u64, u64) = (2_000, 50_000);
/// Operations of all calls of a plug-in in a turn: so many for each answer that it is asked for, and some beside.
const FUEL_TURN: (u64, u64) = (80, 60_000);
/// Faulty turns in a row from which a plug-in is left alone.
const FAULTS_MOST: u32 = 3;
/// Turns for which it is left alone first, and at most; each time twice as long.
const PAUSE: (u64, u64) = (10, 640);
/// Sound turns after which earlier faults are forgotten.
const FORGIVEN_AFTER: u32 = 600;
/// New and ended pieces of advice of one plug-in that are told in a turn.
const WORDS_MOST: usize = 16;
/// Longest exclusion that one answer gives, in seconds: it is asked again each turn.
const EXCLUDED_MOST: f64 = 3600.0;

/// What the plug-ins advise together, by places in the inputs. What is not named is left as it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Share of its weight that a server keeps: for the front ends of a zone, and for one class where it is steered apart.
    pub factors: BTreeMap<(u32, u32, Option<u32>), f64>,
    /// The most of a class that is let in.
    pub caps: BTreeMap<u32, f64>,
    /// Classes that are not to be tried again.
    pub no_retry: Vec<u32>,
    /// Servers left out, with the reason and for how many seconds.
    pub excluded: BTreeMap<u32, (String, f64)>,
    /// Classes that are steered apart from the others.
    pub steered: Vec<u32>,
}

/// What came of one plug-in in a turn.
#[derive(Clone, Debug, PartialEq)]
pub enum PluginEvent {
    /// It noted something.
    Noted(String),
    /// It faulted; its advice of this turn is dropped.
    Faulted(Fault),
    /// It advises something that it did not advise in its last sound turn, and on which line.
    AdviceStarted(String, u32),
    /// It does not advise that any more.
    AdviceEnded(String),
    /// It is left alone for so many turns.
    Suspended(u64),
    /// Its advice differs from an earlier one's on the same thing; which of them holds.
    Conflicted(String),
}

/// What a turn gives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluation {
    /// The advice of all.
    pub advice: Advice,
    /// What is worth a record, by the plug-in's name.
    pub events: Vec<(Arc<str>, PluginEvent)>,
    /// Operations that each plug-in took, one that faulted too.
    pub fuel_used: Vec<(Arc<str>, u64)>,
    /// Calls about the watched server, by plug-in, in words.
    pub traces: Vec<(Arc<str>, Vec<String>)>,
}

/// What a plug-in advises, in words, with the line that says so.
type Said = BTreeMap<String, u32>;

#[derive(Debug)]
struct Loaded {
    name: Arc<str>,
    program: Program,
    memory: Memory,
    faults: u32,
    sound: u32,
    pause: u64,
    until: u64,
    said: Said,
}

/// All plug-ins, in their order.
#[derive(Default)]
pub struct Host {
    loaded: Vec<Loaded>,
    machine: Machine,
    turn: u64,
    watched: Option<String>,
}

/// The name, version and digest of a text that was taken.
pub type PluginIdentity = (String, u32, [u8; 32]);

/// A text that is not taken, with all that is wrong with it.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedPlugin {
    /// The name under which it was given.
    pub name: String,
    /// What is wrong.
    pub diagnostics: Vec<Diagnostic>,
}

impl Host {
    /// Takes these texts in the place of those that are loaded, whole or not at all. What lives between calls goes on
    /// under the same plug-in's name, where its shape is the same.
    pub fn load(
        &mut self,
        texts: &[(String, String)],
    ) -> Result<Vec<PluginIdentity>, Vec<RejectedPlugin>> {
        let (mut loaded, mut refused) = (Vec::<Loaded>::new(), Vec::new());
        for (name, text) in texts {
            match compile(text) {
                Ok(program) if loaded.iter().any(|known| *known.name == *program.name) => {
                    let twice = Diagnostic::new(
                        text,
                        0..0,
                        format!("a plug-in named {:?} is loaded already", program.name),
                    );
                    refused.push(RejectedPlugin {
                        name: name.clone(),
                        diagnostics: vec![twice],
                    });
                }
                Ok(program) => loaded.push(self.carried(program)),
                Err(diagnostics) => refused.push(RejectedPlugin {
                    name: name.clone(),
                    diagnostics,
                }),
            }
        }
        if texts.len() > PLUGINS_MOST {
            let many = Diagnostic::new(
                "",
                0..0,
                format!(
                    "{} plug-ins are too many: at most {PLUGINS_MOST}",
                    texts.len()
                ),
            );
            refused.push(RejectedPlugin {
                name: "all".to_string(),
                diagnostics: vec![many],
            });
        }
        if !refused.is_empty() {
            return Err(refused);
        }
        self.loaded = loaded;
        let told = |one: &Loaded| {
            (
                one.name.to_string(),
                one.program.version,
                one.program.digest,
            )
        };
        Ok(self.loaded.iter().map(told).collect())
    }

    fn carried(&self, program: Program) -> Loaded {
        let older = self
            .loaded
            .iter()
            .find(|known| *known.name == *program.name);
        let memory = match older {
            Some(older) => Memory::carried(&program, &older.program, &older.memory),
            None => Memory::new(&program),
        };
        // A changed text begins with a clean record; the same one keeps its pauses.
        let same = older.filter(|older| older.program.digest == program.digest);
        let (faults, pause, until) = same.map_or((0, PAUSE.0, 0), |older| {
            (older.faults, older.pause, older.until)
        });
        Loaded {
            name: program.name.as_str().into(),
            program,
            memory,
            faults,
            sound: 0,
            pause,
            until,
            said: Said::new(),
        }
    }

    /// How many are loaded.
    pub fn len(&self) -> usize {
        self.loaded.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.loaded.is_empty()
    }

    /// From now on calls about this server leave a trace, operation by operation.
    pub fn trace_server(&mut self, server: &str) {
        self.watched = Some(server.to_string());
    }

    /// Whether the next turn asks nobody: all are left alone.
    pub fn all_suspended(&self) -> bool {
        self.loaded.iter().all(|one| one.until > self.turn)
    }

    /// Lets a turn pass in which nobody is asked.
    pub fn skip_evaluation(&mut self) {
        self.turn += 1;
    }

    /// Asks all plug-ins once.
    pub fn evaluate(&mut self, inputs: &Inputs) -> Evaluation {
        self.turn += 1;
        let mut turn = Evaluation::default();
        let place = |name: &String| {
            inputs
                .servers
                .iter()
                .position(|server| *server.name == **name)
        };
        self.machine.watched = self
            .watched
            .as_ref()
            .and_then(place)
            .and_then(|at| u32::try_from(at).ok());
        for one in &mut self.loaded {
            if one.until >= self.turn {
                continue;
            }
            // What a faulty turn did to its memory is undone.
            let before = one.memory.clone();
            let mut spent = 0;
            let asked = ask(one, &mut self.machine, inputs, self.turn, &mut spent);
            turn.fuel_used.push((Arc::clone(&one.name), spent));
            let traces = std::mem::take(&mut self.machine.traces);
            let told = traces
                .iter()
                .map(|trace| (Arc::clone(&one.name), trace.lines(&one.program, inputs)));
            turn.traces.extend(told);
            match asked {
                Ok((advice, notes, said)) => {
                    one.sound = one.sound.saturating_add(1);
                    if one.sound >= FORGIVEN_AFTER {
                        (one.faults, one.pause) = (0, PAUSE.0);
                    }
                    turn.events.extend(
                        notes
                            .into_iter()
                            .map(|note| (Arc::clone(&one.name), PluginEvent::Noted(note))),
                    );
                    tell(&mut turn, one, said);
                    compose(&mut turn, &one.name, advice, inputs);
                }
                Err(stopped) => {
                    one.memory = before;
                    tell(&mut turn, one, Said::new());
                    one.sound = 0;
                    one.faults += 1;
                    turn.events
                        .push((Arc::clone(&one.name), PluginEvent::Faulted(stopped)));
                    if one.faults >= FAULTS_MOST {
                        one.until = self.turn + one.pause;
                        turn.events
                            .push((Arc::clone(&one.name), PluginEvent::Suspended(one.pause)));
                        one.pause = (one.pause * 2).min(PAUSE.1);
                        // After the pause a single fault is enough.
                        one.faults = FAULTS_MOST - 1;
                    }
                }
            }
        }
        turn
    }
}

/// Tells what is new in a plug-in's advice, and what has ended.
fn tell(turn: &mut Evaluation, one: &mut Loaded, said: Said) {
    let word = |word| (Arc::clone(&one.name), word);
    let new = said
        .iter()
        .filter(|(text, _)| !one.said.contains_key(*text));
    turn.events.extend(
        new.take(WORDS_MOST)
            .map(|(text, line)| word(PluginEvent::AdviceStarted(text.clone(), *line))),
    );
    let ended = one.said.keys().filter(|text| !said.contains_key(*text));
    turn.events.extend(
        ended
            .take(WORDS_MOST)
            .map(|text| word(PluginEvent::AdviceEnded(text.clone()))),
    );
    one.said = said;
}

/// Asks one plug-in: its advice, its notes, and its advice in words.
fn ask(
    one: &mut Loaded,
    machine: &mut Machine,
    inputs: &Inputs,
    turn: u64,
    spent: &mut u64,
) -> Result<(Advice, Vec<String>, Said), Fault> {
    let Loaded {
        program, memory, ..
    } = one;
    memory.fade();
    let steered: Vec<u32> = places(&program.steers, inputs);
    let zones = if program.by_zone {
        inputs.zones.len()
    } else {
        1
    };
    let groups: Vec<Option<u32>> = if program.steers.is_empty() {
        vec![None]
    } else {
        steered.iter().map(|class| Some(*class)).collect()
    };
    let answers = inputs.servers.len() * zones * groups.len().max(1)
        + inputs.servers.len()
        + 2 * inputs.classes.len();
    let full = FUEL_TURN.0 * answers as u64 + FUEL_TURN.1;
    let mut fuel = full;
    let asked = questions(
        program,
        machine,
        inputs,
        (memory, &mut fuel, turn),
        (steered, groups, zones),
    );
    *spent = full - fuel;
    asked
}

/// Asks a plug-in's hooks, one after the other.
fn questions(
    program: &Program,
    machine: &mut Machine,
    inputs: &Inputs,
    (memory, fuel, turn): (&mut Memory, &mut u64, u64),
    (steered, groups, zones): (Vec<u32>, Vec<Option<u32>>, usize),
) -> Result<(Advice, Vec<String>, Said), Fault> {
    let mut context = Context::new(program, inputs, memory, fuel, turn);
    let (mut advice, mut said) = (Advice::default(), Said::new());
    if let Some(hook) = program.hooks.turn {
        machine.call(program, hook, &[], &mut context, FUEL.1)?;
    }
    let class_places = || 0..u32::try_from(inputs.classes.len()).unwrap_or(u32::MAX);
    let server_places = || 0..u32::try_from(inputs.servers.len()).unwrap_or(u32::MAX);
    if let Some(hook) = program.hooks.factor {
        for group in &groups {
            for zone in 0..zones {
                let name = inputs.zones.get(zone).cloned().unwrap_or_else(|| "".into());
                // A factor that looks at no class gets any: it cannot ask for it.
                let class = Value::Class(group.unwrap_or(0));
                for server in server_places() {
                    let values = [
                        Value::Server(server),
                        class.clone(),
                        Value::Text(Arc::clone(&name)),
                    ];
                    let value = machine.call(program, hook, &values, &mut context, FUEL.0)?;
                    let Value::Number(factor) = value else {
                        continue;
                    };
                    if factor < 1.0 {
                        said.insert(
                            keeps(
                                inputs,
                                server,
                                *group,
                                program.by_zone.then_some(&name),
                                factor,
                            ),
                            machine.line,
                        );
                        let all = if program.by_zone {
                            zone..zone + 1
                        } else {
                            0..inputs.zones.len()
                        };
                        for zone in all {
                            let zone = u32::try_from(zone).unwrap_or(u32::MAX);
                            advice
                                .factors
                                .insert((server, zone, *group), factor.max(0.0));
                        }
                    }
                }
            }
        }
        advice.steered = steered;
    }
    if let Some(hook) = program.hooks.cap {
        for class in class_places() {
            let value =
                machine.call(program, hook, &[Value::Class(class)], &mut context, FUEL.0)?;
            if let Value::Number(cap) = value {
                if cap < 1.0 {
                    said.insert(
                        format!(
                            "{} is capped at {:.0} %",
                            class_name(inputs, class),
                            100.0 * cap
                        ),
                        machine.line,
                    );
                    advice.caps.insert(class, cap.max(0.0));
                }
            }
        }
    }
    if let Some(hook) = program.hooks.retry {
        for class in class_places() {
            let value =
                machine.call(program, hook, &[Value::Class(class)], &mut context, FUEL.0)?;
            if value == Value::Bool(false) {
                said.insert(
                    format!("{} is not tried again", class_name(inputs, class)),
                    machine.line,
                );
                advice.no_retry.push(class);
            }
        }
    }
    if let Some(hook) = program.hooks.exclude {
        for server in server_places() {
            context.effects.excluded = None;
            machine.call(
                program,
                hook,
                &[Value::Server(server)],
                &mut context,
                FUEL.0,
            )?;
            if let Some((reason, seconds)) = context.effects.excluded.take() {
                if seconds > 0.0 {
                    said.insert(
                        format!("{} is left out: {reason}", server_name(inputs, server)),
                        machine.line,
                    );
                    advice
                        .excluded
                        .insert(server, (reason, seconds.min(EXCLUDED_MOST)));
                }
            }
        }
    }
    Ok((advice, context.effects.notes, said))
}

fn server_name(inputs: &Inputs, at: u32) -> &str {
    inputs
        .servers
        .get(at as usize)
        .map_or("", |server| &server.name)
}

fn class_name(inputs: &Inputs, at: u32) -> &str {
    inputs
        .classes
        .get(at as usize)
        .map_or("", |class| &class.name)
}

fn keeps(
    inputs: &Inputs,
    server: u32,
    class: Option<u32>,
    zone: Option<&Arc<str>>,
    factor: f64,
) -> String {
    let class = class.map_or("all classes", |class| class_name(inputs, class));
    let from = zone.map(|zone| format!(" from {zone}")).unwrap_or_default();
    format!(
        "{} keeps {:.0} % for {class}{from}",
        server_name(inputs, server),
        100.0 * factor.max(0.0)
    )
}

fn places(names: &[String], inputs: &Inputs) -> Vec<u32> {
    let place = |name: &String| {
        inputs
            .classes
            .iter()
            .position(|class| *class.name == **name)
    };
    names
        .iter()
        .filter_map(place)
        .filter_map(|at| u32::try_from(at).ok())
        .collect()
}

/// Adds one plug-in's advice to what those before it gave: factors multiply, the lower cap holds, whoever forbids a second
/// try or leaves a server out is heard, and of two exclusions the longer one. Caps and exclusions that differ are told.
fn compose(turn: &mut Evaluation, name: &Arc<str>, own: Advice, inputs: &Inputs) {
    let all = &mut turn.advice;
    for (of, factor) in own.factors {
        *all.factors.entry(of).or_insert(1.0) *= factor;
    }
    for (class, cap) in own.caps {
        match all.caps.get_mut(&class) {
            Some(known) if *known != cap => {
                let of = inputs
                    .classes
                    .get(class as usize)
                    .map_or("", |class| &class.name);
                let words =
                    format!("the cap of {of} is {cap} here and {known} before: the lower holds");
                *known = known.min(cap);
                turn.events
                    .push((Arc::clone(name), PluginEvent::Conflicted(words)));
            }
            Some(_) => {}
            None => {
                all.caps.insert(class, cap);
            }
        }
    }
    for (server, (reason, seconds)) in own.excluded {
        match all.excluded.get_mut(&server) {
            Some((known, length)) => {
                let of = inputs
                    .servers
                    .get(server as usize)
                    .map_or("", |server| &server.name);
                let words = format!(
                    "{of} is left out for {reason:?} here and {known:?} before: the longer holds"
                );
                if seconds > *length {
                    (*known, *length) = (reason, seconds);
                }
                turn.events
                    .push((Arc::clone(name), PluginEvent::Conflicted(words)));
            }
            None => {
                all.excluded.insert(server, (reason, seconds));
            }
        }
    }
    all.no_retry.extend(own.no_retry);
    all.no_retry.sort_unstable();
    all.no_retry.dedup();
    all.steered.extend(own.steered);
    all.steered.sort_unstable();
    all.steered.dedup();
}
