//! The engine as the tasks share it: they hand in reports, which wake the tick loop.

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
    /// How many were dropped.
    pub count: u64,
    /// Why the last one was dropped.
    pub last_reason: String,
}

impl EngineHandle {
    /// A handle to this engine.
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
    /// If the engine is borrowed already.
    pub fn borrow_mut(&self) -> RefMut<'_, Engine> {
        self.shared.engine.borrow_mut()
    }

    /// Hands a report to the engine for the next tick; one that the engine refuses is dropped and counted.
    pub fn report(&self, report: Report) {
        if let Err(rejected) = self.try_report(report) {
            self.count_dropped(rejected);
        }
    }

    /// Hands a report to the engine for the next tick.
    ///
    /// # Errors
    ///
    /// If the report names something that the engine does not know, or too many reports are pending.
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

    /// The reports dropped since this was last called.
    pub fn take_dropped(&self) -> DroppedReports {
        self.shared.dropped.take()
    }

    /// Waits until a report is pending for the next tick.
    pub async fn report_pending(&self) {
        self.shared.report_pending.notified().await;
    }
}
