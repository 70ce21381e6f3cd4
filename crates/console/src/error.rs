//! Errors of the console.

/// Why the console ends.
#[derive(Debug, thiserror::Error)]
pub enum ConsoleError {
    /// The records cannot be read.
    #[error(transparent)]
    Records(#[from] chutegrade_records::timeline::ReadError),
    /// The terminal cannot be used.
    #[error("the terminal cannot be used: {0}")]
    Terminal(#[from] std::io::Error),
    /// Input or output is no terminal.
    #[error("this is no terminal: give --once for one frame as text")]
    NoTerminal,
}
