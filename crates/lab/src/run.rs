//! Runs an experiment: paired runs in parallel, evaluated in sequential looks that double the number of runs, until the
//! differences have the requested precision.

use std::collections::BTreeMap;

use rayon::prelude::*;

use chutegrade_model::measure::{Outcome, Second};

use crate::experiment::{Arm, Plan};
use crate::stats::{estimate, holm, interval, required_runs, verdict, Estimate, Verdict};
use crate::store::{Broken, Result, Store, StoreError};

/// Runs per thread that are written to disk in one batch.
const BATCH_RUNS_PER_THREAD: usize = 2;

/// Progress of an experiment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Progress {
    /// Requested runs that are in the store.
    pub done: usize,
    /// Runs needed for the current look.
    pub requested: usize,
    /// Number of the current sequential look, from 1.
    pub look: usize,
    /// Number of looks if none of them ends the experiment early.
    pub max_looks: usize,
}

/// The difference between a variant and the first variant, on one scenario and by one measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Name of the scenario.
    pub case: String,
    /// Name of a figure, or `class.` and a class for the service of that class.
    pub measure: String,
    /// Name of the variant that is compared with the first.
    pub variant: String,
    /// Mean of the measure with the first variant.
    pub base_mean: f64,
    /// Mean of the measure with this variant.
    pub variant_mean: f64,
    /// The paired difference.
    pub difference: Estimate,
    /// The p-value of the difference, corrected for all comparisons of the experiment.
    pub p_value: f64,
    /// Whether the variant has more or less than the first, or neither.
    pub verdict: Verdict,
    /// Runs until the difference has the requested precision; only for the first measure, in whose units it is given.
    pub required_runs: Option<usize>,
}

/// Returns the stored form of a run's outcome.
pub fn stored_result(arm: &Arm, variant: &str, build: &str, seed: u64, outcome: Outcome) -> Result {
    let service = |second: &Second| {
        if second.offered > 0.0 {
            (second.served / second.offered) as f32
        } else {
            1.0
        }
    };
    let broken = outcome.broken_rules.iter().map(|broken| Broken {
        rule: broken.rule.name().to_string(),
        times: broken.times,
        at_s: broken.at_s,
        how: broken.description.clone(),
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
        seconds: outcome.seconds.iter().map(service).collect(),
        broken: broken.collect(),
        events: outcome.events,
        figures: outcome.figures,
    }
}

fn run_arm(plan: &Plan, arm: &Arm, build: &str, seed: u64) -> Result {
    let variant = &plan.variants[arm.variant];
    let outcome = chutegrade_model::play(&arm.scenario, &arm.setup, seed);
    stored_result(arm, &variant.name, build, seed, outcome)
}

/// Runs an experiment until every difference of its first measure has the requested precision, or the maximum number of
/// runs is done. Runs that are in the store are not repeated. `on_progress` is called before each look's runs and after
/// each batch, and returns whether to continue. Returns `false` if `on_progress` stopped the experiment.
pub fn play(
    plan: &Plan,
    build: &str,
    store: &mut Store,
    mut on_progress: impl FnMut(Progress) -> bool,
) -> std::result::Result<bool, StoreError> {
    let max_looks = plan.precision.max_looks();
    let mut runs = plan.precision.pilot_runs;
    let mut unresolved = plan.cases.clone();
    for look in 1..=max_looks {
        let requested: Vec<(&Arm, u64)> = plan
            .arms
            .iter()
            .filter(|arm| unresolved.contains(&arm.case))
            .flat_map(|arm| (0..runs as u64).map(move |offset| (arm, plan.seed + offset)))
            .collect();
        let missing: Vec<&(&Arm, u64)> = requested
            .iter()
            .filter(|(arm, seed)| !store.contains(&arm.digest, build, *seed))
            .collect();
        let mut done = requested.len() - missing.len();
        let batch_size = BATCH_RUNS_PER_THREAD * rayon::current_num_threads();
        if !on_progress(Progress {
            done,
            requested: requested.len(),
            look,
            max_looks,
        }) {
            return Ok(false);
        }
        for batch in missing.chunks(batch_size.max(1)) {
            let results: Vec<Result> = batch
                .par_iter()
                .map(|(arm, seed)| run_arm(plan, arm, build, *seed))
                .collect();
            if let Some(error) = plan
                .variants
                .iter()
                .find_map(|variant| variant.first_error())
            {
                return Err(StoreError::AlternativePolicy(error));
            }
            done += results.len();
            store.append(results)?;
            if !on_progress(Progress {
                done,
                requested: requested.len(),
                look,
                max_looks,
            }) {
                return Ok(false);
            }
        }
        unresolved = unresolved_cases(plan, build, store);
        if unresolved.is_empty() {
            break;
        }
        runs = (runs * 2).min(plan.precision.max_runs);
    }
    Ok(true)
}

/// Returns the scenarios on which a difference of the first measure lacks the requested precision.
fn unresolved_cases(plan: &Plan, build: &str, store: &Store) -> Vec<String> {
    let (confidence, half_width) = (plan.precision.look_confidence(), plan.precision.half_width);
    let measure = plan.measures.first().map_or("", String::as_str);
    let is_unresolved = |case: &&String| {
        let arms: Vec<&Arm> = plan.of_case(case).collect();
        arms.split_first().is_some_and(|(base, others)| {
            let is_precise = |arm: &&Arm| {
                let differences = differences(&pairs(store, build, measure, (base, arm)));
                interval(&differences, confidence).half_width <= half_width
            };
            !others.iter().all(is_precise)
        })
    };
    plan.cases.iter().filter(is_unresolved).cloned().collect()
}

/// Returns the values of a measure for two arms, paired by seed.
fn pairs(store: &Store, build: &str, measure: &str, (base, arm): (&Arm, &Arm)) -> Vec<(f64, f64)> {
    let base_values = values_by_seed(store, &base.digest, build, measure);
    let arm_values = values_by_seed(store, &arm.digest, build, measure);
    arm_values
        .into_iter()
        .filter_map(|(seed, value)| Some((*base_values.get(&seed)?, value)))
        .collect()
}

fn differences(pairs: &[(f64, f64)]) -> Vec<f64> {
    pairs.iter().map(|(base, variant)| variant - base).collect()
}

/// Returns the values of a measure for an arm, by seed; 0 where a run has no such figure.
fn values_by_seed(store: &Store, digest: &str, build: &str, measure: &str) -> BTreeMap<u64, f64> {
    let value = |result: &&Result| {
        let class = measure
            .strip_prefix("class.")
            .and_then(|class| result.classes.get(class));
        class
            .or_else(|| result.figures.get(measure))
            .copied()
            .unwrap_or(0.0)
    };
    store
        .runs_of(digest, build)
        .into_iter()
        .map(|(seed, result)| (seed, value(&result)))
        .collect()
}

/// Returns the paired differences of all variants, by scenario and measure.
pub fn compare(plan: &Plan, build: &str, store: &Store) -> Vec<Comparison> {
    let confidence = plan.precision.look_confidence();
    let mut comparisons = Vec::new();
    for case in &plan.cases {
        let arms: Vec<&Arm> = plan.of_case(case).collect();
        let Some((base, others)) = arms.split_first() else {
            continue;
        };
        for measure in &plan.measures {
            for arm in others {
                let pairs = pairs(store, build, measure, (base, arm));
                let differences = differences(&pairs);
                let mean = |side: fn(&(f64, f64)) -> f64| {
                    pairs.iter().map(side).sum::<f64>() / pairs.len().max(1) as f64
                };
                comparisons.push(Comparison {
                    case: case.clone(),
                    measure: measure.clone(),
                    variant: plan.variants[arm.variant].name.clone(),
                    base_mean: mean(|pair| pair.0),
                    variant_mean: mean(|pair| pair.1),
                    difference: estimate(&differences, confidence, plan.seed),
                    p_value: 1.0,
                    verdict: Verdict::Inconclusive,
                    required_runs: (Some(measure) == plan.measures.first()).then(|| {
                        required_runs(&differences, confidence, plan.precision.half_width)
                    }),
                });
            }
        }
    }
    let corrected = holm(
        &comparisons
            .iter()
            .map(|comparison| comparison.difference.p_value)
            .collect::<Vec<_>>(),
    );
    for (comparison, p_value) in comparisons.iter_mut().zip(corrected) {
        comparison.p_value = p_value;
        comparison.verdict = verdict(
            &comparison.difference,
            p_value,
            plan.precision.confidence,
            plan.precision.half_width,
        );
    }
    comparisons
}

/// Returns the broken rules: scenario, variant, rule, number of runs that broke it, the first seed, and what happened
/// with that seed.
pub fn broken_rules(
    plan: &Plan,
    build: &str,
    store: &Store,
) -> Vec<(String, String, String, u64, u64, String)> {
    let mut found = Vec::new();
    for arm in &plan.arms {
        let mut by_rule: BTreeMap<String, (u64, u64, String)> = BTreeMap::new();
        for (seed, result) in store.runs_of(&arm.digest, build) {
            for broken in &result.broken {
                let entry =
                    by_rule
                        .entry(broken.rule.clone())
                        .or_insert((0, seed, broken.how.clone()));
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
