//! Counts malformed messages: each counts as a dropped report, and too many in a row close the connection.

use crate::protocol::disconnect::{Disconnect, DisconnectReason};
use crate::protocol::malformed::{ErrorBudget, MalformedMessage};
use crate::shared::engine_handle::EngineHandle;

/// Counts the malformed messages of one connection.
pub struct MalformedCounter {
    engine: EngineHandle,
    budget: ErrorBudget,
}

impl MalformedCounter {
    /// Creates the counter of a new connection.
    pub fn new(engine: EngineHandle) -> Self {
        MalformedCounter {
            engine,
            budget: ErrorBudget::default(),
        }
    }

    /// Counts the result of handling one message.
    ///
    /// # Errors
    ///
    /// Once too many messages in a row were malformed.
    pub fn record_result(
        &mut self,
        handled: Result<(), MalformedMessage>,
    ) -> Result<(), Disconnect> {
        let Err(malformed) = handled else {
            self.budget.restore();
            return Ok(());
        };
        match self.budget.spend(malformed) {
            Ok(malformed) => {
                self.engine.count_dropped(malformed);
                Ok(())
            }
            Err(malformed) => Err(DisconnectReason::Malformed.with_detail(malformed)),
        }
    }
}
