//! The virtual machine: runs verified bytecode on the inputs of an evaluation, with bounded fuel and memory. It has no clock,
//! and its random numbers are seeded by the source and the evaluation's number, so that the same inputs give the same advice.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ast::StateKind;
use crate::code::*;
use crate::inputs::Inputs;

/// Maximum size of a text that a call creates, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;
/// Maximum total size of the texts that one call creates, in bytes.
pub const MAX_CALL_TEXT_BYTES: usize = 16 << 10;
/// Maximum number of notes of one plug-in in an evaluation; further ones are dropped, so that they do not flood the records.
pub const MAX_NOTES: usize = 4;

/// Why a call ended without a result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Trap {
    /// The call, or the evaluation, used up its fuel: one unit for each operation, and more for operations on large values.
    #[error("out of fuel")]
    Fuel,
    /// A text, a map or the total text of a call exceeds its maximum size.
    #[error("out of memory: {0}")]
    Memory(&'static str),
    /// The result of a calculation is not a finite number, or a divisor is 0.
    #[error("{0}")]
    Number(&'static str),
    /// The program has not passed the verifier.
    #[error("invalid bytecode")]
    InvalidBytecode,
}

/// A trap and its position in the source.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{trap} in {function}, line {line}")]
pub struct Fault {
    /// Why the call ended.
    pub trap: Trap,
    /// Name of the function that was running.
    pub function: String,
    /// Source line of the operation; 0 if it has none.
    pub line: u32,
}

/// The value of a state variable, which is kept between calls.
#[derive(Clone, Debug, PartialEq)]
pub enum StateCell {
    /// A single value.
    Plain(Value),
    /// A decaying mean.
    Mean {
        /// Decayed sum of the values.
        sum: f64,
        /// Decayed number of the values.
        weight: f64,
        /// Half-life of both, in evaluations.
        half_life: f64,
    },
    /// Numbers with text keys; a missing key counts as 0.
    Map(BTreeMap<Arc<str>, f64>),
}

impl StateCell {
    fn new(kind: &StateKind) -> Self {
        match kind {
            StateKind::Number(number) => StateCell::Plain(Value::Number(*number)),
            StateKind::Bool(value) => StateCell::Plain(Value::Bool(*value)),
            StateKind::Text(text) => StateCell::Plain(Value::Text(Arc::from(text.as_str()))),
            StateKind::Mean(half_life) => StateCell::Mean {
                sum: 0.0,
                weight: 0.0,
                half_life: *half_life,
            },
            StateKind::Map => StateCell::Map(BTreeMap::new()),
        }
    }

    /// Returns the current value; 0 for a mean without values, and [`Value::Nothing`] for a map.
    pub fn read(&self) -> Value {
        match self {
            StateCell::Plain(value) => value.clone(),
            StateCell::Mean { sum, weight, .. } if *weight > 0.0 => Value::Number(sum / weight),
            StateCell::Mean { .. } => Value::Number(0.0),
            StateCell::Map(_) => Value::Nothing,
        }
    }

    /// Sets a single value, or adds a number to a mean. Ignores other values for a mean, and all values for a map.
    pub fn write(&mut self, value: Value) {
        match (self, value) {
            (StateCell::Mean { sum, weight, .. }, Value::Number(number)) => {
                (*sum, *weight) = (*sum + number, *weight + 1.0)
            }
            (StateCell::Plain(current), value) => *current = value,
            _ => {}
        }
    }

    /// Returns an entry of a map; 0 for a missing key, or if this is not a map.
    pub fn get(&self, key: &str) -> f64 {
        match self {
            StateCell::Map(map) => map.get(key).copied().unwrap_or(0.0),
            _ => 0.0,
        }
    }

    /// Sets an entry of a map; the value 0 removes the entry.
    ///
    /// # Errors
    ///
    /// If the map is full, or this is not a map.
    pub fn put(&mut self, key: Arc<str>, value: f64) -> Result<(), Trap> {
        let StateCell::Map(map) = self else {
            return Err(Trap::InvalidBytecode);
        };
        if value == 0.0 {
            map.remove(&key);
        } else if map.len() < MAX_MAP_ENTRIES || map.contains_key(&key) {
            map.insert(key, value);
        } else {
            return Err(Trap::Memory("a map is full"));
        }
        Ok(())
    }
}

/// The state variables of one plug-in, in the order of their declarations.
#[derive(Clone, Debug, PartialEq)]
pub struct Memory(pub Vec<StateCell>);

impl Memory {
    /// Returns the initial values.
    pub fn new(program: &Program) -> Self {
        Memory(
            program
                .states
                .iter()
                .map(|(_, kind)| StateCell::new(kind))
                .collect(),
        )
    }

    /// Returns the initial values, replaced by those of the previous version's variables of the same name and a compatible
    /// kind.
    pub fn carried_over(program: &Program, previous: &Program, memory: &Memory) -> Self {
        let mut new = Memory::new(program);
        for ((name, kind), cell) in program.states.iter().zip(&mut new.0) {
            let index = previous.states.iter().position(|(known_name, known_kind)| {
                known_name == name && is_compatible(known_kind, kind)
            });
            if let Some(previous_cell) = index.and_then(|index| memory.0.get(index)) {
                *cell = previous_cell.clone();
            }
        }
        new
    }

    /// Decays all means by one evaluation.
    pub fn decay(&mut self) {
        for cell in &mut self.0 {
            if let StateCell::Mean {
                sum,
                weight,
                half_life,
            } = cell
            {
                let decay = 0.5f64.powf(1.0 / *half_life);
                (*sum, *weight) = (*sum * decay, *weight * decay);
            }
        }
    }
}

/// Returns whether the value of a variable of one kind fits another: initial values may differ, the half-life of a mean may
/// not.
fn is_compatible(kind: &StateKind, other: &StateKind) -> bool {
    match (kind, other) {
        (StateKind::Mean(half_life), StateKind::Mean(other)) => half_life == other,
        _ => std::mem::discriminant(kind) == std::mem::discriminant(other),
    }
}

/// Side effects of calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Texts of `note`, at most [`MAX_NOTES`].
    pub notes: Vec<String>,
    /// Reason and duration in seconds of the last `exclude`.
    pub excluded: Option<(String, f64)>,
}

/// What the calls of one plug-in share in an evaluation.
pub struct Context<'a> {
    /// What the calls can read.
    pub inputs: &'a Inputs,
    /// The state variables.
    pub memory: &'a mut Memory,
    /// Fuel that remains for the evaluation.
    pub fuel: &'a mut u64,
    /// Number of the evaluation, which the language calls `fleet.turn`.
    pub evaluation_number: u64,
    /// State of the random number generator.
    pub random_state: u64,
    /// Side effects so far.
    pub effects: Effects,
    /// Bytes of text that this call has created.
    pub text_bytes: usize,
}

impl<'a> Context<'a> {
    /// Creates the context for the calls of one program in one evaluation.
    pub fn new(
        program: &Program,
        inputs: &'a Inputs,
        memory: &'a mut Memory,
        fuel: &'a mut u64,
        evaluation_number: u64,
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
            evaluation_number,
            random_state: seed ^ evaluation_number,
            effects: Effects::default(),
            text_bytes: 0,
        }
    }

    /// Deducts a cost from the fuel of the call and of the evaluation.
    fn consume(&mut self, call_fuel: &mut u64, cost: u64) -> Result<(), Trap> {
        match (call_fuel.checked_sub(cost), self.fuel.checked_sub(cost)) {
            (Some(call), Some(evaluation)) => {
                (*call_fuel, *self.fuel) = (call, evaluation);
                Ok(())
            }
            _ => Err(Trap::Fuel),
        }
    }

    /// Creates a text, which counts against the limits on texts.
    pub fn text(&mut self, text: String) -> Result<Value, Trap> {
        self.text_bytes += text.len();
        if text.len() > MAX_TEXT_BYTES {
            return Err(Trap::Memory("a text is too long"));
        }
        if self.text_bytes > MAX_CALL_TEXT_BYTES {
            return Err(Trap::Memory("too much text"));
        }
        Ok(Value::Text(text.into()))
    }

    /// Returns the next random number from 0, inclusive, to 1, exclusive (splitmix64).
    pub fn next_random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut x = self.random_state;
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a field of a server or class, or of the fleet if there is no object.
    pub fn field(&self, field: Field, object: Option<&Value>) -> Result<Value, Trap> {
        let text = |text: &Arc<str>| Ok(Value::Text(Arc::clone(text)));
        let server = || match object {
            Some(Value::Server(position)) => self
                .inputs
                .servers
                .get(*position as usize)
                .ok_or(Trap::InvalidBytecode),
            _ => Err(Trap::InvalidBytecode),
        };
        let class = || match object {
            Some(Value::Class(position)) => self
                .inputs
                .classes
                .get(*position as usize)
                .ok_or(Trap::InvalidBytecode),
            _ => Err(Trap::InvalidBytecode),
        };
        let fleet = &self.inputs.fleet;
        match field {
            Field::ServerName => text(&server()?.name),
            Field::ServerZone => text(&server()?.zone),
            Field::ServerState => text(&server()?.state),
            Field::ServerLife => text(&server()?.lifecycle),
            Field::ServerScore => finite(server()?.score),
            Field::ServerErrors => finite(server()?.errors),
            Field::ServerLatency => finite(server()?.latency),
            Field::ServerWeight => finite(server()?.weight),
            Field::ServerWarmth => finite(server()?.warmth),
            Field::ClassName => text(&class()?.name),
            Field::ClassEffect => text(&class()?.idempotency),
            Field::ClassWorth => finite(class()?.priority_weight),
            Field::ClassLevel => finite(class()?.admitted_share),
            Field::Strain => finite(fleet.saturation),
            Field::Refused => finite(fleet.refused),
            Field::Waiting => finite(fleet.waiting),
            Field::Streams => finite(fleet.streams),
            Field::Demand => finite(fleet.demand),
            Field::Turn => finite(self.evaluation_number as f64),
            Field::Servers => Ok(Value::Servers),
            Field::Classes => Ok(Value::Classes),
            Field::Zones => Ok(Value::Zones),
        }
    }

    /// Returns the number of elements of a collection.
    pub fn length(&self, collection: &Value) -> Result<usize, Trap> {
        match collection {
            Value::Set(values) => Ok(values.len()),
            Value::Servers => Ok(self.inputs.servers.len()),
            Value::Classes => Ok(self.inputs.classes.len()),
            Value::Zones => Ok(self.inputs.zones.len()),
            Value::Range(from, to) => Ok(usize::try_from(to.saturating_sub(*from)).unwrap_or(0)),
            _ => Err(Trap::InvalidBytecode),
        }
    }

    /// Returns the element of a collection at an index; `None` past its end.
    pub fn element(&self, collection: &Value, index: usize) -> Result<Option<Value>, Trap> {
        let position = u32::try_from(index).unwrap_or(u32::MAX);
        Ok(match collection {
            Value::Set(values) => values.get(index).cloned(),
            Value::Servers => {
                (index < self.inputs.servers.len()).then_some(Value::Server(position))
            }
            Value::Classes => (index < self.inputs.classes.len()).then_some(Value::Class(position)),
            Value::Zones => self
                .inputs
                .zones
                .get(index)
                .map(|zone| Value::Text(Arc::clone(zone))),
            Value::Range(from, to) => {
                let value = from.saturating_add(i64::try_from(index).unwrap_or(i64::MAX));
                (value < *to).then_some(Value::Number(value as f64))
            }
            _ => return Err(Trap::InvalidBytecode),
        })
    }

    /// Calls a built-in function.
    pub fn builtin(&mut self, builtin: Builtin, arguments: &[Value]) -> Result<Value, Trap> {
        let number = |index: usize| match arguments.get(index) {
            Some(Value::Number(number)) => Ok(*number),
            _ => Err(Trap::InvalidBytecode),
        };
        let text = |index: usize| match arguments.get(index) {
            Some(Value::Text(text)) => Ok(text),
            _ => Err(Trap::InvalidBytecode),
        };
        match builtin {
            Builtin::Min => finite(number(0)?.min(number(1)?)),
            Builtin::Max => finite(number(0)?.max(number(1)?)),
            Builtin::Abs => finite(number(0)?.abs()),
            Builtin::Floor => finite(number(0)?.floor()),
            Builtin::Clamp => finite(number(0)?.min(number(2)?).max(number(1)?)),
            // A cast of a float to an integer saturates; a loop over too long a range runs out of fuel.
            Builtin::Range => Ok(Value::Range(
                number(0)?.ceil() as i64,
                number(1)?.ceil() as i64,
            )),
            Builtin::LenSet | Builtin::LenServers => {
                let collection = arguments.first().ok_or(Trap::InvalidBytecode)?;
                finite(self.length(collection)? as f64)
            }
            Builtin::LenText => finite(text(0)?.chars().count() as f64),
            Builtin::LenMap => match self.memory.0.get(number(0)? as usize) {
                Some(StateCell::Map(map)) => finite(map.len() as f64),
                _ => Err(Trap::InvalidBytecode),
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
            Builtin::Random => finite(self.next_random()),
            Builtin::Note => {
                if self.effects.notes.len() < MAX_NOTES {
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

/// Returns a number as a value, or a trap if it is infinite or not a number.
pub fn finite(number: f64) -> Result<Value, Trap> {
    if number.is_finite() {
        Ok(Value::Number(number))
    } else {
        Err(Trap::Number("number out of range"))
    }
}

/// Returns the result of an arithmetic or comparison operation on two numbers. The remainder of a division is never
/// negative.
pub fn arithmetic(op: Op, left: f64, right: f64) -> Result<Value, Trap> {
    match op {
        Op::Add => finite(left + right),
        Op::Sub => finite(left - right),
        Op::Mul => finite(left * right),
        Op::Div | Op::Rem if right == 0.0 => Err(Trap::Number("division by zero")),
        Op::Div => finite(left / right),
        Op::Rem => finite(left.rem_euclid(right)),
        Op::Lt => Ok(Value::Bool(left < right)),
        Op::Le => Ok(Value::Bool(left <= right)),
        Op::Gt => Ok(Value::Bool(left > right)),
        Op::Ge => Ok(Value::Bool(left >= right)),
        _ => Err(Trap::InvalidBytecode),
    }
}

/// Maximum number of operations of one call that a trace lists; further ones are only counted.
pub const MAX_TRACE_STEPS: usize = 500;

/// One operation of a traced call.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Position of the function in the program.
    pub function: usize,
    /// Source line.
    pub line: u32,
    /// The operation with its operands.
    pub op: Op,
    /// Top of the stack before the operation; `None` if the stack was empty.
    pub top: Option<Value>,
}

/// The operations of one call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Position of the called function in the program.
    pub function: usize,
    /// Arguments of the call.
    pub arguments: Vec<Value>,
    /// The first operations in order, at most [`MAX_TRACE_STEPS`].
    pub steps: Vec<Step>,
    /// Number of further operations.
    pub omitted: u64,
    /// The result or fault of the call; `None` while it runs.
    pub result: Option<Result<Value, Fault>>,
}

impl Trace {
    /// Returns the trace as text: the call, a line for each operation, and the result.
    pub fn lines(&self, program: &Program, inputs: &Inputs) -> Vec<String> {
        let name = |function: usize| {
            program
                .functions
                .get(function)
                .map_or("", |function| function.name.as_str())
        };
        let display = |value: &Value| display_value(value, inputs);
        let arguments: Vec<String> = self.arguments.iter().map(display).collect();
        let mut lines = vec![format!("{}({})", name(self.function), arguments.join(", "))];
        for step in &self.steps {
            let callee = match step.function == self.function {
                true => String::new(),
                false => format!("{}, ", name(step.function)),
            };
            let top = step
                .top
                .as_ref()
                .map(|top| format!(" on {}", display(top)))
                .unwrap_or_default();
            lines.push(format!("  {callee}line {}: {:?}{top}", step.line, step.op));
        }
        if self.omitted > 0 {
            lines.push(format!("  and {} more operations", self.omitted));
        }
        match &self.result {
            Some(Ok(value)) => lines.push(format!("  = {}", display(value))),
            Some(Err(fault)) => lines.push(format!("  fault: {fault}")),
            None => {}
        }
        lines
    }
}

/// Formats a value in the notation of the language; servers and classes by name, and sets by their length.
fn display_value(value: &Value, inputs: &Inputs) -> String {
    let server = |position: &u32| {
        inputs
            .servers
            .get(*position as usize)
            .map_or("?", |server| &server.name)
    };
    let class = |position: &u32| {
        inputs
            .classes
            .get(*position as usize)
            .map_or("?", |class| &class.name)
    };
    match value {
        Value::Nothing => "nothing".to_string(),
        Value::Number(number) => number.to_string(),
        Value::Bool(value) => value.to_string(),
        Value::Text(text) => format!("{text:?}"),
        Value::Server(position) => format!("server {}", server(position)),
        Value::Class(position) => format!("class {}", class(position)),
        Value::Set(values) => format!("a set of {}", values.len()),
        Value::Servers => "fleet.servers".to_string(),
        Value::Classes => "fleet.classes".to_string(),
        Value::Zones => "fleet.zones".to_string(),
        Value::Range(from, to) => format!("range({from}, {to})"),
    }
}

/// Position of a function in the program, and of an operation in the function.
type CodePosition = (usize, usize);

/// The stack, locals and loops of all active functions. Calls reuse their memory.
#[derive(Default)]
pub struct Machine {
    stack: Vec<Value>,
    locals: Vec<Value>,
    /// The iterable of each loop and the index of its next element.
    loops: Vec<(Value, usize)>,
    /// Source line of the last return.
    pub return_line: u32,
    /// Position of a server in the inputs; calls with it as an argument are traced.
    pub traced_server: Option<u32>,
    /// Traces since the host last took them.
    pub traces: Vec<Trace>,
}

impl Machine {
    /// Calls a function of a verified program. The call may use this fuel, and no more than the context has left.
    pub fn call(
        &mut self,
        program: &Program,
        function: u8,
        arguments: &[Value],
        context: &mut Context,
        fuel: u64,
    ) -> Result<Value, Fault> {
        self.stack.clear();
        self.locals.clear();
        self.loops.clear();
        self.stack.extend_from_slice(arguments);
        context.text_bytes = 0;
        let mut fuel_left = fuel;
        let mut position = (usize::from(function), 0);
        let is_traced = self
            .traced_server
            .is_some_and(|server| arguments.contains(&Value::Server(server)));
        let index = usize::from(function);
        let outcome = if is_traced {
            self.traces.push(Trace {
                function: index,
                arguments: arguments.to_vec(),
                ..Trace::default()
            });
            self.run::<true>(program, index, context, &mut fuel_left, &mut position)
        } else {
            self.run::<false>(program, index, context, &mut fuel_left, &mut position)
        };
        let result = outcome.map_err(|trap| {
            let function = program.functions.get(position.0);
            Fault {
                trap,
                function: function
                    .map(|function| function.name.clone())
                    .unwrap_or_default(),
                line: function
                    .and_then(|function| function.lines.get(position.1))
                    .copied()
                    .unwrap_or(0),
            }
        });
        if let Some(trace) = self.traces.last_mut().filter(|_| is_traced) {
            trace.result = Some(result.clone());
        }
        result
    }

    /// Adds an operation to the current trace.
    fn trace_step(&mut self, function: usize, line: u32, op: Op) {
        let top = self.stack.last().cloned();
        let Some(trace) = self.traces.last_mut() else {
            return;
        };
        if trace.steps.len() < MAX_TRACE_STEPS {
            trace.steps.push(Step {
                function,
                line,
                op,
                top,
            });
        } else {
            trace.omitted += 1;
        }
    }

    fn pop(&mut self) -> Result<Value, Trap> {
        self.stack.pop().ok_or(Trap::InvalidBytecode)
    }

    fn pop_number(&mut self) -> Result<f64, Trap> {
        match self.pop()? {
            Value::Number(number) => Ok(number),
            _ => Err(Trap::InvalidBytecode),
        }
    }

    fn pop_text(&mut self) -> Result<Arc<str>, Trap> {
        match self.pop()? {
            Value::Text(text) => Ok(text),
            _ => Err(Trap::InvalidBytecode),
        }
    }

    fn pop_bool(&mut self) -> Result<bool, Trap> {
        match self.pop()? {
            Value::Bool(value) => Ok(value),
            _ => Err(Trap::InvalidBytecode),
        }
    }

    /// Runs one function. It calls only earlier functions, so the recursion is no deeper than the number of functions.
    /// `position` is set to the function and operation that run.
    fn run<const TRACED: bool>(
        &mut self,
        program: &Program,
        index: usize,
        context: &mut Context,
        fuel: &mut u64,
        position: &mut CodePosition,
    ) -> Result<Value, Trap> {
        let function = program.functions.get(index).ok_or(Trap::InvalidBytecode)?;
        let (local_base, loop_base) = (self.locals.len(), self.loops.len());
        let first_argument = self
            .stack
            .len()
            .checked_sub(function.params.into())
            .ok_or(Trap::InvalidBytecode)?;
        self.locals.extend(self.stack.drain(first_argument..));
        self.locals
            .resize(local_base + usize::from(function.locals), Value::Nothing);
        self.loops
            .resize(loop_base + usize::from(function.loops), (Value::Nothing, 0));
        let mut next_operation = 0usize;
        loop {
            *position = (index, next_operation);
            context.consume(fuel, 1)?;
            let op = *function
                .code
                .get(next_operation)
                .ok_or(Trap::InvalidBytecode)?;
            if TRACED {
                self.trace_step(
                    index,
                    function.lines.get(next_operation).copied().unwrap_or(0),
                    op,
                );
            }
            next_operation += 1;
            match op {
                Op::Const(constant) => {
                    self.stack.push(
                        program
                            .constants
                            .get(usize::from(constant))
                            .ok_or(Trap::InvalidBytecode)?
                            .clone(),
                    );
                }
                Op::Load(local) => {
                    let value = self
                        .locals
                        .get(local_base + usize::from(local))
                        .ok_or(Trap::InvalidBytecode)?
                        .clone();
                    self.stack.push(value);
                }
                Op::Store(local) => {
                    let value = self.pop()?;
                    *self
                        .locals
                        .get_mut(local_base + usize::from(local))
                        .ok_or(Trap::InvalidBytecode)? = value;
                }
                Op::LoadState(state) => {
                    let value = context
                        .memory
                        .0
                        .get(usize::from(state))
                        .ok_or(Trap::InvalidBytecode)?
                        .read();
                    self.stack.push(value);
                }
                Op::StoreState(state) => {
                    let value = self.pop()?;
                    context
                        .memory
                        .0
                        .get_mut(usize::from(state))
                        .ok_or(Trap::InvalidBytecode)?
                        .write(value);
                }
                Op::MapGet(state) => {
                    let key = self.pop_text()?;
                    let value = context
                        .memory
                        .0
                        .get(usize::from(state))
                        .ok_or(Trap::InvalidBytecode)?
                        .get(&key);
                    self.stack.push(Value::Number(value));
                }
                Op::MapPut(state) => {
                    let (value, key) = (self.pop_number()?, self.pop_text()?);
                    context
                        .memory
                        .0
                        .get_mut(usize::from(state))
                        .ok_or(Trap::InvalidBytecode)?
                        .put(key, value)?;
                }
                Op::Get(field) => {
                    let is_fleet_field = field.is_fleet_field();
                    let object = if is_fleet_field {
                        None
                    } else {
                        Some(self.pop()?)
                    };
                    self.stack.push(context.field(field, object.as_ref())?);
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
                    let (right, left) = (self.pop_number()?, self.pop_number()?);
                    self.stack.push(arithmetic(op, left, right)?);
                }
                Op::Join => {
                    let (right, left) = (self.pop_text()?, self.pop_text()?);
                    self.stack.push(context.text(format!("{left}{right}"))?);
                }
                Op::Neg => {
                    let number = self.pop_number()?;
                    self.stack.push(Value::Number(-number));
                }
                Op::Not => {
                    let value = self.pop_bool()?;
                    self.stack.push(Value::Bool(!value));
                }
                Op::Eq | Op::Ne => {
                    let (right, left) = (self.pop()?, self.pop()?);
                    context.consume(fuel, comparison_cost(&left))?;
                    self.stack
                        .push(Value::Bool((left == right) == (op == Op::Eq)));
                }
                Op::In => {
                    let (Value::Set(elements), value) = (self.pop()?, self.pop()?) else {
                        return Err(Trap::InvalidBytecode);
                    };
                    context.consume(fuel, elements.len() as u64 / 4)?;
                    self.stack.push(Value::Bool(elements.contains(&value)));
                }
                Op::Jump(target) => next_operation = target.into(),
                Op::JumpIfNot(target) => {
                    if !self.pop_bool()? {
                        next_operation = target.into();
                    }
                }
                Op::Call(function) => {
                    let value = self.run::<TRACED>(
                        program,
                        usize::from(function),
                        context,
                        fuel,
                        position,
                    )?;
                    self.stack.push(value);
                }
                Op::Do(builtin) => {
                    let first_argument = self
                        .stack
                        .len()
                        .checked_sub(builtin.argument_count())
                        .ok_or(Trap::InvalidBytecode)?;
                    let value = context.builtin(
                        builtin,
                        self.stack.get(first_argument..).unwrap_or_default(),
                    )?;
                    self.stack.truncate(first_argument);
                    self.stack.push(value);
                }
                Op::Each(slot) => {
                    let iterable = self.pop()?;
                    *self
                        .loops
                        .get_mut(loop_base + usize::from(slot))
                        .ok_or(Trap::InvalidBytecode)? = (iterable, 0);
                }
                Op::Next(slot, local, end) => {
                    let (iterable, next_index) = self
                        .loops
                        .get_mut(loop_base + usize::from(slot))
                        .ok_or(Trap::InvalidBytecode)?;
                    match context.element(iterable, *next_index)? {
                        Some(value) => {
                            *next_index += 1;
                            *self
                                .locals
                                .get_mut(local_base + usize::from(local))
                                .ok_or(Trap::InvalidBytecode)? = value;
                        }
                        None => next_operation = end.into(),
                    }
                }
                Op::Pop => {
                    self.pop()?;
                }
                Op::Return => {
                    let value = self.pop()?;
                    self.locals.truncate(local_base);
                    self.loops.truncate(loop_base);
                    self.return_line = function.lines.get(next_operation - 1).copied().unwrap_or(0);
                    return Ok(value);
                }
            }
        }
    }
}

/// Returns the additional fuel for a comparison, in proportion to the size of the value.
fn comparison_cost(value: &Value) -> u64 {
    match value {
        Value::Text(text) => text.len() as u64 / 16,
        Value::Set(values) => values.len() as u64,
        _ => 0,
    }
}
