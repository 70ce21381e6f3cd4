//! The machine: runs verified bytecode over a turn's inputs, within fuel and memory, and nothing else. It has no clock, and
//! its chance is seeded by the text and the turn, so that the same inputs give the same advice.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ast::Shape;
use crate::code::*;
use crate::inputs::Inputs;

/// Longest text that a call may make, in bytes.
pub const TEXT_MOST: usize = 256;
/// Bytes of text that one call may make in all.
pub const ARENA_MOST: usize = 16 << 10;
/// Notes of one plug-in in a turn; what comes beyond is dropped, for a plug-in that notes each turn tells nobody anything.
pub const NOTES_MOST: usize = 4;

/// Why a call ended without a value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Trap {
    /// It took too long.
    #[error("out of fuel")]
    Fuel,
    /// It made too much text, or too large a map.
    #[error("out of memory: {0}")]
    Memory(&'static str),
    /// A number that is none.
    #[error("{0}")]
    Number(&'static str),
    /// The program is not what the verifier saw.
    #[error("the program is not sound")]
    Unsound,
}

/// A trap and where it was.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{trap} in {function}, line {line}")]
pub struct Fault {
    /// Why.
    pub trap: Trap,
    /// In which function.
    pub function: String,
    /// On which line of the text.
    pub line: u32,
}

/// One thing that lives between calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Cell {
    /// A plain value.
    Plain(Value),
    /// A mean that fades.
    Mean {
        /** Faded sum of what was added. */
        sum: f64,
        /** Faded count of it. */
        weight: f64,
        /** Turns in which both fade by half. */
        half_life: f64,
    },
    /// Numbers by text.
    Map(BTreeMap<Arc<str>, f64>),
}

impl Cell {
    fn new(shape: &Shape) -> Self {
        match shape {
            Shape::Number(number) => Cell::Plain(Value::Number(*number)),
            Shape::Bool(of) => Cell::Plain(Value::Bool(*of)),
            Shape::Text(text) => Cell::Plain(Value::Text(Arc::from(text.as_str()))),
            Shape::Mean(half_life) => Cell::Mean {
                sum: 0.0,
                weight: 0.0,
                half_life: *half_life,
            },
            Shape::Map => Cell::Map(BTreeMap::new()),
        }
    }

    /// What reading it gives.
    pub fn read(&self) -> Value {
        match self {
            Cell::Plain(value) => value.clone(),
            Cell::Mean { sum, weight, .. } if *weight > 0.0 => Value::Number(sum / weight),
            Cell::Mean { .. } => Value::Number(0.0),
            Cell::Map(_) => Value::Nothing,
        }
    }

    /// Sets it; a mean takes the value in.
    pub fn write(&mut self, value: Value) {
        match (self, value) {
            (Cell::Mean { sum, weight, .. }, Value::Number(number)) => {
                (*sum, *weight) = (*sum + number, *weight + 1.0)
            }
            (Cell::Plain(known), value) => *known = value,
            _ => {}
        }
    }

    /// A part of a map; 0 where there is none.
    pub fn get(&self, key: &str) -> f64 {
        match self {
            Cell::Map(map) => map.get(key).copied().unwrap_or(0.0),
            _ => 0.0,
        }
    }

    /// Sets a part of a map; 0 takes it out.
    pub fn put(&mut self, key: Arc<str>, value: f64) -> Result<(), Trap> {
        let Cell::Map(map) = self else {
            return Err(Trap::Unsound);
        };
        if value == 0.0 {
            map.remove(&key);
        } else if map.len() < MAP_MOST || map.contains_key(&key) {
            map.insert(key, value);
        } else {
            return Err(Trap::Memory("a map is full"));
        }
        Ok(())
    }
}

/// What lives between the calls of one plug-in.
#[derive(Clone, Debug, PartialEq)]
pub struct Memory(pub Vec<Cell>);

impl Memory {
    /// As the text declares it.
    pub fn new(program: &Program) -> Self {
        Memory(
            program
                .states
                .iter()
                .map(|(_, shape)| Cell::new(shape))
                .collect(),
        )
    }

    /// As the text declares it, with what an older version holds under the same name in the same shape.
    pub fn carried(program: &Program, older: &Program, memory: &Memory) -> Self {
        let mut new = Memory::new(program);
        for ((name, shape), cell) in program.states.iter().zip(&mut new.0) {
            let known = older
                .states
                .iter()
                .position(|(its, of)| its == name && same_shape(of, shape));
            if let Some(old) = known.and_then(|at| memory.0.get(at)) {
                *cell = old.clone();
            }
        }
        new
    }

    /// A turn has begun: means fade.
    pub fn fade(&mut self) {
        for cell in &mut self.0 {
            if let Cell::Mean {
                sum,
                weight,
                half_life,
            } = cell
            {
                let keep = 0.5f64.powf(1.0 / *half_life);
                (*sum, *weight) = (*sum * keep, *weight * keep);
            }
        }
    }
}

/// Whether what one shape holds can go on in another: first values may differ, the half-life of a mean may not.
fn same_shape(one: &Shape, other: &Shape) -> bool {
    match (one, other) {
        (Shape::Mean(one), Shape::Mean(other)) => one == other,
        _ => std::mem::discriminant(one) == std::mem::discriminant(other),
    }
}

/// What one call leaves beside its value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Notes for the records.
    pub notes: Vec<String>,
    /// Why, and for how many seconds, the server is to be left out.
    pub excluded: Option<(String, f64)>,
}

/// What calls of one plug-in share in a turn.
pub struct Context<'a> {
    /// What they see.
    pub inputs: &'a Inputs,
    /// What lives between them.
    pub memory: &'a mut Memory,
    /// Operations that are left to the turn.
    pub fuel: &'a mut u64,
    /// The number of the turn.
    pub turn: u64,
    /// The state of chance.
    pub chance: u64,
    /// What they leave.
    pub effects: Effects,
    /// Bytes of text made in this call.
    pub arena: usize,
}

impl<'a> Context<'a> {
    /// A turn's calls of one program.
    pub fn new(
        program: &Program,
        inputs: &'a Inputs,
        memory: &'a mut Memory,
        fuel: &'a mut u64,
        turn: u64,
    ) -> Self {
        let seed = program
            .digest
            .iter()
            .take(8)
            .fold(0u64, |seed, byte| (seed << 8) | u64::from(*byte));
        Context {
            inputs,
            memory,
            fuel,
            turn,
            chance: seed ^ turn,
            effects: Effects::default(),
            arena: 0,
        }
    }

    fn burn(&mut self, fuel: &mut u64, cost: u64) -> Result<(), Trap> {
        match (fuel.checked_sub(cost), self.fuel.checked_sub(cost)) {
            (Some(call), Some(turn)) => {
                (*fuel, *self.fuel) = (call, turn);
                Ok(())
            }
            _ => Err(Trap::Fuel),
        }
    }

    /// A text that a call made.
    pub fn text(&mut self, text: String) -> Result<Value, Trap> {
        self.arena += text.len();
        if text.len() > TEXT_MOST {
            return Err(Trap::Memory("a text is too long"));
        }
        if self.arena > ARENA_MOST {
            return Err(Trap::Memory("too much text"));
        }
        Ok(Value::Text(text.into()))
    }

    /// The next chance, from 0 to 1 (splitmix64).
    pub fn chance(&mut self) -> f64 {
        self.chance = self.chance.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut x = self.chance;
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A field of a value, or of the fleet.
    pub fn field(&self, field: Field, of: Option<&Value>) -> Result<Value, Trap> {
        let text = |text: &Arc<str>| Ok(Value::Text(Arc::clone(text)));
        let server = || match of {
            Some(Value::Server(at)) => self.inputs.servers.get(*at as usize).ok_or(Trap::Unsound),
            _ => Err(Trap::Unsound),
        };
        let class = || match of {
            Some(Value::Class(at)) => self.inputs.classes.get(*at as usize).ok_or(Trap::Unsound),
            _ => Err(Trap::Unsound),
        };
        let fleet = &self.inputs.fleet;
        match field {
            Field::ServerName => text(&server()?.name),
            Field::ServerZone => text(&server()?.zone),
            Field::ServerState => text(&server()?.state),
            Field::ServerLife => text(&server()?.life),
            Field::ServerScore => finite(server()?.score),
            Field::ServerErrors => finite(server()?.errors),
            Field::ServerLatency => finite(server()?.latency),
            Field::ServerWeight => finite(server()?.weight),
            Field::ServerWarmth => finite(server()?.warmth),
            Field::ClassName => text(&class()?.name),
            Field::ClassEffect => text(&class()?.effect),
            Field::ClassWorth => finite(class()?.worth),
            Field::ClassLevel => finite(class()?.level),
            Field::Strain => finite(fleet.strain),
            Field::Refused => finite(fleet.refused),
            Field::Waiting => finite(fleet.waiting),
            Field::Streams => finite(fleet.streams),
            Field::Demand => finite(fleet.demand),
            Field::Turn => finite(self.turn as f64),
            Field::Servers => Ok(Value::Servers),
            Field::Classes => Ok(Value::Classes),
            Field::Zones => Ok(Value::Zones),
        }
    }

    /// How many elements a collection has.
    pub fn length(&self, of: &Value) -> Result<usize, Trap> {
        match of {
            Value::Set(all) => Ok(all.len()),
            Value::Servers => Ok(self.inputs.servers.len()),
            Value::Classes => Ok(self.inputs.classes.len()),
            Value::Zones => Ok(self.inputs.zones.len()),
            Value::Range(from, to) => Ok(usize::try_from(to.saturating_sub(*from)).unwrap_or(0)),
            _ => Err(Trap::Unsound),
        }
    }

    /// An element of a collection; nothing past its end.
    pub fn element(&self, of: &Value, at: usize) -> Result<Option<Value>, Trap> {
        let place = u32::try_from(at).unwrap_or(u32::MAX);
        Ok(match of {
            Value::Set(all) => all.get(at).cloned(),
            Value::Servers => (at < self.inputs.servers.len()).then_some(Value::Server(place)),
            Value::Classes => (at < self.inputs.classes.len()).then_some(Value::Class(place)),
            Value::Zones => self
                .inputs
                .zones
                .get(at)
                .map(|zone| Value::Text(Arc::clone(zone))),
            Value::Range(from, to) => {
                let value = from.saturating_add(i64::try_from(at).unwrap_or(i64::MAX));
                (value < *to).then_some(Value::Number(value as f64))
            }
            _ => return Err(Trap::Unsound),
        })
    }

    /// What a function of the language gives.
    pub fn builtin(&mut self, builtin: Builtin, values: &[Value]) -> Result<Value, Trap> {
        let number = |at: usize| match values.get(at) {
            Some(Value::Number(number)) => Ok(*number),
            _ => Err(Trap::Unsound),
        };
        let text = |at: usize| match values.get(at) {
            Some(Value::Text(text)) => Ok(text),
            _ => Err(Trap::Unsound),
        };
        match builtin {
            Builtin::Min => finite(number(0)?.min(number(1)?)),
            Builtin::Max => finite(number(0)?.max(number(1)?)),
            Builtin::Abs => finite(number(0)?.abs()),
            Builtin::Floor => finite(number(0)?.floor()),
            Builtin::Clamp => finite(number(0)?.min(number(2)?).max(number(1)?)),
            // A cast of a float to an integer saturates; loops over what is too long run out of fuel.
            Builtin::Range => Ok(Value::Range(
                number(0)?.ceil() as i64,
                number(1)?.ceil() as i64,
            )),
            Builtin::LenSet | Builtin::LenServers => {
                let of = values.first().ok_or(Trap::Unsound)?;
                finite(self.length(of)? as f64)
            }
            Builtin::LenText => finite(text(0)?.chars().count() as f64),
            Builtin::LenMap => match self.memory.0.get(number(0)? as usize) {
                Some(Cell::Map(map)) => finite(map.len() as f64),
                _ => Err(Trap::Unsound),
            },
            Builtin::Starts => Ok(Value::Bool(text(0)?.starts_with(&**text(1)?))),
            Builtin::Words => {
                let number = number(0)?;
                self.text(
                    format!("{:.3}", number)
                        .trim_end_matches('0')
                        .trim_end_matches('.')
                        .to_string(),
                )
            }
            Builtin::Random => finite(self.chance()),
            Builtin::Note => {
                if self.effects.notes.len() < NOTES_MOST {
                    self.effects.notes.push(text(0)?.to_string());
                }
                Ok(Value::Nothing)
            }
            Builtin::Exclude => {
                self.effects.excluded = Some((text(0)?.to_string(), number(1)?));
                Ok(Value::Nothing)
            }
        }
    }
}

/// A number, if it is one.
pub fn finite(number: f64) -> Result<Value, Trap> {
    if number.is_finite() {
        Ok(Value::Number(number))
    } else {
        Err(Trap::Number("a number grew beyond all bounds"))
    }
}

/// What an operator of two numbers gives.
pub fn arithmetic(op: Op, left: f64, right: f64) -> Result<Value, Trap> {
    match op {
        Op::Add => finite(left + right),
        Op::Sub => finite(left - right),
        Op::Mul => finite(left * right),
        Op::Div | Op::Rem if right == 0.0 => Err(Trap::Number("a division by zero")),
        Op::Div => finite(left / right),
        Op::Rem => finite(left.rem_euclid(right)),
        Op::Lt => Ok(Value::Bool(left < right)),
        Op::Le => Ok(Value::Bool(left <= right)),
        Op::Gt => Ok(Value::Bool(left > right)),
        Op::Ge => Ok(Value::Bool(left >= right)),
        _ => Err(Trap::Unsound),
    }
}

/// Operations of one call that a trace keeps; the rest are counted.
pub const STEPS_MOST: usize = 500;

/// One operation of a traced call.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The function, by its place in the program.
    pub function: usize,
    /// The line of the text.
    pub line: u32,
    /// The operation.
    pub op: Op,
    /// What lay on top of the stack before it.
    pub top: Option<Value>,
}

/// A call, operation by operation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// The function that was called.
    pub function: usize,
    /// With what.
    pub values: Vec<Value>,
    /// The first operations, as they came.
    pub steps: Vec<Step>,
    /// Operations beyond those.
    pub more: u64,
    /// How it ended.
    pub answer: Option<Result<Value, Fault>>,
}

impl Trace {
    /// The call in words: its head, a line for each operation, its answer.
    pub fn lines(&self, program: &Program, inputs: &Inputs) -> Vec<String> {
        let name = |function: usize| {
            program
                .functions
                .get(function)
                .map_or("", |of| of.name.as_str())
        };
        let shown = |value: &Value| shown(value, inputs);
        let values: Vec<String> = self.values.iter().map(shown).collect();
        let mut lines = vec![format!("{}({})", name(self.function), values.join(", "))];
        for step in &self.steps {
            let within = match step.function == self.function {
                true => String::new(),
                false => format!("{}, ", name(step.function)),
            };
            let top = step
                .top
                .as_ref()
                .map(|top| format!(" on {}", shown(top)))
                .unwrap_or_default();
            lines.push(format!("  {within}line {}: {:?}{top}", step.line, step.op));
        }
        if self.more > 0 {
            lines.push(format!("  and {} operations more", self.more));
        }
        match &self.answer {
            Some(Ok(value)) => lines.push(format!("  = {}", shown(value))),
            Some(Err(stopped)) => lines.push(format!("  stopped: {stopped}")),
            None => {}
        }
        lines
    }
}

/// A value as the text would write it; servers and classes by name.
fn shown(value: &Value, inputs: &Inputs) -> String {
    let server = |at: &u32| {
        inputs
            .servers
            .get(*at as usize)
            .map_or("?", |server| &server.name)
    };
    let class = |at: &u32| {
        inputs
            .classes
            .get(*at as usize)
            .map_or("?", |class| &class.name)
    };
    match value {
        Value::Nothing => "nothing".to_string(),
        Value::Number(number) => number.to_string(),
        Value::Bool(of) => of.to_string(),
        Value::Text(text) => format!("{text:?}"),
        Value::Server(at) => format!("server {}", server(at)),
        Value::Class(at) => format!("class {}", class(at)),
        Value::Set(all) => format!("a set of {}", all.len()),
        Value::Servers => "fleet.servers".to_string(),
        Value::Classes => "fleet.classes".to_string(),
        Value::Zones => "fleet.zones".to_string(),
        Value::Range(from, to) => format!("range({from}, {to})"),
    }
}

/// Stack, locals and loops of all functions under way; kept from call to call, so that a call asks for no memory.
#[derive(Default)]
pub struct Machine {
    stack: Vec<Value>,
    locals: Vec<Value>,
    loops: Vec<(Value, usize)>,
    /// The line of the text on which the last call returned.
    pub line: u32,
    /// Calls about this server, by its place in the inputs, leave a trace.
    pub watched: Option<u32>,
    /// The traces that were left.
    pub traces: Vec<Trace>,
}

impl Machine {
    /// Calls a function of a verified program with these values, within so many operations.
    pub fn call(
        &mut self,
        program: &Program,
        function: u8,
        values: &[Value],
        context: &mut Context,
        fuel: u64,
    ) -> Result<Value, Fault> {
        self.stack.clear();
        self.locals.clear();
        self.loops.clear();
        self.stack.extend_from_slice(values);
        context.arena = 0;
        let mut left = fuel;
        let mut place = (usize::from(function), 0);
        let watched = self
            .watched
            .is_some_and(|server| values.contains(&Value::Server(server)));
        let own = usize::from(function);
        let ran = if watched {
            self.traces.push(Trace {
                function: own,
                values: values.to_vec(),
                ..Trace::default()
            });
            self.run::<true>(program, own, context, &mut left, &mut place)
        } else {
            self.run::<false>(program, own, context, &mut left, &mut place)
        };
        let ended = ran.map_err(|trap| {
            let stopped = program.functions.get(place.0);
            Fault {
                trap,
                function: stopped
                    .map(|function| function.name.clone())
                    .unwrap_or_default(),
                line: stopped
                    .and_then(|function| function.lines.get(place.1))
                    .copied()
                    .unwrap_or(0),
            }
        });
        if let Some(trace) = self.traces.last_mut().filter(|_| watched) {
            trace.answer = Some(ended.clone());
        }
        ended
    }

    fn step(&mut self, function: usize, line: u32, op: Op) {
        let top = self.stack.last().cloned();
        let Some(trace) = self.traces.last_mut() else {
            return;
        };
        if trace.steps.len() < STEPS_MOST {
            trace.steps.push(Step {
                function,
                line,
                op,
                top,
            });
        } else {
            trace.more += 1;
        }
    }

    fn pop(&mut self) -> Result<Value, Trap> {
        self.stack.pop().ok_or(Trap::Unsound)
    }

    fn number(&mut self) -> Result<f64, Trap> {
        match self.pop()? {
            Value::Number(number) => Ok(number),
            _ => Err(Trap::Unsound),
        }
    }

    fn text(&mut self) -> Result<Arc<str>, Trap> {
        match self.pop()? {
            Value::Text(text) => Ok(text),
            _ => Err(Trap::Unsound),
        }
    }

    fn bool(&mut self) -> Result<bool, Trap> {
        match self.pop()? {
            Value::Bool(of) => Ok(of),
            _ => Err(Trap::Unsound),
        }
    }

    /// Runs one function; those that it calls lie before it, so that the depth is bounded by their number.
    fn run<const TRACED: bool>(
        &mut self,
        program: &Program,
        own: usize,
        context: &mut Context,
        fuel: &mut u64,
        place: &mut (usize, usize),
    ) -> Result<Value, Trap> {
        let function = program.functions.get(own).ok_or(Trap::Unsound)?;
        let (base, loops) = (self.locals.len(), self.loops.len());
        let from = self
            .stack
            .len()
            .checked_sub(function.params.into())
            .ok_or(Trap::Unsound)?;
        self.locals.extend(self.stack.drain(from..));
        self.locals
            .resize(base + usize::from(function.locals), Value::Nothing);
        self.loops
            .resize(loops + usize::from(function.loops), (Value::Nothing, 0));
        let mut at = 0usize;
        loop {
            *place = (own, at);
            context.burn(fuel, 1)?;
            let op = *function.code.get(at).ok_or(Trap::Unsound)?;
            if TRACED {
                self.step(own, function.lines.get(at).copied().unwrap_or(0), op);
            }
            at += 1;
            match op {
                Op::Const(constant) => {
                    self.stack.push(
                        program
                            .constants
                            .get(usize::from(constant))
                            .ok_or(Trap::Unsound)?
                            .clone(),
                    );
                }
                Op::Load(local) => {
                    let value = self
                        .locals
                        .get(base + usize::from(local))
                        .ok_or(Trap::Unsound)?
                        .clone();
                    self.stack.push(value);
                }
                Op::Store(local) => {
                    let value = self.pop()?;
                    *self
                        .locals
                        .get_mut(base + usize::from(local))
                        .ok_or(Trap::Unsound)? = value;
                }
                Op::LoadState(state) => {
                    let value = context
                        .memory
                        .0
                        .get(usize::from(state))
                        .ok_or(Trap::Unsound)?
                        .read();
                    self.stack.push(value);
                }
                Op::StoreState(state) => {
                    let value = self.pop()?;
                    context
                        .memory
                        .0
                        .get_mut(usize::from(state))
                        .ok_or(Trap::Unsound)?
                        .write(value);
                }
                Op::MapGet(state) => {
                    let key = self.text()?;
                    let value = context
                        .memory
                        .0
                        .get(usize::from(state))
                        .ok_or(Trap::Unsound)?
                        .get(&key);
                    self.stack.push(Value::Number(value));
                }
                Op::MapPut(state) => {
                    let (value, key) = (self.number()?, self.text()?);
                    context
                        .memory
                        .0
                        .get_mut(usize::from(state))
                        .ok_or(Trap::Unsound)?
                        .put(key, value)?;
                }
                Op::Get(field) => {
                    let fleet = field.is_of_fleet();
                    let of = if fleet { None } else { Some(self.pop()?) };
                    self.stack.push(context.field(field, of.as_ref())?);
                }
                Op::Add
                | Op::Sub
                | Op::Mul
                | Op::Div
                | Op::Rem
                | Op::Lt
                | Op::Le
                | Op::Gt
                | Op::Ge => {
                    let (right, left) = (self.number()?, self.number()?);
                    self.stack.push(arithmetic(op, left, right)?);
                }
                Op::Join => {
                    let (right, left) = (self.text()?, self.text()?);
                    self.stack.push(context.text(format!("{left}{right}"))?);
                }
                Op::Neg => {
                    let number = self.number()?;
                    self.stack.push(Value::Number(-number));
                }
                Op::Not => {
                    let of = self.bool()?;
                    self.stack.push(Value::Bool(!of));
                }
                Op::Eq | Op::Ne => {
                    let (right, left) = (self.pop()?, self.pop()?);
                    context.burn(fuel, weight(&left))?;
                    self.stack
                        .push(Value::Bool((left == right) == (op == Op::Eq)));
                }
                Op::In => {
                    let (Value::Set(all), value) = (self.pop()?, self.pop()?) else {
                        return Err(Trap::Unsound);
                    };
                    context.burn(fuel, all.len() as u64 / 4)?;
                    self.stack.push(Value::Bool(all.contains(&value)));
                }
                Op::Jump(to) => at = to.into(),
                Op::JumpIfNot(to) => {
                    if !self.bool()? {
                        at = to.into();
                    }
                }
                Op::Call(function) => {
                    let value =
                        self.run::<TRACED>(program, usize::from(function), context, fuel, place)?;
                    self.stack.push(value);
                }
                Op::Do(builtin) => {
                    let from = self
                        .stack
                        .len()
                        .checked_sub(builtin.takes())
                        .ok_or(Trap::Unsound)?;
                    let value =
                        context.builtin(builtin, self.stack.get(from..).unwrap_or_default())?;
                    self.stack.truncate(from);
                    self.stack.push(value);
                }
                Op::Each(slot) => {
                    let over = self.pop()?;
                    *self
                        .loops
                        .get_mut(loops + usize::from(slot))
                        .ok_or(Trap::Unsound)? = (over, 0);
                }
                Op::Next(slot, local, end) => {
                    let (over, next) = self
                        .loops
                        .get_mut(loops + usize::from(slot))
                        .ok_or(Trap::Unsound)?;
                    match context.element(over, *next)? {
                        Some(value) => {
                            *next += 1;
                            *self
                                .locals
                                .get_mut(base + usize::from(local))
                                .ok_or(Trap::Unsound)? = value;
                        }
                        None => at = end.into(),
                    }
                }
                Op::Pop => {
                    self.pop()?;
                }
                Op::Return => {
                    let value = self.pop()?;
                    self.locals.truncate(base);
                    self.loops.truncate(loops);
                    self.line = function.lines.get(at - 1).copied().unwrap_or(0);
                    return Ok(value);
                }
            }
        }
    }
}

/// What comparing a value costs.
fn weight(value: &Value) -> u64 {
    match value {
        Value::Text(text) => text.len() as u64 / 16,
        Value::Set(all) => all.len() as u64,
        _ => 0,
    }
}
