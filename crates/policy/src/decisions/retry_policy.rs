//! The retry policy of each class. No request may take effect twice: it is retried only after proof that its first
//! attempt was not executed, or if a second run certainly has no further effect.

use crate::interface::{Class, DeduplicationScope, Idempotency, Retry};

/// Returns the retry policy of a class: the requested one, unless a narrower one is required for safety.
///
/// Retries after any failure require a class that is safe to retry, a fleet with headroom, and limits that request
/// them.
pub(super) fn retry_policy(
    class: Option<&Class>,
    requested: Option<Retry>,
    is_forbidden: bool,
    has_headroom: bool,
) -> Retry {
    let widest = if is_forbidden {
        Retry::Never
    } else if has_headroom && class.is_some_and(is_safe_to_retry) {
        Retry::Once
    } else {
        Retry::IfNotExecuted
    };
    requested.unwrap_or(Retry::IfNotExecuted).min(widest)
}

/// Returns whether a second run has no further effect. Keys must be retained for twice the deadline, since clocks
/// differ.
fn is_safe_to_retry(class: &Class) -> bool {
    let needed = class.deadline + class.deadline;
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed(DeduplicationScope::All, window) => window >= needed,
        Idempotency::Keyed(..) | Idempotency::NotIdempotent => false,
    }
}
