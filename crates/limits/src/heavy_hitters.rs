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
mod tests;
