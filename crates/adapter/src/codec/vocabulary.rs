//! Keywords and units of the wire protocol, with the values that the decision module has for them.

use chutegrade_policy::{EndpointUpdateKind, HealthCheckOutcome, Lifecycle};

/// Microseconds, the unit of the decision module, per millisecond, the unit of the wire protocol.
pub(super) const US_PER_MS: f64 = 1000.0;

/// The table number of an admission level that applies to all joined proxies.
pub(super) const ALL_PROXIES_TABLE: u16 = 65535;

/// Encoding of an empty payload, whose base64 would be an empty field.
pub(super) const EMPTY_PAYLOAD: &str = "-";

/// A keyword of the wire protocol and its value.
pub(super) struct Keyword<T> {
    /// Text on the wire.
    pub text: &'static str,
    /// Value in the decision module.
    pub value: T,
}

const fn keyword<T>(text: &'static str, value: T) -> Keyword<T> {
    Keyword { text, value }
}

/// Kinds of endpoint lists.
pub(super) const ENDPOINT_UPDATE_KINDS: [Keyword<EndpointUpdateKind>; 4] = [
    keyword("incr", EndpointUpdateKind::Delta),
    keyword("total", EndpointUpdateKind::Snapshot),
    keyword("warm_copy", EndpointUpdateKind::CachedSnapshot),
    keyword("lost", EndpointUpdateKind::Unavailable),
];

/// Outcomes of health checks; any other keyword means an inconclusive one.
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

/// Lifecycle states of a server.
pub(super) const LIFECYCLES: [Keyword<Lifecycle>; 3] = [
    keyword("in_service", Lifecycle::InService),
    keyword("terminating", Lifecycle::Draining),
    keyword("terminated", Lifecycle::Removed),
];

/// Returns the value of the keyword with this text.
pub(super) fn value_of<T: Copy>(keywords: &[Keyword<T>], text: &str) -> Option<T> {
    let keyword = keywords.iter().find(|keyword| keyword.text == text)?;
    Some(keyword.value)
}

/// Returns the text of the first keyword for a value.
pub(super) fn keyword_for<T: PartialEq>(
    keywords: &[Keyword<T>],
    value: &T,
) -> Option<&'static str> {
    let keyword = keywords.iter().find(|keyword| keyword.value == *value)?;
    Some(keyword.text)
}
