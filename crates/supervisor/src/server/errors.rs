//! Why the server cannot start, or has stopped.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use crate::config::ConfigError;

/// Why the server cannot start, or has stopped.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The runtime cannot be built.
    #[error("no runtime: {0}")]
    Runtime(io::Error),
    /// A signal cannot be handled.
    #[error("no signals: {0}")]
    Signals(io::Error),
    /// The operators' file is wrong.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigErrors),
    /// The configuration is missing or wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The supervisor cannot listen at its address.
    #[error("cannot listen at {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The local address of the listener cannot be determined.
    #[error("no address: {0}")]
    LocalAddress(io::Error),
    /// The writer of the records cannot be started.
    #[error("no thread for the records: {0}")]
    Recorder(io::Error),
    /// A task that runs as long as the server has ended: the supervisor would only seem to serve.
    #[error(transparent)]
    TaskStopped(#[from] TaskStopped),
}

/// A task that has ended, though it runs as long as the server does.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum TaskStopped {
    /// The tick loop.
    #[error("the tick loop has stopped")]
    TickLoop,
    /// The reload of configurations.
    #[error("the reload of configurations has stopped")]
    Reload,
    /// The discovery client.
    #[error("the discovery client has stopped")]
    Discovery,
    /// The listener.
    #[error("the listener has stopped")]
    Listener,
}

/// All faults of the operators' file, in one sentence.
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
