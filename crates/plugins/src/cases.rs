//! The small cases that a plug-in carries: what is given, and what its hooks must answer.

use crate::ast::{At, Case, Expr, Unary};
use crate::code::{Program, Value};
use crate::inputs::{Class, Fleet, Inputs, Server};
use crate::machine::{Context, Effects, Machine, Memory};

/// Operations that one call in a case may take.
const FUEL: u64 = 100_000;
/// Turns that a case may ask for.
const TURNS_MOST: f64 = 10_000.0;

/// What a case can give.
const KNOWN: [(&str, &str); 20] = [
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

/// Whether a case can give this.
pub fn is_known(path: &[&str]) -> bool {
    match path {
        [word] => KNOWN.contains(&(word, "")),
        [of, field] => KNOWN.contains(&(of, field)),
        _ => false,
    }
}

struct Given {
    server: Server,
    class: Class,
    zone: String,
    fleet: Fleet,
    turns: u64,
}

fn number(value: &At<Expr>) -> Option<f64> {
    match &value.of {
        Expr::Number(number) => Some(*number),
        Expr::Unary(Unary::Neg, of) => number(of).map(|number| -number),
        _ => None,
    }
}

fn text(value: &At<Expr>) -> Option<&str> {
    match &value.of {
        Expr::Text(text) => Some(text),
        _ => None,
    }
}

impl Given {
    fn of(case: &Case) -> Result<Self, String> {
        let mut given = Given {
            server: Server::well("s-1", "a"),
            class: Class::plain("lookup"),
            zone: "a".to_string(),
            fleet: Fleet::default(),
            turns: 1,
        };
        for (path, value) in &case.given {
            let words: Vec<&str> = path.iter().map(|word| word.of.as_str()).collect();
            given
                .set(&words, value)
                .ok_or_else(|| format!("{} has another type", words.join(".")))?;
        }
        Ok(given)
    }

    fn set(&mut self, path: &[&str], value: &At<Expr>) -> Option<()> {
        let Given {
            server,
            class,
            zone,
            fleet,
            turns,
        } = self;
        match path {
            ["server", "name"] => server.name = text(value)?.into(),
            ["server", "zone"] => server.zone = text(value)?.into(),
            ["server", "state"] => server.state = text(value)?.into(),
            ["server", "life"] => server.life = text(value)?.into(),
            ["server", "score"] => server.score = number(value)?,
            ["server", "errors"] => server.errors = number(value)?,
            ["server", "latency"] => server.latency = number(value)?,
            ["server", "weight"] => server.weight = number(value)?,
            ["server", "warmth"] => server.warmth = number(value)?,
            ["class", "name"] => class.name = text(value)?.into(),
            ["class", "effect"] => class.effect = text(value)?.into(),
            ["class", "worth"] => class.worth = number(value)?,
            ["class", "level"] => class.level = number(value)?,
            ["fleet", "strain"] => fleet.strain = number(value)?,
            ["fleet", "refused"] => fleet.refused = number(value)?,
            ["fleet", "waiting"] => fleet.waiting = number(value)?,
            ["fleet", "streams"] => fleet.streams = number(value)?,
            ["fleet", "demand"] => fleet.demand = number(value)?,
            ["zone"] => *zone = text(value)?.to_string(),
            ["turns"] => *turns = number(value)?.clamp(0.0, TURNS_MOST) as u64,
            _ => return None,
        }
        Some(())
    }
}

/// Runs a program's cases; for each its name, and what went wrong, if something did.
pub fn run(program: &Program) -> Vec<(String, Result<(), String>)> {
    program
        .cases
        .iter()
        .map(|case| (case.name.of.clone(), one(program, case)))
        .collect()
}

fn one(program: &Program, case: &Case) -> Result<(), String> {
    let given = Given::of(case)?;
    let inputs = Inputs {
        zones: vec![given.zone.as_str().into()],
        servers: vec![given.server],
        classes: vec![given.class],
        fleet: given.fleet,
    };
    let (mut memory, mut machine) = (Memory::new(program), Machine::default());
    for turn in 1..=given.turns {
        memory.fade();
        if let Some(hook) = program.hooks.turn {
            let mut fuel = FUEL;
            let mut context = Context::new(program, &inputs, &mut memory, &mut fuel, turn);
            machine
                .call(program, hook, &[], &mut context, FUEL)
                .map_err(|stopped| stopped.to_string())?;
        }
    }
    for (hook, wanted) in &case.expected {
        let zone = Value::Text(given.zone.as_str().into());
        let (at, values) = match hook.of.as_str() {
            "factor" => (
                program.hooks.factor,
                vec![Value::Server(0), Value::Class(0), zone],
            ),
            "cap" => (program.hooks.cap, vec![Value::Class(0)]),
            "retry" => (program.hooks.retry, vec![Value::Class(0)]),
            _ => (program.hooks.exclude, vec![Value::Server(0)]),
        };
        let at = at.ok_or_else(|| format!("there is no hook {}", hook.of))?;
        let mut fuel = FUEL;
        let mut context = Context::new(program, &inputs, &mut memory, &mut fuel, given.turns);
        let value = machine
            .call(program, at, &values, &mut context, FUEL)
            .map_err(|stopped| stopped.to_string())?;
        let Effects { excluded, .. } = context.effects;
        // An exclusion is told by its seconds, 0 for none.
        let found = match (hook.of.as_str(), value) {
            ("exclude", _) => Value::Number(excluded.map_or(0.0, |(_, seconds)| seconds)),
            (_, value) => value,
        };
        let wanted = match (&wanted.of, number(wanted)) {
            (Expr::Bool(of), _) => Value::Bool(*of),
            (_, Some(number)) => Value::Number(number),
            _ => return Err(format!("{} answers no text", hook.of)),
        };
        if !alike(&found, &wanted) {
            return Err(format!(
                "{} answered {}, expected {}",
                hook.of,
                shown(&found),
                shown(&wanted)
            ));
        }
    }
    Ok(())
}

/// Whether an answer is what was expected; sums of decimals need not agree in the last digit.
fn alike(found: &Value, wanted: &Value) -> bool {
    match (found, wanted) {
        (Value::Number(found), Value::Number(wanted)) => (found - wanted).abs() < 1e-9,
        (found, wanted) => found == wanted,
    }
}

fn shown(value: &Value) -> String {
    match value {
        Value::Number(number) => number.to_string(),
        Value::Bool(of) => of.to_string(),
        other => format!("{other:?}"),
    }
}
