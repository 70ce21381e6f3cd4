//! The meaning of the hook language, its diagnostics, and the plug-ins in the repository.

use chutegrade_plugins::host::{Host, PluginEvent};
use chutegrade_plugins::inputs::{Class, Fleet, Inputs, Server};
use chutegrade_plugins::{cases, compile};

fn with_header(body: &str) -> String {
    format!("plugin \"p\" version 1 host 1\n{body}")
}

fn inputs() -> Inputs {
    Inputs {
        servers: vec![Server::healthy("s-1", "a"), Server::healthy("s-2", "b")],
        classes: vec![Class::idempotent("lookup"), Class::idempotent("order")],
        zones: vec!["a".into(), "b".into()],
        fleet: Fleet {
            demand: 100.0,
            ..Fleet::default()
        },
    }
}

fn host(texts: &[&str]) -> Host {
    let texts: Vec<(String, String)> = texts
        .iter()
        .enumerate()
        .map(|(n, text)| (format!("{n}.chute"), text.to_string()))
        .collect();
    let mut host = Host::default();
    host.load(&texts)
        .unwrap_or_else(|rejected| panic!("{rejected:#?}"));
    host
}

/// Asserts that a source gives exactly these diagnostics: line, column, and a part of the message.
fn assert_diagnostics(text: &str, expected: &[(usize, usize, &str)]) {
    let diagnostics = compile(text).expect_err(text);
    let messages: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    assert_eq!(diagnostics.len(), expected.len(), "{messages:#?}");
    for (diagnostic, (line, column, part)) in diagnostics.iter().zip(expected) {
        assert_eq!(
            (diagnostic.line, diagnostic.column),
            (*line, *column),
            "{diagnostic}"
        );
        assert!(
            diagnostic.message.contains(part) && !diagnostic.message.contains('\n'),
            "{diagnostic}"
        );
    }
}

/// Guards against a trace that changes the evaluation or grows without limit.
#[test]
fn a_trace_lists_operations_and_does_not_change_results() {
    let text = with_header(
        "fn half(x: number) -> number { return x / 2 }\n\
         hook factor(server, class, zone) { if server.name == \"s-2\" { return half(0.5) } return 1 }\n\
         hook exclude(server) { if server.name == \"s-2\" { for n in range(0, 700) { } } }",
    );
    let (mut plain, mut tracing) = (host(&[&text]), host(&[&text]));
    tracing.trace_server("s-2");
    let (untraced, traced) = (plain.evaluate(&inputs()), tracing.evaluate(&inputs()));
    assert_eq!(
        (&untraced.advice, &untraced.events, &untraced.fuel_used),
        (&traced.advice, &traced.events, &traced.fuel_used)
    );
    assert!(untraced.traces.is_empty());
    let traces: Vec<&Vec<String>> = traced.traces.iter().map(|(_, lines)| lines).collect();
    assert_eq!(traces.len(), 2, "one for each hook, only for that server");
    assert!(
        traces[0][0].starts_with("factor(server s-2"),
        "{:?}",
        traces[0]
    );
    assert!(
        traces[0]
            .iter()
            .any(|line| line.contains("half, line 2: Div on 2")),
        "{:?}",
        traces[0]
    );
    assert_eq!(
        traces[0].last().map(String::as_str),
        Some("  = 0.25"),
        "{:#?}",
        traces
    );
    assert!(
        traces[1]
            .iter()
            .any(|line| line.ends_with("more operations")),
        "{:?}",
        traces[1].last()
    );
    tracing.trace_server("nobody");
    assert!(tracing.evaluate(&inputs()).traces.is_empty());
}

#[test]
fn repository_plugins_pass_their_test_cases() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../plugins");
    let mut case_count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let path = entry.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("its source");
        let program = compile(&text)
            .unwrap_or_else(|diagnostics| panic!("{}: {diagnostics:#?}", path.display()));
        let outcomes = cases::run(&program);
        assert!(!outcomes.is_empty(), "{} has no cases", path.display());
        for (name, outcome) in outcomes {
            assert_eq!(outcome, Ok(()), "{}: {name}", path.display());
            case_count += 1;
        }
    }
    assert!(case_count >= 10, "{case_count} cases");
}

#[test]
fn diagnostics_give_position_what_was_found_and_what_is_expected() {
    assert_diagnostics(
        "",
        &[(1, 1, "found the end of the source, expected 'plugin'")],
    );
    assert_diagnostics("plugin 7", &[(1, 8, "found the number 7, expected a text")]);
    assert_diagnostics(
        "plugin \"p\" version 1 host 9",
        &[(1, 27, "requires host version 9, this host has version 1")],
    );
    assert_diagnostics(
        &with_header("hook factor(server) { return 1 }"),
        &[(
            2,
            6,
            "signature of this hook is factor(server, class, zone)",
        )],
    );
    assert_diagnostics(
        &with_header("hook speed() { }"),
        &[(
            2,
            6,
            "unknown hook \"speed\", expected factor, cap, retry, exclude or turn",
        )],
    );
    assert_diagnostics(
        &with_header("hook cap(class) { return class.color }"),
        &[(2, 32, "class has no field \"color\", expected name, effect")],
    );
    assert_diagnostics(
        &with_header("hook cap(class) { return true }"),
        &[(2, 26, "found a bool, expected a number")],
    );
    assert_diagnostics(
        &with_header("hook cap(class) { if class.name == \"x\" { return 1 } }"),
        &[(2, 6, "may end without a value")],
    );
    assert_diagnostics(
        &with_header("hook turn() { x = 1 }"),
        &[(2, 15, "no name \"x\": declare it with let")],
    );
    assert_diagnostics(
        &with_header("hook turn() { exclude(\"x\", 1) }"),
        &[(2, 15, "can be called only in the hook exclude(server)")],
    );
    assert_diagnostics(
        &with_header("hook turn() { let a = \"x\" - 1 }"),
        &[(2, 23, "found a text, expected a number")],
    );
    assert_diagnostics(
        &with_header("fn f(x) { } hook turn() { f(1) }"),
        &[(2, 6, "a parameter needs a type")],
    );
    assert_diagnostics(
        &with_header(
            "hook factor(server, class, zone) { if class.name == \"x\" { return 0 } return 1 }",
        ),
        &[(2, 39, "declare the classes that it steers")],
    );
    assert_diagnostics(
        &with_header("hook turn() { note(\"é\" + ) }"),
        &[(2, 26, "found ')', expected")],
    );
    assert_diagnostics(
        &with_header("hook turn() { let a = 1 ~ 2 }"),
        &[(2, 25, "found \"~\", which is not a token")],
    );
}

#[test]
fn several_errors_are_reported_at_once() {
    let text = with_header(
        "state a = \nhook turn() { b = 1 }\nstate c = ]\nhook cap(class) { return \"x\" }\n",
    );
    let lines: Vec<usize> = compile(&text)
        .expect_err("errors")
        .iter()
        .map(|diagnostic| diagnostic.line)
        .collect();
    assert_eq!(lines, [3, 4], "syntax errors");
    let text = with_header("hook turn() { b = 1 }\nhook cap(class) { return \"x\" }\n");
    let lines: Vec<usize> = compile(&text)
        .expect_err("errors")
        .iter()
        .map(|diagnostic| diagnostic.line)
        .collect();
    assert_eq!(lines, [2, 3], "name and type errors");
    let rendered = compile(&text).expect_err("errors")[0].render("p.chute", &text);
    assert!(
        rendered.contains("p.chute:2:15") && rendered.contains("b = 1"),
        "{rendered}"
    );
}

#[test]
fn a_function_can_call_only_earlier_functions() {
    assert_diagnostics(
        &with_header("fn f() -> number { return f() }"),
        &[(2, 27, "no function \"f\"")],
    );
    assert_diagnostics(
        &with_header("fn f() { g() }\nfn g() { }"),
        &[(2, 10, "no function \"g\"")],
    );
}

#[test]
fn advice_of_several_plugins_is_merged() {
    let first = "plugin \"one\" version 1 host 1\nhook factor(server, class, zone) { if server.zone == \"b\" { return 0.5 } return 1 }\nhook cap(class) { return 0.8 }";
    let second = "plugin \"two\" version 1 host 1\nsteers \"order\"\nhook factor(server, class, zone) { if class.name == \"order\" and zone == \"a\" { return 0.2 } return 1 }\nhook cap(class) { if class.name == \"order\" { return 0.3 } return 1 }\nhook retry(class) { return class.name != \"order\" }\nhook exclude(server) { if server.name == \"s-2\" { exclude(\"audit\", 60) } }";
    let evaluation = host(&[first, second]).evaluate(&inputs());
    let factors: Vec<_> = evaluation
        .advice
        .factors
        .iter()
        .map(|(key, factor)| (*key, *factor))
        .collect();
    let expected = vec![
        ((0, 0, Some(1)), 0.2),
        ((1, 0, None), 0.5),
        ((1, 0, Some(1)), 0.2),
        ((1, 1, None), 0.5),
    ];
    assert_eq!(factors, expected);
    assert_eq!(
        (evaluation.advice.caps[&0], evaluation.advice.caps[&1]),
        (0.8, 0.3)
    );
    assert_eq!(
        (
            evaluation.advice.no_retry.clone(),
            evaluation.advice.steered.clone()
        ),
        (vec![1], vec![1])
    );
    assert_eq!(evaluation.advice.excluded[&1], ("audit".to_string(), 60.0));
    let is_cap_conflict = |event: &PluginEvent| matches!(event, PluginEvent::Conflicted(text) if text.contains("the cap of order"));
    assert!(
        evaluation
            .events
            .iter()
            .any(|(name, event)| &**name == "two" && is_cap_conflict(event)),
        "{:?}",
        evaluation.events
    );
}

/// Operators need to find the plug-in and the line that gave an advice.
#[test]
fn new_and_ended_advice_is_reported_with_its_line() {
    let text = with_header("state n = 0\nhook turn() { n = n + 1 }\nhook cap(class) {\n    if n == 2 {\n        return 0.5\n    }\n    return 1\n}");
    let mut host = host(&[&text]);
    let mut events = || {
        host.evaluate(&inputs())
            .events
            .into_iter()
            .map(|(_, event)| event)
            .collect::<Vec<_>>()
    };
    assert_eq!(events(), []);
    let started = |class: &str| PluginEvent::AdviceStarted(format!("{class} is capped at 50 %"), 6);
    assert_eq!(events(), [started("lookup"), started("order")]);
    let ended = |class: &str| PluginEvent::AdviceEnded(format!("{class} is capped at 50 %"));
    assert_eq!(events(), [ended("lookup"), ended("order")]);
}

#[test]
fn advice_never_raises_a_weight_or_share() {
    let text = with_header("hook factor(server, class, zone) { return 50 }\nhook cap(class) { return 7 }\nhook retry(class) { return true }");
    assert_eq!(
        host(&[&text]).evaluate(&inputs()).advice,
        Default::default()
    );
    let below = with_header(
        "hook factor(server, class, zone) { return -3 }\nhook cap(class) { return -1 }",
    );
    let advice = host(&[&below]).evaluate(&inputs()).advice;
    assert!(advice
        .factors
        .values()
        .chain(advice.caps.values())
        .all(|value| *value == 0.0));
}

/// Guards against advice that outlasts the last evaluation without a fault, and against state changes of a faulty evaluation.
#[test]
fn a_faulting_plugin_gives_no_advice_and_is_suspended_with_backoff() {
    let text =
        with_header("state n = 0\nhook turn() { n = n + 1 if n > 2 { n = n / 0 } }\nhook cap(class) { return 0.5 }");
    let mut host = host(&[&text]);
    let mut suspensions = Vec::new();
    for turn in 1..=80 {
        let evaluation = host.evaluate(&inputs());
        let lengths: Vec<u64> = evaluation
            .events
            .iter()
            .filter_map(|(_, event)| {
                if let PluginEvent::Suspended(length) = event {
                    Some(*length)
                } else {
                    None
                }
            })
            .collect();
        suspensions.extend(lengths.into_iter().map(|length| (turn, length)));
        assert_eq!(evaluation.advice.caps.is_empty(), turn > 2, "turn {turn}");
    }
    assert_eq!(suspensions, [(5, 10), (16, 20), (37, 40), (78, 80)]);
    let faults = fault_texts(&text);
    assert!(
        faults.contains("division by zero in turn, line 3"),
        "{faults}"
    );
}

/// Returns the faults of the first three evaluations, as text.
fn fault_texts(text: &str) -> String {
    let mut host = host(&[text]);
    let mut faults = String::new();
    for _ in 0..3 {
        for (_, event) in host.evaluate(&inputs()).events {
            if let PluginEvent::Faulted(fault) = event {
                faults += &fault.to_string();
            }
        }
    }
    faults
}

#[test]
fn loading_is_atomic_and_keeps_compatible_state() {
    let counter = |version: u32, state: &str, cap: &str| {
        format!("plugin \"p\" version {version} host 1\nstate n = {state}\nstate m = mean(5)\nhook turn() {{ n = n + 1 }}\nhook cap(class) {{ return {cap} }}")
    };
    let mut host = host(&[&counter(1, "0", "0.9")]);
    (0..3).for_each(|_| assert_eq!(host.evaluate(&inputs()).advice.caps[&0], 0.9));
    let with_an_error = [
        ("p".to_string(), counter(2, "0", "n +")),
        (
            "q".to_string(),
            with_header("hook turn() { }").replace("\"p\"", "\"q\""),
        ),
    ];
    assert_eq!(
        host.load(&with_an_error)
            .expect_err("one has an error")
            .len(),
        1
    );
    assert_eq!(
        (host.len(), host.evaluate(&inputs()).advice.caps[&0]),
        (1, 0.9),
        "the loaded plug-in stays"
    );
    let next_version = [("p".to_string(), counter(3, "7", "n / 10"))];
    let identities = host.load(&next_version).expect("a valid source");
    assert_eq!((identities[0].0.as_str(), identities[0].1), ("p", 3));
    assert_eq!(
        host.evaluate(&inputs()).advice.caps[&0],
        0.5,
        "four evaluations before the load, and one after it"
    );
    let other_kind = [(
        "p".to_string(),
        counter(4, "\"text\"", "0.1").replace("n = n + 1", "n = \"x\""),
    )];
    host.load(&other_kind)
        .expect("state of another kind starts with its initial value");
    assert_eq!(host.evaluate(&inputs()).advice.caps[&0], 0.1);
}

#[test]
fn the_same_inputs_give_the_same_advice() {
    let text = with_header(
        "state n = 0\nhook turn() { n = random() }\nhook cap(class) { return n * random() }",
    );
    let run = || {
        let mut host = host(&[&text]);
        (0..20)
            .map(|_| host.evaluate(&inputs()))
            .collect::<Vec<_>>()
    };
    let (first, second) = (run(), run());
    assert_eq!(first, second);
    assert!(
        first.windows(2).any(|pair| pair[0] != pair[1]),
        "random numbers differ between evaluations"
    );
}

#[test]
fn means_decay_and_maps_keep_entries() {
    let text = with_header("state m = mean(1)\nstate seen = map\nhook turn() { m = 8 for server in fleet.servers { seen[server.name] = seen[server.name] + 1 } }\nhook cap(class) { return seen[\"s-1\"] / 100 + len(seen) / 10 + m / 1000 }");
    let mut host = host(&[&text]);
    host.evaluate(&inputs());
    let cap = host.evaluate(&inputs()).advice.caps[&0];
    assert!((cap - (0.02 + 0.2 + 0.008)).abs() < 1e-9, "{cap}");
}
