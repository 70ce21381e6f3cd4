//! Bytecode: the operations, values and tables of a compiled plug-in.

use std::sync::Arc;

use crate::ast::{Case, StateKind};

/// Version of the hooks that this host offers. A plug-in declares the lowest version that it requires.
pub const HOST_VERSION: u32 = 1;
/// Maximum number of entries of a map.
pub const MAX_MAP_ENTRIES: usize = 2048;
/// Maximum number of elements of a set.
pub const MAX_SET_ELEMENTS: usize = 2048;
/// Maximum number of constants: operations address them with 16 bits.
pub const MAX_CONSTANTS: usize = u16::MAX as usize;
/// Maximum number of functions and of state variables in a program, and of locals and of loops in a function.
pub const MAX_SLOTS: usize = 64;
/// Maximum number of operations in a function.
pub const MAX_FUNCTION_OPS: usize = 20_000;

/// A value at run time.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// The result of a function without a return type.
    Nothing,
    /// A finite number.
    Number(f64),
    /// True or false.
    Bool(bool),
    /// A string, which the language calls a text.
    Text(Arc<str>),
    /// A server, by its position in the inputs.
    Server(u32),
    /// A class, by its position in the inputs.
    Class(u32),
    /// A set of numbers or texts.
    Set(Arc<[Value]>),
    /// All servers of the inputs.
    Servers,
    /// All classes of the inputs.
    Classes,
    /// All zones of the inputs.
    Zones,
    /// The integers from the first, inclusive, to the second, exclusive.
    Range(i64, i64),
}

/// A type of the hook language. The type of a set includes that of its elements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub enum Type {
    Nothing,
    Number,
    Bool,
    Text,
    Server,
    Class,
    Numbers,
    Texts,
    Servers,
    Classes,
    Zones,
    Range,
    Map,
}

impl Type {
    /// Returns the name of the type in source texts and diagnostics.
    pub fn name(self) -> &'static str {
        match self {
            Type::Nothing => "nothing",
            Type::Number => "number",
            Type::Bool => "bool",
            Type::Text => "text",
            Type::Server => "server",
            Type::Class => "class",
            Type::Numbers => "set of numbers",
            Type::Texts => "set of texts",
            Type::Servers => "servers",
            Type::Classes => "classes",
            Type::Zones => "zones",
            Type::Range => "range",
            Type::Map => "map",
        }
    }

    /// Returns the type that a name denotes in a function's signature; `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        [
            Type::Number,
            Type::Bool,
            Type::Text,
            Type::Server,
            Type::Class,
        ]
        .into_iter()
        .find(|known| known.name() == name)
    }

    /// Returns the type of the loop variable in a loop over it; `None` if it cannot be iterated.
    pub fn element_type(self) -> Option<Type> {
        match self {
            Type::Numbers | Type::Range => Some(Type::Number),
            Type::Texts | Type::Zones => Some(Type::Text),
            Type::Servers => Some(Type::Server),
            Type::Classes => Some(Type::Class),
            _ => None,
        }
    }
}

/// A field that operations can read. Traces print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub enum Field {
    ServerName,
    ServerZone,
    ServerState,
    ServerLife,
    ServerScore,
    ServerErrors,
    ServerLatency,
    ServerWeight,
    ServerWarmth,
    ClassName,
    ClassEffect,
    ClassWorth,
    ClassLevel,
    Strain,
    Refused,
    Waiting,
    Streams,
    Demand,
    Turn,
    Servers,
    Classes,
    Zones,
}

impl Field {
    /// Returns whether it is a field of the fleet rather than of a server or class.
    pub fn is_fleet_field(self) -> bool {
        use Field::*;
        matches!(
            self,
            Strain | Refused | Waiting | Streams | Demand | Turn | Servers | Classes | Zones
        )
    }
}

/// All fields: the type that has the field ([`Type::Nothing`] for `fleet`), its name, the field, and its type.
pub const FIELDS: [(Type, &str, Field, Type); 22] = [
    (Type::Server, "name", Field::ServerName, Type::Text),
    (Type::Server, "zone", Field::ServerZone, Type::Text),
    (Type::Server, "state", Field::ServerState, Type::Text),
    (Type::Server, "life", Field::ServerLife, Type::Text),
    (Type::Server, "score", Field::ServerScore, Type::Number),
    (Type::Server, "errors", Field::ServerErrors, Type::Number),
    (Type::Server, "latency", Field::ServerLatency, Type::Number),
    (Type::Server, "weight", Field::ServerWeight, Type::Number),
    (Type::Server, "warmth", Field::ServerWarmth, Type::Number),
    (Type::Class, "name", Field::ClassName, Type::Text),
    (Type::Class, "effect", Field::ClassEffect, Type::Text),
    (Type::Class, "worth", Field::ClassWorth, Type::Number),
    (Type::Class, "level", Field::ClassLevel, Type::Number),
    (Type::Nothing, "strain", Field::Strain, Type::Number),
    (Type::Nothing, "refused", Field::Refused, Type::Number),
    (Type::Nothing, "waiting", Field::Waiting, Type::Number),
    (Type::Nothing, "streams", Field::Streams, Type::Number),
    (Type::Nothing, "demand", Field::Demand, Type::Number),
    (Type::Nothing, "turn", Field::Turn, Type::Number),
    (Type::Nothing, "servers", Field::Servers, Type::Servers),
    (Type::Nothing, "classes", Field::Classes, Type::Classes),
    (Type::Nothing, "zones", Field::Zones, Type::Zones),
];

/// Built-in functions. Traces print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub enum Builtin {
    Min,
    Max,
    Abs,
    Floor,
    Clamp,
    Range,
    LenSet,
    LenText,
    LenServers,
    LenMap,
    Starts,
    Words,
    Random,
    Note,
    Exclude,
}

impl Builtin {
    /// Returns the number of values that it pops from the stack.
    pub fn argument_count(self) -> usize {
        match self {
            Builtin::Random => 0,
            Builtin::Min | Builtin::Max | Builtin::Range | Builtin::Starts | Builtin::Exclude => 2,
            Builtin::Clamp => 3,
            _ => 1,
        }
    }
}

/// An operation of the stack machine. Traces print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Op {
    Const(u16),
    Load(u8),
    Store(u8),
    LoadState(u8),
    StoreState(u8),
    MapGet(u8),
    MapPut(u8),
    Get(Field),
    Add,
    Sub,
    Mul,
    Div,
    Rem,
    Join,
    Neg,
    Not,
    Eq,
    Ne,
    Lt,
    Le,
    Gt,
    Ge,
    In,
    Jump(u16),
    JumpIfNot(u16),
    Call(u8),
    Do(Builtin),
    /// Starts a loop over the value on top of the stack, in a loop slot.
    Each(u8),
    /// Stores the next element of the loop in a slot into a local, or jumps to the end of the loop: slot, local, target.
    Next(u8, u8, u16),
    Pop,
    Return,
}

/// A compiled function.
#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    /// The name in the source, which faults and traces show.
    pub name: String,
    /// Number of parameters, which are the first locals.
    pub params: u8,
    /// Number of locals, including the parameters.
    pub locals: u8,
    /// Number of loop slots: each loop of the function has its own.
    pub loops: u8,
    /// The operations; jump targets are positions in this list.
    pub code: Vec<Op>,
    /// The source line of each operation.
    pub lines: Vec<u32>,
}

/// The functions that the host calls, by their positions in [`Program::functions`]; `None` for a hook that is not defined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hooks {
    /// `factor(server, class, zone)`: returns the share of its weight that a server keeps; 1 or more has no effect.
    pub factor: Option<u8>,
    /// `cap(class)`: returns the largest share of a class that is admitted; 1 or more has no effect.
    pub cap: Option<u8>,
    /// `retry(class)`: returns whether retries are permitted; true has no effect.
    pub retry: Option<u8>,
    /// `exclude(server)`: may call `exclude(reason, seconds)`.
    pub exclude: Option<u8>,
    /// `turn()`: is called once per evaluation, before the other hooks.
    pub turn: Option<u8>,
}

/// A compiled plug-in.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// The declared name, which is unique among loaded plug-ins.
    pub name: String,
    /// The declared version.
    pub version: u32,
    /// BLAKE3 digest of the source.
    pub digest: [u8; 32],
    /// Values that [`Op::Const`] addresses, each once.
    pub constants: Vec<Value>,
    /// Functions and hooks. A function calls only earlier ones, so that there is no recursion.
    pub functions: Vec<Function>,
    /// Names and declarations of the state variables.
    pub states: Vec<(String, StateKind)>,
    /// The functions that the host calls.
    pub hooks: Hooks,
    /// Names of the classes that have factors of their own.
    pub steered_classes: Vec<String>,
    /// Whether the factor hook reads the zone of the proxies.
    pub uses_zone: bool,
    /// The test cases in the source.
    pub cases: Vec<Case>,
}

#[cfg(test)]
mod tests;
