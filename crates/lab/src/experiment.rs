//! Experiments: read from protobuf text format after `proto/lab.proto`, checked whole, and turned into arms: a scenario and a
//! variant each.

use std::path::Path;
use std::sync::Arc;

use chutegrade_adapter::remote_policy::{spawn, FirstError, RemotePolicyConfig};
use chutegrade_engine::{DecisionPolicy, Settings};

use chutegrade_model::scenario::{digest, parse, pb as model, with_change, Scenario};
use chutegrade_model::{AlternativePolicy, Control, Setup, DEFAULT_IDEAL_DELAY_MS};
use chutegrade_settings::DeploymentNames;
use chutegrade_textproto::{find_field, TextError};
use chutegrade_traffic::Traffic;
use prost::Message as _;
use prost_reflect::{DynamicMessage, ReflectMessage as _, Value};

/// The types of the schema, as generated.
#[allow(missing_docs, clippy::all)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/chutegrade.lab.v1.rs"));
}

const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/lab.bin"));
const MESSAGE: &str = "chutegrade.lab.v1.Experiment";

/// Scenarios and variants at most.
const ARMS_MOST: usize = 256;
/// Runs of a variant at most.
const RUNS_MOST: u32 = 100_000;

/// What is compared.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// What decides, and by which rules.
    pub setup: Setup,
    change: model::Scenario,
    faults: FirstError,
}

impl Variant {
    /// What another build's process met first that ended it.
    pub fn fault(&self) -> Option<String> {
        self.faults.lock().ok().and_then(|fault| fault.clone())
    }
}

/// How sure to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Precision {
    /// Share of intervals that hold the truth.
    pub confidence: f64,
    /// Half the width of the interval that is asked for.
    pub half_width: f64,
    /// Runs at first.
    pub pilot: usize,
    /// Runs at most.
    pub most: usize,
}

impl Precision {
    /// How often results are looked at: each look doubles the runs.
    pub fn looks(&self) -> usize {
        let doublings = (self.most as f64 / self.pilot.max(1) as f64)
            .log2()
            .ceil()
            .max(0.0);
        1 + doublings as usize
    }

    /// The confidence of one look, so that all together keep what is asked: the chance of an error is shared among them.
    pub fn of_a_look(&self) -> f64 {
        1.0 - (1.0 - self.confidence) / self.looks() as f64
    }
}

/// A scenario and a variant.
#[derive(Clone, Debug)]
pub struct Arm {
    /// The scenario's name.
    pub case: String,
    /// The variant's place.
    pub variant: usize,
    /// The scenario with the variant's change.
    pub scenario: Scenario,
    /// What decides, and what comes where that is recorded.
    pub setup: Setup,
    /// A digest of all that decides the outcome but seed and build.
    pub digest: String,
}

/// A checked experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// What is asked.
    pub question: String,
    /// Names of the scenarios.
    pub cases: Vec<String>,
    /// The variants; the first is what others are compared with.
    pub variants: Vec<Variant>,
    /// Each scenario with each variant, scenario by scenario.
    pub arms: Vec<Arm>,
    /// Figures to compare.
    pub measures: Vec<String>,
    /// How sure to be.
    pub precision: Precision,
    /// The first seed.
    pub seed: u64,
}

/// Reads and checks an experiment; paths in it count from a directory. All faults at once.
pub fn read(text: &str, directory: &Path) -> Result<Plan, Vec<TextError>> {
    let written: pb::Experiment =
        chutegrade_textproto::parse(SCHEMA, MESSAGE, text).map_err(|wrong| vec![wrong])?;
    let mut faults: Vec<TextError> = Vec::new();
    let mut fault = |field: &str, said: String| {
        faults.push(TextError {
            position: find_field(text, field),
            message: said,
        })
    };
    let precision = written.precision.unwrap_or_default();
    let precision = Precision {
        confidence: precision.confidence.unwrap_or(0.95),
        half_width: precision.half_width.unwrap_or(0.01),
        pilot: precision.pilot.unwrap_or(8) as usize,
        most: precision.most.unwrap_or(64) as usize,
    };
    if !(0.5..1.0).contains(&precision.confidence) {
        fault(
            "confidence",
            format!(
                "confidence {} must lie from 0.5 to below 1",
                precision.confidence
            ),
        );
    }
    if precision.half_width.is_nan() || precision.half_width <= 0.0 {
        fault(
            "half_width",
            format!("half_width {} must be above 0", precision.half_width),
        );
    }
    if precision.pilot < 2
        || precision.most < precision.pilot
        || precision.most > RUNS_MOST as usize
    {
        let (pilot, most) = (precision.pilot, precision.most);
        fault(
            "most",
            format!(
                "from {pilot} to {most} runs: give 2 or more at first, and {RUNS_MOST} at most"
            ),
        );
    }
    let mut variants = Vec::new();
    for (number, of) in written.variant.iter().enumerate() {
        match variant(of, number, directory) {
            Ok(variant) => variants.push(variant),
            Err(said) => fault("variant", said),
        }
    }
    if variants.is_empty() {
        variants.push(Variant {
            name: "as it is".into(),
            setup: Setup::default(),
            change: Default::default(),
            faults: FirstError::default(),
        });
    }
    for of in &written.sweep {
        match sweep(of, &variants[0]) {
            Ok(more) => variants.extend(more),
            Err(said) => fault("sweep", said),
        }
    }
    let mut seen = std::collections::BTreeSet::new();
    if let Some(twice) = variants
        .iter()
        .find(|variant| !seen.insert(variant.name.clone()))
    {
        fault(
            "variant",
            format!("two variants are named {:?}", twice.name),
        );
    }
    let (mut cases, mut arms) = (Vec::new(), Vec::new());
    for (number, of) in written.case.iter().enumerate() {
        let read = case(of, directory).and_then(|scenario| Ok((scenario, traffic(of, directory)?)));
        let (scenario, traffic) = match read {
            Ok(read) => read,
            Err(said) => {
                fault("case", said);
                continue;
            }
        };
        let name = of
            .name
            .clone()
            .or_else(|| scenario.name.clone())
            .unwrap_or_else(|| format!("case-{}", number + 1));
        if cases.contains(&name) {
            fault("case", format!("two scenarios are named {name:?}"));
        }
        for (place, variant) in variants.iter().enumerate() {
            let both = with_change(&scenario, &variant.change);
            match Scenario::try_from(&both) {
                Ok(scenario) => {
                    let setup = Setup {
                        traffic: traffic.clone(),
                        ..variant.setup.clone()
                    };
                    if let Err(said) = setup.validate_for(&scenario) {
                        fault("case", format!("{name} with {}: {said}", variant.name));
                    }
                    let digest = arm_digest(&digest(&both), &setup);
                    arms.push(Arm {
                        case: name.clone(),
                        variant: place,
                        scenario,
                        setup,
                        digest,
                    });
                }
                Err(said) => {
                    let said: Vec<String> = said.into_iter().map(|(_, said)| said).collect();
                    fault(
                        "case",
                        format!("{name} with {}: {}", variant.name, said.join("; ")),
                    );
                }
            }
        }
        cases.push(name);
    }
    if written.case.is_empty() {
        fault("case", "no scenario: give at least one case".to_string());
    }
    if arms.len() > ARMS_MOST {
        fault(
            "variant",
            format!(
                "{} scenarios with variants are too many: at most {ARMS_MOST}",
                arms.len()
            ),
        );
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let measures = if written.measure.is_empty() {
        vec!["service".to_string()]
    } else {
        written.measure
    };
    Ok(Plan {
        name: written.name.unwrap_or_else(|| "experiment".to_string()),
        question: written.question.unwrap_or_default(),
        cases,
        variants,
        arms,
        measures,
        precision,
        seed: written.seed.unwrap_or(1),
    })
}

fn read_text(directory: &Path, file: &str) -> Result<String, String> {
    let path = directory.join(file);
    std::fs::read_to_string(&path).map_err(|fault| format!("{}: {fault}", path.display()))
}

fn case(of: &pb::Case, directory: &Path) -> Result<model::Scenario, String> {
    let base = match &of.file {
        Some(file) => {
            parse(&read_text(directory, file)?).map_err(|wrong| format!("{file}:{wrong}"))?
        }
        None => model::Scenario::default(),
    };
    Ok(match &of.scenario {
        Some(change) => with_change(&base, change),
        None => base,
    })
}

fn traffic(of: &pb::Case, directory: &Path) -> Result<Option<Arc<Traffic>>, String> {
    let Some(file) = &of.traffic else {
        return Ok(None);
    };
    let opened =
        std::fs::File::open(directory.join(file)).map_err(|fault| format!("{file}: {fault}"))?;
    let read = chutegrade_traffic::read(opened).map_err(|fault| format!("{file}: {fault}"))?;
    Ok(Some(Arc::new(read)))
}

fn variant(of: &pb::Variant, number: usize, directory: &Path) -> Result<Variant, String> {
    let control = match of.control() {
        pb::variant::Control::Fixed => Control::Fixed,
        pb::variant::Control::Nobody => Control::Nobody,
        pb::variant::Control::Ideal => {
            Control::Ideal(of.ideal_late_ms.unwrap_or(DEFAULT_IDEAL_DELAY_MS))
        }
        pb::variant::Control::Module | pb::variant::Control::Unspecified => Control::Module,
    };
    let text = |file: &String| Ok((file.clone(), read_text(directory, file)?));
    let plugins = of
        .plugin
        .iter()
        .map(text)
        .collect::<Result<Vec<_>, String>>()?;
    let faults = FirstError::default();
    let other = of
        .sim
        .as_ref()
        .map(|command| other(command, &faults))
        .transpose()?;
    let setup = Setup {
        control,
        plugins,
        alternative_policy: other,
        limits: of.limits.clone(),
        traffic: None,
    };
    setup.validate_plugins()?;
    Ok(Variant {
        faults,
        name: of
            .name
            .clone()
            .unwrap_or_else(|| format!("variant-{}", number + 1)),
        setup,
        change: of.change.clone().unwrap_or_default(),
    })
}

/// Another build by its command; its name holds a digest of the program, so that results of one are never taken for another's.
fn other(command: &str, faults: &FirstError) -> Result<AlternativePolicy, String> {
    let program = command.split_whitespace().next().unwrap_or_default();
    let bytes = std::fs::read(program).map_err(|fault| format!("{program:?}: {fault}"))?;
    let name = format!("{command} {}", blake3::hash(&bytes).to_hex());
    let (command, faults) = (command.to_string(), Arc::clone(faults));
    let make = move |settings: &Settings, seed: u64| -> Box<dyn DecisionPolicy> {
        let numbered =
            |prefix: &str, count: usize| (0..count).map(|n| format!("{prefix}{n}")).collect();
        let names = DeploymentNames {
            zones: numbered("z", settings.zones),
            classes: numbered("c", settings.classes.len()),
            machine_kinds: Vec::new(),
        };
        let config = RemotePolicyConfig {
            command: &command,
            settings,
            names: &names,
            seed,
        };
        spawn(&config, &faults)
    };
    Ok(AlternativePolicy {
        name,
        create: Arc::new(make),
    })
}

/// The first variant with a field set to each of some values.
fn sweep(of: &pb::Sweep, base: &Variant) -> Result<Vec<Variant>, String> {
    let path = of.field();
    let set = |value: &f64| {
        let change = set(&base.change, path, *value)?;
        Ok(Variant {
            name: format!("{path} {value}"),
            change,
            ..base.clone()
        })
    };
    of.value.iter().map(set).collect()
}

/// A scenario with one field set, by its path.
pub fn set(scenario: &model::Scenario, path: &str, value: f64) -> Result<model::Scenario, String> {
    let schema = chutegrade_textproto::message_descriptor(
        chutegrade_model::scenario::SCHEMA,
        "chutegrade.model.v1.Scenario",
    );
    let mut whole = DynamicMessage::new(schema.map_err(|wrong| wrong.message)?);
    whole
        .transcode_from(scenario)
        .map_err(|fault| fault.to_string())?;
    let names: Vec<&str> = path.split('.').collect();
    let (last, way) = names
        .split_last()
        .ok_or_else(|| "no field is named".to_string())?;
    let mut at = &mut whole;
    for name in way {
        let field = at
            .descriptor()
            .get_field_by_name(name)
            .ok_or_else(|| format!("no field {name:?} in {path:?}"))?;
        if field.is_list() || field.is_map() {
            return Err(format!(
                "{name:?} in {path:?} is a list: a sweep sets single figures"
            ));
        }
        at = at
            .get_field_mut(&field)
            .as_message_mut()
            .ok_or_else(|| format!("{name:?} in {path:?} has no fields"))?;
    }
    let field = at
        .descriptor()
        .get_field_by_name(last)
        .ok_or_else(|| format!("no field {last:?} in {path:?}"))?;
    use prost_reflect::Kind;
    let value = match field.kind() {
        _ if field.is_list() => return Err(format!("{path:?} is a list")),
        Kind::Double => Value::F64(value),
        Kind::Uint32 => Value::U32(value as u32),
        Kind::Enum(_) => Value::EnumNumber(value as i32),
        Kind::Bool => Value::Bool(value != 0.0),
        _ => return Err(format!("{path:?} is no figure")),
    };
    at.set_field(&field, value);
    whole.transcode_to().map_err(|fault| fault.to_string())
}

fn arm_digest(scenario: &str, setup: &Setup) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(scenario.as_bytes());
    hasher.update(format!("{:?}", setup.control).as_bytes());
    hasher.update(
        setup
            .alternative_policy
            .as_ref()
            .map_or("", |other| other.name.as_str())
            .as_bytes(),
    );
    for (_, text) in &setup.plugins {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    // Absent means that nothing is added: results from before there were any stay as they were.
    if let Some(limits) = &setup.limits {
        hasher.update(b"limits");
        hasher.update(&limits.encode_to_vec());
    }
    if let Some(traffic) = &setup.traffic {
        hasher.update(format!("traffic {:?}", traffic).as_bytes());
    }
    hasher
        .finalize()
        .to_hex()
        .as_str()
        .get(..16)
        .unwrap_or_default()
        .to_string()
}

impl Plan {
    /// The arms of a scenario, in the order of the variants.
    pub fn of_case<'a>(&'a self, case: &'a str) -> impl Iterator<Item = &'a Arm> {
        self.arms.iter().filter(move |arm| arm.case == case)
    }

    /// Comparisons that are made: each scenario, measure and variant but the first.
    pub fn comparisons(&self) -> usize {
        self.cases.len() * self.measures.len() * (self.variants.len() - 1)
    }
}

#[cfg(test)]
mod tests;
