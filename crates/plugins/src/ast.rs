//! What a text says, as a tree.

use crate::diagnostics::Span;

/// Something with its place.
#[derive(Clone, Debug, PartialEq)]
pub struct At<T> {
    /// What.
    pub of: T,
    /// Where.
    pub span: Span,
}

impl<T> At<T> {
    /// Something at a place.
    pub fn new(of: T, span: Span) -> Self {
        At { of, span }
    }
}

/// Operators with two sides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub enum Binary {
    Add,
    Sub,
    Mul,
    Div,
    Rem,
    Eq,
    Ne,
    Lt,
    Le,
    Gt,
    Ge,
    In,
    And,
    Or,
}

/// Operators with one side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub enum Unary {
    Neg,
    Not,
}

/// An expression.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Expr {
    Number(f64),
    Bool(bool),
    Text(String),
    Set(Vec<At<Expr>>),
    Name(String),
    Field(Box<At<Expr>>, At<String>),
    Index(Box<At<Expr>>, Box<At<Expr>>),
    Call(At<String>, Vec<At<Expr>>),
    Unary(Unary, Box<At<Expr>>),
    Binary(Binary, Box<At<Expr>>, Box<At<Expr>>),
}

/// A statement.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Stmt {
    Let(At<String>, At<Expr>),
    Assign(At<String>, At<Expr>),
    Put(At<String>, At<Expr>, At<Expr>),
    If(Vec<(At<Expr>, Vec<Stmt>)>, Vec<Stmt>),
    For(At<String>, At<Expr>, Vec<Stmt>),
    Return(Span, Option<At<Expr>>),
    Do(At<Expr>),
}

/// What lives between calls.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Shape {
    Number(f64),
    Bool(bool),
    Text(String),
    /// A mean that fades by half in so many turns.
    Mean(f64),
    /// Numbers by text.
    Map,
}

/// A function or a hook.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Function {
    pub name: At<String>,
    /// Names with the words for their types; hooks have none.
    pub params: Vec<(At<String>, Option<At<String>>)>,
    /// The word for its type; none for nothing.
    pub gives: Option<At<String>>,
    pub body: Vec<Stmt>,
}

/// A small case that a plug-in carries: what is given, and what is expected of its hooks.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Case {
    pub name: At<String>,
    pub given: Vec<(Vec<At<String>>, At<Expr>)>,
    pub expected: Vec<(At<String>, At<Expr>)>,
}

/// One part of a plug-in.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Item {
    Steers(Vec<At<String>>),
    State(At<String>, At<Shape>),
    Let(At<String>, At<Expr>),
    Fn(Function),
    Hook(Function),
    Case(Case),
}

/// A plug-in.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Plugin {
    pub name: At<String>,
    pub version: At<f64>,
    pub host: At<f64>,
    pub items: Vec<Item>,
}
