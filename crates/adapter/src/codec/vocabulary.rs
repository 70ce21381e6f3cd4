//! Keywords of the wire, the values that they stand for, and units.

use chutegrade_policy::{EndpointUpdateKind, HealthCheckOutcome, Lifecycle};

/// Microseconds, the unit of the decision module, in a millisecond, the unit of the wire.
pub(super) const US_PER_MS: f64 = 1000.0;

/// The table number of an admission level that stands for all joined proxies.
pub(super) const ALL_PROXIES_TABLE: u16 = 65535;

/// Stands for an empty payload, which as base64 would be an empty field.
pub(super) const EMPTY_PAYLOAD: &str = "-";

/// A keyword of the wire and its value.
pub(super) struct Keyword<T> {
    /// Its text on the wire.
    pub text: &'static str,
    /// The value.
    pub value: T,
}

const fn keyword<T>(text: &'static str, value: T) -> Keyword<T> {
    Keyword { text, value }
}

/// How an endpoint list is to be read.
pub(super) const ENDPOINT_UPDATE_KINDS: [Keyword<EndpointUpdateKind>; 4] = [
    keyword("incr", EndpointUpdateKind::Delta),
    keyword("total", EndpointUpdateKind::Snapshot),
    keyword("warm_copy", EndpointUpdateKind::CachedSnapshot),
    keyword("lost", EndpointUpdateKind::Unavailable),
];

/// How a health check ends; any other keyword stands for an inconclusive one.
pub(super) const HEALTH_CHECK_OUTCOMES: [Keyword<HealthCheckOutcome>; 6] = [
    keyword("done", HealthCheckOutcome::Passed),
    keyword("err", HealthCheckOutcome::Error),
    keyword("busy", HealthCheckOutcome::Rejected),
    keyword("etimedout", HealthCheckOutcome::TimedOut),
    keyword("econnrefused", HealthCheckOutcome::Unreachable),
    keyword("econnreset", HealthCheckOutcome::Unreachable),
];

/// The keyword that is written for an inconclusive health check.
pub(super) const INCONCLUSIVE_OUTCOME: &str = "skipped";

/// Lifecycle of a server.
pub(super) const LIFECYCLES: [Keyword<Lifecycle>; 3] = [
    keyword("in_service", Lifecycle::InService),
    keyword("terminating", Lifecycle::Draining),
    keyword("terminated", Lifecycle::Removed),
];

/// The value of the keyword with this text.
pub(super) fn value_of<T: Copy>(keywords: &[Keyword<T>], text: &str) -> Option<T> {
    let known = keywords.iter().find(|known| known.text == text)?;
    Some(known.value)
}

/// The text of the first keyword for a value.
pub(super) fn keyword_for<T: PartialEq>(
    keywords: &[Keyword<T>],
    value: &T,
) -> Option<&'static str> {
    let known = keywords.iter().find(|known| known.value == *value)?;
    Some(known.text)
}
