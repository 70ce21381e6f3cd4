//! What the tasks share: the engine, the clock, and who is to be woken when something is due.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chutegrade_engine::{DiscoverySubscription, Engine, Micros, Report, ReportError, StreamId};
use chutegrade_records::Kind;
use tokio::sync::{watch, Notify};
use tokio_util::task::TaskTracker;

use crate::protocol::disconnect::{End, Ending};
use crate::protocol::messages::{Fault, Run};
use crate::server::length;
use crate::server::overload::Limits;
use crate::server::recording::Book;

/// One time base for all: Unix time at the start, carried on by a clock that never steps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    /// A clock set by the system's.
    pub fn set() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix: micros(unix),
            start: Instant::now(),
        }
    }

    /// Unix time now.
    pub fn now(&self) -> Micros {
        self.unix + micros(self.start.elapsed())
    }
}

/// A length of time in the engine's unit.
pub fn micros(length: Duration) -> Micros {
    Micros(i64::try_from(length.as_micros()).unwrap_or(i64::MAX))
}

/// Rings when something is to be written to a stream: an order, or the answer to `probe`.
#[derive(Debug, Default)]
pub struct Bell {
    rung: Notify,
    asked: Cell<bool>,
    replaced: Notify,
}

impl Bell {
    /// The peer asked whether the supervisor is in use; questions not answered yet count as one.
    pub fn ask(&self) {
        self.asked.set(true);
        self.rung.notify_one();
    }

    /// Waits until a newer stream of the same proxy has taken this one's place.
    pub async fn replaced(&self) {
        self.replaced.notified().await;
    }

    /// Waits until something is to be written; tells whether the peer asked.
    pub async fn rung(&self) -> bool {
        self.rung.notified().await;
        self.asked.take()
    }
}

/// Shared by all tasks of the one thread; never borrowed across an await.
pub struct Hub {
    engine: RefCell<Engine>,
    /// The time base.
    pub clock: Clock,
    /// Rung when a report waits.
    reported: Notify,
    streams: RefCell<HashMap<StreamId, Rc<Bell>>>,
    streams_made: Cell<u64>,
    /// Turns true when the supervisor stops.
    pub stopping: watch::Sender<bool>,
    /// The connections, each of which leaves its log line at its end.
    pub connections: TaskTracker,
    /// What the decisions want of the list.
    pub wish: watch::Sender<DiscoverySubscription>,
    dropped: RefCell<(u64, String)>,
    /// Where records go, if they are wanted.
    book: OnceCell<Book>,
}

impl Hub {
    /// A hub round an engine.
    pub fn new(engine: Engine) -> Rc<Self> {
        Rc::new(Hub {
            engine: RefCell::new(engine),
            clock: Clock::set(),
            reported: Notify::new(),
            streams: RefCell::default(),
            streams_made: Cell::new(0),
            stopping: watch::channel(false).0,
            connections: TaskTracker::new(),
            wish: watch::channel(DiscoverySubscription::default()).0,
            dropped: RefCell::default(),
            book: OnceCell::new(),
        })
    }

    /// From now on what happens is recorded.
    pub fn record(&self, book: Book) {
        self.engine.borrow_mut().enable_recording();
        let _ = self.book.set(book);
    }

    /// Notes what happens now, where records are wanted.
    pub fn note(&self, kind: Kind) {
        let now = self.clock.now();
        self.note_at(now, now, kind);
    }

    /// Notes what happened at one time and was learned at another.
    pub fn note_at(&self, at: Micros, learned: Micros, kind: Kind) {
        if let Some(book) = self.book.get() {
            book.note(at, learned, kind);
        }
    }

    /// Notes what is due of the fleet in figures.
    pub fn note_series(&self, limits: &Limits) {
        if let Some(book) = self.book.get() {
            book.series(&self.clock, &self.engine.borrow(), limits);
        }
    }

    /// How long until a figure is due.
    pub fn series_due(&self) -> Duration {
        self.book
            .get()
            .map_or(Duration::MAX, |book| length(book.due(self.clock.now())))
    }

    /// Writes the last records, as far as that takes no longer.
    pub fn close_book(&self, within: Duration) {
        if let Some(book) = self.book.get() {
            book.close(within);
        }
    }

    /// Hands a report to the engine for the next tick; one that names what is not known is dropped and counted.
    pub fn report(&self, report: Report) {
        if let Err(unknown) = self.try_report(report) {
            self.drop_report(unknown);
        }
    }

    /// Hands a report to the engine for the next tick, or tells what of it is not known.
    pub fn try_report(&self, report: Report) -> Result<(), ReportError> {
        self.engine.borrow_mut().report(report)?;
        self.reported.notify_one();
        Ok(())
    }

    /// Skips a message that told nothing, and counts it; too many in a row are the end of their connection.
    pub fn skip(&self, run: &mut Run, fault: Option<Fault>) -> Result<(), End> {
        let Some(fault) = fault else {
            run.good();
            return Ok(());
        };
        let fault = run
            .spoilt(fault)
            .map_err(|fault| Ending::Unreadable.because(fault))?;
        self.drop_report(fault);
        Ok(())
    }

    fn drop_report(&self, why: impl ToString) {
        let mut dropped = self.dropped.borrow_mut();
        *dropped = (dropped.0 + 1, why.to_string());
    }

    /// How many reports were dropped since this was last asked, and why the last one was.
    pub fn take_dropped(&self) -> (u64, String) {
        self.dropped.take()
    }

    /// Borrows the engine; the caller holds it for no longer than a statement.
    pub fn engine(&self) -> std::cell::RefMut<'_, Engine> {
        self.engine.borrow_mut()
    }

    /// Waits until a report waits.
    pub async fn reported(&self) {
        self.reported.notified().await;
    }

    /// A number for a new stream, and what rings when an order waits for it.
    pub fn open_stream(&self) -> (StreamId, Rc<Bell>) {
        let stream = StreamId(self.streams_made.get());
        self.streams_made.set(stream.0 + 1);
        let bell = Rc::new(Bell::default());
        self.streams.borrow_mut().insert(stream, Rc::clone(&bell));
        (stream, bell)
    }

    /// The stream has ended.
    pub fn close_stream(&self, stream: StreamId) {
        self.streams.borrow_mut().remove(&stream);
    }

    /// A newer stream has taken this one's place.
    pub fn replace(&self, stream: StreamId) {
        if let Some(bell) = self.streams.borrow().get(&stream) {
            bell.replaced.notify_one();
        }
    }

    /// Rings for a stream.
    pub fn ring(&self, stream: StreamId) {
        if let Some(bell) = self.streams.borrow().get(&stream) {
            bell.rung.notify_one();
        }
    }

    /// The list is wanted in this way from now on.
    pub fn wish_list(&self, wish: DiscoverySubscription) {
        self.wish.send_if_modified(|standing| {
            let news = wish.fetch || wish.watch != standing.watch;
            *standing = DiscoverySubscription {
                watch: wish.watch,
                fetch: standing.fetch || wish.fetch,
            };
            news
        });
    }

    /// The wish to fetch the list is being carried out.
    pub fn take_fetch(&self) {
        self.wish.send_if_modified(|standing| {
            standing.fetch = false;
            false
        });
    }

    /// Runs a connection on its own, until its end.
    pub fn drive(&self, connection: impl Future<Output = ()> + 'static) {
        tokio::task::spawn_local(self.connections.track_future(connection));
    }

    /// Ends once the supervisor stops.
    pub async fn stopped(&self) {
        let mut stopping = self.stopping.subscribe();
        let _ = stopping.wait_for(|stopping| *stopping).await;
    }
}
