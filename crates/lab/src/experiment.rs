//! Experiments: reads them in the protobuf text format of `proto/lab.proto`, validates them, and expands them into arms,
//! each one scenario with one variant.

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

/// The generated types of the schema.
#[allow(missing_docs, clippy::all)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/chutegrade.lab.v1.rs"));
}

const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/lab.bin"));
const MESSAGE: &str = "chutegrade.lab.v1.Experiment";

/// Maximum number of arms of an experiment.
const MAX_ARMS: usize = 256;
/// Maximum number of runs of an arm.
const MAX_RUNS: u32 = 100_000;

/// A variant: a control plane and a change of the scenario.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Unique within the experiment.
    pub name: String,
    /// Control plane, plug-ins and limits; recorded traffic is added for each arm.
    pub setup: Setup,
    change: model::Scenario,
    first_error: FirstError,
}

impl Variant {
    /// Returns the first error of the processes of an alternative policy, if any failed.
    pub fn first_error(&self) -> Option<String> {
        self.first_error.lock().ok().and_then(|error| error.clone())
    }
}

/// The requested precision of an experiment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Precision {
    /// Share of confidence intervals that contain the true difference, over all looks together; from 0.5 to below 1.
    pub confidence: f64,
    /// Half the width of the confidence interval at which runs end, in units of the first measure.
    pub half_width: f64,
    /// Runs of each arm before the first look.
    pub pilot_runs: usize,
    /// Maximum number of runs of each arm.
    pub max_runs: usize,
}

impl Precision {
    /// Returns the maximum number of sequential looks at the results; the runs double after each.
    pub fn max_looks(&self) -> usize {
        let doublings = (self.max_runs as f64 / self.pilot_runs.max(1) as f64)
            .log2()
            .ceil()
            .max(0.0);
        1 + doublings as usize
    }

    /// Returns the confidence of a single look: the error probability is divided among all looks, so that together they
    /// have the requested confidence.
    pub fn look_confidence(&self) -> f64 {
        1.0 - (1.0 - self.confidence) / self.max_looks() as f64
    }
}

/// A scenario with a variant.
#[derive(Clone, Debug)]
pub struct Arm {
    /// Name of the scenario.
    pub case: String,
    /// Index of the variant in [`Plan::variants`].
    pub variant: usize,
    /// The scenario with the variant's change.
    pub scenario: Scenario,
    /// The variant's setup, with the recorded traffic of the scenario, if any.
    pub setup: Setup,
    /// Digest of everything that determines the outcome, except seed and build.
    pub digest: String,
}

/// A validated experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Title of the report.
    pub name: String,
    /// The question that the experiment answers, for the report; may be empty.
    pub question: String,
    /// Names of the scenarios, in their order in the file.
    pub cases: Vec<String>,
    /// The variants; the others are compared with the first.
    pub variants: Vec<Variant>,
    /// Each scenario with each variant, ordered by scenario.
    pub arms: Vec<Arm>,
    /// Figures to compare; the first determines when runs end.
    pub measures: Vec<String>,
    /// When runs end, and the confidence of the results.
    pub precision: Precision,
    /// Seed of the first run of each arm; further runs use the following ones.
    pub seed: u64,
}

/// Reads and validates an experiment; paths in it are relative to `directory`. Returns all errors at once.
pub fn read(text: &str, directory: &Path) -> Result<Plan, Vec<TextError>> {
    let declaration: pb::Experiment =
        chutegrade_textproto::parse(SCHEMA, MESSAGE, text).map_err(|error| vec![error])?;
    let mut errors: Vec<TextError> = Vec::new();
    let mut add_error = |field: &str, message: String| {
        errors.push(TextError {
            position: find_field(text, field),
            message,
        })
    };
    let precision = declaration.precision.unwrap_or_default();
    let precision = Precision {
        confidence: precision.confidence.unwrap_or(0.95),
        half_width: precision.half_width.unwrap_or(0.01),
        pilot_runs: precision.pilot.unwrap_or(8) as usize,
        max_runs: precision.most.unwrap_or(64) as usize,
    };
    if !(0.5..1.0).contains(&precision.confidence) {
        add_error(
            "confidence",
            format!(
                "confidence {} must be at least 0.5 and below 1",
                precision.confidence
            ),
        );
    }
    if precision.half_width.is_nan() || precision.half_width <= 0.0 {
        add_error(
            "half_width",
            format!("half_width {} must be above 0", precision.half_width),
        );
    }
    if precision.pilot_runs < 2
        || precision.max_runs < precision.pilot_runs
        || precision.max_runs > MAX_RUNS as usize
    {
        let (pilot, most) = (precision.pilot_runs, precision.max_runs);
        add_error(
            "most",
            format!(
                "pilot is {pilot} and most is {most}: pilot must be 2 or more, and most from pilot to {MAX_RUNS}"
            ),
        );
    }
    let mut variants = Vec::new();
    for (index, variant) in declaration.variant.iter().enumerate() {
        match read_variant(variant, index, directory) {
            Ok(variant) => variants.push(variant),
            Err(message) => add_error("variant", message),
        }
    }
    if variants.is_empty() {
        variants.push(Variant {
            name: "as it is".into(),
            setup: Setup::default(),
            change: Default::default(),
            first_error: FirstError::default(),
        });
    }
    for sweep in &declaration.sweep {
        match sweep_variants(sweep, &variants[0]) {
            Ok(swept) => variants.extend(swept),
            Err(message) => add_error("sweep", message),
        }
    }
    let mut names = std::collections::BTreeSet::new();
    if let Some(duplicate) = variants
        .iter()
        .find(|variant| !names.insert(variant.name.clone()))
    {
        add_error(
            "variant",
            format!("two variants are named {:?}", duplicate.name),
        );
    }
    let (mut cases, mut arms) = (Vec::new(), Vec::new());
    for (index, case) in declaration.case.iter().enumerate() {
        let loaded = read_scenario(case, directory)
            .and_then(|scenario| Ok((scenario, read_traffic(case, directory)?)));
        let (scenario, traffic) = match loaded {
            Ok(loaded) => loaded,
            Err(message) => {
                add_error("case", message);
                continue;
            }
        };
        let name = case
            .name
            .clone()
            .or_else(|| scenario.name.clone())
            .unwrap_or_else(|| format!("case-{}", index + 1));
        if cases.contains(&name) {
            add_error("case", format!("two scenarios are named {name:?}"));
        }
        for (variant_index, variant) in variants.iter().enumerate() {
            let changed = with_change(&scenario, &variant.change);
            match Scenario::try_from(&changed) {
                Ok(scenario) => {
                    let setup = Setup {
                        traffic: traffic.clone(),
                        ..variant.setup.clone()
                    };
                    if let Err(message) = setup.validate_for(&scenario) {
                        add_error("case", format!("{name} with {}: {message}", variant.name));
                    }
                    let digest = arm_digest(&digest(&changed), &setup);
                    arms.push(Arm {
                        case: name.clone(),
                        variant: variant_index,
                        scenario,
                        setup,
                        digest,
                    });
                }
                Err(field_errors) => {
                    let messages: Vec<String> = field_errors
                        .into_iter()
                        .map(|(_, message)| message)
                        .collect();
                    add_error(
                        "case",
                        format!("{name} with {}: {}", variant.name, messages.join("; ")),
                    );
                }
            }
        }
        cases.push(name);
    }
    if declaration.case.is_empty() {
        add_error("case", "no scenario: give at least one case".to_string());
    }
    if arms.len() > MAX_ARMS {
        add_error(
            "variant",
            format!(
                "{} combinations of scenarios and variants are too many: at most {MAX_ARMS}",
                arms.len()
            ),
        );
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    let measures = if declaration.measure.is_empty() {
        vec!["service".to_string()]
    } else {
        declaration.measure
    };
    Ok(Plan {
        name: declaration.name.unwrap_or_else(|| "experiment".to_string()),
        question: declaration.question.unwrap_or_default(),
        cases,
        variants,
        arms,
        measures,
        precision,
        seed: declaration.seed.unwrap_or(1),
    })
}

fn read_text(directory: &Path, file: &str) -> Result<String, String> {
    let path = directory.join(file);
    std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))
}

fn read_scenario(case: &pb::Case, directory: &Path) -> Result<model::Scenario, String> {
    let base = match &case.file {
        Some(file) => {
            parse(&read_text(directory, file)?).map_err(|error| format!("{file}:{error}"))?
        }
        None => model::Scenario::default(),
    };
    Ok(match &case.scenario {
        Some(change) => with_change(&base, change),
        None => base,
    })
}

fn read_traffic(case: &pb::Case, directory: &Path) -> Result<Option<Arc<Traffic>>, String> {
    let Some(file) = &case.traffic else {
        return Ok(None);
    };
    let opened =
        std::fs::File::open(directory.join(file)).map_err(|error| format!("{file}: {error}"))?;
    let traffic = chutegrade_traffic::read(opened).map_err(|error| format!("{file}: {error}"))?;
    Ok(Some(Arc::new(traffic)))
}

fn read_variant(variant: &pb::Variant, index: usize, directory: &Path) -> Result<Variant, String> {
    let control = match variant.control() {
        pb::variant::Control::Fixed => Control::Fixed,
        pb::variant::Control::Nobody => Control::Nobody,
        pb::variant::Control::Ideal => {
            Control::Ideal(variant.ideal_late_ms.unwrap_or(DEFAULT_IDEAL_DELAY_MS))
        }
        pb::variant::Control::Module | pb::variant::Control::Unspecified => Control::Module,
    };
    let text = |file: &String| Ok((file.clone(), read_text(directory, file)?));
    let plugins = variant
        .plugin
        .iter()
        .map(text)
        .collect::<Result<Vec<_>, String>>()?;
    let first_error = FirstError::default();
    let alternative_policy = variant
        .sim
        .as_ref()
        .map(|command| load_alternative_policy(command, &first_error))
        .transpose()?;
    let setup = Setup {
        control,
        plugins,
        alternative_policy,
        limits: variant.limits.clone(),
        traffic: None,
    };
    setup.validate_plugins()?;
    Ok(Variant {
        first_error,
        name: variant
            .name
            .clone()
            .unwrap_or_else(|| format!("variant-{}", index + 1)),
        setup,
        change: variant.change.clone().unwrap_or_default(),
    })
}

/// Returns the policy of another build, run by its command. The policy's name contains a digest of the program, so that
/// results of different builds are not confused.
fn load_alternative_policy(
    command: &str,
    first_error: &FirstError,
) -> Result<AlternativePolicy, String> {
    let program = command.split_whitespace().next().unwrap_or_default();
    let bytes = std::fs::read(program).map_err(|error| format!("{program:?}: {error}"))?;
    let name = format!("{command} {}", blake3::hash(&bytes).to_hex());
    let (command, first_error) = (command.to_string(), Arc::clone(first_error));
    let create = move |settings: &Settings, seed: u64| -> Box<dyn DecisionPolicy> {
        let numbered_names =
            |prefix: &str, count: usize| (0..count).map(|n| format!("{prefix}{n}")).collect();
        let names = DeploymentNames {
            zones: numbered_names("z", settings.zones),
            classes: numbered_names("c", settings.classes.len()),
            machine_kinds: Vec::new(),
        };
        let config = RemotePolicyConfig {
            command: &command,
            settings,
            names: &names,
            seed,
        };
        spawn(&config, &first_error)
    };
    Ok(AlternativePolicy {
        name,
        create: Arc::new(create),
    })
}

/// Returns a copy of a variant for each value of a sweep, with the field of the scenario set to the value.
fn sweep_variants(sweep: &pb::Sweep, base: &Variant) -> Result<Vec<Variant>, String> {
    let path = sweep.field();
    let with_value = |value: &f64| {
        let change = set_field(&base.change, path, *value)?;
        Ok(Variant {
            name: format!("{path} {value}"),
            change,
            ..base.clone()
        })
    };
    sweep.value.iter().map(with_value).collect()
}

/// Returns a copy of a scenario with one field set; `path` names the field with dots between the levels.
pub fn set_field(
    scenario: &model::Scenario,
    path: &str,
    value: f64,
) -> Result<model::Scenario, String> {
    let schema = chutegrade_textproto::message_descriptor(
        chutegrade_model::scenario::SCHEMA,
        "chutegrade.model.v1.Scenario",
    );
    let mut message = DynamicMessage::new(schema.map_err(|error| error.message)?);
    message
        .transcode_from(scenario)
        .map_err(|error| error.to_string())?;
    let names: Vec<&str> = path.split('.').collect();
    let (last, parents) = names
        .split_last()
        .ok_or_else(|| "the path of the field is empty".to_string())?;
    let mut parent = &mut message;
    for name in parents {
        let field = parent
            .descriptor()
            .get_field_by_name(name)
            .ok_or_else(|| format!("no field {name:?} in {path:?}"))?;
        if field.is_list() || field.is_map() {
            return Err(format!(
                "{name:?} in {path:?} is a list: a sweep sets single values"
            ));
        }
        parent = parent
            .get_field_mut(&field)
            .as_message_mut()
            .ok_or_else(|| format!("{name:?} in {path:?} has no fields"))?;
    }
    let field = parent
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
        _ => return Err(format!("{path:?} is not a number")),
    };
    parent.set_field(&field, value);
    message.transcode_to().map_err(|error| error.to_string())
}

fn arm_digest(scenario: &str, setup: &Setup) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(scenario.as_bytes());
    hasher.update(format!("{:?}", setup.control).as_bytes());
    hasher.update(
        setup
            .alternative_policy
            .as_ref()
            .map_or("", |policy| policy.name.as_str())
            .as_bytes(),
    );
    for (_, text) in &setup.plugins {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    // Absent limits and traffic add nothing, so that digests from before these existed stay the same.
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
    /// Returns the arms of a scenario, in the order of the variants.
    pub fn of_case<'a>(&'a self, case: &'a str) -> impl Iterator<Item = &'a Arm> {
        self.arms.iter().filter(move |arm| arm.case == case)
    }

    /// Returns the number of comparisons: each scenario and measure with each variant except the first.
    pub fn comparisons(&self) -> usize {
        self.cases.len() * self.measures.len() * (self.variants.len() - 1)
    }
}

#[cfg(test)]
mod tests;
