//! Is the model true? Days of the small fleet on loopback, with the real program, against what the fleet model says of them.
//! The model's figures come from the stand-ins' own constants, none from a run.

use std::path::Path;
use std::time::{Duration, Instant};

use chutegrade_lab::stats::interval;
use chutegrade_model::{run, scenario, Control, Outcome, Scenario};
use tokio::time::sleep;

use crate::script::Stage;
use crate::tables::CLASSES;

/// Front ends of every day.
const FRONTS: u32 = 8;
/// Length of a day in seconds; what comes later is not counted.
const SECONDS: u64 = 20;
/// Runs of the model for each day.
const RUNS: u64 = 40;
/// Share of days within the bars, if the model is right.
const CONFIDENCE: f64 = 0.95;
/// What a stand-in's timers and the histogram can't tell apart: a share of requests, and times as a share and in milliseconds.
const GRAIN: (f64, f64, f64) = (0.003, 0.02, 1.5);
/// In time, in milliseconds, as the stand-ins' settings say.
const AIM_MS: f64 = 600.0;

/// What happens on a day.
#[derive(Clone, Copy, Debug)]
pub enum Happens {
    /// So many servers fail all.
    Fail(usize),
    /// So many servers take so many times as long.
    Slow(usize, f64),
    /// So many times as much comes.
    Burst(f64),
    /// All streams break.
    Streams,
    /// The second supervisor is killed, and starts anew at the end.
    Kill,
}

/// One day: servers a zone, requests a second at each front end, and what happens from when to when, in seconds.
#[derive(Clone, Debug)]
pub struct Day {
    /// Its name.
    pub name: &'static str,
    /// Servers in each of the two zones.
    pub servers: usize,
    /// Requests a second at each front end.
    pub rate: f64,
    /// What happens.
    pub happens: Vec<(u64, u64, Happens)>,
}

/// The days: differing loads, sizes and troubles, singly and together.
pub fn days() -> Vec<Day> {
    use Happens::*;
    let day = |name, servers, rate, happens: &[(u64, u64, Happens)]| Day {
        name,
        servers,
        rate,
        happens: happens.to_vec(),
    };
    vec![
        day("calm", 5, 40.0, &[]),
        day("busy", 4, 60.0, &[]),
        day("one fails", 5, 40.0, &[(5, 13, Fail(1))]),
        day("three fail", 5, 45.0, &[(4, 12, Fail(3))]),
        day("two slow", 5, 40.0, &[(5, 13, Slow(2, 8.0))]),
        day("half slow", 4, 40.0, &[(6, 14, Slow(4, 4.0))]),
        day("burst", 4, 45.0, &[(6, 11, Burst(1.8))]),
        day("overload", 3, 40.0, &[(6, 11, Burst(3.0))]),
        day(
            "streams and a failure",
            5,
            40.0,
            &[(6, 7, Streams), (6, 14, Fail(2))],
        ),
        day(
            "killed, two slow",
            5,
            40.0,
            &[(5, 9, Kill), (6, 14, Slow(2, 6.0))],
        ),
        day(
            "burst on slow ones",
            5,
            40.0,
            &[(5, 14, Slow(2, 4.0)), (8, 12, Burst(1.7))],
        ),
        day("four fail, busy", 5, 55.0, &[(6, 14, Fail(4))]),
    ]
}

impl Day {
    fn scenario(&self) -> Result<Scenario, String> {
        let all = 2 * self.servers;
        let part = |count: usize| count as f64 / all as f64;
        let trouble = |(from, to, of): &(u64, u64, Happens)| {
            let times = format!("at_s: {from} length_s: {}", to - from);
            match of {
                Happens::Fail(count) => {
                    format!(
                        "trouble {{ sort: FAIL_FAST {times} part: {} size: 1 }}",
                        part(*count)
                    )
                }
                Happens::Slow(count, size) => {
                    format!(
                        "trouble {{ sort: SLOW {times} part: {} size: {size} }}",
                        part(*count)
                    )
                }
                Happens::Burst(size) => format!("trouble {{ sort: BURST {times} size: {size} }}"),
                Happens::Streams => format!("trouble {{ sort: STREAMS {times} part: 1 }}"),
                Happens::Kill => {
                    format!("trouble {{ sort: SUPERVISORS_DIE {times} part: 0.5 zone: 'b' }}")
                }
            }
        };
        let troubles: Vec<String> = self.happens.iter().map(trouble).collect();
        // Work is 20 ms, evenly from a half to one and a half times that; timers wake up to a millisecond late.
        let text = format!(
            "name: {:?} seconds: {SECONDS} zone: 'a' zone: 'b'\n\
             kind {{ servers: {all} cores: 2 speed: 1 speed_cv: 0 slots_per_core: 1 queue_per_core: 100000 thrash: 0\n\
               cold_from: 0.3 cold_s: 4 connections_per_core: 100000 handshake_ms: 0 error_rate: 0 cancel: ALL }}\n\
             class {{ name: 'lookup' share: 7 work_ms: 21 work_cv: 0.28 try_cv: 0 aim_ms: 600 deadline_ms: 2000 worth: 1 late_worth: 0 }}\n\
             class {{ name: 'order' share: 3 work_ms: 21 work_cv: 0.28 try_cv: 0 aim_ms: 600 deadline_ms: 2000 worth: 2 late_worth: 0 effect: UNSAFE }}\n\
             load {{ rate: {} zone_skew: 0 }} clients {{ retries: 0 try_share: 1 }}\n\
             front_ends {{ count: {FRONTS} avoids_after: 0 standing: 100 usual_retry: NEVER notice_ms: 1 redial_ms: 100 apply_us: 0 rehome_s: 0 }}\n\
             supervisors {{ count: 2 tick_ms: 2 lines_per_s: 6000 head: 3 way_ms: 1 way_most_ms: 500 backlog: 9000 }}\n\
             reports {{ refresh_ms: 1 period_s: 1 late_ms: 1 intake_per_s: 100000 noise: 0 with_answers: false }}\n\
             discovery {{ notice_least_s: 0 notice_most_s: 0.05 }} network {{ same_ms: 0.05 cross_ms: 0.05 client_ms: 0 jitter: 0.2 }}\n\
             probes {{ work_ms: 2 most_per_core: 1000 deep: true }} rules {{ unserved_s: 5 drain_grace_s: 2 }}\n{}",
            self.name,
            f64::from(FRONTS) * self.rate,
            troubles.join("\n")
        );
        scenario::read(&text).map_err(|faults| {
            faults
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("; ")
        })
    }
}

/// What is compared: shares and times by name; a time that did not come up is none.
pub type Figures = Vec<(&'static str, Option<f64>)>;

fn of_model(outcome: &Outcome) -> Figures {
    let shut = (!outcome.shut_out_s.is_empty()).then(|| outcome.figure("shut_out_s"));
    vec![
        ("service lookup", Some(outcome.classes[0].service)),
        ("service order", Some(outcome.classes[1].service)),
        ("refused", Some(outcome.figure("refused"))),
        ("p50 ms", Some(outcome.figure("p50_ms"))),
        ("p90 ms", Some(outcome.figure("p90_ms"))),
        ("p99 ms", Some(outcome.figure("p99_ms"))),
        ("shut out s", shut),
        (
            "restored s",
            (!outcome.restored_s.is_empty()).then(|| outcome.figure("restored_s")),
        ),
    ]
}

/// Plays a day on loopback with the program.
pub async fn real(day: &Day, program: &Path, directory: &Path, seed: u64) -> Figures {
    let mut stage = Stage::sized(
        program,
        directory,
        (day.servers, FRONTS, day.rate),
        seed,
        "",
    )
    .await;
    let fleet = std::sync::Arc::clone(&stage.fleet);
    let begun = Instant::now();
    fleet.served().keep();
    let mut deeds: Vec<(u64, bool, Happens)> = day
        .happens
        .iter()
        .flat_map(|(from, to, of)| [(*from, true, *of), (*to, false, *of)])
        .collect();
    deeds.sort_by_key(|(at, ..)| *at);
    // Struck servers are spread over both zones.
    let name = |number: usize| format!("s-{}{}", ["a", "b"][number % 2], number / 2 + 1);
    let mut watched: Vec<(String, Instant)> = Vec::new();
    let mut shut_out: Vec<f64> = Vec::new();
    let (mut healing, mut restored): (Vec<(String, Instant)>, Vec<f64>) = (Vec::new(), Vec::new());
    let mut next = deeds.into_iter().peekable();
    while begun.elapsed() < Duration::from_secs(SECONDS) {
        while let Some((_, on, of)) =
            next.next_if(|(at, ..)| begun.elapsed() >= Duration::from_secs(*at))
        {
            match of {
                Happens::Fail(count) => {
                    for server in (0..count).map(name) {
                        fleet.fail(&server, on);
                        let picked = CLASSES
                            .iter()
                            .flat_map(|class| fleet.picks(class))
                            .any(|own| own.contains(&server));
                        if on {
                            watched.push((server, Instant::now()));
                        } else if !picked {
                            healing.push((server, Instant::now()));
                        }
                    }
                }
                Happens::Slow(count, size) => {
                    (0..count)
                        .map(name)
                        .for_each(|server| fleet.slow(&server, if on { size } else { 1.0 }));
                }
                Happens::Burst(size) => fleet.demand(if on { size } else { 1.0 }),
                Happens::Streams if on => (0..FRONTS).for_each(|front| fleet.break_stream(front)),
                Happens::Streams => {}
                Happens::Kill if on => stage.kill(1).await,
                Happens::Kill => stage.again(1).await,
            }
        }
        let picks: Vec<Vec<String>> = CLASSES
            .iter()
            .flat_map(|class| fleet.picks(class))
            .collect();
        watched.retain(|(server, since)| {
            let picked = picks.iter().any(|names| names.contains(server));
            if !picked {
                shut_out.push(since.elapsed().as_secs_f64());
            }
            picked
        });
        healing.retain(|(server, since)| {
            let picked = picks.iter().any(|names| names.contains(server));
            if picked {
                restored.push(since.elapsed().as_secs_f64());
            }
            !picked
        });
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_millis(2200)).await;
    stage.end().await;
    let kept = fleet
        .served()
        .answers
        .lock()
        .expect("no panic while held")
        .take()
        .unwrap_or_default();
    let answers: Vec<_> = kept
        .iter()
        .filter(|of| of.came < begun + Duration::from_secs(SECONDS))
        .collect();
    let service = |class: usize| {
        let own: Vec<_> = answers.iter().filter(|of| of.class == class).collect();
        let good = own
            .iter()
            .filter(|of| of.ms.is_some_and(|ms| ms <= AIM_MS))
            .count();
        good as f64 / own.len().max(1) as f64
    };
    let mut times: Vec<f64> = answers.iter().filter_map(|of| of.ms).collect();
    times.sort_unstable_by(f64::total_cmp);
    let quantile = |share: f64| times.get((share * times.len() as f64) as usize).copied();
    let refused =
        answers.iter().filter(|of| of.refused).count() as f64 / answers.len().max(1) as f64;
    let shut = (!shut_out.is_empty()).then(|| shut_out.iter().sum::<f64>() / shut_out.len() as f64);
    vec![
        ("service lookup", Some(service(0))),
        ("service order", Some(service(1))),
        ("refused", Some(refused)),
        ("p50 ms", quantile(0.5)),
        ("p90 ms", quantile(0.9)),
        ("p99 ms", quantile(0.99)),
        ("shut out s", shut),
        (
            "restored s",
            (!restored.is_empty()).then(|| restored.iter().sum::<f64>() / restored.len() as f64),
        ),
    ]
}

/// One figure of one day: what the model says, how wide its bar is to either side, and what came.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The figure.
    pub name: &'static str,
    /// What the model says.
    pub said: f64,
    /// Half the width of its bar.
    pub half: f64,
    /// What came.
    pub came: f64,
}

impl Row {
    /// Whether what came lies within the bar.
    pub fn holds(&self) -> bool {
        (self.came - self.said).abs() <= self.half
    }
}

/// What the model says of a day.
pub fn said(day: &Day) -> Result<Vec<Figures>, String> {
    let scenario = day.scenario()?;
    Ok((0..RUNS)
        .map(|seed| of_model(&run(&scenario, Control::Module, seed)))
        .collect())
}

/// The bars of a day beside what came. A figure that came up on one side only is a row that does not hold.
pub fn compare(said: &[Figures], came: &Figures) -> Vec<Row> {
    let row = |(place, (name, came)): (usize, &(&'static str, Option<f64>))| {
        let figures: Vec<f64> = said.iter().filter_map(|run| run[place].1).collect();
        match (figures.len() * 2 > said.len(), came) {
            (false, None) => None,
            (true, Some(came)) => Some(bar(name, &figures, *came)),
            (true, None) => Some(Row {
                half: 0.0,
                came: f64::NAN,
                ..bar(name, &figures, 0.0)
            }),
            (false, Some(came)) => Some(Row {
                name,
                said: f64::NAN,
                half: 0.0,
                came: *came,
            }),
        }
    };
    came.iter().enumerate().filter_map(row).collect()
}

/// The bar within which one more run lies: by Student's t, for a single figure rather than a mean, and what can't be told apart.
fn bar(name: &'static str, figures: &[f64], came: f64) -> Row {
    let of = interval(figures, CONFIDENCE);
    let single = of.half_width * (of.runs as f64 + 1.0).sqrt();
    let grain = match name {
        name if name.ends_with("ms") => GRAIN.1 * of.mean + GRAIN.2,
        // Looked at five and ten times a second.
        name if name.ends_with(" s") => 0.3,
        _ => GRAIN.0,
    };
    Row {
        name,
        said: of.mean,
        half: single + grain,
        came,
    }
}

#[cfg(test)]
mod tests;
