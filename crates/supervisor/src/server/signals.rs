//! Handlers of SIGTERM and SIGHUP.

use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::server::errors::ServerError;

/// The signals that the server handles.
pub struct Signals {
    /// SIGTERM: shut down.
    pub terminate: Signal,
    /// SIGHUP: reload the configuration, the plug-ins and the limits.
    pub hangup: Signal,
}

impl Signals {
    /// Installs the handlers; must be called within a runtime.
    ///
    /// # Errors
    ///
    /// If a handler cannot be installed.
    pub fn install() -> Result<Self, ServerError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).map_err(ServerError::Signals)?,
            hangup: signal(SignalKind::hangup()).map_err(ServerError::Signals)?,
        })
    }
}
