//! A search over faults, their times and sizes, for the scenario that breaks a rule or loses the most service, and a
//! shrinker that reduces it to a smaller scenario with the same effect.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;

use chutegrade_model::scenario::pb::{trouble::Sort, Scenario as Declaration, Trouble};
use chutegrade_model::{play, Control, Scenario, Setup, DEFAULT_IDEAL_DELAY_MS};

/// Maximum number of faults that are added to a scenario: as many as incidents had.
const MAX_FAULTS: usize = 3;
/// Candidates that are evaluated in one round.
const CANDIDATES_PER_ROUND: usize = 24;
/// Worst scenarios that are kept after a round.
const SURVIVORS_PER_ROUND: usize = 6;
/// Share of the loss that a shrunk scenario must retain.
const MIN_RETAINED_LOSS: f64 = 0.8;
/// Seeds that a candidate is run with: more than one, so that random variation alone is not a finding.
const SEEDS_PER_CANDIDATE: u64 = 2;
/// Minimum loss of service that is reported.
const MIN_REPORTED_LOSS: f64 = 0.02;

/// Kinds of faults that the search draws from.
const FAULT_KINDS: [Sort; 16] = [
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

/// Returns the largest share that a fault affects in a search: 1.5 times what operators have on record.
fn max_affected_share(kind: Sort) -> f64 {
    match kind {
        Sort::Crash | Sort::Hang | Sort::FailFast => 0.35,
        Sort::Slow => 0.4,
        Sort::Replace => 0.55,
        Sort::Neighbour => 0.7,
        _ => 0.9,
    }
}

/// The setups that a search compares, and what it reports.
#[derive(Clone, Debug)]
pub struct Objective {
    /// The setup under test.
    pub setup: Setup,
    /// The setup that it is compared with; the loss is the difference in service.
    pub baseline: Setup,
    /// Whether only scenarios that break a rule are reported, not those that lose service.
    pub rules_only: bool,
}

/// A scenario with its effect on the setup under test.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The base scenario with the faults that were added, shrunk in the result of a search.
    pub scenario: Declaration,
    /// Name and first description of each broken rule, separated by a colon.
    pub broken_rules: Vec<String>,
    /// Mean service of the setup under test.
    pub service: f64,
    /// Mean service of the baseline on the same seeds.
    pub baseline_service: f64,
    /// Runs of the search before shrinking; in the findings that `on_progress` gets, the runs of this scenario.
    pub runs: usize,
}

impl Finding {
    fn loss(&self) -> f64 {
        self.baseline_service - self.service
    }

    /// Returns how bad the effect is, higher for worse: a broken rule outweighs any loss.
    fn severity(&self, rules_only: bool) -> f64 {
        let rules = self.broken_rules.len() as f64 * 10.0;
        if rules_only {
            // Without a broken rule, a scenario with a loss is closer to breaking one.
            rules + self.loss().clamp(0.0, 1.0) * 0.01
        } else {
            rules + self.loss()
        }
    }
}

fn evaluate(declaration: &Declaration, objective: &Objective, seed: u64) -> Option<Finding> {
    let scenario = Scenario::try_from(declaration).ok()?;
    let mut finding = Finding {
        scenario: declaration.clone(),
        broken_rules: Vec::new(),
        service: 0.0,
        baseline_service: 0.0,
        runs: 0,
    };
    for offset in 0..SEEDS_PER_CANDIDATE {
        let tested = play(&scenario, &objective.setup, seed + offset);
        let baseline = play(&scenario, &objective.baseline, seed + offset);
        finding.service += tested.service() / SEEDS_PER_CANDIDATE as f64;
        finding.baseline_service += baseline.service() / SEEDS_PER_CANDIDATE as f64;
        finding.runs += 2;
        for broken in &tested.broken_rules {
            let description = format!("{}: {}", broken.rule.name(), broken.description);
            if !finding
                .broken_rules
                .iter()
                .any(|known| known.starts_with(broken.rule.name()))
            {
                finding.broken_rules.push(description);
            }
        }
    }
    Some(finding)
}

/// Draws candidates: the base scenario with random faults.
struct CandidateGenerator {
    rng: ChaCha8Rng,
    duration_s: f64,
    zones: Vec<String>,
}

impl CandidateGenerator {
    fn uniform(&mut self, min: f64, max: f64) -> f64 {
        // Rounded to two decimals, which are precise enough and easier to read.
        let drawn = min + (max - min) * self.rng.random::<f64>();
        (drawn * 100.0).round() / 100.0
    }

    fn random_fault(&mut self) -> Trouble {
        let kind = FAULT_KINDS[self.rng.random_range(0..FAULT_KINDS.len())];
        let size = match kind {
            Sort::FailFast => self.uniform(0.2, 1.0),
            Sort::Neighbour => self.uniform(0.2, 0.9),
            Sort::Slow => self.uniform(2.0, 12.0),
            Sort::Heavy => self.uniform(4.0, 30.0),
            Sort::Burst => self.uniform(1.3, 4.0),
            Sort::Way => self.uniform(5.0, 800.0),
            Sort::FrontEndsStand => self.uniform(100.0, 900.0),
            Sort::Replace | Sort::ReportsLate => self.uniform(0.5, 8.0),
            _ => 0.0,
        };
        let extra = match kind {
            Sort::Neighbour => self.uniform(0.5, 5.0),
            Sort::Heavy => self.uniform(0.005, 0.05),
            Sort::Way => self.uniform(0.0, 1.0),
            Sort::Replace => self.uniform(2.0, 12.0),
            Sort::ZoneLost => f64::from(self.rng.random_range(0..2u8)),
            _ => 0.0,
        };
        let has_zone = match kind {
            Sort::ZoneLost | Sort::Way => true,
            _ => self.rng.random_range(0..4) == 0,
        };
        let zone = has_zone.then(|| self.zones[self.rng.random_range(0..self.zones.len())].clone());
        let duration_s = self.duration_s;
        Trouble {
            sort: Some(kind.into()),
            at_s: Some(self.uniform(0.0, duration_s * 0.6)),
            length_s: Some(self.uniform(1.0, duration_s * 0.5)),
            part: Some(self.uniform(0.05, max_affected_share(kind))),
            size: (size > 0.0).then_some(size),
            extra: (extra > 0.0).then_some(extra),
            zone,
            ramp_s: None,
        }
    }

    fn new_candidate(&mut self, base: &Declaration) -> Declaration {
        let mut scenario = base.clone();
        let count = self.rng.random_range(1..=MAX_FAULTS);
        scenario
            .trouble
            .extend((0..count).map(|_| self.random_fault()));
        scenario
    }

    /// Returns a copy of a scenario in which one of the added faults is new, removed or changed.
    fn mutate(&mut self, scenario: &Declaration, base: &Declaration) -> Declaration {
        let mut scenario = scenario.clone();
        let base_faults = base.trouble.len();
        let added_faults = scenario.trouble.len() - base_faults;
        match self.rng.random_range(0..4) {
            0 if added_faults < MAX_FAULTS => {
                let fault = self.random_fault();
                scenario.trouble.push(fault);
            }
            1 if added_faults > 1 => {
                let index = base_faults + self.rng.random_range(0..added_faults);
                scenario.trouble.remove(index);
            }
            _ if added_faults > 0 => {
                let index = base_faults + self.rng.random_range(0..added_faults);
                let duration_s = self.duration_s;
                let max_share = max_affected_share(scenario.trouble[index].sort());
                let (at_s, length_s, part) = (
                    self.uniform(0.0, duration_s * 0.6),
                    self.uniform(1.0, duration_s * 0.5),
                    self.uniform(0.05, max_share),
                );
                let fault = &mut scenario.trouble[index];
                match self.rng.random_range(0..3) {
                    0 => fault.at_s = Some(at_s),
                    1 => fault.length_s = Some(length_s),
                    _ => fault.part = Some(part),
                }
            }
            _ => {}
        }
        scenario
    }
}

/// Searches until `budget` runs are done, then shrinks the worst scenario. Returns `None` if it breaks no rule and its
/// loss is below the minimum or not asked for. `on_progress` gets the runs done and the worst finding so far, and
/// returns whether to continue.
pub fn search(
    base: &Declaration,
    objective: &Objective,
    budget: usize,
    seed: u64,
    mut on_progress: impl FnMut(usize, Option<&Finding>) -> bool,
) -> Option<Finding> {
    let zones = if base.zone.is_empty() {
        vec!["a".to_string()]
    } else {
        base.zone.clone()
    };
    let mut generator = CandidateGenerator {
        rng: ChaCha8Rng::seed_from_u64(seed),
        duration_s: base.seconds.unwrap_or(60.0),
        zones,
    };
    let (mut worst, mut runs): (Vec<Finding>, usize) = (Vec::new(), 0);
    while runs < budget {
        // Half of the candidates are new, half are mutations of the worst scenarios so far.
        let candidates: Vec<Declaration> = (0..CANDIDATES_PER_ROUND)
            .map(|index| match worst.get(index % SURVIVORS_PER_ROUND) {
                Some(found) if index % 2 == 1 => generator.mutate(&found.scenario.clone(), base),
                _ => generator.new_candidate(base),
            })
            .collect();
        let findings: Vec<Finding> = candidates
            .par_iter()
            .filter_map(|candidate| evaluate(candidate, objective, seed))
            .collect();
        runs += findings
            .iter()
            .map(|finding| finding.runs)
            .sum::<usize>()
            .max(1);
        worst.extend(findings);
        worst.sort_by(|left, right| {
            right
                .severity(objective.rules_only)
                .total_cmp(&left.severity(objective.rules_only))
        });
        worst.truncate(SURVIVORS_PER_ROUND);
        if !on_progress(runs, worst.first()) {
            break;
        }
    }
    let worst = worst.into_iter().next()?;
    let is_reportable = !worst.broken_rules.is_empty()
        || (!objective.rules_only && worst.loss() >= MIN_REPORTED_LOSS);
    is_reportable.then(|| Finding {
        runs,
        ..shrink(worst, objective, seed)
    })
}

/// Returns smaller scenarios that may have the same effect, the largest reductions first.
fn smaller_scenarios(original: &Declaration) -> Vec<Declaration> {
    let mut smaller = Vec::new();
    let mut push_changed = |change: &dyn Fn(&mut Declaration)| {
        let mut scenario = original.clone();
        change(&mut scenario);
        if scenario != *original {
            smaller.push(scenario);
        }
    };
    for index in 0..original.trouble.len() {
        push_changed(&|scenario| drop(scenario.trouble.remove(index)));
    }
    let half = |count: Option<u32>, min: u32| count.map(|count| (count / 2).max(min));
    for index in 0..original.kind.len() {
        push_changed(&|scenario| {
            scenario.kind[index].servers = half(original.kind[index].servers, 1)
        });
    }
    push_changed(&|scenario| {
        if let Some(proxies) = &mut scenario.front_ends {
            proxies.count = half(proxies.count, 2);
        }
    });
    push_changed(&|scenario| {
        scenario.seconds = original.seconds.map(|seconds| (seconds / 2.0).max(10.0))
    });
    for index in 0..original.trouble.len() {
        let halved = |value: Option<f64>, min: f64| value.map(|value| (value / 2.0).max(min));
        push_changed(&|scenario| {
            scenario.trouble[index].length_s = halved(original.trouble[index].length_s, 0.5)
        });
        push_changed(&|scenario| {
            scenario.trouble[index].part = halved(original.trouble[index].part, 0.02)
        });
        push_changed(&|scenario| scenario.trouble[index].zone = None);
        push_changed(&|scenario| {
            scenario.trouble[index].at_s = original.trouble[index].at_s.map(f64::round)
        });
    }
    smaller
}

/// Reduces a scenario step by step while it still breaks the same rules or, if it breaks none, retains most of the
/// loss.
fn shrink(finding: Finding, objective: &Objective, seed: u64) -> Finding {
    let rules: Vec<String> = finding
        .broken_rules
        .iter()
        .filter_map(|description| description.split(':').next())
        .map(String::from)
        .collect();
    let min_loss = finding.loss() * MIN_RETAINED_LOSS;
    let has_same_effect = |finding: &Finding| match rules.is_empty() {
        true => finding.loss() >= min_loss,
        false => rules.iter().all(|rule| {
            finding
                .broken_rules
                .iter()
                .any(|description| description.starts_with(rule.as_str()))
        }),
    };
    let mut smallest = finding;
    loop {
        let candidates = smaller_scenarios(&smallest.scenario);
        let evaluated: Vec<Option<Finding>> = candidates
            .par_iter()
            .map(|candidate| evaluate(candidate, objective, seed))
            .collect();
        match evaluated.into_iter().flatten().find(has_same_effect) {
            Some(smaller) => smallest = smaller,
            None => return smallest,
        }
    }
}

/// Returns the default objective: the decision module compared with the ideal control plane, which sees the true state
/// with its default delay.
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
