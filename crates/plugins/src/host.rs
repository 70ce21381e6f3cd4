//! The host: evaluates all loaded plug-ins in order and merges their advice; the policy decides how the advice takes effect.
//! A plug-in that faults gives no advice in that evaluation, and one that faults repeatedly is suspended with backoff.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::code::{Program, Value};
use crate::compile::compile;
use crate::diagnostics::Diagnostic;
use crate::inputs::Inputs;
use crate::machine::{Context, Fault, Machine, Memory};

/// Maximum number of loaded plug-ins.
pub const MAX_PLUGINS: usize = 32;
/// Fuel of one call of `factor`, `cap`, `retry` or `exclude`: an operation uses one unit, or more on large values.
const HOOK_FUEL: u64 = 2_000;
/// Fuel of one call of `turn`.
const TURN_HOOK_FUEL: u64 = 50_000;
/// Fuel of a plug-in per evaluation for each result that its hooks could return.
const FUEL_PER_RESULT: u64 = 80;
/// Fuel of a plug-in per evaluation in addition to that for its results.
const BASE_FUEL: u64 = 60_000;
/// Number of faults from which a plug-in is suspended.
const FAULTS_TO_SUSPEND: u32 = 3;
/// Length of the first suspension, in evaluations. Each further one is twice as long.
const MIN_SUSPENSION: u64 = 10;
/// Maximum length of a suspension, in evaluations.
const MAX_SUSPENSION: u64 = 640;
/// Successful evaluations in a row after which the fault count and the backoff are reset.
const FAULT_RESET_EVALUATIONS: u32 = 600;
/// Maximum number of events for new advice of one plug-in in an evaluation, and likewise for ended advice.
const MAX_ADVICE_EVENTS: usize = 16;
/// Maximum duration of an exclusion, in seconds. The hook can renew it in each evaluation.
const MAX_EXCLUSION_S: f64 = 3600.0;

/// The merged advice of all plug-ins. Servers, zones and classes are positions in the inputs; those without an entry are not
/// affected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Share of its weight that a server keeps, by server, zone of the proxies, and class. `None` means all classes.
    pub factors: BTreeMap<(u32, u32, Option<u32>), f64>,
    /// The largest share of a class's requests that is admitted, from 0 to 1.
    pub caps: BTreeMap<u32, f64>,
    /// Classes whose requests are not retried.
    pub no_retry: Vec<u32>,
    /// Excluded servers, with the reason and the duration in seconds.
    pub excluded: BTreeMap<u32, (String, f64)>,
    /// Classes that have factors of their own.
    pub steered: Vec<u32>,
}

/// What happened to one plug-in in an evaluation.
#[derive(Clone, Debug, PartialEq)]
pub enum PluginEvent {
    /// It called `note` with this text.
    Noted(String),
    /// It faulted, and its advice in this evaluation is dropped.
    Faulted(Fault),
    /// It gives advice that it did not give in its previous evaluation: the advice as text, and the source line.
    AdviceStarted(String, u32),
    /// It no longer gives this advice.
    AdviceEnded(String),
    /// It is suspended for this number of evaluations.
    Suspended(u64),
    /// Its advice conflicts with that of an earlier plug-in; the text says which of them applies.
    Conflicted(String),
}

/// The result of evaluating all plug-ins once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluation {
    /// The merged advice of all plug-ins.
    pub advice: Advice,
    /// Events to record, each with its plug-in's name.
    pub events: Vec<(Arc<str>, PluginEvent)>,
    /// Fuel that each plug-in used, including those that faulted.
    pub fuel_used: Vec<(Arc<str>, u64)>,
    /// Traces of the calls about the traced server, as lines of text, each with its plug-in's name.
    pub traces: Vec<(Arc<str>, Vec<String>)>,
}

/// The advice of a plug-in as text, each with the source line that returned it.
type AdviceTexts = BTreeMap<String, u32>;

#[derive(Debug)]
struct LoadedPlugin {
    name: Arc<str>,
    program: Program,
    memory: Memory,
    /// Faults since the last reset, as far as they count towards a suspension.
    fault_count: u32,
    /// Evaluations without a fault since the last fault.
    successes: u32,
    /// Length of the next suspension, in evaluations.
    next_suspension: u64,
    /// Number of the last evaluation in which the plug-in is suspended.
    suspended_until: u64,
    /// Advice of the previous evaluation.
    advice_texts: AdviceTexts,
}

/// The loaded plug-ins, in the order in which they are evaluated.
#[derive(Default)]
pub struct Host {
    loaded: Vec<LoadedPlugin>,
    machine: Machine,
    /// Number of the current evaluation, from 1; 0 before the first.
    evaluation_number: u64,
    traced_server: Option<String>,
}

/// The name, version and source digest of a loaded plug-in.
pub type PluginIdentity = (String, u32, [u8; 32]);

/// A plug-in that cannot be loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedPlugin {
    /// The name of its file, or `all` if there are too many plug-ins.
    pub name: String,
    /// The errors, at least one.
    pub diagnostics: Vec<Diagnostic>,
}

impl Host {
    /// Replaces all loaded plug-ins atomically with these, given as pairs of file name and source. On any error the loaded
    /// ones stay. A plug-in keeps the values of its state variables from a loaded one of the same name, if their kinds are
    /// compatible.
    ///
    /// # Errors
    ///
    /// The plug-ins that do not compile, share a name, or are too many.
    pub fn load(
        &mut self,
        sources: &[(String, String)],
    ) -> Result<Vec<PluginIdentity>, Vec<RejectedPlugin>> {
        let (mut loaded, mut rejected) = (Vec::<LoadedPlugin>::new(), Vec::new());
        for (name, source) in sources {
            match compile(source) {
                Ok(program) if loaded.iter().any(|other| *other.name == *program.name) => {
                    let duplicate = Diagnostic::new(
                        source,
                        0..0,
                        format!("another plug-in has the name {:?}", program.name),
                    );
                    rejected.push(RejectedPlugin {
                        name: name.clone(),
                        diagnostics: vec![duplicate],
                    });
                }
                Ok(program) => loaded.push(self.with_previous_state(program)),
                Err(diagnostics) => rejected.push(RejectedPlugin {
                    name: name.clone(),
                    diagnostics,
                }),
            }
        }
        if sources.len() > MAX_PLUGINS {
            let too_many = Diagnostic::new(
                "",
                0..0,
                format!(
                    "{} plug-ins are too many, the maximum is {MAX_PLUGINS}",
                    sources.len()
                ),
            );
            rejected.push(RejectedPlugin {
                name: "all".to_string(),
                diagnostics: vec![too_many],
            });
        }
        if !rejected.is_empty() {
            return Err(rejected);
        }
        self.loaded = loaded;
        let identity = |plugin: &LoadedPlugin| {
            (
                plugin.name.to_string(),
                plugin.program.version,
                plugin.program.digest,
            )
        };
        Ok(self.loaded.iter().map(identity).collect())
    }

    fn with_previous_state(&self, program: Program) -> LoadedPlugin {
        let previous = self
            .loaded
            .iter()
            .find(|plugin| *plugin.name == *program.name);
        let memory = match previous {
            Some(previous) => Memory::carried_over(&program, &previous.program, &previous.memory),
            None => Memory::new(&program),
        };
        // A changed source starts without faults; an unchanged one keeps its faults and its suspension.
        let unchanged = previous.filter(|previous| previous.program.digest == program.digest);
        let (fault_count, next_suspension, suspended_until) =
            unchanged.map_or((0, MIN_SUSPENSION, 0), |previous| {
                (
                    previous.fault_count,
                    previous.next_suspension,
                    previous.suspended_until,
                )
            });
        LoadedPlugin {
            name: program.name.as_str().into(),
            program,
            memory,
            fault_count,
            successes: 0,
            next_suspension,
            suspended_until,
            advice_texts: AdviceTexts::new(),
        }
    }

    /// Returns the number of loaded plug-ins, including suspended ones.
    pub fn len(&self) -> usize {
        self.loaded.len()
    }

    /// Returns whether no plug-in is loaded.
    pub fn is_empty(&self) -> bool {
        self.loaded.is_empty()
    }

    /// Traces the operations of all further calls with this server as an argument. Replaces a server that was set before.
    pub fn trace_server(&mut self, server: &str) {
        self.traced_server = Some(server.to_string());
    }

    /// Returns whether all plug-ins are still suspended in the next evaluation, also if none is loaded.
    pub fn all_suspended(&self) -> bool {
        self.loaded
            .iter()
            .all(|plugin| plugin.suspended_until > self.evaluation_number)
    }

    /// Counts an evaluation, which brings the end of suspensions closer, without calling any plug-in.
    pub fn skip_evaluation(&mut self) {
        self.evaluation_number += 1;
    }

    /// Evaluates all plug-ins that are not suspended, and merges their advice.
    pub fn evaluate(&mut self, inputs: &Inputs) -> Evaluation {
        self.evaluation_number += 1;
        let mut evaluation = Evaluation::default();
        let position = |name: &String| {
            inputs
                .servers
                .iter()
                .position(|server| *server.name == **name)
        };
        self.machine.traced_server = self
            .traced_server
            .as_ref()
            .and_then(position)
            .and_then(|position| u32::try_from(position).ok());
        for plugin in &mut self.loaded {
            if plugin.suspended_until >= self.evaluation_number {
                continue;
            }
            // Restored if the plug-in faults.
            let memory_before = plugin.memory.clone();
            let mut fuel_used = 0;
            let result = evaluate_plugin(
                plugin,
                &mut self.machine,
                inputs,
                self.evaluation_number,
                &mut fuel_used,
            );
            evaluation
                .fuel_used
                .push((Arc::clone(&plugin.name), fuel_used));
            let traces = std::mem::take(&mut self.machine.traces);
            let trace_lines = traces.iter().map(|trace| {
                (
                    Arc::clone(&plugin.name),
                    trace.lines(&plugin.program, inputs),
                )
            });
            evaluation.traces.extend(trace_lines);
            match result {
                Ok((advice, notes, advice_texts)) => {
                    plugin.successes = plugin.successes.saturating_add(1);
                    if plugin.successes >= FAULT_RESET_EVALUATIONS {
                        (plugin.fault_count, plugin.next_suspension) = (0, MIN_SUSPENSION);
                    }
                    evaluation.events.extend(
                        notes
                            .into_iter()
                            .map(|note| (Arc::clone(&plugin.name), PluginEvent::Noted(note))),
                    );
                    add_advice_events(&mut evaluation, plugin, advice_texts);
                    merge_advice(&mut evaluation, &plugin.name, advice, inputs);
                }
                Err(fault) => {
                    plugin.memory = memory_before;
                    add_advice_events(&mut evaluation, plugin, AdviceTexts::new());
                    plugin.successes = 0;
                    plugin.fault_count += 1;
                    evaluation
                        .events
                        .push((Arc::clone(&plugin.name), PluginEvent::Faulted(fault)));
                    if plugin.fault_count >= FAULTS_TO_SUSPEND {
                        plugin.suspended_until = self.evaluation_number + plugin.next_suspension;
                        evaluation.events.push((
                            Arc::clone(&plugin.name),
                            PluginEvent::Suspended(plugin.next_suspension),
                        ));
                        plugin.next_suspension = (plugin.next_suspension * 2).min(MAX_SUSPENSION);
                        // After the suspension, a single fault suspends the plug-in again.
                        plugin.fault_count = FAULTS_TO_SUSPEND - 1;
                    }
                }
            }
        }
        evaluation
    }
}

/// Adds events for the advice of a plug-in that is new or has ended since its previous evaluation.
fn add_advice_events(
    evaluation: &mut Evaluation,
    plugin: &mut LoadedPlugin,
    advice_texts: AdviceTexts,
) {
    let named = |event| (Arc::clone(&plugin.name), event);
    let new = advice_texts
        .iter()
        .filter(|(text, _)| !plugin.advice_texts.contains_key(*text));
    evaluation.events.extend(
        new.take(MAX_ADVICE_EVENTS)
            .map(|(text, line)| named(PluginEvent::AdviceStarted(text.clone(), *line))),
    );
    let ended = plugin
        .advice_texts
        .keys()
        .filter(|text| !advice_texts.contains_key(*text));
    evaluation.events.extend(
        ended
            .take(MAX_ADVICE_EVENTS)
            .map(|text| named(PluginEvent::AdviceEnded(text.clone()))),
    );
    plugin.advice_texts = advice_texts;
}

/// Evaluates one plug-in. Returns its advice, its notes, and its advice as text. `fuel_used` is set even if it faults.
fn evaluate_plugin(
    plugin: &mut LoadedPlugin,
    machine: &mut Machine,
    inputs: &Inputs,
    evaluation_number: u64,
    fuel_used: &mut u64,
) -> Result<(Advice, Vec<String>, AdviceTexts), Fault> {
    let LoadedPlugin {
        program, memory, ..
    } = plugin;
    memory.decay();
    let steered: Vec<u32> = class_positions(&program.steered_classes, inputs);
    let zone_count = if program.uses_zone {
        inputs.zones.len()
    } else {
        1
    };
    let class_groups: Vec<Option<u32>> = if program.steered_classes.is_empty() {
        vec![None]
    } else {
        steered.iter().map(|class| Some(*class)).collect()
    };
    let result_count = inputs.servers.len() * zone_count * class_groups.len().max(1)
        + inputs.servers.len()
        + 2 * inputs.classes.len();
    let initial_fuel = FUEL_PER_RESULT * result_count as u64 + BASE_FUEL;
    let mut fuel = initial_fuel;
    let result = call_hooks(
        program,
        machine,
        inputs,
        (memory, &mut fuel, evaluation_number),
        (steered, class_groups, zone_count),
    );
    *fuel_used = initial_fuel - fuel;
    result
}

/// Calls all hooks of a plug-in. `class_groups` are the classes that `factor` is called for, or none for all classes at once.
fn call_hooks(
    program: &Program,
    machine: &mut Machine,
    inputs: &Inputs,
    (memory, fuel, evaluation_number): (&mut Memory, &mut u64, u64),
    (steered, class_groups, zone_count): (Vec<u32>, Vec<Option<u32>>, usize),
) -> Result<(Advice, Vec<String>, AdviceTexts), Fault> {
    let mut context = Context::new(program, inputs, memory, fuel, evaluation_number);
    let (mut advice, mut advice_texts) = (Advice::default(), AdviceTexts::new());
    if let Some(hook) = program.hooks.turn {
        machine.call(program, hook, &[], &mut context, TURN_HOOK_FUEL)?;
    }
    let class_positions = || 0..u32::try_from(inputs.classes.len()).unwrap_or(u32::MAX);
    let server_positions = || 0..u32::try_from(inputs.servers.len()).unwrap_or(u32::MAX);
    if let Some(hook) = program.hooks.factor {
        for group in &class_groups {
            for zone in 0..zone_count {
                let name = inputs.zones.get(zone).cloned().unwrap_or_else(|| "".into());
                // A factor hook without steered classes does not read the class, so that its value has no effect.
                let class = Value::Class(group.unwrap_or(0));
                for server in server_positions() {
                    let arguments = [
                        Value::Server(server),
                        class.clone(),
                        Value::Text(Arc::clone(&name)),
                    ];
                    let value = machine.call(program, hook, &arguments, &mut context, HOOK_FUEL)?;
                    let Value::Number(factor) = value else {
                        continue;
                    };
                    if factor < 1.0 {
                        advice_texts.insert(
                            factor_text(
                                inputs,
                                server,
                                *group,
                                program.uses_zone.then_some(&name),
                                factor,
                            ),
                            machine.return_line,
                        );
                        let zones = if program.uses_zone {
                            zone..zone + 1
                        } else {
                            0..inputs.zones.len()
                        };
                        for zone in zones {
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
        for class in class_positions() {
            let value = machine.call(
                program,
                hook,
                &[Value::Class(class)],
                &mut context,
                HOOK_FUEL,
            )?;
            if let Value::Number(cap) = value {
                if cap < 1.0 {
                    advice_texts.insert(
                        format!(
                            "{} is capped at {:.0} %",
                            class_name(inputs, class),
                            100.0 * cap
                        ),
                        machine.return_line,
                    );
                    advice.caps.insert(class, cap.max(0.0));
                }
            }
        }
    }
    if let Some(hook) = program.hooks.retry {
        for class in class_positions() {
            let value = machine.call(
                program,
                hook,
                &[Value::Class(class)],
                &mut context,
                HOOK_FUEL,
            )?;
            if value == Value::Bool(false) {
                advice_texts.insert(
                    format!("{} is not retried", class_name(inputs, class)),
                    machine.return_line,
                );
                advice.no_retry.push(class);
            }
        }
    }
    if let Some(hook) = program.hooks.exclude {
        for server in server_positions() {
            context.effects.excluded = None;
            machine.call(
                program,
                hook,
                &[Value::Server(server)],
                &mut context,
                HOOK_FUEL,
            )?;
            if let Some((reason, seconds)) = context.effects.excluded.take() {
                if seconds > 0.0 {
                    advice_texts.insert(
                        format!("{} is excluded: {reason}", server_name(inputs, server)),
                        machine.return_line,
                    );
                    advice
                        .excluded
                        .insert(server, (reason, seconds.min(MAX_EXCLUSION_S)));
                }
            }
        }
    }
    Ok((advice, context.effects.notes, advice_texts))
}

fn server_name(inputs: &Inputs, position: u32) -> &str {
    inputs
        .servers
        .get(position as usize)
        .map_or("", |server| &server.name)
}

fn class_name(inputs: &Inputs, position: u32) -> &str {
    inputs
        .classes
        .get(position as usize)
        .map_or("", |class| &class.name)
}

fn factor_text(
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

/// Returns the positions of the classes with these names; unknown names are skipped.
fn class_positions(names: &[String], inputs: &Inputs) -> Vec<u32> {
    let position = |name: &String| {
        inputs
            .classes
            .iter()
            .position(|class| *class.name == **name)
    };
    names
        .iter()
        .filter_map(position)
        .filter_map(|position| u32::try_from(position).ok())
        .collect()
}

/// Merges the advice of one plug-in into that of the earlier ones: factors multiply, and the lowest cap, any ban on retries
/// and the longest exclusion apply. Different caps of a class and repeated exclusions of a server are reported as conflicts.
fn merge_advice(evaluation: &mut Evaluation, name: &Arc<str>, advice: Advice, inputs: &Inputs) {
    let merged = &mut evaluation.advice;
    for (key, factor) in advice.factors {
        *merged.factors.entry(key).or_insert(1.0) *= factor;
    }
    for (class, cap) in advice.caps {
        match merged.caps.get_mut(&class) {
            Some(earlier) if *earlier != cap => {
                let class = inputs
                    .classes
                    .get(class as usize)
                    .map_or("", |class| &class.name);
                let text = format!(
                    "the cap of {class} is {cap}, and {earlier} by an earlier plug-in; the lower applies"
                );
                *earlier = earlier.min(cap);
                evaluation
                    .events
                    .push((Arc::clone(name), PluginEvent::Conflicted(text)));
            }
            Some(_) => {}
            None => {
                merged.caps.insert(class, cap);
            }
        }
    }
    for (server, (reason, seconds)) in advice.excluded {
        match merged.excluded.get_mut(&server) {
            Some((earlier_reason, earlier_seconds)) => {
                let server = inputs
                    .servers
                    .get(server as usize)
                    .map_or("", |server| &server.name);
                let text = format!(
                    "{server} is excluded for {reason:?}, and for {earlier_reason:?} by an earlier plug-in; the longer applies"
                );
                if seconds > *earlier_seconds {
                    (*earlier_reason, *earlier_seconds) = (reason, seconds);
                }
                evaluation
                    .events
                    .push((Arc::clone(name), PluginEvent::Conflicted(text)));
            }
            None => {
                merged.excluded.insert(server, (reason, seconds));
            }
        }
    }
    merged.no_retry.extend(advice.no_retry);
    merged.no_retry.sort_unstable();
    merged.no_retry.dedup();
    merged.steered.extend(advice.steered);
    merged.steered.sort_unstable();
    merged.steered.dedup();
}
