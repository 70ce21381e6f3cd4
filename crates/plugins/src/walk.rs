//! A tree-walking interpreter: simple, slow and independent of the compiler and the virtual machine, which tests and benches
//! compare with it. Supervisors do not use it.

use std::collections::HashMap;
use std::sync::Arc;

use crate::ast::*;
use crate::code::Type;
use crate::code::{Builtin, Op, Value, FIELDS};
use crate::machine::{arithmetic, finite, Context, Trap};

/// Maximum number of statements, expressions and loop iterations of one call.
const MAX_STEPS: u64 = 1_000_000;

/// How execution continues after a statement.
enum Flow {
    Continue,
    Return(Value),
}

/// Interprets calls of one plug-in.
pub struct Walker<'a> {
    plugin: &'a Plugin,
    steps_left: u64,
}

type Scope = HashMap<String, Value>;

impl<'a> Walker<'a> {
    /// Creates an interpreter of a tree that compiles without errors.
    pub fn new(plugin: &'a Plugin) -> Self {
        Walker {
            plugin,
            steps_left: MAX_STEPS,
        }
    }

    fn find_function(&self, name: &str, is_hook: bool) -> Option<&'a Function> {
        self.plugin.items.iter().find_map(|item| match item {
            Item::Fn(function) if !is_hook && function.name.node == name => Some(function),
            Item::Hook(function) if is_hook && function.name.node == name => Some(function),
            _ => None,
        })
    }

    fn state_index(&self, name: &str) -> Option<usize> {
        let states = self.plugin.items.iter().filter_map(|item| match item {
            Item::State(name, _) => Some(name.node.as_str()),
            _ => None,
        });
        states.into_iter().position(|known| known == name)
    }

    /// Calls a hook by its name.
    pub fn call_hook(
        &mut self,
        name: &str,
        arguments: &[Value],
        context: &mut Context,
    ) -> Result<Value, Trap> {
        self.steps_left = MAX_STEPS;
        context.text_bytes = 0;
        let function = self
            .find_function(name, true)
            .ok_or(Trap::InvalidBytecode)?;
        self.function(function, arguments, context)
    }

    fn function(
        &mut self,
        function: &'a Function,
        arguments: &[Value],
        context: &mut Context,
    ) -> Result<Value, Trap> {
        let names = function.params.iter().map(|(name, _)| name.node.clone());
        let mut scope: Scope = names.zip(arguments.iter().cloned()).collect();
        match self.block(&function.body, &mut scope, context)? {
            Flow::Return(value) => Ok(value),
            Flow::Continue => Ok(Value::Nothing),
        }
    }

    /// Runs a block in a new scope: its variables end with it, and changes to outer variables remain.
    fn block(
        &mut self,
        block: &'a [Stmt],
        outer: &mut Scope,
        context: &mut Context,
    ) -> Result<Flow, Trap> {
        let mut scope = outer.clone();
        let mut declared: Vec<&str> = Vec::new();
        for statement in block {
            if let Stmt::Let(name, _) = statement {
                declared.push(&name.node);
            }
            let flow = self.statement(statement, &mut scope, context)?;
            for (name, value) in outer
                .iter_mut()
                .filter(|(name, _)| !declared.contains(&name.as_str()))
            {
                if let Some(new_value) = scope.get(name) {
                    value.clone_from(new_value);
                }
            }
            if matches!(flow, Flow::Return(_)) {
                return Ok(flow);
            }
        }
        Ok(Flow::Continue)
    }

    fn statement(
        &mut self,
        statement: &'a Stmt,
        scope: &mut Scope,
        context: &mut Context,
    ) -> Result<Flow, Trap> {
        self.steps_left = self.steps_left.checked_sub(1).ok_or(Trap::Fuel)?;
        match statement {
            Stmt::Let(name, value) => {
                let value = self.expression(value, scope, context)?;
                scope.insert(name.node.clone(), value);
            }
            Stmt::Assign(name, value) => {
                let value = self.expression(value, scope, context)?;
                match scope.get_mut(&name.node) {
                    Some(local) => *local = value,
                    None => {
                        let state = self.state_index(&name.node).ok_or(Trap::InvalidBytecode)?;
                        context
                            .memory
                            .0
                            .get_mut(state)
                            .ok_or(Trap::InvalidBytecode)?
                            .write(value);
                    }
                }
            }
            Stmt::Put(name, key, value) => {
                let Value::Text(key) = self.expression(key, scope, context)? else {
                    return Err(Trap::InvalidBytecode);
                };
                let Value::Number(value) = self.expression(value, scope, context)? else {
                    return Err(Trap::InvalidBytecode);
                };
                let state = self.state_index(&name.node).ok_or(Trap::InvalidBytecode)?;
                context
                    .memory
                    .0
                    .get_mut(state)
                    .ok_or(Trap::InvalidBytecode)?
                    .put(key, value)?;
            }
            Stmt::If(arms, else_block) => {
                for (condition, block) in arms {
                    if self.expression(condition, scope, context)? == Value::Bool(true) {
                        return self.block(block, scope, context);
                    }
                }
                return self.block(else_block, scope, context);
            }
            Stmt::For(name, iterable, block) => {
                let iterable = self.expression(iterable, scope, context)?;
                let shadowed = scope.get(&name.node).cloned();
                let mut index = 0;
                while let Some(value) = context.element(&iterable, index)? {
                    self.steps_left = self.steps_left.checked_sub(1).ok_or(Trap::Fuel)?;
                    index += 1;
                    scope.insert(name.node.clone(), value);
                    if let Flow::Return(value) = self.block(block, scope, context)? {
                        return Ok(Flow::Return(value));
                    }
                }
                match shadowed {
                    Some(value) => scope.insert(name.node.clone(), value),
                    None => scope.remove(&name.node),
                };
            }
            Stmt::Return(_, value) => {
                let value = value
                    .as_ref()
                    .map(|value| self.expression(value, scope, context))
                    .transpose()?;
                return Ok(Flow::Return(value.unwrap_or(Value::Nothing)));
            }
            Stmt::Expr(value) => {
                self.expression(value, scope, context)?;
            }
        }
        Ok(Flow::Continue)
    }

    fn literal(expression: &Expr) -> Option<Value> {
        Some(match expression {
            Expr::Number(number) => Value::Number(*number),
            Expr::Bool(value) => Value::Bool(*value),
            Expr::Text(text) => Value::Text(Arc::from(text.as_str())),
            Expr::Unary(Unary::Neg, operand) => match operand.node {
                Expr::Number(number) => Value::Number(-number),
                _ => return None,
            },
            Expr::Set(elements) => Value::Set(
                elements
                    .iter()
                    .map(|element| Walker::literal(&element.node))
                    .collect::<Option<Vec<_>>>()?
                    .into(),
            ),
            _ => return None,
        })
    }

    fn expression(
        &mut self,
        expression: &'a Spanned<Expr>,
        scope: &mut Scope,
        context: &mut Context,
    ) -> Result<Value, Trap> {
        self.steps_left = self.steps_left.checked_sub(1).ok_or(Trap::Fuel)?;
        if let Some(literal) = Walker::literal(&expression.node) {
            return Ok(literal);
        }
        match &expression.node {
            Expr::Name(name) => self.name(name, scope, context),
            Expr::Field(object, field) => self.field(object, &field.node, scope, context),
            Expr::Index(map, key) => {
                let Expr::Name(name) = &map.node else {
                    return Err(Trap::InvalidBytecode);
                };
                let Value::Text(key) = self.expression(key, scope, context)? else {
                    return Err(Trap::InvalidBytecode);
                };
                let state = self.state_index(name).ok_or(Trap::InvalidBytecode)?;
                Ok(Value::Number(
                    context
                        .memory
                        .0
                        .get(state)
                        .ok_or(Trap::InvalidBytecode)?
                        .get(&key),
                ))
            }
            Expr::Call(name, arguments) => self.call(&name.node, arguments, scope, context),
            Expr::Unary(op, operand) => match (op, self.expression(operand, scope, context)?) {
                (Unary::Neg, Value::Number(number)) => Ok(Value::Number(-number)),
                (Unary::Not, Value::Bool(value)) => Ok(Value::Bool(!value)),
                _ => Err(Trap::InvalidBytecode),
            },
            Expr::Binary(op, left, right) => self.binary(*op, left, right, scope, context),
            _ => Err(Trap::InvalidBytecode),
        }
    }

    fn name(&mut self, name: &str, scope: &Scope, context: &Context) -> Result<Value, Trap> {
        if let Some(value) = scope.get(name) {
            return Ok(value.clone());
        }
        if let Some(state) = self.state_index(name) {
            return Ok(context
                .memory
                .0
                .get(state)
                .ok_or(Trap::InvalidBytecode)?
                .read());
        }
        let constant = self.plugin.items.iter().find_map(|item| match item {
            Item::Let(constant, value) if constant.node == name => Walker::literal(&value.node),
            _ => None,
        });
        constant.ok_or(Trap::InvalidBytecode)
    }

    fn field(
        &mut self,
        object: &'a Spanned<Expr>,
        field: &str,
        scope: &mut Scope,
        context: &mut Context,
    ) -> Result<Value, Trap> {
        let is_fleet = matches!(&object.node, Expr::Name(name) if name == "fleet");
        let object = if is_fleet {
            None
        } else {
            Some(self.expression(object, scope, context)?)
        };
        let owner_type = match &object {
            None => Type::Nothing,
            Some(Value::Server(_)) => Type::Server,
            Some(Value::Class(_)) => Type::Class,
            Some(_) => return Err(Trap::InvalidBytecode),
        };
        let found = FIELDS
            .iter()
            .find(|(owner, name, ..)| *owner == owner_type && *name == field);
        context.field(found.ok_or(Trap::InvalidBytecode)?.2, object.as_ref())
    }

    fn call(
        &mut self,
        name: &str,
        arguments: &'a [Spanned<Expr>],
        scope: &mut Scope,
        context: &mut Context,
    ) -> Result<Value, Trap> {
        if let (
            "len",
            [Spanned {
                node: Expr::Name(map),
                ..
            }],
        ) = (name, arguments)
        {
            if let Some(crate::machine::StateCell::Map(map)) = self
                .state_index(map)
                .and_then(|state| context.memory.0.get(state))
            {
                return finite(map.len() as f64);
            }
        }
        let mut argument_values = Vec::new();
        for argument in arguments {
            argument_values.push(self.expression(argument, scope, context)?);
        }
        if let Some(function) = self.find_function(name, false) {
            return self.function(function, &argument_values, context);
        }
        let builtin = match (name, argument_values.first()) {
            ("min", _) => Builtin::Min,
            ("max", _) => Builtin::Max,
            ("abs", _) => Builtin::Abs,
            ("floor", _) => Builtin::Floor,
            ("clamp", _) => Builtin::Clamp,
            ("range", _) => Builtin::Range,
            ("starts", _) => Builtin::Starts,
            ("text", _) => Builtin::Words,
            ("random", _) => Builtin::Random,
            ("note", _) => Builtin::Note,
            ("exclude", _) => Builtin::Exclude,
            ("len", Some(Value::Text(_))) => Builtin::LenText,
            ("len", _) => Builtin::LenSet,
            _ => return Err(Trap::InvalidBytecode),
        };
        context.builtin(builtin, &argument_values)
    }

    fn binary(
        &mut self,
        op: Binary,
        left: &'a Spanned<Expr>,
        right: &'a Spanned<Expr>,
        scope: &mut Scope,
        context: &mut Context,
    ) -> Result<Value, Trap> {
        let left = self.expression(left, scope, context)?;
        match (op, &left) {
            (Binary::And, Value::Bool(false)) | (Binary::Or, Value::Bool(true)) => return Ok(left),
            _ => {}
        }
        let right = self.expression(right, scope, context)?;
        let op = match (op, left, right) {
            (Binary::And | Binary::Or, _, right) => return Ok(right),
            (Binary::Eq, left, right) => return Ok(Value::Bool(left == right)),
            (Binary::Ne, left, right) => return Ok(Value::Bool(left != right)),
            (Binary::In, left, Value::Set(elements)) => {
                return Ok(Value::Bool(elements.contains(&left)))
            }
            (Binary::Add, Value::Text(left), Value::Text(right)) => {
                return context.text(format!("{left}{right}"))
            }
            (op, Value::Number(left), Value::Number(right)) => (op, left, right),
            _ => return Err(Trap::InvalidBytecode),
        };
        let (op, left, right) = op;
        let op = match op {
            Binary::Add => Op::Add,
            Binary::Sub => Op::Sub,
            Binary::Mul => Op::Mul,
            Binary::Div => Op::Div,
            Binary::Rem => Op::Rem,
            Binary::Lt => Op::Lt,
            Binary::Le => Op::Le,
            Binary::Gt => Op::Gt,
            Binary::Ge => Op::Ge,
            _ => return Err(Trap::InvalidBytecode),
        };
        arithmetic(op, left, right)
    }
}
