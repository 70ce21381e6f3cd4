//! Hostile plug-ins are rejected with diagnostics, or run within their limits without affecting others.

mod corpus;

use std::time::{Duration, Instant};

use chutegrade_plugins::code::{Op, Program};
use chutegrade_plugins::host::{Host, PluginEvent};
use chutegrade_plugins::inputs::{Class, Fleet, Inputs, Server};
use chutegrade_plugins::machine::{Context, Machine, Memory};
use chutegrade_plugins::verify::verify;
use chutegrade_plugins::{compile, Evaluation};
use corpus::{ADVISED, STOPPED};
use proptest::prelude::*;

fn inputs() -> Inputs {
    Inputs {
        servers: (0..40)
            .map(|n| Server::healthy(&format!("s-{n}"), if n % 2 == 0 { "a" } else { "b" }))
            .collect(),
        classes: vec![
            Class::idempotent("lookup"),
            Class::idempotent("refund-order"),
        ],
        zones: vec!["a".into(), "b".into()],
        fleet: Fleet::default(),
    }
}

fn text(body: &str) -> String {
    corpus::text("h", body)
}

fn evaluate_once(text: &str) -> Evaluation {
    let mut host = Host::default();
    host.load(&[("h".to_string(), text.to_string())])
        .unwrap_or_else(|rejected| panic!("{rejected:?}"));
    host.evaluate(&inputs())
}

/// Sources that do not compile.
fn invalid_sources() -> Vec<String> {
    let deep = |open: &str, close: &str| {
        text(&format!(
            "hook cap(class) {{ return {}1{} }}",
            open.repeat(5000),
            close.repeat(5000)
        ))
    };
    let nested = format!("{}{}", "if true { ".repeat(2000), "} ".repeat(2000));
    let many = |part: &str| {
        text(
            &(0..2000)
                .map(|n| part.replace('@', &n.to_string()))
                .collect::<String>(),
        )
    };
    vec![
        String::new(),
        "\u{0}\u{1}\u{2}".to_string(),
        "🦀".repeat(2000),
        "plugin".repeat(5000),
        "x".repeat(3 << 20),
        "\"".to_string(),
        format!("plugin \"{}\" version 1 host 1", "n".repeat(60_000)),
        deep("(", ")"),
        deep("[", "]"),
        deep("min(1, ", ")"),
        deep("- ", ""),
        deep("not ", ""),
        text(&format!("hook turn() {{ {nested} }}")),
        text("hook turn() { while true { } }"),
        text("hook turn() { loop { } }"),
        text("fn f() { f() }\nhook turn() { f() }"),
        text("fn f() { g() }\nfn g() { f() }\nhook turn() { f() }"),
        text("hook turn() { turn() }"),
        text("hook retry(class) { return 2 }"),
        text("hook retry(class) { return \"twice\" }"),
        text("hook retry(class) { return }"),
        text("hook factor(server, class, zone) { server.weight = 9 return 1 }"),
        text("hook turn() { fleet.strain = 0 }"),
        text("hook turn() { fleet = 1 }"),
        text("hook turn() { let fleet = 1 }"),
        text("hook undrain(server) { return 1 }"),
        text("hook turn() { exclude(\"x\", 1) }"),
        text("hook turn() { open(\"/etc/passwd\") }"),
        text("hook turn() { let a = now() }"),
        text("state n = 1 / 0"),
        text("state n = mean(0)"),
        text("state n = mean(999999)"),
        text("let s = [1, \"a\"]"),
        text("let s = [[1]]"),
        text("hook turn() { let n = 99999999999999999999999999 }"),
        text("hook turn() { let n = 1e400 }"),
        text("hook turn() { let n = nan }"),
        text(&format!(
            "let s = [{}]",
            (0..3000).map(|n| format!("{n},")).collect::<String>()
        )),
        many("state s@ = 0\n"),
        many("fn f@() { }\n"),
        many("hook turn() { }\n"),
        format!(
            "{}hook turn() {{ {} }}",
            text(""),
            "note(\"x\") ".repeat(9000)
        ),
        "plugin \"h\" version 1.5 host 1".to_string(),
        "plugin \"h\" version 1 host 2".to_string(),
        text("hook cap(class) { return class }"),
        text("hook cap(class) { if 1 { return 1 } return 0 }"),
        text("case \"c\" { server.name = server }"),
        text("case \"c\" { planet = 1 }"),
        text("case \"c\" { expect speed == 1 }"),
    ]
}

/// Limit on the time that compiling or evaluating hostile plug-ins takes. It is far above the usual time, so that other load
/// on the machine does not fail a test.
const TIME_LIMIT: Duration = Duration::from_secs(20);

#[test]
fn the_corpus_is_large_enough() {
    assert!(STOPPED.len() + ADVISED.len() + invalid_sources().len() >= 60);
}

#[test]
fn invalid_sources_are_rejected_with_positions() {
    for text in invalid_sources() {
        let start = Instant::now();
        let diagnostics = compile(&text).expect_err(&text.chars().take(200).collect::<String>());
        assert!(!diagnostics.is_empty() && diagnostics.len() <= 4000);
        assert!(diagnostics
            .iter()
            .all(|diagnostic| diagnostic.line >= 1 && !diagnostic.to_string().contains('\n')));
        assert!(
            start.elapsed() < TIME_LIMIT,
            "{:?}",
            text.chars().take(100).collect::<String>()
        );
        let rendered = diagnostics[0].render("h", &text);
        assert!(!rendered.is_empty());
    }
}

#[test]
fn plugins_that_exceed_a_limit_fault_without_advice() {
    for body in STOPPED {
        let start = Instant::now();
        let evaluation = evaluate_once(&text(body));
        assert_eq!(evaluation.advice, Default::default(), "{body}");
        let faulted = evaluation
            .events
            .iter()
            .any(|(_, event)| matches!(event, PluginEvent::Faulted(_)));
        assert!(faulted, "{body}: {:?}", evaluation.events);
        assert!(start.elapsed() < TIME_LIMIT, "{body}");
    }
}

#[test]
fn extreme_advice_is_limited() {
    for body in ADVISED {
        let mut host = Host::default();
        host.load(&[("h".to_string(), text(body))])
            .expect("a valid source");
        for _ in 0..5 {
            let advice = host.evaluate(&inputs()).advice;
            assert!(
                advice
                    .factors
                    .values()
                    .chain(advice.caps.values())
                    .all(|value| (0.0..1.0).contains(value)),
                "{body}"
            );
            assert!(
                advice
                    .excluded
                    .values()
                    .all(|(_, seconds)| (0.0..=3600.0).contains(seconds)),
                "{body}"
            );
            assert!(advice.no_retry.is_empty(), "{body}");
        }
    }
}

/// Guards against a plug-in with an endless loop that keeps later ones from being evaluated.
#[test]
fn hostile_plugins_do_not_suppress_advice_of_others() {
    let good = "plugin \"good\" version 1 host 1\nhook cap(class) { return 0.5 }";
    let mut texts: Vec<(String, String)> = STOPPED
        .iter()
        .enumerate()
        .map(|(n, body)| {
            (
                n.to_string(),
                text(body).replace("\"h\"", &format!("\"h{n}\"")),
            )
        })
        .collect();
    texts.push(("good".to_string(), good.to_string()));
    let mut host = Host::default();
    host.load(&texts).expect("valid sources");
    let start = Instant::now();
    for _ in 0..10 {
        let advice = host.evaluate(&inputs()).advice;
        assert_eq!((advice.caps.len(), advice.factors.len()), (2, 0));
    }
    assert!(start.elapsed() < TIME_LIMIT, "{:?}", start.elapsed());
}

#[test]
fn a_plugin_that_faults_later_is_suspended() {
    let text = text("state n = 0\nhook turn() { n = n + 1 if n > 60 { for i in range(0, 1000000000) { } } }\nhook cap(class) { return 0.5 }");
    let mut host = Host::default();
    host.load(&[("h".to_string(), text)])
        .expect("a valid source");
    let with_advice = (0..400)
        .filter(|_| !host.evaluate(&inputs()).advice.caps.is_empty())
        .count();
    assert_eq!(with_advice, 60);
}

/// Returns valid programs, compiled once for all tests.
fn valid_programs() -> &'static [Program] {
    static PROGRAMS: std::sync::OnceLock<Vec<Program>> = std::sync::OnceLock::new();
    PROGRAMS.get_or_init(compile_all)
}

fn compile_all() -> Vec<Program> {
    let mut programs: Vec<Program> = ADVISED
        .iter()
        .chain(&STOPPED)
        .map(|body| compile(&text(body)).expect("a program"))
        .collect();
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../plugins");
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let text = std::fs::read_to_string(entry.expect("a file").path()).expect("its source");
        programs.push(compile(&text).expect("a program"));
    }
    programs
}

fn run(program: &Program) {
    let inputs = inputs();
    let (mut memory, mut machine, mut fuel) = (Memory::new(program), Machine::default(), 20_000);
    let mut context = Context::new(program, &inputs, &mut memory, &mut fuel, 3);
    let zone = chutegrade_plugins::code::Value::Text("a".into());
    let (server, class) = (
        chutegrade_plugins::code::Value::Server(1),
        chutegrade_plugins::code::Value::Class(0),
    );
    let hooks = program.hooks;
    let calls = [
        (hooks.turn, vec![]),
        (hooks.factor, vec![server.clone(), class.clone(), zone]),
        (hooks.cap, vec![class.clone()]),
        (hooks.retry, vec![class]),
        (hooks.exclude, vec![server]),
    ];
    for (hook, arguments) in calls {
        if let Some(hook) = hook {
            // Any result is fine; the call has to terminate without a panic.
            let result = machine.call(program, hook, &arguments, &mut context, 5_000);
            assert!(result.is_ok() || result.is_err());
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        any::<u16>().prop_map(|n| Op::Const(n % 20)),
        any::<u8>().prop_map(|n| Op::Load(n % 8)),
        any::<u8>().prop_map(|n| Op::Store(n % 8)),
        any::<u8>().prop_map(|n| Op::StoreState(n % 4)),
        any::<u8>().prop_map(|n| Op::MapPut(n % 4)),
        any::<u16>().prop_map(|n| Op::Jump(n % 40)),
        any::<u16>().prop_map(|n| Op::JumpIfNot(n % 40)),
        any::<u8>().prop_map(|n| Op::Call(n % 6)),
        any::<u8>().prop_map(|n| Op::Each(n % 3)),
        (any::<u8>(), any::<u8>(), any::<u16>()).prop_map(|(a, b, c)| Op::Next(
            a % 3,
            b % 8,
            c % 40
        )),
        Just(Op::Add),
        Just(Op::Join),
        Just(Op::Eq),
        Just(Op::In),
        Just(Op::Not),
        Just(Op::Pop),
        Just(Op::Return),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against panics and endless loops: any source gives a program that terminates, or diagnostics.
    #[test]
    fn any_source_compiles_or_gives_diagnostics(text in "(plugin|hook|fn|state|let|if|else|for|in|return|case|expect|not|and|[a-z(){}\\[\\]=+*/.,:\"0-9 \n#-]){0,60}", has_header in any::<bool>()) {
        let text = if has_header { format!("plugin \"h\" version 1 host 1\n{text}") } else { text };
        match compile(&text) {
            Ok(program) => run(&program),
            Err(diagnostics) => prop_assert!(!diagnostics.is_empty()),
        }
    }

    /// Guards against panics on a valid source with a part replaced.
    #[test]
    fn damaged_sources_compile_or_are_rejected(cut in any::<prop::sample::Index>(), removed in 0..30usize, inserted in "[(){}\\[\\]=+a-z0-9\" \n]{0,8}") {
        let text = include_str!("../../../plugins/canary.chute");
        let from = cut.index(text.len());
        let to = (from + removed).min(text.len());
        let (head, tail) = (text.get(..from).unwrap_or(""), text.get(to..).unwrap_or(""));
        if let Ok(program) = compile(&format!("{head}{inserted}{tail}")) {
            run(&program);
        }
    }

    /// Damaged bytecode is rejected by the verifier, or terminates within its limits.
    #[test]
    fn damaged_bytecode_is_rejected_or_terminates(
        program_index in any::<prop::sample::Index>(),
        replacements in proptest::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), op()), 1..6),
    ) {
        let programs = valid_programs();
        let mut program = programs[program_index.index(programs.len())].clone();
        for (function, operation, op) in replacements {
            let function = function.index(program.functions.len());
            let code = &mut program.functions[function].code;
            let operation = operation.index(code.len());
            code[operation] = op;
        }
        if verify(&program).is_ok() {
            run(&program);
        }
        // The virtual machine terminates even on bytecode that the verifier rejects.
        run(&program);
    }
}
