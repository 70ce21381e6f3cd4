//! Heavy hitters by a Space-Saving sketch (Metwally, Agrawal, El Abbadi), whose memory does not grow with the number of
//! keys. It overestimates the weight of a key by at most the smallest weight in the sketch.

use rustc_hash::FxHashMap;

/// Default number of counters, which finds all keys with more than 1/64 of the total weight.
pub const DEFAULT_COUNTERS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Counter {
    key: u32,
    weight: f64,
    /// Maximum overestimation of the weight.
    error: f64,
}

/// A key and a lower bound of its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeavyHitter {
    /// Identifier of what the weight was counted for, such as a proxy.
    pub key: u32,
    /// Lower bound of the weight.
    pub weight: f64,
}

/// A Space-Saving sketch.
#[derive(Clone, Debug)]
pub struct HeavyHitters {
    /// A binary heap with the smallest weight first.
    heap: Vec<Counter>,
    /// The index of each key in the heap.
    indices: FxHashMap<u32, usize>,
    capacity: usize,
    total_weight: f64,
}

impl HeavyHitters {
    /// Creates an empty sketch with `capacity` counters, but at least one.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        HeavyHitters {
            heap: Vec::with_capacity(capacity),
            indices: FxHashMap::default(),
            capacity,
            total_weight: 0.0,
        }
    }

    /// Adds weight to a key. Ignores weights that are not positive and finite.
    pub fn add(&mut self, key: u32, weight: f64) {
        if !weight.is_finite() || weight <= 0.0 {
            return;
        }
        self.total_weight += weight;
        if let Some(index) = self.indices.get(&key).copied() {
            self.heap[index].weight += weight;
            self.sift_down(index);
        } else if self.heap.len() < self.capacity {
            self.insert(key, weight);
        } else {
            self.replace_smallest(key, weight);
        }
    }

    fn insert(&mut self, key: u32, weight: f64) {
        let index = self.heap.len();
        self.heap.push(Counter {
            key,
            weight,
            error: 0.0,
        });
        self.indices.insert(key, index);
        self.sift_up(index);
    }

    fn replace_smallest(&mut self, key: u32, weight: f64) {
        let smallest = self.heap[0];
        self.indices.remove(&smallest.key);
        self.heap[0] = Counter {
            key,
            weight: smallest.weight + weight,
            error: smallest.weight,
        };
        self.indices.insert(key, 0);
        self.sift_down(0);
    }

    /// Multiplies all weights by a factor from 0 to 1. Ignores other factors.
    pub fn decay(&mut self, factor: f64) {
        if !(0.0..=1.0).contains(&factor) {
            return;
        }
        for counter in &mut self.heap {
            counter.weight *= factor;
            counter.error *= factor;
        }
        self.total_weight *= factor;
    }

    /// Returns the total weight of all keys.
    pub fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// Returns the keys whose lower bound exceeds `min_weight`, the heaviest first.
    pub fn heavier_than(&self, min_weight: f64) -> Vec<HeavyHitter> {
        let hitters = self.heap.iter().map(|counter| HeavyHitter {
            key: counter.key,
            weight: counter.weight - counter.error,
        });
        let mut heavier: Vec<HeavyHitter> = hitters
            .filter(|hitter| hitter.weight > min_weight)
            .collect();
        heavier.sort_by(|a, b| {
            let by_weight = b.weight.total_cmp(&a.weight);
            by_weight.then(a.key.cmp(&b.key))
        });
        heavier
    }

    fn sift_up(&mut self, mut index: usize) {
        while index > 0 {
            let parent = (index - 1) / 2;
            if self.heap[index].weight >= self.heap[parent].weight {
                return;
            }
            self.swap(index, parent);
            index = parent;
        }
    }

    fn sift_down(&mut self, mut index: usize) {
        while let Some(child) = self.smaller_child(index) {
            if self.heap[child].weight >= self.heap[index].weight {
                return;
            }
            self.swap(index, child);
            index = child;
        }
    }

    fn smaller_child(&self, index: usize) -> Option<usize> {
        let children = [2 * index + 1, 2 * index + 2];
        children
            .into_iter()
            .filter(|child| *child < self.heap.len())
            .min_by(|a, b| self.heap[*a].weight.total_cmp(&self.heap[*b].weight))
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.indices.insert(self.heap[a].key, a);
        self.indices.insert(self.heap[b].key, b);
    }
}

#[cfg(test)]
mod tests;
