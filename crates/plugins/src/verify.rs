//! The verifier: whatever made a program, it is run only if every operation names what there is and every way through a
//! function keeps the stack in order. It trusts nothing of the compiler's.

use crate::code::*;

/// Values that one function may have on the stack at once.
pub const STACK_MOST: usize = 64;

/// Why a program is not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("function {function} is not sound at operation {at}: {what}")]
pub struct Unsound {
    /// The function.
    pub function: usize,
    /// The operation.
    pub at: usize,
    /// What is wrong.
    pub what: &'static str,
}

/// What an operation takes from the stack and puts there.
fn effect(op: Op, program: &Program) -> (usize, usize) {
    match op {
        Op::Const(_) | Op::Load(_) | Op::LoadState(_) => (0, 1),
        Op::Store(_)
        | Op::StoreState(_)
        | Op::JumpIfNot(_)
        | Op::Each(_)
        | Op::Pop
        | Op::Return => (1, 0),
        Op::MapGet(_) | Op::Neg | Op::Not => (1, 1),
        Op::MapPut(_) => (2, 0),
        Op::Get(field) => match FIELDS.iter().find(|(_, _, known, _)| *known == field) {
            Some((Type::Nothing, ..)) => (0, 1),
            _ => (1, 1),
        },
        Op::Add | Op::Sub | Op::Mul | Op::Div | Op::Rem | Op::Join => (2, 1),
        Op::Eq | Op::Ne | Op::Lt | Op::Le | Op::Gt | Op::Ge | Op::In => (2, 1),
        Op::Jump(_) | Op::Next(..) => (0, 0),
        Op::Call(at) => (
            program
                .functions
                .get(usize::from(at))
                .map_or(0, |f| usize::from(f.params)),
            1,
        ),
        Op::Do(builtin) => (builtin.takes(), 1),
    }
}

/// Whether what an operation names is there.
fn named(op: Op, own: usize, program: &Program) -> Result<(), &'static str> {
    let Some(function) = program.functions.get(own) else {
        return Err("no function");
    };
    let code = function.code.len();
    let check = |holds: bool, what| if holds { Ok(()) } else { Err(what) };
    match op {
        Op::Const(at) => check(
            usize::from(at) < program.constants.len(),
            "no such constant",
        ),
        Op::Load(at) | Op::Store(at) => check(at < function.locals, "no such local"),
        Op::LoadState(at) | Op::StoreState(at) => {
            let state = program.states.get(usize::from(at));
            check(
                state.is_some_and(|(_, shape)| *shape != crate::ast::Shape::Map),
                "no such state",
            )
        }
        Op::MapGet(at) | Op::MapPut(at) => {
            let state = program.states.get(usize::from(at));
            check(
                state.is_some_and(|(_, shape)| *shape == crate::ast::Shape::Map),
                "no such map",
            )
        }
        Op::Jump(to) | Op::JumpIfNot(to) => {
            check(usize::from(to) < code, "a jump out of the function")
        }
        Op::Next(slot, local, to) => check(
            slot < function.loops && local < function.locals && usize::from(to) < code,
            "a loop out of the function",
        ),
        Op::Each(slot) => check(slot < function.loops, "no such loop"),
        Op::Call(at) => check(
            usize::from(at) < own,
            "a call of itself or of a later function",
        ),
        _ => Ok(()),
    }
}

/// Checks a whole program.
pub fn verify(program: &Program) -> Result<(), Unsound> {
    let unsound = |function, at, what| Unsound { function, at, what };
    if program.functions.len() > NAMES_MOST || program.constants.len() > CONSTANTS_MOST {
        return Err(unsound(0, 0, "too many functions or constants"));
    }
    for (own, function) in program.functions.iter().enumerate() {
        let code = &function.code;
        if code.is_empty() || code.len() > CODE_MOST || code.len() != function.lines.len() {
            return Err(unsound(
                own,
                0,
                "no code, too much of it, or lines that do not fit",
            ));
        }
        if function.params > function.locals || usize::from(function.locals) > NAMES_MOST {
            return Err(unsound(own, 0, "locals that do not hold the parameters"));
        }
        // The height of the stack before each operation that can be reached.
        let mut heights: Vec<Option<usize>> = vec![None; code.len()];
        let mut open = vec![(0usize, 0usize)];
        while let Some((at, height)) = open.pop() {
            let (Some(op), Some(known)) = (code.get(at).copied(), heights.get_mut(at)) else {
                return Err(unsound(own, at, "the code ends without a return"));
            };
            match known {
                Some(known) if *known == height => continue,
                Some(_) => {
                    return Err(unsound(
                        own,
                        at,
                        "two ways with stacks of different heights",
                    ))
                }
                None => *known = Some(height),
            }
            named(op, own, program).map_err(|what| unsound(own, at, what))?;
            let (takes, puts) = effect(op, program);
            let Some(left) = height.checked_sub(takes) else {
                return Err(unsound(own, at, "the stack is empty"));
            };
            let after = left + puts;
            if after > STACK_MOST {
                return Err(unsound(own, at, "the stack is too high"));
            }
            match op {
                Op::Return if left != 0 => {
                    return Err(unsound(own, at, "a return leaves values behind"))
                }
                Op::Return => {}
                Op::Jump(to) => open.push((to.into(), after)),
                Op::JumpIfNot(to) | Op::Next(_, _, to) => {
                    open.extend([(usize::from(to), after), (at + 1, after)])
                }
                _ => open.push((at + 1, after)),
            }
        }
    }
    let hooks = program.hooks;
    let all = [
        (hooks.factor, 3),
        (hooks.cap, 1),
        (hooks.retry, 1),
        (hooks.exclude, 1),
        (hooks.turn, 0),
    ];
    for (hook, params) in all
        .into_iter()
        .filter_map(|(hook, params)| Some((usize::from(hook?), params)))
    {
        if program
            .functions
            .get(hook)
            .is_none_or(|function| function.params != params)
        {
            return Err(unsound(hook, 0, "a hook that is no function of its form"));
        }
    }
    Ok(())
}
