//! The commands on levels of service: what is declared, how far conditions are from being met, and what a ladder would have
//! done with signals that were recorded.

use std::collections::BTreeMap;
use std::io::Write;

use chutegrade_limits::condition::ConditionState;
use chutegrade_limits::transitions::{ConditionStatus, LevelTransitions};
use chutegrade_limits::{LevelTransition, Observation, ServiceLevels, Signal, SignalWindow};
use chutegrade_records::index::Query;
use chutegrade_records::text::{self, figure, length, printable};
use chutegrade_records::timeline::{gauge, Event};
use chutegrade_records::{pb, Timeline, Window};

use crate::commands::arguments::{Declared, Levels, LevelsCommand};
use crate::commands::tools::{each, moment, said, window};
use crate::config;
use crate::Fault;

/// Signals before a moment that are looked at, in microseconds: as long as they are kept.
const LOOK_BACK_US: i64 = 70_000_000;

/// `levels`.
pub fn levels(of: &Levels, out: &mut impl Write) -> Result<(), Fault> {
    match &of.command {
        LevelsCommand::Show(declared) => show(&ladder(declared)?, out),
        LevelsCommand::Explain {
            declared,
            directories,
            at,
        } => {
            let timeline = Timeline::open(directories).map_err(said)?;
            let at = moment(&timeline, at.as_deref())?;
            explain(&ladder(declared)?, &timeline, at, out)
        }
        LevelsCommand::Simulate {
            declared,
            directories,
            from,
            to,
        } => {
            let timeline = Timeline::open(directories).map_err(said)?;
            let Window { from_us, to_us } = window(&timeline, from.as_deref(), to.as_deref())?;
            simulate(&ladder(declared)?, &timeline, (from_us, to_us), out)
        }
    }
}

fn ladder(declared: &Declared) -> Result<ServiceLevels, Fault> {
    let operator =
        chutegrade_operator_config::load(&declared.operator).map_err(|all| each(&all))?;
    let shown = declared.operator.display();
    let limits = operator
        .limits
        .ok_or_else(|| said(format!("{shown}: no limits are given")))?;
    let usual = limits
        .declaration()
        .ladder
        .as_ref()
        .is_some_and(|ladder| ladder.usual == Some(true));
    let classes = match &declared.config {
        Some(path) => Some(config::classes(&path.to_string_lossy()).map_err(said)?),
        None if usual => {
            return Err(said(
                "the usual ladder derives from the classes: give --config FILE",
            ))
        }
        None => None,
    };
    let plan = limits
        .overload_config(classes.as_deref())
        .map_err(|all| each(&all))?;
    plan.service_levels
        .ok_or_else(|| said(format!("{shown}: no ladder is given")))
}

fn show(ladder: &ServiceLevels, out: &mut impl Write) -> Result<(), Fault> {
    for (number, level) in ladder.levels.iter().enumerate() {
        let kept: Vec<String> = level
            .admitted_shares
            .iter()
            .map(|of| format!("{:.0} % of {}", 100.0 * of.share, of.class))
            .collect();
        writeln!(
            out,
            "{} {}: keeps {}",
            number + 1,
            level.name,
            kept.join(", ")
        )?;
        writeln!(out, "    entered when {}", level.enter)?;
        writeln!(
            out,
            "    left when {}, after {} at least",
            level.leave,
            length(level.min_duration_us)
        )?;
        if !level.notify.is_empty() {
            writeln!(out, "    told: {}", level.notify.join(", "))?;
        }
    }
    let (missing, age, doubt) = (
        ladder.signal_loss_timeout_us,
        ladder.max_signal_age_us,
        ladder.endpoint_list_timeout_us,
    );
    writeln!(
        out,
        "signals older than {} are missing; a level stands {} without; the list is doubted after {}",
        length(age),
        length(missing),
        length(doubt)
    )?;
    Ok(())
}

/// What a recorded moment tells of signals; of records made without limits, the saturation alone.
fn learn(board: &mut SignalWindow, at_us: i64, gauge: &pb::Gauge) {
    if gauge.signals.is_empty() {
        board.record(
            Signal::Saturation,
            Observation {
                at_us,
                value: gauge.strain,
                confidence: 1.0,
            },
        );
    }
    for of in &gauge.signals {
        let (Some(signal), Some(value)) = (Signal::by_name(&of.name), of.value) else {
            continue;
        };
        let age = i64::try_from(of.age_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(1000);
        board.record(
            signal,
            Observation {
                at_us: at_us.saturating_sub(age),
                value,
                confidence: 1.0,
            },
        );
    }
}

fn explain(
    ladder: &ServiceLevels,
    timeline: &Timeline,
    at: i64,
    out: &mut impl Write,
) -> Result<(), Fault> {
    let (events, _) = timeline.read(&Query::between(at.saturating_sub(LOOK_BACK_US), at));
    let mut known = 0;
    for supervisor in &timeline.supervisors {
        let own: Vec<(&Event, &pb::Gauge)> = events
            .iter()
            .filter(|event| event.supervisor == supervisor.name)
            .filter_map(|event| Some((event, gauge(event)?)))
            .collect();
        let Some((last, figures)) = own.last() else {
            continue;
        };
        known += 1;
        let mut board = SignalWindow::default();
        own.iter()
            .for_each(|(event, gauge)| learn(&mut board, event.at_us, gauge));
        let mut steps = LevelTransitions::new(ladder.clone());
        let level = figures
            .service_level
            .as_deref()
            .unwrap_or(chutegrade_limits::service_levels::FULL_SERVICE);
        let fits = steps.resume(level, figures.level_since_us);
        let since = last.at_us.saturating_sub(figures.level_since_us);
        let since = if figures.level_since_us > 0 {
            format!(", for {}", length(since))
        } else {
            String::new()
        };
        writeln!(
            out,
            "{}: {} is in force{since}",
            printable(&supervisor.name),
            printable(level)
        )?;
        if !fits {
            writeln!(out, "  the ladder given here has no such level")?;
            continue;
        }
        for row in steps.explain(last.at_us, &board) {
            tell(&row, out)?;
        }
    }
    match known {
        0 => Err(said(format!(
            "no supervisor recorded figures before {}",
            text::time(at)
        ))),
        _ => Ok(()),
    }
}

fn tell(row: &ConditionStatus, out: &mut impl Write) -> Result<(), Fault> {
    let way = if row.is_escalation {
        "up to"
    } else {
        "down to"
    };
    let known = match row.state {
        ConditionState::Met => "holds",
        ConditionState::NotMet => "does not hold",
        ConditionState::Unknown => "is not known",
    };
    let stay = if row.remaining_duration_us > 0 {
        format!(
            "; stays {} more at least",
            length(row.remaining_duration_us)
        )
    } else {
        String::new()
    };
    writeln!(
        out,
        "  {way} {}: {} {known}{stay}",
        printable(&row.to),
        row.condition
    )?;
    for of in &row.tests {
        let shown = of
            .newest
            .map_or_else(|| "unknown".to_string(), |sample| figure(sample.value));
        let far = match of.shortfall {
            None => "its signal is missing".to_string(),
            Some(short) if short > 0.0 => format!("{} short of it", figure(short)),
            Some(_) if of.remaining_hold_us > 0 => {
                format!("met, {} more to hold", length(of.remaining_hold_us))
            }
            Some(_) => "met".to_string(),
        };
        writeln!(
            out,
            "      {}: {} is {shown}, {far}",
            of.test,
            of.test.signal.name()
        )?;
    }
    Ok(())
}

fn simulate(
    ladder: &ServiceLevels,
    timeline: &Timeline,
    (from, to): (i64, i64),
    out: &mut impl Write,
) -> Result<(), Fault> {
    let (events, _) = timeline.read(&Query::between(from, to));
    let mut any = false;
    for supervisor in &timeline.supervisors {
        let own = events
            .iter()
            .filter(|event| event.supervisor == supervisor.name);
        let own: Vec<(i64, &pb::Gauge)> = own
            .filter_map(|event| Some((event.at_us, gauge(event)?)))
            .collect();
        let Some((first, last)) = own.first().zip(own.last()) else {
            continue;
        };
        any = true;
        writeln!(
            out,
            "{}: {} of signals from {}",
            printable(&supervisor.name),
            length(last.0 - first.0),
            text::time(first.0)
        )?;
        let (changes, spent) = play(ladder, &own);
        for (at, change) in &changes {
            let line = text::line(&chutegrade_overload_control::transition_record(change));
            writeln!(out, "  {} {}", text::clock(*at), printable(&line))?;
        }
        let hours = ((last.0 - first.0) as f64 / 3.6e9).max(1e-9);
        let shares: Vec<String> = spent
            .iter()
            .map(|(number, us)| {
                format!(
                    "{} {:.1} %",
                    ladder.name(*number),
                    100.0 * *us as f64 / (last.0 - first.0).max(1) as f64
                )
            })
            .collect();
        writeln!(
            out,
            "  {} changes, {:.1} an hour; {}",
            changes.len(),
            changes.len() as f64 / hours,
            shares.join(", ")
        )?;
    }
    if any {
        writeln!(
            out,
            "(signals are as recorded: what another level would have done to them is not known)"
        )?;
        Ok(())
    } else {
        Err(said("no supervisor recorded figures in this time"))
    }
}

/// The changes that a ladder would have made, and the time at each level in microseconds.
fn play(
    ladder: &ServiceLevels,
    figures: &[(i64, &pb::Gauge)],
) -> (Vec<(i64, LevelTransition)>, BTreeMap<usize, i64>) {
    let (mut steps, mut board) = (
        LevelTransitions::new(ladder.clone()),
        SignalWindow::default(),
    );
    let (mut changes, mut spent) = (Vec::new(), BTreeMap::new());
    let mut before = figures.first().map_or(0, |(at, _)| *at);
    for (at, gauge) in figures {
        *spent.entry(steps.level()).or_insert(0) += at - before;
        before = *at;
        learn(&mut board, *at, gauge);
        changes.extend(steps.evaluate(*at, &board).map(|change| (*at, change)));
    }
    (changes, spent)
}
