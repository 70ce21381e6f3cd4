//! Bytecode: what a compiled plug-in is.

use std::sync::Arc;

use crate::ast::{Case, Shape};

/// Version of the hooks that this host offers; a plug-in names the least that it needs.
pub const HOST_VERSION: u32 = 1;
/// Entries of a map at most.
pub const MAP_MOST: usize = 2048;
/// Elements of a set at most.
pub const SET_MOST: usize = 2048;
/// Constants, functions, states and locals at most: what an operation can name.
pub const CONSTANTS_MOST: usize = u16::MAX as usize;
/// Functions, states, locals and loops of a function at most.
pub const NAMES_MOST: usize = 64;
/// Operations of a function at most.
pub const CODE_MOST: usize = 20_000;

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Nothing.
    Nothing,
    /// A number, never infinite and never none.
    Number(f64),
    /// Yes or no.
    Bool(bool),
    /// A text.
    Text(Arc<str>),
    /// A server of the inputs, by its place.
    Server(u32),
    /// A class of the inputs, by its place.
    Class(u32),
    /// A set of numbers or texts.
    Set(Arc<[Value]>),
    /// All servers.
    Servers,
    /// All classes.
    Classes,
    /// All zones.
    Zones,
    /// Whole numbers from the first, before the second.
    Range(i64, i64),
}

/// A type.
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
    /// The word for it.
    pub fn word(self) -> &'static str {
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

    /// The type that a word names in a function's head.
    pub fn named(word: &str) -> Option<Self> {
        [
            Type::Number,
            Type::Bool,
            Type::Text,
            Type::Server,
            Type::Class,
        ]
        .into_iter()
        .find(|of| of.word() == word)
    }

    /// What a loop over it gives.
    pub fn element(self) -> Option<Type> {
        match self {
            Type::Numbers | Type::Range => Some(Type::Number),
            Type::Texts | Type::Zones => Some(Type::Text),
            Type::Servers => Some(Type::Server),
            Type::Classes => Some(Type::Class),
            _ => None,
        }
    }
}

/// A field of what is seen.
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
    /// Whether the fleet has it, and no server or class.
    pub fn is_of_fleet(self) -> bool {
        use Field::*;
        matches!(
            self,
            Strain | Refused | Waiting | Streams | Demand | Turn | Servers | Classes | Zones
        )
    }
}

/// Fields by the type that has them and their name; `fleet` has type nothing.
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

/// Functions that the language has.
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
    /// How many values it takes.
    pub fn takes(self) -> usize {
        match self {
            Builtin::Random => 0,
            Builtin::Min | Builtin::Max | Builtin::Range | Builtin::Starts | Builtin::Exclude => 2,
            Builtin::Clamp => 3,
            _ => 1,
        }
    }
}

/// An operation on the stack.
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
    /// Begins a loop over the value on top.
    Each(u8),
    /// The loop's next element into a local, or on to where the loop ends.
    Next(u8, u8, u16),
    Pop,
    Return,
}

/// A compiled function.
#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    /// Its name.
    pub name: String,
    /// Values that it takes, which are its first locals.
    pub params: u8,
    /// Locals, the parameters among them.
    pub locals: u8,
    /// Loops that may be open at once or one after the other.
    pub loops: u8,
    /// Its operations.
    pub code: Vec<Op>,
    /// The line of each operation.
    pub lines: Vec<u32>,
}

/// Functions that the host calls, by their places.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hooks {
    /// `factor(server, class, zone)`: the share of its weight that a server keeps.
    pub factor: Option<u8>,
    /// `cap(class)`: the most of a class that is let in.
    pub cap: Option<u8>,
    /// `retry(class)`: whether it may be tried again as ordered.
    pub retry: Option<u8>,
    /// `exclude(server)`: may call `exclude(reason, seconds)`.
    pub exclude: Option<u8>,
    /// `turn()`: once before the others.
    pub turn: Option<u8>,
}

/// A compiled plug-in.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: u32,
    /// Digest of its text.
    pub digest: [u8; 32],
    /// Constants.
    pub constants: Vec<Value>,
    /// Functions; one calls only those before it.
    pub functions: Vec<Function>,
    /// What lives between calls.
    pub states: Vec<(String, Shape)>,
    /// What the host calls.
    pub hooks: Hooks,
    /// Classes that its factors steer apart from the others.
    pub steers: Vec<String>,
    /// Whether its factors look at the zone of the front ends.
    pub by_zone: bool,
    /// Its own cases.
    pub cases: Vec<Case>,
}

#[cfg(test)]
mod tests;
