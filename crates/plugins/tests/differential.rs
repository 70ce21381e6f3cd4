//! The compiler and the machine against the plain walker of trees, over programs made at random.

use chutegrade_plugins::code::Value;
use chutegrade_plugins::inputs::{Class, Fleet, Inputs, Server};
use chutegrade_plugins::machine::{Context, Machine, Memory, Trap};
use chutegrade_plugins::walk::Walker;
use chutegrade_plugins::{compile, parse::parse};
use proptest::prelude::*;

fn inputs() -> Inputs {
    let mut servers = vec![
        Server::well("s-1", "a"),
        Server::well("s-2", "b"),
        Server::well("canary-3", "a"),
    ];
    servers[1].score = 0.25;
    let fleet = Fleet {
        strain: 0.5,
        demand: 120.0,
        ..Fleet::default()
    };
    Inputs {
        servers,
        classes: vec![Class::plain("lookup")],
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
    let (inner, condition) = (number(depth - 1), truth(depth - 1));
    prop_oneof![
        2 => leaf,
        2 => (inner.clone(), prop_oneof![Just("+"), Just("-"), Just("*"), Just("/"), Just("%")], inner.clone())
            .prop_map(|(l, op, r)| format!("({l} {op} {r})")),
        1 => (inner.clone(), prop_oneof![Just("+"), Just("-"), Just("*")], inner.clone()).prop_map(|(l, op, r)| format!("{l} {op} {r}")),
        1 => inner.clone().prop_map(|of| format!("-({of})")),
        1 => (inner.clone(), inner.clone()).prop_map(|(l, r)| format!("min({l}, {r})")),
        1 => (inner.clone(), inner).prop_map(|(l, r)| format!("f({l}, {r})")),
        1 => condition.prop_map(|of| format!("b({of})")),
    ]
    .boxed()
}

fn truth(depth: u32) -> BoxedStrategy<String> {
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
    let (inner, of) = (truth(depth - 1), number(depth - 1));
    prop_oneof![
        2 => leaf,
        2 => (of.clone(), prop_oneof![Just("<"), Just("<="), Just(">"), Just(">="), Just("=="), Just("!=")], of)
            .prop_map(|(l, op, r)| format!("({l} {op} {r})")),
        1 => (inner.clone(), prop_oneof![Just("and"), Just("or")], inner.clone()).prop_map(|(l, op, r)| format!("({l} {op} {r})")),
        1 => inner.prop_map(|of| format!("not ({of})")),
    ]
    .boxed()
}

fn statement(depth: u32) -> BoxedStrategy<String> {
    let leaf = prop_oneof![
        number(2).prop_map(|of| format!("a = {of}\n")),
        number(2).prop_map(|of| format!("n = {of}\n")),
        number(1).prop_map(|of| format!("w = {of}\n")),
        truth(2).prop_map(|of| format!("on = {of}\n")),
        number(1).prop_map(|of| format!("m[\"k\"] = {of}\n")),
        number(1).prop_map(|of| format!("let c = {of}\na = a + c\n")),
        Just("note(\"x\" + text(a))\n".to_string()),
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let block =
        || proptest::collection::vec(statement(depth - 1), 0..3).prop_map(|all| all.concat());
    prop_oneof![
        3 => leaf,
        1 => (truth(1), block(), block()).prop_map(|(of, yes, no)| format!("if {of} {{ {yes} }} else {{ {no} }}\n")),
        1 => (truth(1), block(), truth(1), block()).prop_map(|(one, a, two, b)| format!("if {one} {{ {a} }} else if {two} {{ {b} }}\n")),
        1 => (0..5u32, block()).prop_map(|(n, body)| format!("for i in range(0, {n}) {{ a = a + i\n{body} }}\n")),
        1 => block().prop_map(|body| format!("for s in fleet.servers {{ a = a + s.score\n{body} }}\n")),
        1 => (truth(1), number(1)).prop_map(|(of, gives)| format!("if {of} {{ return {gives} }}\n")),
    ]
    .boxed()
}

fn program() -> impl Strategy<Value = String> {
    (proptest::collection::vec(statement(2), 0..6), number(2)).prop_map(|(body, gives)| {
        let body = body.concat();
        format!(
            "plugin \"d\" version 1 host 1\nlet names = [\"s-1\", \"s-2\"]\nstate n = 3\nstate w = mean(4)\nstate on = true\nstate m = map\n\
             fn f(x: number, y: number) -> number {{ if x > y {{ return x - y }} for i in range(0, 3) {{ x = x + i }} return x }}\n\
             fn b(x: bool) -> number {{ if x {{ return 1 }} return 0 }}\n\
             hook factor(server, class, zone) {{\nlet a = 1\n{body}return {gives} }}\n"
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn bytecode_does_what_the_tree_says(text in program()) {
        let compiled = compile(&text).unwrap_or_else(|faults| panic!("{text}\n{faults:#?}"));
        let tree = parse(&text).expect("it compiled");
        let inputs = inputs();
        let values = [Value::Server(1), Value::Class(0), Value::Text("b".into())];
        let (mut one, mut two) = (Memory::new(&compiled), Memory::new(&compiled));
        let mut machine = Machine::default();
        for turn in 1..4 {
            one.fade();
            two.fade();
            let (mut fuel, mut plenty) = (u64::MAX, u64::MAX);
            let mut context = Context::new(&compiled, &inputs, &mut one, &mut fuel, turn);
            let hook = compiled.hooks.factor.expect("a hook");
            let ran = machine.call(&compiled, hook, &values, &mut context, 1_000_000).map_err(|stopped| stopped.trap);
            let left = context.effects;
            let mut context = Context::new(&compiled, &inputs, &mut two, &mut plenty, turn);
            let walked = Walker::new(&tree).hook("factor", &values, &mut context);
            prop_assert_ne!(&ran, &Err(Trap::Unsound));
            prop_assert_eq!(&ran, &walked, "{}", text);
            prop_assert_eq!(&left, &context.effects);
            prop_assert_eq!(&one, &two, "{}", text);
            if ran.is_err() {
                break;
            }
        }
    }
}
