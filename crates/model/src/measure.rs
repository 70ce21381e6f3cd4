//! What a run gives: service as the operators define it, answer times, what it cost, and the rules.

use std::collections::BTreeMap;

use chutegrade_limits::LevelTransition;
use hdrhistogram::Histogram;

use crate::rules::BrokenRule;
use crate::scenario::{Scenario, Service};

/// Seconds of a span over which nines are counted.
const NINES_SPAN: usize = 5;
/// Longest answer time that is told apart, in microseconds: ten minutes.
const TIME_MOST_US: u64 = 600_000_000;

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered so many microseconds after its client first came.
    Answered(u64),
    /// Turned away by a level, and its client gave up.
    Refused,
    /// Its client gave up, or it failed for good.
    Failed,
}

/// What came of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassOutcome {
    /// Its name.
    pub name: String,
    /// Requests that came.
    pub requests: u64,
    /// Share of its worth that was answered in time.
    pub service: f64,
    /// Share that was refused, and that failed.
    pub refused: f64,
    /// Share that failed.
    pub failed: f64,
    /// Answer times in milliseconds: half, nine tenths, 99 and 99.9 of a hundred lie below.
    pub quantiles_ms: [f64; 4],
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Worth that was asked for.
    pub offered: f64,
    /// Worth that was answered in time.
    pub served: f64,
    /// Requests waiting at servers at its end.
    pub queue: f64,
    /// Lines waiting in the fullest channel at its end, as a share of what may wait.
    pub backlog: f64,
}

/// A supervisor changed its level of service.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelChange {
    /// When, in seconds since the run began.
    pub at_s: f64,
    /// Which supervisor.
    pub supervisor: usize,
    /// What changed, and why.
    pub change: LevelTransition,
}

/// What a run gives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Figures by name, all shares, milliseconds or counts as the name says.
    pub figures: BTreeMap<String, f64>,
    /// By class.
    pub classes: Vec<ClassOutcome>,
    /// By second.
    pub seconds: Vec<Second>,
    /// Rules that were broken.
    pub broken_rules: Vec<BrokenRule>,
    /// Events that were handled.
    pub events: u64,
    /// When each server that a trouble struck was first left by all front ends, by the trouble's number: seconds after.
    pub shut_out_s: Vec<f64>,
    /// When each of these that was left was first picked again, in seconds after its trouble ended.
    pub restored_s: Vec<f64>,
    /// Changes of the level of service, in the order of time.
    pub level_changes: Vec<LevelChange>,
}

impl Outcome {
    /// Service as the operators define it.
    pub fn service(&self) -> f64 {
        self.figure("service")
    }

    /// A figure by name; 0 where there is none.
    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or(0.0)
    }
}

struct Tally {
    requests: u64,
    offered: f64,
    served: f64,
    refused: u64,
    failed: u64,
    times: Histogram<u64>,
}

/// Counts while a run goes on.
pub struct Meter {
    classes: Vec<Tally>,
    seconds: Vec<Second>,
    counts: BTreeMap<&'static str, f64>,
    tops: BTreeMap<&'static str, f64>,
    shut_out_s: Vec<f64>,
    restored_s: Vec<f64>,
    changes: Vec<LevelChange>,
}

fn times() -> Histogram<u64> {
    // Two digits over ten minutes always fit.
    Histogram::new_with_bounds(1, TIME_MOST_US, 2)
        .unwrap_or_else(|_| unreachable!("bounds are constant"))
}

impl Meter {
    /// For a scenario, nothing counted.
    pub fn new(scenario: &Scenario) -> Self {
        let tally = |_| Tally {
            requests: 0,
            offered: 0.0,
            served: 0.0,
            refused: 0,
            failed: 0,
            times: times(),
        };
        Meter {
            classes: scenario.classes.iter().map(tally).collect(),
            seconds: vec![Second::default(); (scenario.duration_us / 1_000_000) as usize + 1],
            counts: BTreeMap::new(),
            tops: BTreeMap::new(),
            shut_out_s: Vec::new(),
            restored_s: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// A level of service changed.
    pub fn changed(&mut self, change: LevelChange) {
        self.changes.push(change);
    }

    /// Adds to a count.
    pub fn count(&mut self, name: &'static str, by: f64) {
        *self.counts.entry(name).or_default() += by;
    }

    /// Keeps the highest.
    pub fn top(&mut self, name: &'static str, value: f64) {
        let top = self.tops.entry(name).or_default();
        *top = top.max(value);
    }

    /// A struck server was left by all front ends so many seconds after.
    pub fn shut_out(&mut self, seconds: f64) {
        self.shut_out_s.push(seconds);
    }

    /// A server that was left is picked again, so many seconds after its trouble ended.
    pub fn restored(&mut self, seconds: f64) {
        self.restored_s.push(seconds);
    }

    /// How things stand at the end of a second.
    pub fn stands(&mut self, second: usize, queue: f64, backlog: f64) {
        if let Some(of) = self.seconds.get_mut(second) {
            (of.queue, of.backlog) = (queue, backlog);
        }
    }

    /// A request that came at a time has ended.
    pub fn ended(&mut self, scenario: &Scenario, class: usize, came_us: u64, ending: Ending) {
        let of = &scenario.classes[class];
        let tally = &mut self.classes[class];
        tally.requests += 1;
        tally.offered += of.worth;
        let served = match ending {
            Ending::Answered(us) => {
                tally.times.saturating_record(us.max(1));
                match us {
                    us if us <= of.aim_us => of.worth,
                    us if us <= of.deadline_us => of.worth * of.late_worth,
                    _ => 0.0,
                }
            }
            Ending::Refused => {
                tally.refused += 1;
                0.0
            }
            Ending::Failed => {
                tally.failed += 1;
                0.0
            }
        };
        tally.served += served;
        if let Some(second) = self.seconds.get_mut((came_us / 1_000_000) as usize) {
            second.offered += of.worth;
            second.served += served;
        }
    }

    /// All that was counted.
    pub fn finish(self, scenario: &Scenario, broken: Vec<BrokenRule>, events: u64) -> Outcome {
        let Meter {
            classes,
            mut seconds,
            counts,
            tops,
            shut_out_s,
            restored_s,
            changes,
        } = self;
        let mut figures = service(&seconds, &classes, &scenario.service);
        let mut put = |name: &str, value: f64| {
            figures.insert(name.to_string(), value);
        };
        let came: f64 = classes
            .iter()
            .map(|class| class.requests as f64)
            .sum::<f64>()
            .max(1.0);
        put(
            "refused",
            classes
                .iter()
                .map(|class| class.refused as f64)
                .sum::<f64>()
                / came,
        );
        put(
            "failed",
            classes.iter().map(|class| class.failed as f64).sum::<f64>() / came,
        );
        put("came", came);
        let mut all = times();
        for class in &classes {
            // Histograms of the same bounds always add.
            let _ = all.add(&class.times);
        }
        for (name, quantile) in [
            ("p50_ms", 0.5),
            ("p90_ms", 0.9),
            ("p99_ms", 0.99),
            ("p999_ms", 0.999),
        ] {
            put(name, all.value_at_quantile(quantile) as f64 / 1e3);
        }
        let per_first = |name: &str| counts.get(name).copied().unwrap_or(0.0) / came;
        put("tries", per_first("tries"));
        put("comings", per_first("comings"));
        put("crossing", per_first("crossing"));
        put("connects", per_first("connects"));
        put("probes", per_first("probes"));
        let offered = counts.get("offered_ms").copied().unwrap_or(0.0).max(1e-9);
        put(
            "wasted",
            counts.get("wasted_ms").copied().unwrap_or(0.0) / offered,
        );
        let length_s = scenario.duration_us as f64 / 1e6;
        let pace = scenario.lines_per_s * scenario.supervisors as f64 * length_s.max(1e-9);
        put(
            "channel",
            counts.get("lines").copied().unwrap_or(0.0) / pace,
        );
        put("backlog", tops.get("backlog").copied().unwrap_or(0.0));
        put("queue", tops.get("queue").copied().unwrap_or(0.0));
        put(
            "connections",
            tops.get("connections").copied().unwrap_or(0.0),
        );
        put("changes", changes.len() as f64);
        put(
            "rules",
            broken.iter().map(|of| of.times).sum::<u64>() as f64,
        );
        if !shut_out_s.is_empty() {
            put(
                "shut_out_s",
                shut_out_s.iter().sum::<f64>() / shut_out_s.len() as f64,
            );
        }
        if !restored_s.is_empty() {
            put(
                "restored_s",
                restored_s.iter().sum::<f64>() / restored_s.len() as f64,
            );
        }
        if seconds.last().is_some_and(|last| last.offered == 0.0) {
            seconds.pop();
        }
        let classes = classes
            .iter()
            .zip(&scenario.classes)
            .map(|(of, class)| of.outcome(&class.name))
            .collect();
        Outcome {
            figures,
            classes,
            seconds,
            broken_rules: broken,
            events,
            shut_out_s,
            restored_s,
            level_changes: changes,
        }
    }
}

impl Tally {
    fn outcome(&self, name: &str) -> ClassOutcome {
        let came = (self.requests as f64).max(1.0);
        ClassOutcome {
            name: name.to_string(),
            requests: self.requests,
            service: share(self.served, self.offered),
            refused: self.refused as f64 / came,
            failed: self.failed as f64 / came,
            quantiles_ms: [0.5, 0.9, 0.99, 0.999]
                .map(|at| self.times.value_at_quantile(at) as f64 / 1e3),
        }
    }
}

/// A share; of nothing asked for all was served.
fn share(served: f64, offered: f64) -> f64 {
    if offered > 0.0 {
        served / offered
    } else {
        1.0
    }
}

fn sums(seconds: &[Second]) -> (f64, f64) {
    seconds.iter().fold((0.0, 0.0), |(served, offered), of| {
        (served + of.served, offered + of.offered)
    })
}

fn service(seconds: &[Second], classes: &[Tally], by: &Service) -> BTreeMap<String, f64> {
    let (served, offered) = sums(seconds);
    let whole = share(served, offered);
    let window = by.window_s.min(seconds.len()).max(1);
    let windows = seconds
        .windows(window)
        .map(sums)
        .filter(|(_, offered)| *offered > 0.0);
    let worst_window = windows
        .map(|(served, offered)| served / offered)
        .fold(1.0, f64::min);
    let asked_for = classes.iter().filter(|class| class.offered > 0.0);
    let worst_class = asked_for
        .map(|class| class.served / class.offered)
        .fold(1.0, f64::min);
    let spans: Vec<f64> = seconds
        .chunks(NINES_SPAN)
        .map(sums)
        .filter(|(_, offered)| *offered > 0.0)
        .map(|(served, offered)| {
            let lost = (1.0 - served / offered).max(0.0);
            if lost > 0.0 {
                (-lost.log10() / by.nines_full).clamp(0.0, 1.0)
            } else {
                1.0
            }
        })
        .collect();
    let nines = if spans.is_empty() {
        1.0
    } else {
        spans.iter().sum::<f64>() / spans.len() as f64
    };
    let parts = [
        (by.whole, whole),
        (by.worst_window, worst_window),
        (by.worst_class, worst_class),
        (by.nines, nines),
    ];
    let weights: f64 = parts.iter().map(|(weight, _)| weight).sum();
    let service = share(
        parts.iter().map(|(weight, value)| weight * value).sum(),
        weights,
    );
    let named = [
        ("service", service),
        ("whole", whole),
        ("worst_window", worst_window),
        ("worst_class", worst_class),
        ("nines", nines),
    ];
    named
        .into_iter()
        .map(|(name, value)| (name.to_string(), value))
        .collect()
}

#[cfg(test)]
mod tests;
