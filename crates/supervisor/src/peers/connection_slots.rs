//! Limits the number of connections of a group; a new connection over the limit evicts the oldest.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;

/// Slots for the connections of one group, oldest first.
pub struct ConnectionSlots {
    capacity: usize,
    occupied: RefCell<VecDeque<Rc<Notify>>>,
}

/// The slot of one connection; dropping it releases the slot.
pub struct ConnectionSlot<'a> {
    slots: &'a ConnectionSlots,
    evicted: Rc<Notify>,
}

impl ConnectionSlots {
    /// Creates slots for at most `capacity` connections.
    pub fn new(capacity: usize) -> Self {
        ConnectionSlots {
            capacity,
            occupied: RefCell::default(),
        }
    }

    /// Occupies a slot; evicts the oldest connection if the capacity is exceeded.
    pub fn acquire(&self) -> ConnectionSlot<'_> {
        let evicted = Rc::new(Notify::new());
        let mut occupied = self.occupied.borrow_mut();
        occupied.push_back(Rc::clone(&evicted));
        if occupied.len() > self.capacity {
            if let Some(oldest) = occupied.pop_front() {
                oldest.notify_one();
            }
        }
        ConnectionSlot {
            slots: self,
            evicted,
        }
    }
}

impl ConnectionSlot<'_> {
    /// Waits until a newer connection evicts this one.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        self.slots
            .occupied
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &self.evicted));
    }
}

#[cfg(test)]
mod tests;
