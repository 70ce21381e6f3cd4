use std::collections::VecDeque;

use proptest::prelude::*;

use super::*;

const RULES: [Rule; 4] = [Rule::Capacity, Rule::Aimd, Rule::Gradient, Rule::Target];

fn limiter(rule: Rule) -> ConcurrencyLimiter {
    ConcurrencyLimiter::new(ConcurrencyLimitConfig {
        rule,
        ..ConcurrencyLimitConfig::default()
    })
}

/// Simulates a fleet that completes 100 requests a second for each unit of weight and queues admitted requests beyond
/// that, with reports delayed by `delay` seconds. Returns the admitted shares.
fn simulate(
    rule: Rule,
    delay: usize,
    offered: impl Fn(usize) -> f64,
    warm_weight: impl Fn(usize) -> f64,
) -> Vec<f64> {
    let mut limiter = limiter(rule);
    let (mut queue, mut shares) = (0.0f64, Vec::new());
    let mut reports: VecDeque<LoadSample> = VecDeque::new();
    for second in 0..180 {
        let (offered_now, capacity) = (offered(second), 100.0 * warm_weight(second));
        let admitted = offered_now * limiter.admitted_share();
        let completed = (queue + admitted).min(capacity);
        queue = (queue + admitted - capacity).clamp(0.0, 400.0);
        // Three seconds of queued work at unit weight count as full saturation.
        let saturation = (queue / 300.0).min(1.0);
        let sample = LoadSample {
            seconds: 1.0,
            offered: offered_now,
            admitted,
            completed,
            saturation,
            mean_latency_ms: 50.0 + queue * 4.0,
            warm_weight: warm_weight(second),
        };
        reports.push_back(sample);
        if reports.len() > delay {
            limiter.update(&reports.pop_front().expect("there"));
        }
        shares.push(limiter.admitted_share());
    }
    shares
}

fn mean(samples: &[f64]) -> f64 {
    samples.iter().sum::<f64>() / samples.len() as f64
}

#[test]
fn every_rule_admits_everything_while_there_is_headroom() {
    for rule in RULES {
        let shares = simulate(rule, 2, |_| 60.0, |_| 1.0);
        assert!(
            shares.iter().all(|share| *share > 0.95),
            "{rule:?}: {shares:?}"
        );
    }
}

/// Under twice the capacity for a minute, about half is admitted; afterwards everything is.
#[test]
fn every_rule_finds_the_capacity_and_recovers() {
    for rule in RULES {
        let shares = simulate(
            rule,
            2,
            |second| {
                if (40..100).contains(&second) {
                    200.0
                } else {
                    60.0
                }
            },
            |_| 1.0,
        );
        let during = mean(&shares[70..100]);
        assert!((0.3..0.7).contains(&during), "{rule:?}: {during}");
        assert!(mean(&shares[150..]) > 0.9, "{rule:?}: {:?}", &shares[140..]);
    }
}

/// Late reports must not make the capacity rule oscillate.
#[test]
fn the_capacity_rule_is_stable_under_steady_overload() {
    let swing = |rule: Rule, delay: usize| {
        let shares = simulate(
            rule,
            delay,
            |second| if second >= 40 { 200.0 } else { 60.0 },
            |_| 1.0,
        );
        let (lowest, highest) = shares[100..]
            .iter()
            .fold((1.0f64, 0.0f64), |(lowest, highest), share| {
                (lowest.min(*share), highest.max(*share))
            });
        highest - lowest
    };
    for delay in [1, 2] {
        assert!(
            swing(Rule::Capacity, delay) < 0.2,
            "{}",
            swing(Rule::Capacity, delay)
        );
    }
    assert!(swing(Rule::Aimd, 2) > swing(Rule::Capacity, 2));
}

/// The loss of half of the servers reduces the warm weight before a queue forms, and the limit must follow the weight.
#[test]
fn the_capacity_rule_reacts_to_lost_servers_at_once() {
    let shares = simulate(
        Rule::Capacity,
        1,
        |second| if second >= 30 { 180.0 } else { 60.0 },
        |second| if second >= 90 { 0.5 } else { 1.0 },
    );
    assert!(
        shares[95] < 0.75 * mean(&shares[70..88]),
        "{:?}",
        &shares[86..98]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Extreme values must not move the limit out of its bounds, nor keep it low after the load is normal again.
    #[test]
    fn any_samples_keep_the_share_in_bounds(
        rule in 0..4usize,
        samples in prop::collection::vec((-1.0..1e9f64, -1.0..1e9f64, 0.0..2.0f64, prop::num::f64::ANY, 0.0..1e6f64), 1..60),
    ) {
        let mut limiter = limiter(RULES[rule]);
        for (offered, completed, saturation, mean_latency_ms, warm_weight) in samples {
            let share = limiter.update(&LoadSample { seconds: 1.0, offered, admitted: completed, completed, saturation, mean_latency_ms, warm_weight });
            prop_assert!((MIN_ADMITTED_SHARE..=1.0).contains(&share));
        }
        // Ten minutes of normal load.
        for _ in 0..600 {
            limiter.update(&LoadSample { seconds: 1.0, offered: 10.0, admitted: 10.0, completed: 10.0, saturation: 0.0, mean_latency_ms: 50.0, warm_weight: 10.0 });
        }
        prop_assert!(limiter.admitted_share() > 0.9, "{}", limiter.admitted_share());
    }
}
