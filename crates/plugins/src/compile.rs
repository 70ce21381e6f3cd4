//! The compiler: checks all names and types of a tree and emits bytecode. It reports all errors of a source at once.

use std::collections::HashMap;
use std::sync::Arc;

use crate::ast::{
    Binary, Case, Expr, Function as FunctionNode, Item, Plugin, Spanned, StateKind, Stmt, Unary,
};
use crate::code::*;
use crate::diagnostics::{Diagnostic, Span};
use crate::parse::parse;
use crate::verify::verify;

/// Minimum half-life of a mean, in evaluations.
const MIN_HALF_LIFE: f64 = 1.0;
/// Maximum half-life of a mean, in evaluations.
const MAX_HALF_LIFE: f64 = 3600.0;

/// The meaning of a name in the current scope.
#[derive(Clone, Debug)]
enum Binding {
    Local(u8, Type),
    State(u8, StateKind),
    Constant(u16, Type),
    Function(u8, Vec<Type>, Type),
}

struct Compiler<'a> {
    source: &'a str,
    diagnostics: Vec<Diagnostic>,
    names: HashMap<String, Binding>,
    constants: Vec<Value>,
    functions: Vec<Function>,
    states: Vec<(String, StateKind)>,
    hooks: Hooks,
    steered_classes: Vec<String>,
    uses_zone: bool,
    /// Where the factor hook first reads the class, if it does.
    class_read_at: Option<Span>,
    /// The operations of the current function.
    code: Vec<Op>,
    lines: Vec<u32>,
    locals: usize,
    loops: usize,
    return_type: Type,
    /// The hook that is being compiled; `None` in a function.
    hook: Option<String>,
}

/// Compiles a source. The program has passed the verifier.
///
/// # Errors
///
/// All errors of the source that were found; names and types are checked only if it can be parsed.
pub fn compile(source: &str) -> Result<Program, Vec<Diagnostic>> {
    let plugin = parse(source)?;
    let mut compiler = Compiler {
        source,
        diagnostics: Vec::new(),
        names: HashMap::new(),
        constants: Vec::new(),
        functions: Vec::new(),
        states: Vec::new(),
        hooks: Hooks::default(),
        steered_classes: Vec::new(),
        uses_zone: false,
        class_read_at: None,
        code: Vec::new(),
        lines: Vec::new(),
        locals: 0,
        loops: 0,
        return_type: Type::Nothing,
        hook: None,
    };
    compiler.plugin(&plugin);
    let Compiler {
        diagnostics,
        constants,
        functions,
        states,
        hooks,
        steered_classes,
        uses_zone,
        ..
    } = compiler;
    if !diagnostics.is_empty() {
        return Err(diagnostics);
    }
    let cases = plugin.items.into_iter().filter_map(|item| match item {
        Item::Case(case) => Some(case),
        _ => None,
    });
    let program = Program {
        name: plugin.name.node,
        version: plugin.version.node as u32,
        digest: *blake3::hash(source.as_bytes()).as_bytes(),
        constants,
        functions,
        states,
        hooks,
        steered_classes,
        uses_zone,
        cases: cases.collect(),
    };
    verify(&program).map_err(|error| vec![Diagnostic::new(source, 0..0, error.to_string())])?;
    Ok(program)
}

impl Compiler<'_> {
    fn error(&mut self, span: &Span, message: impl Into<String>) {
        self.diagnostics
            .push(Diagnostic::new(self.source, span.clone(), message));
    }

    fn line(&self, span: &Span) -> u32 {
        let before = self.source.get(..span.start).unwrap_or_default();
        u32::try_from(before.matches('\n').count() + 1).unwrap_or(u32::MAX)
    }

    fn emit(&mut self, op: Op, span: &Span) -> usize {
        self.code.push(op);
        self.lines.push(self.line(span));
        self.code.len() - 1
    }

    fn next_operation(&self) -> u16 {
        u16::try_from(self.code.len()).unwrap_or(u16::MAX)
    }

    /// Sets the target of an earlier jump to the next operation.
    fn patch_jump(&mut self, jump: usize) {
        let target = self.next_operation();
        if let Some(Op::Jump(to) | Op::JumpIfNot(to) | Op::Next(_, _, to)) = self.code.get_mut(jump)
        {
            *to = target;
        }
    }

    /// Returns the position of a constant, which is added if it is new. Reports an error and returns 0 if there are too
    /// many.
    fn constant(&mut self, value: Value, span: &Span) -> u16 {
        if let Some(known) = self.constants.iter().position(|known| *known == value) {
            return known as u16;
        }
        if self.constants.len() >= MAX_CONSTANTS {
            self.error(span, "too many constants");
            return 0;
        }
        self.constants.push(value);
        (self.constants.len() - 1) as u16
    }

    fn plugin(&mut self, plugin: &Plugin) {
        if plugin.version.node.fract() != 0.0 || plugin.version.node > f64::from(u32::MAX) {
            self.error(&plugin.version.span, "the version must be a whole number");
        }
        if plugin.host.node > f64::from(HOST_VERSION) {
            let message = format!(
                "the plug-in requires host version {}, this host has version {HOST_VERSION}",
                plugin.host.node
            );
            self.error(&plugin.host.span, message);
        }
        for item in &plugin.items {
            match item {
                Item::Steers(classes) => self
                    .steered_classes
                    .extend(classes.iter().map(|class| class.node.clone())),
                Item::State(name, kind) => self.state(name, kind),
                Item::Let(name, value) => self.top_level_let(name, value),
                Item::Fn(function) => self.function(function),
                Item::Hook(hook) => self.hook(hook),
                Item::Case(case) => self.case(case),
            }
        }
        if let Some(span) = self
            .class_read_at
            .clone()
            .filter(|_| self.steered_classes.is_empty())
        {
            self.error(
                &span,
                "the factor hook reads the class: declare the classes that it steers, as in: steers \"refund-order\"",
            );
        }
    }

    fn declare(&mut self, name: &Spanned<String>, binding: Binding) {
        if name.node == "fleet" || self.names.insert(name.node.clone(), binding).is_some() {
            self.error(
                &name.span,
                format!("the name {:?} is already in use", name.node),
            );
        }
    }

    fn state(&mut self, name: &Spanned<String>, kind: &Spanned<StateKind>) {
        if let StateKind::Mean(half_life) = kind.node {
            if !(MIN_HALF_LIFE..=MAX_HALF_LIFE).contains(&half_life) {
                let message = format!(
                    "the half-life of a mean must be {MIN_HALF_LIFE} to {MAX_HALF_LIFE} turns, found {half_life}"
                );
                self.error(&kind.span, message);
            }
        }
        if self.states.len() >= MAX_SLOTS {
            self.error(&name.span, format!("at most {MAX_SLOTS} states"));
            return;
        }
        let index = self.states.len() as u8;
        self.states.push((name.node.clone(), kind.node.clone()));
        self.declare(name, Binding::State(index, kind.node.clone()));
    }

    /// Returns the value and type of a literal or a set of literals; `None` for an expression that has to be evaluated.
    fn literal(&mut self, value: &Spanned<Expr>) -> Option<(Value, Type)> {
        Some(match &value.node {
            Expr::Number(number) => (Value::Number(*number), Type::Number),
            Expr::Bool(value) => (Value::Bool(*value), Type::Bool),
            Expr::Text(text) => (Value::Text(Arc::from(text.as_str())), Type::Text),
            Expr::Unary(Unary::Neg, operand) => match operand.node {
                Expr::Number(number) => (Value::Number(-number), Type::Number),
                _ => return None,
            },
            Expr::Set(elements) => {
                if elements.len() > MAX_SET_ELEMENTS {
                    self.error(&value.span, format!("at most {MAX_SET_ELEMENTS} elements"));
                }
                let mut values = Vec::new();
                let mut element_type = Type::Text;
                for element in elements {
                    let (value, value_type) = self.literal(element)?;
                    element_type = if values.is_empty() {
                        value_type
                    } else {
                        element_type
                    };
                    if value_type != element_type
                        || !matches!(value_type, Type::Number | Type::Text)
                    {
                        self.error(
                            &element.span,
                            "a set must hold numbers or texts, all of one type",
                        );
                    }
                    values.push(value);
                }
                let set_type = if element_type == Type::Number {
                    Type::Numbers
                } else {
                    Type::Texts
                };
                (Value::Set(values.into()), set_type)
            }
            _ => return None,
        })
    }

    fn top_level_let(&mut self, name: &Spanned<String>, value: &Spanned<Expr>) {
        let Some((literal, value_type)) = self.literal(value) else {
            self.error(
                &value.span,
                "a constant must be a number, a text, true, false, or a set of numbers or texts",
            );
            return;
        };
        let index = self.constant(literal, &value.span);
        self.declare(name, Binding::Constant(index, value_type));
    }

    fn function(&mut self, function: &FunctionNode) {
        let mut types = Vec::new();
        for (name, type_name) in &function.params {
            let param_type = type_name
                .as_ref()
                .and_then(|type_name| Type::from_name(&type_name.node));
            if param_type.is_none() {
                let message = "a parameter needs a type: number, bool, text, server or class, as in x: number";
                self.error(&name.span, message);
            }
            types.push(param_type.unwrap_or(Type::Number));
        }
        let return_type = match &function.return_type {
            None => Type::Nothing,
            Some(name) => Type::from_name(&name.node).unwrap_or_else(|| {
                self.error(
                    &name.span,
                    format!(
                        "unknown type {:?}, expected number, bool, text, server or class",
                        name.node
                    ),
                );
                Type::Number
            }),
        };
        // Declared after its body is compiled: a function can call only earlier ones, so there is no recursion.
        let index = self.body(function, &types, return_type);
        self.declare(&function.name, Binding::Function(index, types, return_type));
    }

    fn hook(&mut self, hook: &FunctionNode) {
        let known: [(&str, &[Type], Type); 5] = [
            (
                "factor",
                &[Type::Server, Type::Class, Type::Text],
                Type::Number,
            ),
            ("cap", &[Type::Class], Type::Number),
            ("retry", &[Type::Class], Type::Bool),
            ("exclude", &[Type::Server], Type::Nothing),
            ("turn", &[], Type::Nothing),
        ];
        let Some((_, types, return_type)) = known
            .into_iter()
            .find(|(name, _, _)| *name == hook.name.node)
        else {
            let message = format!(
                "unknown hook {:?}, expected factor, cap, retry, exclude or turn",
                hook.name.node
            );
            return self.error(&hook.name.span, message);
        };
        if hook.params.len() != types.len()
            || hook.params.iter().any(|(_, type_name)| type_name.is_some())
            || hook.return_type.is_some()
        {
            let message = match hook.name.node.as_str() {
                "factor" => "the signature of this hook is factor(server, class, zone)",
                "turn" => "the signature of this hook is turn()",
                "exclude" => "the signature of this hook is exclude(server)",
                _ => "this hook has the parameter list (class)",
            };
            return self.error(&hook.name.span, message);
        }
        self.hook = Some(hook.name.node.clone());
        let index = self.body(hook, types, return_type);
        self.hook = None;
        let slot = match hook.name.node.as_str() {
            "factor" => &mut self.hooks.factor,
            "cap" => &mut self.hooks.cap,
            "retry" => &mut self.hooks.retry,
            "exclude" => &mut self.hooks.exclude,
            _ => &mut self.hooks.turn,
        };
        if slot.replace(index).is_some() {
            self.error(
                &hook.name.span,
                format!("the hook {} is defined twice", hook.name.node),
            );
        }
    }

    fn case(&mut self, case: &Case) {
        for (path, value) in &case.given {
            if self.literal(value).is_none() {
                self.error(
                    &value.span,
                    "an input of a case must be a number, a text, true or false",
                );
            }
            let names: Vec<&str> = path.iter().map(|name| name.node.as_str()).collect();
            if !crate::cases::is_input(&names) {
                let span = path.first().map_or(0..0, |name| name.span.clone());
                self.error(
                    &span,
                    format!(
                        "unknown input {}, expected for example server.name, class.name, zone, fleet.strain or turns",
                        names.join(".")
                    ),
                );
            }
        }
        for (hook, value) in &case.expected {
            if !["factor", "cap", "retry", "exclude"].contains(&hook.node.as_str()) {
                self.error(
                    &hook.span,
                    "a case can expect factor, cap, retry or exclude",
                );
            }
            if self.literal(value).is_none() {
                self.error(
                    &value.span,
                    "the expected result must be a number, true or false",
                );
            }
        }
    }

    fn body(&mut self, function: &FunctionNode, types: &[Type], return_type: Type) -> u8 {
        let outer = self.names.clone();
        (self.locals, self.loops, self.return_type) = (0, 0, return_type);
        (self.code, self.lines) = (Vec::new(), Vec::new());
        for ((name, _), param_type) in function.params.iter().zip(types) {
            let local = self.local(&name.span);
            // A parameter may shadow a name of the program.
            self.names
                .insert(name.node.clone(), Binding::Local(local, *param_type));
        }
        self.block(&function.body);
        let span = function.name.span.clone();
        if return_type != Type::Nothing && !returns(&function.body) {
            let message = format!(
                "{} may end without a value: every path must return a {}",
                function.name.node,
                return_type.name()
            );
            self.error(&span, message);
        }
        let nothing = self.constant(Value::Nothing, &span);
        self.emit(Op::Const(nothing), &span);
        self.emit(Op::Return, &span);
        self.names = outer;
        if self.code.len() > MAX_FUNCTION_OPS {
            self.error(
                &span,
                format!("{} has too many operations", function.name.node),
            );
        }
        if self.functions.len() >= MAX_SLOTS {
            self.error(&span, format!("at most {MAX_SLOTS} functions and hooks"));
        }
        self.functions.push(Function {
            name: function.name.node.clone(),
            params: types.len() as u8,
            locals: self.locals as u8,
            loops: self.loops as u8,
            code: std::mem::take(&mut self.code),
            lines: std::mem::take(&mut self.lines),
        });
        (self.functions.len() - 1) as u8
    }

    /// Allocates a local.
    fn local(&mut self, span: &Span) -> u8 {
        if self.locals >= MAX_SLOTS {
            self.error(span, format!("at most {MAX_SLOTS} names in a function"));
            return 0;
        }
        self.locals += 1;
        (self.locals - 1) as u8
    }

    fn block(&mut self, block: &[Stmt]) {
        let outer = self.names.clone();
        block.iter().for_each(|statement| self.statement(statement));
        self.names = outer;
    }

    fn statement(&mut self, statement: &Stmt) {
        match statement {
            Stmt::Let(name, value) => {
                let value_type = self.expression(value);
                if value_type == Some(Type::Nothing) {
                    self.error(&value.span, "this expression has no value");
                }
                let local = self.local(&name.span);
                self.emit(Op::Store(local), &name.span);
                if name.node == "fleet"
                    || matches!(
                        self.names.get(&name.node),
                        Some(Binding::Function(..) | Binding::State(..))
                    )
                {
                    self.error(
                        &name.span,
                        format!("the name {:?} is already in use", name.node),
                    );
                }
                self.names.insert(
                    name.node.clone(),
                    Binding::Local(local, value_type.unwrap_or(Type::Number)),
                );
            }
            Stmt::Assign(name, value) => self.assign(name, value),
            Stmt::Put(name, key, value) => self.put(name, key, value),
            Stmt::If(arms, else_block) => {
                let mut ends = Vec::new();
                for (condition, block) in arms {
                    self.check_expression(condition, Type::Bool);
                    let skip = self.emit(Op::JumpIfNot(0), &condition.span);
                    self.block(block);
                    ends.push(self.emit(Op::Jump(0), &condition.span));
                    self.patch_jump(skip);
                }
                self.block(else_block);
                ends.into_iter().for_each(|end| self.patch_jump(end));
            }
            Stmt::For(name, iterable, block) => {
                let iterable_type = self.expression(iterable);
                let element_type = iterable_type.and_then(Type::element_type);
                if let Some(found) = iterable_type.filter(|_| element_type.is_none()) {
                    self.error(
                        &iterable.span,
                        format!(
                            "found a {}, expected a set, a range, servers, classes or zones",
                            found.name()
                        ),
                    );
                }
                if self.loops >= MAX_SLOTS {
                    return self.error(
                        &iterable.span,
                        format!("at most {MAX_SLOTS} loops in a function"),
                    );
                }
                let slot = self.loops as u8;
                self.loops += 1;
                self.emit(Op::Each(slot), &iterable.span);
                let local = self.local(&name.span);
                let loop_start = self.next_operation();
                let next = self.emit(Op::Next(slot, local, 0), &iterable.span);
                let outer = self.names.insert(
                    name.node.clone(),
                    Binding::Local(local, element_type.unwrap_or(Type::Number)),
                );
                self.block(block);
                self.emit(Op::Jump(loop_start), &iterable.span);
                self.patch_jump(next);
                match outer {
                    Some(outer) => self.names.insert(name.node.clone(), outer),
                    None => self.names.remove(&name.node),
                };
            }
            Stmt::Return(span, value) => {
                let return_type = self.return_type;
                match value {
                    Some(value) => self.check_expression(value, return_type),
                    None if return_type != Type::Nothing => {
                        self.error(
                            span,
                            format!(
                                "found a return without a value, expected a {}",
                                return_type.name()
                            ),
                        );
                    }
                    None => {
                        let nothing = self.constant(Value::Nothing, span);
                        self.emit(Op::Const(nothing), span);
                    }
                }
                self.emit(Op::Return, span);
            }
            Stmt::Expr(value) => {
                if !matches!(value.node, Expr::Call(..)) {
                    self.error(
                        &value.span,
                        "found an expression, expected a statement: only a call can stand alone",
                    );
                }
                self.expression(value);
                self.emit(Op::Pop, &value.span);
            }
        }
    }

    fn assign(&mut self, name: &Spanned<String>, value: &Spanned<Expr>) {
        match self.names.get(&name.node).cloned() {
            Some(Binding::Local(local, expected)) => {
                self.check_expression(value, expected);
                self.emit(Op::Store(local), &name.span);
            }
            Some(Binding::State(_, StateKind::Map)) => {
                self.error(
                    &name.span,
                    format!(
                        "{} is a map: assign to an entry, as in {}[\"key\"] = 1",
                        name.node, name.node
                    ),
                );
            }
            Some(Binding::State(state, kind)) => {
                self.check_expression(value, state_type(&kind));
                self.emit(Op::StoreState(state), &name.span);
            }
            Some(_) => self.error(&name.span, format!("{} cannot be assigned to", name.node)),
            None => self.error(
                &name.span,
                format!("no name {:?}: declare it with let", name.node),
            ),
        }
    }

    fn put(&mut self, name: &Spanned<String>, key: &Spanned<Expr>, value: &Spanned<Expr>) {
        let Some(Binding::State(map, StateKind::Map)) = self.names.get(&name.node).cloned() else {
            return self.error(&name.span, format!("{} is not a map", name.node));
        };
        self.check_expression(key, Type::Text);
        self.check_expression(value, Type::Number);
        self.emit(Op::MapPut(map), &name.span);
    }

    /// Compiles an expression that must have the expected type.
    fn check_expression(&mut self, value: &Spanned<Expr>, expected: Type) {
        if let Some(found) = self.expression(value).filter(|found| *found != expected) {
            self.error(
                &value.span,
                format!("found a {}, expected a {}", found.name(), expected.name()),
            );
        }
    }

    /// Compiles an expression and returns its type; `None` if it is unknown because of an error, which is reported.
    fn expression(&mut self, value: &Spanned<Expr>) -> Option<Type> {
        let span = &value.span;
        match &value.node {
            Expr::Number(_) | Expr::Bool(_) | Expr::Text(_) | Expr::Set(_) => {
                let Some((literal, value_type)) = self.literal(value) else {
                    self.error(span, "a set must hold literal numbers or texts");
                    return None;
                };
                let index = self.constant(literal, span);
                self.emit(Op::Const(index), span);
                Some(value_type)
            }
            Expr::Name(name) => self.name(name, span),
            Expr::Field(object, field) => self.field(object, field, span),
            Expr::Index(object, key) => {
                let Expr::Name(name) = &object.node else {
                    self.error(&object.span, "only a map can be indexed");
                    return None;
                };
                let Some(Binding::State(map, StateKind::Map)) = self.names.get(name).cloned()
                else {
                    self.error(&object.span, format!("{name} is not a map"));
                    return None;
                };
                self.check_expression(key, Type::Text);
                self.emit(Op::MapGet(map), span);
                Some(Type::Number)
            }
            Expr::Call(name, arguments) => self.call(name, arguments, span),
            Expr::Unary(Unary::Neg, operand) => {
                self.check_expression(operand, Type::Number);
                self.emit(Op::Neg, span);
                Some(Type::Number)
            }
            Expr::Unary(Unary::Not, operand) => {
                self.check_expression(operand, Type::Bool);
                self.emit(Op::Not, span);
                Some(Type::Bool)
            }
            Expr::Binary(op, left, right) => self.binary(*op, left, right, span),
        }
    }

    fn name(&mut self, name: &str, span: &Span) -> Option<Type> {
        match self.names.get(name).cloned() {
            Some(Binding::Local(local, local_type)) => {
                self.note_parameter_use(local, span);
                self.emit(Op::Load(local), span);
                Some(local_type)
            }
            Some(Binding::Constant(index, constant_type)) => {
                self.emit(Op::Const(index), span);
                Some(constant_type)
            }
            Some(Binding::State(_, StateKind::Map)) => {
                self.error(
                    span,
                    format!(
                        "{name} is a map: read an entry, as in {name}[\"key\"], or use len({name})"
                    ),
                );
                None
            }
            Some(Binding::State(state, kind)) => {
                self.emit(Op::LoadState(state), span);
                Some(state_type(&kind))
            }
            Some(Binding::Function(..)) => {
                self.error(
                    span,
                    format!("{name} is a function: call it, as in {name}()"),
                );
                None
            }
            None if name == "fleet" => {
                self.error(
                    span,
                    "fleet can be used only through its fields, as in fleet.strain",
                );
                None
            }
            None => {
                self.error(span, format!("no name {name:?}"));
                None
            }
        }
    }

    /// Notes whether the factor hook reads its class, which requires `steers`, or its zone, which requires a call for each
    /// zone.
    fn note_parameter_use(&mut self, local: u8, span: &Span) {
        if self.hook.as_deref() == Some("factor") {
            match local {
                1 => self.class_read_at = self.class_read_at.take().or_else(|| Some(span.clone())),
                2 => self.uses_zone = true,
                _ => {}
            }
        }
    }

    fn field(
        &mut self,
        object: &Spanned<Expr>,
        field: &Spanned<String>,
        span: &Span,
    ) -> Option<Type> {
        let is_fleet = matches!(&object.node, Expr::Name(name) if name == "fleet");
        let owner_type = if is_fleet {
            Type::Nothing
        } else {
            self.expression(object)?
        };
        let known = FIELDS
            .iter()
            .find(|(owner, name, _, _)| *owner == owner_type && *name == field.node);
        let Some((_, _, get, field_type)) = known else {
            let names: Vec<&str> = FIELDS
                .iter()
                .filter(|(owner, ..)| *owner == owner_type)
                .map(|(_, name, ..)| *name)
                .collect();
            let owner = if is_fleet { "fleet" } else { owner_type.name() };
            let message = if names.is_empty() {
                format!("a {owner} has no fields")
            } else {
                format!(
                    "{owner} has no field {:?}, expected {}",
                    field.node,
                    names.join(", ")
                )
            };
            self.error(&field.span, message);
            return None;
        };
        self.emit(Op::Get(*get), span);
        Some(*field_type)
    }

    fn call(
        &mut self,
        name: &Spanned<String>,
        arguments: &[Spanned<Expr>],
        span: &Span,
    ) -> Option<Type> {
        if let Some(Binding::Function(function, types, return_type)) =
            self.names.get(&name.node).cloned()
        {
            self.arguments(name, arguments, &types);
            self.emit(Op::Call(function), span);
            return Some(return_type);
        }
        use Type::{Bool, Nothing, Number, Text};
        let (builtin, types, return_type): (Builtin, &[Type], Type) = match name.node.as_str() {
            "min" => (Builtin::Min, &[Number, Number], Number),
            "max" => (Builtin::Max, &[Number, Number], Number),
            "abs" => (Builtin::Abs, &[Number], Number),
            "floor" => (Builtin::Floor, &[Number], Number),
            "clamp" => (Builtin::Clamp, &[Number, Number, Number], Number),
            "range" => (Builtin::Range, &[Number, Number], Type::Range),
            "starts" => (Builtin::Starts, &[Text, Text], Bool),
            "text" => (Builtin::Words, &[Number], Text),
            "random" => (Builtin::Random, &[], Number),
            "note" => (Builtin::Note, &[Text], Nothing),
            "exclude" if self.hook.as_deref() == Some("exclude") => {
                (Builtin::Exclude, &[Text, Number], Nothing)
            }
            "exclude" => {
                self.error(
                    &name.span,
                    "exclude can be called only in the hook exclude(server)",
                );
                return None;
            }
            "len" => return self.length(name, arguments, span),
            _ => {
                let message = format!(
                    "no function {:?}: define it with fn before it is called",
                    name.node
                );
                self.error(&name.span, message);
                return None;
            }
        };
        self.arguments(name, arguments, types);
        self.emit(Op::Do(builtin), span);
        Some(return_type)
    }

    fn length(
        &mut self,
        name: &Spanned<String>,
        arguments: &[Spanned<Expr>],
        span: &Span,
    ) -> Option<Type> {
        let [argument] = arguments else {
            self.error(&name.span, "len takes 1 argument");
            return None;
        };
        if let Expr::Name(map) = &argument.node {
            if let Some(Binding::State(state, StateKind::Map)) = self.names.get(map).cloned() {
                let index = self.constant(Value::Number(f64::from(state)), span);
                self.emit(Op::Const(index), span);
                self.emit(Op::Do(Builtin::LenMap), span);
                return Some(Type::Number);
            }
        }
        let builtin = match self.expression(argument)? {
            Type::Text => Builtin::LenText,
            Type::Numbers | Type::Texts => Builtin::LenSet,
            Type::Servers | Type::Classes | Type::Zones => Builtin::LenServers,
            other => {
                self.error(&argument.span, format!("a {} has no length", other.name()));
                return None;
            }
        };
        self.emit(Op::Do(builtin), span);
        Some(Type::Number)
    }

    fn arguments(&mut self, name: &Spanned<String>, arguments: &[Spanned<Expr>], types: &[Type]) {
        if arguments.len() != types.len() {
            let message = format!(
                "{} takes {} arguments, found {}",
                name.node,
                types.len(),
                arguments.len()
            );
            self.error(&name.span, message);
        }
        for (argument, expected) in arguments.iter().zip(types) {
            self.check_expression(argument, *expected);
        }
    }

    fn binary(
        &mut self,
        op: Binary,
        left: &Spanned<Expr>,
        right: &Spanned<Expr>,
        span: &Span,
    ) -> Option<Type> {
        use Binary as B;
        match op {
            B::And | B::Or => {
                self.check_expression(left, Type::Bool);
                if op == B::Or {
                    self.emit(Op::Not, span);
                }
                let skip = self.emit(Op::JumpIfNot(0), span);
                self.check_expression(right, Type::Bool);
                let end = self.emit(Op::Jump(0), span);
                self.patch_jump(skip);
                let short_circuit = self.constant(Value::Bool(op == B::Or), span);
                self.emit(Op::Const(short_circuit), span);
                self.patch_jump(end);
                Some(Type::Bool)
            }
            B::Add => {
                let operand_type = self.expression(left)?;
                if !matches!(operand_type, Type::Number | Type::Text) {
                    self.error(
                        &left.span,
                        format!(
                            "found a {}, expected a number or a text",
                            operand_type.name()
                        ),
                    );
                    return None;
                }
                self.check_expression(right, operand_type);
                self.emit(
                    if operand_type == Type::Text {
                        Op::Join
                    } else {
                        Op::Add
                    },
                    span,
                );
                Some(operand_type)
            }
            B::Sub | B::Mul | B::Div | B::Rem | B::Lt | B::Le | B::Gt | B::Ge => {
                self.check_expression(left, Type::Number);
                self.check_expression(right, Type::Number);
                let (op, result_type) = match op {
                    B::Sub => (Op::Sub, Type::Number),
                    B::Mul => (Op::Mul, Type::Number),
                    B::Div => (Op::Div, Type::Number),
                    B::Rem => (Op::Rem, Type::Number),
                    B::Lt => (Op::Lt, Type::Bool),
                    B::Le => (Op::Le, Type::Bool),
                    B::Gt => (Op::Gt, Type::Bool),
                    _ => (Op::Ge, Type::Bool),
                };
                self.emit(op, span);
                Some(result_type)
            }
            B::Eq | B::Ne => {
                let operand_type = self.expression(left)?;
                self.check_expression(right, operand_type);
                self.emit(if op == B::Eq { Op::Eq } else { Op::Ne }, span);
                Some(Type::Bool)
            }
            B::In => {
                let element_type = self.expression(left)?;
                let set_type = self.expression(right)?;
                if !matches!(set_type, Type::Numbers | Type::Texts)
                    || set_type.element_type() != Some(element_type)
                {
                    self.error(
                        &right.span,
                        format!(
                            "found a {}, expected a set of {}s",
                            set_type.name(),
                            element_type.name()
                        ),
                    );
                }
                self.emit(Op::In, span);
                Some(Type::Bool)
            }
        }
    }
}

fn state_type(kind: &StateKind) -> Type {
    match kind {
        StateKind::Number(_) | StateKind::Mean(_) => Type::Number,
        StateKind::Bool(_) => Type::Bool,
        StateKind::Text(_) => Type::Text,
        StateKind::Map => Type::Map,
    }
}

/// Returns whether every path through a block returns.
fn returns(block: &[Stmt]) -> bool {
    block.iter().any(|statement| match statement {
        Stmt::Return(..) => true,
        Stmt::If(arms, else_block) => {
            returns(else_block) && arms.iter().all(|(_, block)| returns(block))
        }
        _ => false,
    })
}
