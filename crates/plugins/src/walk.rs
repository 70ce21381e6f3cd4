//! A plain evaluator that walks the tree: slow, simple, and written apart from compiler and machine, against which both
//! are tested and measured. It serves no hook in the program.

use std::collections::HashMap;
use std::sync::Arc;

use crate::ast::*;
use crate::code::Type;
use crate::code::{Builtin, Op, Value, FIELDS};
use crate::machine::{arithmetic, finite, Context, Trap};

/// Steps of one call.
const STEPS_MOST: u64 = 1_000_000;

enum Flow {
    On,
    Gives(Value),
}

/// Walks calls of one plug-in.
pub struct Walker<'a> {
    plugin: &'a Plugin,
    steps: u64,
}

type Scope = HashMap<String, Value>;

impl<'a> Walker<'a> {
    /// A walker over a tree that the compiler has taken.
    pub fn new(plugin: &'a Plugin) -> Self {
        Walker {
            plugin,
            steps: STEPS_MOST,
        }
    }

    fn find(&self, name: &str, hook: bool) -> Option<&'a Function> {
        self.plugin.items.iter().find_map(|item| match item {
            Item::Fn(function) if !hook && function.name.of == name => Some(function),
            Item::Hook(function) if hook && function.name.of == name => Some(function),
            _ => None,
        })
    }

    fn state(&self, name: &str) -> Option<usize> {
        let states = self.plugin.items.iter().filter_map(|item| match item {
            Item::State(name, _) => Some(name.of.as_str()),
            _ => None,
        });
        states.into_iter().position(|known| known == name)
    }

    /// Calls a hook.
    pub fn hook(
        &mut self,
        name: &str,
        values: &[Value],
        context: &mut Context,
    ) -> Result<Value, Trap> {
        self.steps = STEPS_MOST;
        context.arena = 0;
        let function = self.find(name, true).ok_or(Trap::Unsound)?;
        self.function(function, values, context)
    }

    fn function(
        &mut self,
        function: &'a Function,
        values: &[Value],
        context: &mut Context,
    ) -> Result<Value, Trap> {
        let names = function.params.iter().map(|(name, _)| name.of.clone());
        let mut scope: Scope = names.zip(values.iter().cloned()).collect();
        match self.block(&function.body, &mut scope, context)? {
            Flow::Gives(value) => Ok(value),
            Flow::On => Ok(Value::Nothing),
        }
    }

    /// A block of its own: what it names is forgotten, what it changes outside is kept.
    fn block(
        &mut self,
        block: &'a [Stmt],
        outer: &mut Scope,
        context: &mut Context,
    ) -> Result<Flow, Trap> {
        let mut scope = outer.clone();
        let mut own: Vec<&str> = Vec::new();
        for statement in block {
            if let Stmt::Let(name, _) = statement {
                own.push(&name.of);
            }
            let flow = self.statement(statement, &mut scope, context)?;
            for (name, value) in outer
                .iter_mut()
                .filter(|(name, _)| !own.contains(&name.as_str()))
            {
                if let Some(changed) = scope.get(name) {
                    value.clone_from(changed);
                }
            }
            if matches!(flow, Flow::Gives(_)) {
                return Ok(flow);
            }
        }
        Ok(Flow::On)
    }

    fn statement(
        &mut self,
        statement: &'a Stmt,
        scope: &mut Scope,
        context: &mut Context,
    ) -> Result<Flow, Trap> {
        self.steps = self.steps.checked_sub(1).ok_or(Trap::Fuel)?;
        match statement {
            Stmt::Let(name, value) => {
                let value = self.value(value, scope, context)?;
                scope.insert(name.of.clone(), value);
            }
            Stmt::Assign(name, value) => {
                let value = self.value(value, scope, context)?;
                match scope.get_mut(&name.of) {
                    Some(known) => *known = value,
                    None => {
                        let at = self.state(&name.of).ok_or(Trap::Unsound)?;
                        context
                            .memory
                            .0
                            .get_mut(at)
                            .ok_or(Trap::Unsound)?
                            .write(value);
                    }
                }
            }
            Stmt::Put(name, key, value) => {
                let Value::Text(key) = self.value(key, scope, context)? else {
                    return Err(Trap::Unsound);
                };
                let Value::Number(value) = self.value(value, scope, context)? else {
                    return Err(Trap::Unsound);
                };
                let at = self.state(&name.of).ok_or(Trap::Unsound)?;
                context
                    .memory
                    .0
                    .get_mut(at)
                    .ok_or(Trap::Unsound)?
                    .put(key, value)?;
            }
            Stmt::If(arms, rest) => {
                for (condition, block) in arms {
                    if self.value(condition, scope, context)? == Value::Bool(true) {
                        return self.block(block, scope, context);
                    }
                }
                return self.block(rest, scope, context);
            }
            Stmt::For(name, over, block) => {
                let over = self.value(over, scope, context)?;
                let hidden = scope.get(&name.of).cloned();
                let mut at = 0;
                while let Some(value) = context.element(&over, at)? {
                    self.steps = self.steps.checked_sub(1).ok_or(Trap::Fuel)?;
                    at += 1;
                    scope.insert(name.of.clone(), value);
                    if let Flow::Gives(value) = self.block(block, scope, context)? {
                        return Ok(Flow::Gives(value));
                    }
                }
                match hidden {
                    Some(value) => scope.insert(name.of.clone(), value),
                    None => scope.remove(&name.of),
                };
            }
            Stmt::Return(_, value) => {
                let value = value
                    .as_ref()
                    .map(|value| self.value(value, scope, context))
                    .transpose()?;
                return Ok(Flow::Gives(value.unwrap_or(Value::Nothing)));
            }
            Stmt::Do(value) => {
                self.value(value, scope, context)?;
            }
        }
        Ok(Flow::On)
    }

    fn literal(value: &Expr) -> Option<Value> {
        Some(match value {
            Expr::Number(number) => Value::Number(*number),
            Expr::Bool(of) => Value::Bool(*of),
            Expr::Text(text) => Value::Text(Arc::from(text.as_str())),
            Expr::Unary(Unary::Neg, of) => match of.of {
                Expr::Number(number) => Value::Number(-number),
                _ => return None,
            },
            Expr::Set(all) => Value::Set(
                all.iter()
                    .map(|of| Walker::literal(&of.of))
                    .collect::<Option<Vec<_>>>()?
                    .into(),
            ),
            _ => return None,
        })
    }

    fn value(
        &mut self,
        value: &'a At<Expr>,
        scope: &mut Scope,
        context: &mut Context,
    ) -> Result<Value, Trap> {
        self.steps = self.steps.checked_sub(1).ok_or(Trap::Fuel)?;
        if let Some(literal) = Walker::literal(&value.of) {
            return Ok(literal);
        }
        match &value.of {
            Expr::Name(name) => self.name(name, scope, context),
            Expr::Field(of, field) => self.field(of, &field.of, scope, context),
            Expr::Index(of, key) => {
                let Expr::Name(name) = &of.of else {
                    return Err(Trap::Unsound);
                };
                let Value::Text(key) = self.value(key, scope, context)? else {
                    return Err(Trap::Unsound);
                };
                let at = self.state(name).ok_or(Trap::Unsound)?;
                Ok(Value::Number(
                    context.memory.0.get(at).ok_or(Trap::Unsound)?.get(&key),
                ))
            }
            Expr::Call(name, arguments) => self.call(&name.of, arguments, scope, context),
            Expr::Unary(op, of) => match (op, self.value(of, scope, context)?) {
                (Unary::Neg, Value::Number(number)) => Ok(Value::Number(-number)),
                (Unary::Not, Value::Bool(of)) => Ok(Value::Bool(!of)),
                _ => Err(Trap::Unsound),
            },
            Expr::Binary(op, left, right) => self.binary(*op, left, right, scope, context),
            _ => Err(Trap::Unsound),
        }
    }

    fn name(&mut self, name: &str, scope: &Scope, context: &Context) -> Result<Value, Trap> {
        if let Some(value) = scope.get(name) {
            return Ok(value.clone());
        }
        if let Some(at) = self.state(name) {
            return Ok(context.memory.0.get(at).ok_or(Trap::Unsound)?.read());
        }
        let fixed = self.plugin.items.iter().find_map(|item| match item {
            Item::Let(its, value) if its.of == name => Walker::literal(&value.of),
            _ => None,
        });
        fixed.ok_or(Trap::Unsound)
    }

    fn field(
        &mut self,
        of: &'a At<Expr>,
        field: &str,
        scope: &mut Scope,
        context: &mut Context,
    ) -> Result<Value, Trap> {
        let fleet = matches!(&of.of, Expr::Name(name) if name == "fleet");
        let of = if fleet {
            None
        } else {
            Some(self.value(of, scope, context)?)
        };
        let has = match &of {
            None => Type::Nothing,
            Some(Value::Server(_)) => Type::Server,
            Some(Value::Class(_)) => Type::Class,
            Some(_) => return Err(Trap::Unsound),
        };
        let known = FIELDS
            .iter()
            .find(|(its, name, ..)| *its == has && *name == field);
        context.field(known.ok_or(Trap::Unsound)?.2, of.as_ref())
    }

    fn call(
        &mut self,
        name: &str,
        arguments: &'a [At<Expr>],
        scope: &mut Scope,
        context: &mut Context,
    ) -> Result<Value, Trap> {
        if let (
            "len",
            [At {
                of: Expr::Name(map),
                ..
            }],
        ) = (name, arguments)
        {
            if let Some(crate::machine::Cell::Map(map)) =
                self.state(map).and_then(|at| context.memory.0.get(at))
            {
                return finite(map.len() as f64);
            }
        }
        let mut values = Vec::new();
        for argument in arguments {
            values.push(self.value(argument, scope, context)?);
        }
        if let Some(function) = self.find(name, false) {
            return self.function(function, &values, context);
        }
        let builtin = match (name, values.first()) {
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
            _ => return Err(Trap::Unsound),
        };
        context.builtin(builtin, &values)
    }

    fn binary(
        &mut self,
        op: Binary,
        left: &'a At<Expr>,
        right: &'a At<Expr>,
        scope: &mut Scope,
        context: &mut Context,
    ) -> Result<Value, Trap> {
        let left = self.value(left, scope, context)?;
        match (op, &left) {
            (Binary::And, Value::Bool(false)) | (Binary::Or, Value::Bool(true)) => return Ok(left),
            _ => {}
        }
        let right = self.value(right, scope, context)?;
        let op = match (op, left, right) {
            (Binary::And | Binary::Or, _, right) => return Ok(right),
            (Binary::Eq, left, right) => return Ok(Value::Bool(left == right)),
            (Binary::Ne, left, right) => return Ok(Value::Bool(left != right)),
            (Binary::In, left, Value::Set(all)) => return Ok(Value::Bool(all.contains(&left))),
            (Binary::Add, Value::Text(left), Value::Text(right)) => {
                return context.text(format!("{left}{right}"))
            }
            (op, Value::Number(left), Value::Number(right)) => (op, left, right),
            _ => return Err(Trap::Unsound),
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
            _ => return Err(Trap::Unsound),
        };
        arithmetic(op, left, right)
    }
}
