//! The few that bring most: a Space-Saving sketch (Metwally, Agrawal, El Abbadi) over keys with weights, in memory that does
//! not grow with the number of keys. What it counts is at most too high, by no more than the smallest count it holds.

use rustc_hash::FxHashMap;

/// Counts for each sketch: finds all that bring over a sixty-fourth of the whole.
pub const COUNTS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Count {
    key: u32,
    sum: f64,
    over: f64,
}

/// The sketch: a heap of counts with the smallest first, and where each key stands in it.
#[derive(Clone, Debug)]
pub struct Heavy {
    heap: Vec<Count>,
    places: FxHashMap<u32, usize>,
    most: usize,
    total: f64,
}

impl Heavy {
    /// An empty one with so many counts.
    pub fn new(most: usize) -> Self {
        let most = most.max(1);
        Heavy {
            heap: Vec::with_capacity(most),
            places: FxHashMap::default(),
            most,
            total: 0.0,
        }
    }

    /// Adds to a key. What is no positive number is passed over.
    pub fn add(&mut self, key: u32, weight: f64) {
        if !weight.is_finite() || weight <= 0.0 {
            return;
        }
        self.total += weight;
        if let Some(place) = self.places.get(&key).copied() {
            self.heap[place].sum += weight;
            self.sink(place);
        } else if self.heap.len() < self.most {
            self.heap.push(Count {
                key,
                sum: weight,
                over: 0.0,
            });
            self.places.insert(key, self.heap.len() - 1);
            self.rise(self.heap.len() - 1);
        } else {
            let smallest = self.heap[0];
            self.places.remove(&smallest.key);
            self.heap[0] = Count {
                key,
                sum: smallest.sum + weight,
                over: smallest.sum,
            };
            self.places.insert(key, 0);
            self.sink(0);
        }
    }

    /// All that was counted fades to this share.
    pub fn fade(&mut self, keep: f64) {
        if !(0.0..=1.0).contains(&keep) {
            return;
        }
        for count in &mut self.heap {
            count.sum *= keep;
            count.over *= keep;
        }
        self.total *= keep;
    }

    /// The sum of all keys.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Keys that surely bring more than so much, the heaviest first, each with what it surely brings.
    pub fn above(&self, least: f64) -> Vec<(u32, f64)> {
        let sure = self
            .heap
            .iter()
            .map(|count| (count.key, count.sum - count.over));
        let mut above: Vec<(u32, f64)> = sure.filter(|(_, sum)| *sum > least).collect();
        above.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        above
    }

    fn rise(&mut self, mut place: usize) {
        while place > 0 && self.heap[place].sum < self.heap[(place - 1) / 2].sum {
            self.swap(place, (place - 1) / 2);
            place = (place - 1) / 2;
        }
    }

    fn sink(&mut self, mut place: usize) {
        loop {
            let children = [2 * place + 1, 2 * place + 2]
                .into_iter()
                .filter(|child| *child < self.heap.len());
            let smallest = children.min_by(|a, b| self.heap[*a].sum.total_cmp(&self.heap[*b].sum));
            match smallest {
                Some(child) if self.heap[child].sum < self.heap[place].sum => {
                    self.swap(place, child);
                    place = child;
                }
                _ => break,
            }
        }
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.places.insert(self.heap[a].key, a);
        self.places.insert(self.heap[b].key, b);
    }
}

#[cfg(test)]
mod tests {
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
}
