//! Errors of the console.

/// The reason why the console exits.
#[derive(Debug, thiserror::Error)]
pub enum ConsoleError {
    /// The records cannot be read.
    #[error(transparent)]
    Records(#[from] chutegrade_records::timeline::ReadError),
    /// The terminal cannot be used, or the output cannot be written.
    #[error("cannot use the terminal: {0}")]
    Terminal(#[from] std::io::Error),
    /// Standard input or output is not a terminal.
    #[error("standard input or output is not a terminal: use --once to print one frame as text")]
    NoTerminal,
}
