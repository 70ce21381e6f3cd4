//! Errors of reading and writing recorded traffic.

/// The reason why a file of recorded traffic is rejected or cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum TrafficError {
    /// The file cannot be read or written, or is not valid CSV.
    #[error("cannot be read or written: {0}")]
    Csv(#[from] csv::Error),
    /// A required column is missing, or a column is unknown.
    #[error("line 1: the header must name at_ms and class, and may name zone, key and work_ms; it has {columns:?}")]
    Header {
        /// The columns in the file, separated by commas.
        columns: String,
    },
    /// One or more lines are invalid.
    #[error("{count} invalid lines: {messages}")]
    Lines {
        /// The number and reason of each of the first invalid lines, separated by semicolons.
        messages: String,
        /// The number of all invalid lines.
        count: usize,
    },
    /// A limit on the size of a file is exceeded.
    #[error("more than {limit} {items}")]
    TooMany {
        /// The maximum number.
        limit: usize,
        /// The name of the counted items: requests, classes or zones.
        items: &'static str,
    },
}

/// The reason why a line is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LineError {
    /// The time is missing or invalid.
    #[error("{0:?} is not a valid time: expected milliseconds, at least 0")]
    Time(String),
    /// A time, name or key is too long.
    #[error("a time, name or key is too long")]
    NameTooLong,
    /// The class is missing.
    #[error("the class is missing")]
    NoClass,
    /// The service time is invalid.
    #[error("{0:?} is not a valid service time in milliseconds")]
    Work(String),
}
