//! Playing an experiment: pairs of runs in parallel, looked at after each doubling, until all is known as well as asked.

use std::collections::BTreeMap;

use rayon::prelude::*;

use chutegrade_model::measure::{Outcome, Second};

use crate::experiment::{Arm, Plan};
use crate::stats::{estimate, holm, interval, needed, verdict, Estimate, Verdict};
use crate::store::{Broken, Result, Store, StoreError};

/// Runs that go to the disk together, for each thread.
const TOGETHER: usize = 2;

/// Where an experiment stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Progress {
    /// Runs that are there.
    pub done: usize,
    /// Runs needed for the current look.
    pub requested: usize,
    /// Number of the current sequential look, from 1.
    pub look: usize,
    /// Number of looks if none ends the experiment early.
    pub max_looks: usize,
}

/// One difference: a variant against the first, on a scenario, by a measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The scenario.
    pub case: String,
    /// The measure.
    pub measure: String,
    /// The variant.
    pub variant: String,
    /// What the first variant has in the mean, and what this one has.
    pub means: (f64, f64),
    /// The difference, in pairs.
    pub difference: Estimate,
    /// Chance of it by accident, corrected for all comparisons.
    pub p: f64,
    /// What it says.
    pub verdict: Verdict,
    /// Runs after which it is known as well as asked; of the first measure only, in whose units that is asked.
    pub needed: Option<usize>,
}

/// What came of a run, as it is kept.
pub fn kept(arm: &Arm, variant: &str, build: &str, seed: u64, outcome: Outcome) -> Result {
    let share = |of: &Second| {
        if of.offered > 0.0 {
            (of.served / of.offered) as f32
        } else {
            1.0
        }
    };
    let broken = outcome.broken_rules.iter().map(|of| Broken {
        rule: of.rule.name().to_string(),
        times: of.times,
        at_s: of.at_s,
        how: of.description.clone(),
    });
    Result {
        case: arm.case.clone(),
        variant: variant.to_string(),
        digest: arm.digest.clone(),
        build: build.to_string(),
        seed,
        classes: outcome
            .classes
            .iter()
            .map(|class| (class.name.clone(), class.service))
            .collect(),
        seconds: outcome.seconds.iter().map(share).collect(),
        broken: broken.collect(),
        events: outcome.events,
        figures: outcome.figures,
    }
}

/// Plays one arm with one seed.
fn one(plan: &Plan, arm: &Arm, build: &str, seed: u64) -> Result {
    let variant = &plan.variants[arm.variant];
    let outcome = chutegrade_model::play(&arm.scenario, &arm.setup, seed);
    kept(arm, &variant.name, build, seed, outcome)
}

/// Plays an experiment until every difference of its first measure is known as well as asked, or the most runs are done.
/// What is in the store already is not played again. `tell` is called after each lot; it says whether to go on.
pub fn play(
    plan: &Plan,
    build: &str,
    store: &mut Store,
    mut tell: impl FnMut(Progress) -> bool,
) -> std::result::Result<bool, StoreError> {
    let looks = plan.precision.looks();
    let mut runs = plan.precision.pilot;
    let mut open = plan.cases.clone();
    for look in 1..=looks {
        let wanted: Vec<(&Arm, u64)> = plan
            .arms
            .iter()
            .filter(|arm| open.contains(&arm.case))
            .flat_map(|arm| (0..runs as u64).map(move |number| (arm, plan.seed + number)))
            .collect();
        let missing: Vec<&(&Arm, u64)> = wanted
            .iter()
            .filter(|(arm, seed)| !store.has(&arm.digest, build, *seed))
            .collect();
        let mut done = wanted.len() - missing.len();
        let lot = TOGETHER * rayon::current_num_threads();
        if !tell(Progress {
            done,
            requested: wanted.len(),
            look,
            max_looks: looks,
        }) {
            return Ok(false);
        }
        for some in missing.chunks(lot.max(1)) {
            let results: Vec<Result> = some
                .par_iter()
                .map(|(arm, seed)| one(plan, arm, build, *seed))
                .collect();
            if let Some(said) = plan.variants.iter().find_map(|variant| variant.fault()) {
                return Err(StoreError::AlternativePolicy(said));
            }
            done += results.len();
            store.add(results)?;
            if !tell(Progress {
                done,
                requested: wanted.len(),
                look,
                max_looks: looks,
            }) {
                return Ok(false);
            }
        }
        open = unsettled(plan, build, store);
        if open.is_empty() {
            break;
        }
        runs = (runs * 2).min(plan.precision.most);
    }
    Ok(true)
}

/// Scenarios on which some difference of the first measure is not known as well as asked.
fn unsettled(plan: &Plan, build: &str, store: &Store) -> Vec<String> {
    let (confidence, half_width) = (plan.precision.of_a_look(), plan.precision.half_width);
    let measure = plan.measures.first().map_or("", String::as_str);
    let open = |case: &&String| {
        let arms: Vec<&Arm> = plan.of_case(case).collect();
        arms.split_first().is_some_and(|(base, others)| {
            let known = |arm: &&Arm| {
                let differences = differences(&pairs(store, build, measure, (base, arm)));
                interval(&differences, confidence).half_width <= half_width
            };
            !others.iter().all(known)
        })
    };
    plan.cases.iter().filter(open).cloned().collect()
}

/// A measure of two arms, in pairs of the same seed.
fn pairs(store: &Store, build: &str, measure: &str, (base, arm): (&Arm, &Arm)) -> Vec<(f64, f64)> {
    let of_base = figures(store, &base.digest, build, measure);
    let own = figures(store, &arm.digest, build, measure);
    own.into_iter()
        .filter_map(|(seed, figure)| Some((*of_base.get(&seed)?, figure)))
        .collect()
}

fn differences(pairs: &[(f64, f64)]) -> Vec<f64> {
    pairs.iter().map(|(one, other)| other - one).collect()
}

/// Figures of an arm by seed.
fn figures(store: &Store, digest: &str, build: &str, measure: &str) -> BTreeMap<u64, f64> {
    let figure = |result: &&Result| {
        let class = measure
            .strip_prefix("class.")
            .and_then(|class| result.classes.get(class));
        class
            .or_else(|| result.figures.get(measure))
            .copied()
            .unwrap_or(0.0)
    };
    store
        .of(digest, build)
        .into_iter()
        .map(|(seed, result)| (seed, figure(&result)))
        .collect()
}

/// All differences, in pairs of the same seed.
pub fn compare(plan: &Plan, build: &str, store: &Store) -> Vec<Comparison> {
    let confidence = plan.precision.of_a_look();
    let mut all = Vec::new();
    for case in &plan.cases {
        let arms: Vec<&Arm> = plan.of_case(case).collect();
        let Some((base, others)) = arms.split_first() else {
            continue;
        };
        for measure in &plan.measures {
            for arm in others {
                let pairs = pairs(store, build, measure, (base, arm));
                let differences = differences(&pairs);
                let mean = |of: fn(&(f64, f64)) -> f64| {
                    pairs.iter().map(of).sum::<f64>() / pairs.len().max(1) as f64
                };
                all.push(Comparison {
                    case: case.clone(),
                    measure: measure.clone(),
                    variant: plan.variants[arm.variant].name.clone(),
                    means: (mean(|pair| pair.0), mean(|pair| pair.1)),
                    difference: estimate(&differences, confidence, plan.seed),
                    p: 1.0,
                    verdict: Verdict::Open,
                    needed: (Some(measure) == plan.measures.first())
                        .then(|| needed(&differences, confidence, plan.precision.half_width)),
                });
            }
        }
    }
    let corrected = holm(&all.iter().map(|of| of.difference.p).collect::<Vec<_>>());
    for (of, p) in all.iter_mut().zip(corrected) {
        of.p = p;
        of.verdict = verdict(
            &of.difference,
            p,
            plan.precision.confidence,
            plan.precision.half_width,
        );
    }
    all
}

/// Rules that were broken, by scenario, variant and rule, with how often and the first seed.
pub fn broken(
    plan: &Plan,
    build: &str,
    store: &Store,
) -> Vec<(String, String, String, u64, u64, String)> {
    let mut found = Vec::new();
    for arm in &plan.arms {
        let mut by_rule: BTreeMap<String, (u64, u64, String)> = BTreeMap::new();
        for (seed, result) in store.of(&arm.digest, build) {
            for of in &result.broken {
                let entry = by_rule
                    .entry(of.rule.clone())
                    .or_insert((0, seed, of.how.clone()));
                entry.0 += 1;
            }
        }
        let variant = &plan.variants[arm.variant].name;
        for (rule, (runs, seed, how)) in by_rule {
            found.push((arm.case.clone(), variant.clone(), rule, runs, seed, how));
        }
    }
    found
}
