//! The signals that the program handles.

use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::server::errors::ServerError;

/// Handlers of the signals.
pub struct Signals {
    /// SIGTERM: shut down.
    pub terminate: Signal,
    /// SIGHUP: reload the configuration.
    pub hangup: Signal,
}

impl Signals {
    /// Installs the handlers, within a runtime.
    ///
    /// # Errors
    ///
    /// If a signal cannot be handled.
    pub fn install() -> Result<Self, ServerError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).map_err(ServerError::Signals)?,
            hangup: signal(SignalKind::hangup()).map_err(ServerError::Signals)?,
        })
    }
}
