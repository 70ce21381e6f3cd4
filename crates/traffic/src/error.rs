//! Errors of reading and writing recorded traffic.

/// Why a file of recorded traffic is rejected, or cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum TrafficError {
    /// The file cannot be read or written.
    #[error("cannot be read: {0}")]
    Csv(#[from] csv::Error),
    /// A required column is missing, or a column is unknown.
    #[error("line 1: the head must name at_ms and class, and may name zone, key and work_ms; it has {columns:?}")]
    Header {
        /// The header as it is in the file.
        columns: String,
    },
    /// Lines are invalid.
    #[error("{count} lines are wrong: {messages}")]
    Lines {
        /// The first of them, each with its number and the reason.
        messages: String,
        /// The number of invalid lines.
        count: usize,
    },
    /// A limit on the size of a file is exceeded.
    #[error("more than {limit} {items}")]
    TooMany {
        /// The greatest number allowed.
        limit: usize,
        /// What is counted.
        items: &'static str,
    },
}

/// Why a line is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LineError {
    /// The time is missing or invalid.
    #[error("{0:?} is no time: give milliseconds from 0 on")]
    Time(String),
    /// A time, name or key exceeds the limit.
    #[error("a name is too long")]
    NameTooLong,
    /// The class is missing.
    #[error("no class")]
    NoClass,
    /// The service time is invalid.
    #[error("{0:?} is no work in milliseconds")]
    Work(String),
}
