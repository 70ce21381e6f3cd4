//! The bytecode verifier: a program runs only if the operands of every operation exist and every path through a function
//! keeps the stack consistent. It does not rely on the compiler.

use crate::code::*;

/// Maximum height of the stack within one function, in values.
pub const MAX_STACK: usize = 64;

/// Why a program is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid bytecode in function {function}, operation {operation}: {reason}")]
pub struct VerifyError {
    /// The position of the function in the program.
    pub function: usize,
    /// The position of the operation in the function; 0 if the whole function is at fault.
    pub operation: usize,
    /// The rule that is broken.
    pub reason: &'static str,
}

/// Returns how many values an operation pops from the stack, and how many it then pushes.
fn stack_effect(op: Op, program: &Program) -> (usize, usize) {
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
        Op::Call(callee) => (
            program
                .functions
                .get(usize::from(callee))
                .map_or(0, |function| usize::from(function.params)),
            1,
        ),
        Op::Do(builtin) => (builtin.argument_count(), 1),
    }
}

/// Checks that the operands of an operation exist.
fn check_operands(op: Op, function_index: usize, program: &Program) -> Result<(), &'static str> {
    let Some(function) = program.functions.get(function_index) else {
        return Err("no such function");
    };
    let code_length = function.code.len();
    let check = |is_valid: bool, reason| if is_valid { Ok(()) } else { Err(reason) };
    match op {
        Op::Const(index) => check(
            usize::from(index) < program.constants.len(),
            "no such constant",
        ),
        Op::Load(local) | Op::Store(local) => check(local < function.locals, "no such local"),
        Op::LoadState(index) | Op::StoreState(index) => {
            let state = program.states.get(usize::from(index));
            check(
                state.is_some_and(|(_, kind)| *kind != crate::ast::StateKind::Map),
                "no such state",
            )
        }
        Op::MapGet(index) | Op::MapPut(index) => {
            let state = program.states.get(usize::from(index));
            check(
                state.is_some_and(|(_, kind)| *kind == crate::ast::StateKind::Map),
                "no such map",
            )
        }
        Op::Jump(target) | Op::JumpIfNot(target) => check(
            usize::from(target) < code_length,
            "the jump target is outside the function",
        ),
        Op::Next(slot, local, target) => check(
            slot < function.loops && local < function.locals && usize::from(target) < code_length,
            "no such loop slot or local, or the loop's end is outside the function",
        ),
        Op::Each(slot) => check(slot < function.loops, "no such loop slot"),
        Op::Call(callee) => check(
            usize::from(callee) < function_index,
            "a call of the function itself or of a later one",
        ),
        _ => Ok(()),
    }
}

/// Checks a program.
///
/// # Errors
///
/// The first violation of a rule.
pub fn verify(program: &Program) -> Result<(), VerifyError> {
    let error = |function, operation, reason| VerifyError {
        function,
        operation,
        reason,
    };
    if program.functions.len() > MAX_SLOTS || program.constants.len() > MAX_CONSTANTS {
        return Err(error(0, 0, "too many functions or constants"));
    }
    for (index, function) in program.functions.iter().enumerate() {
        let code = &function.code;
        if code.is_empty() || code.len() > MAX_FUNCTION_OPS || code.len() != function.lines.len() {
            return Err(error(
                index,
                0,
                "no code, too much code, or another number of lines than operations",
            ));
        }
        if function.params > function.locals || usize::from(function.locals) > MAX_SLOTS {
            return Err(error(
                index,
                0,
                "too many locals, or fewer locals than parameters",
            ));
        }
        // The height of the stack before each reachable operation.
        let mut heights: Vec<Option<usize>> = vec![None; code.len()];
        let mut pending = vec![(0usize, 0usize)];
        while let Some((position, height)) = pending.pop() {
            let (Some(op), Some(known)) = (code.get(position).copied(), heights.get_mut(position))
            else {
                return Err(error(index, position, "the code ends without a return"));
            };
            match known {
                Some(known) if *known == height => continue,
                Some(_) => {
                    return Err(error(
                        index,
                        position,
                        "paths with different stack heights meet",
                    ))
                }
                None => *known = Some(height),
            }
            check_operands(op, index, program).map_err(|reason| error(index, position, reason))?;
            let (popped, pushed) = stack_effect(op, program);
            let Some(remaining) = height.checked_sub(popped) else {
                return Err(error(index, position, "stack underflow"));
            };
            let height_after = remaining + pushed;
            if height_after > MAX_STACK {
                return Err(error(index, position, "stack overflow"));
            }
            match op {
                Op::Return if remaining != 0 => {
                    return Err(error(
                        index,
                        position,
                        "a return with further values on the stack",
                    ))
                }
                Op::Return => {}
                Op::Jump(target) => pending.push((target.into(), height_after)),
                Op::JumpIfNot(target) | Op::Next(_, _, target) => pending.extend([
                    (usize::from(target), height_after),
                    (position + 1, height_after),
                ]),
                _ => pending.push((position + 1, height_after)),
            }
        }
    }
    let hooks = program.hooks;
    let signatures = [
        (hooks.factor, 3),
        (hooks.cap, 1),
        (hooks.retry, 1),
        (hooks.exclude, 1),
        (hooks.turn, 0),
    ];
    for (hook, params) in signatures
        .into_iter()
        .filter_map(|(hook, params)| Some((usize::from(hook?), params)))
    {
        if program
            .functions
            .get(hook)
            .is_none_or(|function| function.params != params)
        {
            return Err(error(
                hook,
                0,
                "the function of a hook does not exist or has another number of parameters",
            ));
        }
    }
    Ok(())
}
