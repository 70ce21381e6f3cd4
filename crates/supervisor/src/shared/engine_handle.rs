//! Shared access to the engine. Reports that tasks submit wake the tick loop.

use std::cell::{RefCell, RefMut};
use std::rc::Rc;

use chutegrade_engine::{Engine, Report, ReportError};
use tokio::sync::Notify;

/// A shared handle to the engine; clones refer to the same engine.
#[derive(Clone)]
pub struct EngineHandle {
    shared: Rc<SharedEngine>,
}

struct SharedEngine {
    engine: RefCell<Engine>,
    /// Notified when a report is pending for the next tick.
    report_pending: Notify,
    dropped: RefCell<DroppedReports>,
}

/// Reports that were dropped since [`EngineHandle::take_dropped`] was last called.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DroppedReports {
    /// Number of dropped reports.
    pub count: u64,
    /// Why the last one was dropped; empty if `count` is 0.
    pub last_reason: String,
}

impl EngineHandle {
    /// Creates a handle to this engine.
    pub fn new(engine: Engine) -> Self {
        EngineHandle {
            shared: Rc::new(SharedEngine {
                engine: RefCell::new(engine),
                report_pending: Notify::new(),
                dropped: RefCell::default(),
            }),
        }
    }

    /// Borrows the engine. The borrow must end with the statement, and never be held across an await.
    ///
    /// # Panics
    ///
    /// If the engine is already borrowed.
    pub fn borrow_mut(&self) -> RefMut<'_, Engine> {
        self.shared.engine.borrow_mut()
    }

    /// Submits a report for the next tick; a report that the engine rejects is dropped and counted.
    pub fn report(&self, report: Report) {
        if let Err(rejected) = self.try_report(report) {
            self.count_dropped(rejected);
        }
    }

    /// Submits a report for the next tick.
    ///
    /// # Errors
    ///
    /// If the report refers to something that the engine does not know, or too many reports are pending.
    pub fn try_report(&self, report: Report) -> Result<(), ReportError> {
        self.borrow_mut().report(report)?;
        self.shared.report_pending.notify_one();
        Ok(())
    }

    /// Counts a report that was dropped, with the reason.
    pub fn count_dropped(&self, reason: impl ToString) {
        let mut dropped = self.shared.dropped.borrow_mut();
        dropped.count += 1;
        dropped.last_reason = reason.to_string();
    }

    /// Returns the reports dropped since the last call, and resets the count.
    pub fn take_dropped(&self) -> DroppedReports {
        self.shared.dropped.take()
    }

    /// Waits until a report is pending for the next tick.
    pub async fn report_pending(&self) {
        self.shared.report_pending.notified().await;
    }
}
