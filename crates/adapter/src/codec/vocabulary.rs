//! Words of the wire and the values that they stand for.

use chutegrade_policy::{EndpointUpdateKind, HealthCheckOutcome, Lifecycle};

/// The table number of an admission level that stands for all joined proxies.
pub(super) const ALL_PROXIES_TABLE: u16 = 65535;

/// A word of the wire and its value.
pub(super) struct Word<T> {
    /// The word.
    pub word: &'static str,
    /// The value.
    pub value: T,
}

const fn word<T>(word: &'static str, value: T) -> Word<T> {
    Word { word, value }
}

/// How an endpoint list is to be read.
pub(super) const ENDPOINT_UPDATE_KINDS: [Word<EndpointUpdateKind>; 4] = [
    word("incr", EndpointUpdateKind::Delta),
    word("total", EndpointUpdateKind::Snapshot),
    word("warm_copy", EndpointUpdateKind::CachedSnapshot),
    word("lost", EndpointUpdateKind::Unavailable),
];

/// How a health check ends; any other word is inconclusive.
pub(super) const HEALTH_CHECK_OUTCOMES: [Word<HealthCheckOutcome>; 6] = [
    word("done", HealthCheckOutcome::Passed),
    word("err", HealthCheckOutcome::Error),
    word("busy", HealthCheckOutcome::Rejected),
    word("etimedout", HealthCheckOutcome::TimedOut),
    word("econnrefused", HealthCheckOutcome::Unreachable),
    word("econnreset", HealthCheckOutcome::Unreachable),
];

/// A word for the outcomes that have none of their own.
pub(super) const INCONCLUSIVE_OUTCOME: &str = "skipped";

/// Lifecycle of a server.
pub(super) const LIFECYCLES: [Word<Lifecycle>; 3] = [
    word("in_service", Lifecycle::InService),
    word("terminating", Lifecycle::Draining),
    word("terminated", Lifecycle::Removed),
];

/// The value of a word.
pub(super) fn value_of<T: Copy>(words: &[Word<T>], text: &str) -> Option<T> {
    let known = words.iter().find(|known| known.word == text)?;
    Some(known.value)
}

/// The first word for a value.
pub(super) fn word_for<T: PartialEq>(words: &[Word<T>], value: &T) -> Option<&'static str> {
    let known = words.iter().find(|known| known.value == *value)?;
    Some(known.word)
}
