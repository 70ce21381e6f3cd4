//! Differential test: random programs give the same results as bytecode and in the tree-walking interpreter.

use chutegrade_plugins::code::Value;
use chutegrade_plugins::inputs::{Class, Fleet, Inputs, Server};
use chutegrade_plugins::machine::{Context, Machine, Memory, Trap};
use chutegrade_plugins::walk::Walker;
use chutegrade_plugins::{compile, parse::parse};
use proptest::prelude::*;

fn inputs() -> Inputs {
    let mut servers = vec![
        Server::healthy("s-1", "a"),
        Server::healthy("s-2", "b"),
        Server::healthy("canary-3", "a"),
    ];
    servers[1].score = 0.25;
    let fleet = Fleet {
        saturation: 0.5,
        demand: 120.0,
        ..Fleet::default()
    };
    Inputs {
        servers,
        classes: vec![Class::idempotent("lookup")],
        zones: vec!["a".into(), "b".into()],
        fleet,
    }
}

fn number(depth: u32) -> BoxedStrategy<String> {
    let leaf = prop_oneof![
        (0..100u32).prop_map(|n| n.to_string()),
        (0..1000u32).prop_map(|n| format!("{}.{}", n / 10, n % 10)),
        Just("n".to_string()),
        Just("a".to_string()),
        Just("w".to_string()),
        Just("fleet.strain".to_string()),
        Just("server.score".to_string()),
        Just("m[\"k\"]".to_string()),
        Just("len(m)".to_string()),
        Just("len(server.name)".to_string()),
        Just("random()".to_string()),
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let (inner, condition) = (number(depth - 1), condition(depth - 1));
    prop_oneof![
        2 => leaf,
        2 => (inner.clone(), prop_oneof![Just("+"), Just("-"), Just("*"), Just("/"), Just("%")], inner.clone())
            .prop_map(|(left, op, right)| format!("({left} {op} {right})")),
        1 => (inner.clone(), prop_oneof![Just("+"), Just("-"), Just("*")], inner.clone()).prop_map(|(left, op, right)| format!("{left} {op} {right}")),
        1 => inner.clone().prop_map(|operand| format!("-({operand})")),
        1 => (inner.clone(), inner.clone()).prop_map(|(left, right)| format!("min({left}, {right})")),
        1 => (inner.clone(), inner).prop_map(|(left, right)| format!("f({left}, {right})")),
        1 => condition.prop_map(|argument| format!("b({argument})")),
    ]
    .boxed()
}

fn condition(depth: u32) -> BoxedStrategy<String> {
    let leaf = prop_oneof![
        Just("true".to_string()),
        Just("false".to_string()),
        Just("on".to_string()),
        Just("server.name in names".to_string()),
        Just("server.zone == zone".to_string()),
        Just("starts(server.name, \"s\" + \"-\")".to_string()),
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let (inner, operand) = (condition(depth - 1), number(depth - 1));
    prop_oneof![
        2 => leaf,
        2 => (operand.clone(), prop_oneof![Just("<"), Just("<="), Just(">"), Just(">="), Just("=="), Just("!=")], operand)
            .prop_map(|(left, op, right)| format!("({left} {op} {right})")),
        1 => (inner.clone(), prop_oneof![Just("and"), Just("or")], inner.clone()).prop_map(|(left, op, right)| format!("({left} {op} {right})")),
        1 => inner.prop_map(|operand| format!("not ({operand})")),
    ]
    .boxed()
}

fn statement(depth: u32) -> BoxedStrategy<String> {
    let leaf = prop_oneof![
        number(2).prop_map(|value| format!("a = {value}\n")),
        number(2).prop_map(|value| format!("n = {value}\n")),
        number(1).prop_map(|value| format!("w = {value}\n")),
        condition(2).prop_map(|value| format!("on = {value}\n")),
        number(1).prop_map(|value| format!("m[\"k\"] = {value}\n")),
        number(1).prop_map(|value| format!("let c = {value}\na = a + c\n")),
        Just("note(\"x\" + text(a))\n".to_string()),
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let block = || {
        proptest::collection::vec(statement(depth - 1), 0..3)
            .prop_map(|statements| statements.concat())
    };
    prop_oneof![
        3 => leaf,
        1 => (condition(1), block(), block()).prop_map(|(condition, yes, no)| format!("if {condition} {{ {yes} }} else {{ {no} }}\n")),
        1 => (condition(1), block(), condition(1), block()).prop_map(|(first, yes, second, no)| format!("if {first} {{ {yes} }} else if {second} {{ {no} }}\n")),
        1 => (0..5u32, block()).prop_map(|(n, body)| format!("for i in range(0, {n}) {{ a = a + i\n{body} }}\n")),
        1 => block().prop_map(|body| format!("for s in fleet.servers {{ a = a + s.score\n{body} }}\n")),
        1 => (condition(1), number(1)).prop_map(|(condition, result)| format!("if {condition} {{ return {result} }}\n")),
    ]
    .boxed()
}

fn program() -> impl Strategy<Value = String> {
    (proptest::collection::vec(statement(2), 0..6), number(2)).prop_map(|(body, result)| {
        let body = body.concat();
        format!(
            "plugin \"d\" version 1 host 1\nlet names = [\"s-1\", \"s-2\"]\nstate n = 3\nstate w = mean(4)\nstate on = true\nstate m = map\n\
             fn f(x: number, y: number) -> number {{ if x > y {{ return x - y }} for i in range(0, 3) {{ x = x + i }} return x }}\n\
             fn b(x: bool) -> number {{ if x {{ return 1 }} return 0 }}\n\
             hook factor(server, class, zone) {{\nlet a = 1\n{body}return {result} }}\n"
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn bytecode_and_interpreter_agree(source in program()) {
        let compiled = compile(&source).unwrap_or_else(|diagnostics| panic!("{source}\n{diagnostics:#?}"));
        let tree = parse(&source).expect("a source that compiles");
        let inputs = inputs();
        let arguments = [Value::Server(1), Value::Class(0), Value::Text("b".into())];
        let (mut machine_memory, mut walker_memory) = (Memory::new(&compiled), Memory::new(&compiled));
        let mut machine = Machine::default();
        for turn in 1..4 {
            machine_memory.decay();
            walker_memory.decay();
            let (mut machine_fuel, mut walker_fuel) = (u64::MAX, u64::MAX);
            let mut context = Context::new(&compiled, &inputs, &mut machine_memory, &mut machine_fuel, turn);
            let hook = compiled.hooks.factor.expect("a hook");
            let machine_result = machine.call(&compiled, hook, &arguments, &mut context, 1_000_000).map_err(|fault| fault.trap);
            let machine_effects = context.effects;
            let mut context = Context::new(&compiled, &inputs, &mut walker_memory, &mut walker_fuel, turn);
            let walker_result = Walker::new(&tree).call_hook("factor", &arguments, &mut context);
            prop_assert_ne!(&machine_result, &Err(Trap::InvalidBytecode));
            prop_assert_eq!(&machine_result, &walker_result, "{}", source);
            prop_assert_eq!(&machine_effects, &context.effects);
            prop_assert_eq!(&machine_memory, &walker_memory, "{}", source);
            if machine_result.is_err() {
                break;
            }
        }
    }
}
