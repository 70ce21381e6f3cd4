use rand::{Rng, SeedableRng};

use super::*;

/// The estimator and its last estimate.
struct Simulated {
    estimator: RepeatEstimator,
    repeated_share: f64,
}

/// Simulates new demand that drifts, clients that repeat lost requests a second later with a probability, and a level
/// that changes from time to time.
fn simulate(repeat_probability: f64, seconds: usize, seed: u64) -> Simulated {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut estimator = RepeatEstimator::default();
    let mut lost = 0.0;
    let mut admitted_share = 1.0;
    let mut new_demand = 100.0f64;
    for second in 0..seconds {
        if second % 12 == 5 {
            admitted_share = [1.0, 0.6, 0.8, 0.5][(second / 12) % 4];
        }
        new_demand = (new_demand + random.random_range(-3.0..3.0f64)).clamp(70.0, 130.0);
        let arrivals = new_demand + repeat_probability * lost;
        let shed = arrivals * (1.0 - admitted_share);
        estimator.record(ArrivalSample {
            arrivals,
            shed,
            unanswered: 0.0,
            shed_share: 1.0 - admitted_share,
        });
        lost = shed;
    }
    let repeated_share = estimator.repeated_share();
    Simulated {
        estimator,
        repeated_share,
    }
}

#[test]
fn repeats_are_distinguished_from_new_demand() {
    for seed in 0..5 {
        let none = simulate(0.0, 400, seed);
        let probability = none.estimator.repeat_probability();
        assert!(
            probability.value < 0.2 && none.repeated_share < 0.1,
            "{probability:?}"
        );
        let most = simulate(0.8, 400, seed);
        let probability = most.estimator.repeat_probability();
        assert!(
            (0.5..=1.0).contains(&probability.value) && probability.confidence > 0.9,
            "{probability:?}"
        );
    }
}

/// Growing demand changes the level; further growth must not be mistaken for repeats.
#[test]
fn new_demand_that_changes_the_level_is_not_taken_as_repeats() {
    let mut estimator = RepeatEstimator::default();
    let mut arrivals: f64 = 60.0;
    for second in 0..200 {
        let target = if second % 50 > 20 { 200.0 } else { 60.0 };
        arrivals += 0.5 * (target - arrivals);
        let shed_share = if second % 50 > 22 || (second > 50 && second % 50 < 3) {
            0.5
        } else {
            0.0
        };
        estimator.record(ArrivalSample {
            arrivals,
            shed: arrivals * shed_share,
            unanswered: 0.0,
            shed_share,
        });
    }
    assert!(
        estimator.repeated_share() < 0.1,
        "{:?}",
        estimator.repeat_probability()
    );
}

/// A burst of new demand raises both arrivals and losses, and must not be mistaken for repeats.
#[test]
fn a_burst_is_not_taken_as_repeats() {
    let mut estimator = RepeatEstimator::default();
    for second in 0..300 {
        let arrivals = if second % 40 > 20 { 200.0 } else { 80.0 };
        let unanswered = f64::max(0.0, arrivals - 100.0);
        estimator.record(ArrivalSample {
            arrivals,
            shed: 0.0,
            unanswered,
            shed_share: 0.0,
        });
    }
    let no_evidence = RepeatProbability {
        value: 0.0,
        confidence: 0.0,
    };
    assert_eq!(
        (estimator.repeat_probability(), estimator.repeated_share()),
        (no_evidence, 0.0)
    );
}
