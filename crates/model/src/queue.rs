//! Events in the order of their times. Two queues that give the same order: a plain heap, and one made for this job, in which
//! most events lie less than a few seconds ahead and many are only milliseconds away: a wheel of narrow slots, a wheel of
//! wide ones, and a heap for what lies beyond.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A queue of events: by time, and of one time in the order in which they were put in.
pub trait Queue<T> {
    /// Puts an event in. A time that has passed counts as now.
    fn push(&mut self, at: u64, what: T);
    /// Takes the next event out.
    fn pop(&mut self) -> Option<(u64, T)>;
    /// How many wait.
    fn len(&self) -> usize;
    /// Whether none waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[derive(Debug)]
struct Entry<T> {
    at: u64,
    seq: u64,
    what: T,
}

impl<T> Entry<T> {
    fn key(&self) -> (u64, u64) {
        (self.at, self.seq)
    }
    fn slot(&self) -> u64 {
        self.at >> GRAIN_BITS
    }
    fn page(&self) -> u64 {
        self.slot() >> WHEEL_BITS
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The earliest is the greatest, as the heap wants it.
impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// A binary heap: what the wheel is measured against.
#[derive(Debug)]
pub struct Plain<T> {
    heap: BinaryHeap<Entry<T>>,
    seq: u64,
    now: u64,
}

impl<T> Default for Plain<T> {
    fn default() -> Self {
        Plain {
            heap: BinaryHeap::new(),
            seq: 0,
            now: 0,
        }
    }
}

impl<T> Queue<T> for Plain<T> {
    fn push(&mut self, at: u64, what: T) {
        self.seq += 1;
        self.heap.push(Entry {
            at: at.max(self.now),
            seq: self.seq,
            what,
        });
    }

    fn pop(&mut self) -> Option<(u64, T)> {
        let Entry { at, what, .. } = self.heap.pop()?;
        self.now = at;
        Some((at, what))
    }

    fn len(&self) -> usize {
        self.heap.len()
    }
}

/// Microseconds of a narrow slot, as a power of two: 64. Some tens of events lie in one at the largest sizes.
const GRAIN_BITS: u32 = 6;
/// Slots of a wheel, as a power of two: 1,024 narrow ones are 65 ms, 1,024 wide ones 67 s.
const WHEEL_BITS: u32 = 10;
const WHEEL: usize = 1 << WHEEL_BITS;
const MASK: u64 = (WHEEL - 1) as u64;
const WORDS: usize = WHEEL / 64;

/// Which slots hold something.
#[derive(Clone, Debug)]
struct Bits([u64; WORDS]);

impl Bits {
    fn set(&mut self, at: usize) {
        self.0[at / 64] |= 1 << (at % 64);
    }

    fn clear(&mut self, at: usize) {
        self.0[at / 64] &= !(1 << (at % 64));
    }

    /// The first slot from this one on that holds something.
    fn from(&self, at: usize) -> Option<usize> {
        let first = at / 64;
        let own = self.0.get(first)? & (u64::MAX << (at % 64));
        let rest = self
            .0
            .iter()
            .enumerate()
            .skip(first + 1)
            .map(|(word, bits)| (word, *bits));
        let (word, bits) = std::iter::once((first, own))
            .chain(rest)
            .find(|(_, bits)| *bits != 0)?;
        Some(word * 64 + bits.trailing_zeros() as usize)
    }
}

/// The queue made for the job.
#[derive(Debug)]
pub struct Wheel<T> {
    /// What lies in the slot that is being emptied, or before it; the next one last.
    current: Vec<Entry<T>>,
    /// That slot.
    slot: u64,
    near: Vec<Vec<Entry<T>>>,
    near_full: Bits,
    far: Vec<Vec<Entry<T>>>,
    far_full: Bits,
    beyond: BinaryHeap<Entry<T>>,
    seq: u64,
    now: u64,
    len: usize,
}

impl<T> Default for Wheel<T> {
    fn default() -> Self {
        let wheel = || std::iter::repeat_with(Vec::new).take(WHEEL).collect();
        Wheel {
            current: Vec::new(),
            slot: 0,
            near: wheel(),
            near_full: Bits([0; WORDS]),
            far: wheel(),
            far_full: Bits([0; WORDS]),
            beyond: BinaryHeap::new(),
            seq: 0,
            now: 0,
            len: 0,
        }
    }
}

impl<T> Wheel<T> {
    fn page(&self) -> u64 {
        self.slot >> WHEEL_BITS
    }

    fn place(&mut self, entry: Entry<T>) {
        let (slot, page) = (entry.slot(), entry.page());
        if slot <= self.slot {
            let at = self
                .current
                .partition_point(|known| known.key() > entry.key());
            self.current.insert(at, entry);
        } else if page == self.page() {
            let at = (slot & MASK) as usize;
            self.near[at].push(entry);
            self.near_full.set(at);
        } else if page - self.page() < WHEEL as u64 {
            let at = (page & MASK) as usize;
            self.far[at].push(entry);
            self.far_full.set(at);
        } else {
            self.beyond.push(entry);
        }
    }

    /// Moves on to the next slot that holds something; whether there is one.
    fn advance(&mut self) -> bool {
        let next = (self.slot & MASK) as usize + 1;
        if let Some(at) = self.near_full.from(next) {
            self.slot = (self.page() << WHEEL_BITS) | at as u64;
            self.near_full.clear(at);
            std::mem::swap(&mut self.current, &mut self.near[at]);
            self.current
                .sort_unstable_by_key(|entry| std::cmp::Reverse(entry.key()));
            return true;
        }
        let Some(page) = self.next_page() else {
            return false;
        };
        self.slot = page << WHEEL_BITS;
        let at = (page & MASK) as usize;
        self.far_full.clear(at);
        let mut here = std::mem::take(&mut self.far[at]);
        here.drain(..).for_each(|entry| self.place(entry));
        // The room stays with its slot.
        self.far[at] = here;
        while self
            .beyond
            .peek()
            .is_some_and(|entry| entry.page() < page + WHEEL as u64)
        {
            if let Some(entry) = self.beyond.pop() {
                self.place(entry);
            }
        }
        true
    }

    /// The next wide slot that holds something, in either the wheel or the heap.
    fn next_page(&self) -> Option<u64> {
        let page = self.page();
        let own = (page & MASK) as usize;
        let ahead = |at: usize| page + ((at as u64).wrapping_sub(own as u64) & MASK);
        let far = self
            .far_full
            .from(own + 1)
            .or_else(|| self.far_full.from(0))
            .map(ahead);
        let beyond = self.beyond.peek().map(Entry::page);
        far.into_iter().chain(beyond).min()
    }
}

impl<T> Queue<T> for Wheel<T> {
    fn push(&mut self, at: u64, what: T) {
        self.seq += 1;
        self.len += 1;
        self.place(Entry {
            at: at.max(self.now),
            seq: self.seq,
            what,
        });
    }

    fn pop(&mut self) -> Option<(u64, T)> {
        while self.current.is_empty() {
            if !self.advance() {
                return None;
            }
        }
        let Entry { at, what, .. } = self.current.pop()?;
        self.now = at;
        self.len -= 1;
        Some((at, what))
    }

    fn len(&self) -> usize {
        self.len
    }
}

#[cfg(test)]
mod tests;
