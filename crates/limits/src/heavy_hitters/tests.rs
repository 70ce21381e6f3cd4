use std::collections::HashMap;

use proptest::prelude::*;

use super::*;

#[test]
fn the_heavy_ones_are_found_among_ten_thousand() {
    let mut heavy = Heavy::new(COUNTS);
    for round in 0..50u32 {
        for key in 0..10_000 {
            heavy.add(
                key,
                if key % 5000 == 7 {
                    500.0
                } else {
                    1.0 + f64::from((key + round) % 3) * 0.1
                },
            );
        }
    }
    let found: Vec<u32> = heavy
        .above(heavy.total() / 100.0)
        .into_iter()
        .map(|(key, _)| key)
        .collect();
    assert_eq!(found, [7, 5007]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Against an exact table: never under what a key brought, over it by no more than the bound, none of the heavy
    /// missing.
    #[test]
    fn it_errs_within_its_bound(of in prop::collection::vec((0..200u32, 0.1..10.0f64), 1..2000), most in 4..40usize) {
        let mut heavy = Heavy::new(most);
        let mut exact: HashMap<u32, f64> = HashMap::new();
        for (key, weight) in &of {
            heavy.add(*key, *weight);
            *exact.entry(*key).or_default() += weight;
        }
        let total: f64 = exact.values().sum();
        prop_assert!(heavy.heap.len() <= most && heavy.places.len() == heavy.heap.len());
        for count in &heavy.heap {
            let true_sum = exact[&count.key];
            prop_assert!(count.sum >= true_sum - 1e-6 && count.sum - count.over <= true_sum + 1e-6);
            prop_assert!(count.over <= total / most as f64 + 1e-6);
        }
        for (key, sum) in exact {
            prop_assert!(sum <= total / most as f64 + 1e-6 || heavy.places.contains_key(&key));
        }
    }
}
