//! What texts mean, what is told of faults, and that the plug-ins of the repository do what they say.

use chutegrade_plugins::host::{Host, PluginEvent};
use chutegrade_plugins::inputs::{Class, Fleet, Inputs, Server};
use chutegrade_plugins::{cases, compile};

fn head(body: &str) -> String {
    format!("plugin \"p\" version 1 host 1\n{body}")
}

fn inputs() -> Inputs {
    Inputs {
        servers: vec![Server::well("s-1", "a"), Server::well("s-2", "b")],
        classes: vec![Class::plain("lookup"), Class::plain("order")],
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
        .unwrap_or_else(|refused| panic!("{refused:#?}"));
    host
}

fn says(text: &str, wanted: &[(usize, usize, &str)]) {
    let faults = compile(text).expect_err(text);
    let told: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(faults.len(), wanted.len(), "{told:#?}");
    for (fault, (line, column, words)) in faults.iter().zip(wanted) {
        assert_eq!((fault.line, fault.column), (*line, *column), "{fault}");
        assert!(
            fault.text.contains(words) && !fault.text.contains('\n'),
            "{fault}"
        );
    }
}

/// Danger: a trace that changes what it shows, or that has no end.
#[test]
fn a_trace_tells_each_operation_and_changes_nothing() {
    let text = head(
        "fn half(x: number) -> number { return x / 2 }\n\
         hook factor(server, class, zone) { if server.name == \"s-2\" { return half(0.5) } return 1 }\n\
         hook exclude(server) { if server.name == \"s-2\" { for n in range(0, 700) { } } }",
    );
    let (mut plain, mut watching) = (host(&[&text]), host(&[&text]));
    watching.trace_server("s-2");
    let (one, other) = (plain.evaluate(&inputs()), watching.evaluate(&inputs()));
    assert_eq!(
        (&one.advice, &one.events, &one.fuel_used),
        (&other.advice, &other.events, &other.fuel_used)
    );
    assert!(one.traces.is_empty());
    let told: Vec<&Vec<String>> = other.traces.iter().map(|(_, lines)| lines).collect();
    assert_eq!(told.len(), 2, "one of each hook, of that server alone");
    assert!(told[0][0].starts_with("factor(server s-2"), "{:?}", told[0]);
    assert!(
        told[0]
            .iter()
            .any(|line| line.contains("half, line 2: Div on 2")),
        "{:?}",
        told[0]
    );
    assert_eq!(
        told[0].last().map(String::as_str),
        Some("  = 0.25"),
        "{:#?}",
        told
    );
    assert!(
        told[1].iter().any(|line| line.ends_with("operations more")),
        "{:?}",
        told[1].last()
    );
    watching.trace_server("nobody");
    assert!(watching.evaluate(&inputs()).traces.is_empty());
}

#[test]
fn the_plug_ins_of_the_repository_hold_their_own_cases() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../plugins");
    let mut seen = 0;
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let path = entry.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("its text");
        let program =
            compile(&text).unwrap_or_else(|faults| panic!("{}: {faults:#?}", path.display()));
        let outcomes = cases::run(&program);
        assert!(!outcomes.is_empty(), "{} has no cases", path.display());
        for (name, outcome) in outcomes {
            assert_eq!(outcome, Ok(()), "{}: {name}", path.display());
            seen += 1;
        }
    }
    assert!(seen >= 10, "{seen} cases");
}

#[test]
fn faults_tell_line_column_what_was_found_and_what_is_expected() {
    says(
        "",
        &[(1, 1, "found the end of the text, expected 'plugin'")],
    );
    says("plugin 7", &[(1, 8, "found the number 7, expected a text")]);
    says(
        "plugin \"p\" version 1 host 9",
        &[(1, 27, "it needs host 9, this is 1")],
    );
    says(
        &head("hook factor(server) { return 1 }"),
        &[(2, 6, "written factor(server, class, zone)")],
    );
    says(
        &head("hook speed() { }"),
        &[(
            2,
            6,
            "no hook \"speed\": factor, cap, retry, exclude or turn",
        )],
    );
    says(
        &head("hook cap(class) { return class.color }"),
        &[(2, 32, "class has no field \"color\": name, effect")],
    );
    says(
        &head("hook cap(class) { return true }"),
        &[(2, 26, "found a bool, expected a number")],
    );
    says(
        &head("hook cap(class) { if class.name == \"x\" { return 1 } }"),
        &[(2, 6, "may end without a value")],
    );
    says(
        &head("hook turn() { x = 1 }"),
        &[(2, 15, "no name \"x\": let makes one")],
    );
    says(
        &head("hook turn() { exclude(\"x\", 1) }"),
        &[(2, 15, "called in the hook exclude(server) alone")],
    );
    says(
        &head("hook turn() { let a = \"x\" - 1 }"),
        &[(2, 23, "found a text, expected a number")],
    );
    says(
        &head("fn f(x) { } hook turn() { f(1) }"),
        &[(2, 6, "a parameter needs a type")],
    );
    says(
        &head("hook factor(server, class, zone) { if class.name == \"x\" { return 0 } return 1 }"),
        &[(2, 39, "say which it steers")],
    );
    says(
        &head("hook turn() { note(\"é\" + ) }"),
        &[(2, 26, "found ')', expected")],
    );
    says(
        &head("hook turn() { let a = 1 ~ 2 }"),
        &[(2, 25, "found \"~\", which begins no word")],
    );
}

#[test]
fn several_faults_are_told_at_once() {
    let text =
        head("state a = \nhook turn() { b = 1 }\nstate c = ]\nhook cap(class) { return \"x\" }\n");
    let lines: Vec<usize> = compile(&text)
        .expect_err("faults")
        .iter()
        .map(|fault| fault.line)
        .collect();
    assert_eq!(lines, [3, 4], "what cannot be read");
    let text = head("hook turn() { b = 1 }\nhook cap(class) { return \"x\" }\n");
    let lines: Vec<usize> = compile(&text)
        .expect_err("faults")
        .iter()
        .map(|fault| fault.line)
        .collect();
    assert_eq!(lines, [2, 3], "what cannot be meant");
    let shown = compile(&text).expect_err("faults")[0].render("p.chute", &text);
    assert!(
        shown.contains("p.chute:2:15") && shown.contains("b = 1"),
        "{shown}"
    );
}

#[test]
fn a_function_calls_only_those_before_it() {
    says(
        &head("fn f() -> number { return f() }"),
        &[(2, 27, "no function \"f\"")],
    );
    says(
        &head("fn f() { g() }\nfn g() { }"),
        &[(2, 10, "no function \"g\"")],
    );
}

#[test]
fn hooks_are_asked_and_their_advice_composed() {
    let first = "plugin \"one\" version 1 host 1\nhook factor(server, class, zone) { if server.zone == \"b\" { return 0.5 } return 1 }\nhook cap(class) { return 0.8 }";
    let second = "plugin \"two\" version 1 host 1\nsteers \"order\"\nhook factor(server, class, zone) { if class.name == \"order\" and zone == \"a\" { return 0.2 } return 1 }\nhook cap(class) { if class.name == \"order\" { return 0.3 } return 1 }\nhook retry(class) { return class.name != \"order\" }\nhook exclude(server) { if server.name == \"s-2\" { exclude(\"audit\", 60) } }";
    let turn = host(&[first, second]).evaluate(&inputs());
    let factors: Vec<_> = turn
        .advice
        .factors
        .iter()
        .map(|(of, factor)| (*of, *factor))
        .collect();
    let wanted = vec![
        ((0, 0, Some(1)), 0.2),
        ((1, 0, None), 0.5),
        ((1, 0, Some(1)), 0.2),
        ((1, 1, None), 0.5),
    ];
    assert_eq!(factors, wanted);
    assert_eq!((turn.advice.caps[&0], turn.advice.caps[&1]), (0.8, 0.3));
    assert_eq!(
        (turn.advice.no_retry.clone(), turn.advice.steered.clone()),
        (vec![1], vec![1])
    );
    assert_eq!(turn.advice.excluded[&1], ("audit".to_string(), 60.0));
    let differs = |word: &PluginEvent| matches!(word, PluginEvent::Conflicted(words) if words.contains("the cap of order"));
    assert!(
        turn.events
            .iter()
            .any(|(name, word)| &**name == "two" && differs(word)),
        "{:?}",
        turn.events
    );
}

/// What operators ask first: which rule says so, and where.
#[test]
fn new_and_ended_advice_is_told_with_its_line() {
    let text = head("state n = 0\nhook turn() { n = n + 1 }\nhook cap(class) {\n    if n == 2 {\n        return 0.5\n    }\n    return 1\n}");
    let mut host = host(&[&text]);
    let mut words = || {
        host.evaluate(&inputs())
            .events
            .into_iter()
            .map(|(_, word)| word)
            .collect::<Vec<_>>()
    };
    assert_eq!(words(), []);
    let told = |class: &str| PluginEvent::AdviceStarted(format!("{class} is capped at 50 %"), 6);
    assert_eq!(words(), [told("lookup"), told("order")]);
    let ended = |class: &str| PluginEvent::AdviceEnded(format!("{class} is capped at 50 %"));
    assert_eq!(words(), [ended("lookup"), ended("order")]);
}

#[test]
fn advice_never_favours() {
    let text = head("hook factor(server, class, zone) { return 50 }\nhook cap(class) { return 7 }\nhook retry(class) { return true }");
    assert_eq!(
        host(&[&text]).evaluate(&inputs()).advice,
        Default::default()
    );
    let below =
        head("hook factor(server, class, zone) { return -3 }\nhook cap(class) { return -1 }");
    let advice = host(&[&below]).evaluate(&inputs()).advice;
    assert!(advice
        .factors
        .values()
        .chain(advice.caps.values())
        .all(|value| *value == 0.0));
}

/// Danger: a plug-in that faults keeps steering by what it said when it was well.
#[test]
fn a_fault_is_neutral_undone_and_paused_for_growing_times() {
    let text =
        head("state n = 0\nhook turn() { n = n + 1 if n > 2 { n = n / 0 } }\nhook cap(class) { return 0.5 }");
    let mut host = host(&[&text]);
    let mut log = Vec::new();
    for turn in 1..=80 {
        let given = host.evaluate(&inputs());
        let pauses: Vec<u64> = given
            .events
            .iter()
            .filter_map(|(_, word)| {
                if let PluginEvent::Suspended(n) = word {
                    Some(*n)
                } else {
                    None
                }
            })
            .collect();
        log.extend(pauses.into_iter().map(|length| (turn, length)));
        assert_eq!(given.advice.caps.is_empty(), turn > 2, "turn {turn}");
    }
    assert_eq!(log, [(5, 10), (16, 20), (37, 40), (78, 80)]);
    let words = host_words(&text);
    assert!(
        words.contains("a division by zero in turn, line 3"),
        "{words}"
    );
}

fn host_words(text: &str) -> String {
    let mut host = host(&[text]);
    let mut all = String::new();
    for _ in 0..3 {
        for (_, word) in host.evaluate(&inputs()).events {
            if let PluginEvent::Faulted(stopped) = word {
                all += &stopped.to_string();
            }
        }
    }
    all
}

#[test]
fn a_new_text_is_taken_whole_or_not_at_all_and_state_goes_on_in_the_same_shape() {
    let counts = |version: u32, state: &str, cap: &str| {
        format!("plugin \"p\" version {version} host 1\nstate n = {state}\nstate m = mean(5)\nhook turn() {{ n = n + 1 }}\nhook cap(class) {{ return {cap} }}")
    };
    let mut host = host(&[&counts(1, "0", "0.9")]);
    (0..3).for_each(|_| assert_eq!(host.evaluate(&inputs()).advice.caps[&0], 0.9));
    let bad = [
        ("p".to_string(), counts(2, "0", "n +")),
        (
            "q".to_string(),
            head("hook turn() { }").replace("\"p\"", "\"q\""),
        ),
    ];
    assert_eq!(host.load(&bad).expect_err("one is wrong").len(), 1);
    assert_eq!(
        (host.len(), host.evaluate(&inputs()).advice.caps[&0]),
        (1, 0.9),
        "the old one holds"
    );
    let shares = [("p".to_string(), counts(3, "7", "n / 10"))];
    let told = host.load(&shares).expect("it is right");
    assert_eq!((told[0].0.as_str(), told[0].1), ("p", 3));
    assert_eq!(
        host.evaluate(&inputs()).advice.caps[&0],
        0.5,
        "it counted four turns before, and one now"
    );
    let other = [(
        "p".to_string(),
        counts(4, "\"text\"", "0.1").replace("n = n + 1", "n = \"x\""),
    )];
    host.load(&other).expect("another shape begins anew");
    assert_eq!(host.evaluate(&inputs()).advice.caps[&0], 0.1);
}

#[test]
fn the_same_inputs_give_the_same_advice() {
    let text =
        head("state n = 0\nhook turn() { n = random() }\nhook cap(class) { return n * random() }");
    let play = || {
        let mut host = host(&[&text]);
        (0..20)
            .map(|_| host.evaluate(&inputs()))
            .collect::<Vec<_>>()
    };
    let (one, two) = (play(), play());
    assert_eq!(one, two);
    assert!(
        one.windows(2).any(|pair| pair[0] != pair[1]),
        "chance moves"
    );
}

#[test]
fn means_fade_and_maps_hold() {
    let text = head("state m = mean(1)\nstate seen = map\nhook turn() { m = 8 for server in fleet.servers { seen[server.name] = seen[server.name] + 1 } }\nhook cap(class) { return seen[\"s-1\"] / 100 + len(seen) / 10 + m / 1000 }");
    let mut host = host(&[&text]);
    host.evaluate(&inputs());
    let cap = host.evaluate(&inputs()).advice.caps[&0];
    assert!((cap - (0.02 + 0.2 + 0.008)).abs() < 1e-9, "{cap}");
}
