#![allow(missing_docs)]
//! Benchmarks of a hook call as bytecode and in the tree-walking interpreter, of evaluations over a large fleet, and of
//! loading.

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

fn inputs(server_count: usize) -> Inputs {
    let server = |n: usize| Server::healthy(&format!("s-{n:08x}"), ["a", "b"][n % 2]);
    Inputs {
        servers: (0..server_count).map(server).collect(),
        classes: ["refund-order", "petition-file", "status-read"]
            .map(Class::idempotent)
            .into(),
        zones: vec!["a".into(), "b".into()],
        fleet: Fleet {
            demand: 900.0,
            ..Fleet::default()
        },
    }
}

fn hook_calls(c: &mut Criterion) {
    let inputs = inputs(320);
    let arguments = [Value::Server(7), Value::Class(0), Value::Text("a".into())];
    for (name, text) in [("audit rule", AUDIT), ("loop of 100", LOOP)] {
        let program = compile(text).expect("a program");
        let plugin = parse(text).expect("a syntax tree");
        let (mut memory, mut machine) = (Memory::new(&program), Machine::default());
        let mut group = c.benchmark_group(name);
        group.bench_function("bytecode", |b| {
            b.iter(|| {
                let mut fuel = u64::MAX;
                let mut context = Context::new(&program, &inputs, &mut memory, &mut fuel, 1);
                machine.call(
                    &program,
                    program.hooks.factor.expect("a hook"),
                    &arguments,
                    &mut context,
                    10_000,
                )
            })
        });
        group.bench_function("tree walker", |b| {
            b.iter(|| {
                let mut fuel = u64::MAX;
                let mut context = Context::new(&program, &inputs, &mut memory, &mut fuel, 1);
                Walker::new(&plugin).call_hook("factor", &arguments, &mut context)
            })
        });
        group.finish();
    }
}

fn evaluations(c: &mut Criterion) {
    let inputs = inputs(320);
    // Each steers all three classes and checks every server.
    let audits: Vec<(String, String)> = (0..8)
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
    host.load(&audits).expect("plug-ins");
    let evaluation = host.evaluate(&inputs);
    assert!(evaluation.events.is_empty(), "{:?}", evaluation.events);
    c.bench_function("evaluation of 320 servers, 3 classes, 8 plug-ins", |b| {
        b.iter(|| host.evaluate(&inputs))
    });
    let hostile: Vec<(String, String)> = (0..8)
        .map(|n| {
            let text = format!("plugin \"hostile-{n}\" version 1 host 1\nhook factor(server, class, zone) {{ for n in range(0, 1000000000) {{ }} return 0 }}");
            (n.to_string(), text)
        })
        .collect();
    // Loaded again for each evaluation: after a few faults they would be suspended and cost nothing.
    c.bench_function("first evaluation of 320 servers, 8 endless plug-ins", |b| {
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

criterion_group!(benches, hook_calls, evaluations);

/// Measures only under `cargo bench`; as a target of `cargo test` it is only compiled.
fn main() {
    if std::env::args().any(|argument| argument == "--bench") {
        benches();
        Criterion::default().configure_from_args().final_summary();
    }
}
