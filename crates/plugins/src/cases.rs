//! Runs the test cases of a plug-in: calls its hooks with the inputs of a case and compares the results.

use crate::ast::{Case, Expr, Spanned, Unary};
use crate::code::{Program, Value};
use crate::inputs::{Class, Fleet, Inputs, Server};
use crate::machine::{Context, Effects, Machine, Memory};

/// Fuel of one hook call.
const CALL_FUEL: u64 = 100_000;
/// Maximum number of evaluations that a case can request with `turns`.
const MAX_TURNS: f64 = 10_000.0;

/// The inputs that a case can set.
const INPUT_PATHS: [(&str, &str); 20] = [
    ("server", "name"),
    ("server", "zone"),
    ("server", "state"),
    ("server", "life"),
    ("server", "score"),
    ("server", "errors"),
    ("server", "latency"),
    ("server", "weight"),
    ("server", "warmth"),
    ("class", "name"),
    ("class", "effect"),
    ("class", "worth"),
    ("class", "level"),
    ("fleet", "strain"),
    ("fleet", "refused"),
    ("fleet", "waiting"),
    ("fleet", "streams"),
    ("fleet", "demand"),
    ("zone", ""),
    ("turns", ""),
];

/// Returns whether a case can set the input with this path.
pub fn is_input(path: &[&str]) -> bool {
    match path {
        [name] => INPUT_PATHS.contains(&(name, "")),
        [object, field] => INPUT_PATHS.contains(&(object, field)),
        _ => false,
    }
}

struct CaseInputs {
    server: Server,
    class: Class,
    zone: String,
    fleet: Fleet,
    turns: u64,
}

fn literal_number(value: &Spanned<Expr>) -> Option<f64> {
    match &value.node {
        Expr::Number(number) => Some(*number),
        Expr::Unary(Unary::Neg, operand) => literal_number(operand).map(|number| -number),
        _ => None,
    }
}

fn literal_text(value: &Spanned<Expr>) -> Option<&str> {
    match &value.node {
        Expr::Text(text) => Some(text),
        _ => None,
    }
}

impl CaseInputs {
    fn from_case(case: &Case) -> Result<Self, String> {
        let mut inputs = CaseInputs {
            server: Server::healthy("s-1", "a"),
            class: Class::idempotent("lookup"),
            zone: "a".to_string(),
            fleet: Fleet::default(),
            turns: 1,
        };
        for (path, value) in &case.given {
            let names: Vec<&str> = path.iter().map(|name| name.node.as_str()).collect();
            inputs
                .set(&names, value)
                .ok_or_else(|| format!("the value of {} has the wrong type", names.join(".")))?;
        }
        Ok(inputs)
    }

    fn set(&mut self, path: &[&str], value: &Spanned<Expr>) -> Option<()> {
        let CaseInputs {
            server,
            class,
            zone,
            fleet,
            turns,
        } = self;
        match path {
            ["server", "name"] => server.name = literal_text(value)?.into(),
            ["server", "zone"] => server.zone = literal_text(value)?.into(),
            ["server", "state"] => server.state = literal_text(value)?.into(),
            ["server", "life"] => server.lifecycle = literal_text(value)?.into(),
            ["server", "score"] => server.score = literal_number(value)?,
            ["server", "errors"] => server.errors = literal_number(value)?,
            ["server", "latency"] => server.latency = literal_number(value)?,
            ["server", "weight"] => server.weight = literal_number(value)?,
            ["server", "warmth"] => server.warmth = literal_number(value)?,
            ["class", "name"] => class.name = literal_text(value)?.into(),
            ["class", "effect"] => class.idempotency = literal_text(value)?.into(),
            ["class", "worth"] => class.priority_weight = literal_number(value)?,
            ["class", "level"] => class.admitted_share = literal_number(value)?,
            ["fleet", "strain"] => fleet.saturation = literal_number(value)?,
            ["fleet", "refused"] => fleet.refused = literal_number(value)?,
            ["fleet", "waiting"] => fleet.waiting = literal_number(value)?,
            ["fleet", "streams"] => fleet.streams = literal_number(value)?,
            ["fleet", "demand"] => fleet.demand = literal_number(value)?,
            ["zone"] => *zone = literal_text(value)?.to_string(),
            ["turns"] => *turns = literal_number(value)?.clamp(0.0, MAX_TURNS) as u64,
            _ => return None,
        }
        Some(())
    }
}

/// Runs all test cases of a program. Returns the name of each and, if it failed, the reason.
pub fn run(program: &Program) -> Vec<(String, Result<(), String>)> {
    program
        .cases
        .iter()
        .map(|case| (case.name.node.clone(), run_case(program, case)))
        .collect()
}

fn run_case(program: &Program, case: &Case) -> Result<(), String> {
    let case_inputs = CaseInputs::from_case(case)?;
    let inputs = Inputs {
        zones: vec![case_inputs.zone.as_str().into()],
        servers: vec![case_inputs.server],
        classes: vec![case_inputs.class],
        fleet: case_inputs.fleet,
    };
    let (mut memory, mut machine) = (Memory::new(program), Machine::default());
    for evaluation_number in 1..=case_inputs.turns {
        memory.decay();
        if let Some(hook) = program.hooks.turn {
            let mut fuel = CALL_FUEL;
            let mut context =
                Context::new(program, &inputs, &mut memory, &mut fuel, evaluation_number);
            machine
                .call(program, hook, &[], &mut context, CALL_FUEL)
                .map_err(|fault| fault.to_string())?;
        }
    }
    for (hook, expected) in &case.expected {
        let zone = Value::Text(case_inputs.zone.as_str().into());
        let (function, arguments) = match hook.node.as_str() {
            "factor" => (
                program.hooks.factor,
                vec![Value::Server(0), Value::Class(0), zone],
            ),
            "cap" => (program.hooks.cap, vec![Value::Class(0)]),
            "retry" => (program.hooks.retry, vec![Value::Class(0)]),
            _ => (program.hooks.exclude, vec![Value::Server(0)]),
        };
        let function = function.ok_or_else(|| format!("the plug-in has no hook {}", hook.node))?;
        let mut fuel = CALL_FUEL;
        let mut context = Context::new(program, &inputs, &mut memory, &mut fuel, case_inputs.turns);
        let value = machine
            .call(program, function, &arguments, &mut context, CALL_FUEL)
            .map_err(|fault| fault.to_string())?;
        let Effects { excluded, .. } = context.effects;
        // The result of `exclude` is the duration of the exclusion in seconds, or 0 for none.
        let actual = match (hook.node.as_str(), value) {
            ("exclude", _) => Value::Number(excluded.map_or(0.0, |(_, seconds)| seconds)),
            (_, value) => value,
        };
        let expected = match (&expected.node, literal_number(expected)) {
            (Expr::Bool(value), _) => Value::Bool(*value),
            (_, Some(number)) => Value::Number(number),
            _ => return Err(format!("{} does not return a text", hook.node)),
        };
        if !is_equal(&actual, &expected) {
            return Err(format!(
                "{} answered {}, expected {}",
                hook.node,
                display_value(&actual),
                display_value(&expected)
            ));
        }
    }
    Ok(())
}

/// Returns whether two results are equal, except for rounding errors.
fn is_equal(actual: &Value, expected: &Value) -> bool {
    match (actual, expected) {
        (Value::Number(actual), Value::Number(expected)) => (actual - expected).abs() < 1e-9,
        (actual, expected) => actual == expected,
    }
}

fn display_value(value: &Value) -> String {
    match value {
        Value::Number(number) => number.to_string(),
        Value::Bool(value) => value.to_string(),
        other => format!("{other:?}"),
    }
}
