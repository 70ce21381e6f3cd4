//! Errors for which the server does not start, or stops.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use crate::config::ConfigError;

/// An error for which the server does not start, or stops.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The runtime cannot be built.
    #[error("cannot create the async runtime: {0}")]
    Runtime(io::Error),
    /// A signal cannot be handled.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    /// The operators' file is invalid.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigErrors),
    /// The configuration is missing or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The supervisor cannot listen at its address.
    #[error("cannot listen at {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The local address of the listener cannot be determined.
    #[error("cannot determine the local address: {0}")]
    LocalAddress(io::Error),
    /// The thread that writes records cannot be started.
    #[error("cannot start the thread that writes records: {0}")]
    Recorder(io::Error),
    /// A task that the server cannot work without has ended.
    #[error(transparent)]
    TaskStopped(#[from] TaskStopped),
}

/// A task that has ended before the server was stopped.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum TaskStopped {
    /// Ticks the engine.
    #[error("the tick loop has stopped")]
    TickLoop,
    /// Reloads the configuration at SIGHUP.
    #[error("the configuration reload has stopped")]
    Reload,
    /// Follows the endpoint list.
    #[error("the discovery client has stopped")]
    Discovery,
    /// Accepts connections.
    #[error("the listener has stopped")]
    Listener,
}

/// All errors of the operators' file, separated by semicolons when displayed.
#[derive(Debug)]
pub struct OperatorConfigErrors(pub Vec<chutegrade_operator_config::ConfigError>);

impl fmt::Display for OperatorConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.0.iter().enumerate() {
            if position > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for OperatorConfigErrors {}

impl From<Vec<chutegrade_operator_config::ConfigError>> for OperatorConfigErrors {
    fn from(errors: Vec<chutegrade_operator_config::ConfigError>) -> Self {
        OperatorConfigErrors(errors)
    }
}
