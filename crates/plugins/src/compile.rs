//! A tree to bytecode, with every name and type checked. All faults of a text are told at once.

use std::collections::HashMap;
use std::sync::Arc;

use crate::ast::{At, Binary, Case, Expr, Function as Tree, Item, Plugin, Shape, Stmt, Unary};
use crate::code::*;
use crate::diagnostics::{Diagnostic, Span};
use crate::parse::parse;
use crate::verify::verify;

/// Turns over which a mean may fade, at least and at most.
const MEAN: (f64, f64) = (1.0, 3600.0);

/// What a name stands for.
#[derive(Clone, Debug)]
enum Named {
    Local(u8, Type),
    State(u8, Shape),
    Fixed(u16, Type),
    Function(u8, Vec<Type>, Type),
}

struct Compiler<'a> {
    source: &'a str,
    faults: Vec<Diagnostic>,
    names: HashMap<String, Named>,
    constants: Vec<Value>,
    functions: Vec<Function>,
    states: Vec<(String, Shape)>,
    hooks: Hooks,
    steers: Vec<String>,
    by_zone: bool,
    class_used: Option<Span>,
    /// The function under way.
    code: Vec<Op>,
    lines: Vec<u32>,
    locals: usize,
    loops: usize,
    gives: Type,
    hook: Option<String>,
}

/// Compiles a text; the program has passed the verifier.
pub fn compile(source: &str) -> Result<Program, Vec<Diagnostic>> {
    let plugin = parse(source)?;
    let mut compiler = Compiler {
        source,
        faults: Vec::new(),
        names: HashMap::new(),
        constants: Vec::new(),
        functions: Vec::new(),
        states: Vec::new(),
        hooks: Hooks::default(),
        steers: Vec::new(),
        by_zone: false,
        class_used: None,
        code: Vec::new(),
        lines: Vec::new(),
        locals: 0,
        loops: 0,
        gives: Type::Nothing,
        hook: None,
    };
    compiler.plugin(&plugin);
    let Compiler {
        faults,
        constants,
        functions,
        states,
        hooks,
        steers,
        by_zone,
        ..
    } = compiler;
    if !faults.is_empty() {
        return Err(faults);
    }
    let cases = plugin.items.into_iter().filter_map(|item| match item {
        Item::Case(case) => Some(case),
        _ => None,
    });
    let program = Program {
        name: plugin.name.of,
        version: plugin.version.of as u32,
        digest: *blake3::hash(source.as_bytes()).as_bytes(),
        constants,
        functions,
        states,
        hooks,
        steers,
        by_zone,
        cases: cases.collect(),
    };
    verify(&program).map_err(|fault| vec![Diagnostic::new(source, 0..0, fault.to_string())])?;
    Ok(program)
}

impl Compiler<'_> {
    fn fault(&mut self, span: &Span, text: impl Into<String>) {
        self.faults
            .push(Diagnostic::new(self.source, span.clone(), text));
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

    fn here(&self) -> u16 {
        u16::try_from(self.code.len()).unwrap_or(u16::MAX)
    }

    fn patch(&mut self, at: usize) {
        let here = self.here();
        if let Some(Op::Jump(to) | Op::JumpIfNot(to) | Op::Next(_, _, to)) = self.code.get_mut(at) {
            *to = here;
        }
    }

    fn constant(&mut self, value: Value, span: &Span) -> u16 {
        if let Some(known) = self.constants.iter().position(|known| *known == value) {
            return known as u16;
        }
        if self.constants.len() >= CONSTANTS_MOST {
            self.fault(span, "too many constants");
            return 0;
        }
        self.constants.push(value);
        (self.constants.len() - 1) as u16
    }

    fn plugin(&mut self, plugin: &Plugin) {
        if plugin.version.of.fract() != 0.0 || plugin.version.of > f64::from(u32::MAX) {
            self.fault(&plugin.version.span, "a version is a whole number");
        }
        if plugin.host.of > f64::from(HOST_VERSION) {
            let text = format!("it needs host {}, this is {HOST_VERSION}", plugin.host.of);
            self.fault(&plugin.host.span, text);
        }
        for item in &plugin.items {
            match item {
                Item::Steers(classes) => self
                    .steers
                    .extend(classes.iter().map(|class| class.of.clone())),
                Item::State(name, shape) => self.state(name, shape),
                Item::Let(name, value) => self.fixed(name, value),
                Item::Fn(function) => self.function(function),
                Item::Hook(hook) => self.hook(hook),
                Item::Case(case) => self.case(case),
            }
        }
        if let Some(span) = self.class_used.clone().filter(|_| self.steers.is_empty()) {
            self.fault(
                &span,
                "this factor looks at the class: say which it steers, as in: steers \"refund-order\"",
            );
        }
    }

    fn declare(&mut self, name: &At<String>, named: Named) {
        if name.of == "fleet" || self.names.insert(name.of.clone(), named).is_some() {
            self.fault(&name.span, format!("the name {:?} is taken", name.of));
        }
    }

    fn state(&mut self, name: &At<String>, shape: &At<Shape>) {
        if let Shape::Mean(turns) = shape.of {
            if !(MEAN.0..=MEAN.1).contains(&turns) {
                let text = format!(
                    "a mean fades by half in {} to {} turns, not in {turns}",
                    MEAN.0, MEAN.1
                );
                self.fault(&shape.span, text);
            }
        }
        if self.states.len() >= NAMES_MOST {
            self.fault(&name.span, format!("at most {NAMES_MOST} states"));
            return;
        }
        let at = self.states.len() as u8;
        self.states.push((name.of.clone(), shape.of.clone()));
        self.declare(name, Named::State(at, shape.of.clone()));
    }

    /// A literal, or a set of them; nothing that would have to be worked out.
    fn literal(&mut self, value: &At<Expr>) -> Option<(Value, Type)> {
        Some(match &value.of {
            Expr::Number(number) => (Value::Number(*number), Type::Number),
            Expr::Bool(of) => (Value::Bool(*of), Type::Bool),
            Expr::Text(text) => (Value::Text(Arc::from(text.as_str())), Type::Text),
            Expr::Unary(Unary::Neg, of) => match of.of {
                Expr::Number(number) => (Value::Number(-number), Type::Number),
                _ => return None,
            },
            Expr::Set(elements) => {
                if elements.len() > SET_MOST {
                    self.fault(&value.span, format!("at most {SET_MOST} elements"));
                }
                let mut all = Vec::new();
                let mut of = Type::Text;
                for element in elements {
                    let (value, its) = self.literal(element)?;
                    of = if all.is_empty() { its } else { of };
                    if its != of || !matches!(its, Type::Number | Type::Text) {
                        self.fault(
                            &element.span,
                            "a set holds numbers or texts, all of one type",
                        );
                    }
                    all.push(value);
                }
                let of = if of == Type::Number {
                    Type::Numbers
                } else {
                    Type::Texts
                };
                (Value::Set(all.into()), of)
            }
            _ => return None,
        })
    }

    fn fixed(&mut self, name: &At<String>, value: &At<Expr>) {
        let Some((literal, of)) = self.literal(value) else {
            self.fault(
                &value.span,
                "a value for all calls is a number, a text, true, false, or a set of them",
            );
            return;
        };
        let at = self.constant(literal, &value.span);
        self.declare(name, Named::Fixed(at, of));
    }

    fn function(&mut self, function: &Tree) {
        let mut types = Vec::new();
        for (name, word) in &function.params {
            let of = word.as_ref().and_then(|word| Type::named(&word.of));
            if of.is_none() {
                let text = "a parameter needs a type: number, bool, text, server or class, as in x: number";
                self.fault(&name.span, text);
            }
            types.push(of.unwrap_or(Type::Number));
        }
        let gives = match &function.gives {
            None => Type::Nothing,
            Some(word) => Type::named(&word.of).unwrap_or_else(|| {
                self.fault(
                    &word.span,
                    format!("no type {:?}: number, bool, text, server or class", word.of),
                );
                Type::Number
            }),
        };
        // Not known within itself: a function calls only those before it, so that none calls itself.
        let at = self.body(function, &types, gives);
        self.declare(&function.name, Named::Function(at, types, gives));
    }

    fn hook(&mut self, hook: &Tree) {
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
        let Some((_, types, gives)) = known.into_iter().find(|(name, _, _)| *name == hook.name.of)
        else {
            let text = format!(
                "no hook {:?}: factor, cap, retry, exclude or turn",
                hook.name.of
            );
            return self.fault(&hook.name.span, text);
        };
        if hook.params.len() != types.len()
            || hook.params.iter().any(|(_, of)| of.is_some())
            || hook.gives.is_some()
        {
            let text = match hook.name.of.as_str() {
                "factor" => "this hook is written factor(server, class, zone)",
                "turn" => "this hook is written turn()",
                "exclude" => "this hook is written exclude(server)",
                _ => "this hook is written with (class)",
            };
            return self.fault(&hook.name.span, text);
        }
        self.hook = Some(hook.name.of.clone());
        let at = self.body(hook, types, gives);
        self.hook = None;
        let slot = match hook.name.of.as_str() {
            "factor" => &mut self.hooks.factor,
            "cap" => &mut self.hooks.cap,
            "retry" => &mut self.hooks.retry,
            "exclude" => &mut self.hooks.exclude,
            _ => &mut self.hooks.turn,
        };
        if slot.replace(at).is_some() {
            self.fault(
                &hook.name.span,
                format!("the hook {} is there already", hook.name.of),
            );
        }
    }

    fn case(&mut self, case: &Case) {
        for (path, value) in &case.given {
            if self.literal(value).is_none() {
                self.fault(&value.span, "a case gives numbers, texts, true or false");
            }
            let words: Vec<&str> = path.iter().map(|word| word.of.as_str()).collect();
            if !crate::cases::is_known(&words) {
                let span = path.first().map_or(0..0, |word| word.span.clone());
                self.fault(&span, format!("a case cannot give {}: server.name, class.name, zone, fleet.strain, turns and the like", words.join(".")));
            }
        }
        for (hook, value) in &case.expected {
            if !["factor", "cap", "retry", "exclude"].contains(&hook.of.as_str()) {
                self.fault(&hook.span, "expected can be factor, cap, retry or exclude");
            }
            if self.literal(value).is_none() {
                self.fault(&value.span, "a case expects a number, true or false");
            }
        }
    }

    fn body(&mut self, function: &Tree, types: &[Type], gives: Type) -> u8 {
        let outer = self.names.clone();
        (self.locals, self.loops, self.gives) = (0, 0, gives);
        (self.code, self.lines) = (Vec::new(), Vec::new());
        for ((name, _), of) in function.params.iter().zip(types) {
            let at = self.local(&name.span);
            // A hook's parameters may be called as its subjects are; anything else keeps its name.
            self.names.insert(name.of.clone(), Named::Local(at, *of));
        }
        self.block(&function.body);
        let end = function.name.span.clone();
        if gives != Type::Nothing && !returns(&function.body) {
            let text = format!(
                "{} may end without a value: every way through it returns a {}",
                function.name.of,
                gives.word()
            );
            self.fault(&end, text);
        }
        let nothing = self.constant(Value::Nothing, &end);
        self.emit(Op::Const(nothing), &end);
        self.emit(Op::Return, &end);
        self.names = outer;
        if self.code.len() > CODE_MOST {
            self.fault(&end, format!("{} is too long", function.name.of));
        }
        if self.functions.len() >= NAMES_MOST {
            self.fault(&end, format!("at most {NAMES_MOST} functions and hooks"));
        }
        self.functions.push(Function {
            name: function.name.of.clone(),
            params: types.len() as u8,
            locals: self.locals as u8,
            loops: self.loops as u8,
            code: std::mem::take(&mut self.code),
            lines: std::mem::take(&mut self.lines),
        });
        (self.functions.len() - 1) as u8
    }

    fn local(&mut self, span: &Span) -> u8 {
        if self.locals >= NAMES_MOST {
            self.fault(span, format!("at most {NAMES_MOST} names in a function"));
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
                let of = self.expression(value);
                if of == Some(Type::Nothing) {
                    self.fault(&value.span, "this gives nothing");
                }
                let at = self.local(&name.span);
                self.emit(Op::Store(at), &name.span);
                if name.of == "fleet"
                    || matches!(
                        self.names.get(&name.of),
                        Some(Named::Function(..) | Named::State(..))
                    )
                {
                    self.fault(&name.span, format!("the name {:?} is taken", name.of));
                }
                self.names.insert(
                    name.of.clone(),
                    Named::Local(at, of.unwrap_or(Type::Number)),
                );
            }
            Stmt::Assign(name, value) => self.assign(name, value),
            Stmt::Put(name, key, value) => self.put(name, key, value),
            Stmt::If(arms, rest) => {
                let mut ends = Vec::new();
                for (condition, block) in arms {
                    self.wants(condition, Type::Bool);
                    let skip = self.emit(Op::JumpIfNot(0), &condition.span);
                    self.block(block);
                    ends.push(self.emit(Op::Jump(0), &condition.span));
                    self.patch(skip);
                }
                self.block(rest);
                ends.into_iter().for_each(|end| self.patch(end));
            }
            Stmt::For(name, over, block) => {
                let of = self.expression(over);
                let element = of.and_then(Type::element);
                if let Some(of) = of.filter(|_| element.is_none()) {
                    self.fault(
                        &over.span,
                        format!(
                            "a loop goes over a set, range, servers, classes or zones, not a {}",
                            of.word()
                        ),
                    );
                }
                if self.loops >= NAMES_MOST {
                    return self.fault(
                        &over.span,
                        format!("at most {NAMES_MOST} loops in a function"),
                    );
                }
                let slot = self.loops as u8;
                self.loops += 1;
                self.emit(Op::Each(slot), &over.span);
                let at = self.local(&name.span);
                let begin = self.here();
                let next = self.emit(Op::Next(slot, at, 0), &over.span);
                let outer = self.names.insert(
                    name.of.clone(),
                    Named::Local(at, element.unwrap_or(Type::Number)),
                );
                self.block(block);
                self.emit(Op::Jump(begin), &over.span);
                self.patch(next);
                match outer {
                    Some(outer) => self.names.insert(name.of.clone(), outer),
                    None => self.names.remove(&name.of),
                };
            }
            Stmt::Return(span, value) => {
                let gives = self.gives;
                match value {
                    Some(value) => self.wants(value, gives),
                    None if gives != Type::Nothing => {
                        self.fault(
                            span,
                            format!("this returns nothing, where a {} is expected", gives.word()),
                        );
                    }
                    None => {
                        let nothing = self.constant(Value::Nothing, span);
                        self.emit(Op::Const(nothing), span);
                    }
                }
                self.emit(Op::Return, span);
            }
            Stmt::Do(value) => {
                if !matches!(value.of, Expr::Call(..)) {
                    self.fault(&value.span, "this does nothing: only calls stand alone");
                }
                self.expression(value);
                self.emit(Op::Pop, &value.span);
            }
        }
    }

    fn assign(&mut self, name: &At<String>, value: &At<Expr>) {
        match self.names.get(&name.of).cloned() {
            Some(Named::Local(at, of)) => {
                self.wants(value, of);
                self.emit(Op::Store(at), &name.span);
            }
            Some(Named::State(_, Shape::Map)) => {
                self.fault(
                    &name.span,
                    format!(
                        "{} is a map: set its parts, as in {}[\"key\"] = 1",
                        name.of, name.of
                    ),
                );
            }
            Some(Named::State(at, shape)) => {
                self.wants(value, shape_type(&shape));
                self.emit(Op::StoreState(at), &name.span);
            }
            Some(_) => self.fault(&name.span, format!("{} cannot be changed", name.of)),
            None => self.fault(&name.span, format!("no name {:?}: let makes one", name.of)),
        }
    }

    fn put(&mut self, name: &At<String>, key: &At<Expr>, value: &At<Expr>) {
        let Some(Named::State(at, Shape::Map)) = self.names.get(&name.of).cloned() else {
            return self.fault(&name.span, format!("{} is no map", name.of));
        };
        self.wants(key, Type::Text);
        self.wants(value, Type::Number);
        self.emit(Op::MapPut(at), &name.span);
    }

    fn wants(&mut self, value: &At<Expr>, wanted: Type) {
        if let Some(of) = self.expression(value).filter(|of| *of != wanted) {
            self.fault(
                &value.span,
                format!("found a {}, expected a {}", of.word(), wanted.word()),
            );
        }
    }

    /// Compiles an expression; nothing if its type cannot be told for a fault that is told already.
    fn expression(&mut self, value: &At<Expr>) -> Option<Type> {
        let span = &value.span;
        match &value.of {
            Expr::Number(_) | Expr::Bool(_) | Expr::Text(_) | Expr::Set(_) => {
                let Some((literal, of)) = self.literal(value) else {
                    self.fault(span, "a set holds literal numbers or texts");
                    return None;
                };
                let at = self.constant(literal, span);
                self.emit(Op::Const(at), span);
                Some(of)
            }
            Expr::Name(name) => self.name(name, span),
            Expr::Field(of, field) => self.field(of, field, span),
            Expr::Index(of, key) => {
                let Expr::Name(name) = &of.of else {
                    self.fault(&of.span, "only maps have parts");
                    return None;
                };
                let Some(Named::State(at, Shape::Map)) = self.names.get(name).cloned() else {
                    self.fault(&of.span, format!("{name} is no map"));
                    return None;
                };
                self.wants(key, Type::Text);
                self.emit(Op::MapGet(at), span);
                Some(Type::Number)
            }
            Expr::Call(name, arguments) => self.call(name, arguments, span),
            Expr::Unary(Unary::Neg, of) => {
                self.wants(of, Type::Number);
                self.emit(Op::Neg, span);
                Some(Type::Number)
            }
            Expr::Unary(Unary::Not, of) => {
                self.wants(of, Type::Bool);
                self.emit(Op::Not, span);
                Some(Type::Bool)
            }
            Expr::Binary(op, left, right) => self.binary(*op, left, right, span),
        }
    }

    fn name(&mut self, name: &str, span: &Span) -> Option<Type> {
        match self.names.get(name).cloned() {
            Some(Named::Local(at, of)) => {
                self.watch(at, span);
                self.emit(Op::Load(at), span);
                Some(of)
            }
            Some(Named::Fixed(at, of)) => {
                self.emit(Op::Const(at), span);
                Some(of)
            }
            Some(Named::State(_, Shape::Map)) => {
                self.fault(
                    span,
                    format!(
                        "{name} is a map: ask for its parts, as in {name}[\"key\"], or len({name})"
                    ),
                );
                None
            }
            Some(Named::State(at, shape)) => {
                self.emit(Op::LoadState(at), span);
                Some(shape_type(&shape))
            }
            Some(Named::Function(..)) => {
                self.fault(
                    span,
                    format!("{name} is a function: call it, as in {name}()"),
                );
                None
            }
            None if name == "fleet" => {
                self.fault(span, "fleet is seen by its fields, as in fleet.strain");
                None
            }
            None => {
                self.fault(span, format!("no name {name:?}"));
                None
            }
        }
    }

    /// Whether a factor looks at the class or the zone decides how often it is asked.
    fn watch(&mut self, local: u8, span: &Span) {
        if self.hook.as_deref() == Some("factor") {
            match local {
                1 => self.class_used = self.class_used.take().or_else(|| Some(span.clone())),
                2 => self.by_zone = true,
                _ => {}
            }
        }
    }

    fn field(&mut self, of: &At<Expr>, field: &At<String>, span: &Span) -> Option<Type> {
        let fleet = matches!(&of.of, Expr::Name(name) if name == "fleet");
        let has = if fleet {
            Type::Nothing
        } else {
            self.expression(of)?
        };
        let known = FIELDS
            .iter()
            .find(|(its, name, _, _)| *its == has && *name == field.of);
        let Some((_, _, get, gives)) = known else {
            let all: Vec<&str> = FIELDS
                .iter()
                .filter(|(its, ..)| *its == has)
                .map(|(_, name, ..)| *name)
                .collect();
            let what = if fleet { "fleet" } else { has.word() };
            let text = if all.is_empty() {
                format!("a {what} has no fields")
            } else {
                format!("{what} has no field {:?}: {}", field.of, all.join(", "))
            };
            self.fault(&field.span, text);
            return None;
        };
        self.emit(Op::Get(*get), span);
        Some(*gives)
    }

    fn call(&mut self, name: &At<String>, arguments: &[At<Expr>], span: &Span) -> Option<Type> {
        if let Some(Named::Function(at, types, gives)) = self.names.get(&name.of).cloned() {
            self.arguments(name, arguments, &types);
            self.emit(Op::Call(at), span);
            return Some(gives);
        }
        use Type::{Bool, Nothing, Number, Text};
        let (builtin, types, gives): (Builtin, &[Type], Type) = match name.of.as_str() {
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
                self.fault(
                    &name.span,
                    "exclude is called in the hook exclude(server) alone",
                );
                return None;
            }
            "len" => return self.length(name, arguments, span),
            _ => {
                let text = format!(
                    "no function {:?}: one is made with fn, before it is called",
                    name.of
                );
                self.fault(&name.span, text);
                return None;
            }
        };
        self.arguments(name, arguments, types);
        self.emit(Op::Do(builtin), span);
        Some(gives)
    }

    fn length(&mut self, name: &At<String>, arguments: &[At<Expr>], span: &Span) -> Option<Type> {
        let [of] = arguments else {
            self.fault(&name.span, "len takes one value");
            return None;
        };
        if let Expr::Name(map) = &of.of {
            if let Some(Named::State(at, Shape::Map)) = self.names.get(map).cloned() {
                let at = self.constant(Value::Number(f64::from(at)), span);
                self.emit(Op::Const(at), span);
                self.emit(Op::Do(Builtin::LenMap), span);
                return Some(Type::Number);
            }
        }
        let builtin = match self.expression(of)? {
            Type::Text => Builtin::LenText,
            Type::Numbers | Type::Texts => Builtin::LenSet,
            Type::Servers | Type::Classes | Type::Zones => Builtin::LenServers,
            other => {
                self.fault(&of.span, format!("a {} has no length", other.word()));
                return None;
            }
        };
        self.emit(Op::Do(builtin), span);
        Some(Type::Number)
    }

    fn arguments(&mut self, name: &At<String>, arguments: &[At<Expr>], types: &[Type]) {
        if arguments.len() != types.len() {
            let text = format!(
                "{} takes {} values, found {}",
                name.of,
                types.len(),
                arguments.len()
            );
            self.fault(&name.span, text);
        }
        for (argument, of) in arguments.iter().zip(types) {
            self.wants(argument, *of);
        }
    }

    fn binary(
        &mut self,
        op: Binary,
        left: &At<Expr>,
        right: &At<Expr>,
        span: &Span,
    ) -> Option<Type> {
        use Binary as B;
        match op {
            B::And | B::Or => {
                self.wants(left, Type::Bool);
                if op == B::Or {
                    self.emit(Op::Not, span);
                }
                let skip = self.emit(Op::JumpIfNot(0), span);
                self.wants(right, Type::Bool);
                let end = self.emit(Op::Jump(0), span);
                self.patch(skip);
                let known = self.constant(Value::Bool(op == B::Or), span);
                self.emit(Op::Const(known), span);
                self.patch(end);
                Some(Type::Bool)
            }
            B::Add => {
                let of = self.expression(left)?;
                if !matches!(of, Type::Number | Type::Text) {
                    self.fault(
                        &left.span,
                        format!("found a {}, expected a number or a text", of.word()),
                    );
                    return None;
                }
                self.wants(right, of);
                self.emit(if of == Type::Text { Op::Join } else { Op::Add }, span);
                Some(of)
            }
            B::Sub | B::Mul | B::Div | B::Rem | B::Lt | B::Le | B::Gt | B::Ge => {
                self.wants(left, Type::Number);
                self.wants(right, Type::Number);
                let (op, gives) = match op {
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
                Some(gives)
            }
            B::Eq | B::Ne => {
                let of = self.expression(left)?;
                self.wants(right, of);
                self.emit(if op == B::Eq { Op::Eq } else { Op::Ne }, span);
                Some(Type::Bool)
            }
            B::In => {
                let of = self.expression(left)?;
                let over = self.expression(right)?;
                if !matches!(over, Type::Numbers | Type::Texts) || over.element() != Some(of) {
                    self.fault(
                        &right.span,
                        format!("found a {}, expected a set of {}s", over.word(), of.word()),
                    );
                }
                self.emit(Op::In, span);
                Some(Type::Bool)
            }
        }
    }
}

fn shape_type(shape: &Shape) -> Type {
    match shape {
        Shape::Number(_) | Shape::Mean(_) => Type::Number,
        Shape::Bool(_) => Type::Bool,
        Shape::Text(_) => Type::Text,
        Shape::Map => Type::Map,
    }
}

/// Whether every way through a block returns.
fn returns(block: &[Stmt]) -> bool {
    block.iter().any(|statement| match statement {
        Stmt::Return(..) => true,
        Stmt::If(arms, rest) => returns(rest) && arms.iter().all(|(_, block)| returns(block)),
        _ => false,
    })
}
