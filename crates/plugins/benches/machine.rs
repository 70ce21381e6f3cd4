#![allow(missing_docs)]
//! A hook call, a turn of many plug-ins over a large fleet, bytecode against the walker, and loading.

use chutegrade_plugins::code::Value;
use chutegrade_plugins::inputs::{Class, Fleet, Inputs, Server};
use chutegrade_plugins::machine::{Context, Machine, Memory};
use chutegrade_plugins::walk::Walker;
use chutegrade_plugins::{compile, parse::parse, Host};
use criterion::{criterion_group, Criterion};

const AUDIT: &str = include_str!("../../../plugins/audit.chute");
const LOOP: &str = r#"plugin "loop" version 1 host 1
hook factor(server, class, zone) {
    let sum = 0
    for n in range(0, 100) {
        if n % 3 == 0 and n != 30 { sum = sum + n * 2 } else { sum = sum - 1 }
    }
    return clamp(sum / 100000, 0, 1)
}"#;

fn inputs(servers: usize) -> Inputs {
    let named = |n: usize| Server::well(&format!("s-{n:08x}"), ["a", "b"][n % 2]);
    Inputs {
        servers: (0..servers).map(named).collect(),
        classes: ["refund-order", "petition-file", "status-read"]
            .map(Class::plain)
            .into(),
        zones: vec!["a".into(), "b".into()],
        fleet: Fleet {
            demand: 900.0,
            ..Fleet::default()
        },
    }
}

fn calls(c: &mut Criterion) {
    let inputs = inputs(320);
    let values = [Value::Server(7), Value::Class(0), Value::Text("a".into())];
    for (name, text) in [("audit rule", AUDIT), ("loop of 100", LOOP)] {
        let program = compile(text).expect("a program");
        let plugin = parse(text).expect("a tree");
        let (mut memory, mut machine) = (Memory::new(&program), Machine::default());
        let mut group = c.benchmark_group(name);
        group.bench_function("bytecode", |b| {
            b.iter(|| {
                let mut fuel = u64::MAX;
                let mut context = Context::new(&program, &inputs, &mut memory, &mut fuel, 1);
                machine.call(
                    &program,
                    program.hooks.factor.expect("a hook"),
                    &values,
                    &mut context,
                    10_000,
                )
            })
        });
        group.bench_function("tree walker", |b| {
            b.iter(|| {
                let mut fuel = u64::MAX;
                let mut context = Context::new(&program, &inputs, &mut memory, &mut fuel, 1);
                Walker::new(&plugin).hook("factor", &values, &mut context)
            })
        });
        group.finish();
    }
}

fn turns(c: &mut Criterion) {
    let inputs = inputs(320);
    // Each steers all three classes and looks at every server.
    let eight: Vec<(String, String)> = (0..8)
        .map(|n| {
            let text = AUDIT.replace("\"audit\"", &format!("\"audit-{n}\""));
            let text = text.replace(
                "steers \"refund-order\"",
                "steers \"refund-order\", \"petition-file\", \"status-read\"",
            );
            (n.to_string(), text)
        })
        .collect();
    let mut host = Host::default();
    host.load(&eight).expect("plug-ins");
    let turn = host.evaluate(&inputs);
    assert!(turn.events.is_empty(), "{:?}", turn.events);
    c.bench_function("turn of 320 servers, 3 classes, 8 plug-ins", |b| {
        b.iter(|| host.evaluate(&inputs))
    });
    let hostile: Vec<(String, String)> = (0..8)
        .map(|n| {
            let text = format!("plugin \"hostile-{n}\" version 1 host 1\nhook factor(server, class, zone) {{ for n in range(0, 1000000000) {{ }} return 0 }}");
            (n.to_string(), text)
        })
        .collect();
    // Loaded anew for each turn: left alone for their faults they would cost nothing.
    c.bench_function("first turn of 320 servers, 8 endless plug-ins", |b| {
        b.iter_batched(
            || {
                let mut host = Host::default();
                host.load(&hostile).expect("plug-ins");
                host
            },
            |mut host| host.evaluate(&inputs),
            criterion::BatchSize::PerIteration,
        )
    });
    c.bench_function("load of the audit rule", |b| b.iter(|| compile(AUDIT)));
}

criterion_group!(benches, calls, turns);

/// Measures under `cargo bench` alone: as one of the targets of `cargo test` it is compiled, and a day of records is not
/// written.
fn main() {
    if std::env::args().any(|argument| argument == "--bench") {
        benches();
        Criterion::default().configure_from_args().final_summary();
    }
}
