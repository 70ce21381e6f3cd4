//! What can be done without serving: `check`, `records`, `console` and `report`.

use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

use chutegrade_engine::Micros;
use chutegrade_engine::NamedClassShare;
use chutegrade_engine::NamedWeightFactor;
use chutegrade_plugins::format::format;
use chutegrade_plugins::host::{Host, Word};
use chutegrade_plugins::{cases, compile};
use chutegrade_records::index::Query;
use chutegrade_records::replay::{Picture, LOOK_BACK_US};
use chutegrade_records::text::printable;
use chutegrade_records::timeline::{is_event, verify, Event, Gap, Timeline};
use chutegrade_records::{kind, text, Kind, Window};
use serde_json::{json, Value};

use crate::commands::arguments::{
    Check, Console, Form, List, Plugin, PluginCommand, Records, RecordsCommand, Report,
};
use crate::config;
use crate::server::plugins;
use crate::Fault;

/// `check`: every fault on a line of its own; an error if there is one.
pub fn check(check: &Check, out: &mut impl Write) -> Result<(), Fault> {
    let mut faults = Vec::new();
    if check.config.is_none() && check.operator.is_none() {
        return Err(Fault::Said(
            "nothing to check: give --config FILE, --operator FILE, or both".to_string(),
        ));
    }
    if let Some(path) = &check.config {
        match config::check(&path.to_string_lossy()) {
            Ok(doubts) => {
                for doubt in doubts {
                    writeln!(out, "{}: taken, but {doubt}", path.display())?;
                }
            }
            Err(fault) => faults.push(format!("{}: {fault}", path.display())),
        }
    }
    if let Some(path) = &check.operator {
        let limits = match chutegrade_operator_config::load(path) {
            Ok(operator) => operator.limits,
            Err(said) => {
                faults.extend(said.iter().map(ToString::to_string));
                None
            }
        };
        // What depends on the classes, where the configuration tells them.
        let classes = check
            .config
            .as_ref()
            .and_then(|config| config::classes(&config.to_string_lossy()).ok());
        if let (Some(limits), Some(classes)) = (limits, classes) {
            let said = limits
                .overload_config(Some(&classes))
                .err()
                .unwrap_or_default();
            faults.extend(said.iter().map(ToString::to_string));
        }
    }
    for fault in &faults {
        writeln!(out, "{fault}")?;
    }
    match faults.len() {
        0 => writeln!(out, "nothing is wrong").map_err(Fault::from),
        1 => Err(Fault::Said("1 fault".to_string())),
        more => Err(Fault::Said(format!("{more} faults"))),
    }
}

/// `records`.
pub fn records(records: &Records, out: &mut impl Write) -> Result<(), Fault> {
    match &records.command {
        RecordsCommand::Verify { directories } => verify_all(directories, out),
        RecordsCommand::List(list) => export(list, Form::Text, &mut BufWriter::new(out)),
        RecordsCommand::Export { list, format } => export(list, *format, &mut BufWriter::new(out)),
    }
}

/// A fault in its own words.
pub fn said(fault: impl ToString) -> Fault {
    Fault::Said(fault.to_string())
}

/// All faults of a file, one a line.
pub fn each(faults: &[impl ToString]) -> Fault {
    said(
        faults
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\nchutegrade: "),
    )
}

fn verify_all(directories: &[PathBuf], out: &mut impl Write) -> Result<(), Fault> {
    let timeline = Timeline::open(directories).map_err(said)?;
    let mut unsound = 0;
    for supervisor in &timeline.supervisors {
        let found = verify(&supervisor.directory).map_err(said)?;
        unsound += u64::from(!found.sound());
        write!(
            out,
            "{}: {} records in {} segments",
            supervisor.directory.display(),
            found.records,
            found.segments
        )?;
        let counts = [
            (found.newer, "of a newer version"),
            (
                found.torn_bytes,
                "bytes of torn tails, which a crash leaves",
            ),
            (found.damaged_bytes, "bytes damaged"),
            (found.missing, "records missing"),
            (found.headless, "segments without a head"),
            (found.wrong_indexes, "indexes that do not fit"),
        ];
        for (count, what) in counts.iter().filter(|(count, _)| *count > 0) {
            write!(out, ", {count} {what}")?;
        }
        writeln!(
            out,
            "{}",
            if found.sound() {
                ": sound"
            } else {
                ": not sound"
            }
        )?;
    }
    match unsound {
        0 => Ok(()),
        _ => Err(Fault::Said(format!(
            "{unsound} of {} directories are not sound",
            timeline.supervisors.len()
        ))),
    }
}

/// `plugin`.
pub fn plugin(plugin: &Plugin, out: &mut impl Write) -> Result<(), Fault> {
    match &plugin.command {
        PluginCommand::Check { files } => check_plugins(files, out),
        PluginCommand::Test { files } => test_plugins(files, out),
        PluginCommand::Format { files, check } => format_plugins(files, *check, out),
        PluginCommand::Explain {
            server,
            directories,
            at,
        } => explain(server, directories, at.as_deref(), out),
        PluginCommand::Run {
            files,
            records,
            at,
            turns,
            trace,
        } => run_plugins(files, records, at.as_deref(), *turns, trace.as_deref(), out),
    }
}

fn check_plugins(files: &[PathBuf], out: &mut impl Write) -> Result<(), Fault> {
    let mut wrong = 0;
    for (name, text) in plugins::read(files)? {
        match compile(&text) {
            Ok(program) => {
                let operations: usize = program
                    .functions
                    .iter()
                    .map(|function| function.code.len())
                    .sum();
                writeln!(
                    out,
                    "{name}: {} version {}, {operations} operations, sound",
                    program.name, program.version
                )?;
            }
            Err(faults) => {
                wrong += faults.len();
                for fault in faults {
                    write!(out, "{}", fault.render(&name, &text))?;
                }
            }
        }
    }
    match wrong {
        0 => Ok(()),
        1 => Err(Fault::Said("1 fault".to_string())),
        more => Err(Fault::Said(format!("{more} faults"))),
    }
}

fn test_plugins(files: &[PathBuf], out: &mut impl Write) -> Result<(), Fault> {
    let (mut run, mut failed) = (0, 0);
    for (name, text) in plugins::read(files)? {
        let program = compile(&text).map_err(|faults| match faults.first() {
            Some(fault) => Fault::Said(format!("{name}:{fault}")),
            None => Fault::Said(format!("{name} cannot be read")),
        })?;
        for (case, outcome) in cases::run(&program) {
            run += 1;
            match outcome {
                Ok(()) => writeln!(out, "{name}: {} ... ok", printable(&case))?,
                Err(why) => {
                    failed += 1;
                    writeln!(
                        out,
                        "{name}: {} ... FAILED: {}",
                        printable(&case),
                        printable(&why)
                    )?;
                }
            }
        }
    }
    writeln!(out, "{} cases, {failed} failed", run)?;
    match failed {
        0 => Ok(()),
        _ => Err(Fault::Said(format!("{failed} of {run} cases failed"))),
    }
}

fn format_plugins(files: &[PathBuf], check: bool, out: &mut impl Write) -> Result<(), Fault> {
    let mut other = 0;
    for (path, (name, text)) in files.iter().zip(plugins::read(files)?) {
        let formatted = format(&text).map_err(|faults| {
            Fault::Said(format!(
                "{name}:{}",
                faults.first().map(ToString::to_string).unwrap_or_default()
            ))
        })?;
        if formatted == text {
            continue;
        }
        other += 1;
        if check {
            writeln!(out, "{name} is written otherwise")?;
        } else {
            write_whole(path, &formatted)?;
            writeln!(out, "{name} formatted")?;
        }
    }
    match (check, other) {
        (true, 1..) => Err(Fault::Said(format!(
            "{other} of {} texts are written otherwise",
            files.len()
        ))),
        _ => Ok(()),
    }
}

/// How far back records are looked at for what plug-ins advise of a server, in microseconds: a day.
const EXPLAINED_US: i64 = 86_400_000_000;

fn explain(
    server: &str,
    directories: &[PathBuf],
    at: Option<&str>,
    out: &mut impl Write,
) -> Result<(), Fault> {
    let timeline = Timeline::open(directories).map_err(said)?;
    let at = moment(&timeline, at)?;
    let (events, _) = timeline.read(&Query::between(at.saturating_sub(EXPLAINED_US), at));
    let mut known = 0;
    for supervisor in &timeline.supervisors {
        let own: Vec<&Event> = events
            .iter()
            .filter(|event| event.supervisor == supervisor.name)
            .collect();
        let mut picture = Picture::default();
        own.iter().for_each(|event| picture.apply(&event.record));
        let Some(of) = picture.servers.get(server) else {
            continue;
        };
        known += 1;
        let (life, state) = (text::life(of.life), text::state(of.state));
        writeln!(
            out,
            "{}: {} is {life}, {state}: score {:.2}, errors {:.2}, latency {:.2}, weight {:.2}, warmth {:.0} %{}",
            printable(&supervisor.name),
            printable(server),
            of.score,
            of.errors,
            of.latency,
            of.weight,
            100.0 * of.warmth,
            if of.shut { ", shut out of all tables" } else { "" }
        )?;
        let about =
            |event: &&&Event| event.record.kind.as_ref().and_then(kind::server) == Some(server);
        if let Some(event) = own.iter().rev().find(about) {
            writeln!(
                out,
                "  last: {} {}",
                text::time(event.at_us),
                printable(&event.line())
            )?;
        }
        for (plugin, advice) in standing(&own, server) {
            writeln!(
                out,
                "  plug-in {}: {}",
                printable(plugin),
                printable(advice)
            )?;
        }
        for table in void(&own) {
            writeln!(
                out,
                "  advice on table {table} is void: it would leave too little"
            )?;
        }
    }
    match known {
        0 => Err(Fault::Said(format!(
            "no supervisor knows a server {server:?} at {}",
            text::time(at)
        ))),
        _ => Ok(()),
    }
}

/// What plug-ins advise of a server and have not ended, with the plug-in's name.
fn standing<'a>(events: &[&'a Event], server: &str) -> Vec<(&'a str, &'a str)> {
    let begins = format!("{server} ");
    let mut advised: Vec<(&str, &str)> = Vec::new();
    for event in events {
        match &event.record.kind {
            Some(Kind::Started(_)) => advised.clear(),
            Some(Kind::PluginLoaded(of)) => advised.retain(|(name, _)| *name != of.name),
            Some(Kind::PluginSaid(of)) if of.text.starts_with(&begins) => match of.what.as_str() {
                "advises" => advised.push((&of.name, &of.text)),
                "ends" => {
                    advised.retain(|(name, text)| *name != of.name || !text.starts_with(&of.text))
                }
                _ => {}
            },
            _ => {}
        }
    }
    advised
}

/// Tables on which advice is void.
fn void(events: &[&Event]) -> std::collections::BTreeSet<u32> {
    let mut tables = std::collections::BTreeSet::new();
    for event in events {
        match &event.record.kind {
            Some(Kind::Started(_)) => tables.clear(),
            Some(Kind::AdviceVoid(of)) if of.void => {
                tables.insert(of.table);
            }
            Some(Kind::AdviceVoid(of)) => {
                tables.remove(&of.table);
            }
            _ => {}
        }
    }
    tables
}

fn run_plugins(
    files: &[PathBuf],
    records: &Path,
    at: Option<&str>,
    turns: u32,
    trace: Option<&str>,
    out: &mut impl Write,
) -> Result<(), Fault> {
    let mut host = Host::default();
    trace.into_iter().for_each(|server| host.watch(server));
    host.load(&plugins::read(files)?)
        .map_err(|refused| match refused.first() {
            Some(one) => Fault::Said(format!(
                "{}:{}",
                one.name,
                one.faults
                    .first()
                    .map(ToString::to_string)
                    .unwrap_or_default()
            )),
            None => Fault::Said("the plug-ins cannot be loaded".to_string()),
        })?;
    let timeline = Timeline::open(&[records.to_path_buf()]).map_err(said)?;
    let at = moment(&timeline, at)?;
    for turn in 0..i64::from(turns) {
        let now = at.saturating_add(turn * 1_000_000);
        let (events, _) = timeline.read(&Query::between(now.saturating_sub(LOOK_BACK_US), now));
        let mut picture = Picture::default();
        events.iter().for_each(|event| picture.apply(&event.record));
        let mut zones: Vec<String> = picture
            .servers
            .values()
            .map(|server| server.zone.clone())
            .collect();
        zones.sort();
        zones.dedup();
        let inputs = chutegrade_plugin_advisor::inputs_from_records(&picture, &zones);
        if let Some(server) = trace.filter(|server| !picture.servers.contains_key(*server)) {
            return Err(Fault::Said(format!(
                "no server {server:?} is known at {}",
                text::time(now)
            )));
        }
        let given = host.turn(&inputs);
        let advised =
            chutegrade_plugin_advisor::advice_by_name(&given.advice, &inputs, Micros(now));
        writeln!(out, "{} {} servers", text::time(now), inputs.servers.len())?;
        for NamedWeightFactor {
            server,
            zone,
            class,
            factor,
        } in &advised.factors
        {
            let class = class.as_deref().unwrap_or("all classes");
            writeln!(
                out,
                "  {} keeps {:.0} % for {class} from {zone}",
                printable(server),
                100.0 * factor
            )?;
        }
        for NamedClassShare { class, share: cap } in &advised.caps {
            writeln!(out, "  {class} is capped at {:.0} %", 100.0 * cap)?;
        }
        for class in &advised.no_retry {
            writeln!(out, "  {class} is not tried again")?;
        }
        for (of, (reason, seconds)) in &given.advice.excluded {
            let server = inputs
                .servers
                .get(*of as usize)
                .map_or("", |server| &*server.name);
            writeln!(
                out,
                "  {} is left out for {seconds} s: {}",
                printable(server),
                printable(reason)
            )?;
        }
        for (name, lines) in &given.traces {
            for line in lines {
                writeln!(out, "  {name} | {}", printable(line))?;
            }
        }
        for (name, spent) in &given.spent {
            writeln!(out, "  {name} took {spent} operations")?;
        }
        for (name, word) in &given.words {
            let text = match word {
                Word::Advises(text, line) => format!("says from now on, by line {line}: {text}"),
                Word::Ends(text) => format!("says no more: {text}"),
                Word::Noted(text) => format!("notes: {text}"),
                Word::Faulted(stopped) => format!("faulted: {stopped}"),
                Word::Paused(turns) => format!("is left alone for {turns} turns"),
                Word::Differs(text) => format!("differs: {text}"),
            };
            writeln!(out, "  {name} {}", printable(&text))?;
        }
    }
    Ok(())
}

/// `console`.
pub fn console(console: &Console) -> Result<(), Fault> {
    let at = match &console.at {
        None => None,
        Some(text) => {
            let timeline = Timeline::open(&console.directories).map_err(said)?;
            Some(moment(&timeline, Some(text))?)
        }
    };
    let shown = if console.once {
        chutegrade_console::once(&console.directories, at, &mut std::io::stdout().lock())
    } else {
        chutegrade_console::run(&console.directories, at)
    };
    shown.map_err(|fault| match fault {
        chutegrade_console::Fault::Terminal(io) if io.kind() == std::io::ErrorKind::BrokenPipe => {
            Fault::Gone
        }
        fault => said(fault),
    })
}

/// `report`: the page appears whole or not at all.
pub fn report(report: &Report, out: &mut impl Write) -> Result<(), Fault> {
    let timeline = Timeline::open(&report.directories).map_err(said)?;
    let Window { from_us, to_us } =
        window(&timeline, report.from.as_deref(), report.to.as_deref())?;
    let page = chutegrade_report::report(&timeline, Window { from_us, to_us }, Default::default());
    write_whole(&report.out, &page)?;
    let from_to = (text::time(from_us), text::time(to_us));
    writeln!(
        out,
        "{}: {} to {}",
        shown_path(&report.out),
        from_to.0,
        from_to.1
    )
    .map_err(Fault::from)
}

/// A file appears whole or not at all.
pub fn write_whole(path: &Path, text: &str) -> Result<(), Fault> {
    let draft = path.with_extension("draft");
    let written = std::fs::write(&draft, text).and_then(|()| std::fs::rename(&draft, path));
    written.map_err(|fault| said(format!("{} cannot be written: {fault}", path.display())))
}

/// The time from one moment to another as they were asked for, or all of the records'.
pub fn window(timeline: &Timeline, from: Option<&str>, to: Option<&str>) -> Result<Window, Fault> {
    let span = timeline
        .span()
        .ok_or_else(|| Fault::Said("no records in these directories".to_string()))?;
    let time = |given: Option<&str>, usual: i64| {
        given.map_or(Ok(usual), |text| text::parse_time(text, span.to_us))
    };
    let window = Window {
        from_us: time(from, span.from_us).map_err(said)?,
        to_us: time(to, span.to_us).map_err(said)?,
    };
    in_order(window.from_us, window.to_us)?;
    Ok(window)
}

fn in_order(from_us: i64, to_us: i64) -> Result<(), Fault> {
    if from_us <= to_us {
        return Ok(());
    }
    let (from, to) = (text::time(from_us), text::time(to_us));
    Err(Fault::Said(format!(
        "nothing lies between {from} and {to}: --from is after --to"
    )))
}

/// A moment as it was asked for, or that of the last record.
pub fn moment(timeline: &Timeline, at: Option<&str>) -> Result<i64, Fault> {
    let last = timeline.span().map_or(0, |span| span.to_us);
    at.map_or(Ok(last), |text| text::parse_time(text, last))
        .map_err(said)
}

fn shown_path(path: &Path) -> String {
    printable(&path.display().to_string())
}

/// The query that the options ask for; times of day count from the last record.
pub fn query(list: &List, timeline: &Timeline) -> Result<Query, Fault> {
    let last = timeline.span().map_or(0, |span| span.to_us);
    let time = |given: &Option<String>| {
        given
            .as_ref()
            .map(|text| text::parse_time(text, last))
            .transpose()
    };
    let (from_us, to_us) = (
        time(&list.from).map_err(said)?,
        time(&list.to).map_err(said)?,
    );
    if let (Some(from), Some(to)) = (from_us, to_us) {
        in_order(from, to)?;
    }
    let number = |name: &String| {
        let known = || kind::KINDS.map(|(_, name)| name).join(", ");
        kind::by_name(name)
            .ok_or_else(|| Fault::Said(format!("no kind {name:?}: give one of {}", known())))
    };
    let kinds = list
        .kind
        .iter()
        .map(number)
        .collect::<Result<Vec<u32>, Fault>>()?;
    Ok(Query {
        from_us,
        to_us,
        kinds,
        server: list.server.clone(),
    })
}

fn export(list: &List, form: Form, out: &mut impl Write) -> Result<(), Fault> {
    let timeline = Timeline::open(&list.directories).map_err(said)?;
    let query = query(list, &timeline)?;
    let (events, gaps) = timeline.read(&query);
    let wanted = |event: &&Event| list.all || !list.kind.is_empty() || is_event(event);
    if form == Form::Csv {
        writeln!(out, "at,learned,supervisor,start,seq,kind,server,text")?;
    }
    let mut gaps = gaps.iter().peekable();
    for event in events.iter().filter(wanted) {
        while let Some(gap) = gaps.next_if(|gap| gap.from_us <= event.at_us) {
            write_gap(gap, form, out)?;
        }
        write_event(event, form, out)?;
    }
    for gap in gaps {
        write_gap(gap, form, out)?;
    }
    out.flush().map_err(Fault::from)
}

fn write_event(event: &Event, form: Form, out: &mut impl Write) -> std::io::Result<()> {
    let (at, learned) = (text::time(event.at_us), text::time(event.learned_us()));
    let (by, start, seq) = (&event.supervisor, event.incarnation, event.record.seq);
    let (name, line) = (kind::name(event.number), event.line());
    let server = event
        .record
        .kind
        .as_ref()
        .and_then(kind::server)
        .unwrap_or_default();
    match form {
        Form::Text => {
            let late = event.learned_us().saturating_sub(event.at_us);
            let late = if late >= 1000 {
                format!("  [learned {} later]", text::length(late))
            } else {
                String::new()
            };
            writeln!(out, "{at}  {}  {}{late}", printable(by), printable(&line))
        }
        Form::Csv => {
            let cells = [
                &at,
                &learned,
                &**by,
                &start.to_string(),
                &seq.to_string(),
                name,
                server,
                &line,
            ];
            writeln!(out, "{}", cells.map(text::cell).join(","))
        }
        Form::Jsonl => {
            let record = serde_json::to_value(&event.record.kind).unwrap_or(Value::Null);
            let fields = record
                .as_object()
                .and_then(|of| of.values().next().cloned())
                .unwrap_or(Value::Null);
            let mut row = json!({"at": at, "learned": learned, "supervisor": &**by, "start": start, "seq": seq,
                                 "kind": name, "number": event.number, "text": line, "fields": fields});
            if let (Some(row), Some(bytes)) = (row.as_object_mut(), &event.newer) {
                let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
                row.insert("record_hex".to_string(), Value::String(hex));
            }
            writeln!(out, "{row}")
        }
    }
}

fn write_gap(gap: &Gap, form: Form, out: &mut impl Write) -> std::io::Result<()> {
    let (from, to) = (text::time(gap.from_us), text::time(gap.to_us));
    let (by, line) = (&gap.supervisor, gap.line());
    match form {
        Form::Text if gap.from_us == i64::MIN => {
            writeln!(
                out,
                "--- {} {}: {line}, until {to}",
                printable(by),
                gap.reason.word()
            )
        }
        Form::Text => writeln!(out, "{from}  {}  --- gap: {line}", printable(by)),
        Form::Csv => {
            let cells = [&from, &to, &**by, "", "", "gap", "", &line];
            writeln!(out, "{}", cells.map(text::cell).join(","))
        }
        Form::Jsonl => {
            let row = json!({"kind": "gap", "supervisor": &**by, "from": from, "to": to,
                             "reason": gap.reason.word(), "missing": gap.missing, "text": line});
            writeln!(out, "{row}")
        }
    }
}
