//! The proxies' open streams, and the signals that wake their writers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use chutegrade_engine::StreamId;
use tokio::sync::Notify;

/// Wakes the task of one stream when there is something to write, or when a newer stream replaces it.
#[derive(Debug, Default)]
pub struct WriteSignal {
    write_pending: Notify,
    probe_pending: Cell<bool>,
    replaced: Notify,
}

impl WriteSignal {
    /// Requests a reply to a `probe` message; several requests before the reply result in a single reply.
    pub fn request_probe_reply(&self) {
        self.probe_pending.set(true);
        self.write_pending.notify_one();
    }

    /// Waits until there is something to write.
    pub async fn write_pending(&self) {
        self.write_pending.notified().await;
    }

    /// Returns whether a `probe` message is unanswered and clears the request; the caller has to send the reply.
    pub fn take_probe(&self) -> bool {
        self.probe_pending.take()
    }

    /// Waits until a newer stream of the same proxy replaces this one.
    pub async fn replaced(&self) {
        self.replaced.notified().await;
    }
}

/// A stream that was added to the registry.
pub struct RegisteredStream {
    /// Number of the stream, which is never reused.
    pub id: StreamId,
    /// Wakes the task of the stream.
    pub signal: Rc<WriteSignal>,
}

/// All open streams, by number.
#[derive(Default)]
pub struct StreamRegistry {
    signals: RefCell<HashMap<StreamId, Rc<WriteSignal>>>,
    next_id: Cell<u64>,
}

impl StreamRegistry {
    /// Adds a new stream.
    pub fn open(&self) -> RegisteredStream {
        let id = StreamId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let signal = Rc::new(WriteSignal::default());
        self.signals.borrow_mut().insert(id, Rc::clone(&signal));
        RegisteredStream { id, signal }
    }

    /// Removes a stream that has ended.
    pub fn close(&self, stream: StreamId) {
        self.signals.borrow_mut().remove(&stream);
    }

    /// Notifies a stream that an order is pending for it.
    pub fn notify_order(&self, stream: StreamId) {
        if let Some(signal) = self.signals.borrow().get(&stream) {
            signal.write_pending.notify_one();
        }
    }

    /// Notifies a stream that a newer one replaces it.
    pub fn notify_replaced(&self, stream: StreamId) {
        if let Some(signal) = self.signals.borrow().get(&stream) {
            signal.replaced.notify_one();
        }
    }
}
