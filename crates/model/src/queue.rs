//! Event queues, ordered by time. Two implementations pop events in the same order: a binary heap, and a hierarchical timing
//! wheel. Most events of the simulation are less than a few seconds ahead and many only milliseconds, so the wheel has a
//! level of narrow slots, a level of wide slots (pages) and a heap for later events.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A queue of events in order of time; events of the same time are in insertion order.
pub trait EventQueue<T> {
    /// Inserts an event at a time in microseconds. A time before that of the last popped event is replaced by that time.
    fn push(&mut self, at_us: u64, event: T);
    /// Removes the next event and returns it with its time in microseconds.
    fn pop(&mut self) -> Option<(u64, T)>;
    /// Returns the number of queued events.
    fn len(&self) -> usize;
    /// Returns whether no event is queued.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[derive(Debug)]
struct Entry<T> {
    at_us: u64,
    seq: u64,
    event: T,
}

impl<T> Entry<T> {
    fn key(&self) -> (u64, u64) {
        (self.at_us, self.seq)
    }
    fn slot(&self) -> u64 {
        self.at_us >> SLOT_WIDTH_BITS
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

/// Reversed: `BinaryHeap` is a max-heap, and the earliest entry must come first.
impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// A binary heap; the reference implementation for tests and benchmarks.
#[derive(Debug)]
pub struct HeapQueue<T> {
    heap: BinaryHeap<Entry<T>>,
    seq: u64,
    now_us: u64,
}

impl<T> Default for HeapQueue<T> {
    fn default() -> Self {
        HeapQueue {
            heap: BinaryHeap::new(),
            seq: 0,
            now_us: 0,
        }
    }
}

impl<T> EventQueue<T> for HeapQueue<T> {
    fn push(&mut self, at_us: u64, event: T) {
        self.seq += 1;
        self.heap.push(Entry {
            at_us: at_us.max(self.now_us),
            seq: self.seq,
            event,
        });
    }

    fn pop(&mut self) -> Option<(u64, T)> {
        let Entry { at_us, event, .. } = self.heap.pop()?;
        self.now_us = at_us;
        Some((at_us, event))
    }

    fn len(&self) -> usize {
        self.heap.len()
    }
}

/// Width of a narrow slot in microseconds, as a power of two: 64 us. The largest fleets have some tens of events in one.
const SLOT_WIDTH_BITS: u32 = 6;
/// Slots of a wheel, as a power of two: 1,024 narrow slots span 65 ms, 1,024 wide ones 67 s.
const WHEEL_BITS: u32 = 10;
const WHEEL_SLOTS: usize = 1 << WHEEL_BITS;
const WHEEL_MASK: u64 = (WHEEL_SLOTS - 1) as u64;
const BITMAP_WORDS: usize = WHEEL_SLOTS / 64;

/// The set of nonempty slots of a wheel.
#[derive(Clone, Debug)]
struct SlotBitmap([u64; BITMAP_WORDS]);

impl SlotBitmap {
    fn set(&mut self, slot: usize) {
        self.0[slot / 64] |= 1 << (slot % 64);
    }

    fn clear(&mut self, slot: usize) {
        self.0[slot / 64] &= !(1 << (slot % 64));
    }

    /// Returns the first nonempty slot at or after this one.
    fn first_from(&self, slot: usize) -> Option<usize> {
        let first = slot / 64;
        let first_word = self.0.get(first)? & (u64::MAX << (slot % 64));
        let later_words = self
            .0
            .iter()
            .enumerate()
            .skip(first + 1)
            .map(|(word, bits)| (word, *bits));
        let (word, bits) = std::iter::once((first, first_word))
            .chain(later_words)
            .find(|(_, bits)| *bits != 0)?;
        Some(word * 64 + bits.trailing_zeros() as usize)
    }
}

/// A two-level timing wheel with an overflow heap.
#[derive(Debug)]
pub struct WheelQueue<T> {
    /// Entries of the current slot and earlier ones, in descending order.
    current: Vec<Entry<T>>,
    /// Number of the current narrow slot, counted from time 0.
    slot: u64,
    near: Vec<Vec<Entry<T>>>,
    near_occupied: SlotBitmap,
    far: Vec<Vec<Entry<T>>>,
    far_occupied: SlotBitmap,
    overflow: BinaryHeap<Entry<T>>,
    seq: u64,
    now_us: u64,
    len: usize,
}

impl<T> Default for WheelQueue<T> {
    fn default() -> Self {
        let wheel = || std::iter::repeat_with(Vec::new).take(WHEEL_SLOTS).collect();
        WheelQueue {
            current: Vec::new(),
            slot: 0,
            near: wheel(),
            near_occupied: SlotBitmap([0; BITMAP_WORDS]),
            far: wheel(),
            far_occupied: SlotBitmap([0; BITMAP_WORDS]),
            overflow: BinaryHeap::new(),
            seq: 0,
            now_us: 0,
            len: 0,
        }
    }
}

impl<T> WheelQueue<T> {
    fn page(&self) -> u64 {
        self.slot >> WHEEL_BITS
    }

    fn insert(&mut self, entry: Entry<T>) {
        let (slot, page) = (entry.slot(), entry.page());
        if slot <= self.slot {
            let index = self
                .current
                .partition_point(|known| known.key() > entry.key());
            self.current.insert(index, entry);
        } else if page == self.page() {
            let index = (slot & WHEEL_MASK) as usize;
            self.near[index].push(entry);
            self.near_occupied.set(index);
        } else if page - self.page() < WHEEL_SLOTS as u64 {
            let index = (page & WHEEL_MASK) as usize;
            self.far[index].push(entry);
            self.far_occupied.set(index);
        } else {
            self.overflow.push(entry);
        }
    }

    /// Advances to the next nonempty slot; returns whether there is one.
    fn advance(&mut self) -> bool {
        let next = (self.slot & WHEEL_MASK) as usize + 1;
        if let Some(index) = self.near_occupied.first_from(next) {
            self.slot = (self.page() << WHEEL_BITS) | index as u64;
            self.near_occupied.clear(index);
            std::mem::swap(&mut self.current, &mut self.near[index]);
            self.current
                .sort_unstable_by_key(|entry| std::cmp::Reverse(entry.key()));
            return true;
        }
        let Some(page) = self.next_page() else {
            return false;
        };
        self.slot = page << WHEEL_BITS;
        let index = (page & WHEEL_MASK) as usize;
        self.far_occupied.clear(index);
        let mut entries = std::mem::take(&mut self.far[index]);
        entries.drain(..).for_each(|entry| self.insert(entry));
        // Reuses the allocation.
        self.far[index] = entries;
        while self
            .overflow
            .peek()
            .is_some_and(|entry| entry.page() < page + WHEEL_SLOTS as u64)
        {
            if let Some(entry) = self.overflow.pop() {
                self.insert(entry);
            }
        }
        true
    }

    /// Returns the next nonempty page of the far wheel or the heap.
    fn next_page(&self) -> Option<u64> {
        let page = self.page();
        let current_index = (page & WHEEL_MASK) as usize;
        let next_page_at =
            |index: usize| page + ((index as u64).wrapping_sub(current_index as u64) & WHEEL_MASK);
        let far = self
            .far_occupied
            .first_from(current_index + 1)
            .or_else(|| self.far_occupied.first_from(0))
            .map(next_page_at);
        let overflow = self.overflow.peek().map(Entry::page);
        far.into_iter().chain(overflow).min()
    }
}

impl<T> EventQueue<T> for WheelQueue<T> {
    fn push(&mut self, at_us: u64, event: T) {
        self.seq += 1;
        self.len += 1;
        self.insert(Entry {
            at_us: at_us.max(self.now_us),
            seq: self.seq,
            event,
        });
    }

    fn pop(&mut self) -> Option<(u64, T)> {
        while self.current.is_empty() {
            if !self.advance() {
                return None;
            }
        }
        let Entry { at_us, event, .. } = self.current.pop()?;
        self.now_us = at_us;
        self.len -= 1;
        Some((at_us, event))
    }

    fn len(&self) -> usize {
        self.len
    }
}

#[cfg(test)]
mod tests;
