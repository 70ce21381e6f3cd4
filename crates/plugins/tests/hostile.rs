//! Texts that mean harm: each is refused with its faults, or runs within its bounds and harms nobody.

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
            .map(|n| Server::well(&format!("s-{n}"), if n % 2 == 0 { "a" } else { "b" }))
            .collect(),
        classes: vec![Class::plain("lookup"), Class::plain("refund-order")],
        zones: vec!["a".into(), "b".into()],
        fleet: Fleet::default(),
    }
}

fn text(body: &str) -> String {
    corpus::text("h", body)
}

fn turn(text: &str) -> Evaluation {
    let mut host = Host::default();
    host.load(&[("h".to_string(), text.to_string())])
        .unwrap_or_else(|refused| panic!("{refused:?}"));
    host.evaluate(&inputs())
}

/// Texts that are refused.
fn refused() -> Vec<String> {
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

/// What a person may wait for a text to be refused, far above what is measured.
const SOON: Duration = Duration::from_secs(20);

#[test]
fn the_corpus_is_large_enough() {
    assert!(STOPPED.len() + ADVISED.len() + refused().len() >= 60);
}

#[test]
fn what_can_not_be_meant_is_refused_with_its_place() {
    for text in refused() {
        let begun = Instant::now();
        let faults = compile(&text).expect_err(&text.chars().take(200).collect::<String>());
        assert!(!faults.is_empty() && faults.len() <= 4000);
        assert!(faults
            .iter()
            .all(|fault| fault.line >= 1 && !fault.to_string().contains('\n')));
        assert!(
            begun.elapsed() < SOON,
            "{:?}",
            text.chars().take(100).collect::<String>()
        );
        let rendered = faults[0].render("h", &text);
        assert!(!rendered.is_empty());
    }
}

#[test]
fn what_takes_too_much_is_stopped_and_gives_nothing() {
    for body in STOPPED {
        let begun = Instant::now();
        let turn = turn(&text(body));
        assert_eq!(turn.advice, Default::default(), "{body}");
        let stopped = turn
            .events
            .iter()
            .any(|(_, word)| matches!(word, PluginEvent::Faulted(_)));
        assert!(stopped, "{body}: {:?}", turn.events);
        assert!(begun.elapsed() < SOON, "{body}");
    }
}

#[test]
fn advice_stays_within_what_advice_may_be() {
    for body in ADVISED {
        let mut host = Host::default();
        host.load(&[("h".to_string(), text(body))])
            .expect("it compiles");
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

/// Danger: one that never ends takes the turns of those after it.
#[test]
fn a_hostile_plug_in_does_not_keep_others_from_being_heard() {
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
    host.load(&texts).expect("they compile");
    let begun = Instant::now();
    for _ in 0..10 {
        let turn = host.evaluate(&inputs());
        assert_eq!((turn.advice.caps.len(), turn.advice.factors.len()), (2, 0));
    }
    assert!(begun.elapsed() < SOON, "{:?}", begun.elapsed());
}

#[test]
fn one_that_behaves_and_then_does_not_is_left_alone() {
    let text = text("state n = 0\nhook turn() { n = n + 1 if n > 60 { for i in range(0, 1000000000) { } } }\nhook cap(class) { return 0.5 }");
    let mut host = Host::default();
    host.load(&[("h".to_string(), text)]).expect("it compiles");
    let heard = (0..400)
        .filter(|_| !host.evaluate(&inputs()).advice.caps.is_empty())
        .count();
    assert_eq!(heard, 60);
}

/// Programs that the compiler made, once for all tests.
fn sound() -> &'static [Program] {
    static SOUND: std::sync::OnceLock<Vec<Program>> = std::sync::OnceLock::new();
    SOUND.get_or_init(compiled)
}

fn compiled() -> Vec<Program> {
    let mut all: Vec<Program> = ADVISED
        .iter()
        .chain(&STOPPED)
        .map(|body| compile(&text(body)).expect("a program"))
        .collect();
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../plugins");
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let text = std::fs::read_to_string(entry.expect("a file").path()).expect("its text");
        all.push(compile(&text).expect("a program"));
    }
    all
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
    for (hook, values) in calls {
        if let Some(hook) = hook {
            // Whatever comes of it: it ends.
            let ended = machine.call(program, hook, &values, &mut context, 5_000);
            assert!(ended.is_ok() || ended.is_err());
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

    /// Any text: a program or faults, and no end of the program.
    #[test]
    fn any_text_is_read(text in "(plugin|hook|fn|state|let|if|else|for|in|return|case|expect|not|and|[a-z(){}\\[\\]=+*/.,:\"0-9 \n#-]){0,60}", whole in any::<bool>()) {
        let text = if whole { format!("plugin \"h\" version 1 host 1\n{text}") } else { text };
        match compile(&text) {
            Ok(program) => run(&program),
            Err(faults) => prop_assert!(!faults.is_empty()),
        }
    }

    /// A good text with some of it changed.
    #[test]
    fn mangled_texts_are_read(cut in any::<prop::sample::Index>(), drop in 0..30usize, put in "[(){}\\[\\]=+a-z0-9\" \n]{0,8}") {
        let text = include_str!("../../../plugins/canary.chute");
        let from = cut.index(text.len());
        let to = (from + drop).min(text.len());
        let (head, tail) = (text.get(..from).unwrap_or(""), text.get(to..).unwrap_or(""));
        if let Ok(program) = compile(&format!("{head}{put}{tail}")) {
            run(&program);
        }
    }

    /// Bytecode that was damaged after it was made: refused, or run to an end within its bounds.
    #[test]
    fn damaged_bytecode_is_refused_or_harmless(
        which in any::<prop::sample::Index>(),
        hits in proptest::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), op()), 1..6),
    ) {
        let all = sound();
        let mut program = all[which.index(all.len())].clone();
        for (function, place, op) in hits {
            let at = function.index(program.functions.len());
            let code = &mut program.functions[at].code;
            let place = place.index(code.len());
            code[place] = op;
        }
        if verify(&program).is_ok() {
            run(&program);
        }
        // And the machine alone, without the verifier before it, ends all the same.
        run(&program);
    }
}
