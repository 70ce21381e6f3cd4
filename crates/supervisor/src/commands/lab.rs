//! The laboratory's commands: what plays, searches and compares is in `chutegrade-lab`; here are files and the terminal.

use std::io::{IsTerminal as _, Write};
use std::path::{Path, PathBuf};

use chutegrade_lab::experiment::{read, Plan};
use chutegrade_lab::{hunt, report, run, Progress, Store};
use chutegrade_model::{play, scenario, Control, Outcome, Scenario, Setup, IDEAL_LATE_MS};
use chutegrade_records::text;
use indicatif::{ProgressBar, ProgressStyle};

use crate::commands::arguments::{Decider, Lab, LabCommand, Results};
use crate::commands::tools::{each, said, write_whole};
use crate::server::plugins::{self, read_one};
use crate::Fault;

/// `lab`.
pub fn lab(of: &Lab, out: &mut impl Write) -> Result<(), Fault> {
    match &of.command {
        LabCommand::Play {
            scenario,
            seed,
            control,
            plugins,
            limits,
            traffic,
        } => {
            let played = Played {
                plugins,
                limits: limits.as_deref(),
                traffic: traffic.as_deref(),
            };
            once(scenario, *seed, *control, &played, out)
        }
        LabCommand::Run {
            experiment,
            out: directory,
            threads,
        } => {
            rayon::ThreadPoolBuilder::new()
                .num_threads(*threads)
                .build_global()
                .map_err(said)?;
            run_all(experiment, directory, out)
        }
        LabCommand::Compare(of) => {
            let (plan, store) = results(of)?;
            write!(out, "{}", report::table(&plan, &build()?, &store)).map_err(Fault::from)
        }
        LabCommand::Report(of) => {
            let (plan, store) = results(of)?;
            write_report(&plan, &build()?, &store, &of.out, out)
        }
        LabCommand::Hunt {
            scenario,
            out: file,
            budget,
            seed,
            rules,
        } => search(scenario, file, *budget, *seed, *rules, out),
    }
}

fn results(of: &Results) -> Result<(Plan, Store), Fault> {
    Ok((plan(&of.experiment)?, Store::open(&of.out).map_err(said)?))
}

/// What tells this program's text from another's: results of one are never taken for the other's.
fn build() -> Result<String, Fault> {
    let program = std::env::current_exe()
        .and_then(std::fs::read)
        .map_err(said)?;
    Ok(blake3::hash(&program)
        .to_hex()
        .as_str()
        .get(..12)
        .unwrap_or_default()
        .to_string())
}

/// All faults of a file, each on a line with its place.
fn faults(path: &Path, all: &[chutegrade_textproto::Wrong]) -> Fault {
    let lines: Vec<String> = all
        .iter()
        .map(|wrong| format!("{}:{wrong}", path.display()))
        .collect();
    each(&lines)
}

fn plan(path: &Path) -> Result<Plan, Fault> {
    let directory = path.parent().unwrap_or(Path::new("."));
    read(&read_one(path)?, directory).map_err(|all| faults(path, &all))
}

/// What is played beside a scenario.
struct Played<'a> {
    plugins: &'a [PathBuf],
    limits: Option<&'a Path>,
    traffic: Option<&'a Path>,
}

fn once(
    path: &Path,
    seed: u64,
    control: Decider,
    played: &Played,
    out: &mut impl Write,
) -> Result<(), Fault> {
    let scenario = scenario::read(&read_one(path)?).map_err(|all| faults(path, &all))?;
    let control = match control {
        Decider::Module => Control::Module,
        Decider::Fixed => Control::Fixed,
        Decider::Nobody => Control::Nobody,
        Decider::Ideal => Control::Ideal(IDEAL_LATE_MS),
    };
    let limits = match played.limits {
        Some(path) => {
            let operator = chutegrade_operator_config::load(path).map_err(|all| each(&all))?;
            operator.limits.map(|limits| limits.declaration().clone())
        }
        None => None,
    };
    let traffic = match played.traffic {
        Some(path) => {
            let wrong =
                |fault: &dyn std::fmt::Display| said(format!("{}: {fault}", path.display()));
            let file = std::fs::File::open(path).map_err(|fault| wrong(&fault))?;
            Some(std::sync::Arc::new(
                chutegrade_traffic::read(file).map_err(|fault| wrong(&fault))?,
            ))
        }
        None => None,
    };
    let setup = Setup {
        control,
        plugins: plugins::read(played.plugins)?,
        other: None,
        limits,
        traffic,
    };
    setup.check().map_err(Fault::Said)?;
    setup.fits(&scenario).map_err(Fault::Said)?;
    let begun = std::time::Instant::now();
    let outcome = play(&scenario, &setup, seed);
    tell(&scenario, &outcome, out)?;
    let took = begun.elapsed().as_secs_f64();
    let times = scenario.length_us as f64 / 1e6 / took.max(1e-9);
    writeln!(
        out,
        "{} events in {took:.2} s, {times:.0} times real time",
        outcome.events
    )?;
    Ok(())
}

fn tell(scenario: &Scenario, outcome: &Outcome, out: &mut impl Write) -> Result<(), Fault> {
    writeln!(
        out,
        "{}: {} servers, {} front ends, {} supervisors, {:.0} requests/s for {:.0} s (simulated)",
        scenario.name,
        scenario.servers(),
        scenario.front_ends,
        scenario.supervisors,
        scenario.rate,
        scenario.length_us as f64 / 1e6
    )?;
    for name in [
        "service",
        "whole",
        "worst_window",
        "worst_class",
        "nines",
        "refused",
        "failed",
        "tries",
        "comings",
    ] {
        writeln!(out, "  {name:13} {:.4}", outcome.figure(name))?;
    }
    for name in [
        "wasted",
        "channel",
        "backlog",
        "connections",
        "queue",
        "crossing",
        "shut_out_s",
    ] {
        writeln!(out, "  {name:13} {:.4}", outcome.figure(name))?;
    }
    for class in &outcome.classes {
        let [half, nine, hundred, thousand] = class.quantiles_ms;
        writeln!(
            out,
            "  {}: {} came, service {:.4}, refused {:.4}, failed {:.4}, answered within {half:.0} / {nine:.0} / {hundred:.0} / {thousand:.0} ms (50, 90, 99, 99.9 %)",
            class.name, class.came, class.service, class.refused, class.failed
        )?;
    }
    for of in &outcome.changes {
        let line = text::line(&chutegrade_overload_control::transition_record(&of.change));
        writeln!(
            out,
            "  {:6.1} s, supervisor {}: {line}",
            of.at_s,
            of.supervisor + 1
        )?;
    }
    for of in &outcome.broken {
        writeln!(
            out,
            "  RULE BROKEN: {} {} times, first at {:.1} s: {}",
            of.rule.word(),
            of.times,
            of.at_s,
            of.how
        )?;
    }
    Ok(())
}

/// A bar on the terminal, with the time that is left; nothing where there is no terminal.
fn bar() -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg} [{bar:30}] {pos}/{len} runs, {eta} left");
    let bar = ProgressBar::new(0);
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

fn run_all(path: &Path, directory: &Path, out: &mut impl Write) -> Result<(), Fault> {
    let (plan, build) = (plan(path)?, build()?);
    let mut store = Store::open(directory).map_err(said)?;
    let there = store.results().len();
    if there > 0 {
        writeln!(out, "{there} runs are there already")?;
    }
    let bar = bar();
    let mut look = 0;
    let tell = |at: Progress| {
        if at.look.0 != look {
            look = at.look.0;
            bar.reset_eta();
        }
        bar.set_length(at.wanted as u64);
        bar.set_position(at.done as u64);
        bar.set_message(format!("look {} of {} at most", at.look.0, at.look.1));
        true
    };
    run::play(&plan, &build, &mut store, tell).map_err(said)?;
    bar.finish_and_clear();
    write!(out, "{}", report::table(&plan, &build, &store))?;
    write_report(&plan, &build, &store, directory, out)
}

fn write_report(
    plan: &Plan,
    build: &str,
    store: &Store,
    directory: &Path,
    out: &mut impl Write,
) -> Result<(), Fault> {
    let files = [
        ("runs.csv", report::runs_csv(store)),
        (
            "comparisons.csv",
            report::comparisons_csv(plan, build, store),
        ),
        ("report.html", report::page(plan, build, store)),
    ];
    for (name, text) in files {
        write_whole(&directory.join(name), &text)?;
    }
    writeln!(
        out,
        "{}: runs.csv, comparisons.csv and report.html are written",
        directory.display()
    )?;
    Ok(())
}

fn search(
    path: &Path,
    file: &Path,
    budget: usize,
    seed: u64,
    rules: bool,
    out: &mut impl Write,
) -> Result<(), Fault> {
    let written = scenario::parse(&read_one(path)?).map_err(|wrong| faults(path, &[wrong]))?;
    Scenario::try_from(&written).map_err(|all| {
        said(
            all.into_iter()
                .map(|(_, said)| said)
                .collect::<Vec<_>>()
                .join("; "),
        )
    })?;
    let bar = bar();
    bar.set_length(budget as u64);
    let tell = |runs: usize, worst: Option<&hunt::Found>| {
        bar.set_position(runs as u64);
        if let Some(of) = worst {
            bar.set_message(format!(
                "worst {:.3} of {:.3}, {} rules",
                of.service.0,
                of.service.1,
                of.broken.len()
            ));
        }
        true
    };
    let found = hunt::hunt(&written, &hunt::usual(rules), budget, seed, tell);
    bar.finish_and_clear();
    let Some(found) = found else {
        writeln!(out, "nothing was found")?;
        return Ok(());
    };
    let mut head = format!(
        "# Found by a search of {} runs with seed {seed}.\n",
        found.runs
    );
    head += &format!(
        "# Service {:.3}; one that sees the truth late has {:.3}.\n",
        found.service.0, found.service.1
    );
    for said in &found.broken {
        head += &format!("# Rule broken: {said}.\n");
    }
    write_whole(file, &(head.clone() + &scenario::write(&found.scenario)))?;
    write!(out, "{}", head.replace("# ", ""))?;
    writeln!(out, "{} is written", file.display())?;
    Ok(())
}
