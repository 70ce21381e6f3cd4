use std::collections::HashMap;

use proptest::prelude::*;

use super::*;

#[test]
fn heavy_keys_are_found_among_ten_thousand() {
    let mut hitters = HeavyHitters::new(DEFAULT_COUNTERS);
    for round in 0..50u32 {
        for key in 0..10_000 {
            hitters.add(
                key,
                if key % 5000 == 7 {
                    500.0
                } else {
                    1.0 + f64::from((key + round) % 3) * 0.1
                },
            );
        }
    }
    let found: Vec<u32> = hitters
        .heavier_than(hitters.total_weight() / 100.0)
        .into_iter()
        .map(|hitter| hitter.key)
        .collect();
    assert_eq!(found, [7, 5007]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Compared with an exact table, the sketch never underestimates a key, overestimates it by at most the bound, and
    /// has every heavy key.
    #[test]
    fn the_error_stays_within_its_bound(additions in prop::collection::vec((0..200u32, 0.1..10.0f64), 1..2000), capacity in 4..40usize) {
        let mut hitters = HeavyHitters::new(capacity);
        let mut exact: HashMap<u32, f64> = HashMap::new();
        for (key, weight) in &additions {
            hitters.add(*key, *weight);
            *exact.entry(*key).or_default() += weight;
        }
        let total_weight: f64 = exact.values().sum();
        prop_assert!(hitters.heap.len() <= capacity && hitters.indices.len() == hitters.heap.len());
        for counter in &hitters.heap {
            let true_weight = exact[&counter.key];
            prop_assert!(counter.weight >= true_weight - 1e-6 && counter.weight - counter.error <= true_weight + 1e-6);
            prop_assert!(counter.error <= total_weight / capacity as f64 + 1e-6);
        }
        for (key, weight) in exact {
            prop_assert!(weight <= total_weight / capacity as f64 + 1e-6 || hitters.indices.contains_key(&key));
        }
    }
}
