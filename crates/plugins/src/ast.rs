//! The abstract syntax tree of a plug-in.

use crate::diagnostics::Span;

/// A node of the tree with its position in the source.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned<T> {
    /// An expression, a name, or another part of the tree.
    pub node: T,
    /// The bytes of the source that the node was parsed from.
    pub span: Span,
}

impl<T> Spanned<T> {
    /// Creates a node that was parsed from the bytes of `span`.
    pub fn new(node: T, span: Span) -> Self {
        Spanned { node, span }
    }
}

/// Binary operators.
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

/// Unary operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub enum Unary {
    Neg,
    Not,
}

/// An expression, as parsed: names and types are not checked.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Expr {
    Number(f64),
    Bool(bool),
    Text(String),
    Set(Vec<Spanned<Expr>>),
    Name(String),
    Field(Box<Spanned<Expr>>, Spanned<String>),
    Index(Box<Spanned<Expr>>, Box<Spanned<Expr>>),
    Call(Spanned<String>, Vec<Spanned<Expr>>),
    Unary(Unary, Box<Spanned<Expr>>),
    Binary(Binary, Box<Spanned<Expr>>, Box<Spanned<Expr>>),
}

/// A statement, as parsed: names and types are not checked.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Stmt {
    Let(Spanned<String>, Spanned<Expr>),
    Assign(Spanned<String>, Spanned<Expr>),
    Put(Spanned<String>, Spanned<Expr>, Spanned<Expr>),
    If(Vec<(Spanned<Expr>, Vec<Stmt>)>, Vec<Stmt>),
    For(Spanned<String>, Spanned<Expr>, Vec<Stmt>),
    Return(Span, Option<Spanned<Expr>>),
    Expr(Spanned<Expr>),
}

/// The declaration of a state variable, which keeps its value between calls: its type and initial value.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum StateKind {
    Number(f64),
    Bool(bool),
    Text(String),
    /// A decaying mean, with its half-life in evaluations.
    Mean(f64),
    /// Numbers with text keys.
    Map,
}

/// A function or a hook, as declared.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Function {
    pub name: Spanned<String>,
    /// Names and type names; the parameters of hooks have no type names.
    pub params: Vec<(Spanned<String>, Option<Spanned<String>>)>,
    /// The name of the return type; absent if the function returns no value.
    pub return_type: Option<Spanned<String>>,
    pub body: Vec<Stmt>,
}

/// A test case of a plug-in: inputs, and the expected results of its hooks.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Case {
    pub name: Spanned<String>,
    /// Paths of inputs, such as `server.zone`, and their values.
    pub given: Vec<(Vec<Spanned<String>>, Spanned<Expr>)>,
    /// Names of hooks and the results that they must return.
    pub expected: Vec<(Spanned<String>, Spanned<Expr>)>,
}

/// A top-level declaration of a plug-in.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Item {
    Steers(Vec<Spanned<String>>),
    State(Spanned<String>, Spanned<StateKind>),
    Let(Spanned<String>, Spanned<Expr>),
    Fn(Function),
    Hook(Function),
    Case(Case),
}

/// A plug-in, as parsed.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Plugin {
    pub name: Spanned<String>,
    pub version: Spanned<f64>,
    pub host: Spanned<f64>,
    pub items: Vec<Item>,
}
