//! The hunt: a search over troubles, their times and sizes, for the scenario on which a rule breaks or most is lost, and a
//! shrinker that gives back the smallest one that still does.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;

use chutegrade_model::scenario::pb::{trouble::Sort, Scenario as Written, Trouble};
use chutegrade_model::{play, Control, Scenario, Setup, DEFAULT_IDEAL_DELAY_MS};

/// Troubles together at most: what incidents had.
const TROUBLES_MOST: usize = 3;
/// Candidates of a round, and how many of the best go on to the next.
const ROUND: (usize, usize) = (24, 6);
/// Part of the loss that a smaller scenario must keep.
const KEPT: f64 = 0.8;
/// Seeds that a candidate is played with: chance alone is nothing found.
const SEEDS: u64 = 2;
/// A loss from which something is worth telling.
const LOSS_LEAST: f64 = 0.02;

/// Sorts of trouble that are searched.
const SORTS: [Sort; 16] = [
    Sort::Crash,
    Sort::Hang,
    Sort::FailFast,
    Sort::Slow,
    Sort::Neighbour,
    Sort::Heavy,
    Sort::Burst,
    Sort::Streams,
    Sort::ZoneLost,
    Sort::Way,
    Sort::FrontEndsStand,
    Sort::SupervisorsStand,
    Sort::SupervisorsDie,
    Sort::FrontEndsDie,
    Sort::Replace,
    Sort::ReportsLate,
];

/// The largest share that a trouble strikes in a search: what operators have on record, and half as much again.
fn part_most(sort: Sort) -> f64 {
    match sort {
        Sort::Crash | Sort::Hang | Sort::FailFast => 0.35,
        Sort::Slow => 0.4,
        Sort::Replace => 0.55,
        Sort::Neighbour => 0.7,
        _ => 0.9,
    }
}

/// What is hunted for.
#[derive(Clone, Debug)]
pub struct Objective {
    /// What is judged.
    pub setup: Setup,
    /// What it is judged against; the loss is the difference in service.
    pub baseline: Setup,
    /// Only broken rules count.
    pub rules_only: bool,
}

/// A scenario that was found.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The scenario.
    pub scenario: Written,
    /// Rules that break on it, in words.
    pub broken_rules: Vec<String>,
    /// Mean service of the setup under test, as a share of the offered load.
    pub service: f64,
    /// Mean service of the baseline on the same seeds.
    pub baseline_service: f64,
    /// Runs that the search took.
    pub runs: usize,
}

impl Finding {
    fn loss(&self) -> f64 {
        self.baseline_service - self.service
    }

    /// What is worse: a broken rule before any loss.
    fn bad(&self, rules_only: bool) -> f64 {
        let rules = self.broken_rules.len() as f64 * 10.0;
        if rules_only {
            // Without one, what hurts is nearer to it than what does not.
            rules + self.loss().clamp(0.0, 1.0) * 0.01
        } else {
            rules + self.loss()
        }
    }
}

fn judge(written: &Written, objective: &Objective, seed: u64) -> Option<Finding> {
    let scenario = Scenario::try_from(written).ok()?;
    let mut found = Finding {
        scenario: written.clone(),
        broken_rules: Vec::new(),
        service: 0.0,
        baseline_service: 0.0,
        runs: 0,
    };
    for number in 0..SEEDS {
        let own = play(&scenario, &objective.setup, seed + number);
        let other = play(&scenario, &objective.baseline, seed + number);
        found.service += own.service() / SEEDS as f64;
        found.baseline_service += other.service() / SEEDS as f64;
        found.runs += 2;
        for of in &own.broken_rules {
            let said = format!("{}: {}", of.rule.name(), of.description);
            if !found
                .broken_rules
                .iter()
                .any(|known| known.starts_with(of.rule.name()))
            {
                found.broken_rules.push(said);
            }
        }
    }
    Some(found)
}

struct Search {
    rng: ChaCha8Rng,
    seconds: f64,
    zones: Vec<String>,
}

impl Search {
    fn between(&mut self, least: f64, most: f64) -> f64 {
        // Three digits are enough, and read better.
        let drawn = least + (most - least) * self.rng.random::<f64>();
        (drawn * 100.0).round() / 100.0
    }

    fn trouble(&mut self) -> Trouble {
        let sort = SORTS[self.rng.random_range(0..SORTS.len())];
        let size = match sort {
            Sort::FailFast => self.between(0.2, 1.0),
            Sort::Neighbour => self.between(0.2, 0.9),
            Sort::Slow => self.between(2.0, 12.0),
            Sort::Heavy => self.between(4.0, 30.0),
            Sort::Burst => self.between(1.3, 4.0),
            Sort::Way => self.between(5.0, 800.0),
            Sort::FrontEndsStand => self.between(100.0, 900.0),
            Sort::Replace | Sort::ReportsLate => self.between(0.5, 8.0),
            _ => 0.0,
        };
        let extra = match sort {
            Sort::Neighbour => self.between(0.5, 5.0),
            Sort::Heavy => self.between(0.005, 0.05),
            Sort::Way => self.between(0.0, 1.0),
            Sort::Replace => self.between(2.0, 12.0),
            Sort::ZoneLost => f64::from(self.rng.random_range(0..2u8)),
            _ => 0.0,
        };
        let zone = match sort {
            Sort::ZoneLost | Sort::Way => true,
            _ => self.rng.random_range(0..4) == 0,
        };
        let zone = zone.then(|| self.zones[self.rng.random_range(0..self.zones.len())].clone());
        let most = self.seconds;
        Trouble {
            sort: Some(sort.into()),
            at_s: Some(self.between(0.0, most * 0.6)),
            length_s: Some(self.between(1.0, most * 0.5)),
            part: Some(self.between(0.05, part_most(sort))),
            size: (size > 0.0).then_some(size),
            extra: (extra > 0.0).then_some(extra),
            zone,
            ramp_s: None,
        }
    }

    fn fresh(&mut self, base: &Written) -> Written {
        let mut scenario = base.clone();
        let count = self.rng.random_range(1..=TROUBLES_MOST);
        scenario.trouble.extend((0..count).map(|_| self.trouble()));
        scenario
    }

    /// A neighbour of a scenario that was found bad.
    fn near(&mut self, of: &Written, base: &Written) -> Written {
        let mut scenario = of.clone();
        let kept = base.trouble.len();
        let own = scenario.trouble.len() - kept;
        match self.rng.random_range(0..4) {
            0 if own < TROUBLES_MOST => {
                let more = self.trouble();
                scenario.trouble.push(more);
            }
            1 if own > 1 => {
                let at = kept + self.rng.random_range(0..own);
                scenario.trouble.remove(at);
            }
            _ if own > 0 => {
                let at = kept + self.rng.random_range(0..own);
                let most = self.seconds;
                let part_most = part_most(scenario.trouble[at].sort());
                let (at_s, length_s, part) = (
                    self.between(0.0, most * 0.6),
                    self.between(1.0, most * 0.5),
                    self.between(0.05, part_most),
                );
                let of = &mut scenario.trouble[at];
                match self.rng.random_range(0..3) {
                    0 => of.at_s = Some(at_s),
                    1 => of.length_s = Some(length_s),
                    _ => of.part = Some(part),
                }
            }
            _ => {}
        }
        scenario
    }
}

/// Searches with so many runs, then shrinks what was found. None if nothing is worth telling. `tell` gets runs done and the
/// worst so far; it says whether to go on.
pub fn search(
    base: &Written,
    objective: &Objective,
    budget: usize,
    seed: u64,
    mut tell: impl FnMut(usize, Option<&Finding>) -> bool,
) -> Option<Finding> {
    let zones = if base.zone.is_empty() {
        vec!["a".to_string()]
    } else {
        base.zone.clone()
    };
    let mut search = Search {
        rng: ChaCha8Rng::seed_from_u64(seed),
        seconds: base.seconds.unwrap_or(60.0),
        zones,
    };
    let (mut best, mut runs): (Vec<Finding>, usize) = (Vec::new(), 0);
    while runs < budget {
        // Half are new, half are neighbours of the worst so far.
        let candidates: Vec<Written> = (0..ROUND.0)
            .map(|place| match best.get(place % ROUND.1) {
                Some(found) if place % 2 == 1 => search.near(&found.scenario.clone(), base),
                _ => search.fresh(base),
            })
            .collect();
        let found: Vec<Finding> = candidates
            .par_iter()
            .filter_map(|candidate| judge(candidate, objective, seed))
            .collect();
        runs += found.iter().map(|of| of.runs).sum::<usize>().max(1);
        best.extend(found);
        best.sort_by(|one, other| {
            other
                .bad(objective.rules_only)
                .total_cmp(&one.bad(objective.rules_only))
        });
        best.truncate(ROUND.1);
        if !tell(runs, best.first()) {
            break;
        }
    }
    let worst = best.into_iter().next()?;
    let worth =
        !worst.broken_rules.is_empty() || (!objective.rules_only && worst.loss() >= LOSS_LEAST);
    worth.then(|| Finding {
        runs,
        ..shrink(worst, objective, seed)
    })
}

/// Smaller scenarios that may still do it, the largest steps first.
fn smaller(of: &Written) -> Vec<Written> {
    let mut all = Vec::new();
    let mut with = |change: &dyn Fn(&mut Written)| {
        let mut scenario = of.clone();
        change(&mut scenario);
        if scenario != *of {
            all.push(scenario);
        }
    };
    for at in 0..of.trouble.len() {
        with(&|scenario| drop(scenario.trouble.remove(at)));
    }
    let half = |count: Option<u32>, least: u32| count.map(|count| (count / 2).max(least));
    for at in 0..of.kind.len() {
        with(&|scenario| scenario.kind[at].servers = half(of.kind[at].servers, 1));
    }
    with(&|scenario| {
        if let Some(front) = &mut scenario.front_ends {
            front.count = half(front.count, 2);
        }
    });
    with(&|scenario| scenario.seconds = of.seconds.map(|seconds| (seconds / 2.0).max(10.0)));
    for at in 0..of.trouble.len() {
        let halved =
            |figure: Option<f64>, least: f64| figure.map(|figure| (figure / 2.0).max(least));
        with(&|scenario| scenario.trouble[at].length_s = halved(of.trouble[at].length_s, 0.5));
        with(&|scenario| scenario.trouble[at].part = halved(of.trouble[at].part, 0.02));
        with(&|scenario| scenario.trouble[at].zone = None);
        with(&|scenario| scenario.trouble[at].at_s = of.trouble[at].at_s.map(f64::round));
    }
    all
}

/// The smallest scenario that still breaks the same rules, or loses most of what the found one lost.
fn shrink(found: Finding, objective: &Objective, seed: u64) -> Finding {
    let rules: Vec<String> = found
        .broken_rules
        .iter()
        .filter_map(|said| said.split(':').next())
        .map(String::from)
        .collect();
    let least = found.loss() * KEPT;
    let still = |of: &Finding| match rules.is_empty() {
        true => of.loss() >= least,
        false => rules.iter().all(|rule| {
            of.broken_rules
                .iter()
                .any(|said| said.starts_with(rule.as_str()))
        }),
    };
    let mut smallest = found;
    loop {
        let candidates = smaller(&smallest.scenario);
        let tried: Vec<Option<Finding>> = candidates
            .par_iter()
            .map(|candidate| judge(candidate, objective, seed))
            .collect();
        match tried.into_iter().flatten().find(still) {
            Some(of) => smallest = of,
            None => return smallest,
        }
    }
}

/// The usual objective: the module against one that sees the truth half a second late.
pub fn default_objective(rules_only: bool) -> Objective {
    Objective {
        setup: Setup::default(),
        baseline: Setup {
            control: Control::Ideal(DEFAULT_IDEAL_DELAY_MS),
            ..Setup::default()
        },
        rules_only,
    }
}
